/*
 * The program standin: its options, knobs, the faults that all kinds share and the paths
 * below /test/.
 */
#include "standin.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/program.h"

#define BODY_MAX_BYTES   (64u << 20)
#define CONNECTIONS_MAX  8000
#define MICROSECONDS     1e6
#define RETRY_OUTAGE_MS  1000
#define IDLE_TIMEOUT_S   120
#define PERCENT          100
#define TEST_PATH_PREFIX "/test/"

typedef struct
{
  const char *listen;
  StandinKind *kind;
} Settings;

uint64_t standin_outage;
static uint64_t delay_ms;
static uint64_t jitter_ms;
static uint64_t seed = 1;
static GRand *random_source;
static StandinKind *kinds;
static DlTask *standin_task;

static const StandinKnob common_knobs[] = {
  { "outage", &standin_outage },
  { "delay_ms", &delay_ms },
  { "jitter_ms", &jitter_ms },
  { "seed", &seed },
  { 0 },
};

void
standin_register (StandinKind *kind)
{
  kind->next = kinds;
  kinds = kind;
}

/* -------- helpers for all kinds -------- */

bool
standin_count_down (uint64_t *count)
{
  if (*count == 0)
    return false;
  --*count;
  return true;
}

bool
standin_chance (uint64_t percent)
{
  return percent > 0
         && g_rand_int_range (random_source, 0, PERCENT) < (gint32)MIN (percent, PERCENT);
}

void
standin_bucket_fill (StandinBucket *bucket, uint64_t rate_per_s)
{
  uint64_t now = dl_clock_us ();
  double rate = (double)rate_per_s;

  if (bucket->filled_us == 0)
    bucket->tokens = rate;
  else
    bucket->tokens += rate * (double)(now - bucket->filled_us) / MICROSECONDS;
  bucket->tokens = MIN (bucket->tokens, rate);
  bucket->filled_us = now;
}

bool
standin_bucket_take (StandinBucket *bucket, uint64_t rate_per_s)
{
  if (rate_per_s == 0)
    return true;
  standin_bucket_fill (bucket, rate_per_s);
  if (bucket->tokens < 1)
    return false;
  bucket->tokens -= 1;
  return true;
}

uint64_t
standin_json_uint (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_uint64 (value)
                                                         : 0;
}

const char *
standin_json_text (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_string (value)
                                                         : "";
}

void
standin_json_set_uint (json_object *object, const char *key, uint64_t value)
{
  json_object_object_add (object, key, json_object_new_uint64 (value));
}

void
standin_json_set_text (json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key, json_object_new_string (text));
}

json_object *
standin_body (DlHttpRequest *request)
{
  DlStr text = dl_http_request_body (request);
  struct json_tokener *tokener = json_tokener_new ();
  json_object *body = json_tokener_parse_ex (tokener, text.data, (int)text.length);

  json_tokener_free (tokener);
  if (body != NULL && json_object_is_type (body, json_type_object))
    return body;
  json_object_put (body);
  dl_http_reply_error (request, 400, 0, "the body is no JSON object");
  return NULL;
}

void
standin_reply_status (DlHttpRequest *request, unsigned status)
{
  dl_http_reply_json (request, status, json_object_new_object ());
}

/* -------- knobs -------- */

static const StandinKnob *
find_knob (const StandinKnob *knobs, const char *name)
{
  for (const StandinKnob *k = knobs; k->name != NULL; k++)
    if (strcmp (k->name, name) == 0)
      return k;
  return NULL;
}

/* Returns false for an unknown name. */
static bool
set_knob (const StandinKind *kind, const char *name, uint64_t value)
{
  const StandinKnob *knob = find_knob (common_knobs, name);

  if (knob == NULL)
    knob = find_knob (kind->knobs, name);
  if (knob == NULL)
    return false;
  *knob->value = value;
  if (strcmp (name, "seed") == 0 && random_source != NULL)
    g_rand_set_seed (random_source, (guint32)seed);
  return true;
}

/* Sets a knob from "NAME=NUMBER". */
static bool
set_knob_text (const StandinKind *kind, const char *text)
{
  const char *equals = strchr (text, '=');
  uint64_t value;
  char *name;
  bool known;

  if (equals == NULL || dl_str_to_uint64 (dl_str (equals + 1), &value) < 0)
    return false;
  name = g_strndup (text, (gsize)(equals - text));
  known = set_knob (kind, name, value);
  g_free (name);
  return known;
}

static void
handle_fault (DlHttpRequest *request, const StandinKind *kind)
{
  json_object *body = standin_body (request);

  if (body == NULL)
    return;
  json_object_object_foreach (body, name, value)
    {
      if (!set_knob (kind, name, json_object_get_uint64 (value)))
        {
          dl_http_reply_error (request, 400, 0, "unknown fault: %s", name);
          json_object_put (body);
          return;
        }
    }
  json_object_put (body);
  if (kind->changed != NULL)
    kind->changed ();
  standin_reply_status (request, 200);
}

/* -------- requests -------- */

/* Handles a request after its delay, as the knob "outage" says. */
static void
handle_now (DlHttpRequest *request, const StandinKind *kind)
{
  switch ((StandinOutage)standin_outage)
    {
    case STANDIN_REFUSE:
      dl_http_reply_error (request, 503, RETRY_OUTAGE_MS, "outage");
      return;
    case STANDIN_HANG:
      return;
    case STANDIN_CLOSE:
      dl_http_abort (request);
      return;
    case STANDIN_UP:
    default:
      kind->handle (request);
    }
}

static void
on_delayed (DlTimer *timer, void *data)
{
  const Settings *settings = dl_kernel_settings (dl_task_kernel (standin_task));

  talloc_free (timer);
  handle_now (data, settings->kind);
}

static void
on_request (DlHttpRequest *request, void *data)
{
  const StandinKind *kind = data;
  const char *path = dl_http_request_path (request);
  uint64_t wait = delay_ms;

  if (strcmp (path, TEST_PATH_PREFIX "fault") == 0)
    handle_fault (request, kind);
  else if (strcmp (path, TEST_PATH_PREFIX "records") == 0)
    dl_http_reply_json (request, 200, kind->records ());
  else if (g_str_has_prefix (path, TEST_PATH_PREFIX))
    kind->handle (request);
  else
    {
      if (jitter_ms > 0)
        wait += (uint64_t)g_rand_int_range (random_source, 0, (gint32)jitter_ms + 1);
      if (wait > 0)
        dl_timer_subscribe (standin_task, request, wait, 0, on_delayed, request);
      else
        handle_now (request, kind);
    }
}

static int
standin_start (DlTask *task)
{
  const Settings *settings = dl_kernel_settings (dl_task_kernel (task));
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;
  DlHttpServer *server;

  limits.max_body_bytes = BODY_MAX_BYTES;
  limits.max_connections = CONNECTIONS_MAX;
  limits.idle_timeout_s = IDLE_TIMEOUT_S;
  standin_task = task;
  settings->kind->start (task);
  return dl_http_server_new (task, task, dl_str (settings->listen), &limits, on_request,
                             settings->kind, &server);
}

static DlPlugin standin_plugin = {
  .name = "standin",
  .start = standin_start,
};

DL_PLUGIN_REGISTER (standin_plugin)

/* -------- the program -------- */

static StandinKind *
find_kind (const char *name)
{
  for (StandinKind *k = kinds; k != NULL; k = k->next)
    if (name != NULL && strcmp (k->name, name) == 0)
      return k;
  return NULL;
}

static int
usage (const char *reason, const char *word)
{
  fprintf (stderr, "standin: %s: %s\n", reason, word != NULL ? word : "missing");
  return DL_EXIT_USAGE;
}

static int
run (const char *kind_name, const char *listen, char **assignments)
{
  Settings settings = { .listen = listen, .kind = find_kind (kind_name) };
  DlKernel *kernel;
  int status;

  if (settings.kind == NULL)
    return usage ("--kind", kind_name);
  if (listen == NULL)
    return usage ("--listen", listen);
  for (char **a = assignments; a != NULL && *a != NULL; a++)
    if (!set_knob_text (settings.kind, *a))
      return usage ("--set", *a);
  random_source = g_rand_new_with_seed ((guint32)seed);
  dl_log_open ("standin", kind_name, false);
  kernel = dl_kernel_new ("standin", kind_name, &settings);
  status = dl_kernel_run (kernel);
  talloc_free (kernel);
  g_rand_free (random_source);
  return status < 0 ? DL_EXIT_FAILURE : DL_EXIT_OK;
}

int
main (int argc, char **argv)
{
  char *kind = NULL;
  char *listen = NULL;
  char **assignments = NULL;
  GError *error = NULL;
  const GOptionEntry entries[] = {
    { "kind", 'k', 0, G_OPTION_ARG_STRING, &kind,
      "Kind of stand-in: platform, origin, engine, service, objects, weights or server",
      "KIND" },
    { "listen", 'l', 0, G_OPTION_ARG_STRING, &listen, "Address to listen on", "IP:PORT" },
    { "set", 's', 0, G_OPTION_ARG_STRING_ARRAY, &assignments, "Set a knob",
      "NAME=NUMBER" },
    { 0 },
  };
  GOptionContext *context = g_option_context_new (NULL);
  int status;

  g_option_context_add_main_entries (context, entries, NULL);
  if (g_option_context_parse (context, &argc, &argv, &error))
    status = run (kind, listen, assignments);
  else
    {
      status = usage (error->message, argv[argc - 1]);
      g_error_free (error);
    }
  g_option_context_free (context);
  g_free (kind);
  g_free (listen);
  g_strfreev (assignments);
  return status;
}
