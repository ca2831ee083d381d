/*
 * In-memory store of verified chunks and manifests.
 */
#include "transfer_store.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

typedef struct
{
  DlDigest digest;
  size_t length;
  uint8_t *data;
} StoredChunk;

struct TransferStore
{
  GHashTable *chunks;    /* DlDigest to StoredChunk */
  GHashTable *manifests; /* DlDigest to DlManifest */
  uint64_t bytes;        /* total length of the chunks */
};

static guint
digest_hash (gconstpointer key)
{
  guint hash;

  memcpy (&hash, ((const DlDigest *)key)->bytes, sizeof hash);
  return hash;
}

static gboolean
digest_equal (gconstpointer a, gconstpointer b)
{
  return dl_digest_equal (a, b);
}

static int
store_destroy (TransferStore *store)
{
  g_hash_table_destroy (store->chunks);
  g_hash_table_destroy (store->manifests);
  return 0;
}

TransferStore *
transfer_store_new (const void *context)
{
  TransferStore *store = talloc_zero (context, TransferStore);

  g_assert (store != NULL);
  store->chunks = g_hash_table_new (digest_hash, digest_equal);
  store->manifests = g_hash_table_new (digest_hash, digest_equal);
  talloc_set_destructor (store, store_destroy);
  return store;
}

void
transfer_store_put (TransferStore *store, const DlDigest *digest, DlStr data)
{
  StoredChunk *chunk;

  if (g_hash_table_contains (store->chunks, digest))
    return;
  chunk = talloc_zero (store, StoredChunk);
  g_assert (chunk != NULL);
  chunk->digest = *digest;
  chunk->length = data.length;
  chunk->data = talloc_memdup (chunk, data.data, data.length);
  g_assert (chunk->data != NULL);
  store->bytes += data.length;
  g_hash_table_insert (store->chunks, &chunk->digest, chunk);
}

bool
transfer_store_get (const TransferStore *store, const DlDigest *digest, DlStr *data)
{
  const StoredChunk *chunk = g_hash_table_lookup (store->chunks, digest);

  if (chunk == NULL)
    return false;
  *data = dl_str_bytes (chunk->data, chunk->length);
  return true;
}

const DlManifest *
transfer_store_put_manifest (TransferStore *store, DlManifest *manifest)
{
  const DlManifest *known = transfer_store_manifest (store, &manifest->version);

  if (known != NULL)
    {
      talloc_free (manifest);
      return known;
    }
  talloc_steal (store, manifest);
  g_hash_table_insert (store->manifests, &manifest->version, manifest);
  return manifest;
}

const DlManifest *
transfer_store_manifest (const TransferStore *store, const DlDigest *version)
{
  return g_hash_table_lookup (store->manifests, version);
}

static bool
is_among (const DlDigest *version, const DlDigest *versions, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (dl_digest_equal (version, &versions[i]))
      return true;
  return false;
}

static gboolean
drop_chunk (gpointer key, gpointer value, gpointer data)
{
  StoredChunk *chunk = value;
  GHashTable *kept = data;

  if (g_hash_table_contains (kept, &chunk->digest))
    return FALSE;
  talloc_free (chunk);
  return TRUE;
}

/* Drops all manifests except those of VERSIONS.  Returns the set of the chunk digests
 * that the remaining ones list; the caller destroys it. */
static GHashTable *
drop_manifests (TransferStore *store, const DlDigest *versions, size_t count)
{
  GHashTable *kept = g_hash_table_new (digest_hash, digest_equal);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->manifests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DlManifest *manifest = value;

      if (is_among (&manifest->version, versions, count))
        {
          for (uint32_t i = 0; i < manifest->chunk_count; i++)
            g_hash_table_add (kept, &manifest->chunks[i]);
          continue;
        }
      g_hash_table_iter_remove (&iter);
      talloc_free (manifest);
    }
  return kept;
}

static void
count_bytes (TransferStore *store)
{
  GHashTableIter iter;
  gpointer value;

  store->bytes = 0;
  g_hash_table_iter_init (&iter, store->chunks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    store->bytes += ((StoredChunk *)value)->length;
}

void
transfer_store_retain (TransferStore *store, const DlDigest *versions, size_t count)
{
  GHashTable *kept = drop_manifests (store, versions, count);

  g_hash_table_foreach_remove (store->chunks, drop_chunk, kept);
  g_hash_table_destroy (kept);
  count_bytes (store);
}

uint64_t
transfer_store_bytes (const TransferStore *store)
{
  return store->bytes;
}
