#include "transfer_source.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"

#define SOURCES           2
#define STALL_TIMEOUT_MS  2000
#define STALL_CHECK_MS    250
#define BACKOFF_FIRST_MS  200
#define BACKOFF_LAST_MS   10000
#define RETRY_AFTER_MAX_S 60
#define UNUSABLE_FAILURES 3
#define HTTP_OK           200
#define HTTP_TOO_MANY     429
#define HTTP_UNAVAILABLE  503
#define MS_PER_S          1000

typedef struct
{
  const char *address;
  uint64_t not_before_ms; /* dl_clock_ms */
  uint64_t backoff_ms;
  unsigned failures; /* to reach it, in a row */
} Source;

struct TransferSources
{
  DlTask *task;
  DlHttpClient *client;
  Source sources[SOURCES];
  size_t count;
  TransferDrawFunc func;
  void *data;
};

typedef struct
{
  TransferSources *sources;
  Source *source;
  uint32_t index;
  DlDigest digest;
  uint64_t retry_after_ms;
  DlBuffer *body;
  uint64_t progress_ms; /* when the last byte came */
} Draw;

TransferSources *
transfer_sources_new (DlTask *task,
                      const void *owner,
                      const char *origin,
                      const char *weight_store,
                      TransferDrawFunc func,
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

/* The first source that may be asked; else the one that may be asked earliest. */
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

static uint64_t
wait_ms (TransferSources *sources)
{
  uint64_t now = dl_clock_ms ();
  const Source *source = choose_source (sources, now);

  if (source == NULL)
    return BACKOFF_LAST_MS;
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
      source->backoff_ms
          = CLAMP (source->backoff_ms * 2, BACKOFF_FIRST_MS, BACKOFF_LAST_MS);
      delay = source->backoff_ms;
    }
  delay += dl_random_uint64 () % (delay / 2 + 1);
  source->not_before_ms = MAX (source->not_before_ms, dl_clock_ms () + delay);
}

static void
on_head (DlHttpCall *call, unsigned status, void *data)
{
  Draw *draw = data;
  const char *value = dl_http_call_header (call, "Retry-After");
  uint64_t seconds;

  if (value != NULL && dl_str_to_uint64 (dl_str (value), &seconds) == 0)
    draw->retry_after_ms = MIN (seconds, RETRY_AFTER_MAX_S) * MS_PER_S;
}

/* Returns 0 when the answer is the blob. */
static int
judge (const Draw *draw, const DlHttpResult *result)
{
  DlDigest digest;

  if (result->error < 0)
    return result->error;
  if (result->status == HTTP_TOO_MANY || result->status == HTTP_UNAVAILABLE)
    return DL_ERR_RATE_LIMITED;
  if (result->status != HTTP_OK)
    return DL_ERR_NOT_FOUND;
  digest = dl_digest (dl_buffer_view (draw->body));
  return dl_digest_equal (&digest, &draw->digest) ? 0 : DL_ERR_DIGEST;
}

static void
note_outcome (const Draw *draw, int error)
{
  Source *source = draw->source;

  if (error == 0)
    {
      source->failures = 0;
      source->backoff_ms = 0;
      return;
    }
  back_off (source, error == DL_ERR_RATE_LIMITED ? draw->retry_after_ms : 0);
  if (error == DL_ERR_RATE_LIMITED)
    return;
  source->failures++;
  dl_log (error == DL_ERR_DIGEST ? DL_EVENT_SOURCE_CORRUPT : DL_EVENT_SOURCE_FAILED,
          DL_TEXT ("source", source->address), DL_ERRNO (error));
}

/* Reports the end of the draw, and frees it. */
static void
end_draw (Draw *draw, int error)
{
  TransferSources *sources = draw->sources;
  TransferDraw outcome = {
    .index = draw->index,
    .error = error,
    .body = dl_buffer_view (draw->body),
    .bytes = draw->body->length,
  };

  note_outcome (draw, error);
  if (error < 0)
    {
      outcome.retry_ms = wait_ms (sources);
      outcome.unusable = all_unusable (sources);
    }
  sources->func (&outcome, sources->data);
  talloc_free (draw);
}

static void
on_data (DlHttpCall *call, DlStr bytes, void *data)
{
  Draw *draw = data;

  draw->progress_ms = dl_clock_ms ();
  /* Bytes beyond the blob's length are dropped; the digest shows it. */
  dl_buffer_append (draw->body, bytes.data, bytes.length);
}

static void
on_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  end_draw (data, judge (data, result));
}

/* The library's own limit is on an average over seconds, and finds a stall late. */
static void
on_stall_check (DlTimer *timer, void *data)
{
  Draw *draw = data;

  if (dl_clock_ms () - draw->progress_ms >= STALL_TIMEOUT_MS)
    end_draw (draw, -ETIMEDOUT);
}

static void
on_no_source (DlTimer *timer, void *data)
{
  Draw *draw = data;
  TransferSources *sources = draw->sources;
  TransferDraw outcome = {
    .index = draw->index,
    .error = DL_ERR_UNAVAILABLE,
    .retry_ms = wait_ms (sources),
    .unusable = all_unusable (sources),
  };

  sources->func (&outcome, sources->data);
  talloc_free (draw);
}

void
transfer_sources_draw (TransferSources *sources,
                       const void *owner,
                       uint32_t index,
                       const DlDigest *digest,
                       size_t max_bytes)
{
  Draw *draw = talloc_zero (owner, Draw);
  uint64_t now = dl_clock_ms ();
  char hex[DL_DIGEST_HEX_BYTES];
  char *url;

  g_assert (draw != NULL);
  *draw = (Draw){
    .sources = sources,
    .source = choose_source (sources, now),
    .index = index,
    .digest = *digest,
  };
  if (draw->source == NULL || draw->source->not_before_ms > now)
    {
      dl_timer_subscribe (sources->task, draw, 0, 0, on_no_source, draw);
      return;
    }
  dl_digest_to_hex (digest, hex);
  url = talloc_asprintf (draw, "http://%s/v1/blobs/%s", draw->source->address, hex);
  draw->body = dl_buffer_new (draw, max_bytes);
  draw->progress_ms = now;
  dl_timer_subscribe (sources->task, draw, STALL_CHECK_MS, STALL_CHECK_MS, on_stall_check,
                      draw);
  dl_http_call (sources->client, draw,
                &(DlHttpCallOptions){
                    .url = url,
                    .on_head = on_head,
                    .on_data = on_data,
                    .on_done = on_done,
                    .data = draw,
                });
}
