/* The soak's silent servers: sound model servers send nothing for a while and go on. */
#include <glib.h>
#include <signal.h>

#include "soak.h"

#define EVENT_MIN_MS   100 /* a stream of ten events then lasts 1 s */
#define EVENT_MAX_MS   400
#define SILENCES       3
#define SILENCE_MIN_MS 800
#define SILENCE_MAX_MS 2000
#define SILENCE_GAP_MS 1500
#define US_PER_MS      1000

void
soak_silence_servers (Soak *soak)
{
  set_fault (soak->testbed->server[SERVERS - 1], "answer_ms", 0);
  soak_set_event_ms (soak, (uint64_t)g_rand_int_range (soak->random, EVENT_MIN_MS,
                                                       EVENT_MAX_MS));
  g_usleep (SILENCE_GAP_MS * US_PER_MS);
  for (unsigned i = 0; i < SILENCES; i++)
    {
      unsigned server = (unsigned)g_rand_int_range (soak->random, 0, SERVERS - 1);
      gint32 ms = g_rand_int_range (soak->random, SILENCE_MIN_MS, SILENCE_MAX_MS);
      int pid = soak->testbed->server_process[server].pid;

      soak_log_event (soak, "silence of server", server);
      kill (pid, SIGSTOP);
      g_usleep ((gulong)ms * US_PER_MS);
      kill (pid, SIGCONT);
      soak_log_event (soak, "end of silence of server", server);
      g_usleep (SILENCE_GAP_MS * US_PER_MS);
    }
}
