/* Reads lists of the objects that a watch follows, page by page. */
#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "node/object_watch_private.h"
#include "policy/list_wait.h"

/* A list waits so long at a reader that is reading the objects itself. */
#define LIST_WAIT_MS 1000

/* A request for a list. */
typedef struct
{
  DlObjectWatch *watch;
  uint64_t sent_ms;
  uint64_t number;
} Request;

static Request *
request_new (DlObjectWatch *watch)
{
  Request *request = talloc_zero (watch, Request);

  request->watch = watch;
  request->sent_ms = dl_clock_ms ();
  request->number = ++watch->number;
  return request;
}

/* Frees REQUEST, which has ended with RESULT, and returns whether its response is still
 * wanted. */
static bool
request_end (Request *request, const DlObjectResult *result)
{
  bool is_wanted = request->number == request->watch->number;

  if (is_wanted && result->error < 0 && result->error != DL_ERR_NOT_FOUND)
    dl_object_watch_log_failure (request->watch, DL_OBJECT_LIST, request->sent_ms,
                                 result);
  talloc_free (request);
  return is_wanted;
}

void
dl_object_watch_restart_list (DlObjectWatch *watch)
{
  dl_known_objects_begin_list (watch->known);
  TALLOC_FREE (watch->list_after);
}

/* Chooses between the store and a reader for a list.  A reader's copy may be older than
 * what is known here, so that its list would show deleted objects and lack new ones.  So
 * a list may be read from a reader only if it is the first one, or if that reader is
 * ahead. */
static void
choose_list_server (DlObjectWatch *watch)
{
  bool is_reader_ahead = watch->reader_is_ahead;

  watch->reader_is_ahead = false;
  if (is_reader_ahead && !watch->is_relisting)
    return;
  if (watch->synced_ms == 0 && !watch->is_relisting)
    {
      dl_object_watch_choose_server (watch);
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
  dl_object_watch_set_synced (watch, age_ms);
  dl_object_watch_continue_watch (watch);
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
    dl_object_watch_restart_list (watch);
}

/* The reader that was asked for the list does not answer, or has none, or one that is
 * older than what is known here. */
static void
retry_list_at_reader (DlObjectWatch *watch, const DlObjectResult *result)
{
  const DlObjectResult too_old = { .error = DL_ERR_UNAVAILABLE, .responded = true };

  if (!result->is_reading)
    {
      dl_object_watch_retry_without_relay (watch, result->error < 0 ? result : &too_old);
      return;
    }
  dl_object_watch_report_reading (watch);
  dl_object_watch_run_after (watch, DL_OBJECT_WATCH_POLL_MS);
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
      dl_object_watch_restart_list (watch);
      watch->list_failed = true;
      tell_reading (watch);
      watch->list_wait_ms = dl_list_wait_next_ms (watch->list_wait_ms, result->is_late);
      dl_object_watch_retry_later (watch, result);
      return;
    }
  watch->list_failed = false;
  tell_reading (watch);
  dl_object_watch_set_contact (watch, 0);
  dl_object_watch_note_origin (watch, result->age_ms);
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
  dl_object_watch_send_list (watch);
}

void
dl_object_watch_send_list (DlObjectWatch *watch)
{
  if (!dl_known_objects_is_listing (watch->known))
    dl_object_watch_restart_list (watch);
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
