/*
 * Fault: entries are killed for want of memory when more users than usual send bodies of
 * the size that the configuration allows.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bed.h"

#define BODY_BYTES   4000000 /* under max_body_bytes of the configuration */
#define MEMORY_MB    260     /* of an entry's machine */
#define USUAL        20      /* clients */
#define BURST_TENTHS 17      /* of the usual number */
#define CLIENTS_MAX  (USUAL * BURST_TENTHS / 10)
#define BURST_MS     3000
#define PAUSE_MS     6000
#define BURSTS       4
#define SAMPLE_US    5000
#define RESTART_MS   500
#define KILLS        3
#define THINK_US     50000

typedef struct
{
  Bed *bed;
  unsigned number;
  char *body;
  gint *until; /* clients with a higher number wait */
} Client;

static gint active;
static gint stopped;
static gint answered;
static gint failed;

static gpointer
run_client (gpointer data)
{
  Client *c = data;

  for (unsigned n = 1; g_atomic_int_get (&stopped) == 0; n++)
    {
      char *id = g_strdup_printf ("b%u-%u", c->number, n);
      Response r;

      if ((gint)c->number >= g_atomic_int_get (&active))
        {
          g_usleep (THINK_US);
          g_free (id);
          continue;
        }
      r = call (&(Call){ .address = c->bed->entry[(c->number + n) % BED_ENTRIES],
                         .target = "/o/long/booking",
                         .host = "x.example",
                         .id = id,
                         .key = "key1",
                         .body = c->body,
                         .deadline_ms = 2000,
                         .disconnect_ms = 3000 });
      if (r.status == 200 && r.complete)
        g_atomic_int_inc (&answered);
      else
        g_atomic_int_inc (&failed);
      response_free (&r);
      g_free (id);
      g_usleep (THINK_US);
    }
  return NULL;
}

static uint64_t
resident_kb (const Process *p)
{
  char *path = g_strdup_printf ("/proc/%d/status", p->pid);
  char *text = NULL;
  uint64_t kb = 0;

  if (p->pid > 0 && g_file_get_contents (path, &text, NULL, NULL))
    {
      const char *line = strstr (text, "VmRSS:");

      if (line != NULL)
        kb = g_ascii_strtoull (line + strlen ("VmRSS:"), NULL, 10);
    }
  g_free (text);
  g_free (path);
  return kb;
}

int
main (void)
{
  Bed *bed = bed_start ();
  char *body = g_strnfill (BODY_BYTES, 'x');
  unsigned kills[BED_ENTRIES] = { 0 };
  uint64_t down_ms[BED_ENTRIES] = { 0 };
  uint64_t most_kb[BED_ENTRIES] = { 0 };
  uint64_t began_ms;
  GThread *threads[CLIENTS_MAX];
  Client clients[CLIENTS_MAX];
  const char *usual_text = getenv ("USUAL");
  unsigned usual = usual_text != NULL ? (unsigned)atoi (usual_text) : USUAL;
  unsigned at_least;

  if (!set_fault (bed->server[BED_SERVERS - 1], "answer_ms", 100))
    bed_finish (bed, BED_UNABLE);
  g_atomic_int_set (&active, (gint)usual);
  for (unsigned i = 0; i < CLIENTS_MAX; i++)
    {
      clients[i] = (Client){ .bed = bed, .number = i, .body = body };
      threads[i] = g_thread_new ("client", run_client, &clients[i]);
    }
  began_ms = bed_now_ms ();
  while (bed_now_ms () < began_ms + BURSTS * PAUSE_MS)
    {
      bool burst = bed_has_trouble ()
                   && (bed_now_ms () - began_ms) % PAUSE_MS >= PAUSE_MS - BURST_MS;

      g_atomic_int_set (&active, (gint)(burst ? usual * BURST_TENTHS / 10 : usual));
      for (unsigned i = 0; i < BED_ENTRIES; i++)
        {
          uint64_t kb = resident_kb (&bed->entry_process[i]);

          most_kb[i] = MAX (most_kb[i], kb);
          if (kb > MEMORY_MB * UINT64_C (1024))
            {
              bed_process_kill (&bed->entry_process[i]);
              kills[i]++;
              down_ms[i] = bed_now_ms ();
              bed_record (bed, "entry %u holds %" PRIu64 " KB and is killed", i + 1, kb);
            }
          else if (down_ms[i] != 0 && bed_now_ms () >= down_ms[i] + RESTART_MS)
            {
              down_ms[i] = 0;
              bed_process_start (&bed->entry_process[i]);
            }
        }
      g_usleep (SAMPLE_US);
    }
  g_atomic_int_set (&stopped, 1);
  for (unsigned i = 0; i < CLIENTS_MAX; i++)
    g_thread_join (threads[i]);
  at_least = kills[0];
  for (unsigned i = 0; i < BED_ENTRIES; i++)
    {
      bed_record (bed, "entry %u: killed %u times, most memory %" PRIu64 " KB", i + 1,
                  kills[i], most_kb[i]);
      printf ("entry %u: killed %u times, most memory %" PRIu64 " KB\n", i + 1, kills[i],
              most_kb[i]);
      at_least = MIN (at_least, kills[i]);
    }
  printf ("answered %d, failed %d\n", answered, failed);
  bed_finish (bed, at_least >= KILLS ? BED_BROKEN : BED_HELD);
}
