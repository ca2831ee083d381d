/*
 * Live callers in the background.  Each asks an entry for an address, sends its request
 * there and has the response checked.
 */
#include "load.h"

#include <inttypes.h>
#include <string.h>

#define RESPONSE_TIMEOUT_MS 60000
#define ADDRESS_TIMEOUT_MS  2000
#define ADDRESS_ATTEMPTS    12
#define RETRY_BACKOFF_MS    200
#define TOKENS_DEFAULT      20
#define RATE_DEFAULT        10
#define PREFIX_BYTES        256
#define ITERATION_MS        20

/* -------- making requests -------- */

static void request_start (Request *r);

static void
request_free (gpointer data)
{
  Request *r = data;

  if (r->call != NULL)
    http_free (r->load->scenario, r->call);
  g_free (r->tag);
  g_free (r->body);
  g_free (r->prompt);
  g_free (r->address);
  g_free (r);
}

static void
request_end (Request *r, LoadCounter outcome)
{
  Load *load = r->load;

  load_count (r, outcome);
  if (outcome == ANSWERED)
    load_record_times (r);
  if (load->keyed && outcome != ANSWERED && outcome != REJECTED
      && r->retries < load->retries)
    {
      r->retries++;
      r->attempts = 0;
      r->backoff_until_ms = scn_now_ms () + RETRY_BACKOFF_MS;
      http_free (load->scenario, r->call);
      r->call = NULL;
      return;
    }
  g_ptr_array_remove_fast (load->open, r);
}

/* Schedules another attempt with new addresses; the request has certainly
 * not been sent. */
static void
request_retry (Request *r)
{
  if (r->call != NULL)
    http_free (r->load->scenario, r->call);
  r->call = NULL;
  g_strfreev (r->load->addresses);
  r->load->addresses = NULL;
  if (++r->attempts < ADDRESS_ATTEMPTS)
    r->backoff_until_ms = scn_now_ms () + RETRY_BACKOFF_MS;
  else
    {
      r->load->counters[UNSERVED]++;
      g_ptr_array_remove_fast (r->load->open, r);
    }
}

static void
on_response (HttpCall *call, void *data)
{
  Request *r = data;
  LoadCounter outcome;

  if (call->code == CURLE_COULDNT_CONNECT)
    {
      r->load->counters[SENT]--; /* no connection, so it was not sent */
      load_outcomes (r->load->scenario, r->tag)->sent--;
      request_retry (r);
      return;
    }
  outcome = load_classify (r);
  if (outcome != ANSWERED && outcome != REFUSED && outcome != CUT_OFF)
    g_print ("%s: %s from %s: curl %d, status %ld: %.300s\n", load_counter_names[outcome],
             r->tag, r->address, (int)call->code, call->status, call->body->str);
  request_end (r, outcome);
}

static void
request_send (Request *r)
{
  Load *load = r->load;
  unsigned length = g_strv_length (load->addresses);
  char *headers[8] = { 0 };
  char *url;
  unsigned n = 0;

  g_free (r->address);
  r->address = g_strdup (
      load->addresses[g_rand_int_range (load->scenario->random, 0, (gint32)length)]);
  headers[n++] = g_strdup_printf ("X-Organisation: %s", load->organisation);
  headers[n++] = g_strdup ("Content-Type: application/json");
  if (load->priority != NULL)
    headers[n++] = g_strdup_printf ("X-Priority: %s", load->priority);
  if (load->keyed)
    headers[n++] = g_strdup_printf ("Idempotency-Key: %s", r->tag);
  url = load->method == NULL ? g_strdup_printf ("http://%s/v1/services/%s/generate",
                                                r->address, load->service)
                             : g_strdup_printf ("http://%s/v1/services/%s/call%s",
                                                r->address, load->service, load->path);
  load_count (r, SENT);
  r->call = http_start (load->scenario, load->method != NULL ? load->method : "POST", url,
                        headers, r->body, strlen (r->body), RESPONSE_TIMEOUT_MS,
                        on_response, r);
  for (unsigned i = 0; i < n; i++)
    g_free (headers[i]);
  g_free (url);
}

static void
store_addresses (Load *load, json_object *body)
{
  json_object *list = json_at (body, "addresses");
  json_object *keep = json_at (body, "keep_s");
  size_t length = list != NULL ? json_object_array_length (list) : 0;

  if (length == 0)
    return;
  load->addresses = g_new0 (char *, length + 1);
  for (size_t i = 0; i < length; i++)
    load->addresses[i]
        = g_strdup (json_object_get_string (json_object_array_get_idx (list, i)));
  load->keep_until_ms
      = scn_now_ms () + (keep != NULL ? json_object_get_uint64 (keep) : 1) * 1000;
}

static void
on_address (HttpCall *call, void *data)
{
  Request *r = data;
  Load *load = r->load;
  json_object *body = NULL;

  if (call->code == CURLE_OK && call->status == 200)
    body = json_tokener_parse (call->body->str);
  if (body != NULL)
    {
      g_strfreev (load->addresses);
      load->addresses = NULL;
      store_addresses (load, body);
      json_object_put (body);
    }
  if (body == NULL || load->addresses == NULL)
    {
      request_retry (r);
      return;
    }
  http_free (load->scenario, call);
  r->call = NULL;
  request_send (r);
}

/* Returns a random entry that has been started, whether or not it still runs: callers
 * know all entries, but not which of them are up.  NULL when there is none. */
static Process *
random_entry (Scenario *s)
{
  GPtrArray *entries = g_ptr_array_new ();
  Process *entry = NULL;

  for (unsigned i = 0; i < s->processes->len; i++)
    {
      Process *p = g_ptr_array_index (s->processes, i);

      if (p->kind == PROCESS_ENTRY && p->started)
        g_ptr_array_add (entries, p);
    }
  if (entries->len > 0)
    entry = g_ptr_array_index (entries,
                               g_rand_int_range (s->random, 0, (gint32)entries->len));
  g_ptr_array_free (entries, TRUE);
  return entry;
}

/* Sends the request, after asking an entry for addresses if none are known that may still
 * be used.  Racing copies always ask, each a random entry. */
static void
request_start (Request *r)
{
  Load *load = r->load;
  Process *entry;
  char *url;

  if (load->addresses != NULL && scn_now_ms () < load->keep_until_ms && load->racing <= 1)
    {
      request_send (r);
      return;
    }
  entry = random_entry (load->scenario);
  if (entry == NULL)
    {
      request_retry (r);
      return;
    }
  url = g_strdup_printf ("http://%s/v1/address?service=%s", entry->http, load->service);
  r->call = http_start (load->scenario, "GET", url, NULL, NULL, 0, ADDRESS_TIMEOUT_MS,
                        on_address, r);
  g_free (url);
}

static Request *
request_new (Load *load)
{
  Request *r = g_new0 (Request, 1);

  r->load = load;
  r->tag = g_strdup_printf ("%s-%" PRIu64, load->name, load->number);
  if (load->method != NULL)
    r->body = g_strdup (r->tag);
  else
    {
      char *prefix = g_strnfill (load->prefixes > 0 ? PREFIX_BYTES : 0,
                                 (char)('a' + load->number % MAX (load->prefixes, 1)));

      r->prompt = g_strdup_printf ("%s %s", prefix, r->tag);
      r->body = g_strdup_printf ("{\"prompt\": \"%s\", \"tokens\": %" PRIu64 "}",
                                 r->prompt, load->tokens);
      g_free (prefix);
    }
  g_ptr_array_add (load->open, r);
  return r;
}

static void
load_start_request (Load *load)
{
  load->number++;
  if (load->left != UINT64_MAX)
    load->left--;
  for (uint64_t i = 0; i < MAX (load->racing, 1); i++)
    request_start (request_new (load));
}

static void
load_retry_due (Load *load)
{
  for (unsigned i = load->open->len; i-- > 0;)
    {
      Request *r = g_ptr_array_index (load->open, i);

      if (r->backoff_until_ms == 0 || scn_now_ms () < r->backoff_until_ms)
        continue;
      r->backoff_until_ms = 0;
      request_start (r);
    }
}

void
load_iterate (Scenario *s)
{
  uint64_t now = (uint64_t)g_get_monotonic_time ();

  for (unsigned i = 0; i < s->loads->len; i++)
    {
      Load *load = g_ptr_array_index (s->loads, i);

      load_retry_due (load);
      while (!load->stopped && load->left > 0 && load->next_us <= now)
        {
          load_start_request (load);
          load->next_us += G_USEC_PER_SEC / load->rate_per_s;
        }
    }
}

int
load_wait_ms (Scenario *s, int limit)
{
  uint64_t now = (uint64_t)g_get_monotonic_time ();

  for (unsigned i = 0; i < s->loads->len; i++)
    {
      const Load *load = g_ptr_array_index (s->loads, i);

      if (!load->stopped && load->left > 0)
        limit = load->next_us <= now
                    ? 0
                    : MIN (limit, (int)MIN ((load->next_us - now) / 1000 + 1, 1000));
    }
  return limit;
}

/* -------- the statement -------- */

void
load_free (gpointer data)
{
  Load *load = data;

  g_ptr_array_free (load->open, TRUE);
  g_array_free (load->first_ms, TRUE);
  g_array_free (load->total_ms, TRUE);
  g_strfreev (load->addresses);
  g_free (load->name);
  g_free (load->service);
  g_free (load->method);
  g_free (load->path);
  g_free (load->organisation);
  g_free (load->priority);
  g_free (load);
}

/* load stop NAME: starts no more requests and waits for those that are open. */
static bool
load_stop (Scenario *s, const char *name)
{
  Load *load = load_find (s, name);
  uint64_t deadline = scn_now_ms () + RESPONSE_TIMEOUT_MS;

  if (load == NULL)
    return scn_fail (s, "no load is named %s", name);
  load->stopped = true;
  while (load->open->len > 0 && scn_now_ms () < deadline && !s->failed)
    scn_iterate (s, ITERATION_MS);
  load->counters[LOST] += load->open->len;
  return !s->failed;
}

static bool
load_option (Scenario *s, Load *load, const char *key, const char *value)
{
  const struct
  {
    const char *key;
    uint64_t *number;
    char **text;
  } options[] = {
    { "rate", &load->rate_per_s, NULL },  { "tokens", &load->tokens, NULL },
    { "count", &load->left, NULL },       { "prefixes", &load->prefixes, NULL },
    { "racing", &load->racing, NULL },    { "retries", &load->retries, NULL },
    { "org", NULL, &load->organisation }, { "priority", NULL, &load->priority },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (options); i++)
    {
      if (strcmp (options[i].key, key) != 0)
        continue;
      if (options[i].number != NULL)
        return scn_parse_uint (value, options[i].number)
               || scn_fail (s, "%s is not a number", value);
      g_free (*options[i].text);
      *options[i].text = g_strdup (value);
      return true;
    }
  return scn_fail (s, "unknown option of a load: %s", key);
}

static bool
load_options (Scenario *s, Load *load, char **words, unsigned length)
{
  for (unsigned i = 0; i < length; i++)
    if (strcmp (words[i], "keyed") == 0)
      load->keyed = true;
    else if (i + 1 == length)
      return scn_fail (s, "%s needs a value", words[i]);
    else if (strcmp (words[i], "call") == 0)
      {
        char **parts = g_strsplit (words[++i], " ", 2);

        load->method = g_strdup (parts[0]);
        load->path = g_strdup (parts[1] != NULL ? parts[1] : "/");
        g_strfreev (parts);
      }
    else if (!load_option (s, load, words[i], words[i + 1]))
      return false;
    else
      i++;
  if (load->rate_per_s == 0 || load->rate_per_s > G_USEC_PER_SEC)
    return scn_fail (s, "the rate of a load must be from 1 to 1000000");
  return true;
}

/* load NAME SERVICE [call "METHOD PATH"] [keyed] [rate N] [tokens N] [count N] ... */
bool
statement_load (Scenario *s, char **words, unsigned length)
{
  Load *load;

  if (strcmp (words[1], "stop") == 0)
    return load_stop (s, words[2]);
  if (load_find (s, words[1]) != NULL)
    return scn_fail (s, "duplicate load name: %s", words[1]);
  load = g_new0 (Load, 1);
  load->scenario = s;
  load->name = g_strdup (words[1]);
  load->service = g_strdup (words[2]);
  load->organisation = g_strdup ("istota");
  load->rate_per_s = RATE_DEFAULT;
  load->tokens = TOKENS_DEFAULT;
  load->left = UINT64_MAX;
  load->next_us = (uint64_t)g_get_monotonic_time ();
  load->open = g_ptr_array_new_with_free_func (request_free);
  load->first_ms = g_array_new (FALSE, FALSE, sizeof (double));
  load->total_ms = g_array_new (FALSE, FALSE, sizeof (double));
  g_ptr_array_add (s->loads, load);
  return load_options (s, load, words + 3, length - 3);
}
