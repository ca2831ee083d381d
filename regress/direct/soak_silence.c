/*
 * The soak's silent servers: sound model servers send nothing for a while and go on.
 * Meanwhile the other one refuses streams that resume, or lets them wait, and an entry
 * may stop.
 */
#include <glib.h>
#include <signal.h>

#include "soak.h"

#define EVENT_MIN_MS   100 /* a stream of ten events then lasts 1 s */
#define EVENT_MAX_MS   400
#define SILENCES       3
#define SILENCE_MIN_MS 800
#define SILENCE_MAX_MS 2000
#define SILENCE_GAP_MS 1500
#define SLOTS          16 /* of each server, so that one can replace the other */
#define QUEUE_MS       3000
#define REFUSALS       1000 /* more than entries may cause */
#define STOP_ONE_IN    2    /* so many silences has an entry that stops */
#define US_PER_MS      1000

/* What the other server does with streams that resume. */
typedef enum
{
  REPLACEMENT_TAKES,
  REPLACEMENT_REFUSES,
  REPLACEMENT_WAITS,
  REPLACEMENT_FAULTS,
} ReplacementFault;

static void
set_replacement_fault (Soak *soak, unsigned server, ReplacementFault fault)
{
  const char *address = soak->testbed->server[server];

  set_fault (address, "shed_resumed", fault == REPLACEMENT_REFUSES ? REFUSALS : 0);
  set_fault (address, "queue_resumed_ms", fault == REPLACEMENT_WAITS ? QUEUE_MS : 0);
}

/* Waits for the end of an entry that was told to stop, and starts it again.  It serves
 * before the next silence, as a signal during its start ends it at once. */
static void
restart_entry (Soak *soak, unsigned entry)
{
  Process *p = &soak->testbed->entry_process[entry];

  if (process_end (p, 0) != 0)
    soak_report_violation (soak, p->name, "did not end in its time, or failed");
  process_start (p);
  soak_log_event (soak, "silence: started again, entry", entry);
  if (!eventually (requests_are_served, soak->testbed))
    soak_report_violation (soak, p->name, "does not serve after its start");
}

/* RANDOM is of its own, so that the other phases of a seed stay the same. */
static void
silence_server (Soak *soak, GRand *random, unsigned server, gint32 ms)
{
  Testbed *tb = soak->testbed;
  unsigned other = MODEL_SERVERS - 1 - server;
  unsigned entry = (unsigned)g_rand_int_range (random, 0, ENTRIES);
  bool stops = g_rand_int_range (random, 0, STOP_ONE_IN) == 0;
  ReplacementFault fault
      = (ReplacementFault)g_rand_int_range (random, 0, REPLACEMENT_FAULTS);

  set_replacement_fault (soak, other, fault);
  soak_log_event (soak, "silence: what the other server does", fault);
  soak_log_event (soak, "silence of server", server);
  kill (tb->server_process[server].pid, SIGSTOP);
  if (stops)
    {
      soak_log_event (soak, "silence: SIGTERM to entry", entry);
      kill (tb->entry_process[entry].pid, SIGTERM);
    }
  g_usleep ((gulong)ms * US_PER_MS);
  kill (tb->server_process[server].pid, SIGCONT);
  soak_log_event (soak, "end of silence of server", server);
  g_usleep (SILENCE_GAP_MS * US_PER_MS);
  set_replacement_fault (soak, other, REPLACEMENT_TAKES);
  if (stops)
    restart_entry (soak, entry);
}

void
soak_silence_servers (Soak *soak)
{
  GRand *random = g_rand_copy (soak->random);

  set_fault (soak->testbed->server[SERVERS - 1], "answer_ms", 0);
  soak_set_event_ms (soak, (uint64_t)g_rand_int_range (soak->random, EVENT_MIN_MS,
                                                       EVENT_MAX_MS));
  soak_list_models (soak, SLOTS);
  g_usleep (SILENCE_GAP_MS * US_PER_MS);
  for (unsigned i = 0; i < SILENCES; i++)
    {
      unsigned server = (unsigned)g_rand_int_range (soak->random, 0, SERVERS - 1);
      gint32 ms = g_rand_int_range (soak->random, SILENCE_MIN_MS, SILENCE_MAX_MS);

      silence_server (soak, random, server, ms);
    }
  soak_list_models (soak, 0);
  g_rand_free (random);
}
