/*
 * The load generator.  Requests arrive in a Poisson process, whether or not earlier ones
 * have ended.  Delays count from the scheduled arrival, so that a slow system cannot
 * lower the load or hide its own delay.
 */
#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "daisybench.h"
#include "kernel/error.h"
#include "kernel/http_client.h"
#include "kernel/kernel.h"

#define TICK_MS                 1
#define ADDRESS_TIMEOUT_MS      2000
#define ADDRESS_RETRY_MS        500
#define CALL_TIMEOUT_MS         120000
#define MICROSECONDS_PER_SECOND 1e6
#define MS_PER_S                1000
#define HTTP_OK                 200
#define HTTP_TOO_MANY           429
#define HTTP_UNAVAILABLE        503
#define BODY_MAX_BYTES          512
#define PREFIX_BYTES            256

typedef struct
{
  DlTask *task;
  const LoadOptions *options;
  LoadResults *results;
  DlHttpClient *http;
  GRand *random;
  char **addresses; /* where to send requests; NULL before the first response */
  unsigned entry;   /* the entry to ask next; index modulo the number of entries */
  uint64_t started_us;
  uint64_t next_arrival_us;
  uint64_t open;          /* requests that have not ended */
  uint64_t request_count; /* requests sent so far */
  bool arrivals_done;
} Load;

typedef struct
{
  Load *load;
  uint64_t arrived_us;
  uint64_t first_us; /* when the response head arrived; 0: not yet */
  unsigned status;
  uint64_t tokens;
  bool done;        /* the stream's last line has arrived */
  bool cut_off;     /* the stream said that it was cut off */
  DlBuffer *buffer; /* the unfinished line of a stream, or the start of another body */
} Request;

/* Arguments and error of load_run(), kept here because load_start() gets no data. */
static struct
{
  const LoadOptions *options;
  LoadResults *results;
  int error;
} run_state;

static bool
is_generating (const Load *load)
{
  return load->options->call == NULL;
}

/* -------- responses -------- */

/* Only the system and the engine write these lines, so a prefix identifies their type. */
static void
parse_line (Request *r, DlStr line)
{
  if (dl_str_has_prefix (line, DL_STR_LITERAL ("{\"token\":")))
    r->tokens++;
  else if (dl_str_has_prefix (line, DL_STR_LITERAL ("{\"done\":")))
    r->done = true;
  else if (dl_str_has_prefix (line, DL_STR_LITERAL ("{\"cut_off\":")))
    r->cut_off = true;
}

static void
parse_stream (Request *r, DlStr bytes)
{
  while (bytes.length > 0)
    {
      const char *end = memchr (bytes.data, '\n', bytes.length);
      size_t n = end != NULL ? (size_t)(end - bytes.data) + 1 : bytes.length;

      dl_buffer_append (r->buffer, bytes.data, n);
      bytes = dl_str_bytes (bytes.data + n, bytes.length - n);
      if (end == NULL)
        return;
      parse_line (r, dl_buffer_view (r->buffer));
      dl_buffer_clear (r->buffer);
    }
}

static void
on_head (DlHttpCall *call, unsigned status, void *data)
{
  Request *r = data;

  r->status = status;
  r->first_us = dl_clock_us ();
}

static void
on_data (DlHttpCall *call, DlStr bytes, void *data)
{
  Request *r = data;

  if (r->status == HTTP_OK && is_generating (r->load))
    parse_stream (r, bytes);
  else if (r->buffer->length < BODY_MAX_BYTES)
    dl_buffer_append (r->buffer, bytes.data, MIN (bytes.length, BODY_MAX_BYTES));
}

static bool
body_contains (const Request *r, const char *text)
{
  DlStr view = dl_buffer_view (r->buffer);

  return view.length > 0 && memmem (view.data, view.length, text, strlen (text)) != NULL;
}

static LoadOutcome
error_outcome (const Request *r)
{
  if (r->status == HTTP_TOO_MANY || r->status == HTTP_UNAVAILABLE)
    return LOAD_REFUSED;
  if (body_contains (r, "\"unknown\""))
    return LOAD_UNKNOWN;
  return LOAD_INVALID;
}

static LoadOutcome
request_outcome (const Request *r, const DlHttpResult *result)
{
  if (result->error != 0 && !result->sent)
    return LOAD_UNREACHED;
  if (result->error != 0 && r->first_us == 0)
    return LOAD_UNKNOWN;
  if (r->status != HTTP_OK)
    return error_outcome (r);
  if (result->error != 0 || r->cut_off)
    return LOAD_CUT_OFF;
  if (is_generating (r->load) && (!r->done || r->tokens != r->load->options->tokens))
    return LOAD_CUT_OFF;
  return LOAD_ANSWERED;
}

static void
add_sample (GArray *samples, uint64_t from_us, uint64_t to_us)
{
  uint64_t delay_us = to_us - from_us;

  g_array_append_val (samples, delay_us);
}

static void
stop_when_idle (Load *load)
{
  if (!load->arrivals_done || load->open > 0)
    return;
  load->results->elapsed_s
      = (double)(dl_clock_us () - load->started_us) / MICROSECONDS_PER_SECOND;
  dl_kernel_stop (dl_task_kernel (load->task));
}

static void
on_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Request *r = data;
  Load *load = r->load;
  LoadResults *f = load->results;
  LoadOutcome outcome = request_outcome (r, result);
  uint64_t now_us = dl_clock_us ();

  f->counts[outcome]++;
  if (outcome == LOAD_ANSWERED)
    {
      f->tokens += r->tokens;
      add_sample (f->first_us, r->arrived_us, r->first_us);
      add_sample (f->total_us, r->arrived_us, now_us);
    }
  else if (outcome == LOAD_REFUSED)
    add_sample (f->refusal_us, r->arrived_us, now_us);
  load->open--;
  talloc_free (r);
  stop_when_idle (load);
}

/* -------- requests -------- */

/* Returns a prompt that is unique after the prefix that it may share with others. */
static char *
make_prompt (const void *context, Load *load)
{
  const LoadOptions *o = load->options;
  GString *prompt = g_string_new (NULL);
  char *copy;

  if (o->prefixes > 0)
    {
      g_string_printf (prompt, "prefix %" PRIu64 " ",
                       (uint64_t)g_rand_int (load->random) % o->prefixes);
      while (prompt->len < PREFIX_BYTES)
        g_string_append_c (prompt, '.');
    }
  g_string_append_printf (prompt, "%" PRIu64 "-%" PRIu64, o->seed, load->request_count);
  while (prompt->len < o->prompt_bytes)
    g_string_append_c (prompt, '.');
  copy = talloc_strdup (context, prompt->str);
  g_string_free (prompt, TRUE);
  return copy;
}

static const char *
pick_address (Load *load)
{
  guint count;

  if (load->options->direct != NULL)
    return load->options->direct;
  count = g_strv_length (load->addresses);
  return load->addresses[g_rand_int_range (load->random, 0, (gint32)count)];
}

static char *
make_url (const void *context, Load *load, const char **method)
{
  const LoadOptions *o = load->options;
  const char *address = pick_address (load);
  const char *path = o->call != NULL ? strchr (o->call, ' ') + 1 : NULL;

  *method = "POST";
  if (o->call != NULL)
    *method = talloc_strndup (context, o->call, strcspn (o->call, " "));
  if (o->direct != NULL)
    return talloc_asprintf (context, "http://%s%s", address,
                            path != NULL ? path : "/v1/generate");
  if (path != NULL)
    return talloc_asprintf (context, "http://%s/v1/services/%s/call%s", address,
                            o->service, path);
  return talloc_asprintf (context, "http://%s/v1/services/%s/generate", address,
                          o->service);
}

static char *
make_body (const void *context, Load *load)
{
  const char *prompt = make_prompt (context, load);

  if (!is_generating (load))
    return (char *)prompt;
  return talloc_asprintf (context, "{\"prompt\":\"%s\",\"tokens\":%" PRIu64 "}", prompt,
                          load->options->tokens);
}

#define HEADERS_MAX 8

static void
add_header (const char **headers, char *header)
{
  size_t n = 0;

  while (headers[n] != NULL)
    n++;
  g_assert (n + 1 < HEADERS_MAX);
  headers[n] = header;
}

static void
make_headers (const void *context, const Load *load, const char **headers)
{
  const LoadOptions *o = load->options;
  char *id
      = talloc_asprintf (context, "%" PRIu64 "-%" PRIu64, o->seed, load->request_count);

  add_header (headers, talloc_strdup (context, "Content-Type: application/json"));
  add_header (headers, talloc_asprintf (context, "X-Organisation: %s", o->organisation));
  if (o->direct != NULL)
    add_header (headers, talloc_asprintf (context, "X-Request-Id: %s", id));
  if (o->priority != NULL)
    add_header (headers, talloc_asprintf (context, "X-Priority: %s", o->priority));
  if (o->region != NULL)
    add_header (headers, talloc_asprintf (context, "X-Region: %s", o->region));
  if (o->keyed)
    add_header (headers, talloc_asprintf (context, "Idempotency-Key: %s", id));
}

static void
send_request (Load *load, uint64_t arrived_us)
{
  Request *r = talloc_zero (load, Request);
  const char *headers[HEADERS_MAX] = { NULL };
  const char *method;
  char *url = make_url (r, load, &method);

  r->load = load;
  r->arrived_us = arrived_us;
  r->buffer = dl_buffer_new (r, 0);
  load->request_count++;
  load->open++;
  make_headers (r, load, headers);
  dl_http_call (load->http, r,
                &(DlHttpCallOptions){
                    .method = method,
                    .url = url,
                    .headers = headers,
                    .body = dl_str (make_body (r, load)),
                    .timeout_ms = CALL_TIMEOUT_MS,
                    .single_use = load->options->keyed,
                    .on_head = on_head,
                    .on_data = on_data,
                    .on_done = on_done,
                    .data = r,
                });
}

/* -------- arrivals -------- */

/* Returns a random time between two arrivals, exponentially distributed. */
static uint64_t
random_interval_us (Load *load)
{
  double uniform = 1.0 - g_rand_double (load->random);

  return (uint64_t)(-log (uniform) / load->options->rate_per_s * MICROSECONDS_PER_SECOND);
}

static void
on_tick (DlTimer *timer, void *data)
{
  Load *load = data;
  uint64_t now_us = dl_clock_us ();
  uint64_t end_us = load->started_us
                    + (uint64_t)(load->options->duration_s * MICROSECONDS_PER_SECOND);

  while (load->next_arrival_us <= now_us && load->next_arrival_us < end_us)
    {
      load->results->arrivals++;
      if (load->open < load->options->streams)
        send_request (load, load->next_arrival_us);
      else
        load->results->skipped++;
      load->next_arrival_us += random_interval_us (load);
    }
  if (load->next_arrival_us < end_us)
    return;
  load->arrivals_done = true;
  talloc_free (timer);
  stop_when_idle (load);
}

static void
start_arrivals (Load *load)
{
  load->started_us = dl_clock_us ();
  load->next_arrival_us = load->started_us + random_interval_us (load);
  dl_timer_subscribe (load->task, load, TICK_MS, TICK_MS, on_tick, load);
}

/* -------- addresses -------- */

static void request_address (Load *load);

static void
on_address_timer (DlTimer *timer, void *data)
{
  talloc_free (timer);
  request_address (data);
}

/* Replaces the addresses by those in BODY.  Returns for how many seconds they may be
 * used, or 0 when BODY has none. */
static uint64_t
store_addresses (Load *load, DlStr body)
{
  struct json_tokener *tokener = json_tokener_new ();
  json_object *answer = json_tokener_parse_ex (tokener, body.data, (int)body.length);
  json_object *list = NULL;
  json_object *keep = NULL;
  uint64_t keep_s = 0;

  json_tokener_free (tokener);
  json_object_object_get_ex (answer, "addresses", &list);
  json_object_object_get_ex (answer, "keep_s", &keep);
  if (json_object_is_type (list, json_type_array) && json_object_array_length (list) > 0)
    {
      size_t count = json_object_array_length (list);
      char **addresses = g_new0 (char *, count + 1);

      for (size_t i = 0; i < count; i++)
        addresses[i]
            = g_strdup (json_object_get_string (json_object_array_get_idx (list, i)));
      g_strfreev (load->addresses);
      load->addresses = addresses;
      keep_s = MAX (json_object_get_uint64 (keep), 1);
    }
  json_object_put (answer);
  return keep_s;
}

static void
on_address_response (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Load *load = data;
  bool first = load->addresses == NULL;
  uint64_t keep_s = 0;

  if (result->error == 0 && result->status == HTTP_OK)
    keep_s = store_addresses (load, result->body);
  load->entry++;
  if (first && keep_s == 0 && load->entry >= g_strv_length (load->options->entries))
    {
      fprintf (stderr, "daisybench: no entry returned an address\n");
      run_state.error = DL_ERR_UNAVAILABLE;
      dl_kernel_stop (dl_task_kernel (load->task));
      return;
    }
  if (first && keep_s > 0)
    start_arrivals (load);
  if (!load->arrivals_done)
    dl_timer_subscribe (load->task, load,
                        keep_s > 0 ? keep_s * MS_PER_S : ADDRESS_RETRY_MS, 0,
                        on_address_timer, load);
}

static void
request_address (Load *load)
{
  char **entries = load->options->entries;
  char *url = talloc_asprintf (load, "http://%s/v1/address?service=%s",
                               entries[load->entry % g_strv_length (entries)],
                               load->options->service);

  if (load->arrivals_done)
    return;
  dl_http_call (load->http, load,
                &(DlHttpCallOptions){
                    .url = url,
                    .timeout_ms = ADDRESS_TIMEOUT_MS,
                    .on_done = on_address_response,
                    .data = load,
                });
  talloc_free (url);
}

/* -------- the task -------- */

static int
load_destroy (Load *load)
{
  g_strfreev (load->addresses);
  g_rand_free (load->random);
  return 0;
}

static int
load_start (DlTask *task)
{
  Load *load = talloc_zero (NULL, Load);

  g_assert (load != NULL);
  load->task = task;
  load->options = run_state.options;
  load->results = run_state.results;
  load->http = dl_http_client_new (task, load);
  load->random = g_rand_new_with_seed ((guint32)run_state.options->seed);
  talloc_set_destructor (load, load_destroy);
  dl_task_set_state (task, load);
  if (load->options->fixed)
    load->addresses = g_strdupv (load->options->entries);
  if (load->options->fixed || load->options->direct != NULL)
    start_arrivals (load);
  else
    request_address (load);
  return 0;
}

static DlPlugin load_plugin = {
  .name = "load",
  .order = 10,
  .start = load_start,
};
DL_PLUGIN_REGISTER (load_plugin)

int
load_run (const LoadOptions *options, LoadResults *results)
{
  DlKernel *kernel = dl_kernel_new ("daisybench", "load", NULL);
  int error;

  run_state.options = options;
  run_state.results = results;
  run_state.error = 0;
  error = dl_kernel_run (kernel);
  talloc_free (kernel);
  return error < 0 ? error : run_state.error;
}
