/* HTTP requests of the runner, and access to the stand-ins' records and knobs. */
#include <curl/curl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "direct.h"

#define CALL_TIMEOUT_MS     20000
#define EVENTUALLY_TRIES    600
#define EVENTUALLY_PAUSE_US 50000

static size_t
append (char *data, size_t size, size_t n, void *user)
{
  g_string_append_len (user, data, (gssize)(size * n));
  return size * n;
}

/* A body being received. */
typedef struct
{
  GString *bytes;
  unsigned stall_ms;
} Receiver;

static size_t
receive (char *data, size_t size, size_t n, void *user)
{
  Receiver *receiver = user;

  if (receiver->bytes->len == 0)
    g_usleep ((gulong)receiver->stall_ms * 1000);
  return append (data, size, n, receiver->bytes);
}

static struct curl_slist *
add_header (struct curl_slist *list, const char *name, const char *value)
{
  char *line;

  if (value == NULL)
    return list;
  line = g_strdup_printf ("%s: %s", name, value);
  list = curl_slist_append (list, line);
  g_free (line);
  return list;
}

static struct curl_slist *
call_headers (const Call *c)
{
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  char *key = c->key != NULL ? g_strdup_printf ("Token %s", c->key) : NULL;
  char *deadline = c->deadline_ms > 0 ? g_strdup_printf ("%u", c->deadline_ms) : NULL;

  list = add_header (list, "Host", c->host);
  list = add_header (list, "X-Request-Id", c->id);
  list = add_header (list, "Authorization", key);
  list = add_header (list, "X-Deadline-Ms", deadline);
  if (c->header != NULL)
    list = curl_slist_append (list, c->header);
  g_free (key);
  g_free (deadline);
  return list;
}

/* Notes in *USER that the request has been sent. */
static int
on_debug (CURL *easy, curl_infotype type, char *data, size_t size, void *user)
{
  if (type == CURLINFO_HEADER_OUT)
    *(bool *)user = true;
  return 0;
}

/* Opens no connection once the request has been sent, which would send it again. */
static curl_socket_t
open_socket (void *user, curlsocktype purpose, struct curl_sockaddr *at)
{
  if (*(bool *)user)
    return CURL_SOCKET_BAD;
  return socket (at->family, at->socktype | SOCK_CLOEXEC, at->protocol);
}

static void
send_once (CURL *easy, bool *sent)
{
  curl_easy_setopt (easy, CURLOPT_VERBOSE, 1L);
  curl_easy_setopt (easy, CURLOPT_DEBUGFUNCTION, on_debug);
  curl_easy_setopt (easy, CURLOPT_DEBUGDATA, sent);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, sent);
}

Response
call (const Call *c)
{
  CURL *easy = c->curl != NULL ? c->curl : curl_easy_init ();
  struct curl_slist *headers = call_headers (c);
  GString *body = g_string_new (NULL);
  GString *head = g_string_new (NULL);
  Receiver receiver = { .bytes = body, .stall_ms = c->stall_ms };
  char *url = g_strdup_printf ("http://%s/", c->address);
  long status = 0;
  bool sent = false;
  CURLcode code;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, c->target);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, receive);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &receiver);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, append);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, head);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)(c->disconnect_ms > 0 ? c->disconnect_ms : CALL_TIMEOUT_MS));
  if (c->body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, c->body);
  if (c->method != NULL)
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, c->method);
  if (c->once)
    send_once (easy, &sent);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  if (c->curl != NULL)
    curl_easy_reset (easy); /* keeps its connections */
  else
    curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  g_free (url);
  return (Response){
    .status = (int)status,
    .complete = code == CURLE_OK,
    .sent = sent,
    .body = g_string_free (body, FALSE),
    .headers = g_string_free (head, FALSE),
  };
}

void
response_free (Response *response)
{
  g_free (response->body);
  g_free (response->headers);
  *response = (Response){ 0 };
}

static gpointer
run_background (gpointer data)
{
  Background *b = data;

  b->response = call (&b->options);
  return NULL;
}

void
background_start (Background *b, const Call *options)
{
  b->options = *options;
  b->thread = g_thread_new ("call", run_background, b);
}

void
background_join (Background *b)
{
  g_thread_join (b->thread);
}

char *
response_header (const Response *response, const char *name)
{
  char **lines = g_strsplit (response->headers, "\r\n", -1);
  size_t length = strlen (name);
  char *value = NULL;

  for (char **l = lines; *l != NULL && value == NULL; l++)
    if (g_ascii_strncasecmp (*l, name, length) == 0 && (*l)[length] == ':')
      value = g_strstrip (g_strdup (*l + length + 1));
  g_strfreev (lines);
  return value;
}

json_object *
fetch_records (const char *address)
{
  Response r = call (&(Call){ .address = address, .target = "/test/records" });
  json_object *object = r.status == 200 ? json_tokener_parse (r.body) : NULL;

  response_free (&r);
  return object;
}

uint64_t
recorded (const char *address, const char *path)
{
  json_object *object = fetch_records (address);
  json_object *at = object;
  char **keys = g_strsplit (path, ".", -1);
  uint64_t value;

  for (char **k = keys; *k != NULL; k++)
    at = json_object_object_get (at, *k);
  value = json_object_get_uint64 (at);
  g_strfreev (keys);
  json_object_put (object);
  return value;
}

bool
set_fault (const char *address, const char *knob, uint64_t value)
{
  char *body = g_strdup_printf ("{\"%s\": %" G_GUINT64_FORMAT "}", knob, value);
  Response r
      = call (&(Call){ .address = address, .target = "/test/fault", .body = body });
  bool done = r.status == 200;

  response_free (&r);
  g_free (body);
  return done;
}

bool
eventually (bool (*condition) (Testbed *testbed), Testbed *testbed)
{
  for (int i = 0; i < EVENTUALLY_TRIES; i++)
    {
      if (condition (testbed))
        return true;
      g_usleep (EVENTUALLY_PAUSE_US);
    }
  return false;
}
