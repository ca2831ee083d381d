#include "upstreams.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/log.h"
#include "policy/version_floor.h"

/* This many entries of other regions count as one where request slots are shared, because
 * they have upstreams closer to them. */
#define OTHER_REGION_DIVISOR 4
/* A stager's report is preferred to the load given in a response for this long. */
#define STAGER_REPORT_PREFERRED_MS 400
/* Failures counted when an upstream cannot be connected to: enough to eject it at once.
 */
#define UNREACHABLE_FAILURES DL_BREAKER_FAILURES

struct DirectUpstreams
{
  const DlNodeSettings *settings;
  DirectUpstream *first;
  unsigned same_region_entry_count; /* that accept requests, this one included */
  unsigned other_region_entry_count;
  DlVersionFloor floor;
};

DirectUpstreams *
direct_upstreams_new (const void *context, const DlNodeSettings *settings)
{
  DirectUpstreams *upstreams = talloc_zero (context, DirectUpstreams);

  g_assert (upstreams != NULL);
  upstreams->settings = settings;
  upstreams->same_region_entry_count = 1;
  return upstreams;
}

static DirectUpstream *
find (const DirectUpstreams *upstreams, const char *id)
{
  for (DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    if (!u->removed && strcmp (u->id, id) == 0)
      return u;
  return NULL;
}

static void
free_when_unused (DirectUpstream *u)
{
  if (!u->removed || u->attempts > 0)
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
mark_removed (DirectUpstream *u)
{
  u->removed = true;
  free_when_unused (u);
}

/* Only one upstream can run at an address: when a new one is listed there, the others
 * have ended. */
static void
remove_others_at (DirectUpstreams *upstreams, const char *id, const char *address)
{
  DirectUpstream *next;

  for (DirectUpstream *u = upstreams->first; u != NULL; u = next)
    {
      next = u->next;
      if (!u->removed && strcmp (u->address, address) == 0 && strcmp (u->id, id) != 0)
        mark_removed (u);
    }
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

void
direct_upstreams_set (DirectUpstreams *upstreams, const DlUpstreamEntry *entry)
{
  DirectUpstream *u = find (upstreams, entry->id);

  if (u == NULL)
    {
      remove_others_at (upstreams, entry->id, entry->address);
      u = talloc_zero (upstreams, DirectUpstream);
      g_assert (u != NULL);
      u->owner = upstreams;
      u->id = talloc_strdup (u, entry->id);
      u->next = upstreams->first;
      upstreams->first = u;
    }
  set_text (u, &u->service, entry->service);
  set_text (u, &u->address, entry->address);
  u->same_data_center
      = strcmp (entry->data_center, upstreams->settings->data_center) == 0;
  u->leaving = entry->leaving;
  u->has_engine = u->has_engine || entry->model != NULL;
  set_slots (u, entry->slots);
  if (u->stager_report_ms == 0)
    u->version = entry->version;
}

void
direct_upstreams_remove (DirectUpstreams *upstreams, const char *id)
{
  DirectUpstream *u = find (upstreams, id);

  if (u != NULL)
    mark_removed (u);
}

/* Number of entries among which the free request slots of U are divided.  For an upstream
 * in this entry's data centre, entries of other regions count less: they mostly use
 * upstreams that are closer to them. */
static unsigned
sharing_entries (const DirectUpstream *u)
{
  const DirectUpstreams *all = u->owner;

  return u->same_data_center ? all->same_region_entry_count
                                   + all->other_region_entry_count / OTHER_REGION_DIVISOR
                             : direct_upstreams_entry_count (all);
}

void
direct_upstreams_update_engine (DirectUpstreams *upstreams,
                                const DirectEngineStatus *engine,
                                uint64_t now_ms)
{
  for (DirectUpstream *u = upstreams->first; u != NULL; u = u->next)
    {
      if (u->removed || strcmp (u->address, engine->address) != 0)
        continue;
      u->has_engine = true;
      set_slots (u, u->slots);
      u->loading = !engine->is_serving;
      u->version = engine->version;
      u->stager_report_ms = now_ms;
      u->load.pace = engine->pace;
      dl_balance_report (&u->load, engine->running + engine->waiting, sharing_entries (u),
                         dl_random_uint64 (), now_ms);
      return;
    }
}

void
direct_upstreams_raise_floor (DirectUpstreams *upstreams, uint64_t version)
{
  dl_version_floor_raise (&upstreams->floor, version);
}

void
direct_upstreams_add_version (DirectUpstreams *upstreams,
                              uint64_t version,
                              uint64_t announced_ms)
{
  dl_version_floor_announced (&upstreams->floor, version, announced_ms);
}

void
direct_upstreams_set_entries (DirectUpstreams *upstreams,
                              unsigned same_region,
                              unsigned other_region)
{
  upstreams->same_region_entry_count = MAX (same_region, 1);
  upstreams->other_region_entry_count = other_region;
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

/* -------- choosing -------- */

static bool
is_upstream (const DirectUpstream *u, const char *id)
{
  return id != NULL && strcmp (id, u->id) == 0;
}

static bool
can_serve (const DirectUpstreams *upstreams,
           const DirectUpstream *u,
           const DirectUpstreamQuery *query)
{
  uint64_t required;

  if (u->removed || u->leaving || strcmp (u->service, query->service->name) != 0)
    return false;
  if (!query->service->has_engine)
    return true;
  required = direct_upstreams_required_version (upstreams, query->now_ms);
  return !u->loading && u->version > 0 && u->version >= required;
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
    if (can_serve (upstreams, u, query))
      {
        DlBalanceCandidate c = {
          .load = &u->load,
          .same_data_center = u->same_data_center,
          .allowed = dl_breaker_allows (&u->breaker, query->now_ms),
          .avoided = is_upstream (u, query->avoid_upstream),
          .replaced = is_upstream (u, query->replaced_upstream),
        };

        g_array_append_val (candidates, c);
        g_ptr_array_add (candidate_upstreams, u);
      }
  if (query->replaced_upstream == NULL)
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
      if (u->removed || u->leaving || strcmp (u->service, service) != 0)
        continue;
      count.listed++;
      count.loading += u->loading;
      count.ejected += !dl_breaker_allows (&u->breaker, now_ms);
      count.outdated += u->has_engine && u->version < required;
    }
  return count;
}

/* -------- attempts -------- */

void
direct_upstream_sent (DirectUpstream *u, uint64_t prompt_tokens, uint64_t now_ms)
{
  u->attempts++;
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

  if (u->loading && outcome == DIRECT_ATTEMPT_FAILED)
    outcome = DIRECT_ATTEMPT_NEUTRAL; /* aborted because the engine loads weights */
  failed = outcome == DIRECT_ATTEMPT_FAILED || outcome == DIRECT_ATTEMPT_UNREACHABLE;

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
    case DIRECT_ATTEMPT_NEUTRAL:
      dl_breaker_neutral (&u->breaker, now_ms);
      break;
    }
  u->attempts--;
  free_when_unused (u);
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
      json_object_object_add (o, "leaving", json_object_new_boolean (u->leaving));
      json_object_object_add (o, "gone", json_object_new_boolean (u->removed));
      json_object_object_add (o, "loading", json_object_new_boolean (u->loading));
      json_object_object_add (o, "version", json_object_new_uint64 (u->version));
      json_object_object_add (o, "own", json_object_new_int ((int)u->load.in_flight));
      json_object_object_add (o, "reported", json_object_new_int ((int)u->load.reported));
      json_object_object_add (o, "breaker", json_object_new_int ((int)u->breaker.state));
      json_object_array_add (list, o);
    }
  return list;
}
