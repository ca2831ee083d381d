/*
 * Shares the limits that upstreams name with the other entries.
 *
 * The entries tell each other which limits they heard of, and whether they have requests
 * for the upstream's service.  One that has not told counts as having some.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/log.h"
#include "policy/rendezvous.h"
#include "requests.h"

#define SHARE_MS 200 /* interval of the computation of shares */
/* An entry has requests for a service for this long after the last one. */
#define WANTS_MS 10000
/* After this time the others have been told that it has some again. */
#define TELL_WANTS_MS 1000
/* What another entry told of its requests counts for this long. */
#define TOLD_MS 2000
/* The others are told for this long that a limit has ended. */
#define TELL_ENDED_MS   10000
#define MILLIS_PER_UNIT 1000

struct DirectLimits
{
  Requests *requests;
  GPtrArray *entries; /* addresses of those that accept requests, this one included */
  uint64_t computed_ms;
  bool changed; /* a limit changed since */
};

static int
limits_destroy (DirectLimits *limits)
{
  g_ptr_array_free (limits->entries, TRUE);
  return 0;
}

DirectLimits *
direct_limits_new (Requests *requests)
{
  DirectLimits *limits = talloc_zero (requests, DirectLimits);

  g_assert (limits != NULL);
  limits->requests = requests;
  limits->entries = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (limits->entries, g_strdup (requests->settings->listen));
  talloc_set_destructor (limits, limits_destroy);
  return limits;
}

static void
add_entries (DirectLimits *limits, const char *const *addresses, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (addresses[i], limits->requests->settings->listen) != 0)
      g_ptr_array_add (limits->entries, g_strdup (addresses[i]));
}

void
direct_limits_set_entries (DirectLimits *limits, const DirectMessage *message)
{
  g_ptr_array_set_size (limits->entries, 1); /* this entry stays, ready or not */
  add_entries (limits, message->entries.same_region, message->entries.same_region_count);
  add_entries (limits, message->entries.other_region,
               message->entries.other_region_count);
}

void
direct_limits_note_request (Service *service, uint64_t now_ms)
{
  if (service->wanted_ms == 0 || now_ms > service->wanted_ms + WANTS_MS)
    service->wanted_since_ms = now_ms;
  service->wanted_ms = now_ms;
}

/* -------- what is heard -------- */

static void compute_share (DirectUpstream *u, void *data);

static void
note_named (DirectLimits *limits,
            DirectUpstream *u,
            double limit_per_s,
            uint64_t at_ms,
            const char *source)
{
  bool is_own = source == NULL;

  if (!dl_rate_limit_named (&u->limit, limit_per_s, at_ms, is_own, dl_clock_ms ()))
    return;
  limits->changed = true;
  compute_share (u, limits);
  dl_log (DL_EVENT_DIRECT_UPSTREAM_LIMIT, DL_TEXT ("upstream", u->id),
          DL_INT ("limit_millis",
                  limit_per_s < 0 ? -1 : (int64_t)(limit_per_s * MILLIS_PER_UNIT)),
          DL_TEXT ("source", is_own ? "upstream" : source),
          DL_UINT ("own_requests", u->load.in_flight));
}

void
direct_limits_heard (DirectLimits *limits,
                     DirectUpstream *u,
                     const DlResponseHead *head,
                     uint64_t sent_ms)
{
  if (head->has_limit)
    note_named (limits, u, head->limit_per_s, dl_clock_ms (), NULL);
  else if (head->has_seal)
    /* It may have been decided as early as the request was sent. */
    note_named (limits, u, DL_RATE_NONE, sent_ms, NULL);
}

static void
note_wants (DirectUpstream *u, const char *entry, bool wants)
{
  uint64_t now_ms = dl_clock_ms ();

  if (wants)
    g_hash_table_remove (u->idle_entries, entry);
  else
    g_hash_table_replace (u->idle_entries, g_strdup (entry),
                          g_memdup2 (&now_ms, sizeof now_ms));
}

typedef struct
{
  DirectLimits *limits;
  const DlLimitRecords *records;
} Merge;

static void
merge_upstream (DirectUpstream *u, void *data)
{
  const Merge *m = data;
  uint64_t key = direct_upstream_key (u);

  for (size_t i = 0; i < m->records->count; i++)
    {
      const DlLimitRecord *r = &m->records->items[i];

      if (r->upstream != key)
        continue;
      note_wants (u, m->records->entry, r->wants);
      if (r->named_ms != 0)
        note_named (m->limits, u, r->limit_per_s, r->named_ms, m->records->entry);
    }
}

void
direct_limits_merge (DirectLimits *limits, const DlLimitRecords *records)
{
  Merge m = { .limits = limits, .records = records };

  direct_upstreams_foreach (limits->requests->upstreams, merge_upstream, &m);
}

/* -------- shares -------- */

/* True if this entry has requests for the upstream's service. */
static bool
wants (const DirectLimits *limits, const DirectUpstream *u)
{
  const Service *s = g_hash_table_lookup (limits->requests->services, u->service);

  return s != NULL && s->wanted_ms != 0 && dl_clock_ms () <= s->wanted_ms + WANTS_MS;
}

/* True if it has had requests for long enough that the others have been told. */
static bool
wants_as_told (const DirectLimits *limits, const DirectUpstream *u)
{
  const Service *s = g_hash_table_lookup (limits->requests->services, u->service);

  return wants (limits, u) && dl_clock_ms () >= s->wanted_since_ms + TELL_WANTS_MS;
}

static bool
entry_wants (const DirectUpstream *u, const char *entry)
{
  const uint64_t *told_ms = g_hash_table_lookup (u->idle_entries, entry);

  return told_ms == NULL || dl_clock_ms () > *told_ms + TOLD_MS;
}

static void
compute_share (DirectUpstream *u, void *data)
{
  DirectLimits *limits = data;
  uint64_t key = direct_upstream_key (u);
  g_autoptr (GArray) entries = g_array_new (FALSE, FALSE, sizeof (DlRateEntry));

  if (u->limit.limit_per_s < 0)
    return;
  for (guint i = 0; i < limits->entries->len; i++)
    {
      const char *address = g_ptr_array_index (limits->entries, i);
      DlRateEntry e = {
        .wants = i == 0 ? wants_as_told (limits, u) : entry_wants (u, address),
        .score = dl_rendezvous_score (dl_str_bytes (&key, sizeof key), dl_str (address)),
      };

      g_array_append_val (entries, e);
    }
  dl_rate_limit_set_share (&u->limit,
                           dl_rate_share ((const DlRateEntry *)entries->data,
                                          entries->len, 0, u->limit.limit_per_s),
                           dl_clock_ms (), dl_random_uint64 ());
}

/* -------- what is told -------- */

/* Whether others are told: of a limit, and for a while of its end. */
static bool
is_told (const DlRateLimit *limit)
{
  return limit->limit_per_s >= 0
         || (limit->changed_ms != 0
             && dl_clock_ms () <= limit->changed_ms + TELL_ENDED_MS);
}

typedef struct
{
  const DirectLimits *limits;
  DlLimitRecords *records;
} Collection;

/* Of more limits than can be told at once, a random choice is told. */
static void
collect_record (DirectUpstream *u, void *data)
{
  Collection *c = data;
  size_t at = c->records->count;

  if (!is_told (&u->limit))
    return;
  if (at < DL_LIMIT_RECORDS_MAX)
    c->records->count++;
  else
    at = dl_random_uint64 () % DL_LIMIT_RECORDS_MAX;
  c->records->items[at] = (DlLimitRecord){
    .upstream = direct_upstream_key (u),
    .limit_per_s = u->limit.limit_per_s,
    .named_ms = u->limit.is_own ? u->limit.named_ms : 0,
    .wants = wants (c->limits, u),
  };
}

static void
publish_records (DirectLimits *limits)
{
  DirectMessage *message = direct_message_new (DIRECT_LIMIT_RECORDS);
  Collection c = { .limits = limits };

  message->limit_records = talloc_zero (message, DlLimitRecords);
  c.records = message->limit_records;
  direct_upstreams_foreach (limits->requests->upstreams, collect_record, &c);
  dl_kernel_publish (dl_task_kernel (limits->requests->task), message);
}

void
direct_limits_tick (DirectLimits *limits, uint64_t now_ms)
{
  if (!limits->changed && now_ms < limits->computed_ms + SHARE_MS)
    return;
  limits->computed_ms = now_ms;
  limits->changed = false;
  direct_upstreams_foreach (limits->requests->upstreams, compute_share, limits);
  publish_records (limits);
}
