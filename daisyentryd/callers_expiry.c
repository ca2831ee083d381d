/*
 * Deletes the claims whose outcome this entry recorded, after the setting claim_keep_ms.
 * The deletion is conditional on the recorded revision, so a claim that was written again
 * since then stays.
 */
#include <talloc.h>

#include "callers.h"

#define DELETES_PER_S 20

/* A scheduled deletion. */
typedef struct
{
  char name[DL_DIGEST_HEX_BYTES];
  uint64_t revision;
  uint64_t due_ms;
} ClaimExpiry;

void
callers_schedule_expiry (CallersTask *t, const char *name, uint64_t revision)
{
  ClaimExpiry *expiry = g_new (ClaimExpiry, 1);

  *expiry = (ClaimExpiry){
    .revision = revision,
    .due_ms = dl_clock_ms () + t->settings->claim_keep_ms,
  };
  g_strlcpy (expiry->name, name, sizeof expiry->name);
  g_queue_push_tail (&t->expiries, expiry);
}

/* Does nothing: a claim that could not be deleted stays and only uses space. */
static void
on_deleted (const DlObjectResult *result, void *data)
{
}

void
callers_expire_claims (CallersTask *t)
{
  for (int i = 0; i < DELETES_PER_S; i++)
    {
      ClaimExpiry *expiry = g_queue_peek_head (&t->expiries);

      if (expiry == NULL || expiry->due_ms > dl_clock_ms ())
        return;
      dl_object_delete (t->objects, t, ENTRY_KIND_CLAIM, expiry->name, expiry->revision,
                        on_deleted, NULL);
      g_free (g_queue_pop_head (&t->expiries));
    }
}

void
callers_clear_expiries (CallersTask *t)
{
  g_queue_clear_full (&t->expiries, g_free);
}
