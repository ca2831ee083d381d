#include "policy/served_table.h"

#include <glib.h>
#include <talloc.h>

#define BUCKETS 8192
#define WAYS    8 /* entries of a bucket */

/* Each entry is 16 bytes: the table has 1 MiB, of which only what is used is touched. */
typedef struct
{
  uint64_t key; /* 0: free */
  uint64_t served_ms : 48;
  uint64_t count : 16;
} ServedEntry;

struct DlServedTable
{
  ServedEntry *entries; /* BUCKETS times WAYS */
};

static int
table_destroy (DlServedTable *table)
{
  g_free (table->entries);
  return 0;
}

DlServedTable *
dl_served_table_new (const void *context)
{
  DlServedTable *table = talloc_zero (context, DlServedTable);

  g_assert (table != NULL);
  table->entries = g_new0 (ServedEntry, BUCKETS * WAYS);
  talloc_set_destructor (table, table_destroy);
  return table;
}

static ServedEntry *
bucket_of (const DlServedTable *table, uint64_t key)
{
  return &table->entries[key % BUCKETS * WAYS];
}

/* The entry for KEY, or NULL. */
static ServedEntry *
find_entry (const DlServedTable *table, uint64_t key)
{
  ServedEntry *bucket = bucket_of (table, key);

  for (size_t i = 0; i < WAYS; i++)
    if (bucket[i].key == key)
      return &bucket[i];
  return NULL;
}

/* The entry of KEY's bucket that was served longest ago. */
static ServedEntry *
find_oldest (const DlServedTable *table, uint64_t key)
{
  ServedEntry *oldest = bucket_of (table, key);
  ServedEntry *bucket = oldest;

  for (size_t i = 1; i < WAYS; i++)
    if (bucket[i].served_ms < oldest->served_ms)
      oldest = &bucket[i];
  return oldest;
}

static bool
is_recent (const ServedEntry *e, uint64_t now_ms)
{
  return now_ms <= e->served_ms + DL_SERVED_TABLE_MS;
}

void
dl_served_table_add (DlServedTable *table, const DlSignature *signature, uint64_t now_ms)
{
  uint64_t key = dl_signature_key (signature);
  ServedEntry *e = find_entry (table, key);

  if (e == NULL)
    {
      e = find_oldest (table, key);
      *e = (ServedEntry){ .key = key };
    }
  else if (!is_recent (e, now_ms))
    e->count = 0;
  e->served_ms = now_ms;
  e->count = MIN (e->count + 1u, G_MAXUINT16);
}

DlServedLately
dl_served_table_find (const DlServedTable *table,
                      const DlSignature *signature,
                      uint64_t now_ms)
{
  const ServedEntry *e = find_entry (table, dl_signature_key (signature));

  if (e == NULL || !is_recent (e, now_ms))
    return (DlServedLately){ 0 };
  return (DlServedLately){ .served_ms = e->served_ms, .count = e->count };
}
