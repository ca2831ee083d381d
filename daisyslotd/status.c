/*
 * Builds the slot's status message from what its tasks publish.
 */
#include "status.h"

#include <glib.h>
#include <talloc.h>

static void
replace_text (char **text, const void *context, const char *value)
{
  talloc_free (*text);
  *text = value != NULL ? talloc_strdup (context, value) : NULL;
}

static void
update_transfer (SlotFacts *f, const void *context, const SlotMessage *m)
{
  f->transfer_version = m->transfer.version;
  f->complete = m->transfer.complete;
  f->chunks_verified = m->transfer.chunks_verified;
  f->chunks_total = m->transfer.chunks_total;
  f->origin_bytes = m->transfer.origin_bytes;
  f->region_bytes = m->transfer.region_bytes;
  f->received_bytes = m->transfer.received_bytes;
  f->duplicate_bytes = m->transfer.duplicate_bytes;
  replace_text (&f->transfer_failure, context, m->transfer.failure);
}

static void
update_engine (SlotFacts *f, const void *context, const SlotMessage *m)
{
  f->engine_reachable = m->engine.reachable;
  f->serving = m->engine.serving;
  f->draining = m->engine.draining;
  f->loading = m->engine.loading;
  f->engine_queued = m->engine.queued;
  f->engine_capacity = m->engine.capacity;
  replace_text (&f->engine_failure, context, m->engine.failure);
}

void
slot_facts_update (SlotFacts *facts, const void *context, const SlotMessage *message)
{
  switch ((SlotMessageType)message->base.type)
    {
    case SLOT_MSG_TRANSFER:
      update_transfer (facts, context, message);
      break;
    case SLOT_MSG_ENGINE:
      update_engine (facts, context, message);
      break;
    case SLOT_MSG_LOAD:
      facts->requests_running = message->load.running;
      break;
    case SLOT_MSG_ROTATION:
      facts->accepting = message->rotation.accept;
      break;
    case SLOT_MSG_FLEET:
      facts->settings_revision = message->fleet.revision;
      break;
    case SLOT_MSG_CONNECTION:
    case SLOT_MSG_MEMBERS:
    case SLOT_MSG_CONTACT:
    case SLOT_MSG_DIRECTIVE:
    case SLOT_MSG_STATUS:
      break;
    }
}

/* Returns true if the last TRANSFER message is about the directive's version. */
static bool
transfer_is_current (const SlotFacts *f)
{
  return f->directive != NULL
         && dl_digest_equal (&f->transfer_version, &f->directive->version);
}

static bool
directive_is_active (const SlotFacts *f)
{
  return f->directive != NULL
         && (f->directive->state == DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_DISTRIBUTING
             || f->directive->state == DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_LOADING);
}

static Daisyloft__Wire__SlotState
slot_state (const SlotFacts *f)
{
  bool serves_target
      = f->directive != NULL && dl_digest_equal (&f->serving, &f->directive->version);

  if (f->leaving)
    return DAISYLOFT__WIRE__SLOT_STATE__SLOT_LEAVING;
  if (f->draining)
    return DAISYLOFT__WIRE__SLOT_STATE__SLOT_DRAINING;
  if (f->loading)
    return DAISYLOFT__WIRE__SLOT_STATE__SLOT_LOADING;
  if (f->transfer_failure != NULL || f->engine_failure != NULL || !f->engine_reachable)
    return DAISYLOFT__WIRE__SLOT_STATE__SLOT_FAILED;
  if (directive_is_active (f) && !serves_target)
    return transfer_is_current (f) && f->complete
               ? DAISYLOFT__WIRE__SLOT_STATE__SLOT_WHOLE
               : DAISYLOFT__WIRE__SLOT_STATE__SLOT_FETCHING;
  return DAISYLOFT__WIRE__SLOT_STATE__SLOT_SERVING;
}

static const char *
failure_text (const SlotFacts *f)
{
  if (f->engine_failure != NULL)
    return f->engine_failure;
  if (f->transfer_failure != NULL)
    return f->transfer_failure;
  return f->engine_reachable ? "" : "the engine does not answer";
}

/* Copies DIGEST, as the status may outlive the facts; empty for a zero digest. */
static ProtobufCBinaryData
digest_bytes (const void *context, const DlDigest *digest)
{
  if (dl_digest_is_zero (digest))
    return (ProtobufCBinaryData){ 0 };
  return (ProtobufCBinaryData){
    .len = DL_DIGEST_BYTES,
    .data = talloc_memdup (context, digest->bytes, DL_DIGEST_BYTES),
  };
}

static void
fill_transfer (const SlotFacts *f, Daisyloft__Wire__SlotStatus *s)
{
  s->chunks_verified = f->chunks_verified;
  s->chunks_total = f->chunks_total;
  s->origin_bytes = f->origin_bytes;
  s->region_bytes = f->region_bytes;
  s->received_bytes = f->received_bytes;
  s->duplicate_bytes = f->duplicate_bytes;
}

Daisyloft__Wire__SlotStatus *
slot_facts_status (const SlotFacts *f, const void *context)
{
  Daisyloft__Wire__SlotStatus *s = talloc (context, Daisyloft__Wire__SlotStatus);

  g_assert (s != NULL);
  daisyloft__wire__slot_status__init (s);
  s->host = (char *)f->settings->name;
  s->region = (char *)f->settings->region;
  s->data_center = (char *)f->settings->data_center;
  s->service = (char *)f->settings->service;
  s->incarnation = f->incarnation;
  s->state = slot_state (f);
  s->serving_version = digest_bytes (s, &f->serving);
  s->failure = talloc_strdup (s, failure_text (f));
  s->requests_running = f->requests_running;
  s->requests_queued = f->engine_queued;
  s->capacity = f->engine_capacity;
  s->settings_revision = f->settings_revision;
  s->accepts_requests = f->accepting && !f->leaving && f->engine_reachable;
  if (f->directive != NULL)
    {
      s->rollout = talloc_strdup (s, f->directive->rollout);
      s->target_version = digest_bytes (s, &f->directive->version);
      s->directive_revision = f->directive->revision;
      if (transfer_is_current (f))
        fill_transfer (f, s);
    }
  return s;
}
