/*
 * Parses and checks a caller's request: its path, headers and body.  This happens before
 * the request counts against any limit.
 */
#include <errno.h>
#include <string.h>
#include <talloc.h>

#include "callers.h"
#include "policy/prefix.h"

#define KEY_MAX_BYTES           256 /* of an Idempotency-Key */
#define GENERATE_PATH           "generate"
#define CALL_PATH               "call/"
#define HTTP_BAD_REQUEST        400
#define HTTP_NOT_FOUND          404
#define HTTP_METHOD_NOT_ALLOWED 405

/* Splits "NAME/generate" or "NAME/call/PATH" into the service's name and the path to
 * request from its upstreams.  *MODEL is set to whether it is the path of a model.
 * Returns 0 or -EINVAL. */
static int
split_path (const void *context,
            const char *path,
            char **service,
            bool *model,
            char **upstream_path)
{
  const char *slash = strchr (path, '/');

  if (slash == NULL || slash == path)
    return -EINVAL;
  *service = talloc_strndup (context, path, (size_t)(slash - path));
  *model = strcmp (slash + 1, GENERATE_PATH) == 0;
  if (*model)
    *upstream_path = talloc_strdup (context, "/v1/generate");
  else if (g_str_has_prefix (slash + 1, CALL_PATH))
    *upstream_path = talloc_strdup (context, slash + strlen (CALL_PATH));
  else
    return -EINVAL;
  return 0;
}

/* Returns false for a path that a service could normalise to a different one, which would
 * evade the list of non-idempotent calls. */
static bool
is_plain_path (const char *path)
{
  if (path[0] != '/')
    return false;
  for (const char *c = path; *c != '\0'; c++)
    if ((unsigned char)*c < ' ' || *c == '\\' || (c[0] == '/' && c[1] == '/')
        || (c[0] == '/' && c[1] == '.' && (c[2] == '/' || c[2] == '\0' || c[2] == '.')))
      return false;
  return true;
}

/* Returns the escaped request target: PATH and the query string. */
static char *
make_target (const void *context, DlHttpRequest *http, const char *path)
{
  char *escaped = g_uri_escape_string (path, "/:@!$&'()*+,;=", FALSE);
  char *query = dl_http_request_query_string (http, context);
  char *target = *query != '\0' ? talloc_asprintf (context, "%s?%s", escaped, query)
                                : talloc_strdup (context, escaped);

  g_free (escaped);
  return target;
}

/* Parses the JSON body of a request to a model.  Returns NULL, or the error. */
static const char *
parse_model_body (ParsedRequest *parsed)
{
  struct json_tokener *tokener = json_tokener_new ();
  json_object *body
      = json_tokener_parse_ex (tokener, parsed->body.data, (int)parsed->body.length);
  json_object *value;
  const char *error = NULL;

  json_tokener_free (tokener);
  if (!json_object_is_type (body, json_type_object))
    error = "the body must be a JSON object";
  else if (!json_object_object_get_ex (body, "prompt", &value)
           || !json_object_is_type (value, json_type_string))
    error = "prompt: must be a string";
  else if (parsed->service->route_by_prefix)
    parsed->prefix
        = dl_prefix_hash (dl_str_bytes (json_object_get_string (value),
                                        (size_t)json_object_get_string_len (value)));
  if (error == NULL && json_object_object_get_ex (body, "resume_from", &value))
    {
      int64_t from = json_object_get_int64 (value);

      if (!json_object_is_type (value, json_type_int) || from < 0 || from > INT32_MAX)
        error = "resume_from: must be a number of tokens";
      else
        parsed->resume_from = (uint32_t)from;
    }
  json_object_put (body);
  return error;
}

/* Parses the headers that describe the caller.  Returns NULL, or the error. */
static const char *
parse_headers (const DlFleet *fleet, DlHttpRequest *http, ParsedRequest *parsed)
{
  const char *type = dl_http_request_header (http, "Content-Type");
  const char *region = dl_http_request_header (http, "X-Region");
  int priority = dl_fleet_priority (fleet, dl_http_request_header (http, "X-Priority"));

  parsed->organisation = dl_http_request_header (http, "X-Organisation");
  parsed->key = dl_http_request_header (http, "Idempotency-Key");
  parsed->content_type = type != NULL ? type : "";
  parsed->region = region != NULL ? region : "";
  parsed->method = dl_http_request_method (http);
  parsed->body = dl_http_request_body (http);
  if (parsed->organisation == NULL)
    return "X-Organisation: required, but missing";
  if (priority < 0)
    return "X-Priority: no such priority";
  parsed->priority = (unsigned)priority;
  if (parsed->key != NULL
      && (*parsed->key == '\0' || strlen (parsed->key) > KEY_MAX_BYTES))
    return "Idempotency-Key: must have 1 to 256 bytes";
  return NULL;
}

/* Parses the path and looks up its service.  Returns NULL, or the error. */
static const char *
parse_service (const DlFleet *fleet,
               DlHttpRequest *http,
               const char *path,
               ParsedRequest *parsed)
{
  char *service;
  char *upstream_path;

  if (split_path (http, path, &service, &parsed->model, &upstream_path) < 0
      || !is_plain_path (upstream_path))
    return "no such path";
  parsed->service = dl_fleet_service (fleet, service);
  if (parsed->service == NULL
      || (parsed->service->kind == DL_SERVICE_MODEL) != parsed->model)
    return "no such service";
  parsed->path = make_target (http, http, upstream_path);
  return NULL;
}

const char *
callers_parse_request (const DlFleet *fleet,
                       DlHttpRequest *http,
                       const char *path,
                       ParsedRequest *parsed,
                       unsigned *status)
{
  const char *error;

  *status = HTTP_NOT_FOUND;
  error = parse_service (fleet, http, path, parsed);
  if (error != NULL)
    return error;
  *status = HTTP_METHOD_NOT_ALLOWED;
  if (parsed->model && strcmp (dl_http_request_method (http), "POST") != 0)
    return "the method must be POST";
  *status = HTTP_BAD_REQUEST;
  error = parse_headers (fleet, http, parsed);
  if (error == NULL && parsed->model)
    error = parse_model_body (parsed);
  return error;
}
