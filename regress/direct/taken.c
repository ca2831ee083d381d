/*
 * Tests of the weights that engines take: no request may run on weights of which a chunk
 * had been bad for more than 3 s, missing or of another version as the engine took it.
 * Whether it was is read from the engines' own records.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "direct.h"
#include "kernel/kernel.h"

#define US_PER_MS 1000
/* Longer than a chunk may have been bad, and than stagers wait for a response. */
#define LATE_MS 4500
/* Four of these and the next two make the engine take chunks 3.2 s after the first read,
 * though no call is late by itself. */
#define READ_LATE_MS    580
#define COMMAND_LATE_MS 950
/* Callers go on for so long after the engine has taken weights. */
#define CALLS_MS    1500
#define CALL_GAP_MS 20
#define CALLERS     6
/* Reports fail for so long, and longer than a stager takes to start and fetch. */
#define SILENT_MS      2500
#define SILENT_LONG_MS 5000
/* By then the stager has sent its command. */
#define COMMAND_SENT_MS 1500
#define ALL_CHUNKS      16
#define CHUNKS_FIRST    4 /* read at once */

static uint64_t newest = 1;

/* -------- callers -------- */

typedef struct
{
  const Testbed *testbed;
  unsigned number;
  gint *stop; /* atomic */
} StreamCaller;

static gpointer
send_streams (void *data)
{
  const StreamCaller *caller = data;

  for (unsigned n = 0; g_atomic_int_get (caller->stop) == 0; n++)
    {
      char *id = g_strdup_printf ("taken-%u-%" G_GUINT64_FORMAT "-%u", caller->number,
                                  dl_clock_ms (), n);
      Call c = default_call (caller->testbed, "/s/x", id);
      Response r;

      c.address = caller->testbed->entry[caller->number % ENTRIES];
      r = call (&c);
      response_free (&r);
      g_free (id);
      g_usleep (CALL_GAP_MS * US_PER_MS);
    }
  return NULL;
}

/* Waits until CONDITION holds while callers send streams, and a while longer. */
static bool
eventually_under_callers (Testbed *tb, bool (*condition) (Testbed *testbed))
{
  gint stop = 0;
  StreamCaller callers[CALLERS];
  GThread *threads[CALLERS];
  bool holds;

  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i] = (StreamCaller){ .testbed = tb, .number = i, .stop = &stop };
      threads[i] = g_thread_new ("streams", send_streams, &callers[i]);
    }
  holds = eventually (condition, tb);
  g_usleep (CALLS_MS * US_PER_MS);
  g_atomic_int_set (&stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  return holds;
}

/* -------- conditions -------- */

static bool
both_serve_newest (Testbed *tb)
{
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    if (recorded (tb->server[i], "version") != newest)
      return false;
  return requests_are_served (tb);
}

static uint64_t commands_before;

static bool
first_has_taken_weights (Testbed *tb)
{
  return recorded (tb->server[0], "orders") > commands_before;
}

static uint64_t received_before;

static bool
first_server_is_used (Testbed *tb)
{
  return recorded (tb->server[0], "received") > received_before;
}

/* The first server starts again under its id and has lost its weights. */
static void
lose_weights (Testbed *tb)
{
  commands_before = recorded (tb->server[0], "orders");
  CHECK (set_fault (tb->server[0], "lose_weights", 1));
  CHECK (testbed_restart_server (tb, 0));
  CHECK (set_fault (tb->server[0], "born", tb->server_started[0]));
}

/* The first server has its weights, gets requests again, and none ran on spoilt ones. */
static void
check_taken (Testbed *tb)
{
  CHECK (eventually_under_callers (tb, first_has_taken_weights));
  CHECK (eventually_under_callers (tb, both_serve_newest));
  received_before = recorded (tb->server[0], "received");
  CHECK (eventually_under_callers (tb, first_server_is_used));
  CHECK (recorded_by_models (tb, "spoilt_runs") == 0);
  CHECK (recorded (tb->server[0], "version") == newest);
}

/* -------- the tests -------- */

/* The engine's process stands still before it reads the command, and a chunk turns bad.
 */
static void
test_command_taken_late_by_a_stalled_engine (Testbed *tb)
{
  CHECK (eventually (both_serve_newest, tb));
  CHECK (set_fault (tb->server[0], "rot_at_command", 1));
  CHECK (set_fault (tb->server[0], "command_stall_ms", LATE_MS));
  lose_weights (tb);
  check_taken (tb);
}

/* The same for a command that waits in an engine that goes on otherwise. */
static void
test_command_taken_late_after_its_sender_gave_it_up (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "rot_at_command", ALL_CHUNKS));
  CHECK (set_fault (tb->server[0], "command_late_ms", LATE_MS));
  lose_weights (tb);
  check_taken (tb);
}

/* Each call is in time, but together they take longer than a proof is good for. */
static void
test_proofs_grew_too_old_before_the_command_was_taken (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "read_late_ms", READ_LATE_MS));
  lose_weights (tb);
  CHECK (set_fault (tb->server[0], "rot_after_read", CHUNKS_FIRST));
  CHECK (set_fault (tb->server[0], "command_late_ms", COMMAND_LATE_MS));
  CHECK (eventually_under_callers (tb, first_has_taken_weights));
  CHECK (set_fault (tb->server[0], "read_late_ms", 0));
  check_taken (tb);
}

/* A write of the version before, given up by the stager, lands over the newer chunk. */
static void
test_late_write_of_an_older_version_was_taken (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "write_at_command", 1));
  CHECK (testbed_announce_version (tb, ++newest));
  CHECK (eventually_under_callers (tb, both_serve_newest));
  CHECK (testbed_announce_version (tb, ++newest));
  commands_before = recorded (tb->server[0], "orders");
  check_taken (tb);
}

/* The stager starts again while a command of it waits at the engine, and stages the next
 * version over the one that is to be loaded. */
static void
test_command_of_a_stager_that_ended_took_another_version (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "command_late_ms", LATE_MS));
  lose_weights (tb);
  g_usleep (1000 * US_PER_MS);
  process_end (&tb->stager_process[0], SIGKILL);
  CHECK (testbed_announce_version (tb, ++newest));
  CHECK (process_start (&tb->stager_process[0]));
  check_taken (tb);
}

/* A stalled engine takes the command late, and its reports fail for a while: the stager
 * must not take the chunk that it has mended meanwhile for the one that was taken. */
static void
test_bad_chunk_was_mended_before_the_check (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "rot_at_command", 1));
  CHECK (set_fault (tb->server[0], "command_stall_ms", LATE_MS));
  CHECK (set_fault (tb->server[0], "reports_fail_ms", SILENT_MS));
  lose_weights (tb);
  check_taken (tb);
}

/* The same for a stager that starts while they fail, after its predecessor's command was
 * taken late. */
static void
test_bad_chunk_was_mended_by_a_stager_without_reports (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "rot_at_command", 1));
  CHECK (set_fault (tb->server[0], "command_late_ms", LATE_MS));
  CHECK (set_fault (tb->server[0], "reports_fail_ms", SILENT_LONG_MS));
  lose_weights (tb);
  g_usleep (COMMAND_SENT_MS * US_PER_MS);
  process_end (&tb->stager_process[0], SIGKILL);
  CHECK (eventually_under_callers (tb, first_has_taken_weights));
  CHECK (process_start (&tb->stager_process[0]));
  check_taken (tb);
}

/* A stager ends while its command is taken late, and a write of it lands after that. */
static void
test_stager_took_a_mended_chunk_for_what_its_predecessor_loaded (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "rot_at_command", 1));
  CHECK (set_fault (tb->server[0], "command_late_ms", LATE_MS));
  lose_weights (tb);
  g_usleep (COMMAND_SENT_MS * US_PER_MS);
  process_end (&tb->stager_process[0], SIGKILL);
  CHECK (eventually_under_callers (tb, first_has_taken_weights));
  CHECK (set_fault (tb->server[0], "mend", 1));
  CHECK (process_start (&tb->stager_process[0]));
  check_taken (tb);
}

/* -------- the bodies of commands -------- */

/* The body of the last command that the first server recorded as MEMBER. */
static json_object *
recorded_body (Testbed *tb, const char *member)
{
  json_object *records = fetch_records (tb->server[0]);
  const char *text = json_object_get_string (json_object_object_get (records, member));
  json_object *body = text != NULL ? json_tokener_parse (text) : NULL;

  json_object_put (records);
  return body;
}

static bool
has_number (json_object *body, const char *member, uint64_t number)
{
  json_object *value;

  return json_object_object_get_ex (body, member, &value)
         && json_object_is_type (value, json_type_int)
         && json_object_get_uint64 (value) == number;
}

/* The first server took a bad chunk in the test before, gave it up and loaded again. */
static void
test_command_named_no_count_or_a_range_to_load (Testbed *tb)
{
  uint64_t accepted = recorded (tb->server[0], "orders") - commands_before;
  json_object *load = recorded_body (tb, "load_body");
  json_object *unload = recorded_body (tb, "unload_body");

  CHECK (accepted >= 3);
  CHECK (has_number (load, "version", newest));
  CHECK (has_number (load, "precondition", accepted - 1));
  CHECK (json_object_object_get (load, "from") == NULL);
  CHECK (json_object_object_get (load, "target") == NULL);
  CHECK (has_number (unload, "precondition", accepted - 2));
  CHECK (has_number (unload, "from", 0));
  CHECK (has_number (unload, "target", 0));
  json_object_put (load);
  json_object_put (unload);
}

/* -------- a stager that starts again -------- */

#define CHECK_STREAMS 2 /* an entry's share of the places of one server */
#define CHECK_ROUNDS  4
#define TAKEN_SOUND   "\"event\":1113,"
#define RECORD_READ   "\"event\":1115,"

/* The first stager has logged EVENT since its last start. */
static bool
has_logged (Testbed *tb, const char *event)
{
  char *text = NULL;
  const char *start;
  bool found;

  if (!g_file_get_contents (tb->stager_process[0].log, &text, NULL, NULL))
    return false;
  start = g_strrstr (text, "\n" PROCESS_LOG_MARK);
  found = strstr (start != NULL ? start : text, event) != NULL;
  g_free (text);
  return found;
}

static bool
weights_are_proven (Testbed *tb)
{
  return has_logged (tb, TAKEN_SOUND);
}

static bool
record_is_read (Testbed *tb)
{
  return has_logged (tb, RECORD_READ);
}

/* The store has the record of the first server's last load. */
static bool
load_is_recorded (Testbed *tb)
{
  Response r = call (
      &(Call){ .address = tb->store, .target = "/-/objects/daisyloft-loads/stager-1" });
  char *started
      = g_strdup_printf ("\"started_ms\":%" G_GUINT64_FORMAT ",", tb->server_started[0]);
  bool found = r.status == 200 && strstr (r.body, started) != NULL;

  response_free (&r);
  g_free (started);
  return found;
}

static bool
second_entry_is_ready (Testbed *tb)
{
  Response r = call (&(Call){ .address = tb->ready[1], .target = "/-/readyz" });
  bool ready = r.status == 200;

  response_free (&r);
  return ready;
}

/* Streams that the first server received of those sent through ENTRY; all are served. */
static uint64_t
streams_to_first_server (Testbed *tb, unsigned entry)
{
  uint64_t before = recorded (tb->server[0], "received");
  Background streams[CHECK_STREAMS];
  char *ids[CHECK_STREAMS];
  bool all_served = true;

  for (unsigned i = 0; i < CHECK_STREAMS; i++)
    {
      Call c;

      ids[i] = g_strdup_printf ("again-%u-%" G_GUINT64_FORMAT "-%u", entry,
                                dl_clock_ms (), i);
      c = default_call (tb, "/s/x", ids[i]);
      c.address = tb->entry[entry];
      background_start (&streams[i], &c);
    }
  for (unsigned i = 0; i < CHECK_STREAMS; i++)
    {
      background_join (&streams[i]);
      all_served = all_served && streams[i].response.status == 200
                   && streams[i].response.complete;
      response_free (&streams[i].response);
      g_free (ids[i]);
    }
  CHECK (all_served);
  return recorded (tb->server[0], "received") - before;
}

static bool
first_entry_uses_first_server (Testbed *tb)
{
  return streams_to_first_server (tb, 0) > 0;
}

static bool
second_entry_uses_first_server (Testbed *tb)
{
  return streams_to_first_server (tb, 1) > 0;
}

/* Enough streams that some would go to the first server if it were in use. */
static bool
second_entry_leaves_first_server_out (Testbed *tb)
{
  uint64_t streams = 0;

  for (unsigned i = 0; i < CHECK_ROUNDS; i++)
    streams += streams_to_first_server (tb, 1);
  return streams == 0;
}

/* An entry that was told goes on; one that starts meanwhile waits until the stager has
 * read the record. */
static void
test_restarted_stager_kept_callers_from_sound_weights (Testbed *tb)
{
  uint64_t commands;

  lose_weights (tb);
  check_taken (tb);
  CHECK (eventually (weights_are_proven, tb));
  CHECK (eventually (load_is_recorded, tb));
  CHECK (eventually (first_entry_uses_first_server, tb));
  commands = recorded (tb->server[0], "orders");
  CHECK (set_fault (tb->store, "gets_fail", 1));
  process_end (&tb->entry_process[1], SIGKILL);
  process_end (&tb->stager_process[0], SIGKILL);
  CHECK (process_start (&tb->stager_process[0]));
  CHECK (process_start (&tb->entry_process[1]));
  CHECK (eventually (second_entry_is_ready, tb));
  CHECK (second_entry_leaves_first_server_out (tb));
  CHECK (!record_is_read (tb));
  CHECK (eventually (first_entry_uses_first_server, tb));
  CHECK (!record_is_read (tb));
  CHECK (set_fault (tb->store, "gets_fail", 0));
  CHECK (eventually (record_is_read, tb));
  CHECK (eventually (second_entry_uses_first_server, tb));
  CHECK (recorded (tb->server[0], "orders") == commands);
  CHECK (recorded_by_models (tb, "spoilt_runs") == 0);
}

#define SETTLES_MS    4000
#define STAGER_OBJECT "r1.1.stager-1"

/* Proves a load of the first server, and returns when the store has its record. */
static uint64_t
load_and_record (Testbed *tb)
{
  lose_weights (tb);
  check_taken (tb);
  CHECK (eventually (weights_are_proven, tb));
  CHECK (eventually (load_is_recorded, tb));
  return recorded (tb->server[0], "orders");
}

static void
check_restart_loads_nothing (Testbed *tb, uint64_t commands)
{
  process_end (&tb->stager_process[0], SIGTERM);
  CHECK (process_start (&tb->stager_process[0]));
  CHECK (eventually (record_is_read, tb));
  g_usleep (SETTLES_MS * US_PER_MS);
  CHECK (recorded (tb->server[0], "orders") == commands);
  CHECK (recorded_by_models (tb, "spoilt_runs") == 0);
}

/* Entries take the host for gone and delete its registration and its record, though the
 * stager runs. */
static void
test_record_that_was_deleted_with_its_node_was_not_written_again (Testbed *tb)
{
  uint64_t commands = load_and_record (tb);

  CHECK (testbed_delete (tb, "daisyloft-nodes", STAGER_OBJECT));
  CHECK (testbed_delete (tb, "daisyloft-loads", "stager-1"));
  CHECK (!load_is_recorded (tb));
  CHECK (eventually (load_is_recorded, tb));
  check_restart_loads_nothing (tb, commands);
}

/* The engine starts again with the start time that it had, and takes a bad chunk by a
 * command of a stager that has ended: the count is that of the recorded load. */
static void
test_record_of_an_engine_whose_start_time_repeats (Testbed *tb)
{
  load_and_record (tb);
  commands_before = recorded (tb->server[0], "orders");
  CHECK (set_fault (tb->server[0], "rot_at_command", 1));
  CHECK (set_fault (tb->server[0], "command_late_ms", LATE_MS));
  CHECK (set_fault (tb->server[0], "lose_weights", 1));
  g_usleep (COMMAND_SENT_MS * US_PER_MS);
  process_end (&tb->stager_process[0], SIGKILL);
  CHECK (eventually_under_callers (tb, first_has_taken_weights));
  CHECK (process_start (&tb->stager_process[0]));
  CHECK (eventually (record_is_read, tb));
  CHECK (eventually_under_callers (tb, both_serve_newest));
  CHECK (recorded_by_models (tb, "spoilt_runs") == 0);
}

/* -------- engines that wait for a write which never ends -------- */

#define SUPERSEDED_MS  300
#define OBSERVED       60
#define OBSERVE_MS     250
#define OUT_OF_USE_MAX 4000

static unsigned longest_gap_ms;

/* Watches for how long at most the first server gets no streams. */
static bool
observe_first_server (Testbed *tb)
{
  uint64_t before = recorded (tb->server[0], "received");
  unsigned gap_ms = 0;

  longest_gap_ms = 0;
  for (unsigned i = 0; i < OBSERVED; i++)
    {
      uint64_t now;

      g_usleep (OBSERVE_MS * US_PER_MS);
      now = recorded (tb->server[0], "received");
      gap_ms = now == before ? gap_ms + OBSERVE_MS : 0;
      longest_gap_ms = MAX (longest_gap_ms, gap_ms);
      before = now;
    }
  return true;
}

/* Announces two versions, the second one soon after the first one. */
static unsigned
gap_of_two_versions (Testbed *tb)
{
  CHECK (testbed_announce_version (tb, ++newest));
  g_usleep (SUPERSEDED_MS * US_PER_MS);
  CHECK (testbed_announce_version (tb, ++newest));
  CHECK (eventually_under_callers (tb, observe_first_server));
  CHECK (eventually (both_serve_newest, tb));
  return longest_gap_ms;
}

/* A write of the first of two versions has no response and stays open: the engine, which
 * has sound weights, is not drained for the second one while nothing of it can be staged.
 */
static void
test_engine_is_in_use_while_a_write_is_open (Testbed *tb)
{
  unsigned usual_ms = gap_of_two_versions (tb);
  unsigned open_ms;

  CHECK (set_fault (tb->server[0], "write_at_command", 1));
  open_ms = gap_of_two_versions (tb);
  g_print ("out of use: %u ms, with an open write %u ms\n", usual_ms, open_ms);
  CHECK (open_ms <= OUT_OF_USE_MAX);
}

/* Entries that start while no stager runs know the engine from the store's list alone,
 * which does not tell that its stager ended before the weights that it took were checked.
 */
static void
test_entry_without_word_of_a_stager_used_unchecked_weights (Testbed *tb)
{
  CHECK (eventually (both_serve_newest, tb));
  CHECK (set_fault (tb->server[0], "rot_at_command", ALL_CHUNKS));
  CHECK (set_fault (tb->server[0], "command_late_ms", LATE_MS));
  lose_weights (tb);
  g_usleep (COMMAND_SENT_MS * US_PER_MS);
  process_end (&tb->stager_process[0], SIGKILL);
  for (unsigned i = 0; i < ENTRIES; i++)
    process_end (&tb->entry_process[i], SIGKILL);
  CHECK (eventually (first_has_taken_weights, tb));
  for (unsigned i = 0; i < ENTRIES; i++)
    CHECK (process_start (&tb->entry_process[i]));
  CHECK (eventually_under_callers (tb, requests_are_served));
  CHECK (recorded_by_models (tb, "spoilt_runs") == 0);
  CHECK (process_start (&tb->stager_process[0]));
  check_taken (tb);
}

const TestFunc taken_unknown_tests[]
    = { test_entry_without_word_of_a_stager_used_unchecked_weights, NULL };

const TestFunc taken_tests[] = {
  test_command_taken_late_by_a_stalled_engine,
  test_command_named_no_count_or_a_range_to_load,
  test_command_taken_late_after_its_sender_gave_it_up,
  test_proofs_grew_too_old_before_the_command_was_taken,
  test_late_write_of_an_older_version_was_taken,
  test_command_of_a_stager_that_ended_took_another_version,
  test_bad_chunk_was_mended_before_the_check,
  test_bad_chunk_was_mended_by_a_stager_without_reports,
  test_stager_took_a_mended_chunk_for_what_its_predecessor_loaded,
  test_restarted_stager_kept_callers_from_sound_weights,
  test_record_that_was_deleted_with_its_node_was_not_written_again,
  test_record_of_an_engine_whose_start_time_repeats,
  test_engine_is_in_use_while_a_write_is_open,
  NULL,
};
