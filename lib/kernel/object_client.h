/*
 * Client of the platform's versioned object API.
 *
 * How a call is written on the wire and its answer read is a DlObjectProtocol; what
 * outcomes mean is the client's.  The protocol that dl_object_client_new takes, as the
 * stand-in of the test tree speaks it too (bodies are JSON):
 *
 *   GET    /v1/objects/KIND/NAME   200 {"kind","name","revision","created","value"} or
 * 404 PUT    /v1/objects/KIND/NAME   body: the value.  "If-Match: REVISION" replaces only
 *                                  that revision, "If-None-Match: *" only creates.
 *                                  200 {"revision","created"}; 412 on a conflict
 *   DELETE /v1/objects/KIND/NAME   "If-Match: REVISION"; 200 or 412 or 404
 *   GET    /v1/objects?kinds=A,B   200 {"revision", "objects": [as GET]}
 *   GET    /v1/watch?kinds=A,B&after=REVISION&wait_ms=N
 *                                  waits for a change after REVISION; 200 {"revision",
 *                                  "objects": [..., {"kind","name","revision",
 *                                  "deleted": true}]}; 410 when REVISION is too old
 *   GET    /v1/hosts               200 {"revision","hosts":[...]} (see members.h)
 *
 * 429 and 503 carry Retry-After.  Revisions rise over the whole store; "created" is the
 * revision that created the object.
 */
#ifndef DL_OBJECT_CLIENT_H
#define DL_OBJECT_CLIENT_H

#include "kernel/http_client.h"
#include "kernel/kernel.h"

#define DL_OBJECT_VALUE_MAX_BYTES (1u << 20)

typedef struct DlObjectClient DlObjectClient;

/* One object; below the result's context. */
typedef struct
{
  char *kind;
  char *name;
  uint64_t revision;
  uint64_t created;
  bool deleted;
  json_object *value; /* NULL when deleted */
} DlObject;

typedef struct
{
  /* 0, DL_ERR_CONFLICT, DL_ERR_NOT_FOUND, DL_ERR_RATE_LIMITED, DL_ERR_UNAVAILABLE (the
   * call certainly took no effect), DL_ERR_UNKNOWN (a write may have taken effect: read
   * back), DL_ERR_GONE, DL_ERR_MALFORMED */
  int error;
  uint64_t retry_after_ms; /* with RATE_LIMITED or UNAVAILABLE; 0 when not told */
  uint64_t revision;       /* of the written object, or of the list or watch */
  uint64_t created;
  size_t count;
  DlObject *objects;
  bool more; /* a list goes on after its last object */
  /* How long before the answer this was the platform's newest state, where another
   * process answers in its place; 0 from the platform itself. */
  uint64_t age_ms;
} DlObjectResult;

typedef enum
{
  DL_OBJECT_GET,
  DL_OBJECT_PUT,
  DL_OBJECT_DELETE,
  DL_OBJECT_LIST,
  DL_OBJECT_WATCH,
} DlObjectAction;

/* One call, before it is written for the wire. */
typedef struct
{
  DlObjectAction action;
  const char *kinds;  /* one kind, or comma-separated ones to list or watch */
  const char *name;   /* NULL to list or watch */
  const char *after;  /* name that a list goes on after; NULL from the start */
  uint64_t revision;  /* expected one of a write (0: must not exist), or watched from */
  uint64_t wait_ms;   /* of a watch */
  json_object *value; /* of a PUT */
} DlObjectRequest;

/* The same call as HTTP. */
typedef struct
{
  const char *method;
  char *url;
  char *header;      /* one more header, or NULL */
  json_object *body; /* owned; NULL for none */
} DlObjectHttpRequest;

/* One way of speaking to an object API. */
typedef struct
{
  /* Writes REQUEST for the API at ADDRESS; texts are below CONTEXT. */
  void (*encode) (const void *context,
                  const char *address,
                  const DlObjectRequest *request,
                  DlObjectHttpRequest *http);
  /* Reads the body of a successful answer into RESULT, below CONTEXT.  Returns 0 or
   * DL_ERR_MALFORMED. */
  int (*decode) (const void *context,
                 const DlObjectRequest *request,
                 json_object *body,
                 DlObjectResult *result);
} DlObjectProtocol;

/* RESULT ends with the call; keep what is needed (json_object_get, talloc_steal). */
typedef void (*DlObjectFunc) (const DlObjectResult *result, void *data);

/* ADDRESS is the platform's "IP:PORT". */
DlObjectClient *dl_object_client_new (DlTask *task,
                                      const void *owner,
                                      const char *address,
                                      uint64_t timeout_ms);
/* The same with another PROTOCOL, which must outlive the client. */
DlObjectClient *dl_object_client_new_with_protocol (DlTask *task,
                                                    const void *owner,
                                                    const char *address,
                                                    uint64_t timeout_ms,
                                                    const DlObjectProtocol *protocol);
/* "IP:PORT" of whom it asks; lives as long as the client. */
const char *dl_object_client_address (const DlObjectClient *client);
/* A watch is given up this long after its wait, in place of the usual time. */
void dl_object_client_set_watch_margin (DlObjectClient *client, uint64_t margin_ms);
/* Each call is a talloc child of OWNER, freed after FUNC; freeing OWNER earlier cancels
 * it without a callback. */
void dl_object_get (DlObjectClient *client,
                    const void *owner,
                    const char *kind,
                    const char *name,
                    DlObjectFunc func,
                    void *data);
/* Writes VALUE (borrowed).  REVISION 0 creates; another replaces just that revision. */
void dl_object_put (DlObjectClient *client,
                    const void *owner,
                    const char *kind,
                    const char *name,
                    uint64_t revision,
                    json_object *value,
                    DlObjectFunc func,
                    void *data);
void dl_object_delete (DlObjectClient *client,
                       const void *owner,
                       const char *kind,
                       const char *name,
                       uint64_t revision,
                       DlObjectFunc func,
                       void *data);
/* KINDS: comma-separated. */
void dl_object_list (DlObjectClient *client,
                     const void *owner,
                     const char *kinds,
                     DlObjectFunc func,
                     void *data);
/* Goes on with a list whose result said MORE; AFTER is its last object's name. */
void dl_object_list_after (DlObjectClient *client,
                           const void *owner,
                           const char *kinds,
                           const char *after,
                           DlObjectFunc func,
                           void *data);
void dl_object_watch (DlObjectClient *client,
                      const void *owner,
                      const char *kinds,
                      uint64_t after,
                      uint64_t wait_ms,
                      DlObjectFunc func,
                      void *data);

/*
 * Searches in COUNT objects sorted by kind, then name.
 */
/* First object of KIND and how many there are; NULL when there is none. */
const DlObject *dl_objects_of_kind (const DlObject *objects,
                                    size_t count,
                                    const char *kind,
                                    size_t *found);
/* NULL when absent. */
const DlObject *dl_objects_find (const DlObject *objects,
                                 size_t count,
                                 const char *kind,
                                 const char *name);

/* True for names that the API takes: 1 to 128 of [A-Za-z0-9._-], not starting with "." */
bool dl_object_name_is_valid (DlStr name);

#endif
