/*
 * The stand-in of the platform: the API of versioned objects, as
 * lib/kernel/object_client.h describes it, and the host list, which may lag.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/object_client.h"
#include "standin.h"

#define HISTORY_DEFAULT  4000
#define OBJECTS_PREFIX   "/v1/objects"
#define RETRY_LIMITED_MS 1000
#define WATCH_MAX_MS     60000

/* A watch that waits for a change of objects of some kinds. */
typedef struct
{
  DlHttpRequest *request;
  char **kinds;
  uint64_t after; /* revision */
} Watch;

/* A host list and when it was set. */
typedef struct
{
  uint64_t set_ms;
  json_object *list;
} HostList;

static uint64_t writes_per_s;
static uint64_t reads_per_s;
static uint64_t history_max = HISTORY_DEFAULT; /* changes that are kept for watches */
static uint64_t lose_writes;  /* the next N are applied, then the connection is closed */
static uint64_t lose_percent; /* the same for this percentage of writes */
static uint64_t drop_writes; /* the next N are not applied and the connection is closed */
static uint64_t stale;       /* percentage of reads that are answered from SNAPSHOT */
static uint64_t host_lag_ms; /* a host list is shown this long after it was set */

static DlTask *task;
static uint64_t revision;
static GHashTable *objects;  /* "kind/name" to its JSON */
static GHashTable *snapshot; /* the same as of when "stale" was set; or NULL */
static uint64_t snapshot_revision;
static GQueue history = G_QUEUE_INIT; /* of JSON, oldest first */
static uint64_t history_after;        /* changes up to this revision were dropped */
static GList *watches;
static GQueue host_lists = G_QUEUE_INIT; /* of HostList, oldest first */
static uint64_t hosts_revision;
static GHashTable *calls; /* "OPERATION KIND" to a count */
static uint64_t limited;  /* calls refused by a rate limit */
static uint64_t lost;     /* writes applied, but not answered */
static StandinBucket write_bucket;
static StandinBucket read_bucket;

static const StandinKnob platform_knobs[] = {
  { "writes_per_s", &writes_per_s },
  { "reads_per_s", &reads_per_s },
  { "history", &history_max },
  { "lose_writes", &lose_writes },
  { "lose_percent", &lose_percent },
  { "drop_writes", &drop_writes },
  { "stale", &stale },
  { "host_lag_ms", &host_lag_ms },
  { 0 },
};

static void
release_json (gpointer object)
{
  json_object_put (object);
}

static GHashTable *
objects_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, release_json);
}

static void
platform_start (DlTask *standin)
{
  task = standin;
  objects = objects_new ();
  calls = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
count_call (const char *operation, const char *kind)
{
  char *key = g_strdup_printf ("%s %s", operation, kind);
  gpointer count = g_hash_table_lookup (calls, key);

  g_hash_table_replace (calls, key, GSIZE_TO_POINTER (GPOINTER_TO_SIZE (count) + 1));
}

/* Counts the call against its rate limit; over it, replies 429 and returns false. */
static bool
admit (DlHttpRequest *request, bool write)
{
  if (write ? standin_bucket_take (&write_bucket, writes_per_s)
            : standin_bucket_take (&read_bucket, reads_per_s))
    return true;
  limited++;
  dl_http_reply_error (request, 429, RETRY_LIMITED_MS, "too many calls a second");
  return false;
}

/* -------- lists -------- */

static bool
has_kind (json_object *object, char **kinds)
{
  const char *kind = standin_json_text (object, "kind");

  return g_strv_contains ((const char *const *)kinds, kind);
}

static json_object *
new_response (uint64_t at, json_object *list)
{
  json_object *response = json_object_new_object ();

  standin_json_set_uint (response, "revision", at);
  json_object_object_add (response, "objects", list);
  return response;
}

static void
handle_list (DlHttpRequest *request)
{
  const char *text = dl_http_request_query (request, "kinds");
  char **kinds = g_strsplit (text != NULL ? text : "", ",", -1);
  bool old = snapshot != NULL && standin_chance (stale);
  json_object *list = json_object_new_array ();
  GHashTableIter iter;
  gpointer object;

  count_call ("list", text != NULL ? text : "");
  if (!admit (request, false))
    json_object_put (list);
  else
    {
      g_hash_table_iter_init (&iter, old ? snapshot : objects);
      while (g_hash_table_iter_next (&iter, NULL, &object))
        if (has_kind (object, kinds))
          json_object_array_add (list, json_object_get (object));
      dl_http_reply_json (request, 200,
                          new_response (old ? snapshot_revision : revision, list));
    }
  g_strfreev (kinds);
}

/* -------- watches -------- */

/* The changes of objects of KINDS after revision AFTER; the caller owns the list. */
static json_object *
changes_after (uint64_t after, char **kinds)
{
  json_object *list = json_object_new_array ();

  for (GList *l = history.head; l != NULL; l = l->next)
    if (standin_json_uint (l->data, "revision") > after && has_kind (l->data, kinds))
      json_object_array_add (list, json_object_get (l->data));
  return list;
}

static int
watch_destroy (Watch *watch)
{
  watches = g_list_remove (watches, watch);
  g_strfreev (watch->kinds);
  return 0;
}

/* Replies to the watch and frees it if there are changes for it or FORCE is set. */
static void
watch_try (Watch *watch, bool force)
{
  json_object *list = changes_after (watch->after, watch->kinds);

  if (force || json_object_array_length (list) > 0)
    {
      dl_http_reply_json (watch->request, 200, new_response (revision, list));
      talloc_free (watch);
    }
  else
    json_object_put (list);
}

static void
on_watch_timeout (DlTimer *timer, void *data)
{
  watch_try (data, true);
}

static void
handle_watch (DlHttpRequest *request)
{
  const char *kinds = dl_http_request_query (request, "kinds");
  const char *after_text = dl_http_request_query (request, "after");
  const char *wait_text = dl_http_request_query (request, "wait_ms");
  uint64_t after = 0;
  uint64_t wait = 0;
  Watch *watch;

  count_call ("watch", kinds != NULL ? kinds : "");
  if (!admit (request, false))
    return;
  if (kinds == NULL || dl_str_to_uint64 (dl_str (after_text), &after) < 0
      || dl_str_to_uint64 (dl_str (wait_text), &wait) < 0)
    {
      dl_http_reply_error (request, 400, 0, "a watch needs kinds, after and wait_ms");
      return;
    }
  if (after < history_after || after > revision)
    {
      dl_http_reply_error (request, 410, 0, "the revision is not in the history");
      return;
    }
  watch = talloc_zero (request, Watch);
  watch->request = request;
  watch->kinds = g_strsplit (kinds, ",", -1);
  watch->after = after;
  watches = g_list_append (watches, watch);
  talloc_set_destructor (watch, watch_destroy);
  dl_timer_subscribe (task, watch, MIN (wait, WATCH_MAX_MS), 0, on_watch_timeout, watch);
  watch_try (watch, false);
}

static void
record_change (json_object *change)
{
  g_queue_push_tail (&history, json_object_get (change));
  while (history.length > history_max)
    {
      json_object *oldest = g_queue_pop_head (&history);

      history_after = standin_json_uint (oldest, "revision");
      json_object_put (oldest);
    }
  for (GList *l = watches, *next; l != NULL; l = next)
    {
      next = l->next;
      watch_try (l->data, false);
    }
}

/* -------- single objects -------- */

static json_object *
new_object (const char *kind, const char *name)
{
  json_object *object = json_object_new_object ();

  standin_json_set_text (object, "kind", kind);
  standin_json_set_text (object, "name", name);
  standin_json_set_uint (object, "revision", revision);
  return object;
}

/* Replies to a write that took effect, or closes the connection instead. */
static void
reply_write (DlHttpRequest *request, uint64_t created)
{
  json_object *response;

  if (standin_count_down (&lose_writes) || standin_chance (lose_percent))
    {
      lost++;
      dl_http_abort (request);
      return;
    }
  response = json_object_new_object ();
  standin_json_set_uint (response, "revision", revision);
  standin_json_set_uint (response, "created", created);
  dl_http_reply_json (request, 200, response);
}

static void
put_object (DlHttpRequest *request, const char *kind, const char *name, json_object *old)
{
  json_object *value = standin_body (request);
  json_object *object;
  uint64_t created;

  if (value == NULL)
    return;
  revision++;
  created = old != NULL ? standin_json_uint (old, "created") : revision;
  object = new_object (kind, name);
  standin_json_set_uint (object, "created", created);
  json_object_object_add (object, "value", value);
  g_hash_table_replace (objects, g_strdup_printf ("%s/%s", kind, name), object);
  record_change (object);
  reply_write (request, created);
}

static void
delete_object (DlHttpRequest *request,
               const char *kind,
               const char *name,
               json_object *old)
{
  char *key = g_strdup_printf ("%s/%s", kind, name);
  uint64_t created = standin_json_uint (old, "created");
  json_object *change;

  revision++;
  change = new_object (kind, name);
  json_object_object_add (change, "deleted", json_object_new_boolean (true));
  g_hash_table_remove (objects, key);
  record_change (change);
  json_object_put (change);
  g_free (key);
  reply_write (request, created);
}

/* True if the request's condition holds for OLD, the current object or NULL. */
static bool
condition_holds (DlHttpRequest *request, json_object *old)
{
  const char *match = dl_http_request_header (request, "If-Match");
  const char *none = dl_http_request_header (request, "If-None-Match");
  uint64_t wanted;

  if (none != NULL)
    return strcmp (none, "*") == 0 && old == NULL;
  return match != NULL && old != NULL && dl_str_to_uint64 (dl_str (match), &wanted) == 0
         && wanted == standin_json_uint (old, "revision");
}

static void
handle_write (DlHttpRequest *request,
              const char *kind,
              const char *name,
              json_object *old)
{
  bool put = strcmp (dl_http_request_method (request), "PUT") == 0;

  count_call (put ? "put" : "delete", kind);
  if (!admit (request, true))
    return;
  if (standin_count_down (&drop_writes))
    dl_http_abort (request);
  else if (dl_http_request_body (request).length > DL_OBJECT_VALUE_MAX_BYTES)
    dl_http_reply_error (request, 413, 0, "the value is too large");
  else if (!put && old == NULL)
    dl_http_reply_error (request, 404, 0, "no such object");
  else if (!condition_holds (request, old))
    dl_http_reply_error (request, 412, 0, "the condition does not hold");
  else if (put)
    put_object (request, kind, name, old);
  else
    delete_object (request, kind, name, old);
}

static void
handle_object (DlHttpRequest *request, const char *kind, const char *name)
{
  const char *method = dl_http_request_method (request);
  char *key = g_strdup_printf ("%s/%s", kind, name);
  json_object *object = g_hash_table_lookup (objects, key);

  if (!dl_object_name_is_valid (dl_str (kind))
      || !dl_object_name_is_valid (dl_str (name)))
    dl_http_reply_error (request, 400, 0, "invalid kind or name");
  else if (strcmp (method, "PUT") == 0 || strcmp (method, "DELETE") == 0)
    handle_write (request, kind, name, object);
  else
    {
      count_call ("get", kind);
      if (snapshot != NULL && standin_chance (stale))
        object = g_hash_table_lookup (snapshot, key);
      if (!admit (request, false))
        ;
      else if (object == NULL)
        dl_http_reply_error (request, 404, 0, "no such object");
      else
        dl_http_reply_json (request, 200, json_object_get (object));
    }
  g_free (key);
}

/* -------- the host list -------- */

static void
set_hosts (DlHttpRequest *request)
{
  json_object *list = standin_body (request);
  HostList *entry;

  if (list == NULL)
    return;
  entry = g_new0 (HostList, 1);
  entry->set_ms = dl_clock_ms ();
  entry->list = list;
  standin_json_set_uint (list, "revision", ++hosts_revision);
  g_queue_push_tail (&host_lists, entry);
  standin_reply_status (request, 200);
}

static void
handle_hosts (DlHttpRequest *request)
{
  uint64_t now = dl_clock_ms ();
  json_object *reported = NULL;

  count_call ("hosts", "");
  if (!admit (request, false))
    return;
  for (GList *l = host_lists.head; l != NULL; l = l->next)
    {
      HostList *entry = l->data;

      if (l == host_lists.head || entry->set_ms + host_lag_ms <= now)
        reported = entry->list;
    }
  if (reported == NULL)
    dl_http_reply_error (request, 503, RETRY_LIMITED_MS, "no host list yet");
  else
    dl_http_reply_json (request, 200, json_object_get (reported));
}

/* -------- the kind -------- */

static void
platform_changed (void)
{
  GHashTableIter iter;
  gpointer key;
  gpointer object;

  if (snapshot != NULL)
    g_hash_table_destroy (snapshot);
  snapshot = NULL;
  if (stale > 0)
    {
      snapshot = objects_new ();
      snapshot_revision = revision;
      g_hash_table_iter_init (&iter, objects);
      while (g_hash_table_iter_next (&iter, &key, &object))
        g_hash_table_insert (snapshot, g_strdup (key), json_object_get (object));
    }
  /* An outage also closes the connections of watches. */
  while (standin_outage != STANDIN_UP && watches != NULL)
    {
      Watch *watch = watches->data;

      dl_http_abort (watch->request);
      talloc_free (watch);
    }
}

static void
platform_handle (DlHttpRequest *request)
{
  const char *path = dl_http_request_path (request);
  char **parts;

  if (strcmp (path, "/test/hosts") == 0)
    set_hosts (request);
  else if (strcmp (path, "/v1/hosts") == 0)
    handle_hosts (request);
  else if (strcmp (path, "/v1/watch") == 0)
    handle_watch (request);
  else if (strcmp (path, OBJECTS_PREFIX) == 0)
    handle_list (request);
  else if (g_str_has_prefix (path, OBJECTS_PREFIX "/"))
    {
      parts = g_strsplit (path + strlen (OBJECTS_PREFIX "/"), "/", -1);
      if (g_strv_length (parts) == 2)
        handle_object (request, parts[0], parts[1]);
      else
        standin_reply_status (request, 404);
      g_strfreev (parts);
    }
  else
    standin_reply_status (request, 404);
}

static json_object *
platform_records (void)
{
  json_object *records = json_object_new_object ();
  json_object *counts = json_object_new_object ();
  uint64_t total = 0;
  GHashTableIter iter;
  gpointer key;
  gpointer count;

  g_hash_table_iter_init (&iter, calls);
  while (g_hash_table_iter_next (&iter, &key, &count))
    {
      standin_json_set_uint (counts, key, GPOINTER_TO_SIZE (count));
      total += GPOINTER_TO_SIZE (count);
    }
  standin_json_set_uint (records, "revision", revision);
  standin_json_set_uint (records, "total", total);
  standin_json_set_uint (records, "limited", limited);
  standin_json_set_uint (records, "lost", lost);
  standin_json_set_uint (records, "objects", g_hash_table_size (objects));
  standin_json_set_uint (records, "waiting", g_list_length (watches));
  json_object_object_add (records, "calls", counts);
  return records;
}

static StandinKind platform_kind = {
  .name = "platform",
  .knobs = platform_knobs,
  .start = platform_start,
  .changed = platform_changed,
  .handle = platform_handle,
  .records = platform_records,
};

STANDIN_REGISTER (platform_kind)
