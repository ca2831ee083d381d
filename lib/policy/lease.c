#include "policy/lease.h"

#include <string.h>

/* A lease is renewed once its TTL divided by this has passed. */
#define RENEW_DIVISOR 3

/* Copies FROM into a text of a lease, truncated to fit. */
static void
copy_text (char *to, const char *from)
{
  size_t length = strnlen (from, DL_LEASE_TEXT_BYTES - 1);

  memmove (to, from, length);
  to[length] = '\0';
}

void
dl_lease_init (DlLease *lease,
               const char *holder,
               const char *nonce,
               uint64_t ttl_ms,
               uint64_t margin_ms)
{
  *lease = (DlLease){ .margin_ms = margin_ms, .self.ttl_ms = ttl_ms };
  copy_text (lease->self.holder, holder);
  copy_text (lease->self.nonce, nonce);
}

static bool
is_own (const DlLease *lease, const DlLeaseValue *value)
{
  return strcmp (value->nonce, lease->self.nonce) == 0;
}

void
dl_lease_observe (DlLease *lease,
                  uint64_t now_ms,
                  uint64_t revision,
                  const DlLeaseValue *value)
{
  if (revision <= lease->seen_revision)
    return;
  lease->seen_revision = revision;
  lease->seen_ms = now_ms;
  lease->seen = *value;
  if (lease->held && !is_own (lease, value))
    lease->held = false;
}

bool
dl_lease_may_act (const DlLease *lease, uint64_t now_ms)
{
  return lease->held && now_ms < lease->held_until_ms;
}

uint64_t
dl_lease_fence (const DlLease *lease)
{
  return lease->self.fence;
}

static DlLeaseStep
start_write (DlLease *lease, uint64_t now_ms, const DlLeaseValue *value)
{
  lease->pending = DL_LEASE_WRITE;
  lease->pending_revision = lease->seen_revision;
  lease->pending_since_ms = now_ms;
  lease->pending_value = *value;
  return (DlLeaseStep){
    .action = DL_LEASE_WRITE,
    .revision = lease->seen_revision,
    .value = *value,
  };
}

/* Returns a fence above FENCE_FLOOR, the object's and this process's last one. */
static uint64_t
next_fence (const DlLease *lease, uint64_t fence_floor)
{
  uint64_t highest = lease->seen_revision > 0 ? lease->seen.fence : 0;

  if (highest < fence_floor)
    highest = fence_floor;
  if (highest < lease->self.fence)
    highest = lease->self.fence;
  return highest + 1;
}

static bool
may_take_over (const DlLease *lease, uint64_t now_ms, uint64_t takeover_delay_ms)
{
  uint64_t unchanged_ms = now_ms - lease->seen_ms;

  if (lease->seen_revision == 0 || is_own (lease, &lease->seen))
    return true;
  if (lease->seen.holder[0] == '\0')
    return unchanged_ms >= takeover_delay_ms;
  return unchanged_ms > lease->seen.ttl_ms + lease->margin_ms + takeover_delay_ms;
}

static DlLeaseStep
release (DlLease *lease, uint64_t now_ms)
{
  DlLeaseValue value = { .fence = lease->self.fence, .ttl_ms = lease->self.ttl_ms };

  copy_text (value.nonce, lease->self.nonce);
  lease->held = false;
  return start_write (lease, now_ms, &value);
}

static DlLeaseStep
renew (DlLease *lease, uint64_t now_ms, uint64_t fence_floor)
{
  uint64_t began_ms = lease->held_until_ms - lease->self.ttl_ms;
  DlLeaseValue value = lease->self;
  bool raise = lease->self.fence <= fence_floor;

  if (raise)
    value.fence = next_fence (lease, fence_floor);
  else if (now_ms - began_ms < lease->self.ttl_ms / RENEW_DIVISOR)
    return (DlLeaseStep){ .action = DL_LEASE_WAIT };
  return start_write (lease, now_ms, &value);
}

DlLeaseStep
dl_lease_next (DlLease *lease,
               uint64_t now_ms,
               bool wanted,
               uint64_t takeover_delay_ms,
               uint64_t fence_floor)
{
  DlLeaseValue value = lease->self;

  if (lease->pending != DL_LEASE_WAIT)
    return (DlLeaseStep){ .action = lease->pending == DL_LEASE_READ ? DL_LEASE_READ
                                                                    : DL_LEASE_WAIT };
  if (lease->held && now_ms >= lease->held_until_ms)
    lease->held = false;
  if (lease->held)
    return wanted ? renew (lease, now_ms, fence_floor) : release (lease, now_ms);
  if (!wanted || !may_take_over (lease, now_ms, takeover_delay_ms))
    return (DlLeaseStep){ .action = DL_LEASE_WAIT };
  value.fence = next_fence (lease, fence_floor);
  return start_write (lease, now_ms, &value);
}

/* The pending write took effect, as REVISION. */
static void
apply_pending (DlLease *lease, uint64_t now_ms, uint64_t revision)
{
  const DlLeaseValue *value = &lease->pending_value;

  if (revision < lease->seen_revision)
    return;
  lease->seen_revision = revision;
  lease->seen_ms = now_ms;
  lease->seen = *value;
  lease->self.fence = value->fence;
  lease->held = value->holder[0] != '\0';
  lease->held_until_ms = lease->pending_since_ms + lease->self.ttl_ms;
}

void
dl_lease_write_done (DlLease *lease,
                     uint64_t now_ms,
                     DlLeaseOutcome outcome,
                     uint64_t revision)
{
  switch (outcome)
    {
    case DL_LEASE_COMMITTED:
      lease->pending = DL_LEASE_WAIT;
      apply_pending (lease, now_ms, revision);
      return;
    case DL_LEASE_CONFLICT:
      /* Another write came first.  A held lease stays held until its TTL has passed or
       * the object, when read back, is gone or has another holder. */
    case DL_LEASE_UNKNOWN:
      lease->pending = DL_LEASE_READ;
      return;
    case DL_LEASE_NOT_SENT:
      lease->pending = DL_LEASE_WAIT;
      return;
    }
}

/* True when the object is the result of the pending write: a newer revision with the
 * nonce, fence and holder written. */
static bool
is_pending_write (const DlLease *lease, uint64_t revision, const DlLeaseValue *value)
{
  return value != NULL && revision > lease->pending_revision && is_own (lease, value)
         && value->fence == lease->pending_value.fence
         && strcmp (value->holder, lease->pending_value.holder) == 0;
}

void
dl_lease_read_done (DlLease *lease,
                    uint64_t now_ms,
                    uint64_t revision,
                    const DlLeaseValue *value)
{
  if (lease->pending != DL_LEASE_READ)
    return;
  lease->pending = DL_LEASE_WAIT;
  if (is_pending_write (lease, revision, value))
    apply_pending (lease, now_ms, revision);
  else if (value != NULL)
    dl_lease_observe (lease, now_ms, revision, value);
  else
    {
      lease->seen_revision = 0;
      lease->held = false;
    }
}
