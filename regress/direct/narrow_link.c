/*
 * Tests of nodes that start behind a narrow link to the store.
 */
#include <string.h>

#include "direct.h"

#define STORE_PAGE 1000 /* objects on a page of the store's lists */
/* Upstreams of a service that no route names. */
#define FURTHER_UPSTREAMS 600
/* The list of upstreams takes longer on this link than a call that brings nothing may
 * take. */
#define LINK_BYTES_PER_S 100000
/* Stated by the users: service is back within this time after the hosts are. */
#define RECOVERY_MS 15000
#define POLL_MS     50
/* Longer than the first call for a list may wait for a byte. */
#define QUEUE_MS 1200

/* Stated by the users: a configuration is in force within this time. */
#define APPLY_MS     2000
#define DENIED       401
#define MILLISECONDS 1000
#define LARGE_ROUTES 2000
/* A table takes so long on the link: longer than until a watch is sent once more. */
#define LONGER_THAN_A_HEDGE_MS 400
/* The same, and longer than until an entry reads the store itself. */
#define LONGER_THAN_A_TURN_MS 500

/* Bytes of the table, as the store sends it. */
static uint64_t
table_bytes (const Testbed *tb)
{
  Response r = call (&(Call){ .address = tb->store, .target = "/-/objects/config/main" });
  uint64_t bytes = r.status == 200 ? strlen (r.body) : 0;

  CHECK (bytes > 0);
  response_free (&r);
  return bytes;
}

static void
list_further_upstreams (Testbed *tb)
{
  for (unsigned i = 0; i < FURTHER_UPSTREAMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("other-%u", i);
      g_autofree char *spec = g_strdup_printf (
          "{\"backend\":\"other\",\"address\":\"%s.%u:%u\",\"zone\":\"d1\","
          "\"version\":\"a release with a long name\",\"slots\":4,"
          "\"state\":\"ready\",\"sequence\":%u,\"born\":1,\"models\":[]}",
          tb->subnet, 100 + i % 100, 9000 + i, i);

      CHECK (testbed_put (tb, "servers", name, spec));
    }
}

bool
narrow_link_recovers (Testbed *tb)
{
  gint64 end_us = g_get_monotonic_time () + RECOVERY_MS * G_TIME_SPAN_MILLISECOND;

  while (!requests_are_served (tb))
    {
      if (g_get_monotonic_time () > end_us)
        return false;
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  return true;
}

void
narrow_link_begin (Testbed *tb)
{
  CHECK (set_fault (tb->store, "page", STORE_PAGE));
  list_further_upstreams (tb);
  proxy_set_rate (g_ptr_array_index (tb->proxies, PROXY_STORE), LINK_BYTES_PER_S);
}

void
narrow_link_end (Testbed *tb)
{
  proxy_set_rate (g_ptr_array_index (tb->proxies, PROXY_STORE), 0);
}

static void
test_list_that_took_longer_than_a_silent_call_began_again_without_end (Testbed *tb)
{
  end_nodes (tb);
  narrow_link_begin (tb);
  start_nodes (tb);
  CHECK (narrow_link_recovers (tb));
  narrow_link_end (tb);
}

/* Each call that is given up before its response is there is answered in vain. */
static void
test_calls_behind_a_full_queue_were_given_up_without_end (Testbed *tb)
{
  Proxy *link = g_ptr_array_index (tb->proxies, PROXY_STORE);

  end_nodes (tb);
  proxy_set_queue (link, QUEUE_MS);
  start_nodes (tb);
  CHECK (narrow_link_recovers (tb));
  proxy_set_queue (link, 0);
}

/* -------- a large routing table -------- */

/* What is seen when a table must be in force. */
typedef struct
{
  uint64_t copies; /* that the store has sent */
  bool in_force;   /* at both entries */
} Replaced;

/* Takes key2 away by a table that takes TABLE_MS on the link. */
static Replaced
replace_large_table (Testbed *tb, unsigned table_ms)
{
  Proxy *link = g_ptr_array_index (tb->proxies, PROXY_STORE);
  Replaced result = { .in_force = true };
  uint64_t before;
  uint64_t bytes;

  tb->more_routes = LARGE_ROUTES;
  CHECK (testbed_configure (tb, false));
  CHECK (eventually (requests_are_served, tb));
  g_usleep (APPLY_MS * G_TIME_SPAN_MILLISECOND);
  before = recorded (tb->store, "changes.config");
  bytes = table_bytes (tb);
  proxy_set_rate (link, (unsigned)(bytes * MILLISECONDS / table_ms));
  CHECK (testbed_configure (tb, true));
  g_usleep (APPLY_MS * G_TIME_SPAN_MILLISECOND);
  for (unsigned i = 0; i < ENTRIES; i++)
    result.in_force = result.in_force && status_with_key (tb, i, "key2") == DENIED;
  result.copies = recorded (tb->store, "changes.config") - before;
  proxy_set_rate (link, 0);
  g_print ("a table of %" G_GUINT64_FORMAT
           " bytes takes %u ms; in force: %s, copies: %" G_GUINT64_FORMAT "\n",
           bytes, table_ms, result.in_force ? "yes" : "no", result.copies);
  return result;
}

static void
test_watch_was_sent_again_while_its_response_was_arriving (Testbed *tb)
{
  uint64_t before = second_watches (tb);

  replace_large_table (tb, LONGER_THAN_A_HEDGE_MS);
  CHECK (second_watches (tb) == before);
}

static void
test_entry_read_the_store_while_its_reader_was_receiving_the_table (Testbed *tb)
{
  static const unsigned table_ms[] = { LONGER_THAN_A_HEDGE_MS, LONGER_THAN_A_TURN_MS };

  for (size_t i = 0; i < G_N_ELEMENTS (table_ms); i++)
    {
      Replaced replaced = replace_large_table (tb, table_ms[i]);

      CHECK (replaced.copies == 1);
      CHECK (replaced.in_force);
    }
}

const TestFunc narrow_link_tests[] = {
  test_calls_behind_a_full_queue_were_given_up_without_end,
  test_list_that_took_longer_than_a_silent_call_began_again_without_end,
  test_watch_was_sent_again_while_its_response_was_arriving,
  test_entry_read_the_store_while_its_reader_was_receiving_the_table,
  NULL,
};
