#include "policy/revision.h"

bool
dl_settings_is_newer (const DlSettingsRevision *state, uint64_t revision)
{
  return revision > state->in_force && revision != state->refused;
}

DlSettingsVerdict
dl_settings_offer (DlSettingsRevision *state, uint64_t revision, bool valid)
{
  if (!dl_settings_is_newer (state, revision))
    return DL_SETTINGS_STALE;
  if (!valid)
    {
      state->refused = revision;
      return DL_SETTINGS_INVALID;
    }
  state->in_force = revision;
  return DL_SETTINGS_APPLY;
}

static uint64_t
later (uint64_t a, uint64_t b)
{
  return a > b ? a : b;
}

static bool
is_recent (uint64_t at_ms, uint64_t now_ms)
{
  return at_ms > 0 && now_ms - at_ms <= DL_CONTACT_TIMEOUT_MS;
}

void
dl_contact_hear_store (DlContact *contact, uint64_t now_ms)
{
  contact->store_heard_ms = now_ms;
  contact->source_ms = later (contact->source_ms, now_ms);
}

void
dl_contact_hear_peer (DlContact *contact, uint64_t now_ms, uint64_t store_age_ms)
{
  contact->peer_heard_ms = now_ms;
  if (store_age_ms < now_ms && now_ms - store_age_ms > DL_CONTACT_HOP_MS)
    contact->source_ms
        = later (contact->source_ms, now_ms - store_age_ms - DL_CONTACT_HOP_MS);
}

/* What a started process was first told may have been stale. */
static bool
has_settled (const DlContact *contact, uint64_t now_ms)
{
  return !contact->has_peers || contact->peer_heard_ms > 0
         || now_ms - contact->started_ms >= DL_CONTACT_START_MS;
}

DlContactVerdict
dl_contact_judge (const DlContact *contact, uint64_t now_ms)
{
  bool heard = is_recent (contact->store_heard_ms, now_ms)
               || is_recent (contact->peer_heard_ms, now_ms);

  return (DlContactVerdict){
    .in_contact = heard && contact->knows_settings && has_settled (contact, now_ms),
    .platform_reachable = is_recent (contact->source_ms, now_ms),
    .store_age_ms = contact->source_ms > 0 ? now_ms - contact->source_ms : UINT64_MAX,
  };
}
