/* What a request says: its line, headers, query and body. */
#include <glib.h>
#include <microhttpd.h>
#include <talloc.h>

#include "kernel/http_server_private.h"

uint64_t
dl_http_request_arrived_ms (const DlHttpRequest *request)
{
  return request->arrived_ms;
}

const char *
dl_http_request_method (const DlHttpRequest *request)
{
  return request->method;
}

const char *
dl_http_request_target (const DlHttpRequest *request)
{
  return request->target;
}

const char *
dl_http_request_path (const DlHttpRequest *request)
{
  return request->path;
}

DlStr
dl_http_request_body (const DlHttpRequest *request)
{
  return dl_buffer_view (request->body);
}

const char *
dl_http_request_header (const DlHttpRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, name);
}

const char *
dl_http_request_query (const DlHttpRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);
}

static enum MHD_Result
append_argument (void *data, enum MHD_ValueKind kind, const char *key, const char *value)
{
  GString *query = data;

  if (query->len > 0)
    g_string_append_c (query, '&');
  g_string_append_uri_escaped (query, key, NULL, FALSE);
  if (value == NULL)
    return MHD_YES;
  g_string_append_c (query, '=');
  g_string_append_uri_escaped (query, value, NULL, FALSE);
  return MHD_YES;
}

char *
dl_http_request_query_string (const DlHttpRequest *request, const void *context)
{
  GString *query = g_string_new (NULL);
  char *copy;

  MHD_get_connection_values (request->connection, MHD_GET_ARGUMENT_KIND, append_argument,
                             query);
  copy = talloc_strdup (context, query->str);
  g_string_free (query, TRUE);
  return copy;
}

void
dl_http_request_on_closed (DlHttpRequest *request, DlHttpClosedFunc func, void *data)
{
  request->on_closed = func;
  request->closed_data = data;
}

typedef struct
{
  DlHttpHeaderFunc func;
  void *data;
} HeaderVisit;

static enum MHD_Result
visit_header (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
  const HeaderVisit *visit = data;

  visit->func (name, value != NULL ? value : "", visit->data);
  return MHD_YES;
}

void
dl_http_request_each_header (const DlHttpRequest *request,
                             DlHttpHeaderFunc func,
                             void *data)
{
  HeaderVisit visit = { .func = func, .data = data };

  MHD_get_connection_values (request->connection, MHD_HEADER_KIND, visit_header, &visit);
}
