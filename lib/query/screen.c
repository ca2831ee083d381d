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
  const char *empty_text;
  const char *query;
} Part;

static const Part parts[DL_SCREEN_QUERIES] = {
  [DL_SCREEN_IN_PROGRESS] = {
    .title = "ROLLOUTS IN PROGRESS",
    .empty_text = "none",
    .query = "show rollouts columns " ROLLOUT_COLUMNS
             " where state in (distributing, loading, paused)",
  },
  [DL_SCREEN_FINISHED] = {
    .title = "LATEST OTHER ROLLOUTS",
    .empty_text = "none",
    .query = "show rollouts columns name, version, service, state, targets, serving, "
             "failed, origin_copies, last_by, last_at, reason"
             " where state in (complete, called-off, replaced, failed)"
             " order by last_at desc limit 5",
  },
  [DL_SCREEN_FAILURES] = {
    .title = "FAILURES",
    .empty_text = "none",
    .query = "show failures limit 10",
  },
  [DL_SCREEN_IN_FORCE] = {
    .title = "SETTINGS IN FORCE",
    .empty_text = "no node has reported",
    .query = "settings in force",
  },
  [DL_SCREEN_COMMANDS] = {
    .title = "LATEST COMMANDS",
    .empty_text = "none",
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
find_column (json_object *response, const char *name)
{
  json_object *columns = dl_json_array (response, "columns");
  size_t count = dl_json_array_length (columns);

  for (size_t i = 0; i < count; i++)
    if (g_strcmp0 (json_object_get_string (json_object_array_get_idx (columns, i)), name)
        == 0)
      return i;
  return count;
}

static json_object *
find_cell (json_object *response, json_object *row, const char *name)
{
  if (!json_object_is_type (row, json_type_array))
    return NULL;
  return json_object_array_get_idx (row, find_column (response, name));
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
put_bar (DlBuffer *buffer, json_object *response, json_object *row)
{
  const char *name = json_object_get_string (find_cell (response, row, "name"));
  uint64_t percent
      = MIN (json_object_get_uint64 (find_cell (response, row, "percent")), PERCENT);
  char bar[BAR_CELLS + 1];

  for (unsigned i = 0; i < BAR_CELLS; i++)
    bar[i] = i * PERCENT < percent * BAR_CELLS ? '#' : '.';
  bar[BAR_CELLS] = '\0';
  dl_buffer_printf (buffer, "%s [%s] %" PRIu64 "%%, ", name != NULL ? name : "", bar,
                    percent);
  put_time_left (buffer, find_cell (response, row, "seconds_left"));
  dl_buffer_append (buffer, "\n", 1);
}

static void
put_bars (DlBuffer *buffer, json_object *response)
{
  json_object *rows = dl_json_array (response, "rows");

  for (size_t i = 0; i < dl_json_array_length (rows); i++)
    put_bar (buffer, response, json_object_array_get_idx (rows, i));
}

/* -------- truncation -------- */

/* Appends LINE, truncated to WIDTH characters. */
static void
put_truncated (DlBuffer *buffer, DlStr line, unsigned width)
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

/* Appends the lines of TEXT that fit into WIDTH and HEIGHT. */
static void
put_fitting (DlBuffer *buffer, DlStr text, unsigned width, unsigned height)
{
  size_t at = 0;

  for (unsigned line = 0; line < height && at < text.length; line++)
    {
      const char *start = text.data + at;
      const char *end = memchr (start, '\n', text.length - at);
      size_t length = end != NULL ? (size_t)(end - start) : text.length - at;

      put_truncated (buffer, dl_str_bytes (start, length), width);
      at += length + 1;
    }
}

static void
put_part (DlBuffer *buffer, DlScreenQuery query, json_object *response)
{
  json_object *rows = dl_json_array (response, "rows");

  dl_buffer_printf (buffer, "\n%s\n", parts[query].title);
  if (dl_json_array_length (rows) == 0)
    {
      dl_buffer_printf (buffer, "%s\n", parts[query].empty_text);
      return;
    }
  if (query == DL_SCREEN_IN_PROGRESS)
    put_bars (buffer, response);
  dl_render_table (buffer, response);
}

void
dl_screen_body (DlBuffer *buffer,
                json_object *const responses[DL_SCREEN_QUERIES],
                unsigned width,
                unsigned height)
{
  DlBuffer *body = dl_buffer_new (buffer, 0);

  dl_buffer_printf (body, "daisyloft, revision %" PRIu64 "\n",
                    dl_json_uint (responses[0], "revision"));
  for (int i = 0; i < DL_SCREEN_QUERIES; i++)
    put_part (body, i, responses[i]);
  put_fitting (buffer, dl_buffer_view (body), width, height);
  talloc_free (body);
}
