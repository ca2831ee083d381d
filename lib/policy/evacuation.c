#include "policy/evacuation.h"

#include <glib.h>
#include <talloc.h>

/* One data centre that is evacuated, or was. */
typedef struct
{
  bool is_evacuated;
  uint64_t ended_ms; /* of the last evacuation that was taken back; 0: none */
} Evacuation;

struct DlEvacuations
{
  GHashTable *data_centers; /* name to Evacuation */
  unsigned count;           /* that are evacuated */
};

static int
evacuations_destroy (DlEvacuations *evacuations)
{
  g_hash_table_destroy (evacuations->data_centers);
  return 0;
}

DlEvacuations *
dl_evacuations_new (const void *context)
{
  DlEvacuations *evacuations = talloc_zero (context, DlEvacuations);

  g_assert (evacuations != NULL);
  evacuations->data_centers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (evacuations, evacuations_destroy);
  return evacuations;
}

static const Evacuation *
find (const DlEvacuations *evacuations, const char *data_center)
{
  return g_hash_table_lookup (evacuations->data_centers, data_center);
}

bool
dl_evacuations_begin (DlEvacuations *evacuations, const char *data_center)
{
  Evacuation *e = g_hash_table_lookup (evacuations->data_centers, data_center);

  if (e == NULL)
    {
      e = g_new0 (Evacuation, 1);
      g_hash_table_insert (evacuations->data_centers, g_strdup (data_center), e);
    }
  if (e->is_evacuated)
    return false;
  e->is_evacuated = true;
  evacuations->count++;
  return true;
}

bool
dl_evacuations_end (DlEvacuations *evacuations, const char *data_center, uint64_t now_ms)
{
  Evacuation *e = g_hash_table_lookup (evacuations->data_centers, data_center);

  if (e == NULL || !e->is_evacuated)
    return false;
  e->is_evacuated = false;
  e->ended_ms = now_ms;
  evacuations->count--;
  return true;
}

bool
dl_evacuations_include (const DlEvacuations *evacuations, const char *data_center)
{
  const Evacuation *e = find (evacuations, data_center);

  return e != NULL && e->is_evacuated;
}

uint64_t
dl_evacuations_ended_ms (const DlEvacuations *evacuations, const char *data_center)
{
  const Evacuation *e = find (evacuations, data_center);

  return e != NULL ? e->ended_ms : 0;
}

unsigned
dl_evacuations_count (const DlEvacuations *evacuations)
{
  return evacuations->count;
}
