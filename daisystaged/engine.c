/*
 * Task "engine": polls the engine on this host for reports several times a second.
 */
#include <glib.h>
#include <talloc.h>

#include "daisystaged.h"
#include "kernel/http_client.h"
#include "kernel/log.h"
#include "platform.h"

#define REPORT_EVERY_MS 100
/* Interval while the engine is to load, when the next step depends on each report. */
#define REPORT_LOADING_MS 30
#define REPORT_TIMEOUT_MS 400
/* Reports missed in a row after which the engine counts as unresponsive. */
#define MISSES_MAX       2
#define REPORT_MAX_BYTES (64u << 10)
#define STATUS_OK        200

typedef struct
{
  DlTask *task;
  DlHttpClient *client;
  const char *address;
  unsigned layers;   /* of complete weights; 0 until known */
  bool loading;      /* as in StageMessage */
  unsigned misses;   /* reports missed in a row */
  uint64_t asked_ms; /* when the last report was asked for */
  bool unresponsive;
  DlTimer *timer;
} Engine;

static void request_report (Engine *engine);

static void
on_timer (DlTimer *timer, void *data)
{
  request_report (data);
}

static void
request_later (Engine *engine)
{
  dl_timer_restart (engine->timer, engine->loading ? REPORT_LOADING_MS : REPORT_EVERY_MS);
}

static void
set_unresponsive (Engine *engine, bool unresponsive)
{
  if (unresponsive != engine->unresponsive)
    dl_log_fields (unresponsive ? DL_EVENT_STAGE_ENGINE_SILENT
                                : DL_EVENT_STAGE_ENGINE_FOUND,
                   (const DlField[]){ DL_TEXT ("engine", engine->address),
                                      { .key = 0 } });
  engine->unresponsive = unresponsive;
}

static void
on_missed (Engine *engine)
{
  if (++engine->misses < MISSES_MAX)
    return;
  set_unresponsive (engine, true);
  dl_kernel_publish (dl_task_kernel (engine->task),
                     stage_message_new (STAGE_ENGINE_SILENT));
}

static void
on_report (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Engine *engine = data;
  StageMessage *message = stage_message_new (STAGE_ENGINE_REPORT);

  if (result->error == 0 && result->status == STATUS_OK
      && platform_read_report (message, result->body, engine->layers, &message->report)
             == 0)
    {
      message->report.leaving = platform_is_leaving (call);
      message->report.asked_ms = engine->asked_ms;
      engine->misses = 0;
      set_unresponsive (engine, false);
      dl_kernel_publish (dl_task_kernel (engine->task), message);
    }
  else
    {
      dl_message_unref (message);
      on_missed (engine);
    }
  request_later (engine);
}

static void
request_report (Engine *engine)
{
  engine->asked_ms = dl_clock_ms ();
  platform_call_report (engine->client, engine, engine->address,
                        &(DlHttpCallOptions){
                            .connect_timeout_ms = REPORT_TIMEOUT_MS,
                            .timeout_ms = REPORT_TIMEOUT_MS,
                            .max_body_bytes = REPORT_MAX_BYTES,
                            .on_done = on_report,
                            .data = engine,
                        });
}

static void
handle (DlTask *task, const DlMessage *head)
{
  Engine *engine = dl_task_state (task);

  const StageMessage *message = (const StageMessage *)head;

  if (head->type == STAGE_SOURCE)
    engine->layers = message->source.layers;
  else
    engine->loading = message->weights.use.out_of_use;
}

static int
start (DlTask *task)
{
  Engine *engine = talloc_zero (NULL, Engine);

  dl_task_set_state (task, engine);
  engine->task = task;
  engine->address = stage_settings (task)->engine;
  engine->client = dl_http_client_new (task, engine);
  engine->timer = dl_timer_subscribe (task, engine, 0, 0, on_timer, engine);
  return 0;
}

static DlPlugin engine_plugin = {
  .name = "engine",
  .order = 30,
  .subscriptions = UINT64_C (1) << STAGE_SOURCE | UINT64_C (1) << STAGE_WEIGHTS,
  .start = start,
  .handle = handle,
};
DL_PLUGIN_REGISTER (engine_plugin)
