/* Callers of the soak: they send random requests and check each response. */
#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "soak.h"

#define CALL_PAUSE_US       30000
#define DEADLINE_MS         3500
#define EVENTS              10
#define SOUND_PARTS         8
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND    404

static const char *const targets[REQUEST_KINDS] = {
  [REQUEST_STREAM] = "/s/x",
  [REQUEST_SAFE] = "/r/x",
  [REQUEST_UNSAFE] = "/o/x",
  [REQUEST_PUBLIC] = "/p/x",
};

static void
check_success (Soak *soak, const SentRequest *req, const Response *r)
{
  char *expected
      = req->kind == REQUEST_STREAM ? events_text (1, EVENTS) : g_strdup ("done");
  char *seal = response_header (r, "X-Response-Seal");
  char *id = response_header (r, "X-Request-Id");

  if (seal == NULL)
    soak_report_violation (soak, req->id, "a success without a server's seal");
  if (id == NULL || strcmp (id, req->id) != 0)
    soak_report_violation (soak, req->id, "the response carries another request id");
  if (!g_str_has_prefix (expected, r->body))
    soak_report_violation (soak, req->id, "the body differs from the server's");
  if (r->complete && strcmp (expected, r->body) != 0)
    soak_report_violation (soak, req->id, "an incomplete body looks complete");
  g_free (expected);
  g_free (seal);
  g_free (id);
}

static void
check_response (Soak *soak, const SentRequest *req, const Response *r)
{
  char *seal;

  if (r->status == 200)
    check_success (soak, req, r);
  if (r->status == STATUS_NOT_FOUND
      || (r->status == STATUS_UNAUTHORIZED && !req->with_key2))
    soak_report_violation (soak, req->id, "denied what every configuration allows");
  if (r->status == 500)
    {
      seal = response_header (r, "X-Response-Seal");
      if (seal == NULL)
        soak_report_violation (soak, req->id, "a response 500 without a server's seal");
      g_free (seal);
    }
}

static void
call_once (SoakCaller *caller, GRand *random, CURL *curl, unsigned n)
{
  Soak *soak = caller->soak;
  SentRequest *req = g_new0 (SentRequest, 1);
  char parts[48];
  Call c;
  Response r;

  g_snprintf (parts, sizeof parts, "X-Prompt-Prefix: f1:40,a%d:100,e:10",
              g_rand_int_range (random, 0, SOUND_PARTS));
  req->id = g_strdup_printf ("s%u-%u", caller->number, n);
  req->kind = (RequestKind)g_rand_int_range (random, 0, REQUEST_KINDS);
  req->with_key2 = req->kind != REQUEST_PUBLIC && g_rand_int_range (random, 0, 3) == 0;
  c = (Call){
    .address = soak->testbed->via_entry[g_rand_int_range (random, 0, ENTRIES)],
    .target = targets[req->kind],
    .host = "x.example",
    .id = req->id,
    .key = req->kind == REQUEST_PUBLIC ? NULL
           : req->with_key2            ? "key2"
                                       : "key1",
    .deadline_ms = DEADLINE_MS,
    .header = parts,
    .body = req->kind == REQUEST_UNSAFE ? "x" : NULL,
    .disconnect_ms = g_rand_int_range (random, 0, 10) == 0 ? 300 : DEADLINE_MS + 2500,
    .curl = curl,
    .once = true,
  };
  req->sent_ms = soak_now_ms ();
  r = call (&c);
  req->done_ms = soak_now_ms ();
  req->status = r.status;
  check_response (soak, req, &r);
  g_mutex_lock (&soak->lock);
  g_ptr_array_add (soak->requests, req);
  soak->complete += r.status == 200 && r.complete;
  soak->refused += r.status == 503;
  g_mutex_unlock (&soak->lock);
  response_free (&r);
}

gpointer
soak_run_caller (gpointer data)
{
  SoakCaller *caller = data;
  GRand *random = g_rand_new_with_seed (caller->seed);
  CURL *curl = curl_easy_init ();

  for (unsigned n = 0; !g_atomic_int_get (&caller->soak->stop); n++)
    {
      call_once (caller, random, curl, n);
      g_usleep (CALL_PAUSE_US);
    }
  curl_easy_cleanup (curl);
  g_rand_free (random);
  return NULL;
}
