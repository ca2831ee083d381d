/*
 * CONFIG: the open channels to the store go silent for good, while new ones work, and a
 * configuration that moves one route and adds another is acknowledged just after that.
 */
#include <inttypes.h>

#include "bed.h"

#define CALM_MS   6000
#define APPLY_MS  2000 /* config_apply_ms */
#define STABLE_MS 3000 /* stable_window_ms */
#define WATCH_MS  9000
#define PAUSE_US  50000
#define NOT_FOUND 404

/* True if a server of the service to which the route led before has run request ID. */
static bool
ran_at_old_service (Bed *bed, const char *id)
{
  char *path = g_strdup_printf ("runs.%s", id);
  uint64_t runs = 0;

  for (unsigned i = BED_MODEL_SERVERS; i < BED_SERVERS - 1; i++)
    runs += recorded (bed->server[i], path);
  g_free (path);
  return runs > 0;
}

/* What was handled as only the older configuration allows. */
typedef struct
{
  unsigned moved;    /* runs at the old service */
  unsigned added;    /* 404 for the route that was added */
  uint64_t until_ms; /* when the last of these was sent, after the silence began */
} Old;

static void
try_entry (Bed *bed, unsigned entry, uint64_t silent_ms, uint64_t from_ms, Old *old)
{
  static unsigned n;
  char *id = g_strdup_printf ("booking-%u", ++n);
  char *other = g_strdup_printf ("new-%u", n);
  BedOutcome moved = bed_request (bed, entry, "/o/booking", "key1", id);
  BedOutcome added = bed_request (bed, entry, "/n/look-up", "key1", other);
  bool is_old = ran_at_old_service (bed, id);

  if (is_old && moved.sent_ms > from_ms)
    {
      old->moved++;
      bed_record (bed, "%s, sent %" PRIu64 " ms after, ran at the old service", id,
                  moved.sent_ms - silent_ms);
    }
  if (added.status == NOT_FOUND && added.sent_ms > from_ms)
    {
      old->added++;
      bed_record (bed, "%s, sent %" PRIu64 " ms after, got 404 on the new route", other,
                  added.sent_ms - silent_ms);
    }
  if (is_old || added.status == NOT_FOUND)
    old->until_ms = added.sent_ms - silent_ms;
  g_free (other);
  g_free (id);
}

int
main (void)
{
  Old old[BED_ENTRIES] = { { 0 } };
  unsigned broken = 0;
  uint64_t silent_ms;
  uint64_t from_ms;
  Bed *bed;

  bed_with_proxy = true;
  bed_with_second_service = true;
  bed = bed_start ();
  bed_sleep_until (bed_now_ms () + CALM_MS);
  silent_ms = bed_now_ms ();
  if (bed_has_trouble ())
    {
      proxy_stall (bed->proxy);
      bed_record (bed, "the open channels to the store go silent");
    }
  g_usleep (PAUSE_US);
  if (!bed_change_routes (bed))
    bed_finish (bed, BED_UNABLE);
  bed_record (bed, "acknowledged: /o/ leads to service q, /n/ is added");
  from_ms = MAX (bed_now_ms () + APPLY_MS, silent_ms + STABLE_MS);
  while (bed_now_ms () < silent_ms + WATCH_MS)
    {
      for (unsigned i = 0; i < BED_ENTRIES; i++)
        try_entry (bed, i, silent_ms, from_ms, &old[i]);
      g_usleep (PAUSE_US);
    }
  for (unsigned i = 0; i < BED_ENTRIES; i++)
    {
      broken += old[i].moved + old[i].added;
      bed_record (bed,
                  "entry %u: too late: %u runs at the old service, %u times 404; the "
                  "last old one was sent after %" PRIu64 " ms",
                  i + 1, old[i].moved, old[i].added, old[i].until_ms);
      printf ("entry %u: %u runs at the old service, %u times 404, last after %" PRIu64
              " ms\n",
              i + 1, old[i].moved, old[i].added, old[i].until_ms);
    }
  bed_finish (bed, broken > 0 ? BED_BROKEN : BED_HELD);
}
