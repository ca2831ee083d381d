#include "kernel/object_client.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/metrics.h"

#define NAME_MAX_BYTES  128
#define LIST_MAX_BYTES  (64u << 20)
#define WATCH_MARGIN_MS 2000

DL_METRIC (metric_calls,
           DL_METRIC_COUNTER,
           "daisy_object_calls_total",
           "Calls to the platform's object API, a waiting watch counted as one.")
DL_METRIC (metric_failed,
           DL_METRIC_COUNTER,
           "daisy_object_calls_failed_total",
           "Calls to the object API that were refused for now or whose answer was lost.")

struct DlObjectClient
{
  DlTask *task;
  DlHttpClient *http;
  char *address;
  uint64_t timeout_ms;
};

typedef enum
{
  CALL_GET,
  CALL_PUT,
  CALL_DELETE,
  CALL_LIST,
  CALL_WATCH,
} CallKind;

typedef struct
{
  CallKind kind;
  DlObjectFunc func;
  void *data;
  uint64_t retry_after_ms;
} ObjectCall;

bool
dl_object_name_is_valid (DlStr name)
{
  if (name.length == 0 || name.length > NAME_MAX_BYTES || name.data[0] == '.')
    return false;
  for (size_t i = 0; i < name.length; i++)
    if (!g_ascii_isalnum (name.data[i]) && strchr ("._-", name.data[i]) == NULL)
      return false;
  return true;
}

/* -------- reading answers -------- */

static uint64_t
get_uint (json_object *object, const char *key)
{
  json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return 0;
  return json_object_get_uint64 (value);
}

static char *
get_text (const void *context, json_object *object, const char *key)
{
  json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return talloc_strdup (context, json_object_get_string (value));
}

static int
read_object (const void *context, json_object *from, DlObject *object)
{
  json_object *deleted;

  *object = (DlObject){
    .kind = get_text (context, from, "kind"),
    .name = get_text (context, from, "name"),
    .revision = get_uint (from, "revision"),
    .created = get_uint (from, "created"),
  };
  if (json_object_object_get_ex (from, "deleted", &deleted))
    object->deleted = json_object_get_boolean (deleted);
  json_object_object_get_ex (from, "value", &object->value);
  if (object->kind == NULL || object->name == NULL || object->revision == 0
      || (!object->deleted && object->value == NULL))
    return DL_ERR_MALFORMED;
  return 0;
}

static int
read_objects (const void *context, json_object *body, DlObjectResult *result)
{
  json_object *list;

  if (!json_object_object_get_ex (body, "objects", &list)
      || !json_object_is_type (list, json_type_array))
    return DL_ERR_MALFORMED;
  result->count = json_object_array_length (list);
  result->objects = talloc_zero_array (context, DlObject, MAX (result->count, 1));
  for (size_t i = 0; i < result->count; i++)
    if (read_object (context, json_object_array_get_idx (list, i), &result->objects[i])
        < 0)
      return DL_ERR_MALFORMED;
  return 0;
}

static int
read_answer (const void *context,
             CallKind kind,
             json_object *body,
             DlObjectResult *result)
{
  result->revision = get_uint (body, "revision");
  result->created = get_uint (body, "created");
  switch (kind)
    {
    case CALL_GET:
      result->count = 1;
      result->objects = talloc_zero (context, DlObject);
      return read_object (context, body, result->objects);
    case CALL_LIST:
    case CALL_WATCH:
      return read_objects (context, body, result);
    case CALL_PUT:
      return result->revision > 0 ? 0 : DL_ERR_MALFORMED;
    case CALL_DELETE:
      return 0;
    }
  return DL_ERR_MALFORMED;
}

static int
status_error (unsigned status)
{
  switch (status)
    {
    case 200:
      return 0;
    case 404:
      return DL_ERR_NOT_FOUND;
    case 409:
    case 412:
      return DL_ERR_CONFLICT;
    case 410:
      return DL_ERR_GONE;
    case 429:
      return DL_ERR_RATE_LIMITED;
    case 503:
      return DL_ERR_UNAVAILABLE;
    default:
      return DL_ERR_UNKNOWN;
    }
}

static bool
is_write (CallKind kind)
{
  return kind == CALL_PUT || kind == CALL_DELETE;
}

/* An answer lost after the request left may hide a write that took effect. */
static int
transport_error (const ObjectCall *call, const DlHttpResult *http)
{
  if (http->sent && is_write (call->kind))
    return DL_ERR_UNKNOWN;
  return DL_ERR_UNAVAILABLE;
}

static void
on_call_head (DlHttpCall *http, unsigned status, void *data)
{
  ObjectCall *call = data;
  const char *retry_after = dl_http_call_header (http, "Retry-After");
  uint64_t seconds;

  if (retry_after != NULL && dl_str_to_uint64 (dl_str (retry_after), &seconds) == 0)
    call->retry_after_ms = seconds * 1000;
}

static void
on_call_done (DlHttpCall *http, const DlHttpResult *answer, void *data)
{
  ObjectCall *call = data;
  DlObjectResult result = { .retry_after_ms = call->retry_after_ms };
  json_object *body = NULL;

  if (answer->error != 0)
    result.error = transport_error (call, answer);
  else
    result.error = status_error (answer->status);
  if (result.error == 0)
    {
      struct json_tokener *tokener = json_tokener_new ();

      body = json_tokener_parse_ex (tokener, answer->body.data, (int)answer->body.length);
      json_tokener_free (tokener);
      result.error = body != NULL && json_object_is_type (body, json_type_object)
                         ? read_answer (http, call->kind, body, &result)
                         : DL_ERR_MALFORMED;
      if (result.error < 0 && is_write (call->kind))
        result.error = DL_ERR_UNKNOWN;
    }
  if (result.error < 0 && result.error != DL_ERR_CONFLICT
      && result.error != DL_ERR_NOT_FOUND)
    dl_metric_add (&metric_failed, 1);
  call->func (&result, call->data);
  json_object_put (body);
}

/* -------- making calls -------- */

typedef struct
{
  CallKind kind;
  const char *method;
  const char *url;
  const char *header; /* a condition, or NULL */
  json_object *value;
  uint64_t timeout_ms;
} CallSpec;

static void
start_call (DlObjectClient *client,
            const void *owner,
            const CallSpec *spec,
            DlObjectFunc func,
            void *data)
{
  ObjectCall *call = talloc_zero (owner, ObjectCall);
  const char *headers[] = { "Content-Type: application/json", spec->header, NULL };
  DlStr body = { 0 };
  DlHttpCall *http;

  call->kind = spec->kind;
  call->func = func;
  call->data = data;
  if (spec->value != NULL)
    body = dl_str (json_object_to_json_string_ext (spec->value, JSON_C_TO_STRING_PLAIN));
  dl_metric_add (&metric_calls, 1);
  http
      = dl_http_call (client->http, owner,
                      &(DlHttpCallOptions){
                          .method = spec->method,
                          .url = spec->url,
                          .headers = headers,
                          .body = body,
                          .timeout_ms = spec->timeout_ms,
                          .max_body_bytes = LIST_MAX_BYTES,
                          /* A repeated conditional write would meet its own first try. */
                          .single_use = is_write (spec->kind),
                          .on_head = on_call_head,
                          .on_done = on_call_done,
                          .data = call,
                      });
  talloc_steal (http, call);
}

DlObjectClient *
dl_object_client_new (DlTask *task,
                      const void *owner,
                      const char *address,
                      uint64_t timeout_ms)
{
  DlObjectClient *client = talloc_zero (owner, DlObjectClient);

  g_assert (client != NULL);
  client->task = task;
  client->http = dl_http_client_new (task, client);
  client->address = talloc_strdup (client, address);
  client->timeout_ms = timeout_ms;
  return client;
}

void
dl_object_get (DlObjectClient *client,
               const void *owner,
               const char *kind,
               const char *name,
               DlObjectFunc func,
               void *data)
{
  char *url = talloc_asprintf (client, "http://%s/v1/objects/%s/%s", client->address,
                               kind, name);

  start_call (client, owner,
              &(CallSpec){
                  .kind = CALL_GET, .url = url, .timeout_ms = client->timeout_ms },
              func, data);
  talloc_free (url);
}

void
dl_object_put (DlObjectClient *client,
               const void *owner,
               const char *kind,
               const char *name,
               uint64_t revision,
               json_object *value,
               DlObjectFunc func,
               void *data)
{
  char *url = talloc_asprintf (client, "http://%s/v1/objects/%s/%s", client->address,
                               kind, name);
  char *header = revision > 0 ? talloc_asprintf (url, "If-Match: %" PRIu64, revision)
                              : talloc_strdup (url, "If-None-Match: *");

  start_call (client, owner,
              &(CallSpec){
                  .kind = CALL_PUT,
                  .method = "PUT",
                  .url = url,
                  .header = header,
                  .value = value,
                  .timeout_ms = client->timeout_ms,
              },
              func, data);
  talloc_free (url);
}

void
dl_object_delete (DlObjectClient *client,
                  const void *owner,
                  const char *kind,
                  const char *name,
                  uint64_t revision,
                  DlObjectFunc func,
                  void *data)
{
  char *url = talloc_asprintf (client, "http://%s/v1/objects/%s/%s", client->address,
                               kind, name);
  char *header = talloc_asprintf (url, "If-Match: %" PRIu64, revision);

  start_call (client, owner,
              &(CallSpec){
                  .kind = CALL_DELETE,
                  .method = "DELETE",
                  .url = url,
                  .header = header,
                  .timeout_ms = client->timeout_ms,
              },
              func, data);
  talloc_free (url);
}

void
dl_object_list (DlObjectClient *client,
                const void *owner,
                const char *kinds,
                DlObjectFunc func,
                void *data)
{
  char *url
      = talloc_asprintf (client, "http://%s/v1/objects?kinds=%s", client->address, kinds);

  start_call (client, owner,
              &(CallSpec){
                  .kind = CALL_LIST, .url = url, .timeout_ms = client->timeout_ms },
              func, data);
  talloc_free (url);
}

void
dl_object_watch (DlObjectClient *client,
                 const void *owner,
                 const char *kinds,
                 uint64_t after,
                 uint64_t wait_ms,
                 DlObjectFunc func,
                 void *data)
{
  char *url
      = talloc_asprintf (client,
                         "http://%s/v1/watch?kinds=%s&after=%" PRIu64 "&wait_ms=%" PRIu64,
                         client->address, kinds, after, wait_ms);

  start_call (client, owner,
              &(CallSpec){
                  .kind = CALL_WATCH,
                  .url = url,
                  .timeout_ms = wait_ms + WATCH_MARGIN_MS,
              },
              func, data);
  talloc_free (url);
}
