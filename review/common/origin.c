/*
 * The stand-in of the origin of weights, as the project's own ("weights"), which can also
 * spoil a manifest: one digit of one digest is wrong, and the answer is JSON as before.
 */
#include <glib.h>
#include <string.h>

#include "../../regress/standin/standin.h"
#include "../../regress/standin/weights.h"

#define MANIFEST_PREFIX "/-/manifest/"
#define CHUNK_PREFIX    "/-/piece/"
#define SPOILT_CHUNK    5

static uint64_t newest = 1; /* newest version that is served */
static uint64_t spoil;      /* the next N manifests are spoilt */
static uint64_t answers;    /* manifests and chunks that were sent */
static uint64_t manifests;
static uint64_t spoilt; /* answers that were spoilt */

static const StandinKnob origin_knobs[] = {
  { "newest", &newest },
  { "spoil", &spoil },
  { 0 },
};

static uint64_t
requested_version (DlHttpRequest *request)
{
  const char *version = dl_http_request_query (request, "version");

  return version != NULL ? g_ascii_strtoull (version, NULL, 10) : newest;
}

static char *
chunk_digest (uint64_t version, unsigned index)
{
  char bytes[WEIGHTS_CHUNK_BYTES];

  weights_fill (version, index, bytes);
  return g_compute_checksum_for_data (G_CHECKSUM_SHA256, (guchar *)bytes, sizeof bytes);
}

static void
reply_manifest (DlHttpRequest *request, uint64_t version)
{
  json_object *manifest = json_object_new_object ();
  json_object *digests = json_object_new_array ();
  bool is_spoilt = standin_count_down (&spoil);

  manifests++;
  answers++;
  spoilt += is_spoilt;
  for (unsigned i = 0; i < WEIGHTS_CHUNKS; i++)
    {
      char *digest = chunk_digest (version, i);

      if (is_spoilt && i == SPOILT_CHUNK)
        digest[0] = digest[0] == '0' ? '1' : '0';
      json_object_array_add (digests, json_object_new_string (digest));
      g_free (digest);
    }
  standin_json_set_text (manifest, "model", WEIGHTS_MODEL);
  standin_json_set_uint (manifest, "version", version);
  standin_json_set_uint (manifest, "chunk_bytes", WEIGHTS_CHUNK_BYTES);
  standin_json_set_uint (manifest, "layers", WEIGHTS_LAYERS);
  json_object_object_add (manifest, "digests", digests);
  dl_http_reply_json (request, 200, manifest);
}

static void
reply_chunk (DlHttpRequest *request, uint64_t version)
{
  const char *num = dl_http_request_query (request, "num");
  uint64_t index = num != NULL ? g_ascii_strtoull (num, NULL, 10) : WEIGHTS_CHUNKS;
  char bytes[WEIGHTS_CHUNK_BYTES];

  if (index >= WEIGHTS_CHUNKS)
    {
      dl_http_reply_error (request, 404, 0, "no such chunk");
      return;
    }
  answers++;
  weights_fill (version, (unsigned)index, bytes);
  dl_http_reply (request, 200, "application/octet-stream",
                 dl_str_bytes (bytes, sizeof bytes), NULL);
}

static void
origin_handle (DlHttpRequest *request)
{
  const char *path = dl_http_request_path (request);
  uint64_t version = requested_version (request);

  if (version == 0 || version > newest)
    dl_http_reply_error (request, 404, 0, "no such version");
  else if (version + 2 <= newest)
    dl_http_reply_error (request, 410, 0, "this version is gone");
  else if (strcmp (path, MANIFEST_PREFIX WEIGHTS_MODEL) == 0)
    reply_manifest (request, version);
  else if (strcmp (path, CHUNK_PREFIX WEIGHTS_MODEL) == 0)
    reply_chunk (request, version);
  else
    dl_http_reply_error (request, 404, 0, "no such call");
}

static json_object *
origin_records (void)
{
  json_object *records = json_object_new_object ();

  standin_json_set_uint (records, "answers", answers);
  standin_json_set_uint (records, "manifests", manifests);
  standin_json_set_uint (records, "spoilt", spoilt);
  return records;
}

static void
origin_start (DlTask *task)
{
}

static StandinKind origin_kind = {
  .name = "origin",
  .knobs = origin_knobs,
  .start = origin_start,
  .handle = origin_handle,
  .records = origin_records,
};
STANDIN_REGISTER (origin_kind)
