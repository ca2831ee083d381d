/*
 * Fetches blobs from the origin or the weight store.
 */
#include "transfer_source.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "policy/backoff.h"

#define SOURCES                2 /* the origin and the weight store */
#define STALL_CHECK_MS         250
#define STALLED_CHECKS         8 /* without data, after which a fetch has failed */
#define BACKOFF_MIN_MS         200
#define BACKOFF_MAX_MS         10000
#define RETRY_AFTER_MAX_S      60
#define UNUSABLE_FAILURES      3 /* in a row, after which a source counts as unusable */
#define HTTP_OK                200
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_UNAVAILABLE       503
#define MS_PER_S               1000

static const DlBackoffBounds backoff_bounds
    = { .first_ms = BACKOFF_MIN_MS, .max_ms = BACKOFF_MAX_MS };

/* The origin or the weight store. */
typedef struct
{
  const char *address;
  uint64_t not_before_ms; /* end of the backoff, by dl_clock_ms */
  uint64_t backoff_ms;
  unsigned failures; /* consecutive, not counting responses 429 and 503 */
} Source;

struct TransferSources
{
  DlTask *task;
  DlHttpClient *client;
  Source sources[SOURCES];
  size_t count;
  TransferFetchFunc func;
  void *data;
};

/* A fetch in progress. */
typedef struct
{
  TransferSources *sources;
  Source *source;
  uint32_t index;
  DlDigest digest;
  uint64_t retry_after_ms; /* from the response; 0: none */
  DlBuffer *body;
  DlTimer *overflow;    /* ends the fetch, as the body is too long; NULL: it is not */
  unsigned idle_checks; /* since data last arrived */
} Fetch;

TransferSources *
transfer_sources_new (DlTask *task,
                      const void *owner,
                      const char *origin,
                      const char *weight_store,
                      TransferFetchFunc func,
                      void *data)
{
  TransferSources *sources = talloc_zero (owner, TransferSources);
  const char *addresses[SOURCES] = { origin, weight_store };

  g_assert (sources != NULL);
  sources->task = task;
  sources->client = dl_http_client_new (task, sources);
  sources->func = func;
  sources->data = data;
  for (size_t i = 0; i < SOURCES; i++)
    if (*addresses[i] != '\0')
      sources->sources[sources->count++] = (Source){ .address = addresses[i] };
  return sources;
}

/* Returns the first source that is not backed off, else the one whose backoff ends first.
 * NULL if there are no sources. */
static Source *
choose_source (TransferSources *sources, uint64_t now_ms)
{
  Source *best = NULL;

  for (size_t i = 0; i < sources->count; i++)
    {
      Source *source = &sources->sources[i];

      if (source->not_before_ms <= now_ms)
        return source;
      if (best == NULL || source->not_before_ms < best->not_before_ms)
        best = source;
    }
  return best;
}

/* Returns the milliseconds until a source may be used again. */
static uint64_t
retry_wait_ms (TransferSources *sources)
{
  uint64_t now = dl_clock_ms ();
  const Source *source = choose_source (sources, now);

  if (source == NULL)
    return BACKOFF_MAX_MS;
  return source->not_before_ms > now ? source->not_before_ms - now : 0;
}

static bool
all_unusable (const TransferSources *sources)
{
  for (size_t i = 0; i < sources->count; i++)
    if (sources->sources[i].failures < UNUSABLE_FAILURES)
      return false;
  return true;
}

static void
back_off (Source *source, uint64_t retry_after_ms)
{
  uint64_t delay = retry_after_ms;

  if (delay == 0)
    {
      source->backoff_ms = dl_backoff_next_ms (source->backoff_ms, &backoff_bounds);
      delay = source->backoff_ms;
    }
  delay += dl_random_uint64 () % (delay / 2 + 1);
  source->not_before_ms = MAX (source->not_before_ms, dl_clock_ms () + delay);
}

static void
on_head (DlHttpCall *call, unsigned status, void *data)
{
  Fetch *fetch = data;
  const char *value = dl_http_call_header (call, "Retry-After");
  uint64_t seconds;

  if (value != NULL && dl_str_to_uint64 (dl_str (value), &seconds) == 0)
    fetch->retry_after_ms = MIN (seconds, RETRY_AFTER_MAX_S) * MS_PER_S;
}

/* Returns 0 if the response is the blob, else a negative error. */
static int
check_response (const Fetch *fetch, const DlHttpResult *result)
{
  DlDigest digest;

  if (result->error < 0)
    return result->error;
  if (result->status == HTTP_TOO_MANY_REQUESTS || result->status == HTTP_UNAVAILABLE)
    return DL_ERR_RATE_LIMITED;
  if (result->status != HTTP_OK)
    return DL_ERR_NOT_FOUND;
  digest = dl_digest (dl_buffer_view (fetch->body));
  return dl_digest_equal (&digest, &fetch->digest) ? 0 : DL_ERR_DIGEST;
}

/* Updates the source's backoff and count of failures. */
static void
record_outcome (const Fetch *fetch, int error)
{
  Source *source = fetch->source;

  if (error == 0)
    {
      source->failures = 0;
      source->backoff_ms = 0;
      return;
    }
  back_off (source, error == DL_ERR_RATE_LIMITED ? fetch->retry_after_ms : 0);
  if (error == DL_ERR_RATE_LIMITED)
    return;
  source->failures++;
  dl_log (error == DL_ERR_DIGEST ? DL_EVENT_SOURCE_CORRUPT : DL_EVENT_SOURCE_FAILED,
          DL_TEXT ("source", source->address), DL_ERRNO (error));
}

/* Reports the outcome and frees the fetch. */
static void
end_fetch (Fetch *fetch, int error)
{
  TransferSources *sources = fetch->sources;
  TransferFetch outcome = {
    .index = fetch->index,
    .error = error,
    .body = dl_buffer_view (fetch->body),
    .bytes = fetch->body->length,
  };

  record_outcome (fetch, error);
  if (error < 0)
    {
      outcome.retry_ms = retry_wait_ms (sources);
      outcome.unusable = all_unusable (sources);
    }
  sources->func (&outcome, sources->data);
  talloc_free (fetch);
}

static void
on_overflow (DlTimer *timer, void *data)
{
  end_fetch (data, DL_ERR_TOO_LARGE);
}

/* A body that is too long is given up from the event loop, as the HTTP library allows no
 * new call from its data callback. */
static void
on_data (DlHttpCall *call, DlStr bytes, void *data)
{
  Fetch *fetch = data;

  fetch->idle_checks = 0;
  if (fetch->overflow == NULL
      && dl_buffer_append (fetch->body, bytes.data, bytes.length) < 0)
    fetch->overflow
        = dl_timer_subscribe (fetch->sources->task, fetch, 0, 0, on_overflow, fetch);
}

static void
on_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  end_fetch (data, check_response (data, result));
}

/* libcurl limits only the average rate over seconds, which detects a stall too late.
 * Checks are counted instead of time, of which the source may have used none while this
 * process was paused: what it sent meanwhile has not been read. */
static void
on_stall_check (DlTimer *timer, void *data)
{
  Fetch *fetch = data;

  if (++fetch->idle_checks >= STALLED_CHECKS)
    end_fetch (fetch, -ETIMEDOUT);
}

/* Reports that all sources are backed off, after transfer_sources_fetch has returned. */
static void
on_no_source (DlTimer *timer, void *data)
{
  Fetch *fetch = data;
  TransferSources *sources = fetch->sources;
  TransferFetch outcome = {
    .index = fetch->index,
    .error = DL_ERR_UNAVAILABLE,
    .retry_ms = retry_wait_ms (sources),
    .unusable = all_unusable (sources),
  };

  sources->func (&outcome, sources->data);
  talloc_free (fetch);
}

void
transfer_sources_fetch (TransferSources *sources,
                        const void *owner,
                        uint32_t index,
                        const DlDigest *digest,
                        size_t max_bytes)
{
  Fetch *fetch = talloc_zero (owner, Fetch);
  uint64_t now = dl_clock_ms ();
  char hex[DL_DIGEST_HEX_BYTES];
  char *url;

  g_assert (fetch != NULL);
  *fetch = (Fetch){
    .sources = sources,
    .source = choose_source (sources, now),
    .index = index,
    .digest = *digest,
  };
  if (fetch->source == NULL || fetch->source->not_before_ms > now)
    {
      dl_timer_subscribe (sources->task, fetch, 0, 0, on_no_source, fetch);
      return;
    }
  dl_digest_to_hex (digest, hex);
  url = talloc_asprintf (fetch, "http://%s/v1/blobs/%s", fetch->source->address, hex);
  fetch->body = dl_buffer_new (fetch, max_bytes);
  dl_timer_subscribe (sources->task, fetch, STALL_CHECK_MS, STALL_CHECK_MS,
                      on_stall_check, fetch);
  dl_http_call (sources->client, fetch,
                &(DlHttpCallOptions){
                    .url = url,
                    .on_head = on_head,
                    .on_data = on_data,
                    .on_done = on_done,
                    .data = fetch,
                });
}
