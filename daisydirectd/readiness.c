/*
 * Decides whether this entry is ready for requests, and logs what it waits for.
 */
#include <glib.h>

#include "entry_list.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/engines_wait.h"
#include "state_private.h"

DL_METRIC (metric_ready,
           DL_METRIC_GAUGE,
           "daisy_direct_ready",
           "1 while the entry is ready, else 0.")

/* True while an entry that has just started could not use an engine, as it has not heard
 * of it. */
static bool
awaits_engines (const State *state)
{
  const DlEnginesHeard heard = {
    .started_ms = state->started_ms,
    .heard_ms = state->engine_heard_ms,
    .has_unheard = direct_upstream_list_has_unheard (state->upstream_list),
  };

  return !state->has_been_ready && dl_engines_are_awaited (&heard, dl_clock_ms ());
}

/* What this entry waits for before it is ready; NULL when it is. */
static const char *
awaited (const State *state)
{
  uint64_t proven_ms = direct_routing_table_proven_ms (state->routing_table);

  if (dl_kernel_stopping (state->kernel))
    return "stop";
  if (direct_routing_table_version (state->routing_table) == 0)
    return "routing table";
  if (dl_object_watch_synced_ms (state->upstreams_watch) == 0)
    return "upstreams";
  if (awaits_engines (state))
    return "engines";
  if (!state_knows_evacuations (state))
    return "evacuations";
  if (direct_routing_trust (state->settings, proven_ms, &state->heard)
      != DL_ROUTING_TRUSTED)
    return "proof";
  return NULL;
}

static void
note_awaited (State *state, const char *what)
{
  if (g_strcmp0 (what, state->awaited) == 0)
    return;
  state->awaited = what;
  if (what != NULL)
    dl_log (DL_EVENT_READINESS_AWAITS, DL_TEXT ("for", what));
}

static void
change_readiness (State *state, bool ready)
{
  state->ready = ready;
  state->has_been_ready = true;
  dl_metric_set (&metric_ready, ready);
  dl_log (DL_EVENT_READINESS, DL_TEXT ("ready", ready ? "yes" : "no"),
          DL_UINT ("routing_age_ms",
                   dl_clock_ms ()
                       - direct_routing_table_proven_ms (state->routing_table)));
  status_send_usual (state);
}

void
state_refresh_readiness (State *state)
{
  const char *what = awaited (state);

  note_awaited (state, what);
  if ((what == NULL) != state->ready)
    change_readiness (state, what == NULL);
  direct_publish_entries (state->kernel, state->settings, state->peers, state->ready);
  if (dl_node_has_cold_bound (state->settings) && dl_peers_are_listed (state->peers))
    direct_publish_registered (state->kernel, state->settings, state->peers);
}
