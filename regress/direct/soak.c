/*
 * A soak: the real programs under random faults from outside, which overlap, while
 * callers press.  What callers were told is checked against what the stand-ins recorded.
 *
 * Faults: processes are killed, stopped as planned, suspended and started again;
 * connections are delayed, reset, silenced or cut one way; the store loses answers, is
 * away or hears nothing; servers cut, refuse, fail and garble; settings, servers and
 * versions change meanwhile.  Datagrams between nodes are not touched but by suspending
 * the nodes.
 */
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "direct.h"

#define CALLERS         6
#define FAULTS_AT_ONCE  3
#define FAULT_LEAST_MS  150
#define FAULT_MOST_MS   2500
#define TURN_US         20000
#define QUIET_MOST_MS   400 /* between the starts of two faults */
#define CALL_PAUSE_US   30000
#define DEADLINE_MS     3500
#define REVOKE_MS       3000 /* as the nodes' settings have it */
#define EVENTS          10
#define WRITE_TRIES     8
#define STATUS_DENIED_A 401
#define STATUS_DENIED_B 404

typedef enum
{
  SENT_STREAM,
  SENT_SAFE,
  SENT_ONCE,
  SENT_OPEN,
  SENT_KINDS,
} SentKind;

/* One request, and what its caller was told. */
typedef struct
{
  char *id;
  SentKind kind;
  bool with_key2;
  int status; /* 0: no answer */
  gint64 sent_ms;
  gint64 done_ms;
} Told;

/* A configuration that the store has acknowledged. */
typedef struct
{
  bool has_key2;
  gint64 begun_ms;
  gint64 done_ms;
} KeyChange;

typedef struct Soak Soak;

/* One kind of fault on one target. */
typedef struct
{
  const char *name;
  void (*start) (Soak *soak, unsigned index);
  void (*end) (Soak *soak, unsigned index);
  unsigned targets;
  /* Faults of one group do not strike one target at once. */
  char group;
} FaultKind;

typedef struct
{
  const FaultKind *kind;
  unsigned index;
  gint64 until_ms;
} Fault;

struct Soak
{
  World *world;
  GRand *random;
  GString *history; /* of faults, printed when a promise was broken */
  gint64 start_ms;
  GArray *faults;              /* of Fault, under way */
  GArray *keys;                /* of KeyChange */
  bool key2;                   /* the last configuration has it */
  bool stopped_early[ENTRIES]; /* the planned stop came before the process had started */
  uint64_t version;
  gint stop; /* atomic */
  GMutex lock;
  GPtrArray *told; /* of Told; under the lock, as the rest */
  unsigned broken;
  unsigned whole; /* answers */
  unsigned refused;
};

typedef struct
{
  Soak *soak;
  unsigned number;
  uint32_t seed;
} Caller;

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
break_promise (Soak *soak, const char *id, const char *what)
{
  g_mutex_lock (&soak->lock);
  soak->broken++;
  g_print ("soak: %s: %s\n", id, what);
  g_mutex_unlock (&soak->lock);
}

/* -------- callers -------- */

static const char *const targets[SENT_KINDS] = {
  [SENT_STREAM] = "/s/x",
  [SENT_SAFE] = "/r/x",
  [SENT_ONCE] = "/o/x",
  [SENT_OPEN] = "/p/x",
};

static char *
whole_stream (void)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 1; i <= EVENTS; i++)
    g_string_append_printf (text, "id: %u\ndata: event %u\n\n", i, i);
  return g_string_free (text, FALSE);
}

static void
check_success (Soak *soak, const Told *t, const Answer *a)
{
  char *expected = t->kind == SENT_STREAM ? whole_stream () : g_strdup ("done");
  char *seal = answer_header (a, "X-Response-Seal");
  char *id = answer_header (a, "X-Request-Id");

  if (seal == NULL)
    break_promise (soak, t->id, "a success without the server's seal");
  if (id == NULL || strcmp (id, t->id) != 0)
    break_promise (soak, t->id, "the answer of another request");
  if (!g_str_has_prefix (expected, a->body))
    break_promise (soak, t->id, "a body that is not the server's");
  if (a->whole && strcmp (expected, a->body) != 0)
    break_promise (soak, t->id, "a part of the body looks whole");
  g_free (expected);
  g_free (seal);
  g_free (id);
}

static void
check_answer (Soak *soak, const Told *t, const Answer *a)
{
  char *seal;

  if (a->status == 200)
    check_success (soak, t, a);
  if (a->status == STATUS_DENIED_B || (a->status == STATUS_DENIED_A && !t->with_key2))
    break_promise (soak, t->id, "denied what every configuration allows");
  if (a->status == 500)
    {
      seal = answer_header (a, "X-Response-Seal");
      if (seal == NULL)
        break_promise (soak, t->id, "a failure 500 that is no server's");
      g_free (seal);
    }
}

static void
call_once (Caller *caller, GRand *random, CURL *kept, unsigned n)
{
  Soak *soak = caller->soak;
  Told *t = g_new0 (Told, 1);
  Call c;
  Answer a;

  t->id = g_strdup_printf ("s%u-%u", caller->number, n);
  t->kind = (SentKind)g_rand_int_range (random, 0, SENT_KINDS);
  t->with_key2 = t->kind != SENT_OPEN && g_rand_int_range (random, 0, 3) == 0;
  c = (Call){
    .address = soak->world->via_entry[g_rand_int_range (random, 0, ENTRIES)],
    .target = targets[t->kind],
    .host = "x.example",
    .id = t->id,
    .key = t->kind == SENT_OPEN ? NULL
           : t->with_key2       ? "key2"
                                : "key1",
    .deadline_ms = DEADLINE_MS,
    .body = t->kind == SENT_ONCE ? "x" : NULL,
    .leave_ms = g_rand_int_range (random, 0, 10) == 0 ? 300 : DEADLINE_MS + 2500,
    /* The library sends again by itself on a connection that it kept. */
    .kept = t->kind == SENT_ONCE ? NULL : kept,
  };
  t->sent_ms = now_ms ();
  a = call (&c);
  t->done_ms = now_ms ();
  t->status = a.status;
  check_answer (soak, t, &a);
  g_mutex_lock (&soak->lock);
  g_ptr_array_add (soak->told, t);
  soak->whole += a.status == 200 && a.whole;
  soak->refused += a.status == 503;
  g_mutex_unlock (&soak->lock);
  answer_free (&a);
}

static gpointer
run_caller (gpointer data)
{
  Caller *caller = data;
  GRand *random = g_rand_new_with_seed (caller->seed);
  CURL *kept = curl_easy_init ();

  for (unsigned n = 0; !g_atomic_int_get (&caller->soak->stop); n++)
    {
      call_once (caller, random, kept, n);
      g_usleep (CALL_PAUSE_US);
    }
  curl_easy_cleanup (kept);
  g_rand_free (random);
  return NULL;
}

/* -------- faults of processes -------- */

static Process *
find_process (World *w, unsigned index)
{
  if (index < ENTRIES)
    return &w->entry_process[index];
  index -= ENTRIES;
  if (index < SERVERS - 1)
    return &w->stager_process[index];
  index -= SERVERS - 1;
  /* The plain server, whose records tell what ran once, stays up. */
  return &w->server_process[index];
}

/* What an engine recorded would be lost with its process. */
static void
check_engine (Soak *soak, unsigned server)
{
  World *w = soak->world;

  if (recorded (w->server[server], "mixed") > 0)
    break_promise (soak, w->server_process[server].name,
                   "took weights that are not whole");
  if (recorded (w->server[server], "keys_seen") > 0)
    break_promise (soak, w->server_process[server].name, "was shown a caller's key");
}

static void
kill_process (Soak *soak, unsigned index)
{
  if (index >= ENTRIES + SERVERS - 1)
    check_engine (soak, index - (ENTRIES + SERVERS - 1));
  process_end (find_process (soak->world, index), SIGKILL);
}

static void
start_process (Soak *soak, unsigned index)
{
  process_start (find_process (soak->world, index));
}

/* True when the process has said that it started, so that it handles signals. */
static bool
has_started (const Process *p)
{
  char *text = NULL;
  const char *start;
  bool started;

  g_file_get_contents (p->log, &text, NULL, NULL);
  start = text != NULL ? g_strrstr (text, PROCESS_LOG_MARK) : NULL;
  started = start != NULL && strstr (start, "\"event\":100,") != NULL;
  g_free (text);
  return started;
}

static void
stop_entry (Soak *soak, unsigned index)
{
  Process *p = &soak->world->entry_process[index];

  soak->stopped_early[index] = !has_started (p);
  kill (p->pid, SIGTERM);
}

/* A planned stop ends well, and in its time; one that came before the process could
 * handle it ends it as it is. */
static void
restart_entry (Soak *soak, unsigned index)
{
  Process *p = &soak->world->entry_process[index];
  int status = process_end (p, 0);
  bool good = status != -1 && WIFEXITED (status) && WEXITSTATUS (status) == 0;
  bool early = status != -1 && soak->stopped_early[index] && WIFSIGNALED (status)
               && WTERMSIG (status) == SIGTERM;

  if (!good && !early)
    break_promise (soak, p->name, "did not end well after a planned stop");
  process_start (p);
}

static void
suspend_process (Soak *soak, unsigned index)
{
  kill (find_process (soak->world, index)->pid, SIGSTOP);
}

static void
resume_process (Soak *soak, unsigned index)
{
  kill (find_process (soak->world, index)->pid, SIGCONT);
}

static void
suspend_store (Soak *soak, unsigned index)
{
  kill (soak->world->store_process.pid, SIGSTOP);
}

static void
resume_store (Soak *soak, unsigned index)
{
  kill (soak->world->store_process.pid, SIGCONT);
}

/* -------- faults of connections -------- */

static Proxy *
find_proxy (Soak *soak, unsigned index)
{
  return g_ptr_array_index (soak->world->proxies, index);
}

static void
disturb_proxy (Soak *soak, unsigned index)
{
  proxy_set_mode (find_proxy (soak, index),
                  (ProxyMode)g_rand_int_range (soak->random, PROXY_DELAY, PROXY_MODES));
}

static void
heal_proxy (Soak *soak, unsigned index)
{
  proxy_set_mode (find_proxy (soak, index), PROXY_PASS);
}

static void
reset_proxy (Soak *soak, unsigned index)
{
  proxy_reset (find_proxy (soak, index));
}

static void
silence_proxy (Soak *soak, unsigned index)
{
  proxy_silence (find_proxy (soak, index));
}

/* -------- faults of stand-ins -------- */

typedef struct
{
  const char *knob;
  uint64_t value;
  uint64_t healed;
} Knob;

static const Knob store_knobs[] = {
  { "outage", 1, 0 }, { "outage", 2, 0 },     { "outage", 3, 0 },
  { "deaf", 1, 0 },   { "history", 1, 1000 },
};

static void
disturb_store (Soak *soak, unsigned index)
{
  set_fault (soak->world->store, store_knobs[index].knob, store_knobs[index].value);
}

static void
heal_store (Soak *soak, unsigned index)
{
  set_fault (soak->world->store, store_knobs[index].knob, store_knobs[index].healed);
}

static void
lose_writes (Soak *soak, unsigned index)
{
  set_fault (soak->world->store, "lose_writes", 2);
}

static const char *const server_knobs[]
    = { "cut",     "cut_resumed", "shed",   "fail", "lose",
        "foreign", "unsealed",    "silent", "rot" };

static void
disturb_server (Soak *soak, unsigned index)
{
  unsigned knob
      = (unsigned)g_rand_int_range (soak->random, 0, G_N_ELEMENTS (server_knobs));

  set_fault (soak->world->server[index], server_knobs[knob],
             (uint64_t)g_rand_int_range (soak->random, 1, 5));
}

static void
spoil_origin (Soak *soak, unsigned index)
{
  set_fault (soak->world->origin, "corrupt", 2);
}

static void
do_nothing (Soak *soak, unsigned index)
{
}

/* -------- changes -------- */

/* Takes the second key away, or gives it back. */
static void
change_configuration (Soak *soak, unsigned index)
{
  KeyChange change = { .has_key2 = !soak->key2, .begun_ms = now_ms () };
  bool done = world_configure (soak->world, soak->key2);

  change.done_ms = now_ms ();
  if (done)
    soak->key2 = change.has_key2;
  /* Without an answer the key may be there again, and is not surely gone. */
  if (done || change.has_key2)
    g_array_append_val (soak->keys, change);
}

static void
drain_server (Soak *soak, unsigned index)
{
  world_list_server (soak->world, index, "draining");
}

/* Answers to the runner may be lost too, a bounded number of times. */
static void
list_server (Soak *soak, unsigned index)
{
  for (unsigned i = 0; i < WRITE_TRIES; i++)
    if (world_list_server (soak->world, index, "ready"))
      return;
  break_promise (soak, "store", "does not take an entry, though it is well");
}

static void
name_version (Soak *soak, unsigned index)
{
  if (world_name_version (soak->world, soak->version + 1))
    soak->version++;
}

#define PROCESSES (ENTRIES + 2 * (SERVERS - 1))
#define PROXIES   (2 + SERVERS + ENTRIES)
/* Servers of which one may leave: of those with engines. */
#define LEAVING 1

static const FaultKind kinds[] = {
  { "kill", kill_process, start_process, PROCESSES, 'p' },
  { "planned stop", stop_entry, restart_entry, ENTRIES, 'p' },
  { "suspend", suspend_process, resume_process, PROCESSES, 'p' },
  { "suspend the store", suspend_store, resume_store, 1, 's' },
  { "disturb proxy", disturb_proxy, heal_proxy, PROXIES, 'x' },
  { "reset proxy", reset_proxy, do_nothing, PROXIES, 'r' },
  { "silence proxy", silence_proxy, do_nothing, PROXIES, 'r' },
  { "disturb store", disturb_store, heal_store, G_N_ELEMENTS (store_knobs), 'k' },
  { "lose writes", lose_writes, do_nothing, 1, 'l' },
  { "disturb server", disturb_server, do_nothing, SERVERS, 'v' },
  { "spoil origin", spoil_origin, do_nothing, 1, 'o' },
  { "change configuration", change_configuration, do_nothing, 1, 'c' },
  { "drain server", drain_server, list_server, LEAVING, 'd' },
  { "name version", name_version, do_nothing, 1, 'n' },
};

static bool
is_struck (const Soak *soak, const FaultKind *kind, unsigned index)
{
  for (guint i = 0; i < soak->faults->len; i++)
    {
      const Fault *f = &g_array_index (soak->faults, Fault, i);

      if (f->kind->group == kind->group && f->index == index)
        return true;
    }
  return false;
}

static bool
is_under_way (const Soak *soak, char group)
{
  for (guint i = 0; i < soak->faults->len; i++)
    if (g_array_index (soak->faults, Fault, i).kind->group == group)
      return true;
  return false;
}

/* While the store is suspended the runner cannot set its faults, and while it is away the
 * runner cannot change its objects. */
static bool
can_act (const Soak *soak, const FaultKind *kind)
{
  bool suspended = is_under_way (soak, 's');

  if (strchr ("kl", kind->group) != NULL)
    return !suspended;
  if (strchr ("cdn", kind->group) != NULL)
    return !suspended && !is_under_way (soak, 'k');
  return true;
}

static void
note (Soak *soak, const char *what, const Fault *f)
{
  g_string_append_printf (soak->history, "  %6.2f s  %s: %s %u\n",
                          (double)(now_ms () - soak->start_ms) / 1000.0, what,
                          f->kind->name, f->index);
}

static void
start_fault (Soak *soak)
{
  const FaultKind *kind
      = &kinds[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (kinds))];
  Fault fault = {
    .kind = kind,
    .index = (unsigned)g_rand_int_range (soak->random, 0, (gint32)kind->targets),
    .until_ms
    = now_ms () + g_rand_int_range (soak->random, FAULT_LEAST_MS, FAULT_MOST_MS),
  };

  if (is_struck (soak, kind, fault.index) || !can_act (soak, kind))
    return;
  note (soak, "begins", &fault);
  kind->start (soak, fault.index);
  g_array_append_val (soak->faults, fault);
}

/* Ends those that are due by NOW, the last one first. */
static void
end_faults (Soak *soak, gint64 now)
{
  for (guint i = soak->faults->len; i-- > 0;)
    {
      Fault f = g_array_index (soak->faults, Fault, i);

      if (f.until_ms > now || !can_act (soak, f.kind))
        continue;
      g_array_remove_index (soak->faults, i);
      note (soak, "ends", &f);
      f.kind->end (soak, f.index);
    }
}

/* A process that nobody ended has ended. */
static void
check_process (Soak *soak, Process *p)
{
  int status;

  if (p->pid <= 0 || waitpid (p->pid, &status, WNOHANG) != p->pid)
    return;
  p->pid = 0;
  break_promise (soak, p->name, "ended by itself");
  process_start (p);
}

static void
check_processes (Soak *soak)
{
  for (unsigned i = 0; i < PROCESSES; i++)
    if (!is_struck (soak, &kinds[0], i))
      check_process (soak, find_process (soak->world, i));
}

/* -------- afterwards -------- */

static bool
are_served (World *w)
{
  bool served = true;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Call c = request (w, "/r/x", "afterwards");
      Answer a;

      c.address = w->via_entry[i];
      a = call (&c);
      served = served && a.status == 200;
      answer_free (&a);
    }
  return served;
}

static uint64_t final_version;

static bool
serve_final_version (World *w)
{
  for (unsigned i = 0; i < SERVERS - 1; i++)
    if (recorded (w->server[i], "version") != final_version)
      return false;
  return true;
}

/* Everything works again, and the newest version gets everywhere. */
static void
check_recovery (Soak *soak)
{
  World *w = soak->world;

  if (!eventually (are_served, w))
    break_promise (soak, "entries", "do not serve after the last fault");
  final_version = ++soak->version;
  set_fault (w->store, "lose_writes", 0);
  if (!world_name_version (w, final_version) || !eventually (serve_final_version, w))
    break_promise (soak, "servers", "do not get the newest version");
  for (unsigned i = 0; i < SERVERS - 1; i++)
    check_engine (soak, i);
}

/* True when a configuration without the second key had been acknowledged for so long
 * before the request came that it must not run, and none gave the key back. */
static bool
is_revoked (const Soak *soak, const Told *t)
{
  bool revoked = false;

  for (guint i = 0; i < soak->keys->len; i++)
    {
      const KeyChange *k = &g_array_index (soak->keys, KeyChange, i);

      if (k->has_key2 && k->begun_ms <= t->done_ms)
        revoked = false;
      else if (!k->has_key2 && k->done_ms + REVOKE_MS < t->sent_ms)
        revoked = true;
    }
  return revoked;
}

static uint64_t
runs_in (json_object *records, const char *id)
{
  json_object *runs = json_object_object_get (records, "runs");

  return json_object_get_uint64 (json_object_object_get (runs, id));
}

/* What the plain server, which was up all the time, ran. */
static void
check_told (Soak *soak)
{
  json_object *plain = records (soak->world->server[SERVERS - 1]);

  for (guint i = 0; i < soak->told->len; i++)
    {
      const Told *t = g_ptr_array_index (soak->told, i);
      uint64_t runs = runs_in (plain, t->id);

      if (t->kind == SENT_ONCE && runs > 1)
        break_promise (soak, t->id, "ran more than once");
      if (t->kind == SENT_ONCE && runs > 0 && (t->status == 503 || t->status == 429))
        break_promise (soak, t->id, "was refused and has run");
      if (t->with_key2 && (runs > 0 || t->status == 200) && is_revoked (soak, t))
        break_promise (soak, t->id, "ran after its key was taken away");
    }
  if (plain == NULL)
    break_promise (soak, "plain server", "has no records");
  json_object_put (plain);
}

static void
free_told (gpointer data)
{
  g_free (((Told *)data)->id);
  g_free (data);
}

static void
press (Soak *soak, unsigned seconds)
{
  gint64 end = now_ms () + (gint64)seconds * 1000;
  gint64 next = now_ms ();

  while (now_ms () < end)
    {
      end_faults (soak, now_ms ());
      check_processes (soak);
      if (now_ms () >= next && soak->faults->len < FAULTS_AT_ONCE)
        {
          start_fault (soak);
          next = now_ms () + g_rand_int_range (soak->random, 0, QUIET_MOST_MS);
        }
      g_usleep (TURN_US);
    }
  while (soak->faults->len > 0)
    end_faults (soak, G_MAXINT64);
}

unsigned
soak_run (World *world, uint32_t seed, unsigned seconds)
{
  Soak soak = {
    .world = world,
    .random = g_rand_new_with_seed (seed),
    .history = g_string_new (NULL),
    .start_ms = now_ms (),
    .faults = g_array_new (FALSE, FALSE, sizeof (Fault)),
    .keys = g_array_new (FALSE, FALSE, sizeof (KeyChange)),
    .key2 = true,
    .version = 1,
    .told = g_ptr_array_new_with_free_func (free_told),
  };
  Caller callers[CALLERS];
  GThread *threads[CALLERS];

  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i] = (Caller){ &soak, i, g_rand_int (soak.random) };
      threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
    }
  press (&soak, seconds);
  g_atomic_int_set (&soak.stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  check_recovery (&soak);
  check_told (&soak);
  if (soak.whole == 0)
    break_promise (&soak, "callers", "nothing was served");
  g_print ("soak: seed %u: %u requests, %u served, %u refused\n", seed, soak.told->len,
           soak.whole, soak.refused);
  if (soak.broken > 0)
    g_print ("%s", soak.history->str);
  g_rand_free (soak.random);
  g_string_free (soak.history, TRUE);
  g_array_free (soak.faults, TRUE);
  g_array_free (soak.keys, TRUE);
  g_ptr_array_free (soak.told, TRUE);
  return soak.broken;
}
