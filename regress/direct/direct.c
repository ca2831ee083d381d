/*
 * Runner of the tests of direct operation: runs a group of tests one after the other
 * against the same processes; or, with a seed, a soak.
 *
 * Tests check the responses that callers got and the records of the stand-ins.  They
 * check the order of events, never durations, and wait by polling for a condition.
 */
#include "direct.h"

#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>

#define BUDGET_TRIES 4 /* requests that earn more than one retry */

static unsigned failures;
static unsigned checks;
static GMutex failure_lock;
static GString *failure_lines; /* what print_failure has printed; NULL: nothing */

void
print_failure (const char *format, ...)
{
  va_list arguments;
  char *line;

  va_start (arguments, format);
  line = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_mutex_lock (&failure_lock);
  if (failure_lines == NULL)
    failure_lines = g_string_new (NULL);
  g_string_append_printf (failure_lines, "%s\n", line);
  g_print ("%s\n", line);
  g_mutex_unlock (&failure_lock);
  g_free (line);
}

/* The logs that were printed since hide the failures, so that these are printed again. */
static void
print_failures_again (void)
{
  if (failure_lines == NULL)
    return;
  g_print ("---- failures\n%s", failure_lines->str);
  g_string_free (failure_lines, TRUE);
  failure_lines = NULL;
}

void
check (bool passed, const char *text, const char *where, int line)
{
  checks++;
  if (passed)
    return;
  failures++;
  print_failure ("direct: %s:%d: check failed: %s", where, line, text);
}

Call
default_call (const Testbed *tb, const char *target, const char *id)
{
  return (Call){
    .address = tb->entry[0],
    .target = target,
    .host = "x.example",
    .id = id,
    .key = "key1",
    .deadline_ms = 3500,
  };
}

int
status_with_key (const Testbed *tb, unsigned entry, const char *key)
{
  Call c = default_call (tb, "/r/x", "key");
  Response r;
  int status;

  c.address = tb->entry[entry];
  c.key = key;
  r = call (&c);
  status = r.status;
  response_free (&r);
  return status;
}

bool
requests_are_served (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    if (status_with_key (tb, i, "key1") != 200)
      return false;
  return true;
}

void
end_nodes (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    process_end (&tb->entry_process[i], SIGKILL);
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    process_end (&tb->stager_process[i], SIGKILL);
}

void
start_nodes (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    CHECK (process_start (&tb->entry_process[i]));
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    CHECK (process_start (&tb->stager_process[i]));
}

static uint64_t awaited_version;

static bool
models_have_version (Testbed *tb)
{
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    if (recorded (tb->server[i], "version") != awaited_version)
      return false;
  return true;
}

bool
version_is_loaded (Testbed *tb, uint64_t version)
{
  awaited_version = version;
  return eventually (models_have_version, tb);
}

void
earn_retries (Testbed *tb)
{
  for (unsigned i = 0; i < BUDGET_TRIES; i++)
    {
      Call c = default_call (tb, "/r/x", "earn");
      Response r = call (&c);

      CHECK (r.status == 200);
      response_free (&r);
    }
}

uint64_t
runs_of (Testbed *tb, const char *id)
{
  char *path = g_strdup_printf ("runs.%s", id);
  uint64_t runs = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    runs += recorded (tb->server[i], path);
  g_free (path);
  return runs;
}

Response
stream_with_part (const Testbed *tb, const char *address, const char *middle, char **id)
{
  static unsigned count;
  char *header
      = g_strdup_printf ("X-Prompt-Prefix: f1:40,%s:100,e%u:10", middle, ++count);
  Call c;
  Response r;

  *id = g_strdup_printf ("part-%u", count);
  c = default_call (tb, "/s/x", *id);
  c.address = address;
  c.header = header;
  r = call (&c);
  g_free (header);
  return r;
}

bool
part_is_served (const Testbed *tb, const char *address, const char *middle)
{
  char *id;
  Response r = stream_with_part (tb, address, middle, &id);
  bool served = r.status == 200 && r.complete;

  response_free (&r);
  g_free (id);
  return served;
}

uint64_t
recorded_by_models (Testbed *tb, const char *name)
{
  uint64_t sum = 0;

  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    sum += recorded (tb->server[i], name);
  return sum;
}

void
set_fault_on_both (Testbed *tb, const char *knob, uint64_t value)
{
  for (unsigned i = 0; i < SERVERS - 1; i++)
    CHECK (set_fault (tb->server[i], knob, value));
}

uint64_t
metric_value (const Testbed *tb, unsigned entry, const char *name)
{
  Response r = call (&(Call){ .address = tb->metrics[entry], .target = "/metrics" });
  char *start = g_strdup_printf ("\n%s ", name);
  const char *line = r.body != NULL ? strstr (r.body, start) : NULL;
  uint64_t value = line != NULL ? g_ascii_strtoull (line + strlen (start), NULL, 10) : 0;

  g_free (start);
  response_free (&r);
  return value;
}

uint64_t
second_watches (const Testbed *tb)
{
  uint64_t watches = 0;

  for (unsigned i = 0; i < ENTRIES; i++)
    watches += metric_value (tb, i, "daisy_object_second_watches_total");
  return watches;
}

uint64_t
relay_answers (const Testbed *tb, unsigned entry)
{
  return metric_value (tb, entry, "daisy_node_relay_answers_total");
}

char *
events_text (unsigned first, unsigned last)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = first; i <= last; i++)
    g_string_append_printf (text, "id: %u\ndata: event %u\n\n", i, i);
  return g_string_free (text, FALSE);
}

bool
has_events (const char *body, unsigned first, unsigned last)
{
  char *expected = events_text (first, last);
  bool equal = strcmp (body, expected) == 0;

  g_free (expected);
  return equal;
}

bool
has_recorded_text (const char *address, const char *member, const char *text)
{
  json_object *object = fetch_records (address);
  const char *value = json_object_get_string (json_object_object_get (object, member));
  bool equal = value != NULL && strcmp (value, text) == 0;

  json_object_put (object);
  return equal;
}

/* -------- running -------- */

static void
run_until_failure (Testbed *testbed, const TestFunc *tests)
{
  for (; *tests != NULL && failures == 0; tests++)
    (*tests) (testbed);
}

/* As on the users' platform; longer than lost objects take to be written again. */
#define ERA_REVOKE_MS 5000
/* Shorter than on the users' platform; longer than both servers take to load. */
#define SHORT_VERSION_MS 4000

/* The name of a group and its tests. */
typedef struct
{
  const char *name;
  const TestFunc *tests[3];
  bool with_proxies;
  unsigned revoke_ms; /* this and the next as in Testbed */
  unsigned version_ms;
  bool places; /* as in Testbed */
} TestGroup;

static const TestGroup groups[] = {
  { "cases", { request_tests, explain_tests, change_tests } },
  { "start", { start_tests } },
  { "ends", { incomplete_tests, end_tests } },
  { "end-steps", { end_step_tests } },
  { "new-steps", { new_step_tests } },
  { "stop", { stop_tests, stop_moment_tests } },
  { "stop-moments", { stop_moment_tests } },
  { "time", { time_tests } },
  { "config", { config_tests } },
  { "reader", { reader_tests } },
  { "stale-readers",
    { stale_reader_tests },
    .with_proxies = true,
    .revoke_ms = ERA_REVOKE_MS },
  { "proof-bound", { proof_bound_tests }, .revoke_ms = ERA_REVOKE_MS },
  { "denials", { denial_tests }, .revoke_ms = ERA_REVOKE_MS },
  { "leaving", { leaving_tests } },
  { "fleet", { fleet_tests } },
  { "staging", { staging_tests } },
  { "taken", { taken_tests } },
  { "taken-unknown", { taken_unknown_tests } },
  { "manifests", { manifest_tests } },
  { "silent-store",
    { silent_store_tests },
    .with_proxies = true,
    .revoke_ms = ERA_REVOKE_MS },
  { "narrow-link",
    { narrow_link_tests },
    .with_proxies = true,
    .revoke_ms = ERA_REVOKE_MS },
  { "copied", { copied_tests }, .with_proxies = true },
  { "crossed", { crossed_tests } },
  { "endless", { endless_tests }, .with_proxies = true },
  { "malformed", { malformed_tests }, .with_proxies = true },
  { "endless-peers", { endless_peer_tests }, .with_proxies = true },
  { "undelimited", { undelimited_tests }, .with_proxies = true },
  { "heads", { head_tests }, .with_proxies = true },
  { "spoilt", { spoilt_tests, operator_call_tests }, .with_proxies = true },
  { "entries", { entry_tests } },
  { "claimed", { claimed_tests } },
  { "silence", { silence_tests } },
  { "replacement", { replacement_tests } },
  { "quarantine", { quarantine_tests } },
  { "whole-requests", { whole_request_tests } },
  { "limit", { limit_tests } },
  { "places", { place_tests }, .places = true },
  { "crowd", { crowd_tests } },
  { "version",
    { version_tests },
    .revoke_ms = ERA_REVOKE_MS,
    .version_ms = SHORT_VERSION_MS },
  { "version-start", { version_start_tests }, .revoke_ms = ERA_REVOKE_MS },
  { "era", { era_tests }, .revoke_ms = ERA_REVOKE_MS },
};

static const TestGroup *
find_group (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (groups); i++)
    if (strcmp (groups[i].name, name) == 0)
      return &groups[i];
  return NULL;
}

static void
run_group (const char *bin, const TestGroup *group)
{
  Testbed testbed = { .revoke_ms = group->revoke_ms,
                      .version_ms = group->version_ms,
                      .places = group->places };

  /* Freed memory that a sanitizer keeps would hide what a process holds. */
  if (group->with_proxies)
    g_setenv ("ASAN_OPTIONS", "quarantine_size_mb=1:thread_local_quarantine_size_kb=64",
              FALSE);
  CHECK (testbed_start (&testbed, bin, group->with_proxies));
  for (size_t i = 0; i < G_N_ELEMENTS (group->tests) && group->tests[i] != NULL; i++)
    run_until_failure (&testbed, group->tests[i]);
  testbed_stop (&testbed, failures > 0);
  g_print ("direct %s: %u checks, %u failed\n", group->name, checks, failures);
  print_failures_again ();
}

static void
run_soak (const char *bin, uint32_t seed, unsigned seconds, bool whole)
{
  Testbed testbed = { 0 };
  unsigned violations = 1;

  if (testbed_start (&testbed, bin, true))
    violations
        = whole ? soak_run_whole (&testbed, seed) : soak_run (&testbed, seed, seconds);
  failures += violations;
  testbed_stop (&testbed, violations > 0);
  g_print ("soak: seed %u: %u violations\n", seed, violations);
  print_failures_again ();
}

int
main (int argc, char **argv)
{
  const TestGroup *group = argc == 3 ? find_group (argv[2]) : NULL;

  if (argc != 4 && group == NULL)
    {
      g_printerr ("usage: direct BIN GROUP, direct BIN SEED SECONDS, or "
                  "direct BIN SEED whole\n");
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (group != NULL)
    run_group (argv[1], group);
  else
    run_soak (argv[1], (uint32_t)g_ascii_strtoull (argv[2], NULL, 10),
              (unsigned)g_ascii_strtoull (argv[3], NULL, 10),
              strcmp (argv[3], "whole") == 0);
  return failures > 0;
}
