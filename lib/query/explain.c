#include "query/explain.h"

#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "query/json_get.h"

#define MS_PER_S 1000.0

/* One log line to show. */
typedef struct
{
  uint64_t time_ms;
  unsigned order;  /* in which it was read; decides between equal times */
  bool is_request; /* names the request */
  json_object *event;
} Line;

/* The last state that a process logged before the request; lines without an event are
 * not known. */
typedef struct
{
  Line routing;
  Line store;
  Line readiness;
  Line version;
} ProcessState;

struct DlExplain
{
  char *id;
  GArray *lines;         /* of Line */
  GHashTable *processes; /* names of the request's processes, to their ProcessState */
  GHashTable *upstreams; /* set of the request's upstreams, by id */
  GHashTable *addresses; /* set of their addresses */
  uint64_t first_ms;     /* time of the request's first line */
  uint64_t last_ms;      /* time of its last line */
  uint64_t dropped;      /* lines that the processes dropped, in all logs */
  unsigned lines_read;
};

static void
clear_line (gpointer data)
{
  json_object_put (((Line *)data)->event);
}

static void
free_process_state (gpointer data)
{
  ProcessState *s = data;

  clear_line (&s->routing);
  clear_line (&s->store);
  clear_line (&s->readiness);
  clear_line (&s->version);
  g_free (s);
}

static int
explain_destroy (DlExplain *explain)
{
  g_array_free (explain->lines, TRUE);
  g_hash_table_destroy (explain->processes);
  g_hash_table_destroy (explain->upstreams);
  g_hash_table_destroy (explain->addresses);
  return 0;
}

DlExplain *
dl_explain_new (const void *context, const char *id)
{
  DlExplain *explain = talloc_zero (context, DlExplain);

  explain->id = talloc_strdup (explain, id);
  explain->lines = g_array_new (FALSE, FALSE, sizeof (Line));
  g_array_set_clear_func (explain->lines, clear_line);
  explain->processes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_process_state);
  explain->upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  explain->addresses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (explain, explain_destroy);
  return explain;
}

/* Returns the event in a log line, or NULL.  The caller owns it. */
static json_object *
parse_event (DlStr line)
{
  const char *start = memchr (line.data, '{', line.length);
  json_object *event;
  char *text;

  if (start == NULL)
    return NULL;
  text = g_strndup (start, line.length - (size_t)(start - line.data));
  event = json_tokener_parse (text);
  g_free (text);
  if (dl_json_uint (event, "event") != 0 && dl_json_uint (event, "time_ms") != 0)
    return event;
  json_object_put (event);
  return NULL;
}

static Line
make_line (DlExplain *explain, json_object *event, bool is_request)
{
  return (Line){
    .time_ms = dl_json_uint (event, "time_ms"),
    .order = explain->lines_read++,
    .is_request = is_request,
    .event = json_object_get (event),
  };
}

static void
add_line (DlExplain *explain, json_object *event, bool is_request)
{
  Line line = make_line (explain, event, is_request);

  g_array_append_val (explain->lines, line);
}

/* -------- first pass -------- */

static void
add_request_line (DlExplain *explain, json_object *event)
{
  uint64_t time_ms = dl_json_uint (event, "time_ms");
  const char *process = dl_json_text (event, "name");
  const char *upstream = dl_json_text (event, "upstream");

  add_line (explain, event, true);
  if (explain->first_ms == 0 || time_ms < explain->first_ms)
    explain->first_ms = time_ms;
  explain->last_ms = MAX (explain->last_ms, time_ms);
  if (!g_hash_table_contains (explain->processes, process))
    g_hash_table_insert (explain->processes, g_strdup (process),
                         g_new0 (ProcessState, 1));
  if (upstream[0] != '\0')
    g_hash_table_add (explain->upstreams, g_strdup (upstream));
}

void
dl_explain_find_request (DlExplain *explain, DlStr line)
{
  json_object *event = parse_event (line);

  if (event == NULL)
    return;
  if (strcmp (dl_json_text (event, "request"), explain->id) == 0)
    add_request_line (explain, event);
  if (dl_json_uint (event, "event") == DL_EVENT_LOG_DROPPED)
    explain->dropped += dl_json_uint (event, "lines");
  json_object_put (event);
}

/* -------- second pass -------- */

/* Entries log the addresses of upstreams, which identify them in the stagers' lines. */
void
dl_explain_find_addresses (DlExplain *explain, DlStr line)
{
  json_object *event = parse_event (line);

  if (dl_json_uint (event, "event") == DL_EVENT_DIRECT_UPSTREAM_ADDED
      && g_hash_table_contains (explain->upstreams, dl_json_text (event, "upstream")))
    g_hash_table_add (explain->addresses, g_strdup (dl_json_text (event, "address")));
  json_object_put (event);
}

/* -------- third pass -------- */

/* Returns the line of STATE that this kind of event sets; NULL for other events. */
static Line *
state_slot (ProcessState *state, unsigned event)
{
  switch (event)
    {
    case DL_EVENT_ROUTING_APPLIED:
    case DL_EVENT_ROUTING_INVALID:
      return &state->routing;
    case DL_EVENT_STORE_LOST:
    case DL_EVENT_STORE_FOUND:
      return &state->store;
    case DL_EVENT_READINESS:
    case DL_EVENT_STARTED:
    case DL_EVENT_STOPPING:
      return &state->readiness;
    case DL_EVENT_VERSION_NAMED:
      return &state->version;
    default:
      return NULL;
    }
}

static void
update_state (DlExplain *explain, Line *slot, json_object *event)
{
  if (slot->event != NULL && slot->time_ms > dl_json_uint (event, "time_ms"))
    return;
  clear_line (slot);
  *slot = make_line (explain, event, false);
}

/* Handles an event of one of the request's processes: its last state before the request
 * is kept; changes of state and dropped lines during it are added. */
static void
add_process_line (DlExplain *explain, ProcessState *state, json_object *event)
{
  uint64_t time_ms = dl_json_uint (event, "time_ms");
  unsigned number = (unsigned)dl_json_uint (event, "event");
  Line *slot = state_slot (state, number);
  bool is_around
      = time_ms >= explain->first_ms && time_ms <= explain->last_ms + DL_EXPLAIN_AFTER_MS;

  if (slot != NULL && time_ms < explain->first_ms)
    update_state (explain, slot, event);
  else if (is_around && (slot != NULL || number == DL_EVENT_LOG_DROPPED))
    add_line (explain, event, false);
}

/* The address of an upstream is shown however long ago it was logged. */
static bool
is_in_window (const DlExplain *explain, json_object *event)
{
  uint64_t time_ms = dl_json_uint (event, "time_ms");

  if (dl_json_uint (event, "event") == DL_EVENT_DIRECT_UPSTREAM_ADDED)
    return time_ms <= explain->last_ms;
  return time_ms + DL_EXPLAIN_BEFORE_MS >= explain->first_ms
         && time_ms <= explain->last_ms + DL_EXPLAIN_AFTER_MS;
}

/* True when the event is about an upstream of the request. */
static bool
concerns_upstream (DlExplain *explain, json_object *event, bool is_request_process)
{
  const char *upstream = dl_json_text (event, "upstream");
  const char *engine = dl_json_text (event, "engine");

  if (engine[0] != '\0')
    return g_hash_table_contains (explain->addresses, engine);
  return is_request_process && upstream[0] != '\0'
         && g_hash_table_contains (explain->upstreams, upstream);
}

void
dl_explain_add_context (DlExplain *explain, DlStr line)
{
  json_object *event = parse_event (line);
  ProcessState *state;

  if (event == NULL)
    return;
  if (dl_json_text (event, "request")[0] == '\0')
    {
      state = g_hash_table_lookup (explain->processes, dl_json_text (event, "name"));
      if (state != NULL)
        add_process_line (explain, state, event);
      if (is_in_window (explain, event)
          && concerns_upstream (explain, event, state != NULL))
        add_line (explain, event, false);
    }
  json_object_put (event);
}

/* -------- output -------- */

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  const Line *x = a;
  const Line *y = b;

  if (x->time_ms != y->time_ms)
    return x->time_ms < y->time_ms ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

/* True for the members that are not written as "key=value". */
static bool
is_prefix_member (const char *key)
{
  static const char *const members[]
      = { "time_ms", "program", "name", "event", "severity", "message", "request" };

  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    if (strcmp (members[i], key) == 0)
      return true;
  return false;
}

static void
write_line (const DlExplain *explain, const Line *line, DlBuffer *out)
{
  double seconds = ((double)line->time_ms - (double)explain->first_ms) / MS_PER_S;

  dl_buffer_printf (out, "%c %+9.3f s  %s  %u  %s", line->is_request ? '*' : ' ', seconds,
                    dl_json_text (line->event, "name"),
                    (unsigned)dl_json_uint (line->event, "event"),
                    dl_json_text (line->event, "message"));
  json_object_object_foreach (line->event, key, value)
    {
      if (!is_prefix_member (key))
        dl_buffer_printf (out, "  %s=%s", key,
                          json_object_is_type (value, json_type_string)
                              ? json_object_get_string (value)
                              : json_object_to_json_string (value));
    }
  dl_buffer_printf (out, "\n");
}

static void
add_state_line (DlExplain *explain, const Line *slot)
{
  Line line = *slot;

  if (line.event == NULL)
    return;
  json_object_get (line.event);
  g_array_append_val (explain->lines, line);
}

static void
add_process_states (DlExplain *explain)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, explain->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ProcessState *s = value;

      add_state_line (explain, &s->routing);
      add_state_line (explain, &s->store);
      add_state_line (explain, &s->readiness);
      add_state_line (explain, &s->version);
    }
}

static void
write_not_found (const DlExplain *explain, DlBuffer *out)
{
  dl_buffer_printf (out,
                    "no line names %s: it was served in time, reached none of these "
                    "processes, or its line was among the %" PRIu64
                    " that were dropped\n",
                    explain->id, explain->dropped);
}

/* True if LINE tells the outcome rather than LAST, the line of the request before it.
 * That a failed request ended without its whole response follows from its failure. */
static bool
is_outcome (const Line *line, const Line *last)
{
  return line->is_request
         && !(last != NULL
              && dl_json_uint (line->event, "event") == DL_EVENT_RESPONSE_INCOMPLETE
              && dl_json_uint (last->event, "event") == DL_EVENT_REQUEST_FAILED);
}

bool
dl_explain_write (DlExplain *explain, DlBuffer *out)
{
  const Line *last = NULL;

  if (explain->lines->len == 0)
    {
      write_not_found (explain, out);
      return false;
    }
  add_process_states (explain);
  g_array_sort (explain->lines, compare_lines);
  for (guint i = 0; i < explain->lines->len; i++)
    {
      const Line *line = &g_array_index (explain->lines, Line, i);

      write_line (explain, line, out);
      if (is_outcome (line, last))
        last = line;
    }
  dl_buffer_printf (out, "outcome: %s\n",
                    last != NULL ? dl_json_text (last->event, "message") : "not known");
  return true;
}
