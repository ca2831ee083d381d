/*
 * The stand-in of a plain server that fails part of its requests: it runs them and then
 * answers 503, without its seal and without saying that they were not run.
 */
#include <glib.h>
#include <inttypes.h>

#include "../../regress/standin/standin.h"

#define TEXT_BYTES 64
#define STATUS_OK  200
#define STATUS_421 421
#define STATUS_503 503

static uint64_t instance = 1; /* its id is "i-N" */
static uint64_t fail_percent; /* of the requests */
static GHashTable *runs;      /* request id to how often it ran */
static uint64_t failed;

static const StandinKnob plain_knobs[] = {
  { "instance", &instance },
  { "fail_percent", &fail_percent },
  { 0 },
};

static const char *
header (DlHttpRequest *request, const char *name)
{
  const char *value = dl_http_request_header (request, name);

  return value != NULL ? value : "";
}

static void
record_run (const char *id)
{
  gpointer count = g_hash_table_lookup (runs, id);

  g_hash_table_replace (runs, g_strdup (id),
                        GSIZE_TO_POINTER (GPOINTER_TO_SIZE (count) + 1));
}

static void
plain_handle (DlHttpRequest *request)
{
  const char *id = header (request, "X-Request-Id");
  char own[TEXT_BYTES];
  char seal[TEXT_BYTES];
  const DlHttpHeader refusal[]
      = { { "X-Request-Id", id }, { "X-Not-Executed", "1" }, { 0 } };
  const DlHttpHeader failure[] = { { "X-Request-Id", id }, { 0 } };
  const DlHttpHeader success[]
      = { { "X-Request-Id", id }, { "X-Response-Seal", seal }, { 0 } };

  g_snprintf (own, sizeof own, "i-%" PRIu64, instance);
  g_snprintf (seal, sizeof seal, "seal-of-%s", own);
  if (g_strcmp0 (header (request, "X-Expect-Instance"), own) != 0)
    {
      dl_http_reply (request, STATUS_421, NULL, DL_STR_LITERAL (""), refusal);
      return;
    }
  record_run (id);
  if (standin_chance (fail_percent))
    {
      failed++;
      dl_http_reply (request, STATUS_503, "text/plain", DL_STR_LITERAL ("failed"),
                     failure);
      return;
    }
  dl_http_reply (request, STATUS_OK, "text/plain", DL_STR_LITERAL ("done"), success);
}

static json_object *
plain_records (void)
{
  json_object *records = json_object_new_object ();
  json_object *ran = json_object_new_object ();
  GHashTableIter iter;
  gpointer id;
  gpointer count;

  g_hash_table_iter_init (&iter, runs);
  while (g_hash_table_iter_next (&iter, &id, &count))
    standin_json_set_uint (ran, id, GPOINTER_TO_SIZE (count));
  json_object_object_add (records, "runs", ran);
  standin_json_set_uint (records, "failed", failed);
  return records;
}

static void
plain_start (DlTask *task)
{
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static StandinKind plain_kind = {
  .name = "plain",
  .knobs = plain_knobs,
  .start = plain_start,
  .handle = plain_handle,
  .records = plain_records,
};
STANDIN_REGISTER (plain_kind)
