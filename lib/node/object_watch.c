#include "node/object_watch.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "node/hedged_watch.h"
#include "node/known_objects.h"
#include "node/read_log.h"
#include "policy/backoff.h"
#include "policy/list_wait.h"

#define RETRY_FIRST_MS 150
/* While a reader is waited for, it is looked for this often. */
#define READER_POLL_MS 50
/* A list waits so long at a reader that is reading the objects itself. */
#define LIST_WAIT_MS 1000
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

struct DlObjectWatch
{
  DlTask *task;
  DlObjectClient *client; /* of the store */
  DlObjectWatchOptions options;
  DlKnownObjects *known;
  char *list_after;       /* name after which the next page starts; NULL at the first */
  uint64_t list_revision; /* of the first page of the list in progress */
  bool list_failed;       /* the last call for a list at the store did */
  bool reader_is_ahead;   /* a reader no longer knows the changes since this revision */
  uint64_t list_wait_ms;  /* of the next one, see policy/list_wait.h */
  uint64_t revision;      /* all changes up to it are known */
  uint64_t sent_wait_ms;  /* wait of the watch request in progress */
  uint64_t sent_ms; /* of the watch that was last answered, or of the list's first page */
  uint64_t synced_ms;    /* 0 before the first list is complete */
  uint64_t retry_ms;     /* backoff; 0 while requests succeed */
  bool is_refreshing;    /* the next watch request does not wait */
  bool lost;             /* the store did not answer last time */
  bool after_outage;     /* the same, until what it shows now has been handled */
  uint64_t unchanged_ms; /* the store had no news before this, see note_unchanged */
  uint64_t answered_ms;  /* last answer of the store itself; 0: failed, or was a reader */
  bool via_relay;        /* the request in progress goes to a reader */
  bool is_reader;        /* this process reads the store for others */
  bool is_behind;        /* the last reader's copy was too old */
  DlObjectClient *server; /* that the request in progress was sent to */
  DlObjectOrigin origin;  /* of the last answer */
  uint64_t number;       /* of the last list; the responses to earlier ones are ignored */
  DlHedgedWatch *hedged; /* sends the watches, also those without a wait */
  bool is_relisting;     /* the list in progress is the first of a new era */
  uint64_t era;          /* of the store when the revisions were read */
  uint64_t revision_before; /* the last one known of the era before */
  DlTimer *timer;
  DlTimer *direct_timer; /* when the store is asked in the place of a reader that does not
                            answer; NULL for none */
};

/* A request for a list. */
typedef struct
{
  DlObjectWatch *watch;
  uint64_t sent_ms;
  uint64_t number;
} Request;

static void start_list (DlObjectWatch *watch);
static void send_list (DlObjectWatch *watch);
static void continue_watch (DlObjectWatch *watch);
static void send_watch (DlObjectWatch *watch);

static void
on_object (const DlObject *object, void *data)
{
  DlObjectWatch *watch = data;

  if (watch->options.relay != NULL)
    dl_object_relay_update (watch->options.relay, object);
  watch->options.on_object (object, watch->options.data);
}

static void
set_contact (DlObjectWatch *watch, int error)
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

/* The request in progress was answered, by a reader AGE_MS after that had last heard the
 * store. */
static void
note_origin (DlObjectWatch *watch, uint64_t age_ms)
{
  const char *server = dl_object_client_address (watch->server);

  watch->origin = watch->via_relay
                      ? (DlObjectOrigin){ .reader = server, .reader_age_ms = age_ms }
                      : (DlObjectOrigin){ 0 };
}

/* The known objects were current AGE_MS before the request was sent, or later. */
static void
set_synced (DlObjectWatch *watch, uint64_t age_ms)
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

static Request *
request_new (DlObjectWatch *watch)
{
  Request *request = talloc_zero (watch, Request);

  request->watch = watch;
  request->sent_ms = dl_clock_ms ();
  request->number = ++watch->number;
  return request;
}

static void
log_failure (const DlObjectWatch *watch,
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

/* Frees REQUEST, which has ended with RESULT, and returns whether its response is still
 * wanted. */
static bool
request_end (Request *request, const DlObjectResult *result)
{
  bool is_wanted = request->number == request->watch->number;

  if (is_wanted && result->error < 0 && result->error != DL_ERR_NOT_FOUND)
    log_failure (request->watch, DL_OBJECT_LIST, request->sent_ms, result);
  talloc_free (request);
  return is_wanted;
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
    continue_watch (watch);
}

static void
run_after (DlObjectWatch *watch, uint64_t delay_ms)
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

static void
retry_later (DlObjectWatch *watch, const DlObjectResult *result)
{
  const DlBackoffBounds bounds
      = { .first_ms = RETRY_FIRST_MS, .max_ms = watch->options.retry_max_ms };

  set_contact (watch, result->error);
  report_store_failure (watch);
  watch->after_outage = watch->after_outage || !was_paused (watch);
  watch->answered_ms = 0;
  watch->retry_ms = dl_backoff_next_ms (watch->retry_ms, &bounds);
  run_after (watch, dl_backoff_spread_ms (watch->retry_ms, dl_random_uint64 ()));
}

static void
restart_list (DlObjectWatch *watch)
{
  dl_known_objects_begin_list (watch->known);
  TALLOC_FREE (watch->list_after);
}

/* The reader does not answer, or its copy is stale: reports that and tries again later,
 * with another reader or the store. */
static void
retry_without_relay (DlObjectWatch *watch, const DlObjectResult *result)
{
  bool is_stale = result->responded && result->error == DL_ERR_UNAVAILABLE;
  uint64_t backoff_ms
      = dl_relay_source_report_failure (watch->options.source, watch->server,
                                        &(DlReaderFailure){ .kind = watch->options.kind,
                                                            .error = result->error,
                                                            .is_stale = is_stale });

  watch->answered_ms = 0;
  watch->is_behind = watch->is_behind || is_stale;
  run_after (watch, MIN (backoff_ms, direct_delay_ms (watch)));
}

/* Chooses between the store and a reader for the next watch. */
static void
choose_server (DlObjectWatch *watch)
{
  DlRelayWant wanted = want (watch);
  DlObjectClient *relay = NULL;

  if (watch->options.source != NULL)
    relay = dl_relay_source_choose (watch->options.source, &wanted, &watch->is_reader);
  watch->via_relay = relay != NULL;
  watch->server = relay != NULL ? relay : watch->client;
}

/* Chooses between them for a list.  A reader's copy may be older than what is known here,
 * so that its list would show deleted objects and lack new ones.  So a list may be read
 * from a reader only if it is the first one, or if that reader is ahead. */
static void
choose_list_server (DlObjectWatch *watch)
{
  bool is_reader_ahead = watch->reader_is_ahead;

  watch->reader_is_ahead = false;
  if (is_reader_ahead && !watch->is_relisting)
    return;
  if (watch->synced_ms == 0 && !watch->is_relisting)
    {
      choose_server (watch);
      return;
    }
  watch->via_relay = false;
  watch->server = watch->client;
}

/* The list in the new era is complete; UNLISTED objects of the era before are not in it.
 */
static void
end_relisting (DlObjectWatch *watch, unsigned unlisted)
{
  uint64_t era = dl_object_era_current (dl_object_client_era (watch->client));

  dl_log (DL_EVENT_STORE_ERA, DL_TEXT ("kind", watch->options.kind),
          DL_UINT ("era_before", watch->era), DL_UINT ("era", era),
          DL_UINT ("revision_before", watch->revision_before),
          DL_UINT ("revision", watch->list_revision), DL_UINT ("unlisted", unlisted));
  watch->is_relisting = false;
}

static void
end_list (DlObjectWatch *watch, uint64_t age_ms)
{
  unsigned unlisted = dl_known_objects_end_list (watch->known, watch->list_revision);

  if (watch->is_relisting)
    end_relisting (watch, unlisted);
  watch->era = dl_object_era_current (dl_object_client_era (watch->client));
  TALLOC_FREE (watch->list_after);
  watch->list_wait_ms = 0;
  watch->revision = watch->list_revision;
  if (watch->options.relay != NULL)
    dl_object_relay_set_listed (watch->options.relay, watch->options.kind,
                                watch->revision);
  set_synced (watch, age_ms);
  continue_watch (watch);
}

/* Tells the relay whether a first copy is being read, so that other nodes wait for it. */
static void
tell_reading (DlObjectWatch *watch)
{
  if (watch->options.relay != NULL && watch->synced_ms == 0)
    dl_object_relay_set_reading (watch->options.relay, watch->options.kind,
                                 !watch->list_failed && !watch->via_relay);
}

/* The list at a reader ends without a result.  What is known stays, and is watched from
 * its revision on; a first list begins anew. */
static void
give_up_reader_list (DlObjectWatch *watch)
{
  if (watch->synced_ms != 0)
    dl_known_objects_abandon_list (watch->known);
  else
    restart_list (watch);
}

/* The reader that was asked is reading the objects itself. */
static void
report_reading (DlObjectWatch *watch)
{
  dl_relay_source_report_reading (watch->options.source, watch->options.kind);
}

/* The reader that was asked for the list does not answer, or has none, or one that is
 * older than what is known here. */
static void
retry_list_at_reader (DlObjectWatch *watch, const DlObjectResult *result)
{
  const DlObjectResult too_old = { .error = DL_ERR_UNAVAILABLE, .responded = true };

  if (!result->is_reading)
    {
      retry_without_relay (watch, result->error < 0 ? result : &too_old);
      return;
    }
  report_reading (watch);
  run_after (watch, READER_POLL_MS);
}

static void
on_list (const DlObjectResult *result, void *data)
{
  Request *request = data;
  DlObjectWatch *watch = request->watch;

  if (!request_end (request, result))
    return;
  if (watch->via_relay && (result->error < 0 || result->revision < watch->revision))
    {
      give_up_reader_list (watch);
      retry_list_at_reader (watch, result);
      return;
    }
  if (result->error < 0 && result->error != DL_ERR_NOT_FOUND)
    {
      restart_list (watch);
      watch->list_failed = true;
      tell_reading (watch);
      watch->list_wait_ms = dl_list_wait_next_ms (watch->list_wait_ms, result->is_late);
      retry_later (watch, result);
      return;
    }
  watch->list_failed = false;
  tell_reading (watch);
  set_contact (watch, 0);
  note_origin (watch, result->age_ms);
  /* The watch starts from the first page's revision, so it shows what changes while later
   * pages are read. */
  if (watch->list_after == NULL)
    watch->list_revision = result->revision;
  for (size_t i = 0; i < result->count; i++)
    dl_known_objects_list (watch->known, &result->objects[i]);
  if (!result->more || result->count == 0)
    {
      end_list (watch, result->age_ms);
      return;
    }
  TALLOC_FREE (watch->list_after);
  watch->list_after = talloc_strdup (watch, result->objects[result->count - 1].name);
  send_list (watch);
}

static void
send_list (DlObjectWatch *watch)
{
  if (!dl_known_objects_is_listing (watch->known))
    restart_list (watch);
  if (watch->list_after == NULL)
    {
      watch->sent_ms = dl_clock_ms ();
      choose_list_server (watch);
      tell_reading (watch);
    }
  dl_object_list_page (watch->server, watch,
                       &(DlObjectPage){
                           .kinds = watch->options.kind,
                           .after = watch->list_after,
                           .wait_ms
                           = watch->via_relay ? LIST_WAIT_MS : watch->list_wait_ms,
                       },
                       on_list, request_new (watch));
}

/* True when the next request has to wait for a reader; it is tried again soon then. */
static bool
wait_for_reader (DlObjectWatch *watch)
{
  DlRelayWant wanted = want (watch);

  if (watch->options.source == NULL || watch->is_relisting
      || !dl_relay_source_must_wait (watch->options.source, &wanted))
    return false;
  run_after (watch, READER_POLL_MS);
  return true;
}

static void
start_list (DlObjectWatch *watch)
{
  if (watch->synced_ms != 0 || !wait_for_reader (watch))
    send_list (watch);
}

static void
continue_watch (DlObjectWatch *watch)
{
  if (!wait_for_reader (watch))
    send_watch (watch);
}

/* True when this entry reads the store because the readers' copies are too old. */
static bool
replaces_reader (const DlObjectWatch *watch)
{
  return !watch->via_relay && watch->options.source != NULL
         && (watch->is_behind || direct_delay_ms (watch) == 0);
}

/* The wait of the next watch. */
static uint64_t
wait_ms (const DlObjectWatch *watch)
{
  const DlObjectWatchOptions *o = &watch->options;

  if (watch->is_refreshing || replaces_reader (watch))
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

  set_contact (watch, 0);
  note_origin (watch, result->age_ms);
  for (size_t i = 0; i < result->count; i++)
    dl_known_objects_apply (watch->known, &result->objects[i]);
  watch->revision = MAX (watch->revision, result->revision);
  set_synced (watch, result->age_ms);
  if (watch->via_relay)
    dl_relay_source_report_success (watch->options.source, watch->options.kind);
  if (result->is_reading)
    report_reading (watch);
  next_ms = next_pause_ms (watch, result->count);
  if (next_ms > 0)
    run_after (watch, next_ms);
  else
    continue_watch (watch);
}

/* The watch at a reader failed. */
static void
retry_watch_at_reader (DlObjectWatch *watch, const DlObjectResult *result)
{
  if (!result->is_reading)
    {
      retry_without_relay (watch, result);
      return;
    }
  report_reading (watch);
  run_after (watch, READER_POLL_MS);
}

static void
on_watch (const DlObjectResult *result, uint64_t sent_ms, void *data)
{
  DlObjectWatch *watch = data;

  TALLOC_FREE (watch->direct_timer);
  watch->sent_ms = sent_ms;
  note_unchanged (watch);
  if (result->error < 0 && !result->responded)
    log_failure (watch, DL_OBJECT_WATCH, sent_ms, result);
  if (result->error == DL_ERR_GONE)
    {
      watch->reader_is_ahead = watch->via_relay && result->responded;
      restart_list (watch);
      send_list (watch);
    }
  else if (result->error < 0 && watch->via_relay)
    retry_watch_at_reader (watch, result);
  else if (result->error < 0)
    retry_later (watch, result);
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
  retry_without_relay (watch, &(DlObjectResult){ .error = DL_ERR_UNAVAILABLE,
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
  choose_server (watch);
  watch->sent_wait_ms = wait_ms (watch);
  watch->is_refreshing = false;
  limit_reader (watch);
  dl_hedged_watch_send (watch->hedged,
                        &(DlWatchRequest){
                            .server = watch->server,
                            .kind = watch->options.kind,
                            .revision = watch->revision,
                            .wait_ms = watch->sent_wait_ms,
                            .is_hedged = !watch->via_relay && !replaces_reader (watch),
                            .is_anew = replaces_reader (watch),
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
  restart_list (watch);
  if (!watch->is_relisting)
    watch->revision_before = watch->revision;
  watch->is_relisting = true;
  if (watch->options.relay != NULL)
    dl_object_relay_begin_era (watch->options.relay, watch->options.kind,
                               dl_object_era_current (
                                   dl_object_client_era (watch->client)));
  if (watch->options.on_new_era != NULL)
    watch->options.on_new_era (watch->options.data);
  run_after (watch, spread_ms > 0 ? dl_random_uint64 () % spread_ms : 0);
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
    run_after (watch, options->first_delay_ms);
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
  run_after (watch, 0);
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
