/*
 * One try of a request: asks admission for a place, chooses an upstream, and carries the
 * request and its answer as a stream on the connection to the upstream's slot.
 *
 * A try ends as NOT_RUN only when it was never sent or the slot said so.  A connection
 * that goes with the request on it leaves it unknown, or cut off once its answer had
 * begun.
 */
#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/admit.h"
#include "upstreams.h"

#define CANDIDATES_MAX       256
#define STUCK_MIN_MS         1500 /* without any answer begun, and it is stuck */
#define STUCK_FACTOR         8    /* the same as a multiple of the usual delay */
#define SILENCE_MAX_MS       2000 /* longer, and an upstream gets no new requests */
#define NO_UPSTREAM_RETRY_MS 1000
#define MICROSECONDS_PER_MS  1000
#define SMOOTHING            8 /* weight of the past in smoothed values */
#define HTTP_SERVER_ERROR    500

DL_METRIC (metric_sent,
           DL_METRIC_COUNTER,
           "daisy_entry_tries_total",
           "Tries of requests sent to upstreams.")
DL_METRIC (metric_refused,
           DL_METRIC_COUNTER,
           "daisy_entry_places_refused_total",
           "Tries for which no upstream had a place.")
DL_METRIC (metric_prefix_hits,
           DL_METRIC_COUNTER,
           "daisy_entry_prefix_routed_total",
           "Tries sent to an upstream thought to hold the prompt's prefix.")
DL_METRIC (metric_lost,
           DL_METRIC_COUNTER,
           "daisy_entry_streams_lost_total",
           "Streams that ended with their connection.")

struct UpstreamStream
{
  uint64_t id;
  Upstream *upstream;
  UpstreamService *service;
  UpstreamHolder *holder;
  uint64_t sent_us;
  bool queued; /* the upstream was at its capacity when it was sent */
  bool head_seen;
  bool cancelled; /* callers want to hear no more of it */
};

/* The upstreams of one service, as the routing decision takes them. */
typedef struct
{
  size_t count;
  DlRouteCandidate candidates[CANDIDATES_MAX];
  Upstream *upstreams[CANDIDATES_MAX];
} CandidateList;

/* -------- answers to the callers task -------- */

static EntryMessage *
response_new (uint64_t id, EntryResponseKind kind)
{
  EntryMessage *m = dl_message_new (ENTRY_RESPONSE, sizeof *m);

  m->response.id = id;
  m->response.kind = kind;
  return m;
}

static void
post_response (UpstreamsTask *t, EntryMessage *m)
{
  DlTask *callers = dl_kernel_task (dl_task_kernel (t->task), "callers");

  if (callers != NULL)
    dl_task_post (callers, m);
  else
    dl_message_unref (m);
}

static void
post_end (UpstreamsTask *t,
          uint64_t id,
          Daisyloft__Wire__EndReason reason,
          uint64_t retry_after_ms,
          const char *upstream,
          const char *detail)
{
  EntryMessage *m = response_new (id, ENTRY_RESPONSE_END);

  m->response.reason = reason;
  m->response.retry_after_ms = retry_after_ms;
  m->response.upstream = upstream != NULL ? talloc_strdup (m, upstream) : NULL;
  m->response.detail = talloc_strdup (m, detail);
  post_response (t, m);
}

/* -------- life of a stream -------- */

/* Organisations are few and set by operators: a holder is never dropped. */
static UpstreamHolder *
holder_of (UpstreamService *service, const char *organisation)
{
  UpstreamHolder *h = g_hash_table_lookup (service->holders, organisation);

  if (h != NULL)
    return h;
  h = talloc_zero (service, UpstreamHolder);
  g_assert (h != NULL);
  h->organisation = talloc_strdup (h, organisation);
  g_hash_table_insert (service->holders, h->organisation, h);
  return h;
}

/* An answer of the upstream has begun, or a request that waited for one is over. */
static void
headless_progress (UpstreamStream *s)
{
  s->upstream->headless--;
  s->upstream->headless_since_ms = dl_clock_ms ();
}

static int
stream_destroy (UpstreamStream *s)
{
  if (!s->head_seen)
    headless_progress (s);
  g_assert (s->holder->count > 0 && s->upstream->own > 0 && s->service->own_used > 0);
  s->holder->count--;
  s->service->own_used--;
  s->upstream->own--;
  g_hash_table_remove (s->upstream->upstreams->streams, &s->id);
  return 0;
}

static UpstreamStream *
stream_new (Upstream *upstream,
            UpstreamService *service,
            uint64_t id,
            const char *organisation)
{
  UpstreamsTask *t = upstream->upstreams;
  UpstreamStream *s = talloc_zero (t, UpstreamStream);

  g_assert (s != NULL);
  s->id = id;
  s->upstream = upstream;
  s->service = service;
  s->sent_us = dl_clock_us ();
  s->holder = holder_of (service, organisation);
  s->holder->count++;
  service->own_used++;
  upstream->own++;
  if (upstream->headless++ == 0)
    upstream->headless_since_ms = dl_clock_ms ();
  g_hash_table_insert (t->streams, &s->id, s);
  talloc_set_destructor (s, stream_destroy);
  return s;
}

/* -------- what an ended try says of its upstream -------- */

static uint64_t
smooth (uint64_t mean, uint64_t sample)
{
  return mean == 0 ? sample : (mean * (SMOOTHING - 1) + sample) / SMOOTHING;
}

static void
note_failure (Upstream *u)
{
  if (dl_breaker_failed (&u->breaker, dl_clock_ms (), dl_random_uint64 ()))
    dl_log (DL_EVENT_UPSTREAM_EJECTED, DL_TEXT ("upstream", u->name),
            DL_TEXT ("reason", "failing"));
}

static void
note_first_byte (UpstreamStream *s)
{
  uint64_t delay_us = dl_clock_us () - s->sent_us;
  UpstreamService *service = s->service;

  if (dl_breaker_succeeded (&s->upstream->breaker, dl_clock_ms (),
                            s->queued ? 0 : delay_us, service->first_byte_us,
                            dl_random_uint64 ()))
    dl_log (DL_EVENT_UPSTREAM_EJECTED, DL_TEXT ("upstream", s->upstream->name),
            DL_TEXT ("reason", "slow"));
  service->first_byte_us = smooth (service->first_byte_us, delay_us);
}

static DlRouteCandidate candidate_of (const Upstream *u, unsigned queue);

static void
note_refusal (Upstream *u)
{
  DlRouteCandidate c = candidate_of (u, 0);

  /* An upstream that refuses although it has room is in trouble; one that is full has
   * only more load than was known here. */
  if (u->accepts && !dl_route_is_full (&c))
    note_failure (u);
  else
    dl_breaker_neutral (&u->breaker, dl_clock_ms ());
  if (u->load < u->capacity)
    u->load = u->capacity;
}

static void
note_end (UpstreamStream *s, Daisyloft__Wire__EndReason reason)
{
  switch (reason)
    {
    case DAISYLOFT__WIRE__END_REASON__END_COMPLETE:
      s->service->duration_us
          = smooth (s->service->duration_us, dl_clock_us () - s->sent_us);
      break;
    case DAISYLOFT__WIRE__END_REASON__END_NOT_RUN:
      note_refusal (s->upstream);
      break;
    default:
      if (!s->cancelled)
        note_failure (s->upstream);
      else
        dl_breaker_neutral (&s->upstream->breaker, dl_clock_ms ());
      break;
    }
}

static void
stream_end (UpstreamStream *s,
            Daisyloft__Wire__EndReason reason,
            uint64_t retry_after_ms,
            const char *detail)
{
  UpstreamsTask *t = s->upstream->upstreams;

  note_end (s, reason);
  if (!s->cancelled)
    post_end (t, s->id, reason, retry_after_ms, s->upstream->name, detail);
  talloc_free (s);
}

/* -------- routing -------- */

static unsigned
service_queue (const UpstreamsTask *t, const char *service)
{
  const DlService *s
      = t->fleet != NULL ? dl_fleet_service (t->fleet->fleet.fleet, service) : NULL;

  return s != NULL ? (unsigned)s->queue : 0;
}

/* Requests wait there and none has begun for long: the engine may be frozen behind a slot
 * that still speaks. */
static bool
is_stuck (const Upstream *u)
{
  const UpstreamService *service = upstreams_service (u->upstreams, u->service);
  uint64_t usual_ms = service->first_byte_us / MICROSECONDS_PER_MS;

  return u->headless > 0
         && dl_clock_ms () - u->headless_since_ms
                > MAX (STUCK_MIN_MS, usual_ms * STUCK_FACTOR);
}

static DlRouteCandidate
candidate_of (const Upstream *u, unsigned queue)
{
  return (DlRouteCandidate){
    .name = u->name,
    .distance = u->distance,
    .connected = u->open && u->reported && dl_conn_idle_ms (u->conn) < SILENCE_MAX_MS,
    .accepts = u->accepts && !u->leaving && !u->listed_leaving && !u->drained,
    .allowed = dl_breaker_allows (&u->breaker, dl_clock_ms ()) && !is_stuck (u),
    .version = u->version,
    .capacity = u->capacity,
    .queue = queue,
    .reported = u->load,
    .in_flight = u->own,
    .in_flight_at_report = u->own_at_report,
  };
}

static void
list_candidates (UpstreamsTask *t, const EntryRequest *request, CandidateList *list)
{
  unsigned queue = service_queue (t, request->service);
  uint64_t now_ms = dl_clock_ms ();
  GHashTableIter iter;
  gpointer value;

  list->count = 0;
  g_hash_table_iter_init (&iter, t->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value) && list->count < CANDIDATES_MAX)
    {
      Upstream *u = value;
      DlRouteCandidate *c = &list->candidates[list->count];

      if (!u->open || strcmp (u->service, request->service) != 0)
        continue;
      *c = candidate_of (u, queue);
      c->has_prefix = request->prefix != 0
                      && dl_prefix_holds (t->prefixes, request->prefix, u->hash, now_ms);
      list->upstreams[list->count++] = u;
    }
}

static uint64_t
organisation_weight (const UpstreamsTask *t, const char *name)
{
  const DlOrganisation *o
      = t->fleet != NULL ? dl_fleet_organisation (t->fleet->fleet.fleet, name) : NULL;

  return o != NULL ? o->weight : 1;
}

/* Weight of the active organisations, ASKING included. */
static uint64_t
active_weight (const UpstreamsTask *t,
               const UpstreamService *service,
               const UpstreamHolder *asking)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t now_ms = dl_clock_ms ();
  uint64_t sum = 0;

  g_hash_table_iter_init (&iter, service->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const UpstreamHolder *h = value;

      if (h->count > 0 || h == asking || now_ms - h->asked_ms < DL_ADMIT_ACTIVE_MS)
        sum += organisation_weight (t, h->organisation);
    }
  return sum;
}

static DlAdmitQuery
place_for (const UpstreamsTask *t,
           UpstreamService *service,
           const EntryRequest *request,
           const CandidateList *list)
{
  UpstreamHolder *holder = holder_of (service, request->organisation);
  DlAdmitQuery place = {
    .own_used = service->own_used,
    .held = holder->count,
    .weight = organisation_weight (t, request->organisation),
    .active_weight = active_weight (t, service, holder),
    .priority = request->priority,
    .priorities
    = t->fleet != NULL ? (unsigned)t->fleet->fleet.fleet->priorities.count : 1,
    .duration_ms = service->duration_us / MICROSECONDS_PER_MS,
  };

  holder->asked_ms = dl_clock_ms ();
  for (size_t i = 0; i < list->count; i++)
    {
      const DlRouteCandidate *c = &list->candidates[i];

      if (!c->connected || !c->accepts)
        continue;
      /* A capacity that is not known sets no limit. */
      place.capacity += c->capacity > 0 ? c->capacity : UINT16_MAX;
      place.slots += c->capacity > 0 ? c->capacity + c->queue : UINT16_MAX;
      place.used += dl_route_load (c);
    }
  return place;
}

/* Chooses an upstream; NULL when there is none, with the time to come back. */
static Upstream *
choose (UpstreamsTask *t,
        UpstreamService *service,
        const EntryRequest *request,
        uint64_t *retry_after_ms,
        const char **why)
{
  static CandidateList list;
  const DlRouteQuery query = {
    .version = request->version,
    .avoid = request->avoid,
    .random = dl_random_uint64 (),
  };
  DlAdmitQuery place;
  DlAdmitDecision verdict;
  int chosen;

  list_candidates (t, request, &list);
  place = place_for (t, service, request, &list);
  /* A stream in progress has its place already. */
  verdict = request->resume_from > 0 ? DL_ADMIT_ACCEPT : dl_admit_check (&place);
  chosen = dl_route_choose (list.candidates, list.count, &query);
  if (chosen >= 0 && verdict == DL_ADMIT_ACCEPT)
    {
      dl_metric_add (&metric_prefix_hits, list.candidates[chosen].has_prefix);
      return list.upstreams[chosen];
    }
  dl_metric_add (&metric_refused, 1);
  *retry_after_ms = chosen == -ENOENT
                        ? NO_UPSTREAM_RETRY_MS
                        : dl_admit_retry_after_ms (&place, dl_random_uint64 ());
  if (chosen == -ENOENT)
    *why = "no upstream serves the request now";
  else if (verdict == DL_ADMIT_SHARE)
    *why = "the organisation has its share of the upstreams";
  else
    *why = "all upstreams are full";
  return NULL;
}

/* -------- opening -------- */

static int
send_open (Upstream *u, uint64_t id, const EntryRequest *request)
{
  Daisyloft__Wire__RequestOpen open = DAISYLOFT__WIRE__REQUEST_OPEN__INIT;
  DlEnvelope envelope = DL_ENVELOPE (REQUEST_OPEN, request_open, &open);

  open.method = (char *)request->method;
  open.path = (char *)request->path;
  open.content_type = (char *)request->content_type;
  open.organisation = (char *)request->organisation;
  open.priority = request->priority;
  open.single_use = request->single_use;
  open.resume_from = request->resume_from;
  open.request_id = (char *)request->request_id;
  if (request->model)
    open.version = DL_BYTES (dl_str_bytes (u->version.bytes, DL_DIGEST_BYTES));
  envelope.stream = id;
  return dl_conn_send (u->conn, &envelope, request->body);
}

static void
open_stream (UpstreamsTask *t, uint64_t id, const EntryRequest *request)
{
  UpstreamService *service = upstreams_service (t, request->service);
  uint64_t retry_after_ms = 0;
  const char *why = NULL;
  Upstream *u = choose (t, service, request, &retry_after_ms, &why);
  DlRouteCandidate c;

  if (u != NULL && request->dispatch_by_ms > 0
      && dl_clock_ms () >= request->dispatch_by_ms)
    {
      dl_log (DL_EVENT_CLAIM_FENCED, DL_TEXT ("request", request->request_id));
      u = NULL;
      retry_after_ms = NO_UPSTREAM_RETRY_MS;
      why = "the time to dispatch it had passed";
    }
  if (u != NULL && send_open (u, id, request) < 0)
    {
      u = NULL;
      retry_after_ms = NO_UPSTREAM_RETRY_MS;
      why = "the connection to the upstream is gone";
    }
  if (u == NULL)
    {
      post_end (t, id, DAISYLOFT__WIRE__END_REASON__END_NOT_RUN, retry_after_ms, NULL,
                why);
      return;
    }
  c = candidate_of (u, 0);
  stream_new (u, service, id, request->organisation)->queued
      = u->capacity > 0 && dl_route_load (&c) >= u->capacity;
  u->sent_ms = dl_clock_ms ();
  dl_breaker_sent (&u->breaker, u->sent_ms);
  dl_prefix_add (t->prefixes, request->prefix, u->hash, dl_clock_ms ());
  dl_metric_add (&metric_sent, 1);
}

static void
send_credit (UpstreamStream *s, uint32_t bytes)
{
  Daisyloft__Wire__ResponseCredit credit = DAISYLOFT__WIRE__RESPONSE_CREDIT__INIT;
  DlEnvelope envelope = DL_ENVELOPE (RESPONSE_CREDIT, response_credit, &credit);

  credit.bytes = bytes;
  envelope.stream = s->id;
  dl_conn_send (s->upstream->conn, &envelope, dl_str_bytes (NULL, 0));
}

static void
cancel_stream (UpstreamStream *s)
{
  Daisyloft__Wire__RequestCancel cancel = DAISYLOFT__WIRE__REQUEST_CANCEL__INIT;
  DlEnvelope envelope = DL_ENVELOPE (REQUEST_CANCEL, request_cancel, &cancel);

  s->cancelled = true;
  envelope.stream = s->id;
  dl_conn_send (s->upstream->conn, &envelope, dl_str_bytes (NULL, 0));
}

void
upstream_stream_handle (UpstreamsTask *t, const EntryMessage *message)
{
  uint64_t id = message->request.id;
  UpstreamStream *s = g_hash_table_lookup (t->streams, &id);

  switch (message->request.kind)
    {
    case ENTRY_REQUEST_OPEN:
      open_stream (t, id, message->request.open);
      break;
    case ENTRY_REQUEST_CREDIT:
      if (s != NULL && !s->cancelled)
        send_credit (s, message->request.credit);
      break;
    case ENTRY_REQUEST_CANCEL:
      if (s != NULL && !s->cancelled)
        cancel_stream (s);
      break;
    }
}

/* -------- frames of a stream -------- */

static void
take_head (UpstreamStream *s, const Daisyloft__Wire__ResponseHead *head)
{
  EntryMessage *m;

  if (s->head_seen)
    return;
  headless_progress (s);
  s->head_seen = true;
  if (head->status >= HTTP_SERVER_ERROR)
    note_failure (s->upstream);
  else
    note_first_byte (s);
  if (s->cancelled)
    return;
  m = response_new (s->id, ENTRY_RESPONSE_HEAD);
  m->response.status = head->status;
  m->response.content_type = talloc_strdup (m, head->content_type);
  dl_digest_from_bytes (DL_BYTES_STR (head->version), &m->response.version);
  post_response (s->upstream->upstreams, m);
}

static void
take_data (UpstreamStream *s, DlStr payload)
{
  EntryMessage *m;

  if (s->cancelled || !s->head_seen)
    return;
  m = response_new (s->id, ENTRY_RESPONSE_DATA);
  m->response.data = dl_str_bytes (dl_str_dup (m, payload), payload.length);
  post_response (s->upstream->upstreams, m);
}

void
upstream_stream_frame (Upstream *upstream, const DlEnvelope *envelope, DlStr payload)
{
  uint64_t id = envelope->stream;
  UpstreamStream *s = g_hash_table_lookup (upstream->upstreams->streams, &id);

  /* A stream of another connection, or one that is over: a late or crossed frame. */
  if (s == NULL || s->upstream != upstream)
    return;
  switch (envelope->body_case)
    {
    case DAISYLOFT__WIRE__ENVELOPE__BODY_RESPONSE_HEAD:
      take_head (s, envelope->response_head);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_RESPONSE_DATA:
      take_data (s, payload);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_RESPONSE_END:
      stream_end (s, envelope->response_end->reason,
                  envelope->response_end->retry_after_ms, envelope->response_end->detail);
      break;
    default:
      break;
    }
}

void
upstream_streams_lost (Upstream *upstream)
{
  GList *streams = g_hash_table_get_values (upstream->upstreams->streams);

  for (GList *l = streams; l != NULL; l = l->next)
    {
      UpstreamStream *s = l->data;

      if (s->upstream != upstream)
        continue;
      dl_metric_add (&metric_lost, 1);
      stream_end (s,
                  s->head_seen ? DAISYLOFT__WIRE__END_REASON__END_CUT_OFF
                               : DAISYLOFT__WIRE__END_REASON__END_UNKNOWN,
                  0, "the connection to the upstream was lost");
    }
  g_list_free (streams);
}
