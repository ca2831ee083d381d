/*
 * REFUSED: one of three plain servers fails part of the requests that it has run with a
 * 503 that does not say that they were not run.
 */
#include <inttypes.h>

#include "bed.h"

#define GREY         (BED_SERVERS - 1)
#define FAIL_PERCENT 45
#define CALM_MS      2000
#define GREY_MS      6500
#define PAUSE_US     50000

static bool
promises_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

int
main (void)
{
  unsigned broken = 0;
  unsigned sent = 0;
  uint64_t began_ms;
  Bed *bed;

  bed_plain_kind = "plain";
  bed = bed_start ();
  began_ms = bed_now_ms ();
  bed_sleep_until (began_ms + CALM_MS);
  if (bed_has_trouble () && !set_fault (bed->server[GREY], "fail_percent", FAIL_PERCENT))
    bed_finish (bed, BED_UNABLE);
  bed_record (bed, "server i-%d fails part of its requests", GREY + 1);
  while (bed_now_ms () < began_ms + CALM_MS + GREY_MS)
    {
      char *id = g_strdup_printf ("booking-%u", ++sent);
      BedOutcome o = bed_request (bed, sent % BED_ENTRIES, "/o/booking", "key1", id);

      if (promises_not_run (o.status) && bed_runs (bed, id) > 0)
        {
          broken++;
          bed_record (bed, "%s was refused with %d and has run", id, o.status);
        }
      g_free (id);
      g_usleep (PAUSE_US);
    }
  bed_record (bed, "%u of %u unsafe requests were refused and have run", broken, sent);
  printf ("refused and run: %u of %u\n", broken, sent);
  bed_finish (bed, broken > 0 ? BED_BROKEN : BED_HELD);
}
