/*
 * The upstreams task: connects to a limited number of slot processes (daisyslotd) of each
 * service, keeps their last status and sends requests to them.
 *
 * An entry selects the nearest slots, and among equally near ones those that score
 * highest by a rendezvous hash of the names of entry and slot.  So the connections of a
 * large fleet are spread evenly, and few of them move when a slot is added or removed.  A
 * few slots in other regions are selected as well, in case those of the same region fail.
 */
#include "upstreams.h"

#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/backoff.h"
#include "policy/rendezvous.h"

#define NEAREST_SLOTS_MAX      24 /* connections for each service */
#define OTHER_REGION_SLOTS_MAX 8  /* further ones to slots in other regions */
#define BACKOFF_MIN_MS         100
#define BACKOFF_MAX_MS         3000
#define MS_PER_S               1000.0
#define FREE_INTERVAL_MS       1000

static const DlBackoffBounds backoff_bounds
    = { .first_ms = BACKOFF_MIN_MS, .max_ms = BACKOFF_MAX_MS };

DL_METRIC (metric_connected,
           DL_METRIC_GAUGE,
           "daisy_entry_upstreams_connected",
           "Slots with an open request connection.")

static void upstream_connect (Upstream *u);

/* -------- services -------- */

static int
service_destroy (UpstreamService *s)
{
  g_hash_table_destroy (s->usages);
  return 0;
}

UpstreamService *
upstreams_service (UpstreamsTask *t, const char *name)
{
  UpstreamService *s = g_hash_table_lookup (t->services, name);

  if (s != NULL)
    return s;
  s = talloc_zero (t, UpstreamService);
  g_assert (s != NULL);
  s->name = talloc_strdup (s, name);
  s->usages = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (s, service_destroy);
  g_hash_table_insert (t->services, s->name, s);
  return s;
}

/* -------- status -------- */

static int
status_message_destroy (EntryMessage *m)
{
  if (m->slot_status.status != NULL)
    daisyloft__wire__slot_status__free_unpacked (
        (Daisyloft__Wire__SlotStatus *)m->slot_status.status, NULL);
  return 0;
}

/* Copies by packing and unpacking; protobuf-c has no other way. */
static Daisyloft__Wire__SlotStatus *
copy_status (const Daisyloft__Wire__SlotStatus *status)
{
  size_t size = daisyloft__wire__slot_status__get_packed_size (status);
  uint8_t *packed = g_malloc (size);
  Daisyloft__Wire__SlotStatus *copy;

  daisyloft__wire__slot_status__pack (status, packed);
  copy = daisyloft__wire__slot_status__unpack (NULL, size, packed);
  g_free (packed);
  return copy;
}

static void
publish_status (Upstream *u, const Daisyloft__Wire__SlotStatus *status)
{
  EntryMessage *m = dl_message_new (ENTRY_SLOT_STATUS, sizeof *m);

  talloc_set_destructor (m, status_message_destroy);
  m->slot_status.connected = status != NULL;
  m->slot_status.host = talloc_strdup (m, u->name);
  if (status != NULL)
    m->slot_status.status = copy_status (status);
  dl_kernel_publish (dl_task_kernel (u->upstreams->task), m);
}

static void
handle_status (Upstream *u, const Daisyloft__Wire__SlotStatus *status)
{
  DlDigest version = { 0 };
  bool accepted_before = u->accepts;

  if (u->moved)
    return;
  dl_digest_from_bytes (DL_BYTES_STR (status->serving_version), &version);
  if (!dl_digest_equal (&version, &u->version) || status->incarnation != u->incarnation)
    dl_prefix_drop_upstream (u->upstreams->prefixes, u->hash);
  u->reported = true;
  u->accepts = status->accepts_requests;
  u->leaving = status->state == DAISYLOFT__WIRE__SLOT_STATE__SLOT_LEAVING;
  u->version = version;
  u->incarnation = status->incarnation;
  u->capacity = status->capacity;
  u->load = status->requests_running + status->requests_queued;
  u->in_flight_at_report = u->in_flight;
  if (accepted_before && (!u->accepts || u->leaving))
    dl_log (DL_EVENT_UPSTREAM_LEAVING, DL_TEXT ("upstream", u->name),
            DL_INT ("leaving", u->leaving));
  publish_status (u, status);
}

static void
handle_cache_events (Upstream *u, const Daisyloft__Wire__CacheEvents *events)
{
  DlPrefixIndex *prefixes = u->upstreams->prefixes;

  if (u->moved)
    return;
  for (size_t i = 0; i < events->n_cached; i++)
    dl_prefix_add (prefixes, events->cached[i], u->hash, dl_clock_ms ());
  for (size_t i = 0; i < events->n_dropped; i++)
    dl_prefix_drop (prefixes, events->dropped[i], u->hash);
}

/* -------- connections -------- */

static void
on_open (DlConn *conn, void *data)
{
  Upstream *u = data;

  u->open = true;
  u->backoff_ms = BACKOFF_MIN_MS;
  dl_metric_add (&metric_connected, 1);
  dl_log (DL_EVENT_UPSTREAM_UP, DL_TEXT ("upstream", u->name));
}

static void
on_frame (DlConn *conn, const DlEnvelope *envelope, DlStr payload, void *data)
{
  Upstream *u = data;

  switch (envelope->body_case)
    {
    case DAISYLOFT__WIRE__ENVELOPE__BODY_SLOT_STATUS:
      handle_status (u, envelope->slot_status);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_CACHE_EVENTS:
      handle_cache_events (u, envelope->cache_events);
      break;
    default:
      upstream_stream_frame (u, envelope, payload);
      break;
    }
}

static void
on_reconnect (DlTimer *timer, void *data)
{
  Upstream *u = data;

  TALLOC_FREE (u->reconnect_timer);
  if (u->selected && u->conn == NULL)
    upstream_connect (u);
}

static void
upstream_disconnect (Upstream *u, int error)
{
  bool was_open = u->open;

  u->open = false;
  u->reported = false;
  u->accepts = false;
  TALLOC_FREE (u->conn);
  if (!was_open)
    return;
  dl_metric_add (&metric_connected, -1);
  upstream_fail_streams (u, error);
  if (!u->moved)
    publish_status (u, NULL);
}

static void
on_closed (DlConn *conn, int error, void *data)
{
  Upstream *u = data;

  if (u->open)
    dl_log (DL_EVENT_UPSTREAM_DOWN, DL_TEXT ("upstream", u->name), DL_ERRNO (error));
  upstream_disconnect (u, error);
  if (!u->selected)
    return;
  u->reconnect_timer
      = dl_timer_subscribe (u->upstreams->task, u,
                            u->backoff_ms + dl_random_uint64 () % u->backoff_ms, 0,
                            on_reconnect, u);
  u->backoff_ms = dl_backoff_next_ms (u->backoff_ms, &backoff_bounds);
}

static void
upstream_connect (Upstream *u)
{
  static const DlConnHandler handler
      = { .on_open = on_open, .on_frame = on_frame, .on_closed = on_closed };

  u->conn = dl_conn_connect (u->upstreams->task, u, dl_str (u->address),
                             entry_identity (u->upstreams->task),
                             DAISYLOFT__WIRE__PURPOSE__PURPOSE_REQUEST, &handler, u);
}

/* -------- selection of slots -------- */

static Upstream *
upstream_new (UpstreamsTask *t, const DlMember *member)
{
  Upstream *u = talloc_zero (t, Upstream);

  g_assert (u != NULL);
  u->upstreams = t;
  u->name = talloc_strdup (u, member->name);
  u->service = talloc_strdup (u, member->service);
  u->address = talloc_strdup (u, member->address);
  u->hash = dl_rendezvous_score (dl_str ("upstream"), dl_str (member->name));
  u->backoff_ms = BACKOFF_MIN_MS;
  g_hash_table_insert (t->upstreams, u->name, u);
  return u;
}

static void
upstream_free (Upstream *u)
{
  upstream_disconnect (u, DL_ERR_CLOSED);
  if (u->moved)
    g_hash_table_remove (u->upstreams->moved, u);
  else
    g_hash_table_remove (u->upstreams->upstreams, u->name);
  talloc_free (u);
}

/* The name of the upstream now belongs to another host or service.  Its requests in
 * progress go on. */
static void
upstream_move (Upstream *u)
{
  if (u->in_flight == 0)
    {
      upstream_free (u);
      return;
    }
  g_hash_table_remove (u->upstreams->upstreams, u->name);
  g_hash_table_add (u->upstreams->moved, u);
  u->moved = true;
  u->selected = false;
  if (u->open)
    publish_status (u, NULL);
}

/* A slot with the keys that it is sorted by. */
typedef struct
{
  const DlMember *member;
  DlDistance distance;
  uint64_t score;
} RankedSlot;

static gint
compare_ranked (gconstpointer a, gconstpointer b)
{
  const RankedSlot *x = a;
  const RankedSlot *y = b;
  int order = strcmp (x->member->service, y->member->service);

  if (order != 0)
    return order;
  if (x->distance != y->distance)
    return x->distance < y->distance ? -1 : 1;
  if (x->score != y->score)
    return x->score > y->score ? -1 : 1;
  return strcmp (x->member->name, y->member->name);
}

/* Returns all slots, sorted by service, then by distance, then by descending score. */
static GArray *
rank_slots (const UpstreamsTask *t, const DlMembers *members)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (RankedSlot));

  for (size_t i = 0; i < members->count; i++)
    {
      const DlMember *m = &members->members[i];
      RankedSlot r = {
        .member = m,
        .distance = dl_route_distance (t->settings->region, t->settings->data_center,
                                       m->region, m->data_center),
        .score = dl_rendezvous_score (dl_str (t->settings->name), dl_str (m->name)),
      };

      if (m->role == DAISYLOFT__WIRE__ROLE__ROLE_SLOT)
        g_array_append_val (ranked, r);
    }
  g_array_sort (ranked, compare_ranked);
  return ranked;
}

static void
select_slot (UpstreamsTask *t, const RankedSlot *r)
{
  Upstream *u = g_hash_table_lookup (t->upstreams, r->member->name);

  if (u != NULL
      && (strcmp (u->address, r->member->address) != 0
          || strcmp (u->service, r->member->service) != 0))
    {
      upstream_move (u);
      u = NULL;
    }
  if (u == NULL)
    u = upstream_new (t, r->member);
  u->selected = true;
  u->distance = r->distance;
  u->listed_leaving = r->member->leaving;
  if (u->conn == NULL && u->reconnect_timer == NULL)
    upstream_connect (u);
}

/* Selects the first slots of the sorted ones, and then the first in other regions. */
static void
select_slots_of_service (UpstreamsTask *t, const RankedSlot *ranked, size_t count)
{
  size_t nearest = MIN (count, NEAREST_SLOTS_MAX);
  size_t other_region = 0;

  for (size_t i = 0; i < nearest; i++)
    select_slot (t, &ranked[i]);
  for (size_t i = nearest; i < count && other_region < OTHER_REGION_SLOTS_MAX; i++)
    if (ranked[i].distance == DL_DISTANCE_OTHER_REGION)
      {
        select_slot (t, &ranked[i]);
        other_region++;
      }
}

/* Frees upstreams that are no longer selected and have no requests in progress. */
static void
free_deselected (UpstreamsTask *t)
{
  GList *all = g_list_concat (g_hash_table_get_values (t->upstreams),
                              g_hash_table_get_keys (t->moved));

  for (GList *l = all; l != NULL; l = l->next)
    {
      Upstream *u = l->data;

      if (!u->selected && u->in_flight == 0)
        upstream_free (u);
    }
  g_list_free (all);
}

/* Selects slots anew from the host list. */
static void
apply_members (UpstreamsTask *t, const DlMembers *members)
{
  GArray *ranked = rank_slots (t, members);
  const RankedSlot *slots = (const RankedSlot *)(void *)ranked->data;
  GHashTableIter iter;
  gpointer upstream;
  size_t i = 0;

  g_hash_table_iter_init (&iter, t->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &upstream))
    ((Upstream *)upstream)->selected = false;
  while (i < ranked->len)
    {
      size_t end = i;

      while (end < ranked->len
             && strcmp (slots[end].member->service, slots[i].member->service) == 0)
        end++;
      select_slots_of_service (t, &slots[i], end - i);
      i = end;
    }
  g_array_free (ranked, TRUE);
  free_deselected (t);
}

static void
on_free_timer (DlTimer *timer, void *data)
{
  free_deselected (data);
}

/* Takes hosts out of rotation or returns them to it, as set by operators. */
static void
apply_drains (UpstreamsTask *t)
{
  GHashTableIter iter;
  gpointer value;

  if (t->snapshot == NULL)
    return;
  g_hash_table_iter_init (&iter, t->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Upstream *u = value;

      u->drained = entry_host_is_drained (t->snapshot->snapshot.snapshot, u->name);
    }
}

/* -------- the task -------- */

static void
replace_message (const EntryMessage **kept, const EntryMessage *message)
{
  if (*kept != NULL)
    dl_message_unref ((void *)*kept);
  *kept = dl_message_ref ((void *)message);
}

static void
upstreams_handle (DlTask *task, const DlMessage *base)
{
  UpstreamsTask *t = dl_task_state (task);
  const EntryMessage *message = (const EntryMessage *)base;

  switch ((EntryMessageType)base->type)
    {
    case ENTRY_MEMBERS:
      replace_message (&t->members, message);
      apply_members (t, message->members.members);
      apply_drains (t);
      break;
    case ENTRY_SNAPSHOT:
      replace_message (&t->snapshot, message);
      apply_drains (t);
      break;
    case ENTRY_FLEET:
      replace_message (&t->fleet, message);
      break;
    case ENTRY_REQUEST:
      upstream_stream_handle (t, message);
      break;
    default:
      break;
    }
}

static json_object *
dump_upstream (const Upstream *u)
{
  static const char *const breaker_states[] = {
    [DL_BREAKER_CLOSED] = "closed",
    [DL_BREAKER_OPEN] = "open",
    [DL_BREAKER_PROBING] = "probing",
  };
  json_object *dump = json_object_new_object ();
  char version[DL_DIGEST_HEX_BYTES];

  dl_digest_to_hex (&u->version, version);
  json_object_object_add (dump, "service", json_object_new_string (u->service));
  json_object_object_add (dump, "address", json_object_new_string (u->address));
  json_object_object_add (dump, "distance", json_object_new_int ((int)u->distance));
  json_object_object_add (dump, "connected", json_object_new_boolean (u->open));
  json_object_object_add (dump, "accepts", json_object_new_boolean (u->accepts));
  json_object_object_add (dump, "leaving",
                          json_object_new_boolean (u->leaving || u->listed_leaving));
  json_object_object_add (dump, "drained", json_object_new_boolean (u->drained));
  json_object_object_add (dump, "version", json_object_new_string (version));
  json_object_object_add (dump, "capacity", json_object_new_int64 (u->capacity));
  json_object_object_add (dump, "load", json_object_new_int64 (u->load));
  json_object_object_add (dump, "own", json_object_new_int64 (u->in_flight));
  json_object_object_add (dump, "breaker",
                          json_object_new_string (breaker_states[u->breaker.state]));
  if (u->sent_ms > 0)
    json_object_object_add (dump, "last_sent_s_ago",
                            json_object_new_double ((double)(dl_clock_ms () - u->sent_ms)
                                                    / MS_PER_S));
  json_object_object_add (dump, "delay_us", json_object_new_uint64 (u->breaker.delay_us));
  return dump;
}

static json_object *
upstreams_dump (DlTask *task)
{
  const UpstreamsTask *t = dl_task_state (task);
  json_object *dump = json_object_new_object ();
  json_object *list = json_object_new_object ();
  GHashTableIter iter;
  gpointer upstream;

  g_hash_table_iter_init (&iter, t->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &upstream))
    json_object_object_add (list, ((Upstream *)upstream)->name, dump_upstream (upstream));
  json_object_object_add (dump, "upstreams", list);
  json_object_object_add (dump, "moved",
                          json_object_new_int64 (g_hash_table_size (t->moved)));
  json_object_object_add (dump, "streams",
                          json_object_new_int64 (g_hash_table_size (t->streams)));
  json_object_object_add (dump, "prefixes",
                          json_object_new_uint64 (dl_prefix_count (t->prefixes)));
  return dump;
}

/* Frees streams first, because their destructors update their service and upstream. */
static int
upstreams_destroy (UpstreamsTask *t)
{
  GList *streams = g_hash_table_get_values (t->streams);

  for (GList *l = streams; l != NULL; l = l->next)
    talloc_free (l->data);
  g_list_free (streams);
  if (t->members != NULL)
    dl_message_unref ((void *)t->members);
  if (t->fleet != NULL)
    dl_message_unref ((void *)t->fleet);
  if (t->snapshot != NULL)
    dl_message_unref ((void *)t->snapshot);
  g_hash_table_destroy (t->streams);
  g_hash_table_destroy (t->upstreams);
  g_hash_table_destroy (t->moved);
  g_hash_table_destroy (t->services);
  return 0;
}

static int
upstreams_start (DlTask *task)
{
  UpstreamsTask *t = talloc_zero (NULL, UpstreamsTask);

  g_assert (t != NULL);
  t->task = task;
  t->settings = entry_settings (task);
  t->upstreams = g_hash_table_new (g_str_hash, g_str_equal);
  t->moved = g_hash_table_new (NULL, NULL);
  t->services = g_hash_table_new (g_str_hash, g_str_equal);
  t->streams = g_hash_table_new (g_int64_hash, g_int64_equal);
  t->prefixes = dl_prefix_new (t);
  talloc_set_destructor (t, upstreams_destroy);
  dl_timer_subscribe (task, t, FREE_INTERVAL_MS, FREE_INTERVAL_MS, on_free_timer, t);
  dl_task_set_state (task, t);
  return 0;
}

static DlPlugin upstreams_plugin = {
  .name = "upstreams",
  .order = 40,
  .subscriptions = ENTRY_SUBSCRIBE (ENTRY_MEMBERS) | ENTRY_SUBSCRIBE (ENTRY_FLEET)
                   | ENTRY_SUBSCRIBE (ENTRY_SNAPSHOT),
  .start = upstreams_start,
  .handle = upstreams_handle,
  .dump = upstreams_dump,
};
DL_PLUGIN_REGISTER (upstreams_plugin)
