/*
 * RECOVER: another writer lists entries of a service that no configuration names, at the
 * addresses of live servers, before all processes of the system are killed.
 */
#include <inttypes.h>
#include <stdlib.h>

#include "bed.h"

#define PER_SECOND 20
#define BEFORE_MS  5000
#define DOWN_MS    1400
#define JUDGED_MS  12000
#define QUARTER    4

static void
kill_all (Bed *bed)
{
  for (unsigned i = 0; i < BED_ENTRIES; i++)
    bed_process_kill (&bed->entry_process[i]);
  for (unsigned i = 0; i < BED_MODEL_SERVERS; i++)
    bed_process_kill (&bed->stager_process[i]);
  bed_record (bed, "all processes of the system are killed");
}

static bool
start_all (Bed *bed)
{
  bool done = true;

  for (unsigned i = 0; i < BED_ENTRIES; i++)
    done = bed_process_start (&bed->entry_process[i]) && done;
  for (unsigned i = 0; i < BED_MODEL_SERVERS; i++)
    done = bed_process_start (&bed->stager_process[i]) && done;
  bed_record (bed, "all processes of the system are started again");
  return done;
}

/* Lists an entry of another writer for each model server. */
static bool
list_foreign (Bed *bed)
{
  bool done = true;

  for (unsigned i = 0; i < BED_MODEL_SERVERS; i++)
    {
      char *name = g_strdup_printf ("x-%u", i + 1);
      char *spec = g_strdup_printf (
          "{\"backend\":\"archive\",\"address\":\"%s\",\"zone\":\"d1\","
          "\"version\":\"1\",\"slots\":1,\"state\":\"ready\",\"sequence\":1,\"born\":1}",
          bed->server[i]);

      done = bed_put (bed, "servers", name, spec) && done;
      g_free (spec);
      g_free (name);
    }
  return done;
}

int
main (void)
{
  Bed *bed = bed_start ();
  BedClients *clients = bed_clients_start (bed, "c", PER_SECOND);
  uint64_t began_ms = bed_now_ms ();
  uint64_t fault_ms;
  uint64_t back_ms;
  GArray *outcomes;
  unsigned sent;
  unsigned served;
  unsigned sent_before;
  unsigned served_before;
  bool done = true;

  bed_sleep_until (began_ms + BEFORE_MS);
  fault_ms = bed_now_ms ();
  if (bed_has_trouble ())
    {
      if (g_strcmp0 (getenv ("FOREIGN"), "0") != 0)
        done = list_foreign (bed);
      if (g_strcmp0 (getenv ("KILL"), "0") != 0)
        {
          kill_all (bed);
          bed_sleep_until (fault_ms + DOWN_MS);
          done = start_all (bed) && done;
        }
    }
  if (!done)
    bed_finish (bed, BED_UNABLE);
  back_ms = bed_now_ms ();
  bed_sleep_until (back_ms + BED_RECOVERY_MS + JUDGED_MS);
  outcomes = bed_clients_stop (clients);
  bed_count (outcomes, began_ms, fault_ms, &sent_before, &served_before);
  bed_count (outcomes, back_ms + BED_RECOVERY_MS, UINT64_MAX, &sent, &served);
  bed_record (bed, "before the fault: %u of %u requests served", served_before,
              sent_before);
  bed_record (bed, "later than %d ms after the machines are back: %u of %u served",
              BED_RECOVERY_MS, served, sent);
  printf ("served: before %u of %u, after %u of %u\n", served_before, sent_before, served,
          sent);
  if (sent == 0 || served_before * QUARTER < sent_before)
    bed_finish (bed, BED_UNABLE);
  bed_finish (bed, served * QUARTER < sent ? BED_BROKEN : BED_HELD);
}
