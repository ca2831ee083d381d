/*
 * The soak's whole requests: one request, that is one path, caller and body, crashes
 * whatever runs it and comes again and again, beside sound requests of which some are the
 * same each time.  Meanwhile servers crash for other reasons and entries are killed.
 */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "soak.h"

#define CRASHES_WHOLE    3 /* stated by the users: after these, SENT_MAX more at most */
#define BAD_CALLERS      3
#define SOUND_CALLERS    4
#define CALLERS          (BAD_CALLERS + SOUND_CALLERS)
#define USUAL_MS         3000 /* before the fault; what is served then is what is usual */
#define OTHERS_MS        7000 /* other faults happen for so long, from then on */
#define QUIET_MS         7000 /* and then none; what is served counts in the last COUNTED_MS */
#define COUNTED_MS       4000
#define BAD_PAUSE_MIN_MS 20
#define BAD_PAUSE_MAX_MS 400
#define SOUND_PAUSE_MS   100
#define CRASH_MIN_MS     100 /* how long a server is down after a crash */
#define CRASH_MAX_MS     1200
#define CRASH_GAP_MIN_MS 800
#define CRASH_GAP_MAX_MS 3000
#define IN_A_ROW_MS      400  /* between two servers that crash one after the other */
#define KILL_GAP_MIN_MS  2500 /* from an entry's start, so that the other can tell it */
#define KILL_GAP_MAX_MS  6000
#define AWAY_MIN_MS      100
#define AWAY_MAX_MS      1000
#define BODY_MAX         1000
#define US_PER_MS        1000
#define SOUND_PARTS      8
#define PLAIN_SERVER     (SERVERS - 1)

typedef struct
{
  unsigned sent;
  unsigned served;
} SoundCount;

/* The kinds of sound requests. */
typedef enum
{
  SOUND_SAME, /* the same request from all callers */
  SOUND_SAME_STREAM,
  SOUND_OWN, /* another body each time, on the path of the bad one */
  SOUND_KINDS,
} SoundKind;

/* The times in which sound requests count; the last one is not counted. */
typedef enum
{
  SOUND_USUAL,
  SOUND_AFTERWARDS,
  SOUND_BETWEEN,
  SOUND_PERIODS,
} SoundPeriod;

static const char *const sound_names[SOUND_KINDS]
    = { "the same request", "the same stream", "requests of their own" };

typedef struct
{
  Soak *soak;
  GRand *random;      /* of its own, so that the other phases of a seed stay the same */
  const char *target; /* of the bad request */
  char body[32];
  unsigned number;        /* in the body */
  uint64_t seen[SERVERS]; /* crashes after which a server was listed anew */
  uint64_t crashes_before;
  gint64 third_ms;  /* when the third crash was seen; 0 before */
  gint64 window_ms; /* when BEFORE was read; 0 before */
  uint64_t before;
  gint64 crash_ms;  /* when servers crash for another reason */
  gint64 second_ms; /* when the second one of two in a row does; 0: not */
  gint64 kill_ms;
  gint64 back_ms; /* when the entry that was killed starts; 0: none was */
  unsigned killed;
  gint bad;    /* atomic: the bad request comes */
  gint period; /* atomic: SoundPeriod in which sound requests count */
  gint stop;   /* atomic */
  GMutex lock;
  SoundCount sound[SOUND_PERIODS][SOUND_KINDS]; /* guarded by LOCK */
} WholePoison;

static uint64_t
recorded_by_all (Soak *soak, const char *name)
{
  return recorded_by_models (soak->testbed, name)
         + recorded (soak->testbed->server[PLAIN_SERVER], name);
}

static void
set_on_all (Soak *soak, const char *knob, uint64_t value)
{
  for (unsigned i = 0; i < SERVERS; i++)
    set_fault (soak->testbed->server[i], knob, value);
}

/* -------- callers -------- */

typedef struct
{
  WholePoison *poison;
  unsigned number;
  uint32_t seed;
} WholeCaller;

static Call
sound_call (const WholePoison *p, SoundKind kind, const char *id, char *own, char *parts)
{
  Call c = default_call (p->soak->testbed, p->target, id);

  switch (kind)
    {
    case SOUND_SAME:
      c.target = "/r/again";
      c.body = "sound";
      break;
    case SOUND_SAME_STREAM:
      c.target = "/s/again";
      c.body = "sound";
      c.header = parts;
      break;
    case SOUND_OWN:
      c.body = own;
      break;
    case SOUND_KINDS:
      break;
    }
  return c;
}

static void
send_sound (WholeCaller *caller, GRand *random, CURL *curl, unsigned n)
{
  WholePoison *p = caller->poison;
  SoundKind kind = (SoundKind)g_rand_int_range (random, 0, SOUND_KINDS);
  int period = g_atomic_int_get (&p->period);
  char *id = g_strdup_printf ("sound%u-%u", caller->number, n);
  char *own = g_strdup_printf ("sound %u-%u", caller->number, n);
  char *parts = g_strdup_printf ("X-Prompt-Prefix: f1:40,a%d:100,e:10",
                                 g_rand_int_range (random, 0, SOUND_PARTS));
  Call c = sound_call (p, kind, id, own, parts);
  Response r;

  c.address = p->soak->testbed->entry[g_rand_int_range (random, 0, ENTRIES)];
  c.curl = curl;
  c.once = true;
  r = call (&c);
  g_mutex_lock (&p->lock);
  p->sound[period][kind].sent++;
  p->sound[period][kind].served += r.status == 200 && r.complete;
  g_mutex_unlock (&p->lock);
  response_free (&r);
  g_free (parts);
  g_free (own);
  g_free (id);
  g_usleep (SOUND_PAUSE_MS * US_PER_MS);
}

static void
send_bad (WholeCaller *caller, GRand *random, CURL *curl, unsigned n)
{
  WholePoison *p = caller->poison;
  char *id = g_strdup_printf ("bad%u-%u", caller->number, n);
  Call c = default_call (p->soak->testbed, p->target, id);
  Response r;

  c.address = p->soak->testbed->entry[g_rand_int_range (random, 0, ENTRIES)];
  c.body = p->body;
  c.curl = curl;
  c.once = true;
  r = call (&c);
  if (r.status == 200 && r.complete)
    soak_report_violation (p->soak, id, "was served though it crashes its server");
  response_free (&r);
  g_free (id);
}

static gpointer
run_caller (gpointer data)
{
  WholeCaller *caller = data;
  WholePoison *p = caller->poison;
  GRand *random = g_rand_new_with_seed (caller->seed);
  CURL *curl = curl_easy_init ();

  for (unsigned n = 0; !g_atomic_int_get (&p->stop); n++)
    {
      if (caller->number >= BAD_CALLERS)
        {
          send_sound (caller, random, curl, n);
          continue;
        }
      if (g_atomic_int_get (&p->bad))
        send_bad (caller, random, curl, n);
      g_usleep ((gulong)g_rand_int_range (random, BAD_PAUSE_MIN_MS, BAD_PAUSE_MAX_MS)
                * US_PER_MS);
    }
  curl_easy_cleanup (curl);
  g_rand_free (random);
  return NULL;
}

/* -------- servers and entries -------- */

/* Lists the plain server as a new instance when it crashed and is up again. */
static void
list_plain_server (WholePoison *p)
{
  Testbed *tb = p->soak->testbed;
  const char *plain = tb->server[PLAIN_SERVER];
  uint64_t crashes = recorded (plain, "crashes");

  if (crashes != p->seen[PLAIN_SERVER] && recorded (plain, "down") == 0
      && testbed_restart_server (tb, PLAIN_SERVER)
      && set_fault (plain, "born", tb->server_started[PLAIN_SERVER]))
    p->seen[PLAIN_SERVER] = crashes;
}

/* Both model servers crash at once, or one after the other. */
static void
advance_crashes (WholePoison *p, bool may_begin)
{
  Testbed *tb = p->soak->testbed;

  if (p->second_ms != 0 && soak_now_ms () >= p->second_ms)
    {
      p->second_ms = 0;
      set_fault (tb->server[1], "crash_now", 1);
    }
  if (!may_begin || soak_now_ms () < p->crash_ms)
    return;
  p->crash_ms = soak_random_due_ms (p->random, CRASH_GAP_MIN_MS, CRASH_GAP_MAX_MS);
  p->second_ms = g_rand_boolean (p->random) ? soak_now_ms () + IN_A_ROW_MS : 0;
  soak_log_event (p->soak, "whole: others crash servers, in a row:", p->second_ms != 0);
  set_fault (tb->server[0], "crash_now", 1);
  if (p->second_ms == 0)
    set_fault (tb->server[1], "crash_now", 1);
}

/* One entry at a time, until the request has been held for a while. */
static void
advance_kills (WholePoison *p, bool may_begin)
{
  Process *entries = p->soak->testbed->entry_process;

  if (p->back_ms != 0 && soak_now_ms () >= p->back_ms)
    {
      process_start (&entries[p->killed]);
      p->back_ms = 0;
      p->kill_ms = soak_random_due_ms (p->random, KILL_GAP_MIN_MS, KILL_GAP_MAX_MS);
      soak_log_event (p->soak, "whole: start of entry", p->killed);
    }
  if (p->back_ms != 0 || !may_begin || soak_now_ms () < p->kill_ms)
    return;
  p->killed = (unsigned)g_rand_int_range (p->random, 0, ENTRIES);
  p->back_ms = soak_random_due_ms (p->random, AWAY_MIN_MS, AWAY_MAX_MS);
  soak_log_event (p->soak, "whole: kill of entry", p->killed);
  process_end (&entries[p->killed], SIGKILL);
}

/* In half of the phases both entries end at once, when the request has been held for a
 * while, and start anew. */
static void
restart_entries (WholePoison *p)
{
  Process *entries = p->soak->testbed->entry_process;

  if (p->window_ms == 0 || p->back_ms != 0 || g_rand_boolean (p->random))
    return;
  soak_log_event (p->soak, "whole: kill of all entries", ENTRIES);
  for (unsigned i = 0; i < ENTRIES; i++)
    kill (entries[i].pid, SIGKILL);
  for (unsigned i = 0; i < ENTRIES; i++)
    process_end (&entries[i], SIGKILL);
  for (unsigned i = 0; i < ENTRIES; i++)
    process_start (&entries[i]);
}

/* -------- checks -------- */

static void
note_progress (WholePoison *p)
{
  gint64 now_ms = soak_now_ms ();

  testbed_list_crashed (p->soak->testbed, p->seen);
  list_plain_server (p);
  if (p->third_ms == 0
      && recorded_by_all (p->soak, "crashes_whole") >= p->crashes_before + CRASHES_WHOLE)
    {
      p->third_ms = now_ms;
      soak_log_event (p->soak, "whole: crashes by the request:", CRASHES_WHOLE);
    }
  if (p->third_ms == 0 || p->window_ms != 0 || now_ms < p->third_ms + STABLE_WINDOW_MS)
    return;
  p->window_ms = now_ms;
  p->before = recorded_by_all (p->soak, "poisoned_whole");
}

/* Stated by the users: sound requests must be served at least half as often as without
 * the fault. */
static void
check_sound (WholePoison *p, SoundKind kind)
{
  const SoundCount *usual = &p->sound[SOUND_USUAL][kind];
  const SoundCount *after = &p->sound[SOUND_AFTERWARDS][kind];

  if (usual->served == 0)
    soak_report_violation (p->soak, sound_names[kind], "was not served before the fault");
  if (2 * after->served * usual->sent >= usual->served * after->sent && after->sent > 0)
    return;
  soak_log_event (p->soak, "whole: sound ones sent:", after->sent);
  soak_log_event (p->soak, "whole: sound ones served:", after->served);
  soak_log_event (p->soak, "whole: sound ones sent before:", usual->sent);
  soak_log_event (p->soak, "whole: sound ones served before:", usual->served);
  soak_report_violation (p->soak, sound_names[kind],
                         "was refused beside a request that crashes servers");
}

static void
check_phase (WholePoison *p)
{
  uint64_t sent = recorded_by_all (p->soak, "poisoned_whole") - p->before;

  if (p->window_ms != 0 && sent > SENT_MAX)
    {
      soak_log_event (p->soak, "whole: sends too late:", (unsigned)sent);
      soak_report_violation (p->soak, "entries",
                             "went on sending a request that crashes servers");
    }
  for (unsigned i = 0; i < SOUND_KINDS; i++)
    check_sound (p, (SoundKind)i);
}

/* -------- running -------- */

static void
check_processes (WholePoison *p)
{
  Testbed *tb = p->soak->testbed;

  for (unsigned i = 0; i < ENTRIES; i++)
    soak_check_process (p->soak, &tb->entry_process[i]);
  for (unsigned i = 0; i < SERVERS; i++)
    soak_check_process (p->soak, &tb->server_process[i]);
}

static void
play (WholePoison *p)
{
  gint64 begin_ms = soak_now_ms () + USUAL_MS;
  gint64 quiet_ms = begin_ms + OTHERS_MS;
  gint64 end_ms = quiet_ms + QUIET_MS;
  bool quiet = false;

  p->crash_ms = begin_ms;
  p->kill_ms = begin_ms + g_rand_int_range (p->random, 0, KILL_GAP_MAX_MS);
  for (gint64 now_ms = 0; now_ms < end_ms; now_ms = soak_now_ms ())
    {
      bool others = now_ms >= begin_ms && now_ms < quiet_ms;

      g_atomic_int_set (&p->bad, now_ms >= begin_ms);
      g_atomic_int_set (&p->period, now_ms < begin_ms               ? SOUND_USUAL
                                    : now_ms >= end_ms - COUNTED_MS ? SOUND_AFTERWARDS
                                                                    : SOUND_BETWEEN);
      advance_crashes (p, others);
      advance_kills (p, others);
      if (now_ms >= quiet_ms && !quiet)
        {
          quiet = true;
          restart_entries (p);
        }
      check_processes (p);
      note_progress (p);
      g_usleep (SOAK_POLL_US);
    }
}

static void
play_under_callers (WholePoison *p)
{
  WholeCaller callers[CALLERS];
  GThread *threads[CALLERS];

  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i] = (WholeCaller){ p, i, g_rand_int (p->random) };
      threads[i] = g_thread_new ("whole", run_caller, &callers[i]);
    }
  play (p);
  g_atomic_int_set (&p->stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
}

static void
choose_request (WholePoison *p)
{
  static const char *const targets[] = { "/r/bad", "/r/bad", "/s/bad", "/o/bad" };

  p->target = targets[g_rand_int_range (p->random, 0, G_N_ELEMENTS (targets))];
  p->number = (unsigned)g_rand_int_range (p->random, 1, BODY_MAX);
  g_snprintf (p->body, sizeof p->body, "crash %u x", p->number);
}

void
soak_poison_whole (Soak *soak, uint32_t seed)
{
  WholePoison p = {
    .soak = soak,
    .random = g_rand_new_with_seed (seed),
    .crashes_before = recorded_by_all (soak, "crashes_whole"),
  };

  choose_request (&p);
  for (unsigned i = 0; i < SERVERS; i++)
    p.seen[i] = recorded (soak->testbed->server[i], "crashes");
  soak_log_event (soak, p.target, p.number);
  set_on_all (soak, "crash_ms",
              (uint64_t)g_rand_int_range (p.random, CRASH_MIN_MS, CRASH_MAX_MS));
  set_on_all (soak, "crash_body", p.number);
  play_under_callers (&p);
  set_on_all (soak, "crash_body", 0);
  check_phase (&p);
  g_rand_free (p.random);
}
