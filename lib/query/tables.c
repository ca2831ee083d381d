/*
 * Builds the rows of each table from the platform's objects.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/fleet.h"
#include "query/flatten.h"
#include "query/json_get.h"
#include "query/query.h"

#define DIGEST_SHOWN_BYTES 12 /* hexadecimal digits of a version without a label */
#define PERCENT            100
#define RATIO_SCALE        100
#define MS_PER_S           1000

/* -------- the objects of a revision -------- */

const DlObject *
dl_query_source_kind (const DlQuerySource *source, const char *kind, size_t *count)
{
  return dl_objects_of_kind (source->objects, source->count, kind, count);
}

const DlObject *
dl_query_source_find (const DlQuerySource *source, const char *kind, const char *name)
{
  return dl_objects_find (source->objects, source->count, kind, name);
}

/* -------- rows of status objects -------- */

/* One host or entry of a status object. */
typedef struct
{
  const char *host;
  const char *data_center; /* name of the status object */
  json_object *value;
} StatusRow;

typedef struct
{
  size_t count;
  StatusRow *rows;
} StatusRows;

static int
compare_status_rows (const void *a, const void *b)
{
  const StatusRow *x = a;
  const StatusRow *y = b;
  int order = strcmp (x->host, y->host);

  return order != 0 ? order : strcmp (x->data_center, y->data_center);
}

/* Collects the elements of LIST ("hosts" or "entries") of all status objects, sorted by
 * host.  The rows are a talloc child of CONTEXT and refer to SOURCE. */
static StatusRows
collect_status (const void *context, const DlQuerySource *source, const char *list)
{
  StatusRows result = { 0 };
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "status", &count);

  for (size_t i = 0; i < count; i++)
    {
      json_object *array = dl_json_array (objects[i].value, list);
      size_t length = dl_json_array_length (array);

      result.rows
          = talloc_realloc (context, result.rows, StatusRow, result.count + length + 1);
      for (size_t j = 0; j < length; j++)
        {
          json_object *value = json_object_array_get_idx (array, j);

          result.rows[result.count++] = (StatusRow){
            .host = dl_json_text (value, "host"),
            .data_center = objects[i].name,
            .value = value,
          };
        }
    }
  if (result.count > 0)
    qsort (result.rows, result.count, sizeof *result.rows, compare_status_rows);
  return result;
}

static GHashTable *
index_by_host (const StatusRows *rows)
{
  GHashTable *index = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < rows->count; i++)
    g_hash_table_insert (index, (char *)rows->rows[i].host, rows->rows[i].value);
  return index;
}

/* -------- cells -------- */

static DlRows *
rows_new (const void *context, DlTableId table, size_t capacity)
{
  DlRows *rows = talloc_zero (context, DlRows);

  rows->table = &dl_tables[table];
  rows->cells
      = talloc_zero_array (rows, DlCell, MAX (capacity, 1) * rows->table->column_count);
  return rows;
}

/* Returns the next row; rows_new() must have reserved it. */
static DlCell *
next_row (DlRows *rows)
{
  return &rows->cells[rows->count++ * rows->table->column_count];
}

/* TEXT is copied, as the result outlives the objects. */
static DlCell
text_cell (const DlRows *rows, const char *text)
{
  if (text[0] == '\0')
    return (DlCell){ .text = "", .absent = true };
  return (DlCell){ .text = talloc_strdup (rows, text) };
}

static DlCell
number_cell (uint64_t number)
{
  return (DlCell){ .number = number };
}

static DlCell
absent_cell (void)
{
  return (DlCell){ .text = "", .digest = "", .absent = true };
}

static DlCell
time_cell (uint64_t at_ms)
{
  return at_ms > 0 ? number_cell (at_ms) : absent_cell ();
}

static DlCell
version_cell (const DlRows *rows, const DlQuerySource *source, const char *digest)
{
  const DlObject *version;
  const char *label;

  if (digest[0] == '\0')
    return absent_cell ();
  version = dl_query_source_find (source, "version", digest);
  label = version != NULL ? dl_json_text (version->value, "label") : "";
  return (DlCell){
    .text = label[0] != '\0' ? talloc_strdup (rows, label)
                             : talloc_strndup (rows, digest, DIGEST_SHOWN_BYTES),
    .digest = talloc_strdup (rows, digest),
  };
}

/* -------- hosts, upstreams, entries -------- */

bool
dl_host_is_drained (const DlQuerySource *source, const char *host)
{
  const DlObject *object = dl_query_source_find (source, "drain", host);

  return object != NULL
         && strcmp (dl_json_text (object->value, "state"), DL_DRAIN_IN_SERVICE) != 0;
}

static DlCell
percent_cell (json_object *host)
{
  uint64_t total = dl_json_uint (host, "chunks_total");

  if (total == 0)
    return absent_cell ();
  return number_cell (dl_json_uint (host, "chunks_verified") * PERCENT / total);
}

static void
fill_host (DlCell *row,
           const DlRows *rows,
           const StatusRow *s,
           const DlQuerySource *source)
{
  json_object *v = s->value;

  row[DL_HOST_HOST] = text_cell (rows, s->host);
  row[DL_HOST_REGION] = text_cell (rows, dl_json_text (v, "region"));
  row[DL_HOST_DATA_CENTER] = text_cell (rows, s->data_center);
  row[DL_HOST_SERVICE] = text_cell (rows, dl_json_text (v, "service"));
  row[DL_HOST_STATE] = text_cell (rows, dl_json_text (v, "state"));
  row[DL_HOST_VERSION] = version_cell (rows, source, dl_json_text (v, "serving_version"));
  row[DL_HOST_DIGEST] = text_cell (rows, dl_json_text (v, "serving_version"));
  row[DL_HOST_TARGET] = version_cell (rows, source, dl_json_text (v, "target_version"));
  row[DL_HOST_ROLLOUT] = text_cell (rows, dl_json_text (v, "rollout"));
  row[DL_HOST_PERCENT] = percent_cell (v);
  row[DL_HOST_CHUNKS] = number_cell (dl_json_uint (v, "chunks_verified"));
  row[DL_HOST_CHUNKS_TOTAL] = number_cell (dl_json_uint (v, "chunks_total"));
  row[DL_HOST_ORIGIN_BYTES] = number_cell (dl_json_uint (v, "origin_bytes"));
  row[DL_HOST_REGION_BYTES] = number_cell (dl_json_uint (v, "region_bytes"));
  row[DL_HOST_RECEIVED_BYTES] = number_cell (dl_json_uint (v, "received_bytes"));
  row[DL_HOST_DUPLICATE_BYTES] = number_cell (dl_json_uint (v, "duplicate_bytes"));
  row[DL_HOST_RUNNING] = number_cell (dl_json_uint (v, "requests_running"));
  row[DL_HOST_QUEUED] = number_cell (dl_json_uint (v, "requests_queued"));
  row[DL_HOST_CAPACITY] = number_cell (dl_json_uint (v, "capacity"));
  row[DL_HOST_SETTINGS] = number_cell (dl_json_uint (v, "settings_revision"));
  row[DL_HOST_ACCEPTS] = number_cell (dl_json_flag (v, "accepts_requests"));
  row[DL_HOST_DRAINED] = number_cell (dl_host_is_drained (source, s->host));
  row[DL_HOST_LOST] = number_cell (dl_json_flag (v, "lost"));
  row[DL_HOST_FAILURE] = text_cell (rows, dl_json_text (v, "failure"));
}

static DlRows *
build_hosts (const void *context, const DlQuerySource *source)
{
  StatusRows status = collect_status (context, source, "hosts");
  DlRows *rows = rows_new (context, DL_TABLE_HOSTS, status.count);

  for (size_t i = 0; i < status.count; i++)
    fill_host (next_row (rows), rows, &status.rows[i], source);
  return rows;
}

static void
fill_upstream (DlCell *row,
               const DlRows *rows,
               const StatusRow *s,
               const DlQuerySource *source)
{
  json_object *v = s->value;
  const char *version = dl_json_text (v, "serving_version");

  row[DL_UPSTREAM_HOST] = text_cell (rows, s->host);
  row[DL_UPSTREAM_SERVICE] = text_cell (rows, dl_json_text (v, "service"));
  row[DL_UPSTREAM_REGION] = text_cell (rows, dl_json_text (v, "region"));
  row[DL_UPSTREAM_DATA_CENTER] = text_cell (rows, s->data_center);
  row[DL_UPSTREAM_VERSION] = version_cell (rows, source, version);
  row[DL_UPSTREAM_ACCEPTS] = number_cell (dl_json_flag (v, "accepts_requests"));
  row[DL_UPSTREAM_DRAINED] = number_cell (dl_host_is_drained (source, s->host));
  row[DL_UPSTREAM_RUNNING] = number_cell (dl_json_uint (v, "requests_running"));
  row[DL_UPSTREAM_QUEUED] = number_cell (dl_json_uint (v, "requests_queued"));
  row[DL_UPSTREAM_CAPACITY] = number_cell (dl_json_uint (v, "capacity"));
  row[DL_UPSTREAM_LOST] = number_cell (dl_json_flag (v, "lost"));
}

static DlRows *
build_upstreams (const void *context, const DlQuerySource *source)
{
  StatusRows status = collect_status (context, source, "hosts");
  DlRows *rows = rows_new (context, DL_TABLE_UPSTREAMS, status.count);

  for (size_t i = 0; i < status.count; i++)
    fill_upstream (next_row (rows), rows, &status.rows[i], source);
  return rows;
}

static DlRows *
build_entries (const void *context, const DlQuerySource *source)
{
  StatusRows status = collect_status (context, source, "entries");
  DlRows *rows = rows_new (context, DL_TABLE_ENTRIES, status.count);

  for (size_t i = 0; i < status.count; i++)
    {
      json_object *v = status.rows[i].value;
      DlCell *row = next_row (rows);

      row[DL_ENTRY_HOST] = text_cell (rows, status.rows[i].host);
      row[DL_ENTRY_REGION] = text_cell (rows, dl_json_text (v, "region"));
      row[DL_ENTRY_DATA_CENTER] = text_cell (rows, status.rows[i].data_center);
      row[DL_ENTRY_SETTINGS] = number_cell (dl_json_uint (v, "settings_revision"));
      row[DL_ENTRY_RUNNING] = number_cell (dl_json_uint (v, "requests_running"));
      row[DL_ENTRY_LEAVING] = number_cell (dl_json_flag (v, "leaving"));
    }
  return rows;
}

/* -------- rollouts -------- */

/* Progress of a rollout: the numbers of its targets in each state. */
typedef struct
{
  uint64_t targets;
  uint64_t fetching;
  uint64_t complete; /* all chunks verified, not yet loading or serving */
  uint64_t loading;  /* loading, or draining before it */
  uint64_t serving;
  uint64_t failed;
  uint64_t lost;
  uint64_t progress_percent; /* sum of the targets' percentages */
  uint64_t origin_bytes;
} Progress;

static void
count_target (Progress *p, json_object *host, const char *version, bool failed)
{
  const char *state = dl_json_text (host, "state");
  bool is_target = strcmp (dl_json_text (host, "target_version"), version) == 0;
  bool is_serving = strcmp (dl_json_text (host, "serving_version"), version) == 0;
  uint64_t total = dl_json_uint (host, "chunks_total");
  uint64_t verified = MIN (dl_json_uint (host, "chunks_verified"), total);

  p->lost += dl_json_flag (host, "lost");
  if (is_target)
    p->origin_bytes += dl_json_uint (host, "origin_bytes");
  if (is_serving)
    p->progress_percent += PERCENT;
  else if (is_target && total > 0)
    p->progress_percent += verified * PERCENT / total;
  if (is_serving)
    p->serving++;
  else if (failed || strcmp (state, "failed") == 0)
    p->failed++;
  else if (is_target
           && (strcmp (state, "loading") == 0 || strcmp (state, "draining") == 0))
    p->loading++;
  else if (is_target && total > 0 && verified == total)
    p->complete++;
  else
    p->fetching++;
}

static Progress
measure_progress (json_object *rollout, GHashTable *hosts)
{
  Progress p = { 0 };
  json_object *targets = dl_json_array (rollout, "targets");
  json_object *failures = dl_json_object (rollout, "failures");
  const char *version = dl_json_text (rollout, "version");

  p.targets = dl_json_array_length (targets);
  for (size_t i = 0; i < p.targets; i++)
    {
      json_object *name = json_object_array_get_idx (targets, i);
      const char *host = json_object_get_string (name);
      bool failed;

      if (host == NULL)
        continue;
      failed = failures != NULL && json_object_object_get_ex (failures, host, NULL);
      count_target (&p, g_hash_table_lookup (hosts, host), version, failed);
    }
  return p;
}

static json_object *
history_entry (json_object *object, bool last)
{
  json_object *history = dl_json_array (object, "history");
  size_t length = dl_json_array_length (history);

  return length > 0 ? json_object_array_get_idx (history, last ? length - 1 : 0) : NULL;
}

/* Returns the latest "at_ms" of the status objects; 0 when there is none. */
static uint64_t
latest_status_ms (const DlQuerySource *source)
{
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "status", &count);
  uint64_t latest = 0;

  for (size_t i = 0; i < count; i++)
    latest = MAX (latest, dl_json_uint (objects[i].value, "at_ms"));
  return latest;
}

/* Extrapolates from the progress since the start.  NOW_MS comes from the status objects,
 * not from a clock, so that the row depends only on the revision. */
static DlCell
seconds_left_cell (json_object *rollout, const Progress *p, uint64_t now_ms)
{
  const char *state = dl_json_text (rollout, "state");
  uint64_t started_ms = dl_json_uint (history_entry (rollout, false), "at_ms");
  uint64_t done;
  uint64_t total;

  if (strcmp (state, "distributing") == 0)
    {
      done = p->progress_percent;
      total = p->targets * PERCENT;
    }
  else if (strcmp (state, "loading") == 0)
    {
      done = p->serving;
      total = p->targets;
    }
  else
    return absent_cell ();
  if (done == 0 || started_ms == 0 || now_ms <= started_ms)
    return absent_cell ();
  return number_cell ((now_ms - started_ms) * (total - MIN (done, total)) / done
                      / MS_PER_S);
}

static DlCell
origin_copies_cell (const DlQuerySource *source, json_object *rollout, const Progress *p)
{
  const DlObject *version
      = dl_query_source_find (source, "version", dl_json_text (rollout, "version"));
  uint64_t total = version != NULL ? dl_json_uint (version->value, "total_bytes") : 0;

  if (total == 0)
    return absent_cell ();
  return number_cell ((uint64_t)((double)p->origin_bytes * RATIO_SCALE / (double)total));
}

static DlCell
list_cell (const DlRows *rows, json_object *array, const char *empty_text)
{
  char *text = NULL;

  for (size_t i = 0; i < dl_json_array_length (array); i++)
    {
      const char *element = json_object_get_string (json_object_array_get_idx (array, i));

      text = text == NULL
                 ? talloc_strdup (rows, element != NULL ? element : "")
                 : talloc_asprintf_append (text, ",%s", element != NULL ? element : "");
    }
  return (DlCell){ .text = text != NULL ? text : empty_text };
}

static void
fill_rollout_progress (DlCell *row, const Progress *p)
{
  row[DL_ROLLOUT_TARGETS] = number_cell (p->targets);
  row[DL_ROLLOUT_FETCHING] = number_cell (p->fetching);
  row[DL_ROLLOUT_WHOLE] = number_cell (p->complete);
  row[DL_ROLLOUT_LOADING] = number_cell (p->loading);
  row[DL_ROLLOUT_SERVING] = number_cell (p->serving);
  row[DL_ROLLOUT_FAILED] = number_cell (p->failed);
  row[DL_ROLLOUT_LOST] = number_cell (p->lost);
  row[DL_ROLLOUT_PERCENT]
      = p->targets > 0 ? number_cell (p->progress_percent / p->targets) : absent_cell ();
}

static void
fill_rollout_history (DlCell *row, const DlRows *rows, json_object *rollout)
{
  json_object *first = history_entry (rollout, false);
  json_object *last = history_entry (rollout, true);

  row[DL_ROLLOUT_BY] = text_cell (rows, dl_json_text (first, "by"));
  row[DL_ROLLOUT_STARTED] = time_cell (dl_json_uint (first, "at_ms"));
  row[DL_ROLLOUT_LAST] = text_cell (rows, dl_json_text (last, "what"));
  row[DL_ROLLOUT_LAST_BY] = text_cell (rows, dl_json_text (last, "by"));
  row[DL_ROLLOUT_LAST_AT] = time_cell (dl_json_uint (last, "at_ms"));
}

static void
fill_rollout (DlCell *row,
              const DlRows *rows,
              const DlObject *object,
              const Progress *p,
              const DlQuerySource *source)
{
  json_object *v = object->value;

  row[DL_ROLLOUT_NAME] = text_cell (rows, object->name);
  row[DL_ROLLOUT_VERSION] = version_cell (rows, source, dl_json_text (v, "version"));
  row[DL_ROLLOUT_DIGEST] = text_cell (rows, dl_json_text (v, "version"));
  row[DL_ROLLOUT_SERVICE] = text_cell (rows, dl_json_text (v, "service"));
  row[DL_ROLLOUT_REGIONS] = list_cell (rows, dl_json_array (v, "regions"), "all");
  row[DL_ROLLOUT_STATE] = text_cell (rows, dl_json_text (v, "state"));
  row[DL_ROLLOUT_ORIGIN_COPIES] = origin_copies_cell (source, v, p);
  row[DL_ROLLOUT_SECONDS_LEFT] = seconds_left_cell (v, p, latest_status_ms (source));
  row[DL_ROLLOUT_WEIGH] = text_cell (rows, dl_json_text (v, "weigh"));
  row[DL_ROLLOUT_WAVE] = number_cell (dl_json_uint (v, "wave_percent"));
  row[DL_ROLLOUT_FENCE] = number_cell (dl_json_uint (v, "fence"));
  row[DL_ROLLOUT_REASON] = text_cell (rows, dl_json_text (v, "reason"));
  row[DL_ROLLOUT_REVISION] = number_cell (object->revision);
  fill_rollout_progress (row, p);
  fill_rollout_history (row, rows, v);
}

static DlRows *
build_rollouts (const void *context, const DlQuerySource *source)
{
  StatusRows status = collect_status (context, source, "hosts");
  GHashTable *hosts = index_by_host (&status);
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "rollout", &count);
  DlRows *rows = rows_new (context, DL_TABLE_ROLLOUTS, count);

  for (size_t i = 0; i < count; i++)
    {
      Progress p = measure_progress (objects[i].value, hosts);

      fill_rollout (next_row (rows), rows, &objects[i], &p, source);
    }
  g_hash_table_destroy (hosts);
  return rows;
}

/* -------- failures -------- */

static void
add_failure (DlRows *rows,
             const char *host,
             const char *rollout,
             const char *source,
             const char *reason)
{
  size_t width = rows->table->column_count;
  DlCell *row;

  rows->cells = talloc_realloc (rows, rows->cells, DlCell, (rows->count + 1) * width);
  row = next_row (rows);
  row[DL_FAILURE_HOST] = text_cell (rows, host);
  row[DL_FAILURE_ROLLOUT] = text_cell (rows, rollout);
  row[DL_FAILURE_SOURCE] = text_cell (rows, source);
  row[DL_FAILURE_REASON] = text_cell (rows, reason);
}

static int
compare_failures (const void *a, const void *b)
{
  const DlCell *x = a;
  const DlCell *y = b;

  for (int i = 0; i < DL_FAILURE_COLUMNS; i++)
    {
      int order = strcmp (x[i].text, y[i].text);

      if (order != 0)
        return order;
    }
  return 0;
}

static void
add_host_failures (DlRows *rows, const StatusRows *status)
{
  for (size_t i = 0; i < status->count; i++)
    {
      json_object *v = status->rows[i].value;
      const char *failure = dl_json_text (v, "failure");
      const char *rollout = dl_json_text (v, "rollout");

      if (failure[0] != '\0' || strcmp (dl_json_text (v, "state"), "failed") == 0)
        add_failure (rows, status->rows[i].host, rollout, "host",
                     failure[0] != '\0' ? failure : "failed without a reason");
      if (dl_json_flag (v, "lost"))
        add_failure (rows, status->rows[i].host, rollout, "relay",
                     "the host's slot is not heard");
    }
}

static void
add_rollout_failures (DlRows *rows, const DlObject *rollout)
{
  json_object *failures = dl_json_object (rollout->value, "failures");

  if (strcmp (dl_json_text (rollout->value, "state"), "failed") == 0)
    add_failure (rows, "", rollout->name, "rollout",
                 dl_json_text (rollout->value, "reason"));
  if (failures == NULL)
    return;
  json_object_object_foreach (failures, host, reason)
    {
      const char *text = json_object_get_string (reason);

      add_failure (rows, host, rollout->name, "rollout", text != NULL ? text : "");
    }
}

static DlRows *
build_failures (const void *context, const DlQuerySource *source)
{
  StatusRows status = collect_status (context, source, "hosts");
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "rollout", &count);
  DlRows *rows = rows_new (context, DL_TABLE_FAILURES, 0);

  add_host_failures (rows, &status);
  for (size_t i = 0; i < count; i++)
    add_rollout_failures (rows, &objects[i]);
  qsort (rows->cells, rows->count, rows->table->column_count * sizeof (DlCell),
         compare_failures);
  return rows;
}

/* -------- versions, leases, settings, commands, drains -------- */

static DlRows *
build_versions (const void *context, const DlQuerySource *source)
{
  StatusRows status = collect_status (context, source, "hosts");
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "version", &count);
  DlRows *rows = rows_new (context, DL_TABLE_VERSIONS, count);

  for (size_t i = 0; i < count; i++)
    {
      json_object *v = objects[i].value;
      DlCell *row = next_row (rows);
      uint64_t serving = 0;

      for (size_t j = 0; j < status.count; j++)
        serving += strcmp (dl_json_text (status.rows[j].value, "serving_version"),
                           objects[i].name)
                   == 0;
      row[DL_VERSION_LABEL] = text_cell (rows, dl_json_text (v, "label"));
      row[DL_VERSION_DIGEST] = text_cell (rows, objects[i].name);
      row[DL_VERSION_MODEL] = text_cell (rows, dl_json_text (v, "model"));
      row[DL_VERSION_TOTAL_BYTES] = number_cell (dl_json_uint (v, "total_bytes"));
      row[DL_VERSION_CHUNKS] = number_cell (dl_json_uint (v, "chunk_count"));
      row[DL_VERSION_MANIFEST_BYTES] = number_cell (dl_json_uint (v, "manifest_bytes"));
      row[DL_VERSION_SERVING] = number_cell (serving);
      row[DL_VERSION_BY] = text_cell (rows, dl_json_text (v, "by"));
      row[DL_VERSION_AT] = time_cell (dl_json_uint (v, "at_ms"));
    }
  return rows;
}

static DlRows *
build_leases (const void *context, const DlQuerySource *source)
{
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "lease", &count);
  DlRows *rows = rows_new (context, DL_TABLE_LEASES, count);

  for (size_t i = 0; i < count; i++)
    {
      json_object *v = objects[i].value;
      DlCell *row = next_row (rows);

      row[DL_LEASE_NAME] = text_cell (rows, objects[i].name);
      row[DL_LEASE_HOLDER] = text_cell (rows, dl_json_text (v, "holder"));
      row[DL_LEASE_FENCE] = number_cell (dl_json_uint (v, "fence"));
      row[DL_LEASE_TTL_MS] = number_cell (dl_json_uint (v, "ttl_ms"));
      row[DL_LEASE_REVISION] = number_cell (objects[i].revision);
    }
  return rows;
}

static DlRows *
build_settings (const void *context, const DlQuerySource *source)
{
  const DlObject *object = dl_query_source_find (source, DL_FLEET_KIND, DL_FLEET_NAME);
  DlFlatSetting *list = NULL;
  size_t count = 0;
  DlRows *rows;

  if (object != NULL)
    list = dl_settings_flatten (context, object->value, &count);
  rows = rows_new (context, DL_TABLE_SETTINGS, count);
  for (size_t i = 0; i < count; i++)
    {
      DlCell *row = next_row (rows);

      row[DL_SETTING_KEY] = text_cell (rows, list[i].key);
      row[DL_SETTING_VALUE] = text_cell (rows, list[i].value);
      row[DL_SETTING_REVISION] = number_cell (object->revision);
    }
  return rows;
}

static DlRows *
build_commands (const void *context, const DlQuerySource *source)
{
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "command", &count);
  DlRows *rows = rows_new (context, DL_TABLE_COMMANDS, count);

  for (size_t i = 0; i < count; i++)
    {
      json_object *v = objects[i].value;
      DlCell *row = next_row (rows);

      row[DL_COMMAND_ID] = text_cell (rows, objects[i].name);
      row[DL_COMMAND_BY] = text_cell (rows, dl_json_text (v, "by"));
      row[DL_COMMAND_AT] = time_cell (dl_json_uint (v, "at_ms"));
      row[DL_COMMAND_OUTCOME] = text_cell (rows, dl_json_text (v, "outcome"));
      row[DL_COMMAND_TEXT] = text_cell (rows, dl_json_text (v, "text"));
      row[DL_COMMAND_DETAIL] = text_cell (rows, dl_json_text (v, "detail"));
      row[DL_COMMAND_REVISION] = number_cell (dl_json_uint (v, "revision"));
    }
  return rows;
}

static DlRows *
build_drains (const void *context, const DlQuerySource *source)
{
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "drain", &count);
  DlRows *rows = rows_new (context, DL_TABLE_DRAINS, count);

  for (size_t i = 0; i < count; i++)
    {
      DlCell *row;

      if (!dl_host_is_drained (source, objects[i].name))
        continue;
      row = next_row (rows);
      row[DL_DRAIN_HOST] = text_cell (rows, objects[i].name);
      row[DL_DRAIN_BY] = text_cell (rows, dl_json_text (objects[i].value, "by"));
      row[DL_DRAIN_AT] = time_cell (dl_json_uint (objects[i].value, "at_ms"));
    }
  return rows;
}

/* -------- settings in effect -------- */

/* The settings revisions of a group of nodes. */
typedef struct
{
  const char *data_center;
  const char *role;
  uint64_t nodes;
  uint64_t reporting; /* nodes that are not lost */
  uint64_t minimum;   /* revision among those reporting */
  uint64_t maximum;
  uint64_t behind; /* of those reporting, nodes that have an older revision */
} NodeGroup;

static void
count_node (NodeGroup *g, json_object *node, uint64_t revision)
{
  uint64_t at = dl_json_uint (node, "settings_revision");

  g->nodes++;
  if (dl_json_flag (node, "lost"))
    return;
  g->minimum = g->reporting == 0 ? at : MIN (g->minimum, at);
  g->maximum = MAX (g->maximum, at);
  g->behind += at < revision;
  g->reporting++;
}

static void
add_group (DlRows *rows, const NodeGroup *g, uint64_t revision)
{
  DlCell *row = next_row (rows);

  row[DL_IN_FORCE_DATA_CENTER] = text_cell (rows, g->data_center);
  row[DL_IN_FORCE_ROLE] = text_cell (rows, g->role);
  row[DL_IN_FORCE_NODES] = number_cell (g->nodes);
  row[DL_IN_FORCE_MINIMUM] = g->reporting > 0 ? number_cell (g->minimum) : absent_cell ();
  row[DL_IN_FORCE_MAXIMUM] = g->reporting > 0 ? number_cell (g->maximum) : absent_cell ();
  row[DL_IN_FORCE_BEHIND] = number_cell (g->behind);
  row[DL_IN_FORCE_UNHEARD] = number_cell (g->nodes - g->reporting);
  row[DL_IN_FORCE_REVISION] = number_cell (revision);
  row[DL_IN_FORCE_IN_FORCE] = number_cell (revision > 0 && g->nodes > 0 && g->behind == 0
                                           && g->reporting == g->nodes);
}

static void
add_groups (DlRows *rows,
            const DlObject *status,
            const char *list,
            uint64_t revision,
            NodeGroup *total)
{
  json_object *nodes = dl_json_array (status->value, list);
  NodeGroup g = {
    .data_center = status->name,
    .role = strcmp (list, "hosts") == 0 ? "slot" : "entry",
  };

  for (size_t i = 0; i < dl_json_array_length (nodes); i++)
    {
      count_node (&g, json_object_array_get_idx (nodes, i), revision);
      count_node (total, json_object_array_get_idx (nodes, i), revision);
    }
  if (g.nodes > 0)
    add_group (rows, &g, revision);
}

DlRows *
dl_in_force_rows (const void *context, uint64_t revision, const DlQuerySource *source)
{
  const DlObject *accepted = dl_query_source_find (source, DL_FLEET_KIND, DL_FLEET_NAME);
  size_t count;
  const DlObject *status = dl_query_source_kind (source, "status", &count);
  DlRows *rows = rows_new (context, DL_TABLE_IN_FORCE, 2 * count + 1);
  NodeGroup total = { .data_center = "all", .role = "all" };

  if (revision == 0 && accepted != NULL)
    revision = accepted->revision;
  for (size_t i = 0; i < count; i++)
    {
      add_groups (rows, &status[i], "entries", revision, &total);
      add_groups (rows, &status[i], "hosts", revision, &total);
    }
  add_group (rows, &total, revision);
  return rows;
}

DlRows *
dl_table_rows (const void *context, DlTableId table, const DlQuerySource *source)
{
  switch (table)
    {
    case DL_TABLE_HOSTS:
      return build_hosts (context, source);
    case DL_TABLE_ROLLOUTS:
      return build_rollouts (context, source);
    case DL_TABLE_VERSIONS:
      return build_versions (context, source);
    case DL_TABLE_UPSTREAMS:
      return build_upstreams (context, source);
    case DL_TABLE_ENTRIES:
      return build_entries (context, source);
    case DL_TABLE_LEASES:
      return build_leases (context, source);
    case DL_TABLE_SETTINGS:
      return build_settings (context, source);
    case DL_TABLE_FAILURES:
      return build_failures (context, source);
    case DL_TABLE_COMMANDS:
      return build_commands (context, source);
    case DL_TABLE_DRAINS:
      return build_drains (context, source);
    case DL_TABLE_IN_FORCE:
      return dl_in_force_rows (context, 0, source);
    case DL_TABLES:
      break;
    }
  g_assert_not_reached ();
}
