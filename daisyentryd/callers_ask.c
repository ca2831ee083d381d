/*
 * What a caller's request must bring: its path, headers and body are read and checked
 * before anything is counted or sent.
 */
#include <errno.h>
#include <string.h>
#include <talloc.h>

#include "callers.h"
#include "policy/prefix.h"

#define KEY_MAX_BYTES    256
#define GENERATE_PATH    "generate"
#define CALL_PATH        "call/"
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND   404
#define HTTP_BAD_METHOD  405

/* Splits "NAME/generate" or "NAME/call/PATH"; returns 0 or -EINVAL. */
static int
split_path (
    const void *context, const char *path, char **service, bool *model, char **rest)
{
  const char *slash = strchr (path, '/');

  if (slash == NULL || slash == path)
    return -EINVAL;
  *service = talloc_strndup (context, path, (size_t)(slash - path));
  *model = strcmp (slash + 1, GENERATE_PATH) == 0;
  if (*model)
    *rest = talloc_strdup (context, "/v1/generate");
  else if (g_str_has_prefix (slash + 1, CALL_PATH))
    *rest = talloc_strdup (context, slash + strlen (CALL_PATH));
  else
    return -EINVAL;
  return 0;
}

/* A path that a service could read as another one must not pass by the list of calls that
 * may not be repeated. */
static bool
path_is_plain (const char *path)
{
  if (path[0] != '/')
    return false;
  for (const char *c = path; *c != '\0'; c++)
    if ((unsigned char)*c < ' ' || *c == '\\' || (c[0] == '/' && c[1] == '/')
        || (c[0] == '/' && c[1] == '.' && (c[2] == '/' || c[2] == '\0' || c[2] == '.')))
      return false;
  return true;
}

static char *
target_of (const void *context, DlHttpRequest *http, const char *path)
{
  char *escaped = g_uri_escape_string (path, "/:@!$&'()*+,;=", FALSE);
  char *query = dl_http_request_query_string (http, context);
  char *target = *query != '\0' ? talloc_asprintf (context, "%s?%s", escaped, query)
                                : talloc_strdup (context, escaped);

  g_free (escaped);
  return target;
}

/* Reads what the caller gave; returns NULL, or what it must change. */
static const char *
read_model_body (CallerAsk *ask)
{
  struct json_tokener *tokener = json_tokener_new ();
  json_object *body
      = json_tokener_parse_ex (tokener, ask->body.data, (int)ask->body.length);
  json_object *value;
  const char *error = NULL;

  json_tokener_free (tokener);
  if (!json_object_is_type (body, json_type_object))
    error = "the body must be a JSON object";
  else if (!json_object_object_get_ex (body, "prompt", &value)
           || !json_object_is_type (value, json_type_string))
    error = "prompt: must be a string";
  else if (ask->service->route_by_prefix)
    ask->prefix
        = dl_prefix_hash (dl_str_bytes (json_object_get_string (value),
                                        (size_t)json_object_get_string_len (value)));
  if (error == NULL && json_object_object_get_ex (body, "resume_from", &value))
    {
      int64_t from = json_object_get_int64 (value);

      if (!json_object_is_type (value, json_type_int) || from < 0 || from > INT32_MAX)
        error = "resume_from: must be a number of tokens";
      else
        ask->resume_from = (uint32_t)from;
    }
  json_object_put (body);
  return error;
}

static const char *
read_caller (const DlFleet *fleet, DlHttpRequest *http, CallerAsk *ask)
{
  const char *type = dl_http_request_header (http, "Content-Type");
  const char *region = dl_http_request_header (http, "X-Region");
  int priority = dl_fleet_priority (fleet, dl_http_request_header (http, "X-Priority"));

  ask->organisation = dl_http_request_header (http, "X-Organisation");
  ask->key = dl_http_request_header (http, "Idempotency-Key");
  ask->content_type = type != NULL ? type : "";
  ask->region = region != NULL ? region : "";
  ask->method = dl_http_request_method (http);
  ask->body = dl_http_request_body (http);
  if (ask->organisation == NULL)
    return "X-Organisation: required, but missing";
  if (priority < 0)
    return "X-Priority: no such priority";
  ask->priority = (unsigned)priority;
  if (ask->key != NULL && (*ask->key == '\0' || strlen (ask->key) > KEY_MAX_BYTES))
    return "Idempotency-Key: must have 1 to 256 bytes";
  return NULL;
}

static const char *
read_service (const DlFleet *fleet, DlHttpRequest *http, const char *path, CallerAsk *ask)
{
  char *service;
  char *rest;

  if (split_path (http, path, &service, &ask->model, &rest) < 0 || !path_is_plain (rest))
    return "no such path";
  ask->service = dl_fleet_service (fleet, service);
  if (ask->service == NULL || (ask->service->kind == DL_SERVICE_MODEL) != ask->model)
    return "no such service";
  ask->path = target_of (http, http, rest);
  return NULL;
}

const char *
callers_read_ask (const DlFleet *fleet,
                  DlHttpRequest *http,
                  const char *path,
                  CallerAsk *ask,
                  unsigned *status)
{
  const char *error;

  *status = HTTP_NOT_FOUND;
  error = read_service (fleet, http, path, ask);
  if (error != NULL)
    return error;
  *status = HTTP_BAD_METHOD;
  if (ask->model && strcmp (dl_http_request_method (http), "POST") != 0)
    return "the method must be POST";
  *status = HTTP_BAD_REQUEST;
  error = read_caller (fleet, http, ask);
  if (error == NULL && ask->model)
    error = read_model_body (ask);
  return error;
}
