/*
 * The engine task: polls the engine's state and sends it load commands.  No other
 * task sends any.  policy/loader.h decides when.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "daisyslotd.h"
#include "kernel/error.h"
#include "kernel/http_client.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/loader.h"

#define STATE_INTERVAL_MS  DL_LOADER_STEP_MS
#define STATE_TIMEOUT_MS   2000
#define COMMAND_TIMEOUT_MS 5000
#define UNREACHABLE_POLLS  3 /* failed polls in a row */

DL_METRIC (metric_load_commands,
           DL_METRIC_COUNTER,
           "daisy_engine_orders_total",
           "Load commands sent to the engine.")
DL_METRIC (metric_load_failures,
           DL_METRIC_COUNTER,
           "daisy_engine_order_failures_total",
           "Load commands that the engine refused or did not respond to.")

typedef struct
{
  DlTask *task;
  const SlotSettings *settings;
  DlHttpClient *http;
  DlHttpCall *poll;
  DlLoader loader;
  DlLoaderFacts facts;
  bool leaving; /* according to the host list */
  unsigned missed_polls;
  uint32_t running;
  uint32_t queued;
  uint32_t capacity;
  char *engine_failure; /* that the engine reports; NULL: none */
  bool published;       /* ROTATION, at least once */
  bool accepting;       /* last published in ROTATION */
  DlTimer *timer;
} Engine;

static bool
is_model (const Engine *e)
{
  return e->settings->kind == DL_SERVICE_MODEL;
}

/* -------- messages to other tasks -------- */

static const char *
failure_text (const Engine *e)
{
  if (e->loader.failure != NULL)
    return e->loader.failure;
  return e->engine_failure;
}

static void
publish_engine (Engine *e)
{
  SlotMessage *m = dl_message_new (SLOT_MSG_ENGINE, sizeof *m);

  m->engine.reachable = e->facts.engine_reachable;
  m->engine.serving = e->facts.serving;
  m->engine.draining = e->loader.phase == DL_LOADER_DRAINING;
  m->engine.loading
      = e->loader.phase == DL_LOADER_SENDING || e->loader.phase == DL_LOADER_LOADING;
  m->engine.running = e->running;
  m->engine.queued = e->queued;
  m->engine.capacity = e->capacity;
  if (failure_text (e) != NULL)
    m->engine.failure = talloc_strdup (m, failure_text (e));
  dl_kernel_publish (dl_task_kernel (e->task), m);
}

static void
publish_rotation (Engine *e)
{
  bool accept = dl_loader_accepts (&e->loader, &e->facts) && !e->leaving;
  SlotMessage *m;

  if (e->published && accept == e->accepting)
    return;
  e->published = true;
  e->accepting = accept;
  m = dl_message_new (SLOT_MSG_ROTATION, sizeof *m);
  m->rotation.accept = accept;
  dl_kernel_publish (dl_task_kernel (e->task), m);
}

/* -------- load commands -------- */

static void engine_step (Engine *e);

static void
on_load_response (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Engine *e = data;
  int error = 0;

  if (result->error != 0)
    error = result->sent ? DL_ERR_UNKNOWN : DL_ERR_UNAVAILABLE;
  else if (result->status == 409)
    error = DL_ERR_FENCED;
  else if (result->status / 100 != 2)
    error = DL_ERR_UNAVAILABLE;
  dl_loader_command_done (&e->loader, dl_clock_ms (), error);
  if (error != 0)
    {
      dl_metric_add (&metric_load_failures, 1);
      dl_log (DL_EVENT_SLOT_ENGINE_REFUSED, DL_ERRNO (error),
              DL_UINT ("status", result->status));
    }
  engine_step (e);
}

static void
send_load_command (Engine *e)
{
  char version[DL_DIGEST_HEX_BYTES];
  char *url = talloc_asprintf (e, "http://%s/v1/load", e->settings->engine);
  char *body;

  dl_digest_to_hex (&e->facts.version, version);
  body = talloc_asprintf (url,
                          "{\"version\":\"%s\",\"fence\":%" PRIu64
                          ",\"weights\":\"http://%s/v1/blobs/\"}",
                          version, e->facts.fence, e->settings->weights_listen);
  dl_metric_add (&metric_load_commands, 1);
  dl_log (DL_EVENT_SLOT_ENGINE_ORDERED, DL_TEXT ("version", version),
          DL_UINT ("fence", e->facts.fence));
  dl_http_call (e->http, e,
                &(DlHttpCallOptions){
                    .method = "POST",
                    .url = url,
                    .body = dl_str (body),
                    .timeout_ms = COMMAND_TIMEOUT_MS,
                    .single_use = true,
                    .on_done = on_load_response,
                    .data = e,
                });
  talloc_free (url);
}

static void
engine_step (Engine *e)
{
  DlLoaderPhase before = e->loader.phase;
  DlLoaderAction action;

  e->facts.now_ms = dl_clock_ms ();
  e->facts.stopping = dl_kernel_stopping (dl_task_kernel (e->task));
  action = is_model (e) ? dl_loader_step (&e->loader, &e->facts) : DL_LOADER_NOTHING;
  /* ROTATION goes out before the command, so that the requests task refuses requests that
   * arrive later. */
  publish_rotation (e);
  if (before != DL_LOADER_DRAINING && e->loader.phase == DL_LOADER_DRAINING)
    dl_log (DL_EVENT_SLOT_DRAINING, DL_UINT ("running", e->facts.requests_running));
  if (before == DL_LOADER_LOADING && e->loader.phase == DL_LOADER_IDLE
      && e->loader.failure == NULL)
    dl_log (DL_EVENT_SLOT_ENGINE_LOADED);
  if (before == DL_LOADER_LOADING && e->loader.failure != NULL)
    dl_log (DL_EVENT_SLOT_ENGINE_REFUSED, DL_TEXT ("reason", e->loader.failure));
  if (action == DL_LOADER_SEND_LOAD)
    send_load_command (e);
  if (before != e->loader.phase)
    publish_engine (e);
}

/* -------- the engine's state -------- */

static uint64_t
get_uint (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_uint64 (value)
                                                         : 0;
}

/* Returns zero, meaning none, if the digest is absent or malformed. */
static DlDigest
get_digest (json_object *object, const char *key)
{
  DlDigest digest = { 0 };
  json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string)
      || dl_digest_from_hex (dl_str (json_object_get_string (value)), &digest) < 0)
    return (DlDigest){ 0 };
  return digest;
}

static void
update_state (Engine *e, json_object *state)
{
  json_object *failure;

  e->facts.serving = get_digest (state, "serving");
  e->facts.loading = get_digest (state, "loading");
  e->facts.engine_fence = get_uint (state, "fence");
  e->running = (uint32_t)get_uint (state, "running");
  e->queued = (uint32_t)get_uint (state, "queued");
  e->capacity = (uint32_t)get_uint (state, "capacity");
  talloc_free (e->engine_failure);
  e->engine_failure = NULL;
  if (json_object_object_get_ex (state, "failure", &failure)
      && json_object_get_string_len (failure) > 0)
    e->engine_failure = talloc_strdup (e, json_object_get_string (failure));
}

static void
on_state_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Engine *e = data;
  json_object *state = NULL;
  char *error = NULL;

  e->poll = NULL;
  if (result->error == 0 && result->status == 200
      && dl_json_parse (call, "engine state", result->body, &state, &error) == 0
      && json_object_is_type (state, json_type_object))
    {
      e->missed_polls = 0;
      e->facts.engine_reachable = true;
      update_state (e, state);
    }
  else if (++e->missed_polls == UNREACHABLE_POLLS)
    {
      e->facts.engine_reachable = false;
      e->facts.serving = (DlDigest){ 0 };
      dl_log (DL_EVENT_SLOT_ENGINE_SILENT);
    }
  json_object_put (state);
  engine_step (e);
  publish_engine (e);
}

static void
poll_state (Engine *e)
{
  char *url = talloc_asprintf (e, "http://%s/v1/state", e->settings->engine);

  e->poll = dl_http_call (e->http, e,
                          &(DlHttpCallOptions){
                              .url = url,
                              .timeout_ms = STATE_TIMEOUT_MS,
                              .on_done = on_state_done,
                              .data = e,
                          });
  talloc_free (url);
}

static void
on_timer (DlTimer *timer, void *data)
{
  Engine *e = data;

  if (is_model (e) && e->poll == NULL)
    poll_state (e);
  engine_step (e);
}

/* -------- the task -------- */

static int
engine_start (DlTask *task)
{
  Engine *e = talloc_zero (NULL, Engine);

  g_assert (e != NULL);
  dl_task_set_state (task, e);
  e->task = task;
  e->settings = slot_settings (task);
  e->http = dl_http_client_new (task, e);
  dl_loader_init (&e->loader, dl_clock_ms (), e->settings->guard_ms,
                  e->settings->drain_ms);
  /* A plain service has no state to poll.  Failing requests show that it is down. */
  e->facts.engine_reachable = !is_model (e);
  e->timer = dl_timer_subscribe (task, e, 0, STATE_INTERVAL_MS, on_timer, e);
  publish_engine (e);
  return 0;
}

static bool
directive_is_wanted (const SlotDirective *d)
{
  return d->state == DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_DISTRIBUTING
         || d->state == DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_LOADING
         || d->state == DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_COMPLETE;
}

static void
apply_directive (Engine *e, const SlotDirective *d)
{
  e->facts.has_directive = d != NULL;
  if (d == NULL)
    return;
  if (!dl_digest_equal (&e->facts.version, &d->version))
    e->facts.complete = false; /* until TRANSFER reports it for this version */
  e->facts.version = d->version;
  e->facts.fence = d->fence;
  if (d->may_load && !e->facts.may_load)
    dl_loader_reset_backoff (&e->loader);
  e->facts.may_load = d->may_load;
  e->facts.granted = d->granted;
  e->facts.wanted = directive_is_wanted (d);
}

static void
apply_members (Engine *e, const DlMembers *members)
{
  const DlMember *self = dl_members_find (members, e->settings->name);

  e->leaving = self != NULL && self->leaving;
}

static void
engine_handle (DlTask *task, const DlMessage *message)
{
  Engine *e = dl_task_state (task);
  const SlotMessage *m = (const SlotMessage *)message;

  switch ((SlotMessageType)message->type)
    {
    case SLOT_MSG_CONTACT:
      e->facts.in_contact = m->contact.in_contact;
      e->facts.contact_since_ms = m->contact.since_ms;
      break;
    case SLOT_MSG_DIRECTIVE:
      apply_directive (e, m->directive.directive);
      break;
    case SLOT_MSG_TRANSFER:
      e->facts.complete = m->transfer.complete
                          && dl_digest_equal (&m->transfer.version, &e->facts.version);
      break;
    case SLOT_MSG_LOAD:
      e->facts.requests_running = m->load.running;
      break;
    case SLOT_MSG_MEMBERS:
      apply_members (e, m->members.members);
      break;
    case SLOT_MSG_CONNECTION:
    case SLOT_MSG_FLEET:
    case SLOT_MSG_ENGINE:
    case SLOT_MSG_ROTATION:
    case SLOT_MSG_STATUS:
      return;
    }
  engine_step (e);
}

static json_object *
engine_dump (DlTask *task)
{
  static const char *const phases[] = { "idle", "draining", "ordering", "loading" };
  Engine *e = dl_task_state (task);
  json_object *dump = json_object_new_object ();
  char serving[DL_DIGEST_HEX_BYTES];

  dl_digest_to_hex (&e->facts.serving, serving);
  json_object_object_add (dump, "reachable",
                          json_object_new_boolean (e->facts.engine_reachable));
  json_object_object_add (dump, "serving", json_object_new_string (serving));
  json_object_object_add (dump, "phase",
                          json_object_new_string (phases[e->loader.phase]));
  json_object_object_add (dump, "order_pending",
                          json_object_new_boolean (e->loader.pending));
  json_object_object_add (dump, "accepting", json_object_new_boolean (e->accepting));
  json_object_object_add (dump, "running", json_object_new_int64 (e->running));
  json_object_object_add (dump, "queued", json_object_new_int64 (e->queued));
  if (failure_text (e) != NULL)
    json_object_object_add (dump, "failure", json_object_new_string (failure_text (e)));
  return dump;
}

static DlPlugin engine_plugin = {
  .name = "engine",
  .order = 30,
  .subscriptions = SLOT_SUBSCRIBE (SLOT_MSG_CONTACT) | SLOT_SUBSCRIBE (SLOT_MSG_DIRECTIVE)
                   | SLOT_SUBSCRIBE (SLOT_MSG_TRANSFER) | SLOT_SUBSCRIBE (SLOT_MSG_LOAD)
                   | SLOT_SUBSCRIBE (SLOT_MSG_MEMBERS),
  .start = engine_start,
  .handle = engine_handle,
  .dump = engine_dump,
};
DL_PLUGIN_REGISTER (engine_plugin)
