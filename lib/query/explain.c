#include "query/explain.h"

#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "query/json_get.h"

#define MS_PER_S 1000.0

/* One line that is shown. */
typedef struct
{
  uint64_t time_ms;
  unsigned order; /* of reading, where times are equal */
  bool own;       /* names the request */
  json_object *event;
} Line;

/* What a process believed last before the request came. */
typedef struct
{
  Line routing;
  Line contact;
  Line readiness;
  Line version;
} Belief;

struct DlExplain
{
  char *id;
  GArray *lines;         /* of Line */
  GHashTable *beliefs;   /* name of a process of the request to its Belief */
  GHashTable *upstreams; /* id to itself */
  GHashTable *addresses; /* of the upstreams */
  uint64_t first_ms;     /* time of the request's first line */
  uint64_t last_ms;
  uint64_t dropped; /* lines that processes dropped, over all logs */
  unsigned read;
};

static void
clear_line (gpointer data)
{
  json_object_put (((Line *)data)->event);
}

static void
free_belief (gpointer data)
{
  Belief *b = data;

  clear_line (&b->routing);
  clear_line (&b->contact);
  clear_line (&b->readiness);
  clear_line (&b->version);
  g_free (b);
}

static int
explain_destroy (DlExplain *explain)
{
  g_array_free (explain->lines, TRUE);
  g_hash_table_destroy (explain->beliefs);
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
  explain->beliefs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_belief);
  explain->upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  explain->addresses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (explain, explain_destroy);
  return explain;
}

/* NULL when the line is none of the programs'. */
static json_object *
parse (DlStr line)
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
make_line (DlExplain *explain, json_object *event, bool own)
{
  return (Line){
    .time_ms = dl_json_uint (event, "time_ms"),
    .order = explain->read++,
    .own = own,
    .event = json_object_get (event),
  };
}

static void
add_line (DlExplain *explain, json_object *event, bool own)
{
  Line line = make_line (explain, event, own);

  g_array_append_val (explain->lines, line);
}

/* -------- first pass -------- */

static void
find_own (DlExplain *explain, json_object *event)
{
  uint64_t time_ms = dl_json_uint (event, "time_ms");
  const char *process = dl_json_text (event, "name");
  const char *upstream = dl_json_text (event, "upstream");

  add_line (explain, event, true);
  if (explain->first_ms == 0 || time_ms < explain->first_ms)
    explain->first_ms = time_ms;
  explain->last_ms = MAX (explain->last_ms, time_ms);
  if (!g_hash_table_contains (explain->beliefs, process))
    g_hash_table_insert (explain->beliefs, g_strdup (process), g_new0 (Belief, 1));
  if (upstream[0] != '\0')
    g_hash_table_add (explain->upstreams, g_strdup (upstream));
}

void
dl_explain_find_request (DlExplain *explain, DlStr line)
{
  json_object *event = parse (line);

  if (event == NULL)
    return;
  if (strcmp (dl_json_text (event, "request"), explain->id) == 0)
    find_own (explain, event);
  if (dl_json_uint (event, "event") == DL_EVENT_LOG_DROPPED)
    explain->dropped += dl_json_uint (event, "lines");
  json_object_put (event);
}

/* -------- second pass -------- */

/* Entries tell the addresses of upstreams, by which stagers' lines are known. */
void
dl_explain_find_addresses (DlExplain *explain, DlStr line)
{
  json_object *event = parse (line);

  if (dl_json_uint (event, "event") == DL_EVENT_DIRECT_UPSTREAM_ADDED
      && g_hash_table_contains (explain->upstreams, dl_json_text (event, "upstream")))
    g_hash_table_add (explain->addresses, g_strdup (dl_json_text (event, "address")));
  json_object_put (event);
}

/* -------- third pass -------- */

/* Where a belief of this kind of event is kept; NULL when it is none. */
static Line *
belief_slot (Belief *belief, unsigned event)
{
  switch (event)
    {
    case DL_EVENT_ROUTING_APPLIED:
    case DL_EVENT_ROUTING_INVALID:
      return &belief->routing;
    case DL_EVENT_STORE_LOST:
    case DL_EVENT_STORE_FOUND:
      return &belief->contact;
    case DL_EVENT_READINESS:
    case DL_EVENT_STARTED:
    case DL_EVENT_STOPPING:
      return &belief->readiness;
    case DL_EVENT_VERSION_NAMED:
      return &belief->version;
    default:
      return NULL;
    }
}

static void
keep_belief (DlExplain *explain, Line *slot, json_object *event)
{
  if (slot->event != NULL && slot->time_ms > dl_json_uint (event, "time_ms"))
    return;
  clear_line (slot);
  *slot = make_line (explain, event, false);
}

/* A process of the request tells what it believes, or that it dropped lines. */
static void
gather_belief (DlExplain *explain, Belief *belief, json_object *event)
{
  uint64_t time_ms = dl_json_uint (event, "time_ms");
  unsigned number = (unsigned)dl_json_uint (event, "event");
  Line *slot = belief_slot (belief, number);
  bool is_around
      = time_ms >= explain->first_ms && time_ms <= explain->last_ms + DL_EXPLAIN_AFTER_MS;

  if (slot != NULL && time_ms < explain->first_ms)
    keep_belief (explain, slot, event);
  else if (is_around && (slot != NULL || number == DL_EVENT_LOG_DROPPED))
    add_line (explain, event, false);
}

/* Where an upstream is, is of interest however long ago it was said. */
static bool
is_near (const DlExplain *explain, json_object *event)
{
  uint64_t time_ms = dl_json_uint (event, "time_ms");

  if (dl_json_uint (event, "event") == DL_EVENT_DIRECT_UPSTREAM_ADDED)
    return time_ms <= explain->last_ms;
  return time_ms + DL_EXPLAIN_BEFORE_MS >= explain->first_ms
         && time_ms <= explain->last_ms + DL_EXPLAIN_AFTER_MS;
}

/* True for what happened to an upstream of the request. */
static bool
concerns_upstream (DlExplain *explain, json_object *event, bool is_own_process)
{
  const char *upstream = dl_json_text (event, "upstream");
  const char *engine = dl_json_text (event, "engine");

  if (engine[0] != '\0')
    return g_hash_table_contains (explain->addresses, engine);
  return is_own_process && upstream[0] != '\0'
         && g_hash_table_contains (explain->upstreams, upstream);
}

void
dl_explain_add_context (DlExplain *explain, DlStr line)
{
  json_object *event = parse (line);
  Belief *belief;

  if (event == NULL)
    return;
  if (dl_json_text (event, "request")[0] == '\0')
    {
      belief = g_hash_table_lookup (explain->beliefs, dl_json_text (event, "name"));
      if (belief != NULL)
        gather_belief (explain, belief, event);
      if (is_near (explain, event) && concerns_upstream (explain, event, belief != NULL))
        add_line (explain, event, false);
    }
  json_object_put (event);
}

/* -------- the text -------- */

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  const Line *x = a;
  const Line *y = b;

  if (x->time_ms != y->time_ms)
    return x->time_ms < y->time_ms ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

/* Members that stand at the start of each line. */
static bool
is_head (const char *key)
{
  static const char *const heads[]
      = { "time_ms", "program", "name", "event", "severity", "message", "request" };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    if (strcmp (heads[i], key) == 0)
      return true;
  return false;
}

static void
write_line (const DlExplain *explain, const Line *line, DlBuffer *out)
{
  double seconds = ((double)line->time_ms - (double)explain->first_ms) / MS_PER_S;

  dl_buffer_printf (out, "%c %+9.3f s  %s  %u  %s", line->own ? '*' : ' ', seconds,
                    dl_json_text (line->event, "name"),
                    (unsigned)dl_json_uint (line->event, "event"),
                    dl_json_text (line->event, "message"));
  json_object_object_foreach (line->event, key, value)
    {
      if (!is_head (key))
        dl_buffer_printf (out, "  %s=%s", key,
                          json_object_is_type (value, json_type_string)
                              ? json_object_get_string (value)
                              : json_object_to_json_string (value));
    }
  dl_buffer_printf (out, "\n");
}

static void
add_belief (DlExplain *explain, const Line *slot)
{
  Line line = *slot;

  if (line.event == NULL)
    return;
  json_object_get (line.event);
  g_array_append_val (explain->lines, line);
}

static void
add_beliefs (DlExplain *explain)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, explain->beliefs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Belief *b = value;

      add_belief (explain, &b->routing);
      add_belief (explain, &b->contact);
      add_belief (explain, &b->readiness);
      add_belief (explain, &b->version);
    }
}

static void
write_unnamed (const DlExplain *explain, DlBuffer *out)
{
  dl_buffer_printf (out,
                    "no line names %s: it was served in time, reached none of these "
                    "processes, or its line was among the %" PRIu64
                    " that were dropped\n",
                    explain->id, explain->dropped);
}

bool
dl_explain_write (DlExplain *explain, DlBuffer *out)
{
  const Line *last = NULL;

  if (explain->lines->len == 0)
    {
      write_unnamed (explain, out);
      return false;
    }
  add_beliefs (explain);
  g_array_sort (explain->lines, compare_lines);
  for (guint i = 0; i < explain->lines->len; i++)
    {
      const Line *line = &g_array_index (explain->lines, Line, i);

      write_line (explain, line, out);
      if (line->own)
        last = line;
    }
  dl_buffer_printf (out, "outcome: %s\n",
                    last != NULL ? dl_json_text (last->event, "message") : "not known");
  return true;
}
