/* Deletes recorded outcomes of operators' commands, and ended drains, that are old. */
#include <glib.h>
#include <string.h>

#include "operators.h"
#include "query/json_get.h"
#include "query/plan.h"

#define KEEP_MS     (UINT64_C (24) * 3600 * 1000)
#define EXPIRED_MAX 4 /* objects of each kind that one call deletes */

static void
on_expired_deleted (const DlObjectResult *result, void *data)
{
}

static bool
is_expired (const DlObject *object, uint64_t now_ms)
{
  const char *state = dl_json_text (object->value, "state");

  if (strcmp (object->kind, ENTRY_KIND_DRAIN) == 0
      && strcmp (state, DL_DRAIN_IN_SERVICE) != 0)
    return false;
  return dl_json_uint (object->value, "at_ms") + KEEP_MS < now_ms;
}

static void
expire_kind (Operators *o, const EntrySnapshot *snapshot, const char *kind)
{
  uint64_t now_ms = dl_wall_clock_ms ();
  unsigned expired = 0;
  size_t count;
  const DlObject *objects = entry_snapshot_kind (snapshot, kind, &count);

  for (size_t i = 0; i < count && expired < EXPIRED_MAX; i++)
    if (is_expired (&objects[i], now_ms))
      {
        dl_object_delete (o->client, o, kind, objects[i].name, objects[i].revision,
                          on_expired_deleted, NULL);
        expired++;
      }
}

void
operators_expire_objects (Operators *o)
{
  const EntryMessage *newest = g_queue_peek_head (o->snapshots);

  if (newest == NULL)
    return;
  expire_kind (o, newest->snapshot.snapshot, ENTRY_KIND_COMMAND);
  expire_kind (o, newest->snapshot.snapshot, ENTRY_KIND_DRAIN);
}
