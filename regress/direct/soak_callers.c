/* Callers of the soak: random requests, and what each answer has to be. */
#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "soak.h"

#define CALL_PAUSE_US       30000
#define DEADLINE_MS         3500
#define EVENTS              10
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND    404

static const char *const targets[SENT_KINDS] = {
  [SENT_STREAM] = "/s/x",
  [SENT_SAFE] = "/r/x",
  [SENT_ONCE] = "/o/x",
  [SENT_OPEN] = "/p/x",
};

static void
check_success (Soak *soak, const Told *t, const Answer *a)
{
  char *expected = t->kind == SENT_STREAM ? events_text (1, EVENTS) : g_strdup ("done");
  char *seal = answer_header (a, "X-Response-Seal");
  char *id = answer_header (a, "X-Request-Id");

  if (seal == NULL)
    soak_break_promise (soak, t->id, "a success without the server's seal");
  if (id == NULL || strcmp (id, t->id) != 0)
    soak_break_promise (soak, t->id, "the answer of another request");
  if (!g_str_has_prefix (expected, a->body))
    soak_break_promise (soak, t->id, "a body that is not the server's");
  if (a->whole && strcmp (expected, a->body) != 0)
    soak_break_promise (soak, t->id, "a part of the body looks whole");
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
  if (a->status == STATUS_NOT_FOUND
      || (a->status == STATUS_UNAUTHORIZED && !t->with_key2))
    soak_break_promise (soak, t->id, "denied what every configuration allows");
  if (a->status == 500)
    {
      seal = answer_header (a, "X-Response-Seal");
      if (seal == NULL)
        soak_break_promise (soak, t->id, "a failure 500 that is no server's");
      g_free (seal);
    }
}

static void
call_once (SoakCaller *caller, GRand *random, CURL *kept, unsigned n)
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
  t->sent_ms = soak_now_ms ();
  a = call (&c);
  t->done_ms = soak_now_ms ();
  t->status = a.status;
  check_answer (soak, t, &a);
  g_mutex_lock (&soak->lock);
  g_ptr_array_add (soak->told, t);
  soak->whole += a.status == 200 && a.whole;
  soak->refused += a.status == 503;
  g_mutex_unlock (&soak->lock);
  answer_free (&a);
}

gpointer
soak_run_caller (gpointer data)
{
  SoakCaller *caller = data;
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
