#include "policy/rollout.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* History lines kept.  The first is always kept. */
#define HISTORY_MAX_LINES 100
/* Host names listed in one history line. */
#define HISTORY_MAX_NAMES 8
#define PERCENT           100

/* -------- history -------- */

static void
add_history (DlRollout *r, const DlRolloutFacts *facts, const char *what)
{
  json_object *line = json_object_new_object ();

  json_object_object_add (line, "at_ms", json_object_new_uint64 (facts->wall_ms));
  json_object_object_add (line, "by", json_object_new_string (facts->by));
  json_object_object_add (line, "command", json_object_new_string (""));
  json_object_object_add (line, "what", json_object_new_string (what));
  json_object_array_add (r->history, line);
  if (json_object_array_length (r->history) > HISTORY_MAX_LINES)
    json_object_array_del_idx (r->history, 1, 1);
}

/* Adds the line "WHAT N hosts: a, b, ..." when NAMES are not empty. */
static void
add_names_history (DlRollout *r,
                   const DlRolloutFacts *facts,
                   const char *what,
                   const DlNames *names)
{
  char *line;

  if (names->count == 0)
    return;
  line = talloc_asprintf (NULL, "%s %zu host%s:", what, names->count,
                          names->count == 1 ? "" : "s");
  for (size_t i = 0; i < names->count && i < HISTORY_MAX_NAMES; i++)
    line = talloc_asprintf_append (line, "%s %s", i > 0 ? "," : "", names->names[i]);
  if (names->count > HISTORY_MAX_NAMES)
    line = talloc_strdup_append (line, ", ...");
  add_history (r, facts, line);
  talloc_free (line);
}

static bool
set_reason (DlRollout *r, const char *reason)
{
  if (strcmp (r->reason, reason) == 0)
    return false;
  talloc_free (r->reason);
  r->reason = talloc_strdup (r, reason);
  return true;
}

/* -------- hosts -------- */

static int
compare_host (const void *key, const void *element)
{
  return strcmp (key, ((const DlRolloutHost *)element)->name);
}

static const DlRolloutHost *
find_host (const DlRolloutFacts *facts, const char *name)
{
  if (facts->host_count == 0)
    return NULL;
  return bsearch (name, facts->hosts, facts->host_count, sizeof facts->hosts[0],
                  compare_host);
}

static bool
covers_region (const DlRollout *r, const char *region)
{
  return r->regions.count == 0 || dl_names_contains (&r->regions, region);
}

/* Returns a newer rollout that applies to the host, or NULL. */
static const DlRollout *
newer_rollout (const DlRollout *r, const DlRolloutSet *set, const DlRolloutHost *host)
{
  for (size_t i = 0; i < set->count; i++)
    {
      const DlRollout *other = set->rollouts[i];

      if (other->created <= r->created || strcmp (other->service, r->service) != 0)
        continue;
      if (dl_rollout_has_ended (other) ? dl_rollout_keeps (other, host->name)
                                       : covers_region (other, host->region))
        return other;
    }
  return NULL;
}

static bool
serves_version (const DlRollout *r, const DlRolloutHost *host)
{
  return host->reported && strcmp (host->serving, r->version) == 0;
}

/* True when the host had received the last decision about it before it reported. */
static bool
knows_decision (const DlRollout *r, const DlRolloutHost *host)
{
  const DlRolloutRecord *record = dl_rollout_find_record (r, host->name);

  return host->reported && strcmp (host->rollout, r->name) == 0
         && (record == NULL || host->directive_revision > record->since);
}

/* -------- targets -------- */

static bool
is_target (const DlRollout *r, const DlRolloutFacts *facts, const DlRolloutHost *host)
{
  return !host->leaving && covers_region (r, host->region)
         && newer_rollout (r, facts->set, host) == NULL;
}

static void
drop_target (DlRollout *r, const char *name)
{
  DlRolloutRecord *record = dl_rollout_record (r, name);
  size_t at = (size_t)(record - r->records);

  memmove (record, record + 1, (r->record_count - at - 1) * sizeof *record);
  r->record_count--;
  dl_names_remove (&r->wave, name);
  dl_names_remove (&r->loaded, name);
  dl_names_remove (&r->targets, name);
}

/* Returns a newer rollout that has taken over hosts of this one, or NULL. */
static const DlRollout *
successor (const DlRollout *r, const DlRolloutFacts *facts)
{
  for (size_t i = 0; i < facts->host_count; i++)
    {
      const DlRolloutHost *h = &facts->hosts[i];
      const DlRollout *newer = newer_rollout (r, facts->set, h);

      if (newer != NULL && covers_region (r, h->region))
        return newer;
    }
  return NULL;
}

/* Drops targets that have left the list of hosts or to which a newer rollout applies. */
static bool
drop_targets (DlRollout *r, const DlRolloutFacts *facts)
{
  void *scratch = talloc_new (NULL);
  DlNames removed = { 0 };
  DlNames superseded = { 0 };

  for (size_t i = 0; i < r->targets.count; i++)
    {
      const char *name = r->targets.names[i];
      const DlRolloutHost *host = find_host (facts, name);

      if (host != NULL && newer_rollout (r, facts->set, host) != NULL)
        dl_names_add (scratch, &superseded, name);
      else if (host == NULL || host->leaving)
        dl_names_add (scratch, &removed, name);
    }
  for (size_t i = 0; i < removed.count; i++)
    drop_target (r, removed.names[i]);
  for (size_t i = 0; i < superseded.count; i++)
    drop_target (r, superseded.names[i]);
  add_names_history (r, facts, "dropped, gone from the list,", &removed);
  add_names_history (r, facts, "gave to a newer rollout", &superseded);
  talloc_free (scratch);
  return removed.count + superseded.count > 0;
}

static bool
add_targets (DlRollout *r, const DlRolloutFacts *facts)
{
  void *scratch = talloc_new (NULL);
  DlNames added = { 0 };
  bool changed;

  for (size_t i = 0; i < facts->host_count; i++)
    if (is_target (r, facts, &facts->hosts[i])
        && dl_names_add (r, &r->targets, facts->hosts[i].name))
      dl_names_add (scratch, &added, facts->hosts[i].name);
  add_names_history (r, facts, "added", &added);
  changed = added.count > 0;
  talloc_free (scratch);
  return changed;
}

/* -------- the wave -------- */

static bool
set_failure (DlRollout *r, const char *host, const char *failure)
{
  DlRolloutRecord *record = dl_rollout_record (r, host);

  talloc_free (record->failure);
  record->failure = failure != NULL ? talloc_strdup (r->records, failure) : NULL;
  return true;
}

/* Records a failed load and takes the host out of the wave. */
static void
record_failure (DlRollout *r, const DlRolloutFacts *facts, const DlRolloutHost *host)
{
  const char *failure = host->failure[0] != '\0' ? host->failure : "load failed";
  DlRolloutRecord *record;
  char *line;

  set_failure (r, host->name, failure);
  record = dl_rollout_record (r, host->name);
  record->tries++;
  record->since = r->revision;
  dl_names_remove (&r->wave, host->name);
  line = talloc_asprintf (NULL, "%s failed to load, try %" PRIu64 " of %d: %s",
                          host->name, record->tries, DL_ROLLOUT_TRIES_MAX, failure);
  add_history (r, facts, line);
  talloc_free (line);
}

/* Updates WAVE, LOADED and the record of one target from its report. */
static bool
update_host (DlRollout *r, const DlRolloutFacts *facts, const DlRolloutHost *host)
{
  const DlRolloutRecord *record = dl_rollout_find_record (r, host->name);
  bool changed = false;

  if (serves_version (r, host) && host->accepts)
    {
      changed |= dl_names_remove (&r->wave, host->name);
      changed |= dl_names_add (r, &r->loaded, host->name);
      if (record != NULL && record->failure != NULL)
        changed |= set_failure (r, host->name, NULL);
      return changed;
    }
  if (host->reported && !serves_version (r, host))
    changed |= dl_names_remove (&r->loaded, host->name);
  if (dl_names_contains (&r->wave, host->name) && host->failed
      && knows_decision (r, host))
    {
      record_failure (r, facts, host);
      changed = true;
    }
  return changed;
}

static bool
update_hosts (DlRollout *r, const DlRolloutFacts *facts)
{
  bool changed = false;

  for (size_t i = 0; i < facts->host_count; i++)
    if (dl_names_contains (&r->targets, facts->hosts[i].name))
      changed |= update_host (r, facts, &facts->hosts[i]);
  return changed;
}

/* True when the host serves no requests. */
static bool
is_unavailable (const DlRolloutHost *host)
{
  return !host->reported || !host->accepts || host->serving[0] == '\0' || host->drained
         || host->leaving;
}

/* True when the host serves no requests, or may stop at any time: it was granted a
 * load, or has not confirmed the last decision about it. */
static bool
is_out_of_rotation (const DlRollout *r, const DlRolloutHost *host)
{
  if (is_unavailable (host))
    return true;
  if (!dl_names_contains (&r->targets, host->name))
    return false;
  return dl_names_contains (&r->wave, host->name) || !knows_decision (r, host);
}

/* How many hosts of a region may be out of rotation, and how many are. */
typedef struct
{
  size_t allowed;
  size_t out;
  size_t unavailable; /* of these, hosts that serve no requests now */
} WaveRoom;

static WaveRoom
count_room (const DlRollout *r, const DlRolloutFacts *facts, const char *region)
{
  uint64_t percent = r->wave_percent > 0 ? r->wave_percent : facts->wave_percent;
  WaveRoom room = { 0 };
  size_t hosts = 0;

  for (size_t i = 0; i < facts->host_count; i++)
    {
      const DlRolloutHost *h = &facts->hosts[i];

      if (strcmp (h->region, region) != 0)
        continue;
      hosts++;
      if (is_out_of_rotation (r, h))
        room.out++;
      if (is_unavailable (h))
        room.unavailable++;
    }
  room.allowed = hosts * percent / PERCENT;
  if (room.allowed == 0)
    room.allowed = 1;
  return room;
}

static uint64_t
tries_of (const DlRollout *r, const char *host)
{
  const DlRolloutRecord *record = dl_rollout_find_record (r, host);

  return record != NULL ? record->tries : 0;
}

static bool
is_ready (const DlRollout *r, const DlRolloutHost *host)
{
  return dl_names_contains (&r->targets, host->name)
         && !dl_names_contains (&r->loaded, host->name)
         && !dl_names_contains (&r->wave, host->name) && knows_decision (r, host)
         && host->target_complete && strcmp (host->target_version, r->version) == 0
         && tries_of (r, host->name) < DL_ROLLOUT_TRIES_MAX;
}

static void
grant (DlRollout *r, const DlRolloutHost *host)
{
  dl_names_add (r, &r->wave, host->name);
  dl_rollout_record (r, host->name)->since = r->revision;
}

/* Grants loads to ready hosts of one region as far as the wave has room, hosts with the
 * fewest failed loads first.  A host that is out of rotation already takes no room.
 * Returns true when a load was granted.  Sets *STALLED when hosts are ready but none
 * could be granted, no load is in progress and too many hosts serve no requests. */
static bool
grant_region (DlRollout *r,
              const DlRolloutFacts *facts,
              const char *region,
              bool *stalled)
{
  WaveRoom room = count_room (r, facts, region);
  bool granted = false;
  bool waiting = false;
  bool loading = false;

  for (uint64_t tries = 0; tries < DL_ROLLOUT_TRIES_MAX; tries++)
    for (size_t i = 0; i < facts->host_count; i++)
      {
        const DlRolloutHost *h = &facts->hosts[i];

        if (strcmp (h->region, region) != 0)
          continue;
        loading |= dl_names_contains (&r->wave, h->name);
        if (tries_of (r, h->name) != tries || !is_ready (r, h))
          continue;
        if (!is_out_of_rotation (r, h) && room.out >= room.allowed)
          {
            waiting = true;
            continue;
          }
        if (!is_out_of_rotation (r, h))
          room.out++;
        grant (r, h);
        granted = true;
      }
  *stalled = waiting && !loading && !granted && room.unavailable >= room.allowed;
  return granted;
}

/* True when no host before index AT is in the same region. */
static bool
is_first_of_region (const DlRolloutFacts *facts, size_t at)
{
  for (size_t i = 0; i < at; i++)
    if (strcmp (facts->hosts[i].region, facts->hosts[at].region) == 0)
      return false;
  return true;
}

static bool
grant_loads (DlRollout *r, const DlRolloutFacts *facts)
{
  char *reason = talloc_strdup (NULL, "");
  bool changed = false;

  for (size_t i = 0; i < facts->host_count; i++)
    {
      bool stalled;

      if (!is_first_of_region (facts, i))
        continue;
      changed |= grant_region (r, facts, facts->hosts[i].region, &stalled);
      if (stalled)
        reason = talloc_asprintf_append (reason, "%sno room in the wave in %s",
                                         reason[0] != '\0' ? "; " : "",
                                         facts->hosts[i].region);
    }
  if (r->wave.count > 0 && r->state == DL_ROLLOUT_DISTRIBUTING)
    {
      r->state = DL_ROLLOUT_LOADING;
      add_history (r, facts, "loading");
      changed = true;
    }
  changed |= set_reason (r, reason);
  talloc_free (reason);
  return changed;
}

/* -------- ends -------- */

static bool
finish (DlRollout *r,
        const DlRolloutFacts *facts,
        DlRolloutState state,
        const char *reason)
{
  char *line = talloc_asprintf (NULL, "%s%s%s", dl_rollout_state_name (state),
                                reason[0] != '\0' ? ": " : "", reason);

  r->state = state;
  set_reason (r, reason);
  add_history (r, facts, line);
  talloc_free (line);
  return true;
}

static bool
finish_replaced (DlRollout *r, const DlRolloutFacts *facts, const DlRollout *newer)
{
  char *reason = talloc_asprintf (NULL, "by %s", newer->name);

  finish (r, facts, DL_ROLLOUT_REPLACED, reason);
  talloc_free (reason);
  return true;
}

/* Ends the rollout as failed when every target without the version was given up. */
static bool
finish_if_given_up (DlRollout *r, const DlRolloutFacts *facts)
{
  const DlRolloutRecord *first = NULL;
  size_t failed = 0;
  char *reason;

  for (size_t i = 0; i < r->targets.count; i++)
    {
      const char *name = r->targets.names[i];

      if (dl_names_contains (&r->loaded, name))
        continue;
      if (tries_of (r, name) < DL_ROLLOUT_TRIES_MAX)
        return false;
      if (first == NULL)
        first = dl_rollout_find_record (r, name);
      failed++;
    }
  if (first == NULL)
    return false;
  reason = talloc_asprintf (NULL, "%zu of %zu hosts failed to load; %s: %s", failed,
                            r->targets.count, first->host, first->failure);
  finish (r, facts, DL_ROLLOUT_FAILED, reason);
  talloc_free (reason);
  return true;
}

static bool
check_finished (DlRollout *r, const DlRolloutFacts *facts)
{
  if (r->loaded.count == r->targets.count)
    return finish (r, facts, DL_ROLLOUT_COMPLETE, "");
  return finish_if_given_up (r, facts);
}

/* -------- steps -------- */

/* True when a host of a complete rollout lacks the version: a new or a replaced host. */
static bool
must_reopen (const DlRollout *r, const DlRolloutFacts *facts)
{
  for (size_t i = 0; i < facts->host_count; i++)
    {
      const DlRolloutHost *h = &facts->hosts[i];

      if (h->reported && !serves_version (r, h) && is_target (r, facts, h))
        return true;
    }
  return false;
}

/* True when a newer rollout covers every region of this one. */
static bool
is_superseded (const DlRollout *r, const DlRolloutSet *set)
{
  for (size_t i = 0; i < set->count; i++)
    {
      const DlRollout *other = set->rollouts[i];
      size_t covered = 0;

      if (other->created <= r->created || dl_rollout_has_ended (other)
          || strcmp (other->service, r->service) != 0)
        continue;
      if (other->regions.count == 0)
        return true;
      for (size_t j = 0; j < r->regions.count; j++)
        covered += dl_names_contains (&other->regions, r->regions.names[j]);
      if (r->regions.count > 0 && covered == r->regions.count)
        return true;
    }
  return false;
}

bool
dl_rollout_may_need_steering (const DlRollout *rollout, const DlRolloutSet *set)
{
  if (dl_rollout_is_active (rollout))
    return true;
  if (dl_rollout_has_ended (rollout) && rollout->wave.count + rollout->loaded.count == 0)
    return false;
  return !is_superseded (rollout, set);
}

/* True when the host has received a later directive, of another rollout, than this one's
 * last: it never loads by this one any more. */
static bool
has_later_directive (const DlRollout *r, const DlRolloutHost *host)
{
  return host->reported && strcmp (host->rollout, r->name) != 0
         && host->directive_revision > r->revision;
}

/* An ended rollout keeps the hosts that serve its version or are about to load it.  True
 * when a host it keeps serves requests without the version: the host must be released, so
 * that an older rollout applies to it again. */
static bool
must_release (const DlRollout *r, const DlRolloutHost *host)
{
  return dl_rollout_keeps (r, host->name)
         && (knows_decision (r, host) || has_later_directive (r, host)) && host->accepts
         && !serves_version (r, host);
}

/* Updates which hosts an ended rollout keeps. */
static bool
update_ended (DlRollout *r, const DlRolloutFacts *facts)
{
  bool changed = false;

  for (size_t i = 0; i < facts->host_count; i++)
    {
      const DlRolloutHost *h = &facts->hosts[i];

      if (must_release (r, h))
        {
          changed |= dl_names_remove (&r->wave, h->name);
          changed |= dl_names_remove (&r->loaded, h->name);
        }
      else if (dl_names_contains (&r->wave, h->name) && serves_version (r, h))
        {
          changed |= dl_names_remove (&r->wave, h->name);
          changed |= dl_names_add (r, &r->loaded, h->name);
        }
    }
  return changed;
}

static bool
ended_needs_update (const DlRollout *r, const DlRolloutFacts *facts)
{
  for (size_t i = 0; i < facts->host_count; i++)
    {
      const DlRolloutHost *h = &facts->hosts[i];

      if (must_release (r, h)
          || (dl_names_contains (&r->wave, h->name) && serves_version (r, h)))
        return true;
    }
  return false;
}

bool
dl_rollout_needs_steering (const DlRollout *rollout, const DlRolloutFacts *facts)
{
  if (!dl_rollout_may_need_steering (rollout, facts->set))
    return false;
  if (rollout->state == DL_ROLLOUT_COMPLETE)
    return must_reopen (rollout, facts);
  return !dl_rollout_has_ended (rollout) || ended_needs_update (rollout, facts);
}

static bool
step_active (DlRollout *r, const DlRolloutFacts *facts)
{
  bool changed = false;

  if (facts->host_count > 0)
    {
      changed |= drop_targets (r, facts);
      changed |= add_targets (r, facts);
    }
  if (r->targets.count == 0 && successor (r, facts) != NULL)
    return finish_replaced (r, facts, successor (r, facts));
  changed |= update_hosts (r, facts);
  if (r->state == DL_ROLLOUT_PAUSED)
    return changed;
  if (r->targets.count == 0)
    return set_reason (r, "no host of the service in the target regions") || changed;
  changed |= grant_loads (r, facts);
  changed |= check_finished (r, facts);
  return changed;
}

bool
dl_rollout_step (DlRollout *rollout, const DlRolloutFacts *facts)
{
  bool changed;

  if (!dl_rollout_needs_steering (rollout, facts))
    return false;
  changed = rollout->fence != facts->fence;
  rollout->fence = facts->fence;
  if (dl_rollout_has_ended (rollout))
    return update_ended (rollout, facts) || changed;
  if (rollout->state == DL_ROLLOUT_COMPLETE)
    {
      rollout->state = DL_ROLLOUT_DISTRIBUTING;
      add_history (rollout, facts, "opened again for hosts without the version");
      changed = true;
    }
  changed |= step_active (rollout, facts);
  return changed;
}
