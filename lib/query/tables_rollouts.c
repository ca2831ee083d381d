/*
 * Builds the rows of the tables "rollouts" and "failures".
 */
#include "query/tables_private.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/fleet.h"
#include "query/json_get.h"

#define PERCENT     100
#define RATIO_SCALE 100
#define MS_PER_S    1000

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
    return dl_cell_absent ();
  if (done == 0 || started_ms == 0 || now_ms <= started_ms)
    return dl_cell_absent ();
  return dl_cell_number ((now_ms - started_ms) * (total - MIN (done, total)) / done
                         / MS_PER_S);
}

static DlCell
origin_copies_cell (const DlQuerySource *source, json_object *rollout, const Progress *p)
{
  const DlObject *version
      = dl_query_source_find (source, "version", dl_json_text (rollout, "version"));
  uint64_t total = version != NULL ? dl_json_uint (version->value, "total_bytes") : 0;

  if (total == 0)
    return dl_cell_absent ();
  return dl_cell_number (
      (uint64_t)((double)p->origin_bytes * RATIO_SCALE / (double)total));
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
  row[DL_ROLLOUT_TARGETS] = dl_cell_number (p->targets);
  row[DL_ROLLOUT_FETCHING] = dl_cell_number (p->fetching);
  row[DL_ROLLOUT_WHOLE] = dl_cell_number (p->complete);
  row[DL_ROLLOUT_LOADING] = dl_cell_number (p->loading);
  row[DL_ROLLOUT_SERVING] = dl_cell_number (p->serving);
  row[DL_ROLLOUT_FAILED] = dl_cell_number (p->failed);
  row[DL_ROLLOUT_LOST] = dl_cell_number (p->lost);
  row[DL_ROLLOUT_PERCENT] = p->targets > 0
                                ? dl_cell_number (p->progress_percent / p->targets)
                                : dl_cell_absent ();
}

static void
fill_rollout_history (DlCell *row, const DlRows *rows, json_object *rollout)
{
  json_object *first = history_entry (rollout, false);
  json_object *last = history_entry (rollout, true);

  row[DL_ROLLOUT_BY] = dl_cell_text (rows, dl_json_text (first, "by"));
  row[DL_ROLLOUT_STARTED] = dl_cell_time (dl_json_uint (first, "at_ms"));
  row[DL_ROLLOUT_LAST] = dl_cell_text (rows, dl_json_text (last, "what"));
  row[DL_ROLLOUT_LAST_BY] = dl_cell_text (rows, dl_json_text (last, "by"));
  row[DL_ROLLOUT_LAST_AT] = dl_cell_time (dl_json_uint (last, "at_ms"));
}

static void
fill_rollout (DlCell *row,
              const DlRows *rows,
              const DlObject *object,
              const Progress *p,
              const DlQuerySource *source)
{
  json_object *v = object->value;

  row[DL_ROLLOUT_NAME] = dl_cell_text (rows, object->name);
  row[DL_ROLLOUT_VERSION] = dl_cell_version (rows, source, dl_json_text (v, "version"));
  row[DL_ROLLOUT_DIGEST] = dl_cell_text (rows, dl_json_text (v, "version"));
  row[DL_ROLLOUT_SERVICE] = dl_cell_text (rows, dl_json_text (v, "service"));
  row[DL_ROLLOUT_REGIONS] = list_cell (rows, dl_json_array (v, "regions"), "all");
  row[DL_ROLLOUT_STATE] = dl_cell_text (rows, dl_json_text (v, "state"));
  row[DL_ROLLOUT_ORIGIN_COPIES] = origin_copies_cell (source, v, p);
  row[DL_ROLLOUT_SECONDS_LEFT] = seconds_left_cell (v, p, latest_status_ms (source));
  row[DL_ROLLOUT_WEIGH] = dl_cell_text (rows, dl_json_text (v, "weigh"));
  row[DL_ROLLOUT_WAVE] = dl_cell_number (dl_json_uint (v, "wave_percent"));
  row[DL_ROLLOUT_FENCE] = dl_cell_number (dl_json_uint (v, "fence"));
  row[DL_ROLLOUT_REASON] = dl_cell_text (rows, dl_json_text (v, "reason"));
  row[DL_ROLLOUT_REVISION] = dl_cell_number (object->revision);
  fill_rollout_progress (row, p);
  fill_rollout_history (row, rows, v);
}

DlRows *
dl_tables_rollouts (const void *context, const DlQuerySource *source)
{
  DlStatusRows status = dl_tables_collect_status (context, source, "hosts");
  GHashTable *hosts = dl_tables_index_by_host (&status);
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "rollout", &count);
  DlRows *rows = dl_rows_new (context, DL_TABLE_ROLLOUTS, count);

  for (size_t i = 0; i < count; i++)
    {
      Progress p = measure_progress (objects[i].value, hosts);

      fill_rollout (dl_rows_next (rows), rows, &objects[i], &p, source);
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
  row = dl_rows_next (rows);
  row[DL_FAILURE_HOST] = dl_cell_text (rows, host);
  row[DL_FAILURE_ROLLOUT] = dl_cell_text (rows, rollout);
  row[DL_FAILURE_SOURCE] = dl_cell_text (rows, source);
  row[DL_FAILURE_REASON] = dl_cell_text (rows, reason);
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
add_host_failures (DlRows *rows, const DlStatusRows *status)
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

DlRows *
dl_tables_failures (const void *context, const DlQuerySource *source)
{
  DlStatusRows status = dl_tables_collect_status (context, source, "hosts");
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "rollout", &count);
  DlRows *rows = dl_rows_new (context, DL_TABLE_FAILURES, 0);

  add_host_failures (rows, &status);
  for (size_t i = 0; i < count; i++)
    add_rollout_failures (rows, &objects[i]);
  qsort (rows->cells, rows->count, rows->table->column_count * sizeof (DlCell),
         compare_failures);
  return rows;
}
