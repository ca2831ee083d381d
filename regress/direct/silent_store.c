/*
 * Tests of open connections to the store, between entries, and to all others that go
 * silent for good while new ones work: a configuration is in force in time all the same.
 * And of a slow store, which is not taken for silent.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "direct.h"
#include "kernel/wire.pb-c.h"
#include "played.h"

/* Stated by the users: a configuration is in force this long after its acknowledgement,
 * by entries whose connections have not failed for the stable window. */
#define APPLY_MS 2000
#define POLL_US  20000
#define AGAIN_US 700000
#define CALM_US  2500000
#define SLOW_MS  600
#define WATCH_US 4000000
#define DENIED   401
#define SERVED   200
#define FIRST    0
/* Each of an entry's kinds of objects may be asked for once more before the store is
 * known to be slow. */
#define SECOND_WATCHES_MAX 8

static uint64_t
now_ms (void)
{
  return (uint64_t)g_get_monotonic_time () / 1000;
}

static void
stall (Testbed *tb, unsigned first, unsigned count)
{
  for (unsigned i = first; i < first + count; i++)
    proxy_stall (g_ptr_array_index (tb->proxies, i));
}

static bool
follow (const Testbed *tb, unsigned entry, int status, uint64_t until_ms)
{
  while (now_ms () < until_ms)
    {
      if (status_with_key (tb, entry, "key2") == status)
        return true;
      g_usleep (POLL_US);
    }
  return false;
}

static bool
key2_is_served (Testbed *tb)
{
  return status_with_key (tb, 0, "key2") == SERVED
         && status_with_key (tb, 1, "key2") == SERVED;
}

/* Takes a key away just after connections went silent at SILENT_MS, and checks that the
 * first ENTRIES entries refuse it in time. */
static void
check_revoked (Testbed *tb, unsigned entries, uint64_t silent_ms, const char *what)
{
  uint64_t until_ms;

  CHECK (testbed_configure (tb, true));
  until_ms = MAX (now_ms () + APPLY_MS, silent_ms + STABLE_WINDOW_MS);
  for (unsigned i = 0; i < entries; i++)
    check (follow (tb, i, DENIED, until_ms), "the configuration is in force in time",
           what, __LINE__);
}

/* Stalls the first COUNT proxies, that before the store among them, TIMES times in a row,
 * then takes a key away. */
static void
play (Testbed *tb, unsigned count, unsigned times, const char *what)
{
  uint64_t silent_ms = 0;

  CHECK (testbed_configure (tb, false));
  CHECK (eventually (key2_is_served, tb));
  g_usleep (CALM_US);
  for (unsigned n = 0; n < times; n++)
    {
      if (n > 0)
        g_usleep (AGAIN_US);
      silent_ms = now_ms ();
      stall (tb, PROXY_STORE, count);
    }
  check_revoked (tb, ENTRIES, silent_ms, what);
}

static void
test_silent_connections_to_the_store_delayed_a_configuration (Testbed *tb)
{
  play (tb, 1, 1, "the store");
  play (tb, 1, 3, "the store, three times");
}

static void
test_all_connections_are_silent_at_once (Testbed *tb)
{
  play (tb, tb->proxies->len, 1, "all");
  play (tb, tb->proxies->len, 3, "all, three times");
  CHECK (eventually (requests_are_served, tb));
}

/* -------- between entries -------- */

#define REGION           "r1"
#define DATA_CENTER      "d1"
#define RELAY_PROXY_HOST 151
#define RELAY_PROXY_PORT 8001
#define ENTRY_HOST       21
#define ENTRY_NODE_PORT  7700

/* Registers entry INDEX with the address VIA for those that read the store through it. */
static bool
register_relay (Testbed *tb, unsigned index, const char *via)
{
  g_autofree char *name = g_strdup_printf ("entry-%u", index + 1);
  g_autofree char *object = g_strdup_printf ("%s.0.%s", DATA_CENTER, name);
  g_autofree char *spec
      = g_strdup_printf ("{\"name\":\"%s\",\"role\":%d,\"region\":\"" REGION
                         "\",\"data_center\":"
                         "\"" DATA_CENTER "\",\"address\":\"%s.%u:%u\",\"listen\":\"%s\","
                         "\"relay\":\"%s\"}",
                         name, (int)DAISYLOFT__WIRE__ROLE__ROLE_ENTRY, tb->subnet,
                         ENTRY_HOST + index, ENTRY_NODE_PORT, tb->entry[index], via);

  return testbed_put (tb, "daisyloft-nodes", object, spec);
}

/* True if one of the entries reads the store through a proxy. */
static bool
relay_is_proxied (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      g_autofree char *text = NULL;
      g_autofree char *reader
          = g_strdup_printf ("\"reader\":\"%s.%u:", tb->subnet, RELAY_PROXY_HOST + i);

      for (unsigned j = 0; j < ENTRIES; j++)
        {
          g_free (text);
          text = NULL;
          if (g_file_get_contents (tb->entry_process[j].log, &text, NULL, NULL)
              && strstr (text, reader) != NULL)
            return true;
        }
    }
  return false;
}

/* An entry that reads the store through another one turns to the store in time. */
static void
test_connections_between_entries_are_silent (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      g_autofree char *via = g_strdup_printf ("%s.%u:%u", tb->subnet,
                                              RELAY_PROXY_HOST + i, RELAY_PROXY_PORT);
      Proxy *proxy = proxy_new (via, tb->metrics[i]);

      CHECK (proxy != NULL && register_relay (tb, i, via));
      if (proxy != NULL)
        g_ptr_array_add (tb->proxies, proxy);
    }
  CHECK (eventually (relay_is_proxied, tb));
  for (unsigned i = 0; i < 2; i++)
    {
      uint64_t silent_ms;

      CHECK (testbed_configure (tb, false));
      CHECK (eventually (key2_is_served, tb));
      g_usleep (CALM_US);
      silent_ms = now_ms ();
      /* Those between the entries; the second time all. */
      stall (tb, i == 0 ? tb->proxies->len - ENTRIES : 0,
             i == 0 ? ENTRIES : tb->proxies->len);
      check_revoked (tb, ENTRIES, silent_ms, "between entries");
    }
}

/* -------- alone -------- */

static bool
first_serves_key2 (Testbed *tb)
{
  return status_with_key (tb, FIRST, "key2") == SERVED;
}

/* Nobody else can tell it what is new. */
static void
test_entry_alone_in_its_region (Testbed *tb)
{
  uint64_t silent_ms;

  process_end (&tb->entry_process[1], SIGKILL);
  CHECK (testbed_configure (tb, false));
  CHECK (eventually (first_serves_key2, tb));
  g_usleep (CALM_US * 2);
  silent_ms = now_ms ();
  stall (tb, PROXY_STORE, 1);
  check_revoked (tb, 1, silent_ms, "alone");
  CHECK (process_start (&tb->entry_process[1]));
  CHECK (eventually (requests_are_served, tb));
}

static void
test_slow_store_is_not_asked_twice (Testbed *tb)
{
  uint64_t before = second_watches (tb);

  CHECK (set_fault (tb->store, "delay_ms", SLOW_MS));
  g_usleep (WATCH_US);
  CHECK (second_watches (tb) - before <= SECOND_WATCHES_MAX);
  CHECK (requests_are_served (tb));
  CHECK (set_fault (tb->store, "delay_ms", 0));
}

const TestFunc silent_store_tests[] = {
  test_silent_connections_to_the_store_delayed_a_configuration,
  test_all_connections_are_silent_at_once,
  test_connections_between_entries_are_silent,
  test_entry_alone_in_its_region,
  test_slow_store_is_not_asked_twice,
  NULL,
};
