/*
 * The stand-in of the origin of weights, which serves manifests and chunks of the newest
 * version and the one before it; and what the stand-in of a model server has staged.
 */
#include "weights.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

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

/* -------- what a model server has staged -------- */

#define LOAD_MS     100
#define US_PER_MS   1000
#define PUT_PREFIX  "/-/stage-put/"
#define GET_PREFIX  "/-/stage-get/"
#define NO_SEQUENCE UINT64_MAX

/* A staged copy of a chunk. */
typedef struct
{
  char bytes[WEIGHTS_CHUNK_BYTES];
  uint64_t bad_ms; /* when it turned bad; 0: it is as it was written */
} Copy;

/* A load command. */
typedef struct
{
  DlHttpRequest *request; /* NULL once its sender has closed */
  char *operation;
  uint64_t version;
  uint64_t sequence; /* that it expects; NO_SEQUENCE: any */
  bool unloads;      /* no layers are to be kept */
} Command;

/* A read whose response is late, with the bytes as they were. */
typedef struct
{
  DlHttpRequest *request;
  char bytes[WEIGHTS_CHUNK_BYTES];
} LateRead;

uint64_t staged_version = 1;
uint64_t staged_refused;
uint64_t staged_rot;
uint64_t staged_rot_after_read;
uint64_t staged_rot_at_command;
uint64_t staged_read_late_ms;
uint64_t staged_command_late_ms;
uint64_t staged_commands_late;
uint64_t staged_command_stall_ms;
uint64_t staged_stop_at_command;
uint64_t staged_stop_at_read;
uint64_t staged_write_at_command;
uint64_t staged_reports_fail_ms;
uint64_t staged_mixed;

static DlTask *task;
static GHashTable *staged;      /* index of a chunk to its Copy */
static GHashTable *late_writes; /* the same, of those that land as a command arrives */
static uint64_t late_version;   /* it must be for this version or a newer one */
static uint64_t fail_until_ms;  /* reports do until then */
static bool loading;
static DlTimer *load_timer;
static uint64_t loaded_ms;       /* when the weights that are loading will be loaded */
static bool is_spoilt;           /* the weights that the server has */
static char *load_body;          /* of the last command to load; NULL: none */
static char *unload_body;        /* of the last one to unload */
static uint64_t commands;        /* accepted */
static uint64_t first_command;   /* COMMANDS at the last start of the server */
static uint64_t put_calls;       /* chunks that were to be staged */
static uint64_t spoilt;          /* of STAGED_MIXED, where a chunk was so for too long */
static uint64_t spoilt_runs;     /* requests that ran on such weights */
static uint64_t spoilt_run_ms;   /* when the last of them began */
static uint64_t commands_closed; /* taken after their sender had closed */

void
staged_start (DlTask *standin)
{
  task = standin;
  staged = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  late_writes = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

void
staged_lose_weights (void)
{
  staged_version = 0;
  is_spoilt = false;
  loading = false;
  TALLOC_FREE (load_timer);
  first_command = commands;
}

bool
staged_is_loading (void)
{
  return loading;
}

uint64_t
staged_commands (void)
{
  return commands - first_command;
}

void
staged_count_run (void)
{
  spoilt_runs += is_spoilt;
  if (is_spoilt)
    spoilt_run_ms = dl_clock_ms ();
}

bool
staged_reports_fail (void)
{
  return dl_clock_ms () < fail_until_ms;
}

static void
begin_failing_reports (void)
{
  if (staged_reports_fail_ms == 0)
    return;
  fail_until_ms = dl_clock_ms () + staged_reports_fail_ms;
  staged_reports_fail_ms = 0;
  staged_read_late_ms = 0;
}

/* -------- staging -------- */

static unsigned
query_num (DlHttpRequest *request)
{
  const char *num = dl_http_request_query (request, "num");

  return num != NULL ? (unsigned)g_ascii_strtoull (num, NULL, 10) : WEIGHTS_CHUNKS;
}

static Copy *
staged_copy (unsigned index)
{
  return g_hash_table_lookup (staged, GUINT_TO_POINTER (index));
}

static void
turn_bad (Copy *copy)
{
  copy->bytes[1] ^= 1;
  copy->bad_ms = dl_clock_ms ();
}

void
staged_mend (void)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, staged);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Copy *copy = value;

      if (copy->bad_ms == 0)
        continue;
      copy->bytes[1] ^= 1;
      copy->bad_ms = 0;
    }
}

static void
put (DlHttpRequest *request)
{
  DlStr body = dl_http_request_body (request);
  Copy *copy;

  put_calls++;
  if (staged_refused)
    {
      dl_http_reply_error (request, 503, 0, "nothing can be staged now");
      return;
    }
  if (body.length != WEIGHTS_CHUNK_BYTES || query_num (request) >= WEIGHTS_CHUNKS)
    {
      dl_http_reply_error (request, 400, 0, "no chunk");
      return;
    }
  copy = g_new0 (Copy, 1);
  memcpy (copy->bytes, body.data, body.length);
  if (standin_count_down (&staged_write_at_command))
    {
      /* No response: the caller gives up, and the write lands later. */
      g_hash_table_replace (late_writes, GUINT_TO_POINTER (query_num (request)), copy);
      late_version = staged_version + 2;
      return;
    }
  g_hash_table_replace (staged, GUINT_TO_POINTER (query_num (request)), copy);
  standin_reply_status (request, 200);
}

static void
reply_staged (DlHttpRequest *request, const char *bytes)
{
  dl_http_reply (request, 200, "application/octet-stream",
                 dl_str_bytes (bytes, WEIGHTS_CHUNK_BYTES), NULL);
}

static void
on_read_due (DlTimer *timer, void *data)
{
  LateRead *late = data;

  reply_staged (late->request, late->bytes);
}

static void
get (DlHttpRequest *request)
{
  Copy *copy = staged_copy (query_num (request));
  LateRead *late;

  if (copy == NULL)
    {
      dl_http_reply_error (request, 404, 0, "not staged");
      return;
    }
  if (standin_count_down (&staged_stop_at_read))
    raise (SIGSTOP);
  if (standin_count_down (&staged_rot))
    turn_bad (copy);
  if (staged_read_late_ms > 0)
    {
      late = talloc_zero (request, LateRead);
      late->request = request;
      memcpy (late->bytes, copy->bytes, sizeof late->bytes);
      dl_timer_subscribe (task, late, staged_read_late_ms, 0, on_read_due, late);
    }
  else
    reply_staged (request, copy->bytes);
  if (standin_count_down (&staged_rot_after_read))
    turn_bad (copy);
}

/* -------- load commands -------- */

static bool
is_chunk (const Copy *copy, uint64_t version, unsigned index)
{
  return copy != NULL
         && weights_is_chunk (version, index,
                              dl_str_bytes (copy->bytes, sizeof copy->bytes));
}

/* Takes what is staged as VERSION. */
static void
take (uint64_t version)
{
  bool any_wrong = false;
  bool any_spoilt = false;

  for (unsigned i = 0; i < WEIGHTS_CHUNKS; i++)
    {
      const Copy *copy = staged_copy (i);
      bool was_good = copy != NULL && copy->bad_ms != 0
                      && dl_clock_ms () - copy->bad_ms <= STAGED_BAD_MAX_MS;

      if (is_chunk (copy, version, i))
        continue;
      any_wrong = true;
      any_spoilt = any_spoilt || !was_good;
    }
  staged_mixed += any_wrong;
  spoilt += any_spoilt;
  is_spoilt = any_spoilt;
}

static void start_load_timer (uint64_t version);

static void
on_loaded (DlTimer *timer, void *data)
{
  uint64_t version = (uint64_t)GPOINTER_TO_SIZE (data);

  TALLOC_FREE (load_timer);
  if (dl_clock_ms () < loaded_ms)
    {
      /* After the process stood still, timers are early by that time. */
      start_load_timer (version);
      return;
    }
  loading = false;
  staged_version = version;
}

static void
start_load_timer (uint64_t version)
{
  load_timer = dl_timer_subscribe (task, task, loaded_ms - dl_clock_ms (), 0, on_loaded,
                                   GSIZE_TO_POINTER ((gsize)version));
}

static unsigned
run_command (const Command *c)
{
  if (strcmp (c->operation, "start") != 0)
    return 400;
  if (loading || (c->sequence != NO_SEQUENCE && c->sequence != staged_commands ()))
    return 409;
  if (c->unloads ? staged_version == 0 : c->version == staged_version)
    return 200;
  commands++;
  commands_closed += c->request == NULL;
  if (c->unloads)
    {
      staged_version = 0;
      is_spoilt = false;
      return 202;
    }
  take (c->version);
  begin_failing_reports ();
  loading = true;
  loaded_ms = dl_clock_ms () + LOAD_MS;
  start_load_timer (c->version);
  return 202;
}

static void
finish_command (Command *c)
{
  unsigned status = run_command (c);

  if (c->request != NULL)
    {
      dl_http_request_on_closed (c->request, NULL, NULL);
      standin_reply_status (c->request, status);
    }
  talloc_free (c);
}

static void
on_command_due (DlTimer *timer, void *data)
{
  finish_command (data);
}

static void
on_command_closed (DlHttpRequest *request, bool completed, void *data)
{
  ((Command *)data)->request = NULL;
}

static void
keep_body (json_object *body, bool unloads)
{
  char **kept = unloads ? &unload_body : &load_body;

  g_free (*kept);
  *kept = g_strdup (json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN));
}

static Command *
read_command (DlHttpRequest *request)
{
  json_object *body = standin_body (request);
  json_object *target;
  Command *c;

  if (body == NULL)
    return NULL;
  c = talloc_zero (task, Command);
  c->request = request;
  c->operation = talloc_strdup (c, standin_json_text (body, "operation"));
  c->version = standin_json_uint (body, "version");
  c->sequence = json_object_object_get (body, "precondition") != NULL
                    ? standin_json_uint (body, "precondition")
                    : NO_SEQUENCE;
  c->unloads = json_object_object_get_ex (body, "target", &target)
               && json_object_get_uint64 (target) == 0;
  keep_body (body, c->unloads);
  json_object_put (body);
  return c;
}

/* Lets the faults happen that a command brings about as it arrives. */
static void
apply_faults_at_command (uint64_t version)
{
  GHashTableIter iter;
  gpointer index;
  gpointer copy;

  for (unsigned i = 0; i < WEIGHTS_CHUNKS && staged_rot_at_command > 0; i++)
    if (staged_copy (i) != NULL && standin_count_down (&staged_rot_at_command))
      turn_bad (staged_copy (i));
  if (version < late_version)
    return;
  g_hash_table_iter_init (&iter, late_writes);
  while (g_hash_table_iter_next (&iter, &index, &copy))
    {
      g_hash_table_iter_steal (&iter);
      g_hash_table_replace (staged, index, copy);
    }
}

/* The process stands still before it takes the command. */
static void
stall_at_command (void)
{
  uint64_t stall_ms = staged_command_stall_ms;

  staged_command_stall_ms = 0;
  g_usleep (stall_ms * US_PER_MS);
  if (standin_count_down (&staged_stop_at_command))
    raise (SIGSTOP);
}

static void
handle_command (DlHttpRequest *request)
{
  Command *c = read_command (request);
  uint64_t late_ms = staged_command_late_ms;

  if (c == NULL)
    return;
  if (!c->unloads)
    apply_faults_at_command (c->version);
  stall_at_command ();
  if (!standin_count_down (&staged_commands_late))
    staged_command_late_ms = 0;
  if (late_ms == 0)
    {
      finish_command (c);
      return;
    }
  dl_http_request_on_closed (request, on_command_closed, c);
  dl_timer_subscribe (task, c, late_ms, 0, on_command_due, c);
}

/* -------- the module -------- */

bool
staged_handle (DlHttpRequest *request)
{
  const char *path = dl_http_request_path (request);

  if (strcmp (path, "/-/order") == 0)
    handle_command (request);
  else if (g_str_has_prefix (path, PUT_PREFIX))
    put (request);
  else if (g_str_has_prefix (path, GET_PREFIX))
    get (request);
  else
    return false;
  return true;
}

void
staged_record (json_object *records)
{
  standin_json_set_text (records, "load_body", load_body != NULL ? load_body : "");
  standin_json_set_text (records, "unload_body", unload_body != NULL ? unload_body : "");
  standin_json_set_uint (records, "version", staged_version);
  standin_json_set_uint (records, "orders", commands);
  standin_json_set_uint (records, "mixed", staged_mixed);
  standin_json_set_uint (records, "spoilt", spoilt);
  standin_json_set_uint (records, "spoilt_runs", spoilt_runs);
  standin_json_set_uint (records, "spoilt_run_ms", spoilt_run_ms);
  standin_json_set_uint (records, "commands_closed", commands_closed);
  standin_json_set_uint (records, "stage_puts", put_calls);
}
