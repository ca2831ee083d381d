/* Decisions of direct operation: routing tables, target versions, reloads, outages of the
 * store, event streams and retry budgets. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "node/target_version.h"
#include "policy/event_stream.h"
#include "policy/outage.h"
#include "policy/reload_schedule.h"
#include "policy/retry.h"
#include "policy/routing.h"
#include "policy/version_floor.h"
#include "unit.h"

#define LIMIT_MS 8000

/* -------- routing tables -------- */

static DlRouteEntry route_entries[] = {
  { .name = "short", .host = { "a.example", 9 }, .prefix = { "/x/", 3 } },
  { .name = "long", .host = { "a.example", 9 }, .prefix = { "/x/y/", 5 } },
  { .name = "other", .host = { "b.example", 9 }, .prefix = { "/x/", 3 } },
};

typedef struct
{
  const char *host;
  const char *path;
  const char *route; /* NULL: none */
} MatchCase;

static const MatchCase match_cases[] = {
  { "a.example", "/x/1", "short" },   { "a.example", "/x/y/1", "long" },
  { "a.example", "/x/y", "short" },   { "A.Example:8005", "/x/y/", "long" },
  { "b.example", "/x/y/1", "other" }, { "c.example", "/x/1", NULL },
  { "a.example", "/z/1", NULL },      { "", "/x/1", NULL },
  { "a.example.org", "/x/1", NULL },  { "a.example", "", NULL },
};

static void
test_match (void)
{
  DlRouting *routing = dl_routing_new (NULL);

  routing->routes = route_entries;
  routing->route_count = G_N_ELEMENTS (route_entries);
  for (size_t i = 0; i < G_N_ELEMENTS (match_cases); i++)
    {
      const MatchCase *c = &match_cases[i];
      const DlRouteEntry *r
          = dl_routing_match (routing, dl_str (c->host), dl_str (c->path));

      unit_assert_text (r != NULL ? r->name : NULL, c->route);
    }
  talloc_free (routing);
}

static void
test_draw_target (void)
{
  DlRouteTarget targets[] = { { "a", 90 }, { "none", 0 }, { "b", 10 } };
  const DlRouteEntry route = { .targets = targets, .target_count = 3 };
  const DlRouteEntry empty = { 0 };
  unsigned drawn_b = 0;

  for (uint64_t i = 0; i < 1000; i++)
    drawn_b += strcmp (dl_routing_pick_target (&route, i), "b") == 0;
  CU_ASSERT_EQUAL (drawn_b, 100);
  CU_ASSERT_PTR_NULL (dl_routing_pick_target (&empty, 1));
}

static void
test_retryable (void)
{
  const DlRouteEntry stream = { .kind = DL_ROUTE_STREAM };
  const DlRouteEntry resumable = { .kind = DL_ROUTE_STREAM, .resumable = true };
  const DlRouteEntry once = { .kind = DL_ROUTE_ONCE, .resumable = true };
  const DlRouteEntry safe = { .kind = DL_ROUTE_SAFE };

  CU_ASSERT_FALSE (dl_routing_may_retry (&stream));
  CU_ASSERT_TRUE (dl_routing_may_retry (&resumable));
  CU_ASSERT_FALSE (dl_routing_may_retry (&once));
  CU_ASSERT_TRUE (dl_routing_may_retry (&safe));
}

/* -------- versions -------- */

/* A newer target version must not extend the time in which an older one takes effect. */
static void
test_floor_of_two_versions (void)
{
  DlVersionFloor floor = { 0 };
  const uint64_t floor_ms = 1000 + LIMIT_MS - DL_VERSION_FLOOR_MARGIN_MS;

  dl_version_floor_announced (&floor, 2, 1000);
  dl_version_floor_announced (&floor, 3, 3000);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, floor_ms - 1), 0);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, floor_ms), 2);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, floor_ms + 2000), 3);
  dl_version_floor_announced (&floor, 2, 90000);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, floor_ms), 2);
}

/* An entry that starts after two versions were announced finds only the newer one in the
 * store.  The floor for the older one must come from other entries. */
static void
test_floor_of_a_late_starter (void)
{
  DlVersionFloor floor = { 0 };

  dl_version_floor_announced (&floor, 3, 3000);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, 9000), 0);
  CU_ASSERT_TRUE (dl_version_floor_raise (&floor, 2));
  CU_ASSERT_FALSE (dl_version_floor_raise (&floor, 2));
  CU_ASSERT_FALSE (dl_version_floor_raise (&floor, 1));
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, 9000), 2);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, 11000), 3);
}

static void
test_floor_drops_the_oldest (void)
{
  DlVersionFloor floor = { 0 };

  for (uint64_t v = 1; v <= 3 * DL_VERSION_FLOOR_HISTORY; v++)
    dl_version_floor_announced (&floor, v, v * 10);
  CU_ASSERT_EQUAL (floor.count, DL_VERSION_FLOOR_HISTORY);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, 100000),
                   3 * DL_VERSION_FLOOR_HISTORY);
}

/* An entry that has just started does not know when the version in the store was
 * announced.  It assumes an age until a node that saw the announcement reports it. */
static void
test_age_at_start (void)
{
  void *owner = talloc_new (NULL);
  DlTargetVersion named = { 0 };
  Daisyloft__Wire__Named told = DAISYLOFT__WIRE__NAMED__INIT;

  CU_ASSERT_TRUE (
      dl_target_version_from_store (owner, &named, "m", 3, DL_TARGET_AT_START, 20000));
  CU_ASSERT_EQUAL (named.announced_ms, 20000 - DL_TARGET_ASSUMED_AGE_MS);
  told.model = "m";
  told.version = 3;
  told.age_ms = 7000;
  told.witnessed = false;
  CU_ASSERT_FALSE (dl_target_version_from_node (owner, &named, &told, 20100));
  told.witnessed = true;
  CU_ASSERT_TRUE (dl_target_version_from_node (owner, &named, &told, 20100));
  CU_ASSERT_EQUAL (named.announced_ms, 13100);
  CU_ASSERT_FALSE (dl_target_version_from_node (owner, &named, &told, 20110));
  told.version = 2;
  CU_ASSERT_FALSE (dl_target_version_from_node (owner, &named, &told, 20200));
  CU_ASSERT_FALSE (
      dl_target_version_from_store (owner, &named, "m", 3, DL_TARGET_OBSERVED, 30000));
  talloc_free (owner);
}

/* For an entry that could not reach the store, the time of a version counts from the end
 * of the outage, unless another node saw the announcement. */
static void
test_age_after_an_outage (void)
{
  void *owner = talloc_new (NULL);
  DlTargetVersion named = { 0 };
  Daisyloft__Wire__Named told = DAISYLOFT__WIRE__NAMED__INIT;

  CU_ASSERT_TRUE (dl_target_version_from_store (owner, &named, "m", 3,
                                                DL_TARGET_AFTER_OUTAGE, 20000));
  CU_ASSERT_EQUAL (named.announced_ms, 20000);
  CU_ASSERT_FALSE (named.observed);
  told.model = "m";
  told.version = 3;
  told.age_ms = 4000;
  told.witnessed = true;
  CU_ASSERT_TRUE (dl_target_version_from_node (owner, &named, &told, 20100));
  CU_ASSERT_EQUAL (named.announced_ms, 16100);
  talloc_free (owner);
}

#define HOSTS 27

static const char *host_names[HOSTS];

static uint64_t
reload_ms (size_t host, bool is_empty)
{
  const char *others[HOSTS];
  size_t count = 0;

  for (size_t i = 0; i < HOSTS; i++)
    if (i != host)
      others[count++] = host_names[i];
  return dl_reload_start_ms (&(DlReloadSchedule){
      .host = host_names[host],
      .others = others,
      .other_count = count,
      .model = "m",
      .version = 2,
      .announced_ms = 1000,
      .limit_ms = LIMIT_MS,
      .is_unloaded = is_empty,
  });
}

/* Hosts must reload after the transfer and before the limit, and no more than two thirds
 * of them within a second of each other; a host without weights reloads at once. */
static void
test_reloads_are_spread (void)
{
  uint64_t reloads[HOSTS];

  for (size_t i = 0; i < HOSTS; i++)
    host_names[i] = g_strdup_printf ("host-%zu", i);
  for (size_t i = 0; i < HOSTS; i++)
    {
      unsigned together = 0;

      reloads[i] = reload_ms (i, false);
      CU_ASSERT (reloads[i] >= 1000 + DL_RELOAD_FIRST_MS);
      CU_ASSERT (reloads[i] < 1000 + LIMIT_MS - DL_RELOAD_LAST_MS);
      for (size_t j = 0; j <= i; j++)
        together += reloads[j] + 1000 > reloads[i] && reloads[i] + 1000 > reloads[j];
      CU_ASSERT (together <= HOSTS * 2 / 3);
      CU_ASSERT_EQUAL (reload_ms (i, true), 1000);
    }
  for (size_t i = 0; i < HOSTS; i++)
    g_free ((gpointer)host_names[i]);
}

static void
test_draining (void)
{
  CU_ASSERT_TRUE (dl_reload_is_drained (1000, 0, 1000));
  CU_ASSERT_FALSE (dl_reload_is_drained (1000, 3, 1000 + DL_RELOAD_DRAIN_MS - 1));
  CU_ASSERT_TRUE (dl_reload_is_drained (1000, 3, 1000 + DL_RELOAD_DRAIN_MS));
}

/* Of versions that are announced shortly after each other, as after an outage, only the
 * newest is loaded. */
static void
test_skipped_versions (void)
{
  CU_ASSERT_TRUE (dl_reload_skips_version (1000, 1000));
  CU_ASSERT_TRUE (dl_reload_skips_version (1000, 1000 + DL_RELOAD_SKIP_MS));
  CU_ASSERT_FALSE (dl_reload_skips_version (1000, 1001 + DL_RELOAD_SKIP_MS));
}

/* -------- outages of the store -------- */

/* A watch that gets no response because nothing changes is no outage: an upstream that is
 * then missing from the list is removed at once. */
static void
test_no_outage_of_an_idle_store (void)
{
  DlOutage outage = { 0 };

  dl_outage_call_succeeded (&outage, 1000);
  dl_outage_call_succeeded (&outage, 2500);
  dl_outage_call_succeeded (&outage, 9000);
  CU_ASSERT_EQUAL (dl_outage_keep_until (&outage, false, 9000), 0);
}

static void
test_upstreams_after_an_outage (void)
{
  DlOutage outage = { 0 };

  dl_outage_call_succeeded (&outage, 1000);
  dl_outage_call_failed (&outage);
  dl_outage_call_succeeded (&outage, 9000);
  CU_ASSERT_EQUAL (dl_outage_keep_until (&outage, false, 9000),
                   9000 + DL_OUTAGE_GRACE_MS);
  CU_ASSERT_EQUAL (dl_outage_keep_until (&outage, true, 9000), 0);
  /* An upstream that is missing only later after the outage is removed at once. */
  CU_ASSERT_EQUAL (dl_outage_keep_until (&outage, false, 9000 + DL_OUTAGE_ABSENT_MS), 0);
  dl_outage_call_failed (&outage);
  dl_outage_call_succeeded (&outage, 9200);
  CU_ASSERT_EQUAL (outage.recovered_ms, 9000); /* one failed request is no outage */
}

/* -------- events of streams -------- */

typedef struct
{
  const char *bytes;
  uint64_t after; /* id of the last event that the caller has */
  int result;
  const char *out;
  uint64_t last_id;
  int finish;       /* result of the stream's end there */
  const char *tail; /* passed on then; NULL for nothing */
} EventCase;

static const EventCase event_cases[] = {
  { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 0, 0, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    2 },
  { "id: 1\ndata: a\n\nid: 2\nda", 0, 0, "id: 1\ndata: a\n\n", 1, DL_ERR_CLOSED },
  { "id:7\r\ndata: a\r\n\r\n", 6, 0, "id:7\r\ndata: a\r\n\r\n", 7 },
  { "x-weight-versions: 2\nid: 4\ndata: a\n\n", 3, 0,
    "x-weight-versions: 2\nid: 4\ndata: a\n\n", 4 },
  { "id: 3\ndata: again\n\n", 3, DL_ERR_MALFORMED, "", 3, DL_ERR_CLOSED },
  { ": comment\n\n", 3, 0, "", 3, 0, ": comment\n\n" },
  { ": comment\n\nid: 4\ndata: a\n\n", 3, 0, ": comment\n\nid: 4\ndata: a\n\n", 4 },
  { "id: 4\ndata: a\n\n\n\r\n: b\n\n", 3, 0, "id: 4\ndata: a\n\n", 4, 0,
    "\n\r\n: b\n\n" },
  { "id: 4\ndata: a\n\n: b", 3, 0, "id: 4\ndata: a\n\n", 4, DL_ERR_CLOSED },
  { "data: a\n\n\ndata: b\n\nid: 4\n\n", 3, 0, "data: a\n\n\ndata: b\n\nid: 4\n\n", 4 },
  { "id: x\ndata: a\n\n", 3, 0, "", 3, 0, "id: x\ndata: a\n\n" },
  { "", 3, 0, "", 3 },
};

/* The result must not depend on how the bytes are split. */
static void
test_events (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (event_cases); i++)
    for (size_t step = 1; step < 12; step++)
      {
        const EventCase *c = &event_cases[i];
        DlEventStream *stream = dl_event_stream_new (NULL, c->after);
        DlBuffer *out = dl_buffer_new (stream, 0);
        size_t length = strlen (c->bytes);
        int result = 0;
        char *text;

        for (size_t at = 0; at < length && result == 0; at += step)
          result = dl_event_stream_feed (
              stream, dl_str_bytes (c->bytes + at, MIN (step, length - at)), out);
        text = dl_str_dup (stream, dl_buffer_view (out));
        CU_ASSERT_EQUAL (result, c->result);
        unit_assert_text (text, c->out);
        CU_ASSERT_EQUAL (stream->last_id, c->last_id);
        dl_buffer_clear (out);
        CU_ASSERT_EQUAL (result < 0 ? c->finish : dl_event_stream_finish (stream, out),
                         c->finish);
        text = dl_str_dup (stream, dl_buffer_view (out));
        unit_assert_text (text, c->tail != NULL ? c->tail : "");
        talloc_free (stream);
      }
}

typedef struct
{
  const char *unit; /* fed again and again */
  size_t count;     /* so often */
  int result;       /* of the last time */
  uint64_t last_id;
} LongStreamCase;

static const LongStreamCase long_cases[] = {
  { "abcdefgh", DL_EVENT_MAX_BYTES / 8, 0, 0 },
  { "abcdefgh", DL_EVENT_MAX_BYTES / 8 + 1, DL_ERR_TOO_LARGE, 0 },
  { "\n", DL_EVENT_MAX_BYTES, 0, 0 },
  { "\n", DL_EVENT_MAX_BYTES + 1, DL_ERR_TOO_LARGE, 0 },
  { ": comment\n\n", DL_EVENT_MAX_BYTES / 11 + 1, DL_ERR_TOO_LARGE, 0 },
  { "data: a\n\n", DL_EVENT_MAX_BYTES / 9 + 1, DL_ERR_TOO_LARGE, 0 },
};

/* What never becomes an event ends the stream at a limit, and none of it is passed on. */
static void
test_bytes_without_an_event (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (long_cases); i++)
    {
      const LongStreamCase *c = &long_cases[i];
      DlEventStream *stream = dl_event_stream_new (NULL, 0);
      DlBuffer *out = dl_buffer_new (stream, 0);
      int result = 0;

      for (size_t n = 0; n < c->count; n++)
        {
          CU_ASSERT_EQUAL (result, 0);
          result = dl_event_stream_feed (stream, dl_str (c->unit), out);
        }
      CU_ASSERT_EQUAL (result, c->result);
      CU_ASSERT_EQUAL (stream->last_id, c->last_id);
      CU_ASSERT_EQUAL (out->length, 0);
      talloc_free (stream);
    }
}

/* Many whole events at once are no event over the limit. */
static void
test_many_events_at_once (void)
{
  DlEventStream *stream = dl_event_stream_new (NULL, 0);
  DlBuffer *in = dl_buffer_new (stream, 0);
  DlBuffer *out = dl_buffer_new (stream, 0);

  for (unsigned id = 1; in->length < 3 * DL_EVENT_MAX_BYTES; id++)
    dl_buffer_printf (in, "id: %u\ndata: event\n\n", id);
  CU_ASSERT_EQUAL (dl_event_stream_feed (stream, dl_buffer_view (in), out), 0);
  CU_ASSERT_EQUAL (out->length, in->length);
  talloc_free (stream);
}

static void
test_events_restart (void)
{
  DlEventStream *stream = dl_event_stream_new (NULL, 0);
  DlBuffer *out = dl_buffer_new (stream, 0);

  dl_event_stream_feed (stream, dl_str ("id: 1\ndata: a\n\nid: 2\ndata: to"), out);
  CU_ASSERT_EQUAL (dl_event_stream_finish (stream, out), DL_ERR_CLOSED);
  dl_event_stream_restart (stream);
  CU_ASSERT_EQUAL (dl_event_stream_finish (stream, out), 0);
  dl_event_stream_feed (stream, dl_str ("id: 2\ndata: b\n\n"), out);
  unit_assert_text (dl_str_dup (stream, dl_buffer_view (out)),
                    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  talloc_free (stream);
}

/* -------- shared retry budget -------- */

/* Entries that each have a share of the retry budget must together stay within it, those
 * that have just started included. */
static void
test_shared_budget (void)
{
  const unsigned entries = 8;
  const uint64_t cap = 7;
  const uint64_t percent = 14;
  uint64_t first_tries = 0;
  uint64_t repeats = 0;

  for (unsigned e = 0; e < entries; e++)
    {
      DlRetryBudget budget;

      dl_retry_init_share (&budget, cap);
      CU_ASSERT_FALSE (dl_retry_spend (&budget, percent));
      for (unsigned i = 0; i < 200; i++)
        {
          dl_retry_first_attempt (&budget, percent);
          first_tries++;
          while (dl_retry_spend (&budget, percent))
            repeats++;
        }
    }
  CU_ASSERT (repeats * 100 <= first_tries * 20 + 100 * 104);
  CU_ASSERT (repeats * 100 >= first_tries * (percent - 1));
}

static const CU_TestInfo tests[] = {
  { "route of a host and path", test_match },
  { "service of a split route", test_draw_target },
  { "routes whose requests may be retried", test_retryable },
  { "version floor of two announced versions", test_floor_of_two_versions },
  { "version floor of an entry that starts late", test_floor_of_a_late_starter },
  { "the version floor drops the oldest versions", test_floor_drops_the_oldest },
  { "age of a version found at the start", test_age_at_start },
  { "age of a version after an outage", test_age_after_an_outage },
  { "reloads are spread over the hosts", test_reloads_are_spread },
  { "how long an upstream is drained", test_draining },
  { "versions that are skipped", test_skipped_versions },
  { "an idle store is no outage", test_no_outage_of_an_idle_store },
  { "upstreams missing after an outage", test_upstreams_after_an_outage },
  { "whole events only", test_events },
  { "bytes that never become an event", test_bytes_without_an_event },
  { "many events at once", test_many_events_at_once },
  { "a stream is resumed at another upstream", test_events_restart },
  { "shared retry budget", test_shared_budget },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("direct", tests)
