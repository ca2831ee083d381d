#include "node/object_watch_private.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "node/read_log.h"
#include "policy/backoff.h"

#define RETRY_FIRST_MS 150
/* Pause after a watch that returned no object in the first half of its wait. */
#define EARLY_PAUSE_MS 100
/* A watch that is sent this long after the store's answer to the one before has no gap.
 */
#define GAP_MAX_MS 150
/* The store answers a watch within this time after a change. */
#define ANSWER_MAX_MS 200
/* An outage of the store is one that lasts longer than this. */
#define OUTAGE_MIN_MS 5000
/* A reader answers a watch when its copy is synced again, which may be just after the
 * wait that the reader itself uses; hence a watch at a reader waits this much longer. */
#define RELAY_WAIT_SLACK_MS 100

static void start_list (DlObjectWatch *watch);
static void send_watch (DlObjectWatch *watch);

static void
on_object (const DlObject *object, void *data)
{
  DlObjectWatch *watch = data;

  if (watch->options.relay != NULL)
    dl_object_relay_update (watch->options.relay, object);
  watch->options.on_object (object, watch->options.data);
}

void
dl_object_watch_set_contact (DlObjectWatch *watch, int error)
{
  bool lost = error < 0;

  if (watch->lost == lost)
    return;
  watch->lost = lost;
  if (lost && watch->options.relay != NULL)
    dl_object_relay_set_unreachable (watch->options.relay, watch->options.kind);
  if (watch->options.on_contact != NULL)
    watch->options.on_contact (error, watch->options.data);
}

/* The request in progress was answered; if by a reader, that had last heard the store
 * AGE_MS before it was asked. */
void
dl_object_watch_note_origin (DlObjectWatch *watch, uint64_t age_ms)
{
  const char *server = dl_object_client_address (watch->server);

  watch->origin = watch->via_relay
                      ? (DlObjectOrigin){ .reader = server, .reader_age_ms = age_ms }
                      : (DlObjectOrigin){ 0 };
}

/* The known objects were current AGE_MS before the request was sent, or later. */
void
dl_object_watch_set_synced (DlObjectWatch *watch, uint64_t age_ms)
{
  watch->after_outage = false;
  watch->is_behind = false;
  watch->answered_ms = watch->via_relay ? 0 : dl_clock_ms ();
  if (watch->sent_ms > age_ms)
    watch->synced_ms = MAX (watch->synced_ms, watch->sent_ms - age_ms);
  watch->retry_ms = 0;
  if (watch->options.relay != NULL)
    dl_object_relay_set_synced (watch->options.relay, watch->options.kind, watch->era,
                                watch->revision, watch->synced_ms);
  if (watch->options.on_synced != NULL)
    watch->options.on_synced (watch->options.data);
}

/* -------- requests -------- */

void
dl_object_watch_log_failure (const DlObjectWatch *watch,
                             DlObjectAction action,
                             uint64_t sent_ms,
                             const DlObjectResult *result)
{
  const char *reader = watch->via_relay ? dl_object_client_address (watch->server) : NULL;

  dl_read_log_failure (&(DlFailedRead){ .action = action,
                                        .kind = watch->options.kind,
                                        .reader = reader,
                                        .sent_ms = sent_ms },
                       result);
}

/* The responses to the requests in progress are not wanted any more. */
static void
give_up_requests (DlObjectWatch *watch)
{
  watch->number++;
  TALLOC_FREE (watch->direct_timer);
  dl_hedged_watch_ignore (watch->hedged);
}

/* True for a request to the store itself that followed its last answer without a gap. */
static bool
follows_the_store (const DlObjectWatch *watch)
{
  return dl_object_watch_is_current (watch) && !watch->via_relay
         && watch->answered_ms != 0 && watch->sent_ms <= watch->answered_ms + GAP_MAX_MS;
}

static bool
was_paused (const DlObjectWatch *watch)
{
  return dl_kernel_resumed_ms (dl_task_kernel (watch->task)) >= watch->sent_ms;
}

/* The request in progress has ended.  If this process was paused meanwhile, the store had
 * not answered before, so that there was no news until then. */
static void
note_unchanged (DlObjectWatch *watch)
{
  uint64_t paused_ms = dl_kernel_paused_ms (dl_task_kernel (watch->task));

  if (follows_the_store (watch) && was_paused (watch)
      && paused_ms > watch->sent_ms + ANSWER_MAX_MS)
    watch->unchanged_ms = MAX (watch->unchanged_ms, paused_ms - ANSWER_MAX_MS);
}

static void
on_timer (DlTimer *timer, void *data)
{
  DlObjectWatch *watch = data;

  if (watch->synced_ms == 0 || dl_known_objects_is_listing (watch->known))
    start_list (watch);
  else
    dl_object_watch_continue_watch (watch);
}

void
dl_object_watch_run_after (DlObjectWatch *watch, uint64_t delay_ms)
{
  dl_timer_set (&watch->timer, watch->task, watch, delay_ms, on_timer, watch);
}

static DlRelayWant
want (const DlObjectWatch *watch)
{
  return (DlRelayWant){
    .kind = watch->options.kind,
    .synced_ms = watch->synced_ms,
    .apply_ms = watch->options.apply_ms,
  };
}

/* Time until the store is asked whatever the readers answer; UINT64_MAX for never. */
static uint64_t
direct_delay_ms (const DlObjectWatch *watch)
{
  DlRelayWant wanted = want (watch);
  uint64_t direct_ms = dl_relay_source_direct_ms (watch->options.source, &wanted);
  uint64_t now_ms = dl_clock_ms ();

  if (direct_ms == UINT64_MAX)
    return UINT64_MAX;
  return direct_ms > now_ms ? direct_ms - now_ms : 0;
}

static void
report_store_failure (DlObjectWatch *watch)
{
  DlRelayWant wanted = want (watch);

  if (watch->options.source != NULL)
    dl_relay_source_report_store_failure (watch->options.source, &wanted);
}

void
dl_object_watch_retry_later (DlObjectWatch *watch, const DlObjectResult *result)
{
  const DlBackoffBounds bounds
      = { .first_ms = RETRY_FIRST_MS, .max_ms = watch->options.retry_max_ms };

  dl_object_watch_set_contact (watch, result->error);
  report_store_failure (watch);
  watch->after_outage = watch->after_outage || !was_paused (watch);
  watch->answered_ms = 0;
  watch->retry_ms = dl_backoff_next_ms (watch->retry_ms, &bounds);
  dl_object_watch_run_after (watch,
                             dl_backoff_spread_ms (watch->retry_ms, dl_random_uint64 ()));
}

/* The reader that was asked is reading the objects itself. */
uint64_t
dl_object_watch_report_reading (DlObjectWatch *watch)
{
  return dl_relay_source_report_reading (watch->options.source, watch->options.kind);
}

/* The reader does not answer, or its copy is stale: reports that and tries again later,
 * with another reader or the store. */
void
dl_object_watch_retry_without_relay (DlObjectWatch *watch, const DlObjectResult *result)
{
  bool is_stale = result->responded && result->error == DL_ERR_UNAVAILABLE;
  uint64_t backoff_ms
      = dl_relay_source_report_failure (watch->options.source, watch->server,
                                        &(DlReaderFailure){ .kind = watch->options.kind,
                                                            .error = result->error,
                                                            .is_stale = is_stale });

  watch->answered_ms = 0;
  watch->is_behind = watch->is_behind || is_stale;
  dl_object_watch_run_after (watch, MIN (backoff_ms, direct_delay_ms (watch)));
}

/* Chooses between the store and a reader for the next watch. */
void
dl_object_watch_choose_server (DlObjectWatch *watch)
{
  DlRelayWant wanted = want (watch);
  DlObjectClient *relay = NULL;

  if (watch->options.source != NULL)
    relay = dl_relay_source_choose (watch->options.source, &wanted, &watch->is_reader);
  watch->via_relay = relay != NULL;
  watch->server = relay != NULL ? relay : watch->client;
}

/* True when the next request has to wait for a reader; it is tried again soon then. */
static bool
wait_for_reader (DlObjectWatch *watch)
{
  DlRelayWant wanted = want (watch);

  if (watch->options.source == NULL || watch->is_relisting
      || !dl_relay_source_must_wait (watch->options.source, &wanted))
    return false;
  dl_object_watch_run_after (watch, DL_OBJECT_WATCH_POLL_MS);
  return true;
}

static void
start_list (DlObjectWatch *watch)
{
  if (watch->synced_ms != 0 || !wait_for_reader (watch))
    dl_object_watch_send_list (watch);
}

void
dl_object_watch_continue_watch (DlObjectWatch *watch)
{
  if (!wait_for_reader (watch))
    send_watch (watch);
}

/* True when this entry reads the store because the readers' copies are too old.  It asks
 * at once and on a new connection, so that no second request is needed to find out
 * whether an old one is silent. */
static bool
replaces_reader (const DlObjectWatch *watch)
{
  return !watch->via_relay && watch->options.source != NULL
         && (watch->is_behind || direct_delay_ms (watch) == 0);
}

/* The wait of the next watch, unless the entry replaces a reader. */
static uint64_t
wait_ms (const DlObjectWatch *watch)
{
  const DlObjectWatchOptions *o = &watch->options;

  if (watch->is_refreshing)
    return 0;
  if (watch->via_relay)
    return o->reader_wait_ms + RELAY_WAIT_SLACK_MS;
  return watch->is_reader ? o->reader_wait_ms : o->wait_ms;
}

/* Pause after a watch that returned objects. */
static uint64_t
pause_ms (const DlObjectWatch *watch)
{
  if (watch->via_relay)
    return watch->options.relay_pause_ms;
  return watch->is_reader ? watch->options.reader_pause_ms : watch->options.pause_ms;
}

/* Pause before the next watch, after one that returned COUNT objects. */
static uint64_t
next_pause_ms (const DlObjectWatch *watch, size_t count)
{
  uint64_t lasted_ms = dl_clock_ms () - watch->sent_ms;

  if (count > 0 || (watch->via_relay && pause_ms (watch) == 0))
    return pause_ms (watch);
  return lasted_ms < watch->sent_wait_ms / 2 ? EARLY_PAUSE_MS : 0;
}

/* The response to a watch can be used. */
static void
apply_watch (DlObjectWatch *watch, const DlObjectResult *result)
{
  uint64_t next_ms;

  dl_object_watch_set_contact (watch, 0);
  dl_object_watch_note_origin (watch, result->age_ms);
  for (size_t i = 0; i < result->count; i++)
    dl_known_objects_apply (watch->known, &result->objects[i]);
  watch->revision = MAX (watch->revision, result->revision);
  dl_object_watch_set_synced (watch, result->age_ms);
  if (watch->via_relay)
    dl_relay_source_report_success (watch->options.source, watch->options.kind);
  if (result->is_reading)
    dl_object_watch_report_reading (watch);
  next_ms = next_pause_ms (watch, result->count);
  if (next_ms > 0)
    dl_object_watch_run_after (watch, next_ms);
  else
    dl_object_watch_continue_watch (watch);
}

/* The watch at a reader failed. */
static void
retry_watch_at_reader (DlObjectWatch *watch, const DlObjectResult *result)
{
  if (!result->is_reading)
    {
      dl_object_watch_retry_without_relay (watch, result);
      return;
    }
  dl_object_watch_run_after (watch, dl_object_watch_report_reading (watch));
}

static void
on_watch (const DlObjectResult *result, uint64_t sent_ms, void *data)
{
  DlObjectWatch *watch = data;

  TALLOC_FREE (watch->direct_timer);
  watch->sent_ms = sent_ms;
  note_unchanged (watch);
  if (result->error < 0 && !result->responded)
    dl_object_watch_log_failure (watch, DL_OBJECT_WATCH, sent_ms, result);
  if (result->error == DL_ERR_GONE)
    {
      watch->reader_is_ahead = watch->via_relay && result->responded;
      dl_object_watch_restart_list (watch);
      dl_object_watch_send_list (watch);
    }
  else if (result->error < 0 && watch->via_relay)
    retry_watch_at_reader (watch, result);
  else if (result->error < 0)
    dl_object_watch_retry_later (watch, result);
  else
    apply_watch (watch, result);
}

/* The reader has not answered while the copy became too old: as if it had said so. */
static void
on_direct (DlTimer *timer, void *data)
{
  DlObjectWatch *watch = data;

  TALLOC_FREE (watch->direct_timer);
  dl_hedged_watch_ignore (watch->hedged);
  dl_object_watch_retry_without_relay (watch,
                                       &(DlObjectResult){ .error = DL_ERR_UNAVAILABLE,
                                                          .responded = true });
}

/* Sets the time up to which the reader may answer the watch that is sent to it. */
static void
limit_reader (DlObjectWatch *watch)
{
  uint64_t delay_ms = watch->via_relay ? direct_delay_ms (watch) : UINT64_MAX;

  TALLOC_FREE (watch->direct_timer);
  if (delay_ms != UINT64_MAX)
    watch->direct_timer
        = dl_timer_subscribe (watch->task, watch, delay_ms, 0, on_direct, watch);
}

static void
send_watch (DlObjectWatch *watch)
{
  bool replaces;

  dl_object_watch_choose_server (watch);
  replaces = replaces_reader (watch);
  watch->sent_wait_ms = replaces ? 0 : wait_ms (watch);
  watch->is_refreshing = false;
  limit_reader (watch);
  dl_hedged_watch_send (watch->hedged, &(DlWatchRequest){
                                           .server = watch->server,
                                           .kind = watch->options.kind,
                                           .revision = watch->revision,
                                           .wait_ms = watch->sent_wait_ms,
                                           .is_hedged = !watch->via_relay && !replaces,
                                           .is_anew = replaces,
                                       });
}

/* -------- eras -------- */

/* Gives up the request in progress and lists the objects again. */
static void
on_new_era (void *data)
{
  DlObjectWatch *watch = data;
  uint64_t spread_ms = watch->options.relist_spread_ms;

  give_up_requests (watch);
  dl_known_objects_void_revisions (watch->known);
  dl_object_watch_restart_list (watch);
  if (!watch->is_relisting)
    watch->revision_before = watch->revision;
  watch->is_relisting = true;
  if (watch->options.relay != NULL)
    dl_object_relay_begin_era (watch->options.relay, watch->options.kind,
                               dl_object_era_current (
                                   dl_object_client_era (watch->client)));
  if (watch->options.on_new_era != NULL)
    watch->options.on_new_era (watch->options.data);
  dl_object_watch_run_after (watch, spread_ms > 0 ? dl_random_uint64 () % spread_ms : 0);
}

/* The progress of a watch at the store itself, for the relay. */
static DlReadProgress
progress (void *data)
{
  const DlObjectWatch *watch = data;

  if (watch->via_relay)
    return (DlReadProgress){ 0 };
  return dl_hedged_watch_progress (watch->hedged);
}

DlObjectWatch *
dl_object_watch_new (DlTask *task,
                     const void *owner,
                     DlObjectClient *client,
                     const DlObjectWatchOptions *options)
{
  DlObjectWatch *watch = talloc_zero (owner, DlObjectWatch);

  g_assert (watch != NULL && options->on_object != NULL);
  watch->task = task;
  watch->client = client;
  watch->options = *options;
  watch->known = dl_known_objects_new (watch, options->kind, on_object, watch);
  watch->hedged = dl_hedged_watch_new (task, watch, on_watch, watch);
  if (options->relay != NULL)
    dl_object_relay_set_progress (options->relay, options->kind, progress, watch);
  dl_object_era_subscribe (dl_object_client_era (client), watch, on_new_era, watch);
  if (options->first_delay_ms > 0)
    dl_object_watch_run_after (watch, options->first_delay_ms);
  else
    on_timer (NULL, watch);
  return watch;
}

void
dl_object_watch_refresh (DlObjectWatch *watch)
{
  if (!dl_object_watch_is_current (watch) || watch->retry_ms != 0)
    return;
  give_up_requests (watch);
  watch->is_refreshing = true;
  dl_object_watch_run_after (watch, 0);
}

uint64_t
dl_object_watch_synced_ms (const DlObjectWatch *watch)
{
  return watch->synced_ms;
}

DlObjectOrigin
dl_object_watch_origin (const DlObjectWatch *watch)
{
  return watch->origin;
}

bool
dl_object_watch_is_current (const DlObjectWatch *watch)
{
  return watch->synced_ms != 0 && !dl_known_objects_is_listing (watch->known);
}

bool
dl_object_watch_is_prompt (const DlObjectWatch *watch)
{
  return follows_the_store (watch) && !was_paused (watch);
}

uint64_t
dl_object_watch_unchanged_ms (const DlObjectWatch *watch)
{
  return MAX (watch->synced_ms, watch->unchanged_ms);
}

bool
dl_object_watch_is_after_outage (const DlObjectWatch *watch)
{
  return watch->is_relisting
         || (watch->after_outage && dl_clock_ms () > watch->synced_ms + OUTAGE_MIN_MS);
}
