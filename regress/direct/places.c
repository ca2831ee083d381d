/*
 * Tests of requests that are confined to regions, of evacuated data centres and of cold
 * upstreams.  One model server is in "d1" of region "r1", as both entries are, the other
 * one in "d2" of "r2".  Entries prefer the one in their own data centre, so that tests
 * fill it with requests of others where the other one would be chosen otherwise.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "direct.h"

#define HOME      0 /* index of the model server in "r1" */
#define REQUESTS  16
#define OTHERS    8 /* requests of others: more than a server has slots */
#define COLD_LONG 600000
#define SHED      4 /* requests that the server at home refuses */
#define CALLERS   8
/* Several seconds' worth of what a cold server may get. */
#define COLD_REQUESTS (UINT64_C (3) * COLD_PER_S)

#define ROUTE_CONFINED   "/h/x"
#define ROUTE_UNCONFINED "/r/x"
#define ROUTE_PUBLIC     "/m/x"

/* -------- requests -------- */

/* What became of requests that were sent to both entries in turn. */
typedef struct
{
  unsigned served;
  unsigned refused; /* with 503 and a Retry-After, and ran nowhere */
  unsigned others;
  unsigned ran_outside; /* at the server in "d2" */
} Outcome;

static uint64_t
received (const Testbed *tb, unsigned server)
{
  return recorded (tb->server[server], "received");
}

static void
send_one (Testbed *tb, unsigned entry, const char *target, Outcome *outcome)
{
  static unsigned number;
  g_autofree char *id = g_strdup_printf ("places-%u", ++number);
  Call c = default_call (tb, target, id);
  Response r;
  g_autofree char *retry = NULL;
  g_autofree char *path = g_strdup_printf ("runs.%s", id);

  c.address = tb->entry[entry];
  if (strcmp (target, ROUTE_PUBLIC) == 0)
    c.key = NULL;
  r = call (&c);
  retry = response_header (&r, "Retry-After");
  if (r.status == 200)
    outcome->served++;
  else if (r.status == 503 && retry != NULL && runs_of (tb, id) == 0)
    outcome->refused++;
  else
    outcome->others++;
  outcome->ran_outside += recorded (tb->server[SERVER_OUTSIDE], path) > 0;
  response_free (&r);
}

static Outcome
send_requests (Testbed *tb, const char *target)
{
  Outcome outcome = { 0 };

  for (unsigned i = 0; i < REQUESTS; i++)
    send_one (tb, i % ENTRIES, target, &outcome);
  return outcome;
}

static bool
all_are_served (Testbed *tb, const char *target)
{
  return send_requests (tb, target).served == REQUESTS;
}

static bool
all_are_refused (Testbed *tb, const char *target)
{
  return send_requests (tb, target).refused == REQUESTS;
}

/* -------- what the entries know -------- */

/* What ENTRY tells of its tasks, which the caller releases.  Each task adds to it, so all
 * of them have handled what they had been told before. */
static json_object *
fetch_tasks (const Testbed *tb, unsigned entry)
{
  Response r = call (&(Call){ .address = tb->metrics[entry], .target = "/dump" });
  json_object *dump = r.status == 200 ? json_tokener_parse (r.body) : NULL;
  json_object *tasks = json_object_get (json_object_object_get (dump, "tasks"));

  json_object_put (dump);
  response_free (&r);
  return tasks;
}

/* Requests at the server at home, as reported to ENTRY. */
static uint64_t
dumped_home_load (const Testbed *tb, unsigned entry)
{
  json_object *tasks = fetch_tasks (tb, entry);
  json_object *list
      = json_object_object_get (json_object_object_get (tasks, "requests"), "upstreams");
  uint64_t load = 0;

  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *u = json_object_array_get_idx (list, i);

      if (strcmp (json_object_get_string (json_object_object_get (u, "id")), "i-1") == 0
          && !json_object_get_boolean (json_object_object_get (u, "gone")))
        load = json_object_get_uint64 (json_object_object_get (u, "reported"));
    }
  json_object_put (tasks);
  return load;
}

static bool home_fills;

static bool
home_load_is_known (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    if ((dumped_home_load (tb, i) >= OTHERS) != home_fills)
      return false;
  return true;
}

/* Fills the server at home with requests of others, or ends these. */
static void
set_home_full (Testbed *tb, bool full)
{
  home_fills = full;
  CHECK (set_fault (tb->server[HOME], "others", full ? OTHERS : 0));
  CHECK (eventually (home_load_is_known, tb));
}

/* True when both entries send unconfined requests to the server in "d2". */
static bool
outside_is_used (Testbed *tb)
{
  Outcome outcome = { 0 };

  for (unsigned i = 0; i < ENTRIES; i++)
    send_one (tb, i, ROUTE_UNCONFINED, &outcome);
  return outcome.ran_outside == ENTRIES;
}

static bool
entries_use_configuration (Testbed *tb)
{
  bool all = true;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      json_object *tasks = fetch_tasks (tb, i);
      json_object *state = json_object_object_get (tasks, "state");

      all = json_object_get_uint64 (json_object_object_get (state, "routing_version"))
                == tb->config_version
            && all;
      json_object_put (tasks);
    }
  return all;
}

/* Confines the route and the organisation to these lists, JSON or NULL for none. */
static void
confine (Testbed *tb, const char *route_regions, const char *organisation_regions)
{
  tb->route_regions = route_regions;
  tb->organisation_regions = organisation_regions;
  CHECK (testbed_configure (tb, false));
  CHECK (eventually (entries_use_configuration, tb));
}

static uint64_t evacuated_expected;

static bool
entries_know_evacuations (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    if (metric_value (tb, i, "daisy_direct_evacuated_data_centers") != evacuated_expected)
      return false;
  return entries_use_configuration (tb);
}

/* Begins the evacuation of DATA_CENTER, or takes it back, and waits until both entries
 * know it. */
static void
set_evacuated (Testbed *tb, const char *data_center, bool evacuated)
{
  CHECK (evacuated ? testbed_put (tb, "evacuations", data_center, "{}")
                   : testbed_delete (tb, "evacuations", data_center));
  evacuated_expected = evacuated;
  CHECK (eventually (entries_know_evacuations, tb));
}

/* -------- home regions -------- */

/* Guards against a directory that has no answer for a caller in a region without entries,
 * when its host has confined routes: any entry can pass the request on. */
static void
test_directory_named_no_entry_to_a_caller_elsewhere (Testbed *tb)
{
  confine (tb, "[\"r1\"]", NULL);
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Response r = call (&(Call){
          .address = tb->directory[i],
          .target = "/-/resolve?name=x.example&region=r2&zone=d2",
      });

      CHECK (r.status == 200);
      CHECK (strstr (r.body, tb->via_entry[0]) != NULL
             || strstr (r.body, tb->via_entry[1]) != NULL);
      response_free (&r);
    }
}

/* Guards against an upstream that is chosen by its load alone, also for a second attempt
 * after the one at home has refused. */
static void
test_confined_request_ran_outside (Testbed *tb)
{
  Outcome outcome;

  confine (tb, "[\"r1\"]", NULL);
  outcome = send_requests (tb, ROUTE_CONFINED);
  CHECK (outcome.served == REQUESTS && outcome.ran_outside == 0);
  set_home_full (tb, true);
  CHECK (eventually (outside_is_used, tb));
  outcome = send_requests (tb, ROUTE_CONFINED);
  CHECK (outcome.others == 0 && outcome.ran_outside == 0);
  CHECK (outside_is_used (tb));
  set_home_full (tb, false);
  CHECK (set_fault (tb->server[HOME], "shed", SHED));
  outcome = send_requests (tb, ROUTE_CONFINED);
  CHECK (outcome.others == 0 && outcome.ran_outside == 0);
}

static unsigned confined_ran_outside;

static bool
confined_requests_are_refused (Testbed *tb)
{
  Outcome outcome = send_requests (tb, ROUTE_CONFINED);

  confined_ran_outside += outcome.ran_outside;
  return outcome.refused == REQUESTS;
}

static bool
confined_requests_are_served (Testbed *tb)
{
  return all_are_served (tb, ROUTE_CONFINED);
}

/* Guards against the only other upstream being taken when the one at home leaves. */
static void
test_confined_request_ran_outside_as_its_home_left (Testbed *tb)
{
  Outcome outcome;

  confine (tb, "[\"r1\"]", NULL);
  CHECK (eventually (confined_requests_are_served, tb));
  CHECK (testbed_list_server (tb, HOME, "draining"));
  CHECK (eventually (confined_requests_are_refused, tb));
  CHECK (confined_ran_outside == 0);
  outcome = send_requests (tb, ROUTE_UNCONFINED);
  CHECK (outcome.served == REQUESTS && outcome.ran_outside == REQUESTS);
  CHECK (testbed_restart_server (tb, HOME));
  CHECK (set_fault (tb->server[HOME], "born", tb->server_started[HOME]));
  CHECK (eventually (confined_requests_are_served, tb));
}

/* Guards against the list of the route replacing that of the organisation, or the other
 * way round, where both apply. */
static void
test_one_of_two_lists_of_regions_was_ignored (Testbed *tb)
{
  Outcome outcome;

  confine (tb, "[\"r1\"]", "[\"r2\"]");
  CHECK (all_are_refused (tb, ROUTE_CONFINED));
  confine (tb, "[\"r2\"]", "[\"r1\"]");
  CHECK (all_are_refused (tb, ROUTE_CONFINED));
  confine (tb, "[\"r9\"]", NULL); /* no such region */
  CHECK (all_are_refused (tb, ROUTE_CONFINED));
  confine (tb, "[\"r1\",\"r2\"]", "[\"r2\"]");
  outcome = send_requests (tb, ROUTE_CONFINED);
  CHECK (outcome.served == REQUESTS && outcome.ran_outside == REQUESTS);
}

/* Guards against an empty list being read as one that allows no region. */
static void
test_empty_list_of_regions_refused_requests (Testbed *tb)
{
  confine (tb, "[]", NULL);
  CHECK (all_are_served (tb, ROUTE_CONFINED));
  confine (tb, NULL, "[]");
  CHECK (all_are_served (tb, ROUTE_CONFINED));
  confine (tb, "[]", "[]");
  CHECK (all_are_served (tb, ROUTE_CONFINED));
}

/* Guards against serving anywhere what a wrong configuration wanted to confine. */
static void
test_malformed_list_of_regions_did_not_confine (Testbed *tb)
{
  static const char *const malformed[]
      = { "\"r1\"", "17", "true", "{\"r1\":true}", "[17]" };

  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    {
      confine (tb, malformed[i], NULL);
      CHECK (all_are_refused (tb, ROUTE_CONFINED));
      CHECK (all_are_served (tb, ROUTE_UNCONFINED));
      confine (tb, NULL, malformed[i]);
      CHECK (all_are_refused (tb, ROUTE_UNCONFINED));
    }
  confine (tb, NULL, NULL);
  CHECK (all_are_served (tb, ROUTE_CONFINED));
}

/* -------- cold upstreams -------- */

/* Callers that send requests to one entry each until they are stopped. */
typedef struct
{
  Testbed *testbed;
  gint started; /* the number of callers */
  gint stop;
  gint others; /* responses that neither serve nor refuse with a Retry-After */
} Load;

static gpointer
run_caller (gpointer data)
{
  Load *load = data;
  unsigned entry = (unsigned)g_atomic_int_add (&load->started, 1) % ENTRIES;

  while (!g_atomic_int_get (&load->stop))
    {
      Call c = default_call (load->testbed, ROUTE_UNCONFINED, "cold");
      Response r;
      g_autofree char *retry = NULL;

      c.address = load->testbed->entry[entry];
      r = call (&c);
      retry = response_header (&r, "Retry-After");
      g_atomic_int_add (&load->others,
                        r.status != 200 && (r.status != 503 || retry == NULL));
      response_free (&r);
    }
  return NULL;
}

static uint64_t cold_starts_before[ENTRIES];

static uint64_t
cold_starts (const Testbed *tb, unsigned entry)
{
  return metric_value (tb, entry, "daisy_direct_cold_starts_total");
}

static bool
entries_know_of_cold_server (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    if (cold_starts (tb, i) == cold_starts_before[i])
      return false;
  return true;
}

static uint64_t received_when_cold[MODEL_SERVERS];

static bool
cold_server_had_its_requests (Testbed *tb)
{
  return received (tb, SERVER_OUTSIDE)
         >= received_when_cold[SERVER_OUTSIDE] + COLD_REQUESTS;
}

/* Guards against each entry sending a cold server as much as all of them together may,
 * and against a server that gets nothing while it is cold. */
static void
test_entries_together_sent_a_cold_server_too_much (Testbed *tb)
{
  Load load = { .testbed = tb };
  GThread *threads[CALLERS];

  for (unsigned i = 0; i < ENTRIES; i++)
    cold_starts_before[i] = cold_starts (tb, i);
  tb->cold_ms[SERVER_OUTSIDE] = COLD_LONG;
  CHECK (testbed_list_server (tb, SERVER_OUTSIDE, "ready"));
  CHECK (eventually (entries_know_of_cold_server, tb));
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    received_when_cold[i] = received (tb, i);
  set_fault_on_both (tb, "recount_second", 1);
  for (unsigned i = 0; i < CALLERS; i++)
    threads[i] = g_thread_new ("cold", run_caller, &load);
  CHECK (eventually (cold_server_had_its_requests, tb));
  g_atomic_int_set (&load.stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  g_print ("most in a second: cold %" G_GUINT64_FORMAT ", other %" G_GUINT64_FORMAT "\n",
           recorded (tb->server[SERVER_OUTSIDE], "second_most"),
           recorded (tb->server[HOME], "second_most"));
  CHECK (recorded (tb->server[SERVER_OUTSIDE], "second_most") <= COLD_MAX);
  /* Otherwise the callers did not send more than the cold server may get. */
  CHECK (recorded (tb->server[HOME], "second_most") > COLD_MAX);
  CHECK (received (tb, HOME) - received_when_cold[HOME]
         > received (tb, SERVER_OUTSIDE) - received_when_cold[SERVER_OUTSIDE]);
  CHECK (load.others == 0);
  tb->cold_ms[SERVER_OUTSIDE] = 0;
  CHECK (testbed_list_server (tb, SERVER_OUTSIDE, "ready"));
}

/* -------- evacuations -------- */

/* Checks that the server in "d2" gets none of the requests that are sent while the one at
 * home is full and while it is free, and has got none beyond BEFORE. */
static void
check_outside_unused (Testbed *tb, const char *target, uint64_t before)
{
  set_home_full (tb, true);
  CHECK (send_requests (tb, target).others == 0);
  set_home_full (tb, false);
  CHECK (all_are_served (tb, target));
  CHECK (received (tb, SERVER_OUTSIDE) == before);
}

/* Guards against an evacuation that an entry forgets by a restart, or drops because the
 * store is away, as it is not told of it again then. */
static void
test_evacuated_server_got_requests (Testbed *tb)
{
  uint64_t before;

  set_home_full (tb, true);
  CHECK (eventually (outside_is_used, tb));
  set_evacuated (tb, "d2", true);
  before = received (tb, SERVER_OUTSIDE);
  check_outside_unused (tb, ROUTE_UNCONFINED, before);
  CHECK (process_end (&tb->entry_process[1], SIGKILL) != -1);
  CHECK (process_start (&tb->entry_process[1]));
  CHECK (eventually (requests_are_served, tb));
  check_outside_unused (tb, ROUTE_UNCONFINED, before);
}

static bool
keys_are_refused (Testbed *tb)
{
  return status_with_key (tb, 0, "key1") == 503 && status_with_key (tb, 1, "key1") == 503;
}

static bool
second_entry_responds (Testbed *tb)
{
  Response r = call (&(Call){ .address = tb->ready[1], .target = "/-/readyz" });
  bool responds = r.status != 0;

  response_free (&r);
  return responds;
}

/* The evacuation of the test before lasts.  Public routes are served without the store.
 */
static void
test_evacuated_server_got_requests_without_the_store (Testbed *tb)
{
  uint64_t before = received (tb, SERVER_OUTSIDE);

  kill (tb->store_process.pid, SIGSTOP);
  CHECK (eventually (keys_are_refused, tb));
  check_outside_unused (tb, ROUTE_PUBLIC, before);
  CHECK (process_end (&tb->entry_process[1], SIGKILL) != -1);
  CHECK (process_start (&tb->entry_process[1]));
  CHECK (eventually (second_entry_responds, tb));
  send_requests (tb, ROUTE_PUBLIC);
  CHECK (received (tb, SERVER_OUTSIDE) == before);
  kill (tb->store_process.pid, SIGCONT);
  CHECK (eventually (requests_are_served, tb));
  check_outside_unused (tb, ROUTE_PUBLIC, before);
}

/* Guards against an evacuation that lasts after it was taken back, at both entries. */
static void
test_server_stayed_unused_after_its_evacuation (Testbed *tb)
{
  set_evacuated (tb, "d2", false);
  set_home_full (tb, true);
  CHECK (eventually (outside_is_used, tb));
  set_home_full (tb, false);
  CHECK (all_are_served (tb, ROUTE_UNCONFINED));
}

/* Guards against the evacuation of a name that no data centre has taking effect on any.
 */
static void
test_unknown_data_center_stopped_servers (Testbed *tb)
{
  set_evacuated (tb, "d9", true);
  CHECK (all_are_served (tb, ROUTE_UNCONFINED));
  set_home_full (tb, true);
  CHECK (eventually (outside_is_used, tb));
  set_home_full (tb, false);
  set_evacuated (tb, "d9", false);
}

/* How often the second stager has logged that an evacuation began. */
static unsigned
count_evacuations_logged (const Testbed *tb)
{
  g_autofree char *text = NULL;
  unsigned count = 0;

  g_file_get_contents (tb->stager_process[SERVER_OUTSIDE].log, &text, NULL, NULL);
  for (const char *at = text;
       at != NULL && (at = strstr (at, "data centre is evacuated")) != NULL; at++)
    count++;
  return count;
}

static unsigned evacuations_logged; /* before */

static bool
stager_knows_evacuation (Testbed *tb)
{
  return count_evacuations_logged (tb) > evacuations_logged;
}

static uint64_t home_version;

static bool
home_has_version (Testbed *tb)
{
  return recorded (tb->server[HOME], "version") == home_version;
}

/* Guards against load commands to an engine that operators asked to leave alone, and
 * against a stager that does not catch up afterwards. */
static void
test_stager_loaded_weights_during_an_evacuation (Testbed *tb)
{
  uint64_t commands;

  CHECK (testbed_announce_version (tb, 2));
  CHECK (version_is_loaded (tb, 2));
  evacuations_logged = count_evacuations_logged (tb);
  set_evacuated (tb, "d2", true);
  CHECK (eventually (stager_knows_evacuation, tb));
  commands = recorded (tb->server[SERVER_OUTSIDE], "orders");
  /* Two versions in succession: the stager has had the time of a whole one to err. */
  for (home_version = 3; home_version <= 4; home_version++)
    {
      CHECK (testbed_announce_version (tb, home_version));
      CHECK (eventually (home_has_version, tb));
      CHECK (recorded (tb->server[SERVER_OUTSIDE], "version") == 2);
    }
  CHECK (recorded (tb->server[SERVER_OUTSIDE], "orders") == commands);
  set_evacuated (tb, "d2", false);
  CHECK (version_is_loaded (tb, 4));
}

const TestFunc place_tests[] = {
  test_directory_named_no_entry_to_a_caller_elsewhere,
  test_confined_request_ran_outside,
  test_confined_request_ran_outside_as_its_home_left,
  test_one_of_two_lists_of_regions_was_ignored,
  test_empty_list_of_regions_refused_requests,
  test_malformed_list_of_regions_did_not_confine,
  test_entries_together_sent_a_cold_server_too_much,
  test_evacuated_server_got_requests,
  test_evacuated_server_got_requests_without_the_store,
  test_server_stayed_unused_after_its_evacuation,
  test_unknown_data_center_stopped_servers,
  test_stager_loaded_weights_during_an_evacuation,
  NULL,
};
