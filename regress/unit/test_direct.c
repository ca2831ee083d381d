/* Decisions of direct operation: routing tables, versions' times, outages, turns. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "node/named.h"
#include "policy/event_stream.h"
#include "policy/lapse.h"
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
test_repeatable (void)
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

/* A newer name gives an older one no more time. */
static void
test_floor_of_two_names (void)
{
  DlVersionFloor floor = { 0 };
  const uint64_t second_ms = 1000 + LIMIT_MS - DL_VERSION_FLOOR_MARGIN_MS;

  dl_version_floor_announced (&floor, 2, 1000);
  dl_version_floor_announced (&floor, 3, 3000);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, second_ms - 1), 0);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, second_ms), 2);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, second_ms + 2000), 3);
  dl_version_floor_announced (&floor, 2, 90000);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, second_ms), 2);
}

/* An entry that started after both names were told finds the newer one only; the older
 * one's time is told by others. */
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
test_floor_forgets_the_oldest (void)
{
  DlVersionFloor floor = { 0 };

  for (uint64_t v = 1; v <= 3 * DL_VERSION_FLOOR_HISTORY; v++)
    dl_version_floor_announced (&floor, v, v * 10);
  CU_ASSERT_EQUAL (floor.count, DL_VERSION_FLOOR_HISTORY);
  CU_ASSERT_EQUAL (dl_version_floor_at (&floor, LIMIT_MS, 100000),
                   3 * DL_VERSION_FLOOR_HISTORY);
}

/* An entry that starts anew finds a name of unknown age, until another tells it. */
static void
test_age_of_a_found_name (void)
{
  void *owner = talloc_new (NULL);
  DlNamed named = { 0 };
  Daisyloft__Wire__Named told = DAISYLOFT__WIRE__NAMED__INIT;

  CU_ASSERT_TRUE (dl_named_by_store (owner, &named, "m", 3, DL_NAMED_AT_START, 20000));
  CU_ASSERT_EQUAL (named.named_ms, 20000 - DL_NAMED_ASSUMED_AGE_MS);
  told.model = "m";
  told.version = 3;
  told.age_ms = 7000;
  told.witnessed = false;
  CU_ASSERT_FALSE (dl_named_by_node (owner, &named, &told, 20100));
  told.witnessed = true;
  CU_ASSERT_TRUE (dl_named_by_node (owner, &named, &told, 20100));
  CU_ASSERT_EQUAL (named.named_ms, 13100);
  CU_ASSERT_FALSE (dl_named_by_node (owner, &named, &told, 20110));
  told.version = 2;
  CU_ASSERT_FALSE (dl_named_by_node (owner, &named, &told, 20200));
  CU_ASSERT_FALSE (dl_named_by_store (owner, &named, "m", 3, DL_NAMED_SEEN, 30000));
  talloc_free (owner);
}

/* An entry that did not reach the store counts from when it does again, unless another
 * one saw the name. */
static void
test_age_after_an_outage (void)
{
  void *owner = talloc_new (NULL);
  DlNamed named = { 0 };
  Daisyloft__Wire__Named told = DAISYLOFT__WIRE__NAMED__INIT;

  CU_ASSERT_TRUE (dl_named_by_store (owner, &named, "m", 3, DL_NAMED_AFTER_GAP, 20000));
  CU_ASSERT_EQUAL (named.named_ms, 20000);
  CU_ASSERT_FALSE (named.witnessed);
  told.model = "m";
  told.version = 3;
  told.age_ms = 4000;
  told.witnessed = true;
  CU_ASSERT_TRUE (dl_named_by_node (owner, &named, &told, 20100));
  CU_ASSERT_EQUAL (named.named_ms, 16100);
  talloc_free (owner);
}

#define HOSTS 27

static const char *host_names[HOSTS];

static uint64_t
turn_ms (size_t host, bool is_empty)
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

/* Turns lie between the transfer and the limit, and at no time many are out of service.
 */
static void
test_turns_are_spread (void)
{
  uint64_t turns[HOSTS];

  for (size_t i = 0; i < HOSTS; i++)
    host_names[i] = g_strdup_printf ("host-%zu", i);
  for (size_t i = 0; i < HOSTS; i++)
    {
      unsigned together = 0;

      turns[i] = turn_ms (i, false);
      CU_ASSERT (turns[i] >= 1000 + DL_RELOAD_FIRST_MS);
      CU_ASSERT (turns[i] < 1000 + LIMIT_MS - DL_RELOAD_LAST_MS);
      for (size_t j = 0; j <= i; j++)
        together += turns[j] + 1000 > turns[i] && turns[i] + 1000 > turns[j];
      CU_ASSERT (together <= HOSTS * 2 / 3);
      CU_ASSERT_EQUAL (turn_ms (i, true), 1000);
    }
  for (size_t i = 0; i < HOSTS; i++)
    g_free ((gpointer)host_names[i]);
}

static void
test_emptying (void)
{
  CU_ASSERT_TRUE (dl_reload_is_drained (1000, 0, 1000));
  CU_ASSERT_FALSE (dl_reload_is_drained (1000, 3, 1000 + DL_RELOAD_DRAIN_MS - 1));
  CU_ASSERT_TRUE (dl_reload_is_drained (1000, 3, 1000 + DL_RELOAD_DRAIN_MS));
}

/* Names that come together after an outage: only the newest is brought. */
static void
test_skipped_versions (void)
{
  CU_ASSERT_TRUE (dl_reload_skips_version (1000, 1000));
  CU_ASSERT_TRUE (dl_reload_skips_version (1000, 1000 + DL_RELOAD_SKIP_MS));
  CU_ASSERT_FALSE (dl_reload_skips_version (1000, 1001 + DL_RELOAD_SKIP_MS));
}

/* -------- outages of the store -------- */

/* A watch that simply waits is no outage: an upstream that leaves then is gone at once.
 */
static void
test_lapse_of_a_quiet_store (void)
{
  DlLapse lapse = { 0 };

  dl_lapse_answered (&lapse, 1000);
  dl_lapse_answered (&lapse, 2500);
  dl_lapse_answered (&lapse, 9000);
  CU_ASSERT_EQUAL (dl_lapse_keep_until (&lapse, false, 9000), 0);
}

static void
test_lapse_after_an_outage (void)
{
  DlLapse lapse = { 0 };

  dl_lapse_answered (&lapse, 1000);
  dl_lapse_failed (&lapse);
  dl_lapse_answered (&lapse, 9000);
  CU_ASSERT_EQUAL (dl_lapse_keep_until (&lapse, false, 9000), 9000 + DL_LAPSE_RETURN_MS);
  CU_ASSERT_EQUAL (dl_lapse_keep_until (&lapse, true, 9000), 0);
  /* An upstream that leaves after the return is gone at once. */
  CU_ASSERT_EQUAL (dl_lapse_keep_until (&lapse, false, 9000 + DL_LAPSE_FIRST_MS), 0);
  dl_lapse_failed (&lapse);
  dl_lapse_answered (&lapse, 9200);
  CU_ASSERT_EQUAL (lapse.returned_ms, 9000); /* one lost call is no outage */
}

/* -------- events of streams -------- */

typedef struct
{
  const char *bytes;
  uint64_t after; /* the id that the caller has */
  int result;
  const char *out;
  uint64_t last_id;
} EventCase;

static const EventCase event_cases[] = {
  { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 0, 0, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    2 },
  { "id: 1\ndata: a\n\nid: 2\nda", 0, 0, "id: 1\ndata: a\n\n", 1 },
  { "id:7\r\ndata: a\r\n\r\n", 6, 0, "id:7\r\ndata: a\r\n\r\n", 7 },
  { "x-weight-versions: 2\nid: 4\ndata: a\n\n", 3, 0,
    "x-weight-versions: 2\nid: 4\ndata: a\n\n", 4 },
  { "id: 3\ndata: again\n\n", 3, DL_ERR_MALFORMED, "", 3 },
  { ": comment\n\n", 3, 0, ": comment\n\n", 3 },
};

/* The same however the bytes are cut. */
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
        talloc_free (stream);
      }
}

static void
test_events_restart (void)
{
  DlEventStream *stream = dl_event_stream_new (NULL, 0);
  DlBuffer *out = dl_buffer_new (stream, 0);

  dl_event_stream_feed (stream, dl_str ("id: 1\ndata: a\n\nid: 2\ndata: to"), out);
  CU_ASSERT_FALSE (dl_event_stream_is_between_events (stream));
  dl_event_stream_restart (stream);
  CU_ASSERT_TRUE (dl_event_stream_is_between_events (stream));
  dl_event_stream_feed (stream, dl_str ("id: 2\ndata: b\n\n"), out);
  unit_assert_text (dl_str_dup (stream, dl_buffer_view (out)),
                    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  talloc_free (stream);
}

/* -------- retries of entries that share one allowance -------- */

/* Entries that each keep a share stay, together, within the shared one, also those that
 * start anew. */
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
  { "what may be repeated", test_repeatable },
  { "a newer version gives the older one no time", test_floor_of_two_names },
  { "the floor of an entry that starts late", test_floor_of_a_late_starter },
  { "old names are forgotten", test_floor_forgets_the_oldest },
  { "age of a name that was found", test_age_of_a_found_name },
  { "age of a name after an outage", test_age_after_an_outage },
  { "turns of a version", test_turns_are_spread },
  { "how long an upstream is emptied", test_emptying },
  { "versions that are skipped", test_skipped_versions },
  { "a quiet store is not away", test_lapse_of_a_quiet_store },
  { "entries that lapsed in an outage", test_lapse_after_an_outage },
  { "whole events only", test_events },
  { "a stream goes on elsewhere", test_events_restart },
  { "shared retry budget", test_shared_budget },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("direct", tests)
