/*
 * The soak's prompt parts: requests with one part crash the model servers, one after the
 * other, while sound requests with other parts go on.
 */
#include <glib.h>

#include "soak.h"

#define BAD_PART       0xbad
#define DURATION_MS    10000
#define RELEASE_MS     60000
#define PAUSE_MIN_MS   20
#define PAUSE_MAX_MS   250
#define CRASH_MIN_MS   100 /* how long a server is down after a crash */
#define CRASH_MAX_MS   1500
#define US_PER_MS      1000
#define SOUND_PARTS    8
#define USUAL_REQUESTS 12 /* before the fault */

/* A phase of the soak and what it has seen. */
typedef struct
{
  Soak *soak;
  uint64_t seen[MODEL_SERVERS]; /* crashes after which a server was listed anew */
  uint64_t crashes_before;      /* this phase */
  gint64 fifth_ms;              /* when the fifth crash was seen; 0 before */
  gint64 window_ms;             /* when SENT_BEFORE was read; 0 before */
  uint64_t before;   /* requests with the part that servers had received then */
  unsigned sound;    /* sound requests from twice the window on */
  unsigned complete; /* of those, served */
} Poison;

static void
set_on_both (Soak *soak, const char *knob, uint64_t value)
{
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    set_fault (soak->testbed->server[i], knob, value);
}

/* True when a stream with the part MIDDLE is served by a random entry. */
static bool
stream_is_served (Soak *soak, const char *middle)
{
  return part_is_served (
      soak->testbed,
      soak->testbed->via_entry[g_rand_int_range (soak->random, 0, ENTRIES)], middle);
}

static void
note_progress (Poison *p)
{
  gint64 now_ms = soak_now_ms ();

  testbed_list_crashed (p->soak->testbed, p->seen);
  if (p->fifth_ms == 0
      && recorded_by_models (p->soak->testbed, "crashes") >= p->crashes_before + CRASHES)
    p->fifth_ms = now_ms;
  if (p->fifth_ms == 0 || p->window_ms != 0 || now_ms < p->fifth_ms + STABLE_WINDOW_MS)
    return;
  p->window_ms = now_ms;
  p->before = recorded_by_models (p->soak->testbed, "poisoned");
}

static void
send_sound (Poison *p)
{
  char part[16];
  bool counts = p->window_ms != 0 && soak_now_ms () > p->window_ms + STABLE_WINDOW_MS;
  bool served;

  g_snprintf (part, sizeof part, "a%d",
              g_rand_int_range (p->soak->random, 0, SOUND_PARTS));
  served = stream_is_served (p->soak, part);
  p->sound += counts;
  p->complete += counts && served;
}

static void
check_released (Soak *soak)
{
  gint64 end_ms = soak_now_ms () + RELEASE_MS;

  while (soak_now_ms () < end_ms)
    {
      if (stream_is_served (soak, "bad"))
        return;
      g_usleep (PAUSE_MAX_MS * US_PER_MS);
    }
  soak_report_violation (soak, "entries", "do not release a part that is sound again");
}

void
soak_poison_servers (Soak *soak)
{
  Poison p
      = { .soak = soak, .crashes_before = recorded_by_models (soak->testbed, "crashes") };
  gint64 end_ms = soak_now_ms () + DURATION_MS;
  uint64_t sent;

  soak_set_event_ms (soak, SOAK_EVENT_MS);
  for (unsigned i = 0; i < USUAL_REQUESTS; i++)
    send_sound (&p);
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    p.seen[i] = recorded (soak->testbed->server[i], "crashes");
  soak_log_event (soak, "bad prompt part", BAD_PART);
  set_on_both (soak, "crash_ms",
               (uint64_t)g_rand_int_range (soak->random, CRASH_MIN_MS, CRASH_MAX_MS));
  set_on_both (soak, "crash_part", BAD_PART);
  while (soak_now_ms () < end_ms)
    {
      stream_is_served (soak, "bad");
      note_progress (&p);
      send_sound (&p);
      g_usleep ((gulong)g_rand_int_range (soak->random, PAUSE_MIN_MS, PAUSE_MAX_MS)
                * US_PER_MS);
    }
  sent = recorded_by_models (soak->testbed, "poisoned") - p.before;
  if (p.window_ms != 0 && sent > SENT_MAX)
    soak_report_violation (soak, "entries",
                           "went on sending a part that crashes servers");
  /* Stated by the users: from twice the time on, sound requests must be served at least
   * half as often as without the fault. */
  if (p.complete * 2 < p.sound)
    soak_report_violation (soak, "entries", "refused sound parts beside a bad one");
  set_on_both (soak, "crash_part", 0);
  soak_log_event (soak, "end of bad prompt part", BAD_PART);
  check_released (soak);
}
