#include "upstreams_private.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/fanout.h"
#include "policy/rendezvous.h"

/* A stager's report is preferred to the load given in a response for this long. */
#define STAGER_REPORT_PREFERRED_MS 400
/* Failures counted when an upstream cannot be connected to: enough to eject it at once.
 */
#define UNREACHABLE_FAILURES DL_BREAKER_FAILURES
/* What a removed upstream announced is remembered for this long, in case that an entry
 * of it returns to the list. */
#define REMEMBER_REMOVED_MS 600000
/* Requests may be queued for an upstream that takes the next one within this time. */
#define LIMIT_QUEUE_MS 150

DL_METRIC (metric_leaving,
           DL_METRIC_COUNTER,
           "daisy_direct_upstreams_leaving_total",
           "Upstreams that said in a response that they leave, before the store did.")
DL_METRIC (metric_hold_offs,
           DL_METRIC_COUNTER,
           "daisy_direct_hold_offs_total",
           "Hold-offs that upstreams asked for when they shed a request.")

static int
upstreams_destroy (DirectUpstreams *upstreams)
{
  if (upstreams->registered != NULL)
    dl_message_unref (upstreams->registered);
  return 0;
}

DirectUpstreams *
direct_upstreams_new (const void *context, const DlNodeSettings *settings)
{
  DirectUpstreams *upstreams = talloc_zero (context, DirectUpstreams);

  g_assert (upstreams != NULL);
  upstreams->settings = settings;
  upstreams->same_region_entry_count = 1;
  upstreams->started_ms = dl_clock_ms ();
  upstreams->evacuations = dl_evacuations_new (upstreams);
  talloc_set_destructor (upstreams, upstreams_destroy);
  return upstreams;
}

/* The newest known instance of upstream ID, listed or removed; NULL for none. */
static DirectUpstream *
find (const DirectUpstreams *upstreams, const char *id)
{
  for (DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    if (strcmp (u->id, id) == 0)
      return u;
  return NULL;
}

static bool
is_remembered (const DirectUpstream *u, uint64_t now_ms)
{
  return !dl_availability_allows (&u->availability, now_ms)
         && now_ms < u->removed_ms + REMEMBER_REMOVED_MS;
}

static void
free_when_unused (DirectUpstream *u, uint64_t now_ms)
{
  if (!u->removed || u->attempts > 0 || is_remembered (u, now_ms))
    return;
  for (DirectUpstream **at = &u->owner->first; *at != NULL; at = &(*at)->next)
    if (*at == u)
      {
        *at = u->next;
        break;
      }
  talloc_free (u);
}

static void
free_forgotten (DirectUpstreams *upstreams, uint64_t now_ms)
{
  DirectUpstream *next;

  for (DirectUpstream *u = upstreams->first; u != NULL; u = next)
    {
      next = u->next;
      free_when_unused (u, now_ms);
    }
}

/* -------- listing -------- */

static void
mark_removed (DirectUpstream *u, uint64_t now_ms)
{
  direct_upstream_release_address (u);
  u->removed = true;
  u->removed_ms = now_ms;
  free_when_unused (u, now_ms);
}

static void
set_text (DirectUpstream *u, char **member, const char *text)
{
  if (*member != NULL && strcmp (*member, text) == 0)
    return;
  talloc_free (*member);
  *member = talloc_strdup (u, text);
}

static void
set_slots (DirectUpstream *u, unsigned slots)
{
  u->slots = slots;
  u->load.capacity = u->has_engine ? dl_balance_usable_slots (slots) : slots;
}

static int
upstream_destroy (DirectUpstream *u)
{
  g_hash_table_destroy (u->idle_entries);
  return 0;
}

static DirectUpstream *
add (DirectUpstreams *upstreams, const char *id)
{
  DirectUpstream *u = talloc_zero (upstreams, DirectUpstream);

  g_assert (u != NULL);
  u->owner = upstreams;
  u->id = talloc_strdup (u, id);
  u->limit = dl_rate_limit_init ();
  u->idle_entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (u, upstream_destroy);
  u->next = upstreams->first;
  upstreams->first = u;
  return u;
}

/* The instance that ENTRY lists: the known one, which may have been removed before, or a
 * new one. */
static DirectUpstream *
listed_instance (DirectUpstreams *upstreams,
                 const DlUpstreamEntry *entry,
                 uint64_t now_ms)
{
  DirectUpstream *u = find (upstreams, entry->id);

  if (u != NULL && dl_availability_is_new_instance (u->started_ms, entry->started_ms))
    {
      mark_removed (u, now_ms);
      u = NULL;
    }
  if (u == NULL)
    u = add (upstreams, entry->id);
  u->started_ms = MAX (u->started_ms, entry->started_ms);
  return u;
}

static bool
is_large (const DirectUpstreams *upstreams)
{
  return dl_fanout_is_large (direct_upstreams_entry_count (upstreams));
}

/* Reports of plain services' load are in their own responses. */
static void
set_is_relayed (DirectUpstream *u)
{
  u->load.is_relayed = u->has_engine && !u->same_data_center && is_large (u->owner);
}

void
direct_upstreams_set (DirectUpstreams *upstreams,
                      const DlUpstreamEntry *entry,
                      uint64_t now_ms)
{
  DirectUpstream *u = listed_instance (upstreams, entry, now_ms);
  bool claims
      = u->removed || u->address == NULL || strcmp (u->address, entry->address) != 0;

  u->removed = false;
  set_text (u, &u->service, entry->service);
  set_text (u, &u->address, entry->address);
  if (claims)
    direct_upstream_claim_address (u, now_ms);
  set_text (u, &u->data_center, entry->data_center);
  u->region = dl_node_region_of (upstreams->settings, entry->data_center);
  u->same_data_center
      = strcmp (entry->data_center, upstreams->settings->data_center) == 0;
  if (entry->has_cold)
    direct_upstream_listed_cold (u, entry->cold_ms, now_ms);
  else if (claims)
    direct_upstream_suspect_cold (u, now_ms);
  if (entry->leaving)
    dl_availability_leave (&u->availability);
  u->has_engine = u->has_engine || entry->model != NULL;
  set_is_relayed (u);
  set_slots (u, entry->slots);
  if (u->stager_report_ms == 0)
    u->version = entry->version;
}

void
direct_upstreams_remove (DirectUpstreams *upstreams, const char *id, uint64_t now_ms)
{
  DirectUpstream *u = find (upstreams, id);

  if (u != NULL && !u->removed)
    mark_removed (u, now_ms);
  free_forgotten (upstreams, now_ms);
}

/* Number of entries among which the free request slots of U are divided. */
static unsigned
sharing_entries (const DirectUpstream *u)
{
  const DirectUpstreams *all = u->owner;

  if (!u->same_data_center)
    return direct_upstreams_entry_count (all);
  return dl_balance_sharing_entries (all->same_region_entry_count,
                                     all->other_region_entry_count, is_large (all));
}

void
direct_upstreams_update_engine (DirectUpstreams *upstreams,
                                const DirectEngineStatus *engine,
                                uint64_t now_ms)
{
  for (DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    {
      bool is_same = dl_availability_is_same_instance (u->started_ms, engine->started_ms);
      bool is_sound;

      if (u->removed || strcmp (u->address, engine->address) != 0
          || (u->contested && (u->displaced || !is_same)))
        continue;
      u->has_engine = true;
      direct_upstream_note_engine_start (u, engine->started_ms, now_ms);
      set_slots (u, u->slots);
      is_sound = dl_sound_load_told (&u->sound_load, engine->started_ms, engine->loads,
                                     engine->unchecked);
      u->loading = !engine->is_serving || !is_sound;
      u->version = engine->version;
      u->stager_report_ms = now_ms;
      u->load.pace = engine->pace;
      if (engine->leaving && is_same)
        direct_upstream_announced_leaving (u);
      dl_balance_report (&u->load, engine->running + engine->waiting, sharing_entries (u),
                         dl_random_uint64 (), now_ms);
    }
}

void
direct_upstreams_set_evacuated (DirectUpstreams *upstreams,
                                const char *data_center,
                                bool is_evacuated,
                                uint64_t now_ms)
{
  if (is_evacuated)
    {
      dl_evacuations_begin (upstreams->evacuations, data_center);
      return;
    }
  if (!dl_evacuations_end (upstreams->evacuations, data_center, now_ms))
    return;
  for (DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    if (u->data_center != NULL && strcmp (u->data_center, data_center) == 0)
      direct_upstream_suspect_cold (u, now_ms);
}

void
direct_upstreams_evacuations_known (DirectUpstreams *upstreams)
{
  upstreams->evacuations_known = true;
}

bool
direct_upstreams_may_be_evacuated (const DirectUpstreams *upstreams)
{
  return upstreams->settings->evacuate_ms > 0 && !upstreams->evacuations_known;
}

void
direct_upstreams_set_registered (DirectUpstreams *upstreams, DirectMessage *message)
{
  if (upstreams->registered != NULL)
    dl_message_unref (upstreams->registered);
  upstreams->registered = dl_message_ref (message);
  for (DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    u->has_cold_share = false;
}

void
direct_upstreams_set_floor (DirectUpstreams *upstreams, const DlVersionFloor *floor)
{
  upstreams->floor = *floor;
}

void
direct_upstreams_set_entries (DirectUpstreams *upstreams,
                              unsigned same_region,
                              unsigned other_region)
{
  upstreams->same_region_entry_count = MAX (same_region, 1);
  upstreams->other_region_entry_count = other_region;
  for (DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    set_is_relayed (u);
}

unsigned
direct_upstreams_entry_count (const DirectUpstreams *upstreams)
{
  return upstreams->same_region_entry_count + upstreams->other_region_entry_count;
}

uint64_t
direct_upstreams_required_version (const DirectUpstreams *upstreams, uint64_t now_ms)
{
  return dl_version_floor_at (&upstreams->floor, upstreams->settings->version_ms, now_ms);
}

uint64_t
direct_upstreams_waiting_version (const DirectUpstreams *upstreams, uint64_t now_ms)
{
  return dl_version_floor_for_waiting (&upstreams->floor, upstreams->settings->version_ms,
                                       now_ms);
}

uint64_t
direct_upstreams_due_version (const DirectUpstreams *upstreams, uint64_t now_ms)
{
  return dl_version_floor_due (&upstreams->floor, upstreams->settings->version_ms,
                               now_ms);
}

void
direct_upstreams_foreach (const DirectUpstreams *upstreams,
                          void (*func) (DirectUpstream *upstream, void *data),
                          void *data)
{
  for (DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    if (!u->removed)
      func (u, data);
}

uint64_t
direct_upstream_key (const DirectUpstream *u)
{
  return dl_rendezvous_score (dl_str (u->id),
                              dl_str_bytes (&u->started_ms, sizeof u->started_ms));
}

/* -------- choosing -------- */

static bool
is_upstream (const DirectUpstream *u, const char *id)
{
  return id != NULL && strcmp (id, u->id) == 0;
}

static bool
is_holder (const DirectUpstream *u, const char *const *holders)
{
  return holders != NULL && g_strv_contains (holders, u->id);
}

/* True for an engine that is down or loading, or that no stager has told to have sound
 * weights: the list tells which version it has, and not whether that was taken whole. */
static bool
lacks_sound_weights (const DirectUpstream *u)
{
  return u->loading || (u->has_engine && u->stager_report_ms == 0);
}

/* Whether the upstream serves such requests, though not during a hold-off. */
static bool
can_serve (const DirectUpstreams *upstreams,
           const DirectUpstream *u,
           const DirectUpstreamQuery *query)
{
  uint64_t required;

  if (u->removed || u->displaced || u->availability.leaving
      || strcmp (u->service, query->service->name) != 0
      || dl_evacuations_include (upstreams->evacuations, u->data_center)
      || !dl_homes_allow (&query->homes, u->region))
    return false;
  if (!query->service->has_engine)
    return true;
  required = direct_upstreams_required_version (upstreams, query->now_ms);
  return !lacks_sound_weights (u) && u->version > 0 && u->version >= required;
}

/* Time until the rates that bind it let this entry send U a request. */
static uint64_t
rate_wait_ms (DirectUpstream *u, const DirectUpstreamQuery *query)
{
  return MAX (dl_rate_limit_wait_ms (&u->limit, query->now_ms),
              direct_upstream_cold_wait_ms (u, query->service, query->now_ms));
}

/* Time until the upstream takes a request again, when it holds off or is at its limit; 0
 * when it is worth to wait for it. */
static uint64_t
closed_ms (DirectUpstream *u, const DirectUpstreamQuery *query)
{
  uint64_t hold_ms = dl_availability_hold_ms (&u->availability, query->now_ms);
  uint64_t limit_ms = rate_wait_ms (u, query);

  return MAX (hold_ms, limit_ms > LIMIT_QUEUE_MS ? limit_ms : 0);
}

/* When the circuit breakers of all candidates are open, none is known to be better than
 * another, so that all are allowed. */
static void
allow_all_if_all_ejected (GArray *candidates)
{
  for (guint i = 0; i < candidates->len; i++)
    if (g_array_index (candidates, DlBalanceCandidate, i).allowed)
      return;
  for (guint i = 0; i < candidates->len; i++)
    g_array_index (candidates, DlBalanceCandidate, i).allowed = true;
}

DirectUpstream *
direct_upstreams_choose (const DirectUpstreams *upstreams,
                         const DirectUpstreamQuery *query,
                         int *error)
{
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (DlBalanceCandidate));
  g_autoptr (GPtrArray) candidate_upstreams = g_ptr_array_new ();
  int chosen;

  for (DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    if (can_serve (upstreams, u, query) && closed_ms (u, query) == 0)
      {
        DlBalanceCandidate c = {
          .load = &u->load,
          .same_data_center = u->same_data_center,
          .allowed = dl_breaker_allows (&u->breaker, query->now_ms),
          .machine_pace
          = u->has_engine ? 1 : dl_machine_pace_at (&u->machine_pace, query->now_ms),
          .avoided = is_upstream (u, query->avoid_upstream),
          .replaced = is_holder (u, query->holders),
          .paced = rate_wait_ms (u, query) > 0,
        };

        g_array_append_val (candidates, c);
        g_ptr_array_add (candidate_upstreams, u);
      }
  if (query->holders == NULL)
    allow_all_if_all_ejected (candidates);
  chosen
      = dl_balance_choose ((const DlBalanceCandidate *)candidates->data, candidates->len,
                           &(DlBalanceQuery){
                               .entries = direct_upstreams_entry_count (upstreams),
                               .usual_prompt_tokens
                               = query->service->has_engine
                                     ? (double)query->service->engine.usual_prompt_tokens
                                     : 0,
                               .wait_for_others = query->wait_for_others,
                               .now_ms = query->now_ms,
                               .random = dl_random_uint64 (),
                           });
  *error = MIN (chosen, 0);
  return chosen >= 0 ? g_ptr_array_index (candidate_upstreams, (guint)chosen) : NULL;
}

uint64_t
direct_upstreams_hold_ms (const DirectUpstreams *upstreams,
                          const DirectUpstreamQuery *query)
{
  uint64_t first_ms = UINT64_MAX;

  for (DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    if (can_serve (upstreams, u, query))
      first_ms = MIN (first_ms, closed_ms (u, query));
  return first_ms != UINT64_MAX ? first_ms : 0;
}

/* -------- estimates and counts, for logs -------- */

DirectLoadEstimate
direct_upstream_estimate (const DirectUpstream *u, uint64_t now_ms)
{
  unsigned entries = direct_upstreams_entry_count (u->owner);

  return (DirectLoadEstimate){
    .requests = (unsigned)dl_balance_estimate (&u->load, entries, now_ms),
    .report_age_ms
    = u->load.reported_ms != 0 ? (int64_t)(now_ms - u->load.reported_ms) : -1,
  };
}

DirectUpstreamCount
direct_upstreams_count (const DirectUpstreams *upstreams,
                        const char *service,
                        uint64_t now_ms)
{
  uint64_t required = direct_upstreams_required_version (upstreams, now_ms);
  DirectUpstreamCount count = { 0 };

  for (const DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    {
      if (u->removed || u->availability.leaving || strcmp (u->service, service) != 0)
        continue;
      count.listed++;
      count.loading += lacks_sound_weights (u);
      count.displaced += u->displaced;
      count.ejected += !dl_breaker_allows (&u->breaker, now_ms);
      count.held_off += dl_availability_hold_ms (&u->availability, now_ms) > 0;
      count.outdated += u->has_engine && u->version < required;
      count.evacuated += dl_evacuations_include (upstreams->evacuations, u->data_center);
    }
  return count;
}

/* -------- attempts -------- */

void
direct_upstream_sent (DirectUpstream *u, uint64_t prompt_tokens, uint64_t now_ms)
{
  u->attempts++;
  dl_rate_limit_sent (&u->limit, now_ms);
  dl_cold_start_sent (&u->cold, now_ms);
  dl_balance_sent (&u->load, prompt_tokens);
  dl_breaker_sent (&u->breaker, now_ms);
}

void
direct_upstream_started (DirectUpstream *u, uint64_t prompt_tokens)
{
  dl_balance_started (&u->load, prompt_tokens);
}

static void
note_failures (DirectUpstream *u, unsigned failures, uint64_t now_ms)
{
  for (unsigned i = 0; i < failures; i++)
    if (dl_breaker_failed (&u->breaker, now_ms, dl_random_uint64 ()))
      {
        dl_log (DL_EVENT_DIRECT_UPSTREAM_EJECTED, DL_TEXT ("upstream", u->id),
                DL_UINT ("own_requests", u->load.in_flight));
        return;
      }
}

void
direct_upstream_ended (DirectUpstream *u,
                       uint64_t prompt_tokens,
                       bool started,
                       DirectAttemptOutcome outcome,
                       uint64_t now_ms)
{
  bool failed;

  if (u->loading
      && (outcome == DIRECT_ATTEMPT_FAILED || outcome == DIRECT_ATTEMPT_SILENT))
    outcome = DIRECT_ATTEMPT_NEUTRAL; /* aborted because the engine loads weights */
  failed = outcome == DIRECT_ATTEMPT_FAILED || outcome == DIRECT_ATTEMPT_UNREACHABLE
           || outcome == DIRECT_ATTEMPT_SILENT;

  dl_balance_ended (&u->load, prompt_tokens, started, failed);
  switch (outcome)
    {
    case DIRECT_ATTEMPT_SERVED:
      dl_breaker_succeeded (&u->breaker, now_ms, 0, 0, dl_random_uint64 ());
      break;
    case DIRECT_ATTEMPT_FAILED:
      note_failures (u, 1, now_ms);
      break;
    case DIRECT_ATTEMPT_UNREACHABLE:
      note_failures (u, UNREACHABLE_FAILURES, now_ms);
      break;
    case DIRECT_ATTEMPT_SILENT:
    case DIRECT_ATTEMPT_NEUTRAL:
      dl_breaker_neutral (&u->breaker, now_ms);
      break;
    }
  u->attempts--;
  free_when_unused (u, now_ms);
}

void
direct_upstream_asked_hold_off (DirectUpstream *u, uint64_t duration_ms, uint64_t now_ms)
{
  if (!dl_availability_hold_off (&u->availability, duration_ms, now_ms))
    return;
  dl_metric_add (&metric_hold_offs, 1);
  dl_log (DL_EVENT_DIRECT_UPSTREAM_HOLDS_OFF, DL_TEXT ("upstream", u->id),
          DL_UINT ("hold_off_ms", dl_availability_hold_ms (&u->availability, now_ms)),
          DL_UINT ("own_requests", u->load.in_flight));
}

void
direct_upstream_announced_leaving (DirectUpstream *u)
{
  if (!dl_availability_leave (&u->availability))
    return;
  dl_metric_add (&metric_leaving, 1);
  dl_log (DL_EVENT_DIRECT_UPSTREAM_SAID_LEAVING, DL_TEXT ("upstream", u->id),
          DL_UINT ("own_requests", u->load.in_flight));
}

void
direct_upstream_silent (DirectUpstream *u, uint64_t now_ms)
{
  if (!u->loading)
    note_failures (u, 1, now_ms);
}

bool
direct_upstream_is_reported_up (const DirectUpstream *u, uint64_t now_ms)
{
  return !u->loading && u->stager_report_ms != 0
         && now_ms - u->stager_report_ms <= DL_BALANCE_REPORT_MAX_AGE_MS;
}

void
direct_upstream_update_load (DirectUpstream *u,
                             unsigned requests,
                             unsigned slots,
                             uint64_t now_ms)
{
  if (u->stager_report_ms != 0
      && now_ms - u->stager_report_ms < STAGER_REPORT_PREFERRED_MS)
    return;
  if (slots > 0)
    set_slots (u, slots);
  dl_balance_report (&u->load, requests, sharing_entries (u), dl_random_uint64 (),
                     now_ms);
}

void
direct_upstream_told_pace (DirectUpstream *u, unsigned percent, uint64_t now_ms)
{
  dl_machine_pace_told (&u->machine_pace, percent, now_ms);
}

bool
direct_upstreams_are_uneven (const DirectUpstreams *upstreams,
                             const DlServiceEntry *service)
{
  if (service->cold.per_s > 0)
    return true;
  for (const DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    if (!u->removed && dl_machine_pace_is_told (&u->machine_pace)
        && strcmp (u->service, service->name) == 0)
      return true;
  return false;
}

json_object *
direct_upstreams_dump (const DirectUpstreams *upstreams)
{
  json_object *list = json_object_new_array ();

  for (const DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    {
      json_object *o = json_object_new_object ();

      json_object_object_add (o, "id", json_object_new_string (u->id));
      json_object_object_add (o, "service", json_object_new_string (u->service));
      json_object_object_add (o, "address", json_object_new_string (u->address));
      if (u->limit.limit_per_s >= 0)
        json_object_object_add (o, "limit_per_s",
                                json_object_new_double (u->limit.limit_per_s));
      json_object_object_add (o, "leaving",
                              json_object_new_boolean (u->availability.leaving));
      json_object_object_add (o, "gone", json_object_new_boolean (u->removed));
      json_object_object_add (o, "displaced", json_object_new_boolean (u->displaced));
      json_object_object_add (o, "loading", json_object_new_boolean (u->loading));
      json_object_object_add (o, "version", json_object_new_uint64 (u->version));
      json_object_object_add (o, "own", json_object_new_int ((int)u->load.in_flight));
      json_object_object_add (o, "reported", json_object_new_int ((int)u->load.reported));
      json_object_object_add (o, "breaker", json_object_new_int ((int)u->breaker.state));
      json_object_array_add (list, o);
    }
  return list;
}
