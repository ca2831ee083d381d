#include "policy/reload_schedule.h"

#include <glib.h>

#include "policy/rendezvous.h"

/* Position of this host in the hash order of all hosts, from 0. */
static size_t
rank (const DlReloadSchedule *schedule)
{
  g_autofree char *key
      = g_strdup_printf ("%s:%" G_GUINT64_FORMAT, schedule->model, schedule->version);
  uint64_t own = dl_rendezvous_score (dl_str (key), dl_str (schedule->host));
  size_t before = 0;

  for (size_t i = 0; i < schedule->other_count; i++)
    before += dl_rendezvous_score (dl_str (key), dl_str (schedule->others[i])) > own;
  return before;
}

uint64_t
dl_reload_start_ms (const DlReloadSchedule *schedule)
{
  uint64_t last_ms = schedule->limit_ms > DL_RELOAD_LAST_MS
                         ? schedule->limit_ms - DL_RELOAD_LAST_MS
                         : 0;
  uint64_t first_ms = MIN (DL_RELOAD_FIRST_MS, last_ms);

  if (schedule->is_unloaded)
    return schedule->announced_ms;
  return schedule->announced_ms + first_ms
         + (last_ms - first_ms) * rank (schedule) / (schedule->other_count + 1);
}

bool
dl_reload_is_drained (uint64_t draining_ms, unsigned running, uint64_t now_ms)
{
  return running == 0 || now_ms >= draining_ms + DL_RELOAD_DRAIN_MS;
}

bool
dl_reload_skips_version (uint64_t due_from_ms, uint64_t newer_ms)
{
  return newer_ms <= due_from_ms + DL_RELOAD_SKIP_MS;
}
