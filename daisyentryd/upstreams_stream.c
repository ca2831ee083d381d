/*
 * One attempt of a request: checks admission, chooses an upstream, and transfers the
 * request and its response as a stream on the connection to the upstream's daisyslotd.
 *
 * An attempt ends as NOT_RUN only when it was never sent or daisyslotd reported so.  When
 * the connection is lost, the attempt ends as UNKNOWN, or as CUT_OFF if its response had
 * begun.
 */
#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/admit.h"
#include "upstreams.h"

#define CANDIDATES_MAX       256
#define STALL_MIN_MS         1500 /* without any response begun: an upstream is stalled */
#define STALL_FACTOR         8 /* the same, as a multiple of the mean time to the first byte */
#define IDLE_MAX_MS          2000 /* above this, an upstream gets no new requests */
#define NO_UPSTREAM_RETRY_MS 1000
#define MICROSECONDS_PER_MS  1000
#define SMOOTHING            8 /* a sample's weight in a moving average is 1 / SMOOTHING */
#define HTTP_SERVER_ERROR    500

DL_METRIC (metric_sent,
           DL_METRIC_COUNTER,
           "daisy_entry_tries_total",
           "Attempts sent to upstreams.")
DL_METRIC (metric_refused,
           DL_METRIC_COUNTER,
           "daisy_entry_places_refused_total",
           "Attempts refused for lack of an upstream or a request slot.")
DL_METRIC (metric_prefix_hits,
           DL_METRIC_COUNTER,
           "daisy_entry_prefix_routed_total",
           "Attempts sent to an upstream that probably caches the prompt's prefix.")
DL_METRIC (metric_lost,
           DL_METRIC_COUNTER,
           "daisy_entry_streams_lost_total",
           "Streams ended by the loss of their connection.")

/* An attempt that was sent to an upstream.  Counts as in flight while it exists. */
struct UpstreamStream
{
  uint64_t id;
  Upstream *upstream;
  UpstreamService *service;
  OrganisationUsage *usage;
  uint64_t sent_us;
  bool queued; /* the upstream was at its capacity when the request was sent */
  bool head_received;
  bool cancelled; /* the callers task gets no more messages about it */
};

/* The connected upstreams of one service, as input to dl_route_choose. */
typedef struct
{
  size_t count;
  DlRouteCandidate candidates[CANDIDATES_MAX];
  Upstream *upstreams[CANDIDATES_MAX];
} CandidateList;

/* -------- messages to the callers task -------- */

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

/* -------- creating and freeing streams -------- */

/* Usages are never freed: organisations are few and set by operators. */
static OrganisationUsage *
get_usage (UpstreamService *service, const char *organisation)
{
  OrganisationUsage *usage = g_hash_table_lookup (service->usages, organisation);

  if (usage != NULL)
    return usage;
  usage = talloc_zero (service, OrganisationUsage);
  g_assert (usage != NULL);
  usage->organisation = talloc_strdup (usage, organisation);
  g_hash_table_insert (service->usages, usage->organisation, usage);
  return usage;
}

/* The stream no longer waits for a response head: it arrived, or the stream ends. */
static void
end_head_wait (UpstreamStream *s)
{
  s->upstream->awaiting_head--;
  s->upstream->awaiting_since_ms = dl_clock_ms ();
}

static int
stream_destroy (UpstreamStream *s)
{
  if (!s->head_received)
    end_head_wait (s);
  g_assert (s->usage->count > 0 && s->upstream->in_flight > 0
            && s->service->in_flight > 0);
  s->usage->count--;
  s->service->in_flight--;
  s->upstream->in_flight--;
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
  s->usage = get_usage (service, organisation);
  s->usage->count++;
  service->in_flight++;
  upstream->in_flight++;
  if (upstream->awaiting_head++ == 0)
    upstream->awaiting_since_ms = dl_clock_ms ();
  g_hash_table_insert (t->streams, &s->id, s);
  talloc_set_destructor (s, stream_destroy);
  return s;
}

/* -------- results of attempts, recorded for their upstream -------- */

static uint64_t
update_mean (uint64_t mean, uint64_t sample)
{
  return mean == 0 ? sample : (mean * (SMOOTHING - 1) + sample) / SMOOTHING;
}

static void
record_failure (Upstream *u)
{
  if (dl_breaker_failed (&u->breaker, dl_clock_ms (), dl_random_uint64 ()))
    dl_log (DL_EVENT_UPSTREAM_EJECTED, DL_TEXT ("upstream", u->name),
            DL_TEXT ("reason", "failing"));
}

static void
record_first_byte (UpstreamStream *s)
{
  uint64_t delay_us = dl_clock_us () - s->sent_us;
  UpstreamService *service = s->service;

  if (dl_breaker_succeeded (&s->upstream->breaker, dl_clock_ms (),
                            s->queued ? 0 : delay_us, service->first_byte_us,
                            dl_random_uint64 ()))
    dl_log (DL_EVENT_UPSTREAM_EJECTED, DL_TEXT ("upstream", s->upstream->name),
            DL_TEXT ("reason", "slow"));
  service->first_byte_us = update_mean (service->first_byte_us, delay_us);
}

static DlRouteCandidate make_candidate (const Upstream *u, unsigned queue);

static void
record_refusal (Upstream *u)
{
  DlRouteCandidate c = make_candidate (u, 0);

  /* A refusal by an upstream with free capacity counts as a failure.  One that is full
   * only has more load than this entry knew. */
  if (u->accepts && !dl_route_is_full (&c))
    record_failure (u);
  else
    dl_breaker_neutral (&u->breaker, dl_clock_ms ());
  if (u->load < u->capacity)
    u->load = u->capacity;
}

static void
record_end (UpstreamStream *s, Daisyloft__Wire__EndReason reason)
{
  switch (reason)
    {
    case DAISYLOFT__WIRE__END_REASON__END_COMPLETE:
      s->service->duration_us
          = update_mean (s->service->duration_us, dl_clock_us () - s->sent_us);
      break;
    case DAISYLOFT__WIRE__END_REASON__END_NOT_RUN:
      record_refusal (s->upstream);
      break;
    default:
      if (!s->cancelled)
        record_failure (s->upstream);
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

  record_end (s, reason);
  if (!s->cancelled)
    post_end (t, s->id, reason, retry_after_ms, s->upstream->name, detail);
  talloc_free (s);
}

/* -------- routing -------- */

static unsigned
service_queue_limit (const UpstreamsTask *t, const char *service)
{
  const DlService *s
      = t->fleet != NULL ? dl_fleet_service (t->fleet->fleet.fleet, service) : NULL;

  return s != NULL ? (unsigned)s->queue : 0;
}

/* Returns true when requests wait for a response and none has begun for long.  The engine
 * may hang while its daisyslotd still sends status. */
static bool
is_stalled (const Upstream *u)
{
  const UpstreamService *service = upstreams_service (u->upstreams, u->service);
  uint64_t usual_ms = service->first_byte_us / MICROSECONDS_PER_MS;

  return u->awaiting_head > 0
         && dl_clock_ms () - u->awaiting_since_ms
                > MAX (STALL_MIN_MS, usual_ms * STALL_FACTOR);
}

static DlRouteCandidate
make_candidate (const Upstream *u, unsigned queue)
{
  return (DlRouteCandidate){
    .name = u->name,
    .distance = u->distance,
    .connected = u->open && u->reported && dl_conn_idle_ms (u->conn) < IDLE_MAX_MS,
    .accepts = u->accepts && !u->leaving && !u->listed_leaving && !u->drained,
    .allowed = dl_breaker_allows (&u->breaker, dl_clock_ms ()) && !is_stalled (u),
    .version = u->version,
    .capacity = u->capacity,
    .queue = queue,
    .reported = u->load,
    .in_flight = u->in_flight,
    .in_flight_at_report = u->in_flight_at_report,
  };
}

static void
collect_candidates (UpstreamsTask *t, const EntryRequest *request, CandidateList *list)
{
  unsigned queue = service_queue_limit (t, request->service);
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
      *c = make_candidate (u, queue);
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

/* Returns the sum of the weights of the active organisations, REQUESTER included. */
static uint64_t
active_weight (const UpstreamsTask *t,
               const UpstreamService *service,
               const OrganisationUsage *requester)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t now_ms = dl_clock_ms ();
  uint64_t sum = 0;

  g_hash_table_iter_init (&iter, service->usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const OrganisationUsage *usage = value;

      if (usage->count > 0 || usage == requester
          || now_ms - usage->last_request_ms < DL_ADMIT_ACTIVE_MS)
        sum += organisation_weight (t, usage->organisation);
    }
  return sum;
}

/* Describes the request and the state of its service for dl_admit_check. */
static DlAdmitQuery
make_admit_query (const UpstreamsTask *t,
                  UpstreamService *service,
                  const EntryRequest *request,
                  const CandidateList *list)
{
  OrganisationUsage *usage = get_usage (service, request->organisation);
  DlAdmitQuery admit = {
    .own_used = service->in_flight,
    .held = usage->count,
    .weight = organisation_weight (t, request->organisation),
    .active_weight = active_weight (t, service, usage),
    .priority = request->priority,
    .priorities
    = t->fleet != NULL ? (unsigned)t->fleet->fleet.fleet->priorities.count : 1,
    .duration_ms = service->duration_us / MICROSECONDS_PER_MS,
  };

  usage->last_request_ms = dl_clock_ms ();
  for (size_t i = 0; i < list->count; i++)
    {
      const DlRouteCandidate *c = &list->candidates[i];

      if (!c->connected || !c->accepts)
        continue;
      /* An unknown capacity sets no limit. */
      admit.capacity += c->capacity > 0 ? c->capacity : UINT16_MAX;
      admit.slots += c->capacity > 0 ? c->capacity + c->queue : UINT16_MAX;
      admit.used += dl_route_load (c);
    }
  return admit;
}

/* Chooses an upstream.  Returns NULL when the request is refused, and then stores the
 * time to retry after and the reason. */
static Upstream *
choose_upstream (UpstreamsTask *t,
                 UpstreamService *service,
                 const EntryRequest *request,
                 uint64_t *retry_after_ms,
                 const char **reason)
{
  static CandidateList list;
  const DlRouteQuery route = {
    .version = request->version,
    .avoid = request->avoid,
    .random = dl_random_uint64 (),
  };
  DlAdmitQuery admit;
  DlAdmitDecision decision;
  int chosen;

  collect_candidates (t, request, &list);
  admit = make_admit_query (t, service, request, &list);
  /* A resumed stream has been admitted already. */
  decision = request->resume_from > 0 ? DL_ADMIT_ACCEPT : dl_admit_check (&admit);
  chosen = dl_route_choose (list.candidates, list.count, &route);
  if (chosen >= 0 && decision == DL_ADMIT_ACCEPT)
    {
      dl_metric_add (&metric_prefix_hits, list.candidates[chosen].has_prefix);
      return list.upstreams[chosen];
    }
  dl_metric_add (&metric_refused, 1);
  *retry_after_ms = chosen == -ENOENT
                        ? NO_UPSTREAM_RETRY_MS
                        : dl_admit_retry_after_ms (&admit, dl_random_uint64 ());
  if (chosen == -ENOENT)
    *reason = "no upstream serves the request now";
  else if (decision == DL_ADMIT_SHARE)
    *reason = "the organisation has its share of the upstreams";
  else
    *reason = "all upstreams are full";
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
  const char *reason = NULL;
  Upstream *u = choose_upstream (t, service, request, &retry_after_ms, &reason);
  DlRouteCandidate c;

  if (u != NULL && request->dispatch_by_ms > 0
      && dl_clock_ms () >= request->dispatch_by_ms)
    {
      dl_log (DL_EVENT_CLAIM_FENCED, DL_TEXT ("request", request->request_id));
      u = NULL;
      retry_after_ms = NO_UPSTREAM_RETRY_MS;
      reason = "the time to dispatch it had passed";
    }
  if (u != NULL && send_open (u, id, request) < 0)
    {
      u = NULL;
      retry_after_ms = NO_UPSTREAM_RETRY_MS;
      reason = "the connection to the upstream is gone";
    }
  if (u == NULL)
    {
      post_end (t, id, DAISYLOFT__WIRE__END_REASON__END_NOT_RUN, retry_after_ms, NULL,
                reason);
      return;
    }
  c = make_candidate (u, 0);
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
handle_head (UpstreamStream *s, const Daisyloft__Wire__ResponseHead *head)
{
  EntryMessage *m;

  if (s->head_received)
    return;
  end_head_wait (s);
  s->head_received = true;
  if (head->status >= HTTP_SERVER_ERROR)
    record_failure (s->upstream);
  else
    record_first_byte (s);
  if (s->cancelled)
    return;
  m = response_new (s->id, ENTRY_RESPONSE_HEAD);
  m->response.status = head->status;
  m->response.content_type = talloc_strdup (m, head->content_type);
  dl_digest_from_bytes (DL_BYTES_STR (head->version), &m->response.version);
  post_response (s->upstream->upstreams, m);
}

static void
handle_data (UpstreamStream *s, DlStr payload)
{
  EntryMessage *m;

  if (s->cancelled || !s->head_received)
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

  /* A late frame: the stream has ended, or belongs to another upstream. */
  if (s == NULL || s->upstream != upstream)
    return;
  switch (envelope->body_case)
    {
    case DAISYLOFT__WIRE__ENVELOPE__BODY_RESPONSE_HEAD:
      handle_head (s, envelope->response_head);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_RESPONSE_DATA:
      handle_data (s, payload);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_RESPONSE_END:
      stream_end (s, envelope->response_end->reason,
                  envelope->response_end->retry_after_ms, envelope->response_end->detail);
      break;
    default:
      break;
    }
}

/* Returns the end of a stream whose connection was closed with ERROR. */
static Daisyloft__Wire__EndReason
lost_reason (const UpstreamStream *s, int error)
{
  if (s->head_received)
    return DAISYLOFT__WIRE__END_REASON__END_CUT_OFF;
  return error == DL_ERR_ENDED ? DAISYLOFT__WIRE__END_REASON__END_NOT_RUN
                               : DAISYLOFT__WIRE__END_REASON__END_UNKNOWN;
}

void
upstream_fail_streams (Upstream *upstream, int error)
{
  GList *streams = g_hash_table_get_values (upstream->upstreams->streams);

  for (GList *l = streams; l != NULL; l = l->next)
    {
      UpstreamStream *s = l->data;

      if (s->upstream != upstream)
        continue;
      dl_metric_add (&metric_lost, 1);
      stream_end (s, lost_reason (s, error), 0,
                  "the connection to the upstream was lost");
    }
  g_list_free (streams);
}
