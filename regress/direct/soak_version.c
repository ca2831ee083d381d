/*
 * The soak's versions: several are named shortly after each other while servers let
 * streams wait, servers keep their old weights, entries and stagers are paused or
 * killed, and all are cut off from the store.  No stream may start on a version whose
 * time is over.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "kernel/kernel.h"
#include "soak.h"

#define SLOTS            16 /* of each server, so that many streams wait */
#define CALLERS          24
#define LIMIT_MS         8000 /* equals version_ms in the nodes' settings */
#define UNDISTURBED_MS   3000 /* an entry is held to its limits so long after a fault */
#define SERIES_GAP_MS    3000 /* between the first names of two series */
#define SERIES_MS        2000
#define SERIES           2
#define SERIES_MAX       3
#define CUT_MIN_MS       100
#define CUT_MAX_MS       1200
#define CUT_GAP_MAX_MS   1500
#define CUT_ONE_IN       3 /* so many phases has cuts */
#define CUTS_MAX         2
#define AFTER_MS         2500 /* goes on so long after the last limit */
#define QUEUE_MIN_MS     1000
#define QUEUE_MAX_MS     3000
#define QUEUE_GAP_MIN_MS 200
#define QUEUE_GAP_MAX_MS 1200
#define FAULT_MIN_MS     100
#define FAULT_MAX_MS     1500
#define FAULT_GAP_MIN_MS 2000
#define FAULT_GAP_MAX_MS 14000
#define SPOILT_CHUNKS    1000000 /* more than there are */
#define FREE_ONE_IN      4       /* so many phases has sound chunks */
#define STORE_PROXY      0
#define ID_ENTRY         2 /* where in an id the entry's number is: "ve0-3-17" */

/* A version and when the store had acknowledged it. */
typedef struct
{
  uint64_t version;
  gint64 named_ms;
} NamedVersion;

/* A time in which an entry was paused or not running. */
typedef struct
{
  unsigned entry;
  gint64 from_ms;
  gint64 until_ms;
} Disturbance;

/* An entry or a stager, and its faults. */
typedef struct
{
  Process *process;
  const char *name;
  bool paused; /* the fault; false: killed */
  bool away;   /* the fault is active */
  gint64 next_ms;
  gint64 since_ms;
} Victim;

#define VICTIMS (ENTRIES + MODEL_SERVERS)

/* Times are those of dl_clock_ms, as in the servers' records. */
typedef struct
{
  Soak *soak;
  GRand *random; /* of its own, so that the other phases of a seed stay the same */
  Victim victims[VICTIMS];
  bool kills;    /* not in all phases: an entry that starts takes versions for older */
  GArray *named; /* of NamedVersion, in order */
  GArray *disturbances; /* of Disturbance */
  gint64 names_ms[SERIES * SERIES_MAX];
  unsigned names;
  gint64 last_name_ms;
  gint64 cut_ms; /* when the store is cut off, or back */
  bool cut;
  unsigned cuts;     /* to come */
  gint64 cut_end_ms; /* the last one's */
  gint64 queue_ms[MODEL_SERVERS];
  gint stop; /* atomic */
  gint complete;
} Versions;

static gint64
now_ms (void)
{
  return (gint64)dl_clock_ms ();
}

static gint64
random_ms (Versions *v, gint32 least, gint32 most)
{
  return g_rand_int_range (v->random, least, most);
}

/* -------- callers -------- */

typedef struct
{
  Versions *versions;
  unsigned number;
  uint32_t seed;
} VersionCaller;

static bool
call_entry (void *data, GRand *random, CURL *curl, unsigned entry, unsigned n)
{
  const VersionCaller *caller = data;
  Versions *v = caller->versions;
  char *id = g_strdup_printf ("ve%u-%u-%u", entry, caller->number, n);
  Response r = soak_call_stream (v->soak, random, curl, entry, id);
  bool answered = r.status != 0;

  if (r.status == 200 && r.complete)
    g_atomic_int_inc (&v->complete);
  response_free (&r);
  g_free (id);
  return answered;
}

static gpointer
run_caller (gpointer data)
{
  VersionCaller *caller = data;

  soak_keep_calling (&(SoakKeptCalls){
      .number = caller->number,
      .seed = caller->seed,
      .stop = &caller->versions->stop,
      .send = call_entry,
      .data = caller,
  });
  return NULL;
}

/* -------- names and queues -------- */

static void
name_version (Versions *v)
{
  Soak *soak = v->soak;
  NamedVersion named;

  if (!testbed_announce_version (soak->testbed, soak->version + 1))
    {
      soak_report_violation (soak, "store", "accepts no version, though it is available");
      return;
    }
  named = (NamedVersion){ .version = ++soak->version, .named_ms = now_ms () };
  g_array_append_val (v->named, named);
  soak_log_event (soak, "versions: named", (unsigned)named.version);
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    set_fault (soak->testbed->server[i], "due_version", named.version);
}

static void
advance_names (Versions *v)
{
  if (v->names == 0 || now_ms () < v->names_ms[v->names - 1])
    return;
  v->names--;
  name_version (v);
}

static void
advance_queue (Versions *v, unsigned server)
{
  uint64_t queue_ms = 0;

  if (now_ms () < v->queue_ms[server])
    return;
  if (g_rand_int_range (v->random, 0, 6) > 0)
    queue_ms = (uint64_t)random_ms (v, QUEUE_MIN_MS, QUEUE_MAX_MS);
  set_fault (v->soak->testbed->server[server], "queue_ms", queue_ms);
  v->queue_ms[server] = now_ms () + random_ms (v, QUEUE_GAP_MIN_MS, QUEUE_GAP_MAX_MS);
}

/* -------- faults -------- */

/* The store is cut off while the first names come, or not at all: as the users say, a
 * limit counts from when all could read the store again. */
static void
advance_cut (Versions *v)
{
  Proxy *proxy = g_ptr_array_index (v->soak->testbed->proxies, STORE_PROXY);

  if (now_ms () < v->cut_ms || (!v->cut && v->cuts == 0))
    return;
  v->cut = !v->cut;
  v->cuts -= v->cut;
  soak_log_event (v->soak, "versions: store is cut off:", v->cut);
  proxy_set_mode (proxy, v->cut ? (ProxyMode)g_rand_int_range (v->random, PROXY_DELAY,
                                                               PROXY_MODES)
                                : PROXY_PASS);
  v->cut_end_ms = now_ms ();
  v->cut_ms = now_ms ()
              + (v->cut ? random_ms (v, CUT_MIN_MS, CUT_MAX_MS)
                        : random_ms (v, CUT_MIN_MS, CUT_GAP_MAX_MS));
}

static void
begin_fault (Versions *v, Victim *victim)
{
  victim->paused = !v->kills || g_rand_boolean (v->random);
  victim->away = true;
  victim->since_ms = now_ms ();
  victim->next_ms = now_ms () + random_ms (v, FAULT_MIN_MS, FAULT_MAX_MS);
  soak_log_event (v->soak, victim->name, victim->paused);
  if (victim->paused)
    kill (victim->process->pid, SIGSTOP);
  else
    process_end (victim->process, SIGKILL);
}

static void
end_fault (Versions *v, Victim *victim)
{
  size_t index = (size_t)(victim - v->victims);

  if (victim->paused)
    kill (victim->process->pid, SIGCONT);
  else
    process_start (victim->process);
  victim->away = false;
  victim->next_ms = now_ms () + random_ms (v, FAULT_GAP_MIN_MS, FAULT_GAP_MAX_MS);
  soak_log_event (v->soak, "versions: is back, process", (unsigned)index);
  if (index < ENTRIES)
    {
      Disturbance d = { (unsigned)index, victim->since_ms, now_ms () };

      g_array_append_val (v->disturbances, d);
    }
}

static void
advance_victim (Versions *v, Victim *victim)
{
  if (!victim->away)
    soak_check_process (v->soak, victim->process);
  if (now_ms () < victim->next_ms)
    return;
  if (victim->away)
    end_fault (v, victim);
  else
    begin_fault (v, victim);
}

/* -------- checks -------- */

static bool
was_disturbed (const Versions *v, unsigned entry, gint64 at_ms)
{
  for (guint i = 0; i < v->disturbances->len; i++)
    {
      const Disturbance *d = &g_array_index (v->disturbances, Disturbance, i);

      if (d->entry == entry && d->from_ms <= at_ms
          && at_ms < d->until_ms + UNDISTURBED_MS)
        return true;
    }
  return false;
}

/* By how much a stream that started on VERSION at AT_MS was too late; 0: it was not. */
static gint64
lateness_ms (const Versions *v, uint64_t version, gint64 at_ms)
{
  for (guint i = 0; i < v->named->len; i++)
    {
      const NamedVersion *n = &g_array_index (v->named, NamedVersion, i);
      gint64 limit_ms = MAX (n->named_ms, v->cut_end_ms) + LIMIT_MS;

      if (version < n->version && at_ms > limit_ms)
        return at_ms - limit_ms;
    }
  return 0;
}

static void
check_start (Versions *v, const char *server, const char *id, json_object *start)
{
  uint64_t version = json_object_get_uint64 (json_object_object_get (start, "version"));
  gint64 at_ms = json_object_get_int64 (json_object_object_get (start, "at_ms"));
  gint64 late_ms = lateness_ms (v, version, at_ms);
  Soak *soak = v->soak;

  if (late_ms == 0 || !g_str_has_prefix (id, "ve")
      || was_disturbed (v, (unsigned)(id[ID_ENTRY] - '0'), at_ms))
    return;
  g_string_append_printf (soak->history,
                          "  %6.2f s  %s started on version %u at %s, %u ms too late\n",
                          (double)(at_ms - now_ms () + soak_now_ms () - soak->start_ms)
                              / 1000.0,
                          id, (unsigned)version, server, (unsigned)late_ms);
  soak_report_violation (soak, id, "started on a version whose time was over");
}

static void
check_server (Versions *v, unsigned server)
{
  json_object *records = fetch_records (v->soak->testbed->server[server]);
  json_object *outdated = json_object_object_get (records, "outdated");

  if (outdated == NULL)
    {
      soak_report_violation (v->soak, "server", "has no records");
      return;
    }
  json_object_object_foreach (outdated, id, start)
    check_start (v, v->soak->testbed->server_process[server].name, id, start);
  json_object_put (records);
}

/* -------- running -------- */

static gint
compare_later_first (const void *a, const void *b)
{
  gint64 first = *(const gint64 *)a;
  gint64 second = *(const gint64 *)b;

  return first < second ? 1 : first > second ? -1 : 0;
}

/* Chooses when versions are named, from now on, in each series 1 to SERIES_MAX, and how
 * often the store is cut off. */
static void
plan_names (Versions *v)
{
  for (unsigned s = 0; s < SERIES; s++)
    {
      unsigned count = (unsigned)g_rand_int_range (v->random, 1, SERIES_MAX + 1);

      for (unsigned i = 0; i < count; i++)
        v->names_ms[v->names++]
            = now_ms () + s * SERIES_GAP_MS + random_ms (v, 0, SERIES_MS);
    }
  qsort (v->names_ms, v->names, sizeof v->names_ms[0], compare_later_first);
  v->last_name_ms = v->names_ms[0];
  if (g_rand_int_range (v->random, 0, CUT_ONE_IN) == 0)
    v->cuts = (unsigned)g_rand_int_range (v->random, 1, CUTS_MAX + 1);
  v->cut_ms = now_ms () + random_ms (v, 0, CUT_GAP_MAX_MS);
}

static void
plan_victims (Versions *v)
{
  static const char *const names[VICTIMS]
      = { "versions: entry 0, paused:", "versions: entry 1, paused:",
          "versions: stager 0, paused:", "versions: stager 1, paused:" };
  Testbed *tb = v->soak->testbed;

  for (unsigned i = 0; i < VICTIMS; i++)
    v->victims[i] = (Victim){
      .process = i < ENTRIES ? &tb->entry_process[i] : &tb->stager_process[i - ENTRIES],
      .name = names[i],
      .next_ms = now_ms () + random_ms (v, 0, FAULT_GAP_MAX_MS),
    };
}

static bool
is_over (const Versions *v)
{
  return v->names == 0 && !v->cut && v->cuts == 0
         && now_ms () > MAX (v->last_name_ms, v->cut_end_ms) + LIMIT_MS + AFTER_MS;
}

static void
play (Versions *v)
{
  while (!is_over (v))
    {
      advance_names (v);
      advance_cut (v);
      for (unsigned i = 0; i < MODEL_SERVERS; i++)
        advance_queue (v, i);
      for (unsigned i = 0; i < VICTIMS; i++)
        advance_victim (v, &v->victims[i]);
      for (unsigned i = 0; i < SERVERS; i++)
        soak_check_process (v->soak, &v->soak->testbed->server_process[i]);
      g_usleep (SOAK_POLL_US);
    }
  for (unsigned i = 0; i < VICTIMS; i++)
    if (v->victims[i].away)
      end_fault (v, &v->victims[i]);
}

static void
set_on_models (Soak *soak, const char *knob, uint64_t value)
{
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    set_fault (soak->testbed->server[i], knob, value);
}

/* In most phases all chunks come spoilt, so that the servers keep their weights. */
static void
hold_weights (Versions *v)
{
  if (g_rand_int_range (v->random, 0, FREE_ONE_IN) == 0)
    return;
  soak_log_event (v->soak, "versions: chunks are spoilt:", SPOILT_CHUNKS);
  set_fault (v->soak->testbed->origin, "corrupt", SPOILT_CHUNKS);
}

static void
play_under_callers (Versions *v)
{
  VersionCaller callers[CALLERS];
  GThread *threads[CALLERS];

  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i] = (VersionCaller){ v, i, g_rand_int (v->random) };
      threads[i] = g_thread_new ("versions", run_caller, &callers[i]);
    }
  play (v);
  g_atomic_int_set (&v->stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
}

void
soak_list_models (Soak *soak, unsigned slots)
{
  soak->testbed->slots = slots;
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    if (!testbed_list_server (soak->testbed, i, "ready"))
      soak_report_violation (soak, "store", "accepts no server, though it is available");
}

void
soak_name_versions (Soak *soak, uint32_t seed)
{
  Versions v = {
    .soak = soak,
    .random = g_rand_new_with_seed (seed),
    .named = g_array_new (FALSE, FALSE, sizeof (NamedVersion)),
    .disturbances = g_array_new (FALSE, FALSE, sizeof (Disturbance)),
  };

  v.kills = g_rand_boolean (v.random);
  plan_names (&v);
  plan_victims (&v);
  set_on_models (soak, "due_in_ms", LIMIT_MS);
  soak_list_models (soak, SLOTS);
  hold_weights (&v);
  play_under_callers (&v);
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    check_server (&v, i);
  if (v.complete == 0)
    soak_report_violation (soak, "entries", "served no stream beside new versions");
  soak_list_models (soak, 0);
  set_fault (soak->testbed->origin, "corrupt", 0);
  set_on_models (soak, "queue_ms", 0);
  set_on_models (soak, "due_version", 0);
  if (!eventually (requests_are_served, soak->testbed))
    soak_report_violation (soak, "entries", "do not serve after new versions");
  g_rand_free (v.random);
  g_array_free (v.named, TRUE);
  g_array_free (v.disturbances, TRUE);
}
