#include "node/object_relay.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/metrics.h"

#define CHECK_MS 50
/* Deleted objects that are remembered, so that a watch can go back before them. */
#define DELETED_MAX        256
#define STATUS_OK          200
#define STATUS_BAD_REQUEST 400
#define STATUS_GONE        410
#define STATUS_UNAVAILABLE 503

DL_METRIC (metric_answers,
           DL_METRIC_COUNTER,
           "daisy_node_relay_answers_total",
           "Lists and watches answered to other entries in the store's place.")

/* One object, or what is left of a deleted one. */
typedef struct
{
  uint64_t revision;
  char *text; /* its value as JSON; NULL once deleted */
} Entry;

/* A watch that waits for news. */
typedef struct Waiter
{
  struct Kind *kind;
  DlHttpRequest *http;
  uint64_t after;
  uint64_t until_ms;
  uint64_t half_ms; /* from then on a newer proof is worth an answer */
  uint64_t seen_ms; /* proof that its asker has been told of */
} Waiter;

typedef struct Kind
{
  char *name;
  uint64_t max_age_ms;
  uint64_t revision;   /* all up to it is known; 0: nothing yet */
  uint64_t synced_ms;  /* when that was current */
  uint64_t newest;     /* revision of the last change */
  uint64_t forgotten;  /* newest revision of a deletion that is not remembered */
  unsigned deleted;    /* entries without a value */
  GHashTable *entries; /* name to Entry */
  GList *waiters;
  struct Kind *next;
} Kind;

struct DlObjectRelay
{
  Kind *kinds;
};

static void
free_entry (gpointer data)
{
  g_free (((Entry *)data)->text);
  g_free (data);
}

static Kind *
find_kind (const DlObjectRelay *relay, const char *name)
{
  for (Kind *k = relay->kinds; k != NULL && name != NULL; k = k->next)
    if (strcmp (k->name, name) == 0)
      return k;
  return NULL;
}

static bool
is_fresh (const Kind *k, uint64_t now_ms)
{
  return k->revision > 0 && now_ms - k->synced_ms <= k->max_age_ms;
}

/* -------- answers -------- */

static void
put_entry (DlBuffer *body, const Kind *k, const char *name, const Entry *e, bool first)
{
  dl_buffer_printf (body, "%s{\"kind\":\"%s\",\"name\":\"%s\",\"revision\":%" PRIu64 ",",
                    first ? "" : ",", k->name, name, e->revision);
  if (e->text == NULL)
    dl_buffer_printf (body, "\"deleted\":true}");
  else
    {
      dl_buffer_printf (body, "\"value\":");
      dl_buffer_append (body, e->text, strlen (e->text));
      dl_buffer_printf (body, "}");
    }
}

/* Entries that changed after AFTER; deleted ones only for a watch. */
static void
answer (Kind *k, DlHttpRequest *http, uint64_t after, bool is_watch)
{
  DlBuffer *body = dl_buffer_new (http, 0);
  bool first = true;
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  dl_buffer_printf (body,
                    "{\"revision\":%" PRIu64 ",\"age_ms\":%" PRIu64 ",\"objects\":[",
                    k->revision, dl_clock_ms () - k->synced_ms);
  g_hash_table_iter_init (&iter, k->entries);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Entry *e = value;

      if (e->revision <= after || (e->text == NULL && !is_watch))
        continue;
      put_entry (body, k, name, e, first);
      first = false;
    }
  dl_buffer_printf (body, "]}");
  dl_metric_add (&metric_answers, 1);
  dl_http_reply (http, STATUS_OK, "application/json", dl_buffer_view (body), NULL);
}

static void
refuse (DlHttpRequest *http)
{
  dl_http_reply_error (http, STATUS_UNAVAILABLE, 0, "no fresh proof; ask the store");
}

/* -------- waiting -------- */

static void
on_closed (DlHttpRequest *http, bool answered, void *data)
{
  Waiter *w = data;

  w->kind->waiters = g_list_remove (w->kind->waiters, w);
}

/* The waiter ends with its answer. */
static void
release (Waiter *w, uint64_t now_ms)
{
  Kind *k = w->kind;

  k->waiters = g_list_remove (k->waiters, w);
  dl_http_request_on_closed (w->http, NULL, NULL);
  if (is_fresh (k, now_ms))
    answer (k, w->http, w->after, true);
  else
    refuse (w->http);
}

static bool
is_due (const Waiter *w, uint64_t now_ms)
{
  return now_ms >= w->until_ms || !is_fresh (w->kind, now_ms)
         || (w->kind->synced_ms > w->seen_ms && now_ms >= w->half_ms)
         || w->kind->newest > w->after;
}

static void
release_due (Kind *k, uint64_t now_ms)
{
  GList *next;

  for (GList *l = k->waiters; l != NULL; l = next)
    {
      next = l->next;
      if (is_due (l->data, now_ms))
        release (l->data, now_ms);
    }
}

static void
on_check (DlTimer *timer, void *data)
{
  DlObjectRelay *relay = data;

  for (Kind *k = relay->kinds; k != NULL; k = k->next)
    release_due (k, dl_clock_ms ());
}

static uint64_t
query_uint (const DlHttpRequest *http, const char *name)
{
  const char *text = dl_http_request_query (http, name);

  return text != NULL ? strtoull (text, NULL, 10) : 0;
}

static void
handle_watch (Kind *k, DlHttpRequest *http)
{
  uint64_t now_ms = dl_clock_ms ();
  uint64_t after = query_uint (http, "after");
  uint64_t wait_ms = query_uint (http, "wait_ms");
  Waiter *w;

  if (after < k->forgotten)
    {
      dl_http_reply_error (http, STATUS_GONE, 0, "deletions since then are forgotten");
      return;
    }
  if (k->newest > after)
    {
      answer (k, http, after, true);
      return;
    }
  w = talloc_zero (http, Waiter);
  w->kind = k;
  w->http = http;
  w->after = after;
  w->until_ms = now_ms + wait_ms;
  w->half_ms = now_ms + wait_ms / 2;
  w->seen_ms = k->synced_ms;
  k->waiters = g_list_append (k->waiters, w);
  dl_http_request_on_closed (http, on_closed, w);
}

bool
dl_object_relay_handle (DlObjectRelay *relay, DlHttpRequest *http)
{
  const char *path = dl_http_request_path (http);
  bool is_watch = strcmp (path, "/v1/watch") == 0;
  Kind *k;

  if (!is_watch && strcmp (path, "/v1/objects") != 0)
    return false;
  k = find_kind (relay, dl_http_request_query (http, "kinds"));
  if (k == NULL)
    dl_http_reply_error (http, STATUS_BAD_REQUEST, 0, "no such kind");
  else if (!is_fresh (k, dl_clock_ms ()))
    refuse (http);
  else if (is_watch)
    handle_watch (k, http);
  else
    answer (k, http, 0, false);
  return true;
}

/* -------- what is known -------- */

/* Drops the oldest half of what is left of deleted objects. */
static void
forget_deleted (Kind *k)
{
  uint64_t middle = k->forgotten + (k->revision - k->forgotten) / 2;
  GHashTableIter iter;
  gpointer value;

  if (k->deleted <= DELETED_MAX)
    return;
  g_hash_table_iter_init (&iter, k->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *e = value;

      if (e->text != NULL || e->revision > middle)
        continue;
      k->forgotten = MAX (k->forgotten, e->revision);
      k->deleted--;
      g_hash_table_iter_remove (&iter);
    }
}

void
dl_object_relay_update (DlObjectRelay *relay, const DlObject *object)
{
  Kind *k = find_kind (relay, object->kind);
  const Entry *old;
  Entry *e;

  if (k == NULL)
    return;
  old = g_hash_table_lookup (k->entries, object->name);
  if (old != NULL && old->text == NULL)
    k->deleted--;
  e = g_new0 (Entry, 1);
  e->revision = object->revision;
  k->newest = MAX (k->newest, object->revision);
  if (object->deleted)
    k->deleted++;
  else
    e->text = g_strdup (
        json_object_to_json_string_ext (object->value, JSON_C_TO_STRING_PLAIN));
  g_hash_table_replace (k->entries, g_strdup (object->name), e);
}

void
dl_object_relay_set_synced (DlObjectRelay *relay,
                            const char *kind,
                            uint64_t revision,
                            uint64_t synced_ms)
{
  Kind *k = find_kind (relay, kind);

  g_assert (k != NULL);
  k->revision = revision;
  k->synced_ms = synced_ms;
  forget_deleted (k);
  release_due (k, dl_clock_ms ());
}

void
dl_object_relay_set_unreachable (DlObjectRelay *relay, const char *kind)
{
  Kind *k = find_kind (relay, kind);

  g_assert (k != NULL);
  k->synced_ms = 0;
  release_due (k, dl_clock_ms ());
}

static int
kind_destroy (Kind *k)
{
  /* Requests end after the kinds do. */
  for (GList *l = k->waiters; l != NULL; l = l->next)
    dl_http_request_on_closed (((Waiter *)l->data)->http, NULL, NULL);
  g_list_free (k->waiters);
  g_hash_table_destroy (k->entries);
  return 0;
}

void
dl_object_relay_add_kind (DlObjectRelay *relay, const char *kind, uint64_t max_age_ms)
{
  Kind *k = talloc_zero (relay, Kind);

  g_assert (k != NULL);
  k->name = talloc_strdup (k, kind);
  k->max_age_ms = max_age_ms;
  k->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entry);
  k->next = relay->kinds;
  relay->kinds = k;
  talloc_set_destructor (k, kind_destroy);
}

DlObjectRelay *
dl_object_relay_new (DlTask *task, const void *owner)
{
  DlObjectRelay *relay = talloc_zero (owner, DlObjectRelay);

  g_assert (relay != NULL);
  dl_timer_subscribe (task, relay, CHECK_MS, CHECK_MS, on_check, relay);
  return relay;
}
