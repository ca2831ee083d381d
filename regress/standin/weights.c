/*
 * The stand-in of the origin of weights, which serves manifests and chunks of the newest
 * version and the one before it.
 */
#include "weights.h"

#include <glib.h>
#include <string.h>

#include "standin.h"

#define MANIFEST_PREFIX "/-/manifest/"
#define CHUNK_PREFIX    "/-/piece/"

static uint64_t newest = 1; /* newest version that is served */
static uint64_t corrupt;    /* the next N chunks are served with a wrong byte */
static uint64_t drawn;      /* bytes of chunks that were served */
static uint64_t manifests;  /* manifests that were served */
static uint64_t spoil;      /* the next N manifests are spoilt */
static uint64_t spoil_what; /* what of them: a WeightsSpoilt */

static const StandinKnob weights_knobs[] = {
  { "newest", &newest },
  { "corrupt", &corrupt },
  { "spoil", &spoil },
  { "spoil_what", &spoil_what },
  { 0 },
};

void
weights_fill (uint64_t version, unsigned index, char *bytes)
{
  for (size_t i = 0; i < WEIGHTS_CHUNK_BYTES; i++)
    bytes[i] = (char)(version * 31 + index * 7 + i % 251);
}

bool
weights_is_chunk (uint64_t version, unsigned index, DlStr bytes)
{
  char expected[WEIGHTS_CHUNK_BYTES];

  weights_fill (version, index, expected);
  return dl_str_equal (bytes, dl_str_bytes (expected, sizeof expected));
}

static uint64_t
requested_version (DlHttpRequest *request)
{
  const char *version = dl_http_request_query (request, "version");

  return version != NULL ? g_ascii_strtoull (version, NULL, 10) : newest;
}

/* The digest of chunk INDEX, or one with a digit that is wrong, or without its last. */
static json_object *
digest_of (uint64_t version, unsigned index, bool is_wrong, bool is_short)
{
  char bytes[WEIGHTS_CHUNK_BYTES];
  g_autofree char *digest = NULL;

  weights_fill (version, index, bytes);
  digest = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (guchar *)bytes, sizeof bytes);
  if (is_wrong)
    digest[0] = digest[0] == '0' ? '1' : '0';
  if (is_short)
    digest[strlen (digest) - 1] = '\0';
  return json_object_new_string (digest);
}

static unsigned
digest_count (WeightsSpoilt spoilt)
{
  switch (spoilt)
    {
    case WEIGHTS_ONE_LESS:
      return WEIGHTS_CHUNKS - 1;
    case WEIGHTS_ONE_MORE:
      return WEIGHTS_CHUNKS + 1;
    default:
      return WEIGHTS_CHUNKS;
    }
}

static void
reply_manifest (DlHttpRequest *request, uint64_t version)
{
  json_object *manifest = json_object_new_object ();
  json_object *digests = json_object_new_array ();
  WeightsSpoilt spoilt
      = standin_count_down (&spoil) ? (WeightsSpoilt)spoil_what : WEIGHTS_SOUND;
  const char *model = spoilt == WEIGHTS_OTHER_MODEL ? "bog" : WEIGHTS_MODEL;

  manifests++;
  for (unsigned i = 0; i < digest_count (spoilt); i++)
    {
      bool is_wrong = spoilt == WEIGHTS_ALL_DIGESTS
                      || (spoilt == WEIGHTS_ONE_DIGEST && i == WEIGHTS_SPOILT_CHUNK);
      bool is_short = spoilt == WEIGHTS_SHORT_DIGEST && i == WEIGHTS_SPOILT_CHUNK;

      json_object_array_add (digests, digest_of (version, i, is_wrong, is_short));
    }
  standin_json_set_text (manifest, "model", model);
  standin_json_set_uint (manifest, "version",
                         version + (spoilt == WEIGHTS_OTHER_VERSION));
  standin_json_set_uint (manifest, "chunk_bytes",
                         WEIGHTS_CHUNK_BYTES / (spoilt == WEIGHTS_SIZES ? 2 : 1));
  standin_json_set_uint (manifest, "layers",
                         WEIGHTS_LAYERS / (spoilt == WEIGHTS_SIZES ? 2 : 1));
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
  weights_fill (version, (unsigned)index, bytes);
  if (standin_count_down (&corrupt))
    bytes[0] ^= 1;
  drawn += sizeof bytes;
  dl_http_reply (request, 200, "application/octet-stream",
                 dl_str_bytes (bytes, sizeof bytes), NULL);
}

static void
weights_handle (DlHttpRequest *request)
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
weights_records (void)
{
  json_object *records = json_object_new_object ();

  standin_json_set_uint (records, "drawn", drawn);
  standin_json_set_uint (records, "manifests", manifests);
  return records;
}

static void
weights_start (DlTask *task)
{
}

static StandinKind weights_kind = {
  .name = "weights",
  .knobs = weights_knobs,
  .start = weights_start,
  .handle = weights_handle,
  .records = weights_records,
};
STANDIN_REGISTER (weights_kind)
