/*
 * Tests of prompt parts, and of whole requests, that crash the upstreams that process
 * them.  What reached an upstream is read from its own records.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "direct.h"

#define PROBES         12 /* requests with the part that are sent after it */
#define SOUND_REQUESTS 8
#define DOWN_POLLS_MAX 100 /* for a server that crashed */
#define DOWN_POLL_US   20000
#define POISON_MAX     20 /* requests that may be needed for CRASHES */

/* The bad part; each test has one of its own, as entries remember what was served. */
static unsigned bad_part = 0xbad0;
static char bad_text[16];

/* Sends a request with the bad part; returns how often it reached an upstream.  When it
 * did not, it must have been refused with a time to come back. */
static uint64_t
send_poison (Testbed *tb, unsigned entry)
{
  uint64_t before = recorded_by_models (tb, "received");
  char *id;
  Response r = stream_with_part (tb, tb->entry[entry], bad_text, &id);
  uint64_t sent = recorded_by_models (tb, "received") - before;
  char *retry = response_header (&r, "Retry-After");

  CHECK (sent > 0 || (r.status == 503 && retry != NULL));
  CHECK (runs_of (tb, id) == 0 || r.status != 503);
  g_free (retry);
  g_free (id);
  response_free (&r);
  return sent;
}

static bool
both_entries_serve (Testbed *tb)
{
  return part_is_served (tb, tb->entry[0], "50")
         && part_is_served (tb, tb->entry[1], "51");
}

/* Lists the servers that crashed as new instances and waits until they are used. */
static void
replace_crashed (Testbed *tb, uint64_t *seen)
{
  for (unsigned i = 0; i < DOWN_POLLS_MAX && !testbed_list_crashed (tb, seen); i++)
    g_usleep (DOWN_POLL_US);
  CHECK (eventually (both_entries_serve, tb));
}

static void
read_crashes (Testbed *tb, uint64_t *seen)
{
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    seen[i] = recorded (tb->server[i], "crashes");
}

/* Sends requests with the bad part, at one entry after the other, until it has crashed
 * upstreams CRASHES times or such a request is refused. */
static void
crash_upstreams (Testbed *tb)
{
  uint64_t seen[MODEL_SERVERS];
  uint64_t before = recorded_by_models (tb, "crashes");

  g_snprintf (bad_text, sizeof bad_text, "%x", ++bad_part);
  set_fault_on_both (tb, "crash_part", bad_part);
  read_crashes (tb, seen);
  for (unsigned i = 0;
       i < POISON_MAX && recorded_by_models (tb, "crashes") < before + CRASHES; i++)
    {
      if (send_poison (tb, i % ENTRIES) == 0)
        return;
      replace_crashed (tb, seen);
      for (unsigned n = 0; n < SOUND_REQUESTS; n++)
        CHECK (part_is_served (tb, tb->entry[n % ENTRIES], "52"));
    }
}

/* Stops the fault and waits until the part is served again. */
static bool
bad_part_is_served (Testbed *tb)
{
  return part_is_served (tb, tb->entry[0], bad_text)
         || part_is_served (tb, tb->entry[1], bad_text);
}

static void
heal (Testbed *tb)
{
  uint64_t seen[MODEL_SERVERS] = { 0 };

  set_fault_on_both (tb, "crash_part", 0);
  replace_crashed (tb, seen);
  /* The hold may be nearly as long as one wait. */
  CHECK (eventually (bad_part_is_served, tb) || eventually (bad_part_is_served, tb));
}

static void
test_part_that_crashed_five_upstreams_was_sent_on (Testbed *tb)
{
  uint64_t sent = 0;

  crash_upstreams (tb);
  g_usleep (STABLE_WINDOW_MS * 1000);
  for (unsigned i = 0; i < PROBES; i++)
    sent += send_poison (tb, i % ENTRIES);
  CHECK (sent <= SENT_MAX);
  CHECK (eventually (both_entries_serve, tb));
  heal (tb);
}

static bool
entry_is_ready (Testbed *tb, unsigned entry)
{
  Response r = call (&(Call){ .address = tb->ready[entry], .target = "/-/readyz" });
  bool ready = r.status == 200;

  response_free (&r);
  return ready;
}

static bool
second_entry_is_ready (Testbed *tb)
{
  return entry_is_ready (tb, 1);
}

static bool
part_is_refused (Testbed *tb, unsigned entry)
{
  uint64_t before = recorded_by_models (tb, "received");

  return send_poison (tb, entry) == 0 && recorded_by_models (tb, "received") == before;
}

static void
test_entry_that_has_just_started_sent_the_part (Testbed *tb)
{
  uint64_t sent = 0;

  crash_upstreams (tb);
  process_end (&tb->entry_process[1], SIGKILL);
  CHECK (process_start (&tb->entry_process[1]));
  CHECK (eventually (second_entry_is_ready, tb));
  g_usleep (STABLE_WINDOW_MS * 1000);
  for (unsigned i = 0; i < PROBES; i++)
    sent += send_poison (tb, 1);
  CHECK (sent <= SENT_MAX);
  heal (tb);
}

static void
test_release_did_not_reach_the_other_entry (Testbed *tb)
{
  crash_upstreams (tb);
  CHECK (part_is_refused (tb, 0) && part_is_refused (tb, 1));
  heal (tb);
  for (unsigned i = 0; i < ENTRIES; i++)
    for (unsigned n = 0; n < 4; n++)
      CHECK (part_is_served (tb, tb->entry[i], bad_text));
}

/* Crashes that have nothing to do with the requests, one upstream after the other. */
static void
test_popular_part_was_refused_after_crashes_in_a_row (Testbed *tb)
{
  uint64_t seen[MODEL_SERVERS];

  read_crashes (tb, seen);
  for (unsigned i = 0; i < 2 * CRASHES; i++)
    {
      CHECK (set_fault (tb->server[i % MODEL_SERVERS], "crash_streams", 1));
      for (unsigned n = 0; n < SOUND_REQUESTS; n++)
        part_is_served (tb, tb->entry[n % ENTRIES], "60");
      replace_crashed (tb, seen);
      for (unsigned n = 0; n < ENTRIES; n++)
        CHECK (part_is_served (tb, tb->entry[n], "60"));
    }
}

/* All upstreams crash at the same time, again and again, under streams of one part. */
static void
test_popular_part_was_refused_after_losses_of_all_upstreams (Testbed *tb)
{
  uint64_t seen[MODEL_SERVERS];

  read_crashes (tb, seen);
  for (unsigned i = 0; i < CRASHES; i++)
    {
      Background streams[4];

      set_fault_on_both (tb, "crash_streams", 1);
      for (unsigned n = 0; n < G_N_ELEMENTS (streams); n++)
        {
          Call c = default_call (tb, "/s/x", "lost-rack");

          c.address = tb->entry[n % ENTRIES];
          c.header = "X-Prompt-Prefix: f1:40,61:100,e:10";
          background_start (&streams[n], &c);
        }
      for (unsigned n = 0; n < G_N_ELEMENTS (streams); n++)
        {
          background_join (&streams[n]);
          response_free (&streams[n].response);
        }
      set_fault_on_both (tb, "crash_streams", 0);
      replace_crashed (tb, seen);
      for (unsigned n = 0; n < ENTRIES; n++)
        CHECK (part_is_served (tb, tb->entry[n], "61"));
    }
}

/* -------- whole requests -------- */

/* Stated by the users of a request that crashes servers: after this many crashes, at most
 * SENT_MAX more are sent later than STABLE_WINDOW_MS. */
#define WHOLE_CRASHES  3
#define WHOLE_PAUSE_US 400000  /* between probes, so that trials become due */
#define KEPT_US        6000000 /* within which the store has been told what is held */
#define PLAIN_SERVER   (SERVERS - 1)

/* The bad request's body; each test has one of its own, as entries remember. */
static unsigned bad_body = 1000;
static char body_text[64];

static uint64_t
recorded_by_all (Testbed *tb, const char *name)
{
  return recorded_by_models (tb, name) + recorded (tb->server[PLAIN_SERVER], name);
}

static void
set_crash_body (Testbed *tb, unsigned body)
{
  set_fault_on_both (tb, "crash_body", body);
  CHECK (set_fault (tb->server[PLAIN_SERVER], "crash_body", body));
}

static Response
send_body (Testbed *tb, unsigned entry, const char *target, const char *body)
{
  Call c = default_call (tb, target, "whole");

  c.address = tb->entry[entry];
  c.body = body;
  return call (&c);
}

/* Sends the bad request; returns how often it reached a server.  When it did not, it must
 * have been refused with a time to come back. */
static uint64_t
send_bad_request (Testbed *tb, unsigned entry, const char *target)
{
  uint64_t before = recorded_by_all (tb, "poisoned_whole");
  Response r = send_body (tb, entry, target, body_text);
  uint64_t sent = recorded_by_all (tb, "poisoned_whole") - before;
  char *retry = response_header (&r, "Retry-After");

  CHECK (sent > 0 || (r.status == 503 && retry != NULL));
  g_free (retry);
  response_free (&r);
  return sent;
}

static bool
plain_is_served (Testbed *tb)
{
  bool served = true;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Response r = send_body (tb, i, "/p/sound", NULL);

      served = served && r.status == 200;
      response_free (&r);
    }
  return served;
}

/* Lists all servers that crashed as new instances and waits until they are used. */
static void
replace_all (Testbed *tb, uint64_t seen[SERVERS])
{
  const char *plain = tb->server[PLAIN_SERVER];
  uint64_t crashes = recorded (plain, "crashes");

  if (recorded_by_models (tb, "crashes") != seen[0] + seen[1])
    replace_crashed (tb, seen);
  if (crashes == seen[PLAIN_SERVER])
    return;
  for (unsigned i = 0; i < DOWN_POLLS_MAX && recorded (plain, "down") != 0; i++)
    g_usleep (DOWN_POLL_US);
  CHECK (testbed_restart_server (tb, PLAIN_SERVER));
  CHECK (set_fault (plain, "born", tb->server_started[PLAIN_SERVER]));
  seen[PLAIN_SERVER] = crashes;
  CHECK (eventually (plain_is_served, tb));
}

static void
read_all_crashes (Testbed *tb, uint64_t seen[SERVERS])
{
  for (unsigned i = 0; i < SERVERS; i++)
    seen[i] = recorded (tb->server[i], "crashes");
}

/* Sends the bad request to one entry after the other until it has crashed servers
 * WHOLE_CRASHES times or is refused. */
static void
crash_by_request (Testbed *tb, const char *target)
{
  uint64_t seen[SERVERS];
  uint64_t before = recorded_by_all (tb, "crashes_whole");

  g_snprintf (body_text, sizeof body_text, "crash %u x", ++bad_body);
  set_crash_body (tb, bad_body);
  read_all_crashes (tb, seen);
  for (unsigned i = 0;
       i < POISON_MAX && recorded_by_all (tb, "crashes_whole") < before + WHOLE_CRASHES;
       i++)
    {
      if (send_bad_request (tb, i % ENTRIES, target) == 0)
        return;
      replace_all (tb, seen);
    }
}

/* How often the bad request reaches servers in PROBES, from the time on at which the
 * users count. */
static uint64_t
probe_bad_request (Testbed *tb, const char *target, unsigned first_entry)
{
  uint64_t seen[SERVERS];
  uint64_t sent = 0;

  g_usleep (STABLE_WINDOW_MS * 1000);
  read_all_crashes (tb, seen);
  for (unsigned i = 0; i < PROBES; i++)
    {
      sent += send_bad_request (tb, first_entry + i % (ENTRIES - first_entry), target);
      replace_all (tb, seen);
      g_usleep (WHOLE_PAUSE_US);
    }
  return sent;
}

static void
check_bad_request (Testbed *tb, const char *target)
{
  Response r;

  crash_by_request (tb, target);
  CHECK (probe_bad_request (tb, target, 0) <= SENT_MAX);
  r = send_body (tb, 0, target, "another body");
  CHECK (r.status == 200);
  response_free (&r);
  set_crash_body (tb, 0);
}

static void
test_request_that_crashed_three_servers_was_sent_on (Testbed *tb)
{
  check_bad_request (tb, "/r/whole");
}

static void
test_stream_that_crashed_three_servers_was_sent_on (Testbed *tb)
{
  check_bad_request (tb, "/s/whole");
}

static void
test_request_that_crashed_plain_servers_was_sent_on (Testbed *tb)
{
  check_bad_request (tb, "/p/whole");
}

static void
test_entry_that_has_just_started_sent_the_request (Testbed *tb)
{
  crash_by_request (tb, "/r/whole");
  process_end (&tb->entry_process[1], SIGKILL);
  CHECK (process_start (&tb->entry_process[1]));
  CHECK (eventually (second_entry_is_ready, tb));
  CHECK (probe_bad_request (tb, "/r/whole", 1) <= SENT_MAX);
  set_crash_body (tb, 0);
}

static bool
both_entries_are_ready (Testbed *tb)
{
  return entry_is_ready (tb, 0) && entry_is_ready (tb, 1);
}

static void
test_entries_that_all_started_anew_sent_the_request (Testbed *tb)
{
  crash_by_request (tb, "/r/whole");
  g_usleep (KEPT_US);
  for (unsigned i = 0; i < ENTRIES; i++)
    process_end (&tb->entry_process[i], SIGKILL);
  for (unsigned i = 0; i < ENTRIES; i++)
    CHECK (process_start (&tb->entry_process[i]));
  CHECK (eventually (both_entries_are_ready, tb));
  CHECK (probe_bad_request (tb, "/r/whole", 0) <= SENT_MAX);
  set_crash_body (tb, 0);
}

const TestFunc quarantine_tests[] = {
  test_part_that_crashed_five_upstreams_was_sent_on,
  test_entry_that_has_just_started_sent_the_part,
  test_release_did_not_reach_the_other_entry,
  test_popular_part_was_refused_after_crashes_in_a_row,
  test_popular_part_was_refused_after_losses_of_all_upstreams,
  NULL,
};

const TestFunc whole_request_tests[] = {
  test_request_that_crashed_three_servers_was_sent_on,
  test_stream_that_crashed_three_servers_was_sent_on,
  test_request_that_crashed_plain_servers_was_sent_on,
  test_entry_that_has_just_started_sent_the_request,
  test_entries_that_all_started_anew_sent_the_request,
  NULL,
};
