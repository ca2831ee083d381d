/*
 * What is sent to an upstream with a request, besides the caller's own headers.
 */
#include "policy/engine_order.h"
#include "requests.h"

/* Id of the event after which the attempt resumes the stream; 0 when the request is sent
 * with the position that the caller gave. */
static uint64_t
stream_position (const Request *r)
{
  return r->last_event_id > r->incoming.last_event_id ? r->last_event_id : 0;
}

/* Version that the upstream must still serve when the request arrives; 0 for any.  It is
 * given while a version floor applies, so that no request starts on older weights. */
static uint64_t
pinned_version (const Request *r, const DirectUpstream *upstream, uint64_t now_ms)
{
  if (!r->service_entry->has_engine
      || direct_upstreams_required_version (r->owner->upstreams, now_ms) == 0)
    return 0;
  return upstream->version;
}

/* Sets the request's place in the order in which its engine admits requests. */
static void
set_order (const Request *r, DlForwardOptions *forward)
{
  DlEngineOrder order = {
    .by_rank = dl_service_is_ranked (r->service_entry),
    .rank
    = dl_routing_rank (r->routing->routing, r->service_entry, r->route, r->organisation),
    .by_size = direct_upstreams_are_uneven (r->owner->upstreams, r->service_entry),
    .prompt_tokens = r->incoming.prompt_tokens,
    .usual_prompt_tokens = r->service_entry->engine.usual_prompt_tokens,
  };

  forward->has_order = r->service_entry->has_engine && dl_engine_order_applies (&order);
  forward->order = dl_engine_order_place (&order);
}

DlForwardOptions
direct_forward_options (const Request *r, const DirectUpstream *upstream, uint64_t now_ms)
{
  DlForwardOptions forward = {
    .remaining_ms = direct_request_remaining_ms (r, now_ms),
    .organisation = r->organisation != NULL ? r->organisation->name : NULL,
    .upstream = upstream->id,
    .version = pinned_version (r, upstream, now_ms),
    .last_event_id = stream_position (r),
  };

  set_order (r, &forward);
  return forward;
}
