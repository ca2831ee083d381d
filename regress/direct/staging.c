/* Tests of stagers whose engine takes no chunks, or does not return them. */
#include <glib.h>

#include "direct.h"

#define NEW_VERSION 2
#define WATCH_US    2000000
/* In that time: control is to cost no more than a few hundredths of a core. */
#define PUTS_MAX 60

static bool
chunks_are_offered (Testbed *tb)
{
  return recorded (tb->server[0], "stage_puts") > 0;
}

/* A chunk that the engine refused is staged again after a pause, and not at once for as
 * long as the engine refuses; once it takes chunks, the version is loaded. */
static void
test_refused_chunks_are_staged_again_after_a_pause (Testbed *tb)
{
  uint64_t before;
  uint64_t puts;

  set_fault_on_both (tb, "stage_refused", 1);
  CHECK (testbed_announce_version (tb, NEW_VERSION));
  CHECK (eventually (chunks_are_offered, tb));
  before = recorded (tb->server[0], "stage_puts");
  g_usleep (WATCH_US);
  puts = recorded (tb->server[0], "stage_puts") - before;
  if (puts > PUTS_MAX)
    g_print ("%" G_GUINT64_FORMAT " chunks offered in vain\n", puts);
  CHECK (puts <= PUTS_MAX);
  set_fault_on_both (tb, "stage_refused", 0);
  CHECK (version_is_loaded (tb, NEW_VERSION));
  CHECK (recorded_by_models (tb, "mixed") == 0);
}

#define NEXT_VERSION 3
#define CHUNKS       16
/* Longer than stagers wait for a read. */
#define READ_LATE_MS 1500
#define READS_US     6000000

static uint64_t puts_before;

static bool
all_chunks_are_offered (Testbed *tb)
{
  return recorded (tb->server[0], "stage_puts") >= puts_before + CHUNKS;
}

/* Chunks that the engine does not return in time are still staged. */
static void
test_reads_that_failed_led_to_writes (Testbed *tb)
{
  puts_before = recorded (tb->server[0], "stage_puts");
  set_fault_on_both (tb, "read_late_ms", READ_LATE_MS);
  CHECK (testbed_announce_version (tb, NEXT_VERSION));
  CHECK (eventually (all_chunks_are_offered, tb));
  g_usleep (READS_US);
  set_fault_on_both (tb, "read_late_ms", 0);
  CHECK (version_is_loaded (tb, NEXT_VERSION));
  CHECK (recorded (tb->server[0], "stage_puts") == puts_before + CHUNKS);
  CHECK (recorded_by_models (tb, "mixed") == 0);
}

const TestFunc staging_tests[] = { test_refused_chunks_are_staged_again_after_a_pause,
                                   test_reads_that_failed_led_to_writes, NULL };
