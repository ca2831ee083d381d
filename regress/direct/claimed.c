/*
 * Tests of list entries that claim the address of another upstream: requests go to the
 * one that responds there.
 */
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "direct.h"

#define SERIES       20 /* requests of each kind */
#define NEW_INSTANCE 9
#define FIRST        0

/* What an entry of another writer says beside the address of a live server. */
typedef struct
{
  const char *name;
  const char *service; /* NULL: that of the server */
  const char *state;
  uint64_t started_ms; /* 0: none is given */
} Claim;

static const Claim claims[] = {
  { "a-unknown-service", "archive", "ready", 1 },
  { "z-unknown-service", "archive", "ready", 1 },
  { "a-unknown-draining", "archive", "draining", 1 },
  { "z-no-start", "archive", "ready", 0 },
  { "z-later-start", "archive", "ready", UINT64_C (4102444800000) },
  { "a-same-service", NULL, "ready", 1 },
  { "z-same-service", NULL, "ready", UINT64_C (4102444800000) },
  { "z-same-draining", NULL, "draining", 0 },
  { "z-other-service", "p", "ready", 1 },
  { "z-model-service", "m", "ready", 1 },
};

static char *
claim_name (const Claim *claim, unsigned server)
{
  return g_strdup_printf ("%s-%u", claim->name, server + 1);
}

static const char *
service_of (unsigned server)
{
  return server < MODEL_SERVERS ? "m" : "p";
}

static void
list_claim (Testbed *tb, const Claim *claim)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      g_autofree char *name = claim_name (claim, i);
      g_autofree char *born
          = claim->started_ms > 0
                ? g_strdup_printf (",\"born\":%" PRIu64, claim->started_ms)
                : g_strdup ("");
      g_autofree char *spec
          = g_strdup_printf ("{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"d1\","
                             "\"slots\":%u,\"state\":\"%s\"%s}",
                             claim->service != NULL ? claim->service : service_of (i),
                             tb->via_server[i], SLOTS_DEFAULT, claim->state, born);

      check (testbed_put (tb, "servers", name, spec), "listed", name, __LINE__);
    }
}

static void
unlist_claim (Testbed *tb, const Claim *claim)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      g_autofree char *name = claim_name (claim, i);

      check (testbed_delete (tb, "servers", name), "deleted", name, __LINE__);
    }
}

/* True if ENTRY has listed the upstream NAME since its last start. */
static bool
has_listed (const Testbed *tb, unsigned entry, const char *name)
{
  g_autofree char *text = NULL;
  g_autofree char *member = g_strdup_printf ("\"upstream\":\"%s\"", name);
  const char *start;

  if (!g_file_get_contents (tb->entry_process[entry].log, &text, NULL, NULL))
    return false;
  start = g_strrstr (text, "\n" PROCESS_LOG_MARK);
  return strstr (start != NULL ? start : text, member) != NULL;
}

static const Claim *awaited;

static bool
awaited_is_listed (Testbed *tb)
{
  for (unsigned entry = 0; entry < ENTRIES; entry++)
    for (unsigned i = 0; i < SERVERS; i++)
      {
        g_autofree char *name = claim_name (awaited, i);

        if (!has_listed (tb, entry, name))
          return false;
      }
  return true;
}

static void
await_listed (Testbed *tb, const Claim *claim)
{
  awaited = claim;
  check (eventually (awaited_is_listed, tb), "the entries list it", claim->name,
         __LINE__);
}

/* True if ENTRY serves a request to TARGET. */
static bool
is_served (const Testbed *tb, unsigned entry, const char *target)
{
  static unsigned n;
  g_autofree char *id = g_strdup_printf ("claimed-%u", ++n);
  Call c = default_call (tb, target, id);
  Response r;
  bool served;

  c.address = tb->entry[entry];
  r = call (&c);
  served = r.status == 200;
  response_free (&r);
  return served;
}

/* A booking has one attempt, so that it fails if it is sent to an upstream that is not
 * there. */
static bool
all_kinds_are_served (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    if (!is_served (tb, i, "/r/x") || !is_served (tb, i, "/p/x")
        || !is_served (tb, i, "/o/x"))
      return false;
  return true;
}

/* Number of requests of some series that are not served. */
static unsigned
unserved (Testbed *tb)
{
  unsigned count = 0;

  for (unsigned n = 0; n < SERIES; n++)
    count += !all_kinds_are_served (tb);
  return count;
}

static void
restart_entries (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    process_end (&tb->entry_process[i], SIGKILL);
  for (unsigned i = 0; i < ENTRIES; i++)
    CHECK (process_start (&tb->entry_process[i]));
}

static bool
series_is_served (Testbed *tb)
{
  return unserved (tb) == 0;
}

/* Returns whether the requests are served.  An entry of a known service may get the first
 * request of each kind, which its address refuses without running it. */
static bool
check_claim (Testbed *tb, const Claim *claim, const char *when)
{
  g_autofree char *where = g_strdup_printf ("%s, %s", claim->name, when);
  bool served
      = eventually (all_kinds_are_served, tb) && eventually (series_is_served, tb);

  check (served, "requests go on being served", where, __LINE__);
  return served;
}

static bool
is_of_unknown_service (const Claim *claim)
{
  return claim->service != NULL && strcmp (claim->service, "m") != 0
         && strcmp (claim->service, "p") != 0;
}

static bool
play_claim (Testbed *tb, const Claim *claim)
{
  bool served;

  list_claim (tb, claim);
  await_listed (tb, claim);
  if (is_of_unknown_service (claim))
    check (unserved (tb) == 0, "no request is refused", claim->name, __LINE__);
  served = check_claim (tb, claim, "listed");
  restart_entries (tb);
  await_listed (tb, claim);
  served = served && check_claim (tb, claim, "after a restart");
  unlist_claim (tb, claim);
  return served && check_claim (tb, claim, "removed");
}

static void
test_claim_to_address_took_a_live_server_out_of_use (Testbed *tb)
{
  for (size_t i = 0; i < G_N_ELEMENTS (claims); i++)
    if (!play_claim (tb, &claims[i]))
      return;
}

static bool
plain_is_served (Testbed *tb)
{
  return is_served (tb, 0, "/p/x") && is_served (tb, 1, "/p/x");
}

static bool
list_instance (Testbed *tb, const char *service, const char *id, unsigned server)
{
  g_autofree char *spec
      = g_strdup_printf ("{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"d1\","
                         "\"slots\":%u,\"state\":\"ready\",\"born\":%u}",
                         service, tb->via_server[server], SLOTS_DEFAULT, NEW_INSTANCE);

  return testbed_put (tb, "servers", id, spec);
}

/* The address of an upstream that has ended is assigned to another service while the old
 * entry still stands: the new upstream is used, and the old one costs no booking. */
static void
test_address_is_assigned_again (Testbed *tb)
{
  g_autofree char *id = g_strdup_printf ("i-%u", NEW_INSTANCE);

  CHECK (testbed_unlist_server (tb, SERVERS - 1));
  CHECK (set_fault (tb->server[FIRST], "instance", NEW_INSTANCE));
  CHECK (list_instance (tb, "p", id, FIRST));
  CHECK (eventually (plain_is_served, tb));
  CHECK (recorded (tb->server[FIRST], "ran") > 0);
  CHECK (eventually (requests_are_served, tb));
  for (unsigned n = 0; n < SERIES; n++)
    CHECK (plain_is_served (tb) && requests_are_served (tb));
}

const TestFunc claimed_tests[] = {
  test_claim_to_address_took_a_live_server_out_of_use,
  test_address_is_assigned_again,
  NULL,
};
