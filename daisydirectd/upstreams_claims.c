/*
 * Claims of upstreams to addresses: several listed ones may name the same.
 */
#include <string.h>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "upstreams_private.h"

DL_METRIC (metric_contested,
           DL_METRIC_COUNTER,
           "daisy_direct_contested_addresses_total",
           "Upstreams that were listed at the address of another listed one.")

static bool
is_rival (const DirectUpstream *u, const DirectUpstream *other)
{
  return other != u && !other->removed && strcmp (other->address, u->address) == 0;
}

static void
set_displaced (DirectUpstream *u, const DirectUpstream *by)
{
  bool displaced = dl_availability_is_displaced (&u->claim, &by->claim);

  if (displaced && !u->displaced)
    dl_log (DL_EVENT_DIRECT_UPSTREAM_DISPLACED, DL_TEXT ("upstream", u->id),
            DL_TEXT ("service", u->service), DL_TEXT ("address", u->address),
            DL_TEXT ("responded", by->id));
  u->displaced = displaced;
}

/* U was listed with its address, to which others may have a claim. */
void
direct_upstream_claim_address (DirectUpstream *u, uint64_t now_ms)
{
  u->claim = (DlAddressClaim){ .listed_ms = now_ms };
  u->contested = false;
  u->displaced = false;
  for (DirectUpstream *other = u->owner->first; other != NULL; other = other->next)
    if (is_rival (u, other))
      {
        u->contested = true;
        other->contested = true;
        dl_metric_add (&metric_contested, 1);
        dl_log (DL_EVENT_DIRECT_UPSTREAM_CONTESTED, DL_TEXT ("upstream", u->id),
                DL_TEXT ("service", u->service), DL_TEXT ("address", u->address),
                DL_TEXT ("other", other->id), DL_TEXT ("other_service", other->service));
      }
}

void
direct_upstream_responded (DirectUpstream *u, uint64_t sent_ms)
{
  u->claim.responded_ms = MAX (u->claim.responded_ms, sent_ms);
  if (!u->contested || u->removed)
    return;
  for (DirectUpstream *other = u->owner->first; other != NULL; other = other->next)
    if (is_rival (u, other))
      {
        set_displaced (other, u);
        set_displaced (u, other);
      }
}

/* U has no claim any more; which of its rivals is there is open again. */
void
direct_upstream_release_address (const DirectUpstream *u)
{
  if (!u->contested)
    return;
  for (DirectUpstream *other = u->owner->first; other != NULL; other = other->next)
    if (is_rival (u, other))
      other->displaced = false;
}
