/*
 * The stand-in of the origin of weights and of the rate-limited weight store: it serves
 * blobs by digest over one link that all transfers share.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "standin.h"

#define BLOBS_PREFIX "/v1/blobs/"
#define TICK_MS      5
#define SLICE_BYTES  4096
#define RETRY_MS     1000

typedef struct
{
  uint8_t *bytes;
  size_t length;
  uint64_t drawn_bytes; /* sent */
  uint64_t draws;       /* responses begun */
} Blob;

/* A response that is sent slice by slice. */
typedef struct
{
  DlHttpRequest *request;
  Blob *blob;
  size_t sent;
  bool corrupt;
  bool stall;
} Transfer;

static uint64_t rate_bytes_per_s; /* 0: no limit */
static uint64_t max_transfers;    /* more are refused; 0: no limit */
static uint64_t corrupt;          /* the next N responses have a wrong byte */
static uint64_t stall; /* the next N responses stop in the middle and stay open */

static uint64_t endless; /* the next N responses never end */

static GHashTable *blobs;
static GQueue endless_requests = G_QUEUE_INIT; /* of DlHttpRequest */
static GQueue transfers = G_QUEUE_INIT; /* of Transfer, in order of their next slices */
static StandinBucket link_bucket;
static uint64_t total_bytes;
static uint64_t refused;
static uint64_t corrupted;

static const StandinKnob origin_knobs[] = {
  { "rate_bytes_per_s", &rate_bytes_per_s },
  { "max_transfers", &max_transfers },
  { "corrupt", &corrupt },
  { "stall", &stall },
  { "endless", &endless },
  { 0 },
};

static void
blob_free (gpointer data)
{
  Blob *blob = data;

  g_free (blob->bytes);
  g_free (blob);
}

static int
transfer_destroy (Transfer *transfer)
{
  g_queue_remove (&transfers, transfer);
  return 0;
}

/* Writes up to LIMIT bytes of the response; returns how many.  Frees TRANSFER after the
 * last ones. */
static size_t
transfer_send (Transfer *transfer, size_t limit)
{
  Blob *blob = transfer->blob;
  size_t end = transfer->stall ? blob->length / 2 : blob->length;
  size_t length = MIN (limit, end - transfer->sent);
  uint8_t *slice = g_memdup2 (blob->bytes + transfer->sent, length);

  if (transfer->corrupt && transfer->sent == 0 && length > 0)
    slice[length / 2] ^= 1;
  if (length > 0)
    dl_http_stream_write (transfer->request, dl_str_bytes (slice, length));
  g_free (slice);
  transfer->sent += length;
  blob->drawn_bytes += length;
  total_bytes += length;
  if (transfer->sent == blob->length)
    dl_http_stream_end (transfer->request, true);
  if (transfer->sent == end)
    talloc_free (transfer);
  else
    {
      g_queue_remove (&transfers, transfer);
      g_queue_push_tail (&transfers, transfer);
    }
  return length;
}

static void
on_endless_closed (DlHttpRequest *request, bool answered, void *data)
{
  g_queue_remove (&endless_requests, request);
}

static void
write_endless (gpointer request, gpointer data)
{
  static const char slice[SLICE_BYTES];

  if (dl_http_stream_queued (request) < SLICE_BYTES)
    dl_http_stream_write (request, dl_str_bytes (slice, sizeof slice));
}

static void
on_tick (DlTimer *timer, void *data)
{
  g_queue_foreach (&endless_requests, write_endless, NULL);
  standin_bucket_fill (&link_bucket, rate_bytes_per_s);
  while (transfers.length > 0 && (rate_bytes_per_s == 0 || link_bucket.tokens >= 1))
    {
      size_t sent = transfer_send (g_queue_peek_head (&transfers), SLICE_BYTES);

      link_bucket.tokens -= (double)sent;
    }
}

static void
origin_start (DlTask *task)
{
  blobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, blob_free);
  dl_timer_subscribe (task, task, TICK_MS, TICK_MS, on_tick, NULL);
}

static void
handle_put (DlHttpRequest *request, const char *name)
{
  DlStr body = dl_http_request_body (request);
  DlDigest digest = dl_digest (body);
  char hex[DL_DIGEST_HEX_BYTES];
  Blob *blob;

  dl_digest_to_hex (&digest, hex);
  if (strcmp (hex, name) != 0)
    {
      dl_http_reply_error (request, 400, 0, "the body has the digest %s", hex);
      return;
    }
  if (!g_hash_table_contains (blobs, name))
    {
      blob = g_new0 (Blob, 1);
      blob->bytes = g_memdup2 (body.data, body.length);
      blob->length = body.length;
      g_hash_table_insert (blobs, g_strdup (name), blob);
    }
  standin_reply_status (request, 200);
}

static void
handle_get (DlHttpRequest *request, const char *name)
{
  Blob *blob = g_hash_table_lookup (blobs, name);
  Transfer *transfer;

  if (blob == NULL)
    {
      standin_reply_status (request, 404);
      return;
    }
  if (max_transfers > 0 && transfers.length >= max_transfers)
    {
      refused++;
      dl_http_reply_error (request, 503, RETRY_MS, "too many transfers");
      return;
    }
  if (standin_count_down (&endless))
    {
      dl_http_stream_begin (request, 200, "application/octet-stream", NULL);
      dl_http_request_on_closed (request, on_endless_closed, NULL);
      g_queue_push_tail (&endless_requests, request);
      return;
    }
  transfer = talloc_zero (request, Transfer);
  transfer->request = request;
  transfer->blob = blob;
  transfer->corrupt = standin_count_down (&corrupt);
  transfer->stall = standin_count_down (&stall);
  corrupted += transfer->corrupt;
  blob->draws++;
  dl_http_stream_begin (request, 200, "application/octet-stream", NULL);
  g_queue_push_tail (&transfers, transfer);
  talloc_set_destructor (transfer, transfer_destroy);
}

static void
origin_handle (DlHttpRequest *request)
{
  const char *path = dl_http_request_path (request);
  const char *method = dl_http_request_method (request);

  if (!g_str_has_prefix (path, BLOBS_PREFIX))
    standin_reply_status (request, 404);
  else if (strcmp (method, "PUT") == 0)
    handle_put (request, path + strlen (BLOBS_PREFIX));
  else if (strcmp (method, "GET") == 0)
    handle_get (request, path + strlen (BLOBS_PREFIX));
  else
    standin_reply_status (request, 405);
}

static json_object *
origin_records (void)
{
  json_object *records = json_object_new_object ();
  json_object *list = json_object_new_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, blobs);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Blob *blob = value;
      json_object *entry = json_object_new_object ();

      standin_json_set_uint (entry, "bytes", blob->length);
      standin_json_set_uint (entry, "drawn_bytes", blob->drawn_bytes);
      standin_json_set_uint (entry, "draws", blob->draws);
      json_object_object_add (list, name, entry);
    }
  standin_json_set_uint (records, "drawn_bytes", total_bytes);
  standin_json_set_uint (records, "refused", refused);
  standin_json_set_uint (records, "corrupted", corrupted);
  standin_json_set_uint (records, "running", transfers.length);
  json_object_object_add (records, "blobs", list);
  return records;
}

static StandinKind origin_kind = {
  .name = "origin",
  .knobs = origin_knobs,
  .start = origin_start,
  .handle = origin_handle,
  .records = origin_records,
};

STANDIN_REGISTER (origin_kind)
