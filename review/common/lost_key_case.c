/*
 * CONFIG: the store acknowledges that a key is taken away, is away for a moment before
 * anybody has read that, and comes back from an older copy.
 */
#include <inttypes.h>

#include "bed.h"

#define AWAY_MS       3500 /* as long as the store is away */
#define REWRITE_MS    4000 /* from its return until the operator writes again */
#define AFTER_MS      2000
#define TRY_MS        100
#define STORE_REFUSES 1 /* value of the knob "outage" */

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
  bool done = bed_request (bed, 0, "/r/look-up", "key2", "before").served;
  uint64_t acked_ms;
  uint64_t back_ms;
  unsigned ran;

  done = set_fault (bed->store, "snapshot", 1) && done;
  bed_record (bed, "the copy is taken");
  g_usleep (1000 * 1000);
  if (bed_has_trouble ())
    done = set_fault (bed->store, "deaf", 1) && done;
  done = bed_configure (bed, false) && done;
  acked_ms = bed_now_ms ();
  bed_record (bed, "acknowledged: key2 is taken away");
  if (bed_has_trouble ())
    {
      done = set_fault (bed->store, "outage", STORE_REFUSES) && done;
      bed_record (bed, "the store is away");
      bed_sleep_until (acked_ms + AWAY_MS);
      done = set_fault (bed->store, "restore", 1) && done;
      done = set_fault (bed->store, "deaf", 0) && done;
      done = set_fault (bed->store, "outage", 0) && done;
      bed_record (bed, "the store is back from the copy");
    }
  else
    bed_sleep_until (acked_ms + AWAY_MS);
  if (!done)
    bed_finish (bed, BED_UNABLE);
  back_ms = bed_now_ms ();
  ran = try_key (bed, acked_ms + BED_REVOKE_MS, back_ms + REWRITE_MS);
  bed->config_version--;
  bed_configure (bed, false);
  bed_record (bed, "the operator has written the lost configuration again");
  ran += try_key (bed, acked_ms + BED_REVOKE_MS, bed_now_ms () + AFTER_MS);
  bed_record (bed, "%u requests with the key ran, sent later than %d ms after", ran,
              BED_REVOKE_MS);
  printf ("requests that ran with the revoked key: %u\n", ran);
  bed_finish (bed, ran > 0 ? BED_BROKEN : BED_HELD);
}
