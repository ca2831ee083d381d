/*
 * The stand-in of the object store of the users' platform, as its documentation describes
 * it: objects by kind and name, conditional writes, paged lists, watches, rate limits and
 * a bounded history.  It can go back to a copy that was taken before, which begins a new
 * era; every response says which era it is from.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "standin.h"

#define PREFIX          "/-/objects/"
#define HISTORY_DEFAULT 1000
#define PAGE_DEFAULT    50
#define WATCH_MAX_MS    30000
#define CHECK_MS        20

/* A watch that waits for a change of objects of one kind. */
typedef struct
{
  DlHttpRequest *request;
  char *kind;
  uint64_t after; /* revision */
  uint64_t until_ms;
} Watch;

static uint64_t writes_per_s;
static uint64_t reads_per_s;
static uint64_t history_max = HISTORY_DEFAULT; /* changes that are kept for watches */
static uint64_t page = PAGE_DEFAULT;           /* objects on a page of a list */
static uint64_t lose_writes; /* the next N creations and updates are done unanswered */
static uint64_t deaf;        /* 1: watches get no events */
static uint64_t era = 1;     /* sent in every response; 0: in none */
static uint64_t snapshot;    /* 1: takes a copy */
static uint64_t restore;     /* 1: goes back to the copy */
static uint64_t gets_fail;   /* 1: objects cannot be read one by one */
static uint64_t skip;        /* the next N revisions are given to changes of no object */

static uint64_t revision = 100;
static GTree *objects;                /* "kind/name" to its JSON */
static GQueue history = G_QUEUE_INIT; /* of events with kind and revision, oldest first */
static uint64_t history_after;        /* changes up to this revision were dropped */
static GList *watches;
static StandinBucket write_bucket;
static StandinBucket read_bucket;
static uint64_t reads;
static uint64_t writes;
/* Kind to the number of lists of it, and of watches of it that were answered with a
 * change; stored as pointers. */
static GHashTable *lists;
static GHashTable *changes;

/* The state to which the store can go back. */
static struct
{
  GTree *objects; /* NULL before the first copy */
  GQueue *history;
  uint64_t history_after;
  uint64_t revision;
} copy;

static const StandinKnob objects_knobs[] = {
  { "writes_per_s", &writes_per_s },
  { "reads_per_s", &reads_per_s },
  { "history", &history_max },
  { "page", &page },
  { "lose_writes", &lose_writes },
  { "deaf", &deaf },
  { "era", &era },
  { "snapshot", &snapshot },
  { "restore", &restore },
  { "gets_fail", &gets_fail },
  { "skip", &skip },
  { 0 },
};

static void
release_json (gpointer object)
{
  json_object_put (object);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

/* -------- responses -------- */

/* Responds with OBJECT as JSON and releases the reference to OBJECT. */
static void
reply_json (DlHttpRequest *request, unsigned status, json_object *object)
{
  char *number = g_strdup_printf ("%" PRIu64, era);
  const DlHttpHeader headers[] = { { "Store-Era", number }, { 0 } };
  size_t length;
  const char *text
      = json_object_to_json_string_length (object, JSON_C_TO_STRING_PLAIN, &length);

  dl_http_reply (request, status, "application/json", dl_str_bytes (text, length),
                 era != 0 ? headers : NULL);
  json_object_put (object);
  g_free (number);
}

static void
reply_error (DlHttpRequest *request, unsigned status, const char *text)
{
  json_object *object = json_object_new_object ();

  standin_json_set_text (object, "error", text);
  reply_json (request, status, object);
}

/* -------- watches -------- */

static json_object *
event_new (json_object *object, bool deleted)
{
  json_object *event = json_object_new_object ();

  json_object_object_add (event, "object", json_object_get (object));
  json_object_object_add (event, "deleted", json_object_new_boolean (deleted));
  return event;
}

static uint64_t
object_revision (json_object *object)
{
  return standin_json_uint (json_object_object_get (object, "metadata"), "revision");
}

static void
count (GHashTable *counts, const char *kind)
{
  gsize n = GPOINTER_TO_SIZE (g_hash_table_lookup (counts, kind));

  g_hash_table_replace (counts, g_strdup (kind), GSIZE_TO_POINTER (n + 1));
}

static json_object *
events_after (const char *kind, uint64_t after)
{
  json_object *events = json_object_new_array ();

  for (GList *l = history.head; l != NULL; l = l->next)
    {
      json_object *entry = l->data;

      if (standin_json_uint (entry, "revision") > after
          && strcmp (standin_json_text (entry, "kind"), kind) == 0)
        json_object_array_add (events,
                               json_object_get (json_object_object_get (entry, "event")));
    }
  return events;
}

static void
reply_events (DlHttpRequest *request, json_object *events)
{
  json_object *response = json_object_new_object ();

  json_object_object_add (response, "events", events);
  standin_json_set_uint (response, "current_rev", revision);
  reply_json (request, 200, response);
}

/* Replies to the watch if there is an event for it, its revision is not in the history
 * or AT_END.  Returns whether it replied. */
static bool
reply_watch (const Watch *w, bool at_end)
{
  json_object *events;

  if (w->after < history_after || w->after > revision)
    {
      reply_error (w->request, 410, "this history is gone");
      return true;
    }
  events = deaf != 0 ? json_object_new_array () : events_after (w->kind, w->after);
  if (json_object_array_length (events) == 0 && !at_end)
    {
      json_object_put (events);
      return false;
    }
  if (json_object_array_length (events) > 0)
    count (changes, w->kind);
  reply_events (w->request, events);
  return true;
}

static void
remove_watch (Watch *w)
{
  watches = g_list_remove (watches, w);
  g_free (w->kind);
  g_free (w);
}

static void
on_watch_closed (DlHttpRequest *request, bool answered, void *data)
{
  if (g_list_find (watches, data) != NULL)
    remove_watch (data);
}

static void
reply_watches (void)
{
  uint64_t now_ms = dl_clock_ms ();
  GList *next;

  for (GList *l = watches; l != NULL; l = next)
    {
      Watch *w = l->data;

      next = l->next;
      if (reply_watch (w, now_ms >= w->until_ms))
        remove_watch (w);
    }
}

static void
on_check (DlTimer *timer, void *data)
{
  reply_watches ();
}

static void
handle_watch (DlHttpRequest *request, const char *kind)
{
  const char *after = dl_http_request_query (request, "watch");
  const char *wait = dl_http_request_query (request, "wait_ms");
  Watch *w = g_new0 (Watch, 1);

  w->request = request;
  w->kind = g_strdup (kind);
  w->after = g_ascii_strtoull (after, NULL, 10);
  w->until_ms
      = dl_clock_ms ()
        + MIN (wait != NULL ? g_ascii_strtoull (wait, NULL, 10) : 0, WATCH_MAX_MS);
  watches = g_list_prepend (watches, w);
  dl_http_request_on_closed (request, on_watch_closed, w);
  if (reply_watch (w, false))
    remove_watch (w);
}

/* -------- reading -------- */

typedef struct
{
  const char *prefix; /* "kind/" */
  const char *after;
  json_object *items;
  bool more;
} Listing;

static gboolean
list_object (gpointer key, gpointer value, gpointer data)
{
  Listing *listing = data;
  size_t length = strlen (listing->prefix);

  if (strncmp (key, listing->prefix, length) != 0
      || (listing->after != NULL && strcmp ((char *)key + length, listing->after) <= 0))
    return FALSE;
  listing->more = json_object_array_length (listing->items) >= page;
  if (!listing->more)
    json_object_array_add (listing->items, json_object_get (value));
  return listing->more;
}

static void
handle_list (DlHttpRequest *request, const char *kind)
{
  char *prefix = g_strdup_printf ("%s/", kind);
  Listing listing = {
    .prefix = prefix,
    .after = dl_http_request_query (request, "after"),
    .items = json_object_new_array (),
  };
  json_object *response = json_object_new_object ();

  count (lists, kind);
  g_tree_foreach (objects, list_object, &listing);
  json_object_object_add (response, "items", listing.items);
  json_object_object_add (response, "has_more", json_object_new_boolean (listing.more));
  standin_json_set_uint (response, "current_rev", revision);
  reply_json (request, 200, response);
  g_free (prefix);
}

/* -------- writing -------- */

static void
record_change (const char *kind, json_object *object, bool deleted)
{
  json_object *entry = json_object_new_object ();

  standin_json_set_text (entry, "kind", kind);
  standin_json_set_uint (entry, "revision", revision);
  json_object_object_add (entry, "event", event_new (object, deleted));
  g_queue_push_tail (&history, entry);
  while (g_queue_get_length (&history) > history_max)
    {
      json_object *oldest = g_queue_pop_head (&history);

      history_after = standin_json_uint (oldest, "revision");
      json_object_put (oldest);
    }
}

/* Prints the text that is OBJECT's user data as it is. */
static int
print_raw (json_object *object, struct printbuf *out, int level, int flags)
{
  json_object *text = json_object_get_userdata (object);

  return printbuf_memappend (out, json_object_get_string (text),
                             json_object_get_string_len (text));
}

static void
release_raw (json_object *object, void *text)
{
  json_object_put (text);
}

/* Returns SPEC, or what is sent as the text of its member "raw_bytes" says, which need
 * not be valid. */
static json_object *
spec_new (json_object *spec)
{
  json_object *text;
  json_object *raw;

  if (!json_object_object_get_ex (spec, "raw_bytes", &text))
    return json_object_get (spec);
  raw = json_object_new_object ();
  json_object_set_serializer (raw, print_raw, json_object_get (text), release_raw);
  return raw;
}

static json_object *
object_new (const char *name, uint64_t created, json_object *spec)
{
  json_object *object = json_object_new_object ();
  json_object *metadata = json_object_new_object ();

  revision++;
  standin_json_set_text (metadata, "name", name);
  standin_json_set_uint (metadata, "revision", revision);
  standin_json_set_uint (metadata, "created", created != 0 ? created : revision);
  json_object_object_add (object, "metadata", metadata);
  json_object_object_add (object, "spec", spec_new (spec));
  return object;
}

static void
reply_written (DlHttpRequest *request, json_object *object)
{
  if (standin_count_down (&lose_writes))
    dl_http_abort (request);
  else
    reply_json (request, 200, json_object_get (object));
}

static void
store_object (const char *kind, const char *name, json_object *object)
{
  g_tree_insert (objects, g_strdup_printf ("%s/%s", kind, name), object);
  record_change (kind, object, false);
  reply_watches ();
}

static void
handle_create (DlHttpRequest *request, const char *kind, json_object *body)
{
  const char *name
      = standin_json_text (json_object_object_get (body, "metadata"), "name");
  char *key = g_strdup_printf ("%s/%s", kind, name);
  json_object *current = g_tree_lookup (objects, key);

  if (name[0] == '\0')
    reply_error (request, 400, "an object needs a name");
  else if (current != NULL)
    reply_json (request, 409, json_object_get (current));
  else
    {
      json_object *object = object_new (name, 0, json_object_object_get (body, "spec"));

      store_object (kind, name, object);
      reply_written (request, object);
    }
  g_free (key);
}

static void
handle_replace (DlHttpRequest *request,
                const char *kind,
                const char *name,
                json_object *body)
{
  char *key = g_strdup_printf ("%s/%s", kind, name);
  json_object *current = g_tree_lookup (objects, key);
  uint64_t expected
      = standin_json_uint (json_object_object_get (body, "metadata"), "revision");

  if (current == NULL)
    reply_error (request, 404, "no such object");
  else if (expected != 0 && expected != object_revision (current))
    reply_json (request, 409, json_object_get (current));
  else
    {
      json_object *object = object_new (name, 0, json_object_object_get (body, "spec"));

      store_object (kind, name, object);
      reply_written (request, object);
    }
  g_free (key);
}

static void
handle_delete (DlHttpRequest *request, const char *kind, const char *name)
{
  char *key = g_strdup_printf ("%s/%s", kind, name);
  json_object *current = g_tree_lookup (objects, key);
  const char *expected = dl_http_request_query (request, "revision");

  if (current == NULL)
    reply_error (request, 404, "no such object");
  else if (expected != NULL
           && g_ascii_strtoull (expected, NULL, 10) != object_revision (current))
    reply_json (request, 409, json_object_get (current));
  else
    {
      json_object *deleted = object_new (name, 0, NULL);

      g_tree_remove (objects, key);
      record_change (kind, deleted, true);
      reply_watches ();
      reply_json (request, 200, deleted);
    }
  g_free (key);
}

/* -------- the kind -------- */

static bool
admit (DlHttpRequest *request, bool write)
{
  (*(write ? &writes : &reads))++;
  if (write ? standin_bucket_take (&write_bucket, writes_per_s)
            : standin_bucket_take (&read_bucket, reads_per_s))
    return true;
  reply_error (request, 429, "too many calls a second");
  return false;
}

static void
handle_write (DlHttpRequest *request, const char *kind, const char *name)
{
  const char *method = dl_http_request_method (request);
  json_object *body;

  if (strcmp (method, "DELETE") == 0)
    {
      handle_delete (request, kind, name);
      return;
    }
  body = standin_body (request);
  if (body == NULL)
    return;
  if (strcmp (method, "POST") == 0)
    handle_create (request, kind, body);
  else
    handle_replace (request, kind, name, body);
  json_object_put (body);
}

static void
objects_handle (DlHttpRequest *request)
{
  const char *path = dl_http_request_path (request);
  bool write = strcmp (dl_http_request_method (request), "GET") != 0;
  char **parts;

  if (!g_str_has_prefix (path, PREFIX))
    {
      reply_error (request, 404, "no such call");
      return;
    }
  if (!admit (request, write))
    return;
  parts = g_strsplit (path + strlen (PREFIX), "/", 2);
  if (write)
    handle_write (request, parts[0], parts[1] != NULL ? parts[1] : "");
  else if (parts[1] != NULL && gets_fail != 0)
    reply_error (request, 503, "objects cannot be read one by one");
  else if (parts[1] != NULL)
    {
      json_object *current = g_tree_lookup (objects, path + strlen (PREFIX));

      if (current != NULL)
        reply_json (request, 200, json_object_get (current));
      else
        reply_error (request, 404, "no such object");
    }
  else if (dl_http_request_query (request, "watch") != NULL)
    handle_watch (request, parts[0]);
  else
    handle_list (request, parts[0]);
  g_strfreev (parts);
}

/* -------- going back to a copy -------- */

static gboolean
copy_object (gpointer key, gpointer value, gpointer data)
{
  g_tree_insert (data, g_strdup (key), json_object_get (value));
  return FALSE;
}

static GTree *
copy_objects (GTree *from)
{
  GTree *tree = g_tree_new_full (compare_keys, NULL, g_free, release_json);

  g_tree_foreach (from, copy_object, tree);
  return tree;
}

static void
take_copy (void)
{
  if (copy.objects != NULL)
    {
      g_tree_unref (copy.objects);
      g_queue_free_full (copy.history, release_json);
    }
  copy.objects = copy_objects (objects);
  copy.history = g_queue_new ();
  for (GList *l = history.head; l != NULL; l = l->next)
    g_queue_push_tail (copy.history, json_object_get (l->data));
  copy.history_after = history_after;
  copy.revision = revision;
}

/* Goes back to the copy and begins a new era; watches lose their connections. */
static void
restore_copy (void)
{
  g_tree_unref (objects);
  objects = copy_objects (copy.objects);
  g_queue_clear_full (&history, release_json);
  for (GList *l = copy.history->head; l != NULL; l = l->next)
    g_queue_push_tail (&history, json_object_get (l->data));
  history_after = copy.history_after;
  revision = copy.revision;
  era++;
  while (watches != NULL)
    {
      Watch *w = watches->data;

      dl_http_abort (w->request);
      remove_watch (w);
    }
}

static void
objects_changed (void)
{
  if (snapshot != 0)
    take_copy ();
  if (restore != 0 && copy.objects != NULL)
    restore_copy ();
  revision += skip;
  snapshot = 0;
  restore = 0;
  skip = 0;
}

/* -------- the records -------- */

/* Numbers of watches that wait, by kind. */
static json_object *
count_watches (void)
{
  json_object *counts = json_object_new_object ();

  for (GList *l = watches; l != NULL; l = l->next)
    {
      const Watch *w = l->data;

      standin_json_set_uint (counts, w->kind, standin_json_uint (counts, w->kind) + 1);
    }
  return counts;
}

static json_object *
counts_as_json (GHashTable *counts)
{
  json_object *object = json_object_new_object ();
  GHashTableIter iter;
  gpointer kind;
  gpointer n;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &kind, &n))
    standin_json_set_uint (object, kind, GPOINTER_TO_SIZE (n));
  return object;
}

static json_object *
objects_records (void)
{
  json_object *records = json_object_new_object ();

  json_object_object_add (records, "watches", count_watches ());
  json_object_object_add (records, "lists", counts_as_json (lists));
  json_object_object_add (records, "changes", counts_as_json (changes));
  standin_json_set_uint (records, "revision", revision);
  standin_json_set_uint (records, "reads", reads);
  standin_json_set_uint (records, "writes", writes);
  return records;
}

static void
objects_start (DlTask *task)
{
  objects = g_tree_new_full (compare_keys, NULL, g_free, release_json);
  lists = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  changes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  dl_timer_subscribe (task, task, CHECK_MS, CHECK_MS, on_check, NULL);
}

static StandinKind objects_kind = {
  .name = "objects",
  .knobs = objects_knobs,
  .start = objects_start,
  .changed = objects_changed,
  .handle = objects_handle,
  .records = objects_records,
};
STANDIN_REGISTER (objects_kind)
