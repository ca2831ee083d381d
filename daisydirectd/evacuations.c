/*
 * Follows the evacuations of data centres, and tells the other tasks of them.
 */
#include <talloc.h>

#include "kernel/crypt.h"
#include "platform.h"
#include "state_private.h"

/* An entry that starts reads the evacuations when it knows who reads the store for it;
 * when the whole system starts, entries do so one after the other. */
#define EVACUATIONS_FIRST_MS  200
#define EVACUATIONS_SPREAD_MS 3000
/* An entry whose copy has reached 70% of evacuate_ms asks the store itself, so a copy's
 * age, which may reach two waits, must stay below that. */
#define EVACUATIONS_WAIT_MS 1000
/* Readers give out no older copy. */
#define RELAYED_AGE_MAX_MS (2 * EVACUATIONS_WAIT_MS + 600)
#define RETRY_MAX_MS       1000
#define RELIST_SPREAD_MS   300

static void
on_evacuation (const char *data_center, bool is_evacuated, void *data)
{
  State *state = data;
  DirectMessage *message = direct_message_new (DIRECT_EVACUATION);

  message->evacuation.data_center = talloc_strdup (message, data_center);
  message->evacuation.is_evacuated = is_evacuated;
  dl_kernel_publish (state->kernel, message);
}

static void
on_evacuations_known (void *data)
{
  State *state = data;

  dl_kernel_publish (state->kernel, direct_message_new (DIRECT_EVACUATIONS_KNOWN));
}

bool
state_knows_evacuations (const State *state)
{
  return state->evacuations == NULL || dl_evacuation_watch_is_known (state->evacuations);
}

static uint64_t
first_evacuations_ms (const State *state)
{
  return EVACUATIONS_FIRST_MS
         + (state->settings->bootstrap ? dl_random_uint64 () % EVACUATIONS_SPREAD_MS : 0);
}

void
state_watch_evacuations (State *state)
{
  if (state->settings->evacuate_ms == 0)
    return;
  dl_object_relay_add_kind (state->relay, platform_kind_evacuations, RELAYED_AGE_MAX_MS);
  state->evacuations
      = dl_evacuation_watch_new (state->task, state,
                                 &(DlEvacuationWatchOptions){
                                     .store = state->store,
                                     .kind = platform_kind_evacuations,
                                     .wait_ms = EVACUATIONS_WAIT_MS,
                                     .reader_wait_ms = EVACUATIONS_WAIT_MS,
                                     .apply_ms = state->settings->evacuate_ms,
                                     .first_delay_ms = first_evacuations_ms (state),
                                     .source = state->source,
                                     .relay = state->relay,
                                     .retry_max_ms = RETRY_MAX_MS,
                                     .relist_spread_ms = RELIST_SPREAD_MS,
                                     .on_change = on_evacuation,
                                     .on_known = on_evacuations_known,
                                     .data = state,
                                 });
}
