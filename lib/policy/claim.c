#include "policy/claim.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

static const char *const state_names[] = {
  [DL_CLAIM_CLAIMED] = "claimed",
  [DL_CLAIM_DONE] = "done",
  [DL_CLAIM_NOT_RUN] = "not_run",
  [DL_CLAIM_UNKNOWN] = "unknown",
};

const char *
dl_claim_state_name (DlClaimState state)
{
  return state_names[state];
}

int
dl_claim_state_parse (const char *name, DlClaimState *state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (state_names); i++)
    if (strcmp (name, state_names[i]) == 0)
      {
        *state = (DlClaimState)i;
        return 0;
      }
  return -EINVAL;
}

/* Digest of the parts, each preceded by its length, so that different lists of parts
 * never give the same bytes. */
static DlDigest
digest_parts (const DlStr *parts, size_t count)
{
  GByteArray *bytes = g_byte_array_new ();
  DlDigest digest;

  for (size_t i = 0; i < count; i++)
    {
      guint64 length = GUINT64_TO_BE (parts[i].length);

      g_byte_array_append (bytes, (const guint8 *)&length, sizeof length);
      g_byte_array_append (bytes, (const guint8 *)parts[i].data, (guint)parts[i].length);
    }
  digest = dl_digest (dl_str_bytes (bytes->data, bytes->len));
  g_byte_array_free (bytes, TRUE);
  return digest;
}

void
dl_claim_name (DlStr organisation, DlStr service, DlStr key, char *name)
{
  const DlStr parts[] = { organisation, service, key };
  DlDigest digest = digest_parts (parts, G_N_ELEMENTS (parts));

  dl_digest_to_hex (&digest, name);
}

DlDigest
dl_claim_body_digest (DlStr method, DlStr path, DlStr body)
{
  const DlStr parts[] = { method, path, body };

  return digest_parts (parts, G_N_ELEMENTS (parts));
}

void
dl_claim_init (DlClaim *claim, const char *nonce, const DlDigest *body)
{
  *claim = (DlClaim){ .phase = DL_CLAIM_PHASE_NEW, .body = *body };
  g_strlcpy (claim->nonce, nonce, sizeof claim->nonce);
}

void
dl_claim_close (DlClaim *claim)
{
  claim->closed = true;
}

static uint64_t
backoff_ms (unsigned tries)
{
  unsigned doublings = MIN (tries, 10);

  return MIN ((uint64_t)DL_CLAIM_BACKOFF_MS << doublings, DL_CLAIM_BACKOFF_MAX_MS);
}

static DlClaimAction
finish (DlClaim *c, DlClaimActionType type)
{
  c->phase = DL_CLAIM_PHASE_FINISHED;
  return (DlClaimAction){ .type = type };
}

/* -------- claiming -------- */

static DlClaimAction
write_claim (DlClaim *c, uint64_t now_ms)
{
  c->phase = DL_CLAIM_PHASE_WRITING;
  /* Counted from the first write, which may be the one that took effect. */
  if (c->dispatch_by_ms == 0)
    c->dispatch_by_ms = now_ms + DL_CLAIM_DISPATCH_MS;
  if (c->replaces_revision > 0)
    return (DlClaimAction){ .type = DL_CLAIM_ACT_REPLACE,
                            .revision = c->replaces_revision };
  return (DlClaimAction){ .type = DL_CLAIM_ACT_CREATE };
}

static DlClaimAction
read_claim (DlClaim *c)
{
  c->phase = DL_CLAIM_PHASE_READING;
  return (DlClaimAction){ .type = DL_CLAIM_ACT_READ };
}

/* The platform is unavailable.  Gives up with "not run" after the last try or at the
 * deadline, which is correct because this attempt has dispatched nothing and never will.
 */
static DlClaimAction
retry_later (DlClaim *c, uint64_t now_ms, DlClaimPhase phase)
{
  c->tries++;
  if (c->closed || c->tries >= DL_CLAIM_STORE_TRIES
      || (c->dispatch_by_ms > 0 && now_ms >= c->dispatch_by_ms))
    return finish (c, DL_CLAIM_ACT_REPLY_NOT_RUN);
  c->phase = phase;
  return (DlClaimAction){ .type = DL_CLAIM_ACT_BACKOFF,
                          .backoff_ms = backoff_ms (c->tries) };
}

static DlClaimAction
record_outcome (DlClaim *c)
{
  c->phase = DL_CLAIM_PHASE_RECORDING;
  return (DlClaimAction){
    .type = DL_CLAIM_ACT_RECORD,
    .revision = c->revision,
    .outcome = c->outcome,
  };
}

/* This attempt owns the claim.  Dispatches the call, or fences it after the deadline. */
static DlClaimAction
dispatch (DlClaim *c, uint64_t revision, uint64_t now_ms)
{
  c->revision = revision;
  c->tries = 0;
  if (c->closed || now_ms >= c->dispatch_by_ms)
    {
      c->fenced = true;
      c->outcome = DL_CLAIM_NOT_RUN;
      return record_outcome (c);
    }
  c->phase = DL_CLAIM_PHASE_DISPATCHED;
  c->dispatched = true;
  return (DlClaimAction){
    .type = DL_CLAIM_ACT_DISPATCH,
    .dispatch_by_ms = c->dispatch_by_ms,
  };
}

/* The claim belongs to another attempt. */
static DlClaimAction
handle_other_claim (DlClaim *c, const DlClaimEvent *e)
{
  const DlClaimRecord *r = &e->record;

  if (!dl_digest_equal (&r->body, &c->body))
    return finish (c, DL_CLAIM_ACT_REPLY_KEY_REUSED);
  switch (r->state)
    {
    case DL_CLAIM_DONE:
      return finish (c, DL_CLAIM_ACT_REPLY_RECORD);
    case DL_CLAIM_UNKNOWN:
      return finish (c, DL_CLAIM_ACT_REPLY_UNKNOWN);
    case DL_CLAIM_CLAIMED:
      return finish (c, e->now_ms - e->seen_ms > DL_CLAIM_IN_PROGRESS_MS
                            ? DL_CLAIM_ACT_REPLY_UNKNOWN
                            : DL_CLAIM_ACT_REPLY_IN_PROGRESS);
    case DL_CLAIM_NOT_RUN:
      break;
    }
  if (c->closed || ++c->tries >= DL_CLAIM_STORE_TRIES)
    return finish (c, DL_CLAIM_ACT_REPLY_NOT_RUN);
  /* An earlier write over another revision certainly failed, so the deadline restarts. */
  if (c->replaces_revision != r->revision)
    c->dispatch_by_ms = 0;
  c->replaces_revision = r->revision;
  return write_claim (c, e->now_ms);
}

static DlClaimAction
handle_read (DlClaim *c, const DlClaimEvent *e)
{
  if (strcmp (e->record.nonce, c->nonce) != 0)
    return handle_other_claim (c, e);
  if (e->record.state == DL_CLAIM_CLAIMED)
    return dispatch (c, e->record.revision, e->now_ms);
  /* Unexpected: only this attempt writes its nonce, and it records no outcome yet. */
  return finish (c, DL_CLAIM_ACT_REPLY_UNKNOWN);
}

static DlClaimAction
step_claiming (DlClaim *c, const DlClaimEvent *e)
{
  switch (e->type)
    {
    case DL_CLAIM_EV_START:
      return write_claim (c, e->now_ms);
    case DL_CLAIM_EV_WRITTEN:
      return dispatch (c, e->revision, e->now_ms);
    case DL_CLAIM_EV_CONFLICT:
    case DL_CLAIM_EV_WRITE_LOST:
      return read_claim (c);
    case DL_CLAIM_EV_UNAVAILABLE:
      return retry_later (c, e->now_ms,
                          c->phase == DL_CLAIM_PHASE_READING
                              ? DL_CLAIM_PHASE_READ_BACKOFF
                              : DL_CLAIM_PHASE_WRITE_BACKOFF);
    case DL_CLAIM_EV_READ:
      return handle_read (c, e);
    case DL_CLAIM_EV_ABSENT:
      c->replaces_revision = 0;
      return retry_later (c, e->now_ms, DL_CLAIM_PHASE_WRITE_BACKOFF);
    case DL_CLAIM_EV_BACKOFF_OVER:
      return c->phase == DL_CLAIM_PHASE_READ_BACKOFF ? read_claim (c)
                                                     : write_claim (c, e->now_ms);
    case DL_CLAIM_EV_ENDED:
      break;
    }
  return (DlClaimAction){ .type = DL_CLAIM_ACT_NOTHING };
}

/* -------- recording the outcome -------- */

static DlClaimAction
record_again_later (DlClaim *c)
{
  if (++c->tries >= DL_CLAIM_RECORD_TRIES)
    return finish (c, DL_CLAIM_ACT_RECORD_LOST);
  c->phase = DL_CLAIM_PHASE_RECORD_BACKOFF;
  return (DlClaimAction){ .type = DL_CLAIM_ACT_BACKOFF,
                          .backoff_ms = backoff_ms (c->tries) };
}

static DlClaimAction
step_recording (DlClaim *c, const DlClaimEvent *e)
{
  switch (e->type)
    {
    case DL_CLAIM_EV_WRITTEN:
      c->revision = e->revision;
      return finish (c, DL_CLAIM_ACT_FINISHED);
    case DL_CLAIM_EV_CONFLICT:
    case DL_CLAIM_EV_WRITE_LOST:
      c->phase = DL_CLAIM_PHASE_RECORD_READING;
      return (DlClaimAction){ .type = DL_CLAIM_ACT_READ };
    case DL_CLAIM_EV_READ:
      /* Others replace this claim only once its outcome is recorded. */
      if (strcmp (e->record.nonce, c->nonce) != 0)
        return finish (c, DL_CLAIM_ACT_FINISHED);
      c->revision = e->record.revision;
      if (e->record.state == c->outcome)
        return finish (c, DL_CLAIM_ACT_FINISHED);
      return record_again_later (c);
    case DL_CLAIM_EV_ABSENT:
      return finish (c, DL_CLAIM_ACT_FINISHED); /* expired */
    case DL_CLAIM_EV_UNAVAILABLE:
      return record_again_later (c);
    case DL_CLAIM_EV_BACKOFF_OVER:
      return record_outcome (c);
    case DL_CLAIM_EV_START:
    case DL_CLAIM_EV_ENDED:
      break;
    }
  return (DlClaimAction){ .type = DL_CLAIM_ACT_NOTHING };
}

DlClaimAction
dl_claim_step (DlClaim *claim, const DlClaimEvent *event)
{
  switch (claim->phase)
    {
    case DL_CLAIM_PHASE_NEW:
    case DL_CLAIM_PHASE_WRITING:
    case DL_CLAIM_PHASE_READING:
    case DL_CLAIM_PHASE_WRITE_BACKOFF:
    case DL_CLAIM_PHASE_READ_BACKOFF:
      return step_claiming (claim, event);
    case DL_CLAIM_PHASE_DISPATCHED:
      if (event->type != DL_CLAIM_EV_ENDED)
        break;
      claim->outcome = event->outcome;
      return record_outcome (claim);
    case DL_CLAIM_PHASE_RECORDING:
    case DL_CLAIM_PHASE_RECORD_BACKOFF:
    case DL_CLAIM_PHASE_RECORD_READING:
      return step_recording (claim, event);
    case DL_CLAIM_PHASE_FINISHED:
      break;
    }
  return (DlClaimAction){ .type = DL_CLAIM_ACT_NOTHING };
}
