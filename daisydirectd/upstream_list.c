#include "upstream_list.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "platform.h"
#include "policy/outage.h"

/* One upstream of the list. */
typedef struct
{
  char *id;
  char *engine; /* its address; NULL without weights */
  bool leaving;
  uint64_t started_ms;    /* of the upstream; 0 when unknown */
  uint64_t keep_until_ms; /* 0 while listed, else when it is removed */
} ListedUpstream;

/* One that was removed from the list. */
typedef struct
{
  char *id;
  uint64_t started_ms;
  uint64_t removed_ms;
} RemovedUpstream;

/* An entry in an older copy of the store that is not used as it stands. */
typedef struct
{
  DlObject object;
  uint64_t until_ms; /* when it is, unless it has changed before */
} OutdatedEntry;

struct DirectUpstreamList
{
  DlKernel *kernel;
  GHashTable *upstreams; /* id to ListedUpstream */
  GHashTable *removed;   /* id to RemovedUpstream */
  GHashTable *outdated;  /* id to OutdatedEntry */
  GHashTable *heard;     /* addresses of engines of which stagers have told */
  DlOutage outage;
};

static void
free_block (gpointer data)
{
  talloc_free (data);
}

static void
remember_removed (DirectUpstreamList *list, const char *id)
{
  const ListedUpstream *listed = g_hash_table_lookup (list->upstreams, id);
  RemovedUpstream *removed = talloc_zero (list, RemovedUpstream);

  removed->id = talloc_strdup (removed, id);
  removed->removed_ms = dl_clock_ms ();
  removed->started_ms = listed != NULL ? listed->started_ms : 0;
  g_hash_table_replace (list->removed, removed->id, removed);
}

static void
publish_removed (DirectUpstreamList *list, const char *id)
{
  DirectMessage *message = direct_message_new (DIRECT_UPSTREAM_REMOVED);

  remember_removed (list, id);

  dl_log (DL_EVENT_DIRECT_UPSTREAM_GONE, DL_TEXT ("upstream", id));
  message->removed_upstream = talloc_strdup (message, id);
  dl_kernel_publish (list->kernel, message);
}

static void
on_upstream_deleted (DirectUpstreamList *list, const char *id)
{
  ListedUpstream *listed = g_hash_table_lookup (list->upstreams, id);

  if (listed == NULL || listed->keep_until_ms != 0)
    return;
  listed->keep_until_ms
      = dl_outage_keep_until (&list->outage, listed->leaving, dl_clock_ms ());
  if (listed->keep_until_ms != 0)
    {
      dl_log (DL_EVENT_DIRECT_UPSTREAM_SUSPECT, DL_TEXT ("upstream", id));
      return;
    }
  publish_removed (list, id);
  g_hash_table_remove (list->upstreams, id);
}

/* An upstream whose list entry cannot be parsed is not used. */
static void
on_upstream_malformed (DirectUpstreamList *list, const DlObject *object)
{
  dl_log (DL_EVENT_DIRECT_UPSTREAM_MALFORMED, DL_TEXT ("upstream", object->name),
          DL_UINT ("revision", object->revision));
  if (g_hash_table_contains (list->upstreams, object->name))
    {
      publish_removed (list, object->name);
      g_hash_table_remove (list->upstreams, object->name);
    }
}

static void
on_upstream_listed (DirectUpstreamList *list,
                    const DlUpstreamEntry *entry,
                    uint64_t revision)
{
  ListedUpstream *listed = g_hash_table_lookup (list->upstreams, entry->id);

  if (listed == NULL)
    {
      listed = talloc_zero (list, ListedUpstream);
      listed->id = talloc_strdup (listed, entry->id);
      g_hash_table_insert (list->upstreams, listed->id, listed);
      dl_log (DL_EVENT_DIRECT_UPSTREAM_ADDED, DL_TEXT ("upstream", entry->id),
              DL_TEXT ("address", entry->address), DL_TEXT ("service", entry->service),
              DL_UINT ("slots", entry->slots), DL_UINT ("weights", entry->version),
              DL_UINT ("revision", revision));
    }
  listed->keep_until_ms = 0;
  listed->started_ms = entry->started_ms;
  if (entry->leaving && !listed->leaving)
    dl_log (DL_EVENT_DIRECT_UPSTREAM_LEAVING, DL_TEXT ("upstream", entry->id),
            DL_UINT ("revision", revision));
  listed->leaving = entry->leaving;
  talloc_free (listed->engine);
  listed->engine = entry->version > 0 ? talloc_strdup (listed, entry->address) : NULL;
}

/* -------- engines of which stagers have told -------- */

bool
direct_upstream_list_heard (DirectUpstreamList *list, const char *address)
{
  return g_hash_table_add (list->heard, g_strdup (address)) != FALSE;
}

bool
direct_upstream_list_has_unheard (const DirectUpstreamList *list)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, list->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ListedUpstream *listed = value;

      if (listed->engine != NULL && !listed->leaving
          && !g_hash_table_contains (list->heard, listed->engine))
        return true;
    }
  return false;
}

/* -------- entries in an older copy of the store -------- */

static int
outdated_destroy (OutdatedEntry *outdated)
{
  json_object_put (outdated->object.value);
  return 0;
}

static void
keep_outdated (DirectUpstreamList *list, const DlObject *object, uint64_t until_ms)
{
  OutdatedEntry *outdated = talloc_zero (list, OutdatedEntry);

  outdated->object = *object;
  outdated->object.kind = talloc_strdup (outdated, object->kind);
  outdated->object.name = talloc_strdup (outdated, object->name);
  outdated->object.value = json_object_get (object->value);
  outdated->until_ms = until_ms;
  talloc_set_destructor (outdated, outdated_destroy);
  g_hash_table_replace (list->outdated, outdated->object.name, outdated);
  dl_log (DL_EVENT_DIRECT_UPSTREAM_OUTDATED, DL_TEXT ("upstream", object->name),
          DL_UINT ("revision", object->revision));
}

static uint64_t
gone_until (const DirectUpstreamList *list, const DlUpstreamEntry *entry)
{
  const ListedUpstream *listed = g_hash_table_lookup (list->upstreams, entry->id);
  const RemovedUpstream *removed = g_hash_table_lookup (list->removed, entry->id);
  DlUpstreamMemory memory = { 0 };

  if (listed != NULL)
    {
      memory.leaving = listed->leaving;
      memory.started_ms = listed->started_ms;
    }
  else if (removed != NULL)
    {
      memory.removed_ms = removed->removed_ms;
      memory.started_ms = removed->started_ms;
    }
  return dl_outage_gone_until (&list->outage, &memory, entry->started_ms, dl_clock_ms ());
}

/* Returns whether ENTRY, read from OBJECT, is to be used.  One of an upstream that is
 * leaving is used as such. */
static bool
check_outdated (DirectUpstreamList *list, const DlObject *object, DlUpstreamEntry *entry)
{
  uint64_t until_ms = gone_until (list, entry);

  if (until_ms == 0 || entry->leaving)
    return true;
  keep_outdated (list, object, until_ms);
  entry->leaving = true;
  return g_hash_table_contains (list->upstreams, entry->id);
}

/* -------- updates -------- */

void
direct_upstream_list_update (DirectUpstreamList *list, const DlObject *object)
{
  DirectMessage *message;

  g_hash_table_remove (list->outdated, object->name);
  if (object->deleted)
    {
      on_upstream_deleted (list, object->name);
      return;
    }
  message = direct_message_new (DIRECT_UPSTREAM);
  if (platform_read_upstream (message, object->name, object->value, &message->upstream)
      < 0)
    {
      on_upstream_malformed (list, object);
      dl_message_unref (message);
      return;
    }
  if (!check_outdated (list, object, &message->upstream))
    {
      dl_message_unref (message);
      return;
    }
  on_upstream_listed (list, &message->upstream, object->revision);
  dl_kernel_publish (list->kernel, message);
}

void
direct_upstream_list_store_returned (DirectUpstreamList *list)
{
  dl_outage_relist_begins (&list->outage);
}

void
direct_upstream_list_synced (DirectUpstreamList *list)
{
  uint64_t now_ms = dl_clock_ms ();

  dl_outage_relist_ends (&list->outage, now_ms);
  dl_outage_call_succeeded (&list->outage, now_ms);
}

void
direct_upstream_list_note_store (DirectUpstreamList *list, int error)
{
  if (error < 0)
    dl_outage_call_failed (&list->outage);
  else
    dl_outage_call_succeeded (&list->outage, dl_clock_ms ());
}

static void
expire_kept (DirectUpstreamList *list, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, list->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ListedUpstream *listed = value;

      if (listed->keep_until_ms == 0 || now_ms < listed->keep_until_ms)
        continue;
      publish_removed (list, listed->id);
      g_hash_table_iter_remove (&iter);
    }
}

static gboolean
is_forgotten (gpointer id, gpointer value, gpointer data)
{
  const RemovedUpstream *removed = value;
  const uint64_t *now_ms = data;

  return *now_ms - removed->removed_ms >= DL_OUTAGE_MEMORY_MS;
}

/* Returns an entry that is used from NOW_MS on, though it has not changed; NULL when
 * there is none. */
static OutdatedEntry *
find_overdue (const DirectUpstreamList *list, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, list->outdated);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms >= ((OutdatedEntry *)value)->until_ms)
      return value;
  return NULL;
}

static void
adopt_overdue (DirectUpstreamList *list, uint64_t now_ms)
{
  OutdatedEntry *overdue;

  while ((overdue = find_overdue (list, now_ms)) != NULL)
    {
      g_hash_table_steal (list->outdated, overdue->object.name);
      direct_upstream_list_update (list, &overdue->object);
      talloc_free (overdue);
    }
}

void
direct_upstream_list_expire (DirectUpstreamList *list)
{
  uint64_t now_ms = dl_clock_ms ();

  expire_kept (list, now_ms);
  g_hash_table_foreach_remove (list->removed, is_forgotten, &now_ms);
  if (!list->outage.relisting)
    adopt_overdue (list, now_ms);
}

unsigned
direct_upstream_list_count (const DirectUpstreamList *list)
{
  return g_hash_table_size (list->upstreams);
}

static int
list_destroy (DirectUpstreamList *list)
{
  g_hash_table_destroy (list->upstreams);
  g_hash_table_destroy (list->removed);
  g_hash_table_destroy (list->outdated);
  g_hash_table_destroy (list->heard);
  return 0;
}

DirectUpstreamList *
direct_upstream_list_new (DlKernel *kernel, const void *owner)
{
  DirectUpstreamList *list = talloc_zero (owner, DirectUpstreamList);

  g_assert (list != NULL);
  list->kernel = kernel;
  list->upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_block);
  list->removed = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_block);
  list->outdated = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_block);
  list->heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (list, list_destroy);
  return list;
}
