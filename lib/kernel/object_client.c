#include "kernel/object_client.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/json_text.h"
#include "kernel/metrics.h"

#define NAME_MAX_BYTES  128
#define LIST_MAX_BYTES  (64u << 20)
#define WATCH_MARGIN_MS 2000
/* A connection that was idle for longer may have gone silent. */
#define IDLE_MAX_S 1

DL_METRIC (metric_calls,
           DL_METRIC_COUNTER,
           "daisy_object_calls_total",
           "Calls to the platform's object API; a watch counts as one call.")
DL_METRIC (
    metric_failed,
    DL_METRIC_COUNTER,
    "daisy_object_calls_failed_total",
    "Calls to the object API that were refused temporarily or whose response was lost.")

struct DlObjectClient
{
  DlTask *task;
  DlHttpClient *http;
  char *address;
  uint64_t timeout_ms;
  uint64_t margin_ms; /* timeout of a watch beyond its wait_ms */
  size_t max_body_bytes;
  const DlObjectProtocol *protocol;
  DlObjectEra *era;
};

typedef struct
{
  const DlObjectProtocol *protocol;
  DlObjectRequest request; /* copy, without value and after */
  DlObjectFunc func;
  void *data;
  uint64_t retry_after_ms;
  bool is_reading;     /* the response says so */
  DlObjectEra *era;    /* that of the client */
  uint64_t header_era; /* from the header that the protocol names */
  bool has_header_era;
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

/* -------- decoding responses -------- */

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

/* The value may be null, which has no type and no members. */
static int
read_object (const void *context, json_object *from, DlObject *object)
{
  json_object *deleted;
  bool has_value;

  *object = (DlObject){
    .kind = get_text (context, from, "kind"),
    .name = get_text (context, from, "name"),
    .revision = get_uint (from, "revision"),
    .created = get_uint (from, "created"),
  };
  if (json_object_object_get_ex (from, "deleted", &deleted))
    object->deleted = json_object_get_boolean (deleted);
  has_value = json_object_object_get_ex (from, "value", &object->value) != 0;
  if (object->kind == NULL || object->name == NULL || object->revision == 0
      || (!object->deleted && !has_value))
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
native_decode (const void *context,
               const DlObjectRequest *request,
               json_object *body,
               DlObjectResult *result)
{
  result->revision = get_uint (body, "revision");
  result->created = get_uint (body, "created");
  result->age_ms = get_uint (body, "age_ms");
  result->era = get_uint (body, "era");
  switch (request->action)
    {
    case DL_OBJECT_GET:
      result->count = 1;
      result->objects = talloc_zero (context, DlObject);
      return read_object (context, body, result->objects);
    case DL_OBJECT_LIST:
    case DL_OBJECT_WATCH:
      return read_objects (context, body, result);
    case DL_OBJECT_PUT:
      return result->revision > 0 ? 0 : DL_ERR_MALFORMED;
    case DL_OBJECT_DELETE:
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
    case 201:
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
    case 408: /* the request crossed the close of its connection; it was not run */
    case 503:
      return DL_ERR_UNAVAILABLE;
    default:
      return DL_ERR_UNKNOWN;
    }
}

static bool
is_write (DlObjectAction action)
{
  return action == DL_OBJECT_PUT || action == DL_OBJECT_DELETE;
}

/* When the response is lost after the request was sent, a write may have taken effect. */
static int
transport_error (const ObjectCall *call, const DlHttpResult *http)
{
  if (http->sent && is_write (call->request.action))
    return DL_ERR_UNKNOWN;
  return DL_ERR_UNAVAILABLE;
}

static void
read_era_header (ObjectCall *call, DlHttpCall *http)
{
  const char *name = call->protocol->era_header;
  const char *text = name != NULL ? dl_http_call_header (http, name) : NULL;

  call->has_header_era
      = text != NULL && dl_str_to_uint64 (dl_str (text), &call->header_era) == 0;
}

static void
on_call_head (DlHttpCall *http, unsigned status, void *data)
{
  ObjectCall *call = data;
  const char *retry_after = dl_http_call_header (http, "Retry-After");
  uint64_t seconds;

  if (retry_after != NULL && dl_str_to_uint64 (dl_str (retry_after), &seconds) == 0)
    call->retry_after_ms = seconds * 1000;
  call->is_reading = dl_http_call_header (http, DL_OBJECT_READING_HEADER) != NULL;
  read_era_header (call, http);
}

/* True when RESULT tells the era, if only by telling none. */
static bool
tells_era (const ObjectCall *call, const DlObjectResult *result)
{
  return call->protocol->era_header != NULL ? call->has_header_era : result->error == 0;
}

/* Fails a response that is from an earlier era than others, or a watch that was sent in
 * one. */
static void
check_era (const ObjectCall *call, DlObjectResult *result)
{
  if (call->has_header_era)
    result->era = call->header_era;
  if (!tells_era (call, result))
    return;
  if (!dl_object_era_observe (call->era, result->era))
    result->error = is_write (call->request.action) ? DL_ERR_UNKNOWN : DL_ERR_UNAVAILABLE;
  else if (result->error == 0 && call->request.action == DL_OBJECT_WATCH
           && call->request.era != result->era)
    result->error = DL_ERR_GONE;
}

static void
read_number_header (DlHttpCall *http, const char *name, uint64_t *value)
{
  const char *text = dl_http_call_header (http, name);
  uint64_t number;

  if (text != NULL && dl_str_to_uint64 (dl_str (text), &number) == 0)
    *value = number;
}

/* Decodes a successful response.  Returns 0 or DL_ERR_MALFORMED. */
static int
decode_response (const ObjectCall *call,
                 DlHttpCall *http,
                 json_object *body,
                 DlObjectResult *result)
{
  if (body == NULL)
    return DL_ERR_MALFORMED;
  if (call->protocol->decode (http, &call->request, body, result) < 0)
    return DL_ERR_MALFORMED;
  if (call->protocol->accepts_gzip)
    {
      read_number_header (http, DL_OBJECT_REVISION_HEADER, &result->revision);
      read_number_header (http, DL_OBJECT_ERA_HEADER, &result->era);
      read_number_header (http, DL_OBJECT_AGE_HEADER, &result->age_ms);
    }
  return 0;
}

static void
on_call_done (DlHttpCall *http, const DlHttpResult *response, void *data)
{
  ObjectCall *call = data;
  DlObjectResult result = {
    .responded = response->error == 0,
    .retry_after_ms = call->retry_after_ms,
    .is_late = response->error == -ETIMEDOUT && response->received_bytes == 0,
    .received_bytes = response->received_bytes,
    .is_reading = call->is_reading,
  };
  json_object *body = NULL;

  if (response->error != 0)
    result.error = transport_error (call, response);
  else
    result.error = status_error (response->status);
  if (result.error == 0)
    {
      body = dl_json_text_parse_object (response->body);
      result.error = decode_response (call, http, body, &result);
      if (result.error < 0 && is_write (call->request.action))
        result.error = DL_ERR_UNKNOWN;
    }
  if (response->error == 0)
    check_era (call, &result);
  if (result.error < 0 && result.error != DL_ERR_CONFLICT
      && result.error != DL_ERR_NOT_FOUND)
    dl_metric_add (&metric_failed, 1);
  call->func (&result, call->data);
  json_object_put (body);
}

/* -------- encoding and starting calls -------- */

/* The parameter that tells the era, as a talloc child of CONTEXT; empty without one. */
static const char *
era_parameter (const void *context, const DlObjectRequest *request)
{
  if (request->era == 0)
    return "";
  return talloc_asprintf (context, "&era=%" PRIu64, request->era);
}

/* The same for the wait of a list. */
static const char *
wait_parameter (const void *context, const DlObjectRequest *request)
{
  if (request->wait_ms == 0)
    return "";
  return talloc_asprintf (context, "&wait_ms=%" PRIu64, request->wait_ms);
}

static void
native_encode (const void *context,
               const char *address,
               const DlObjectRequest *request,
               DlObjectHttpRequest *http)
{
  switch (request->action)
    {
    case DL_OBJECT_LIST:
      http->method = "GET";
      http->url = talloc_asprintf (context, "http://%s/v1/objects?kinds=%s%s%s", address,
                                   request->kinds, era_parameter (context, request),
                                   wait_parameter (context, request));
      return;
    case DL_OBJECT_WATCH:
      http->method = "GET";
      http->url = talloc_asprintf (context,
                                   "http://%s/v1/watch?kinds=%s&after=%" PRIu64
                                   "&wait_ms=%" PRIu64 "%s",
                                   address, request->kinds, request->revision,
                                   request->wait_ms, era_parameter (context, request));
      return;
    case DL_OBJECT_GET:
      http->method = "GET";
      break;
    case DL_OBJECT_PUT:
      http->method = "PUT";
      http->body = json_object_get (request->value);
      http->header
          = request->revision > 0
                ? talloc_asprintf (context, "If-Match: %" PRIu64, request->revision)
                : talloc_strdup (context, "If-None-Match: *");
      break;
    case DL_OBJECT_DELETE:
      http->method = "DELETE";
      http->header = talloc_asprintf (context, "If-Match: %" PRIu64, request->revision);
      break;
    }
  http->url = talloc_asprintf (context, "http://%s/v1/objects/%s/%s", address,
                               request->kinds, request->name);
}

static const DlObjectProtocol native_protocol
    = { .encode = native_encode, .decode = native_decode, .accepts_gzip = true };

/* True for a call whose response may be long. */
static bool
is_listing (DlObjectAction action)
{
  return action == DL_OBJECT_LIST || action == DL_OBJECT_WATCH;
}

static uint64_t
call_timeout_ms (const DlObjectClient *client, const DlObjectRequest *request)
{
  return request->wait_ms
         + (request->action == DL_OBJECT_WATCH ? client->margin_ms : client->timeout_ms);
}

static DlHttpCall *
start_call (DlObjectClient *client,
            const void *owner,
            DlObjectRequest *request,
            DlObjectFunc func,
            void *data)
{
  ObjectCall *call = talloc_zero (owner, ObjectCall);
  DlObjectHttpRequest encoded = { 0 };
  const char *headers[] = { "Content-Type: application/json", NULL, NULL };
  DlStr body = { 0 };
  DlHttpCall *http;

  request->era = dl_object_era_current (client->era);
  call->protocol = client->protocol;
  call->era = client->era;
  call->request = *request;
  call->request.value = NULL;
  call->request.kinds = talloc_strdup (call, request->kinds);
  call->request.name = talloc_strdup (call, request->name);
  call->request.after = NULL;
  call->func = func;
  call->data = data;
  client->protocol->encode (call, client->address, request, &encoded);
  headers[1] = encoded.header;
  if (encoded.body != NULL)
    body = dl_str (json_object_to_json_string_ext (encoded.body, JSON_C_TO_STRING_PLAIN));
  dl_metric_add (&metric_calls, 1);
  http = dl_http_call (
      client->http, owner,
      &(DlHttpCallOptions){
          .method = encoded.method,
          .url = encoded.url,
          .headers = headers,
          .body = body,
          .timeout_ms = call_timeout_ms (client, request),
          .stall_ms = is_listing (request->action) ? client->timeout_ms : 0,
          .max_body_bytes = client->max_body_bytes,
          /* A conditional write sent twice would conflict with its own first attempt. */
          .single_use = is_write (request->action),
          .accepts_gzip = client->protocol->accepts_gzip,
          .new_connection = request->new_connection,
          .max_idle_s = IDLE_MAX_S,
          .on_head = on_call_head,
          .on_done = on_call_done,
          .data = call,
      });
  json_object_put (encoded.body);
  talloc_steal (http, call);
  return http;
}

const char *
dl_object_client_address (const DlObjectClient *client)
{
  return client->address;
}

DlObjectEra *
dl_object_client_era (const DlObjectClient *client)
{
  return client->era;
}

void
dl_object_client_share_era (DlObjectClient *client, DlObjectEra *era)
{
  client->era = era;
}

void
dl_object_client_distrust (DlObjectClient *client, uint64_t since_ms)
{
  dl_http_client_distrust (client->http, since_ms);
}

void
dl_object_client_set_watch_margin (DlObjectClient *client, uint64_t margin_ms)
{
  client->margin_ms = margin_ms;
}

void
dl_object_client_set_max_body (DlObjectClient *client, size_t bytes)
{
  client->max_body_bytes = bytes;
}

DlObjectClient *
dl_object_client_new_with_protocol (DlTask *task,
                                    const void *owner,
                                    const char *address,
                                    uint64_t timeout_ms,
                                    const DlObjectProtocol *protocol)
{
  DlObjectClient *client = talloc_zero (owner, DlObjectClient);

  g_assert (client != NULL);
  client->task = task;
  client->http = dl_http_client_new (task, client);
  client->address = talloc_strdup (client, address);
  client->timeout_ms = timeout_ms;
  client->protocol = protocol;
  client->margin_ms = WATCH_MARGIN_MS;
  client->max_body_bytes = LIST_MAX_BYTES;
  client->era = dl_object_era_new (client);
  return client;
}

DlObjectClient *
dl_object_client_new (DlTask *task,
                      const void *owner,
                      const char *address,
                      uint64_t timeout_ms)
{
  return dl_object_client_new_with_protocol (task, owner, address, timeout_ms,
                                             &native_protocol);
}

void
dl_object_get (DlObjectClient *client,
               const void *owner,
               const char *kind,
               const char *name,
               DlObjectFunc func,
               void *data)
{
  start_call (client, owner,
              &(DlObjectRequest){ .action = DL_OBJECT_GET, .kinds = kind, .name = name },
              func, data);
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
  start_call (client, owner,
              &(DlObjectRequest){
                  .action = DL_OBJECT_PUT,
                  .kinds = kind,
                  .name = name,
                  .revision = revision,
                  .value = value,
              },
              func, data);
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
  start_call (client, owner,
              &(DlObjectRequest){
                  .action = DL_OBJECT_DELETE,
                  .kinds = kind,
                  .name = name,
                  .revision = revision,
              },
              func, data);
}

void
dl_object_list_page (DlObjectClient *client,
                     const void *owner,
                     const DlObjectPage *page,
                     DlObjectFunc func,
                     void *data)
{
  start_call (client, owner,
              &(DlObjectRequest){ .action = DL_OBJECT_LIST,
                                  .kinds = page->kinds,
                                  .after = page->after,
                                  .wait_ms = page->wait_ms },
              func, data);
}

void
dl_object_list (DlObjectClient *client,
                const void *owner,
                const char *kinds,
                DlObjectFunc func,
                void *data)
{
  dl_object_list_page (client, owner, &(DlObjectPage){ .kinds = kinds }, func, data);
}

static DlHttpCall *
start_watch (DlObjectClient *client,
             const void *owner,
             DlObjectRequest request,
             DlObjectFunc func,
             void *data)
{
  request.action = DL_OBJECT_WATCH;
  return start_call (client, owner, &request, func, data);
}

DlHttpCall *
dl_object_watch (DlObjectClient *client,
                 const void *owner,
                 const char *kinds,
                 uint64_t after,
                 uint64_t wait_ms,
                 DlObjectFunc func,
                 void *data)
{
  return start_watch (client, owner,
                      (DlObjectRequest){
                          .kinds = kinds, .revision = after, .wait_ms = wait_ms },
                      func, data);
}

DlHttpCall *
dl_object_watch_anew (DlObjectClient *client,
                      const void *owner,
                      const char *kinds,
                      uint64_t after,
                      DlObjectFunc func,
                      void *data)
{
  return start_watch (client, owner,
                      (DlObjectRequest){
                          .kinds = kinds, .revision = after, .new_connection = true },
                      func, data);
}
