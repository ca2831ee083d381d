/*
 * Client of the platform's versioned object API.
 *
 * A DlObjectProtocol defines how a call is encoded as HTTP and how its response is
 * decoded; the client decides what each outcome means.  dl_object_client_new uses the
 * native protocol, which the stand-in of the test tree implements too.  Bodies are JSON.
 *
 *   GET /v1/objects/KIND/NAME
 *       200 {"kind", "name", "revision", "created", "value"}, or 404.
 *   PUT /v1/objects/KIND/NAME
 *       The body is the value.  "If-Match: REVISION" replaces only that revision;
 *       "If-None-Match: *" only creates.  200 {"revision", "created"}; 412 on a conflict.
 *   DELETE /v1/objects/KIND/NAME
 *       With "If-Match: REVISION".  200, 404, or 412 on a conflict.
 *   GET /v1/objects?kinds=A,B
 *       200 {"revision", "objects": [as of GET]}.
 *   GET /v1/watch?kinds=A,B&after=REVISION&wait_ms=N
 *       Waits for a change after REVISION.  200 {"revision", "objects": [..., {"kind",
 *       "name", "revision", "deleted": true}]}; 410 when REVISION is too old.
 *   GET /v1/hosts
 *       200 {"revision", "hosts": [...]}; see members.h.
 *
 * A process that relays the platform's objects adds "era" to the responses to lists and
 * watches, and such a request may carry "era=N" (kernel/object_era.h).  Without it the
 * era is 0.  A list may carry "wait_ms=N" there; a refusal with the header
 * "Object-Reading" says that the process is reading the objects from the platform.
 *
 * 429 and 503 carry Retry-After.  Revisions increase across the whole store; "created" is
 * the revision that created the object.
 */
#ifndef DL_OBJECT_CLIENT_H
#define DL_OBJECT_CLIENT_H

#include "kernel/http_client.h"
#include "kernel/kernel.h"
#include "kernel/object_era.h"

#define DL_OBJECT_VALUE_MAX_BYTES (1u << 20)

typedef struct DlObjectClient DlObjectClient;

/* An object; belongs to the result that contains it. */
typedef struct
{
  char *kind;
  char *name;
  uint64_t revision;
  uint64_t created; /* revision that created it */
  bool deleted;
  json_object *value; /* NULL when deleted */
} DlObject;

/* The outcome of a call. */
typedef struct
{
  /* 0, DL_ERR_CONFLICT, DL_ERR_NOT_FOUND, DL_ERR_RATE_LIMITED, DL_ERR_UNAVAILABLE (the
   * call had no effect), DL_ERR_UNKNOWN (a write may have taken effect: read the object
   * to find out), DL_ERR_GONE or DL_ERR_MALFORMED */
  int error;
  bool responded;          /* the server did, if only with an error */
  bool is_late;            /* it timed out without a byte of the response's body */
  uint64_t received_bytes; /* of the response, as it was sent */
  uint64_t retry_after_ms; /* from Retry-After; 0 when absent */
  uint64_t revision;       /* of the written object, or of the list or watch */
  uint64_t created;
  size_t count;
  DlObject *objects;
  bool more;       /* the list continues after its last object */
  bool is_reading; /* from a process that is reading the objects, or newer ones */
  /* When another process responds in place of the platform: how long before the request
   * this was the platform's newest state.  0 from the platform itself. */
  uint64_t age_ms;
  uint64_t era; /* of the store when it responded; 0 when not told */
} DlObjectResult;

/* The calls of the API. */
typedef enum
{
  DL_OBJECT_GET,
  DL_OBJECT_PUT,
  DL_OBJECT_DELETE,
  DL_OBJECT_LIST,
  DL_OBJECT_WATCH,
} DlObjectAction;

/* Headers of the project's own object API, in place of members of the body of the same
 * meaning.  A response with them is the same for all clients, so that it is compressed
 * once. */
#define DL_OBJECT_REVISION_HEADER "Object-Revision"
#define DL_OBJECT_ERA_HEADER      "Object-Era"
#define DL_OBJECT_AGE_HEADER      "Object-Age-Ms"
/* Of a refusal: the objects are being read.  Of another response: newer ones arrive. */
#define DL_OBJECT_READING_HEADER "Object-Reading"

/* A call, before it is encoded. */
typedef struct
{
  DlObjectAction action;
  const char *kinds; /* one kind, or a comma-separated list for LIST and WATCH */
  const char *name;  /* NULL for LIST and WATCH */
  const char *after; /* LIST: only names after this one; NULL for all */
  uint64_t revision; /* PUT, DELETE: expected (0: none exists); WATCH: changes after */
  uint64_t wait_ms;  /* WATCH: how long to wait for a change; LIST: for the objects, which
                      * a process that relays them may only just be reading */
  json_object *value;  /* PUT */
  uint64_t era;        /* newest that was known when the call was sent */
  bool new_connection; /* sent on a connection of its own */
} DlObjectRequest;

/* A call encoded as HTTP. */
typedef struct
{
  const char *method;
  char *url;
  char *header;      /* an additional header, or NULL */
  json_object *body; /* belongs to this structure; NULL for none */
} DlObjectHttpRequest;

/* The encoding of calls to an object API. */
typedef struct
{
  /* Encodes REQUEST for the API at ADDRESS.  Strings become talloc children of
   * CONTEXT. */
  void (*encode) (const void *context,
                  const char *address,
                  const DlObjectRequest *request,
                  DlObjectHttpRequest *http);
  /* Decodes the body of a successful response into RESULT, whose parts become
   * talloc children of CONTEXT.  Returns 0 or DL_ERR_MALFORMED. */
  int (*decode) (const void *context,
                 const DlObjectRequest *request,
                 json_object *body,
                 DlObjectResult *result);
  /* Response header with the era's number; NULL when it is in the body. */
  const char *era_header;
  /* Responses may be compressed, and have the headers above. */
  bool accepts_gzip;
} DlObjectProtocol;

/* RESULT is valid only during the call; parts can be kept with json_object_get and
 * talloc_steal. */
typedef void (*DlObjectFunc) (const DlObjectResult *result, void *data);

/* Creates a client of the platform at ADDRESS ("IP:PORT"), a talloc child of OWNER.  A
 * call times out after TIMEOUT_MS; a list, and the response to a watch, when nothing more
 * of it has arrived for so long. */
DlObjectClient *dl_object_client_new (DlTask *task,
                                      const void *owner,
                                      const char *address,
                                      uint64_t timeout_ms);
/* Like dl_object_client_new, with another PROTOCOL, which must outlive the client. */
DlObjectClient *dl_object_client_new_with_protocol (DlTask *task,
                                                    const void *owner,
                                                    const char *address,
                                                    uint64_t timeout_ms,
                                                    const DlObjectProtocol *protocol);
/* A request that was sent at SINCE_MS has had no response though a later one has: kept
 * connections are used again only if they have carried a response since. */
void dl_object_client_distrust (DlObjectClient *client, uint64_t since_ms);
/* The "IP:PORT" that the client calls; lives as long as the client. */
const char *dl_object_client_address (const DlObjectClient *client);
/* The era that the client compares responses with.  A response from an earlier one fails
 * with DL_ERR_UNAVAILABLE, or DL_ERR_UNKNOWN for a write; a watch that was sent in an
 * earlier one fails with DL_ERR_GONE. */
DlObjectEra *dl_object_client_era (const DlObjectClient *client);
/* Shares ERA with the other clients through which this process reads the same store; ERA
 * must outlive the client. */
void dl_object_client_share_era (DlObjectClient *client, DlObjectEra *era);
/* Sets how long after its WAIT_MS a watch times out; by default 2 s. */
void dl_object_client_set_watch_margin (DlObjectClient *client, uint64_t margin_ms);
/* Sets the largest response that is read, 64 MiB at first. */
void dl_object_client_set_max_body (DlObjectClient *client, size_t bytes);
/* Each of the following calls is a talloc child of OWNER and is freed after FUNC was
 * called.  Freeing OWNER earlier cancels the call without calling FUNC. */
void dl_object_get (DlObjectClient *client,
                    const void *owner,
                    const char *kind,
                    const char *name,
                    DlObjectFunc func,
                    void *data);
/* Writes VALUE, which is borrowed.  REVISION 0 creates the object; any other replaces
 * only that revision. */
void dl_object_put (DlObjectClient *client,
                    const void *owner,
                    const char *kind,
                    const char *name,
                    uint64_t revision,
                    json_object *value,
                    DlObjectFunc func,
                    void *data);
/* Deletes the object if it is at REVISION. */
void dl_object_delete (DlObjectClient *client,
                       const void *owner,
                       const char *kind,
                       const char *name,
                       uint64_t revision,
                       DlObjectFunc func,
                       void *data);
/* Lists the objects of KINDS, which are comma-separated. */
void dl_object_list (DlObjectClient *client,
                     const void *owner,
                     const char *kinds,
                     DlObjectFunc func,
                     void *data);
/* A page of a list. */
typedef struct
{
  const char *kinds; /* comma-separated */
  const char *after; /* name of the last object of the page before, whose result had MORE
                      * set; NULL for the first page */
  uint64_t wait_ms;  /* that the response may take longer than usual to begin; a process
                      * that relays the objects waits for them meanwhile */
} DlObjectPage;
/* Lists the objects of PAGE, whose strings are borrowed until this returns. */
void dl_object_list_page (DlObjectClient *client,
                          const void *owner,
                          const DlObjectPage *page,
                          DlObjectFunc func,
                          void *data);
/* Waits up to WAIT_MS for objects of KINDS that changed after the revision AFTER.
 * Returns the call, for dl_http_call_progress until FUNC is called. */
DlHttpCall *dl_object_watch (DlObjectClient *client,
                             const void *owner,
                             const char *kinds,
                             uint64_t after,
                             uint64_t wait_ms,
                             DlObjectFunc func,
                             void *data);
/* The same without a wait, on a new connection. */
DlHttpCall *dl_object_watch_anew (DlObjectClient *client,
                                  const void *owner,
                                  const char *kinds,
                                  uint64_t after,
                                  DlObjectFunc func,
                                  void *data);

/*
 * Searches among COUNT objects sorted by kind, then name.
 */
/* Returns the first object of KIND, or NULL, and stores the number of that kind in
 * *FOUND. */
const DlObject *dl_objects_of_kind (const DlObject *objects,
                                    size_t count,
                                    const char *kind,
                                    size_t *found);
/* Returns the object, or NULL. */
const DlObject *dl_objects_find (const DlObject *objects,
                                 size_t count,
                                 const char *kind,
                                 const char *name);

/* Returns whether NAME is valid: 1 to 128 characters of [A-Za-z0-9._-], the first not
 * ".". */
bool dl_object_name_is_valid (DlStr name);

#endif
