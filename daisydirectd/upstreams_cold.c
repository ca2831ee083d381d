/*
 * Upstreams that are or may be cold: what is known of that, and this entry's share of
 * what they get.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/rendezvous.h"
#include "upstreams_private.h"

DL_METRIC (metric_cold,
           DL_METRIC_COUNTER,
           "daisy_direct_cold_starts_total",
           "Times that an upstream was or may have become cold.")

/* Logs that U is or may be cold, where that bounds what it gets. */
static void
log_cold (const DirectUpstream *u, const char *source, uint64_t remaining_ms)
{
  if (!dl_node_has_cold_bound (u->owner->settings))
    return;
  dl_metric_add (&metric_cold, 1);
  dl_log (DL_EVENT_DIRECT_UPSTREAM_COLD, DL_TEXT ("upstream", u->id),
          DL_TEXT ("source", source), DL_UINT ("cold_ms", remaining_ms),
          DL_UINT ("own_requests", u->load.in_flight));
}

void
direct_upstream_suspect_cold (DirectUpstream *u, uint64_t now_ms)
{
  dl_cold_start_suspected (&u->cold, now_ms);
  log_cold (u, "inferred", 0);
}

static bool
is_told_cold (const DirectUpstream *u, uint64_t now_ms)
{
  return MAX (u->cold.until_ms, u->cold.listed_until_ms) > now_ms;
}

void
direct_upstream_told_cold (DirectUpstream *u,
                           uint64_t remaining_ms,
                           uint64_t sent_ms,
                           uint64_t now_ms)
{
  bool was_told = is_told_cold (u, now_ms);

  dl_cold_start_told (&u->cold, remaining_ms, sent_ms, now_ms);
  if (remaining_ms > 0 && !was_told)
    log_cold (u, "upstream", remaining_ms);
}

void
direct_upstream_listed_cold (DirectUpstream *u, uint64_t remaining_ms, uint64_t now_ms)
{
  bool was_told = is_told_cold (u, now_ms);

  dl_cold_start_listed (&u->cold, remaining_ms, now_ms);
  if (remaining_ms > 0 && !was_told)
    log_cold (u, "upstream", remaining_ms);
}

/* The engine may have restarted before the list shows that, and is cold then. */
void
direct_upstream_note_engine_start (DirectUpstream *u,
                                   uint64_t started_ms,
                                   uint64_t now_ms)
{
  if (started_ms != 0 && started_ms != u->engine_started_ms
      && !dl_availability_is_same_instance (u->started_ms, started_ms))
    direct_upstream_suspect_cold (u, now_ms);
  u->engine_started_ms = started_ms;
}

/* -------- shares -------- */

/* The scores of the registered entries for U, those of its region only or all; *SELF is
 * the index of this entry's, or SIZE_MAX.  They depend on names alone: entries learn at
 * different times that an upstream has restarted, and must rank alike meanwhile. */
static GArray *
scores_of_sharing (const DirectUpstream *u, bool same_region, size_t *self)
{
  const DirectMessage *m = u->owner->registered;
  GArray *scores = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  *self = SIZE_MAX;
  for (size_t i = 0; i < m->registered.count; i++)
    {
      const DirectRegisteredEntry *e = &m->registered.items[i];
      uint64_t score = dl_rendezvous_score (dl_str (u->id), dl_str (e->name));

      if (same_region && (u->region == NULL || strcmp (e->region, u->region) != 0))
        continue;
      if (i == 0)
        *self = scores->len;
      g_array_append_val (scores, score);
    }
  return scores;
}

/* This entry's share of the requests that U gets while it is cold.  The entries of its
 * region share them, or all entries when that has none. */
static DlColdShare
compute_cold_share (const DirectUpstream *u, const DlColdTraits *traits)
{
  const DirectUpstreams *all = u->owner;
  DlColdBound bound
      = { .overage = all->settings->cold_overage, .slack = all->settings->cold_slack };
  DlColdShare share = { 0 };
  GArray *scores;
  size_t self;

  scores = scores_of_sharing (u, true, &self);
  if (scores->len == 0)
    {
      g_array_free (scores, TRUE);
      scores = scores_of_sharing (u, false, &self);
    }
  if (self != SIZE_MAX)
    share = dl_cold_share ((const uint64_t *)scores->data, scores->len, self, traits,
                           &bound);
  g_array_free (scores, TRUE);
  return share;
}

/* The same, computed once for each set of registered entries. */
static DlColdShare
cold_share (DirectUpstream *u, const DlColdTraits *traits, uint64_t now_ms)
{
  const DirectUpstreams *all = u->owner;

  if (all->registered == NULL || now_ms < all->started_ms + DL_COLD_JOIN_MS)
    return (DlColdShare){ 0 };
  if (!u->has_cold_share)
    u->cold_share = compute_cold_share (u, traits);
  u->has_cold_share = true;
  return u->cold_share;
}

/* Time until this entry may send U a request, as far as U is cold; 0 when it is not, and
 * where the settings name no bound: the registered entries are not published then. */
uint64_t
direct_upstream_cold_wait_ms (DirectUpstream *u,
                              const DlServiceEntry *service,
                              uint64_t now_ms)
{
  if (!dl_node_has_cold_bound (u->owner->settings)
      || dl_cold_start_remaining_ms (&u->cold, &service->cold, now_ms) == 0)
    return 0;
  return dl_cold_start_wait_ms (&u->cold, &service->cold,
                                cold_share (u, &service->cold, now_ms), now_ms);
}
