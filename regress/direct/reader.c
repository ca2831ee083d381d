/* Tests of entries that read the store for others: what their copy claims to know. */
#include <limits.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "direct.h"

#define KIND_TARGET  "/v1/objects?kinds=servers"
#define SPARE_OBJECT "i-90"
#define GONE         410
#define UNAVAILABLE  503

/* Revision of the upstreams that the second entry gives out; 0 while it refuses. */
static uint64_t
relayed_revision (Testbed *tb)
{
  Response r = call (&(Call){ .address = tb->metrics[1], .target = KIND_TARGET });
  json_object *body = r.status == 200 ? json_tokener_parse (r.body) : NULL;
  uint64_t revision = json_object_get_uint64 (json_object_object_get (body, "revision"));

  if (body != NULL && strstr (r.body, "\"" SPARE_OBJECT "\"") == NULL)
    revision = 0;
  json_object_put (body);
  response_free (&r);
  return revision;
}

static bool
spare_is_relayed (Testbed *tb)
{
  return relayed_revision (tb) > 0;
}

static int
watch_status (Testbed *tb, uint64_t after)
{
  char *target
      = g_strdup_printf ("/v1/watch?kinds=servers&after=%" PRIu64 "&wait_ms=100", after);
  Response r = call (&(Call){ .address = tb->metrics[1], .target = target });
  int status = r.status;

  response_free (&r);
  g_free (target);
  return status;
}

static uint64_t watched_revision;

static bool
copy_is_fresh (Testbed *tb)
{
  int status = watch_status (tb, watched_revision);

  return status != 0 && status != UNAVAILABLE;
}

static void
test_reader_that_has_just_started_knows_no_removals (Testbed *tb)
{
  CHECK (testbed_put (tb, "servers", SPARE_OBJECT,
                      "{\"backend\":\"none\",\"address\":\"127.0.0.9:9\",\"zone\":\"d1\","
                      "\"slots\":1,\"state\":\"ready\"}"));
  CHECK (eventually (spare_is_relayed, tb));
  watched_revision = relayed_revision (tb);
  process_end (&tb->entry_process[1], SIGKILL);
  CHECK (testbed_delete (tb, "servers", SPARE_OBJECT));
  CHECK (process_start (&tb->entry_process[1]));
  CHECK (eventually (copy_is_fresh, tb));
  CHECK (watch_status (tb, watched_revision) == GONE);
}

/* A region of the users' large site: one reader, with this link, for so many nodes; a
 * configuration is in force everywhere within the time, half of which is for the link. */
#define LINK_BYTES_PER_S (40 * 1000 * 1000 / 8)
#define REGION_NODES     61
#define LINK_MS          2000
#define MANY_ROUTES      1651
#define ROUTING_TARGET   "/v1/objects?kinds=config"
#define NEW_ROUTE        "/many/1650/x"

static bool
new_route_is_known (Testbed *tb)
{
  bool known = true;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Call c = default_call (tb, NEW_ROUTE, "many");
      Response r;

      c.address = tb->entry[i];
      r = call (&c);
      known = known && r.status == 200;
      response_free (&r);
    }
  return known;
}

/* Bytes of the table as the entry INDEX gives it out to a node; 0 when it does not. */
static uint64_t
table_bytes (const Testbed *tb, unsigned index)
{
  Response r = call (&(Call){ .address = tb->metrics[index],
                              .target = ROUTING_TARGET,
                              .header = "Accept-Encoding: gzip" });
  g_autofree char *length = response_header (&r, "Content-Length");
  uint64_t bytes
      = r.status == 200 && length != NULL ? g_ascii_strtoull (length, NULL, 10) : 0;

  response_free (&r);
  return bytes;
}

/* The table is sent to every node of the region over one link, where a key that is taken
 * away waited for the routes that were added. */
static void
test_large_table_held_up_the_link_of_its_reader (Testbed *tb)
{
  uint64_t bytes;

  tb->more_routes = MANY_ROUTES;
  CHECK (testbed_configure (tb, false));
  CHECK (eventually (new_route_is_known, tb));
  bytes = MAX (table_bytes (tb, 0), table_bytes (tb, 1));
  g_print ("a table of %u routes: %" G_GUINT64_FORMAT " bytes to a node\n", MANY_ROUTES,
           bytes);
  CHECK (bytes > 0);
  CHECK (bytes * REGION_NODES <= (uint64_t)LINK_BYTES_PER_S * LINK_MS / 1000);
}

/* -------- the age of a copy -------- */

/* A reader of the store waits so long there. */
#define READER_WAIT_MS 500
#define WATCHES        4

/* Age that the entry INDEX tells in its response to a watch, which it answers when its
 * copy was renewed; UINT64_MAX without one. */
static uint64_t
watched_age_ms (const Testbed *tb, unsigned index)
{
  g_autofree char *target = g_strdup_printf ("/v1/watch?kinds=config&after=%d&wait_ms=%d",
                                             INT_MAX, 2 * READER_WAIT_MS);
  Response r = call (&(Call){ .address = tb->metrics[index], .target = target });
  json_object *body = r.status == 200 ? json_tokener_parse (r.body) : NULL;
  json_object *age = body != NULL ? json_object_object_get (body, "age_ms") : NULL;
  uint64_t age_ms = age != NULL ? json_object_get_uint64 (age) : UINT64_MAX;

  json_object_put (body);
  response_free (&r);
  return age_ms;
}

/* Each watch but the first arrives as the copy has just been renewed. */
static void
test_age_of_a_copy_included_the_time_for_which_a_watch_had_waited (Testbed *tb)
{
  uint64_t youngest_ms = UINT64_MAX;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      uint64_t oldest_ms = 0;

      watched_age_ms (tb, i);
      for (unsigned n = 0; n < WATCHES; n++)
        oldest_ms = MAX (oldest_ms, watched_age_ms (tb, i));
      youngest_ms = MIN (youngest_ms, oldest_ms);
    }
  g_print ("highest age at the reader: %" G_GUINT64_FORMAT " ms\n", youngest_ms);
  CHECK (youngest_ms < READER_WAIT_MS / 2);
}

const TestFunc reader_tests[] = {
  test_age_of_a_copy_included_the_time_for_which_a_watch_had_waited,
  test_large_table_held_up_the_link_of_its_reader,
  test_reader_that_has_just_started_knows_no_removals,
  NULL,
};
