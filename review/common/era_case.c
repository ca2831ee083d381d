/*
 * CONFIG: the store comes back from an older copy at the moment at which all entries
 * start anew.  The copy still has a key that an acknowledged configuration took away.
 */
#include <inttypes.h>
#include <signal.h>

#include "bed.h"

#define KNOWN_MS      3000 /* from the acknowledgement until the drill */
#define AWAY_MS       1400 /* as long as the store is away and the entries are down */
#define REWRITE_MS    2000 /* from the store's return until the operator writes again */
#define TRY_MS        100
#define STORE_REFUSES 1 /* value of the knob "outage" */

static void
kill_entries (Bed *bed)
{
  for (unsigned i = 0; i < BED_ENTRIES; i++)
    bed_process_kill (&bed->entry_process[i]);
  bed_record (bed, "the store is away; all entries are killed");
}

static bool
start_entries (Bed *bed)
{
  bool done = true;

  for (unsigned i = 0; i < BED_ENTRIES; i++)
    done = bed_process_start (&bed->entry_process[i]) && done;
  bed_record (bed, "the store is back from the copy; all entries are started again");
  return done;
}

/* Takes the store and the entries away and brings them back. */
static bool
play_drill (Bed *bed)
{
  uint64_t away_ms = bed_now_ms ();
  bool done = set_fault (bed->store, "outage", STORE_REFUSES);

  kill_entries (bed);
  bed_sleep_until (away_ms + AWAY_MS);
  done = set_fault (bed->store, "restore", 1) && done;
  done = set_fault (bed->store, "outage", 0) && done;
  return start_entries (bed) && done;
}

/* Sends requests with the key until UNTIL_MS; returns how many of those that were sent
 * from FROM_MS on have run. */
static unsigned
try_key (Bed *bed, uint64_t from_ms, uint64_t until_ms)
{
  static unsigned n;
  unsigned ran = 0;

  for (n++; bed_now_ms () < until_ms; n++)
    {
      char *id = g_strdup_printf ("key2-%u", n);
      BedOutcome o = bed_request (bed, n % BED_ENTRIES, "/r/look-up", "key2", id);
      uint64_t runs = bed_runs (bed, id);

      if (o.sent_ms >= from_ms && runs > 0)
        {
          ran++;
          bed_record (bed, "%s ran and was sent too late", id);
        }
      g_free (id);
      g_usleep (TRY_MS * 1000);
    }
  return ran;
}

int
main (void)
{
  Bed *bed = bed_start ();
  BedOutcome before = bed_request (bed, 0, "/r/look-up", "key2", "before");
  uint64_t acked_ms;
  uint64_t back_ms;
  unsigned ran;
  bool done = before.served && set_fault (bed->store, "snapshot", 1);

  bed_record (bed, "the copy is taken");
  g_usleep (1000 * 1000);
  done = bed_configure (bed, false) && done;
  acked_ms = bed_now_ms ();
  bed_record (bed, "acknowledged: key2 is taken away");
  bed_sleep_until (acked_ms + KNOWN_MS);
  if (bed_request (bed, 0, "/r/look-up", "key2", "known-1").status != 401
      || bed_request (bed, 1, "/r/look-up", "key2", "known-2").status != 401)
    done = false;
  if (bed_has_trouble ())
    done = play_drill (bed) && done;
  else
    bed_sleep_until (acked_ms + KNOWN_MS + AWAY_MS);
  if (!done)
    bed_finish (bed, BED_UNABLE);
  back_ms = bed_now_ms ();
  ran = try_key (bed, acked_ms + BED_REVOKE_MS, back_ms + REWRITE_MS);
  bed->config_version--;
  bed_configure (bed, false);
  bed_record (bed, "the operator has written the lost configuration again");
  ran += try_key (bed, acked_ms + BED_REVOKE_MS, bed_now_ms () + 3000);
  bed_record (bed, "%u requests with the key ran, sent later than %d ms after", ran,
              BED_REVOKE_MS);
  printf ("requests that ran with the revoked key: %u\n", ran);
  bed_finish (bed, ran > 0 ? BED_BROKEN : BED_HELD);
}
