#include "policy/prefix.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"

typedef struct
{
  uint64_t upstream;     /* 0: none */
  uint64_t refreshed_ms; /* time of the last dl_prefix_add */
} Holder;

typedef struct
{
  uint64_t prefix;
  Holder holders[DL_PREFIX_HOLDERS];
} PrefixEntry;

struct DlPrefixIndex
{
  GHashTable *entries; /* uint64_t prefix to PrefixEntry */
  GQueue order;        /* of PrefixEntry, oldest first */
};

static int
index_destroy (DlPrefixIndex *index)
{
  g_hash_table_destroy (index->entries);
  g_queue_clear_full (&index->order, g_free);
  return 0;
}

DlPrefixIndex *
dl_prefix_new (const void *context)
{
  DlPrefixIndex *index = talloc_zero (context, DlPrefixIndex);

  g_assert (index != NULL);
  index->entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&index->order);
  talloc_set_destructor (index, index_destroy);
  return index;
}

uint64_t
dl_prefix_hash (DlStr prompt)
{
  DlDigest digest;
  uint64_t hash;

  if (prompt.length == 0)
    return 0;
  digest = dl_digest (
      dl_str_bytes (prompt.data, MIN (prompt.length, (size_t)DL_PREFIX_BYTES)));
  memcpy (&hash, digest.bytes, sizeof hash);
  return GUINT64_FROM_BE (hash);
}

static PrefixEntry *
find_or_add (DlPrefixIndex *index, uint64_t prefix)
{
  PrefixEntry *e = g_hash_table_lookup (index->entries, &prefix);

  if (e != NULL)
    return e;
  if (index->order.length >= DL_PREFIX_MAX)
    {
      PrefixEntry *oldest = g_queue_pop_head (&index->order);

      g_hash_table_remove (index->entries, &oldest->prefix);
      g_free (oldest);
    }
  e = g_new0 (PrefixEntry, 1);
  e->prefix = prefix;
  g_hash_table_insert (index->entries, &e->prefix, e);
  g_queue_push_tail (&index->order, e);
  return e;
}

/* Where to store UPSTREAM: its present holder, an unused one, or the least recently
 * refreshed. */
static Holder *
holder_for (PrefixEntry *e, uint64_t upstream)
{
  Holder *oldest = &e->holders[0];

  for (int i = 0; i < DL_PREFIX_HOLDERS; i++)
    if (e->holders[i].upstream == upstream)
      return &e->holders[i];
  for (int i = 0; i < DL_PREFIX_HOLDERS; i++)
    if (e->holders[i].refreshed_ms < oldest->refreshed_ms)
      oldest = &e->holders[i];
  return oldest;
}

void
dl_prefix_add (DlPrefixIndex *index, uint64_t prefix, uint64_t upstream, uint64_t now_ms)
{
  if (prefix == 0 || upstream == 0)
    return;
  *holder_for (find_or_add (index, prefix), upstream)
      = (Holder){ .upstream = upstream, .refreshed_ms = now_ms };
}

static void
drop_holder (PrefixEntry *e, uint64_t upstream)
{
  for (int i = 0; i < DL_PREFIX_HOLDERS; i++)
    if (e->holders[i].upstream == upstream)
      e->holders[i] = (Holder){ 0 };
}

void
dl_prefix_drop (DlPrefixIndex *index, uint64_t prefix, uint64_t upstream)
{
  PrefixEntry *e = g_hash_table_lookup (index->entries, &prefix);

  if (e != NULL)
    drop_holder (e, upstream);
}

void
dl_prefix_drop_upstream (DlPrefixIndex *index, uint64_t upstream)
{
  for (GList *l = index->order.head; l != NULL; l = l->next)
    drop_holder (l->data, upstream);
}

bool
dl_prefix_holds (const DlPrefixIndex *index,
                 uint64_t prefix,
                 uint64_t upstream,
                 uint64_t now_ms)
{
  const PrefixEntry *e = g_hash_table_lookup (index->entries, &prefix);

  if (e == NULL || upstream == 0)
    return false;
  for (int i = 0; i < DL_PREFIX_HOLDERS; i++)
    if (e->holders[i].upstream == upstream)
      return now_ms - e->holders[i].refreshed_ms <= DL_PREFIX_MAX_AGE_MS;
  return false;
}

size_t
dl_prefix_count (const DlPrefixIndex *index)
{
  return index->order.length;
}
