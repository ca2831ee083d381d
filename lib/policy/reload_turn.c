#include "policy/reload_turn.h"

#include <glib.h>

#include "policy/rendezvous.h"

/* Position of this host among all by the hash's order, from 0. */
static size_t
rank (const DlReloadTurn *turn)
{
  g_autofree char *key
      = g_strdup_printf ("%s:%" G_GUINT64_FORMAT, turn->model, turn->version);
  uint64_t own = dl_rendezvous_score (dl_str (key), dl_str (turn->host));
  size_t before = 0;

  for (size_t i = 0; i < turn->other_count; i++)
    before += dl_rendezvous_score (dl_str (key), dl_str (turn->others[i])) > own;
  return before;
}

uint64_t
dl_reload_turn_start_ms (const DlReloadTurn *turn)
{
  size_t hosts = turn->other_count + 1;
  uint64_t group = rank (turn) * DL_RELOAD_GROUPS / hosts;
  uint64_t reserved_ms = DL_RELOAD_DURATION_MS + DL_RELOAD_MARGIN_MS;
  uint64_t spread_ms
      = turn->limit_ms > reserved_ms ? turn->limit_ms - reserved_ms : 0;

  if (turn->is_empty)
    return turn->named_ms;
  return turn->named_ms + spread_ms * (group + 1) / DL_RELOAD_GROUPS;
}

bool
dl_reload_turn_must_preempt (const DlReloadTurn *turn, uint64_t now_ms)
{
  return now_ms + DL_RELOAD_PREEMPT_MS >= turn->named_ms + turn->limit_ms;
}
