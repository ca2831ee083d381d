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
  bool leaving;
  uint64_t keep_until_ms; /* 0 while listed, else when it is removed */
} ListedUpstream;

struct DirectUpstreamList
{
  DlKernel *kernel;
  GHashTable *upstreams; /* id to ListedUpstream */
  DlOutage outage;
};

static void
free_listed (gpointer data)
{
  talloc_free (data);
}

static void
publish_removed (DirectUpstreamList *list, const char *id)
{
  DirectMessage *message = direct_message_new (DIRECT_UPSTREAM_REMOVED);

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
  if (entry->leaving && !listed->leaving)
    dl_log (DL_EVENT_DIRECT_UPSTREAM_LEAVING, DL_TEXT ("upstream", entry->id),
            DL_UINT ("revision", revision));
  listed->leaving = entry->leaving;
}

void
direct_upstream_list_update (DirectUpstreamList *list, const DlObject *object)
{
  DirectMessage *message;

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
  on_upstream_listed (list, &message->upstream, object->revision);
  dl_kernel_publish (list->kernel, message);
}

void
direct_upstream_list_note_store (DirectUpstreamList *list, int error)
{
  if (error < 0)
    dl_outage_call_failed (&list->outage);
  else
    dl_outage_call_succeeded (&list->outage, dl_clock_ms ());
}

void
direct_upstream_list_expire (DirectUpstreamList *list)
{
  uint64_t now_ms = dl_clock_ms ();
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

unsigned
direct_upstream_list_count (const DirectUpstreamList *list)
{
  return g_hash_table_size (list->upstreams);
}

static int
list_destroy (DirectUpstreamList *list)
{
  g_hash_table_destroy (list->upstreams);
  return 0;
}

DirectUpstreamList *
direct_upstream_list_new (DlKernel *kernel, const void *owner)
{
  DirectUpstreamList *list = talloc_zero (owner, DirectUpstreamList);

  g_assert (list != NULL);
  list->kernel = kernel;
  list->upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_listed);
  talloc_set_destructor (list, list_destroy);
  return list;
}
