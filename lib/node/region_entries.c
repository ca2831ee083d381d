#include "node/region_entries.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/error.h"
#include "node/read_log.h"
#include "policy/backoff.h"
#include "policy/list_wait.h"

#define RETRY_FIRST_MS 150
#define RETRY_MAX_MS   1000

struct DlRegionEntries
{
  DlTask *task;
  DlRegionEntriesOptions options;
  char *after; /* name after which the next page starts; NULL at the first */
  bool are_known;
  uint64_t sent_ms;  /* of the request in progress */
  uint64_t retry_ms; /* last pause; 0: the last request succeeded */
  uint64_t wait_ms;  /* of the next request, see policy/list_wait.h */
  DlTimer *timer;
};

static void send_list (DlRegionEntries *entries);

static void
on_timer (DlTimer *timer, void *data)
{
  send_list (data);
}

static void
run_after (DlRegionEntries *e, uint64_t delay_ms)
{
  dl_timer_set (&e->timer, e->task, e, delay_ms, on_timer, e);
}

static void
retry_later (DlRegionEntries *e, const DlObjectResult *result)
{
  static const DlBackoffBounds bounds
      = { .first_ms = RETRY_FIRST_MS, .max_ms = RETRY_MAX_MS };

  dl_read_log_failure (&(DlFailedRead){ .action = DL_OBJECT_LIST,
                                        .kind = e->options.kind,
                                        .sent_ms = e->sent_ms },
                       result);
  e->retry_ms = dl_backoff_next_ms (e->retry_ms, &bounds);
  e->wait_ms = dl_list_wait_next_ms (e->wait_ms, result->is_late);
  run_after (e, dl_backoff_spread_ms (e->retry_ms, dl_random_uint64 ()));
}

static void
on_list (const DlObjectResult *result, void *data)
{
  DlRegionEntries *e = data;

  if (result->error < 0 && result->error != DL_ERR_NOT_FOUND)
    {
      retry_later (e, result);
      return;
    }
  e->retry_ms = 0;
  for (size_t i = 0; i < result->count; i++)
    e->options.on_entry (&result->objects[i], e->options.data);
  e->are_known = !result->more || result->count == 0;
  if (e->are_known)
    return;
  talloc_free (e->after);
  e->after = talloc_strdup (e, result->objects[result->count - 1].name);
  send_list (e);
}

static void
send_list (DlRegionEntries *e)
{
  e->sent_ms = dl_clock_ms ();
  dl_object_list_page (e->options.store, e,
                       &(DlObjectPage){ .kinds = e->options.kind,
                                        .after = e->after,
                                        .wait_ms = e->wait_ms },
                       on_list, e);
}

bool
dl_region_entries_are_known (const DlRegionEntries *e)
{
  return e->are_known;
}

DlRegionEntries *
dl_region_entries_new (DlTask *task,
                       const void *owner,
                       const DlRegionEntriesOptions *options)
{
  DlRegionEntries *e = talloc_zero (owner, DlRegionEntries);

  g_assert (e != NULL && options->on_entry != NULL);
  e->task = task;
  e->options = *options;
  if (options->first_delay_ms > 0)
    run_after (e, options->first_delay_ms);
  else
    send_list (e);
  return e;
}
