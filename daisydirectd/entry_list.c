#include "entry_list.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "daisydirectd.h"

typedef struct
{
  const DlNodeSettings *settings;
  DirectMessage *message;
  GPtrArray *same_region;
  GPtrArray *other_region;
  GPtrArray *other_region_names;
} EntryCollection;

static void
collect_entry (const DlPeer *peer, void *data)
{
  EntryCollection *c = data;
  bool same_region = strcmp (peer->region, c->settings->region) == 0;

  if (!peer->ready)
    return;
  g_ptr_array_add (same_region ? c->same_region : c->other_region,
                   talloc_strdup (c->message, peer->listen));
  if (!same_region)
    g_ptr_array_add (c->other_region_names, talloc_strdup (c->message, peer->region));
}

static const char **
copy_pointers (const void *context, GPtrArray *array)
{
  const char **copy = talloc_array (context, const char *, array->len + 1);

  if (array->len > 0)
    memcpy (copy, array->pdata, array->len * sizeof *copy);
  return copy;
}

void
direct_publish_entries (DlKernel *kernel,
                        const DlNodeSettings *settings,
                        const DlPeers *peers,
                        bool ready)
{
  DirectMessage *message = direct_message_new (DIRECT_ENTRIES);
  EntryCollection c = {
    .settings = settings,
    .message = message,
    .same_region = g_ptr_array_new (),
    .other_region = g_ptr_array_new (),
    .other_region_names = g_ptr_array_new (),
  };

  if (ready)
    g_ptr_array_add (c.same_region, (gpointer)settings->listen);
  dl_peers_foreach_alive (peers, DAISYLOFT__WIRE__ROLE__ROLE_ENTRY, collect_entry, &c);
  message->entries.same_region = copy_pointers (message, c.same_region);
  message->entries.same_region_count = c.same_region->len;
  message->entries.other_region = copy_pointers (message, c.other_region);
  message->entries.other_region_names = copy_pointers (message, c.other_region_names);
  message->entries.other_region_count = c.other_region->len;
  message->entries.is_ready = ready;
  g_ptr_array_free (c.same_region, TRUE);
  g_ptr_array_free (c.other_region, TRUE);
  g_ptr_array_free (c.other_region_names, TRUE);
  dl_kernel_publish (kernel, message);
}

/* -------- registered entries -------- */

typedef struct
{
  DirectMessage *message;
  GArray *items; /* of DirectRegisteredEntry */
} RegisteredCollection;

static void
collect_registered (const DlPeer *peer, void *data)
{
  RegisteredCollection *c = data;
  DirectRegisteredEntry e = {
    .name = talloc_strdup (c->message, peer->name),
    .region = talloc_strdup (c->message, peer->region),
  };

  g_array_append_val (c->items, e);
}

void
direct_publish_registered (DlKernel *kernel,
                           const DlNodeSettings *settings,
                           const DlPeers *peers)
{
  DirectMessage *message = direct_message_new (DIRECT_REGISTERED);
  RegisteredCollection c = {
    .message = message,
    .items = g_array_new (FALSE, FALSE, sizeof (DirectRegisteredEntry)),
  };
  DirectRegisteredEntry own = { .name = settings->name, .region = settings->region };

  g_array_append_val (c.items, own);
  dl_peers_foreach_registered (peers, DAISYLOFT__WIRE__ROLE__ROLE_ENTRY,
                               collect_registered, &c);
  message->registered.count = c.items->len;
  message->registered.items
      = talloc_memdup (message, c.items->data, c.items->len * sizeof own);
  g_array_free (c.items, TRUE);
  dl_kernel_publish (kernel, message);
}
