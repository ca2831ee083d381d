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
#include "soak.h"

#include <glib.h>
#include <string.h>

#define REVOKE_MS 3000 /* as the nodes' settings have it */

gint64
soak_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

void
soak_break_promise (Soak *soak, const char *who, const char *what)
{
  g_mutex_lock (&soak->lock);
  soak->broken++;
  g_print ("soak: %s: %s\n", who, what);
  g_mutex_unlock (&soak->lock);
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
    soak_break_promise (soak, "entries", "do not serve after the last fault");
  final_version = ++soak->version;
  set_fault (w->store, "lose_writes", 0);
  if (!world_name_version (w, final_version) || !eventually (serve_final_version, w))
    soak_break_promise (soak, "servers", "do not get the newest version");
  for (unsigned i = 0; i < SERVERS - 1; i++)
    soak_check_engine (soak, i);
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
        soak_break_promise (soak, t->id, "ran more than once");
      if (t->kind == SENT_ONCE && runs > 0 && (t->status == 503 || t->status == 429))
        soak_break_promise (soak, t->id, "was refused and has run");
      if (t->with_key2 && (runs > 0 || t->status == 200) && is_revoked (soak, t))
        soak_break_promise (soak, t->id, "ran after its key was taken away");
    }
  if (plain == NULL)
    soak_break_promise (soak, "plain server", "has no records");
  json_object_put (plain);
}

static void
free_told (gpointer data)
{
  g_free (((Told *)data)->id);
  g_free (data);
}

unsigned
soak_run (World *world, uint32_t seed, unsigned seconds)
{
  Soak soak = {
    .world = world,
    .random = g_rand_new_with_seed (seed),
    .history = g_string_new (NULL),
    .start_ms = soak_now_ms (),
    .faults = g_array_new (FALSE, FALSE, sizeof (Fault)),
    .keys = g_array_new (FALSE, FALSE, sizeof (KeyChange)),
    .key2 = true,
    .version = 1,
    .told = g_ptr_array_new_with_free_func (free_told),
  };
  SoakCaller callers[SOAK_CALLERS];
  GThread *threads[SOAK_CALLERS];

  for (unsigned i = 0; i < SOAK_CALLERS; i++)
    {
      callers[i] = (SoakCaller){ &soak, i, g_rand_int (soak.random) };
      threads[i] = g_thread_new ("caller", soak_run_caller, &callers[i]);
    }
  soak_press (&soak, seconds);
  g_atomic_int_set (&soak.stop, 1);
  for (unsigned i = 0; i < SOAK_CALLERS; i++)
    g_thread_join (threads[i]);
  check_recovery (&soak);
  check_told (&soak);
  if (soak.whole == 0)
    soak_break_promise (&soak, "callers", "nothing was served");
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
