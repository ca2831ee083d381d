#include "query/screen.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "query/json_get.h"
#include "query/render.h"

#define BAR_CELLS    20
#define PERCENT      100
#define S_PER_MINUTE 60

#define ROLLOUT_COLUMNS                                                             \
  "name, version, service, state, targets, whole, loading, serving, failed, lost, " \
  "percent, origin_copies, seconds_left"

typedef struct
{
  const char *title;
  const char *when_empty;
  const char *query;
} Part;

static const Part parts[DL_SCREEN_QUERIES] = {
  [DL_SCREEN_IN_PROGRESS] = {
    .title = "ROLLOUTS IN PROGRESS",
    .when_empty = "none",
    .query = "show rollouts columns " ROLLOUT_COLUMNS
             " where state in (distributing, loading, paused)",
  },
  [DL_SCREEN_FINISHED] = {
    .title = "LATEST OTHER ROLLOUTS",
    .when_empty = "none",
    .query = "show rollouts columns name, version, service, state, targets, serving, "
             "failed, origin_copies, last_by, last_at, reason"
             " where state in (complete, called-off, replaced, failed)"
             " order by last_at desc limit 5",
  },
  [DL_SCREEN_FAILURES] = {
    .title = "FAILURES",
    .when_empty = "none",
    .query = "show failures limit 10",
  },
  [DL_SCREEN_IN_FORCE] = {
    .title = "SETTINGS IN FORCE",
    .when_empty = "no node has reported",
    .query = "settings in force",
  },
  [DL_SCREEN_COMMANDS] = {
    .title = "LATEST COMMANDS",
    .when_empty = "none",
    .query = "show commands columns at, by, outcome, text, detail order by at desc limit 5",
  },
};

const char *
dl_screen_query (DlScreenQuery query)
{
  return parts[query].query;
}

/* -------- progress bars -------- */

static size_t
find_column (json_object *answer, const char *name)
{
  json_object *columns = dl_json_array (answer, "columns");
  size_t count = dl_json_array_length (columns);

  for (size_t i = 0; i < count; i++)
    if (g_strcmp0 (json_object_get_string (json_object_array_get_idx (columns, i)), name)
        == 0)
      return i;
  return count;
}

static json_object *
find_cell (json_object *answer, json_object *row, const char *name)
{
  if (!json_object_is_type (row, json_type_array))
    return NULL;
  return json_object_array_get_idx (row, find_column (answer, name));
}

static void
put_time_left (DlBuffer *buffer, json_object *seconds)
{
  uint64_t s = json_object_get_uint64 (seconds);

  if (seconds == NULL)
    dl_buffer_printf (buffer, "time left not known");
  else if (s < S_PER_MINUTE)
    dl_buffer_printf (buffer, "%" PRIu64 " s left", s);
  else
    dl_buffer_printf (buffer, "%" PRIu64 " min %02" PRIu64 " s left", s / S_PER_MINUTE,
                      s % S_PER_MINUTE);
}

static void
put_bar (DlBuffer *buffer, json_object *answer, json_object *row)
{
  const char *name = json_object_get_string (find_cell (answer, row, "name"));
  uint64_t percent
      = MIN (json_object_get_uint64 (find_cell (answer, row, "percent")), PERCENT);
  char bar[BAR_CELLS + 1];

  for (unsigned i = 0; i < BAR_CELLS; i++)
    bar[i] = i * PERCENT < percent * BAR_CELLS ? '#' : '.';
  bar[BAR_CELLS] = '\0';
  dl_buffer_printf (buffer, "%s [%s] %" PRIu64 "%%, ", name != NULL ? name : "", bar,
                    percent);
  put_time_left (buffer, find_cell (answer, row, "seconds_left"));
  dl_buffer_append (buffer, "\n", 1);
}

static void
put_bars (DlBuffer *buffer, json_object *answer)
{
  json_object *rows = dl_json_array (answer, "rows");

  for (size_t i = 0; i < dl_json_array_length (rows); i++)
    put_bar (buffer, answer, json_object_array_get_idx (rows, i));
}

/* -------- fitting -------- */

/* Appends LINE, cut to WIDTH characters. */
static void
put_cut (DlBuffer *buffer, DlStr line, unsigned width)
{
  size_t length = line.length;

  if (g_utf8_validate (line.data, (gssize)line.length, NULL))
    {
      if (g_utf8_strlen (line.data, (gssize)line.length) > (glong)width)
        length = (size_t)(g_utf8_offset_to_pointer (line.data, width) - line.data);
    }
  else
    length = MIN (length, width);
  dl_buffer_append (buffer, line.data, length);
  dl_buffer_append (buffer, "\n", 1);
}

/* Copies the lines of TEXT that fit. */
static void
fit (DlBuffer *buffer, DlStr text, unsigned width, unsigned height)
{
  size_t at = 0;

  for (unsigned line = 0; line < height && at < text.length; line++)
    {
      const char *start = text.data + at;
      const char *end = memchr (start, '\n', text.length - at);
      size_t length = end != NULL ? (size_t)(end - start) : text.length - at;

      put_cut (buffer, dl_str_bytes (start, length), width);
      at += length + 1;
    }
}

static void
put_part (DlBuffer *buffer, DlScreenQuery query, json_object *answer)
{
  json_object *rows = dl_json_array (answer, "rows");

  dl_buffer_printf (buffer, "\n%s\n", parts[query].title);
  if (dl_json_array_length (rows) == 0)
    {
      dl_buffer_printf (buffer, "%s\n", parts[query].when_empty);
      return;
    }
  if (query == DL_SCREEN_IN_PROGRESS)
    put_bars (buffer, answer);
  dl_render_table (buffer, answer);
}

void
dl_screen_body (DlBuffer *buffer,
                json_object *const answers[DL_SCREEN_QUERIES],
                unsigned width,
                unsigned height)
{
  DlBuffer *whole = dl_buffer_new (buffer, 0);

  dl_buffer_printf (whole, "daisyloft, revision %" PRIu64 "\n",
                    dl_json_uint (answers[0], "revision"));
  for (int i = 0; i < DL_SCREEN_QUERIES; i++)
    put_part (whole, i, answers[i]);
  fit (buffer, dl_buffer_view (whole), width, height);
  talloc_free (whole);
}
