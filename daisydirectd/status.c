/*
 * Reports this entry's status to the other nodes.
 */
#include <talloc.h>

#include "node/limit_record.h"
#include "node/signature_record.h"
#include "state_private.h"

/* In a large fleet the chunks that a hub holds are told at most this often. */
#define HOLDINGS_LARGE_MS 160
/* Stagers are asked this often, and for so long after their registrations were read. */
#define ASKS_EVERY_MS 1000
#define ASKS_FOR_MS   2500

/* Whether stagers need to hear from this entry. */
static bool
serves_stagers (const State *state)
{
  return state->is_hub || dl_peers_is_relay (state->peers);
}

static void
add_holdings (const State *state,
              const void *context,
              Daisyloft__Wire__NodeStatus *status)
{
  status->not_hub = !state->is_hub;
  if (state->holdings_message != NULL)
    dl_holdings_to_status (context, &state->holdings_message->holdings, status);
}

static void
add_limit_records (const State *state,
                   const void *context,
                   Daisyloft__Wire__NodeStatus *status)
{
  if (state->limit_records_message != NULL)
    dl_limit_records_to_status (context, state->limit_records_message->limit_records,
                                DL_PEER_STATUS_MAX_BYTES, dl_clock_ms (), status);
}

static void
add_signature_records (const State *state,
                       const void *context,
                       Daisyloft__Wire__NodeStatus *status)
{
  if (state->signature_records_message != NULL)
    dl_signature_records_to_status (context,
                                    state->signature_records_message->signature_records,
                                    DL_PEER_STATUS_MAX_BYTES, dl_clock_ms (), status);
}

void
status_on_unknown_node (Daisyloft__Wire__Role role, void *data)
{
  State *state = data;
  Daisyloft__Wire__NodeStatus status = DAISYLOFT__WIRE__NODE_STATUS__INIT;
  void *context;

  if (role == DAISYLOFT__WIRE__ROLE__ROLE_SLOT && !serves_stagers (state))
    return;
  context = talloc_new (state);
  status.ready = state->ready;
  add_holdings (state, context, &status);
  if (role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY)
    {
      add_limit_records (state, context, &status);
      add_signature_records (state, context, &status);
    }
  dl_peers_reply (state->peers, &status);
  talloc_free (context);
}

static bool
may_tell_all (State *state)
{
  return dl_fanout_may_tell_all (&state->burst, dl_peers_entry_count (state->peers),
                                 dl_clock_ms ());
}

/* Sends this entry's status to the entries that REACH says, and to the stagers that fetch
 * chunks here or read the store through here. */
static void
send_status (State *state, DlPeersReach reach)
{
  Daisyloft__Wire__NodeStatus status = DAISYLOFT__WIRE__NODE_STATUS__INIT;
  Daisyloft__Wire__StoreHeard heard = DAISYLOFT__WIRE__STORE_HEARD__INIT;
  void *context = talloc_new (state);

  status.ready = state->ready;
  if (state->own_heard_ms > 0)
    {
      heard.age_ms = dl_clock_ms () - state->own_heard_ms;
      status.store_heard = &heard;
    }
  add_holdings (state, context, &status);
  dl_version_watch_to_status (state->versions, context, &status);
  status.routing_version = direct_routing_table_highest (state->routing_table);
  if (serves_stagers (state))
    dl_peers_send (state->peers, &status, DAISYLOFT__WIRE__ROLE__ROLE_SLOT,
                   DL_PEERS_REGION);
  add_limit_records (state, context, &status);
  add_signature_records (state, context, &status);
  /* Records are not passed on by relays. */
  if (reach == DL_PEERS_REGION
      && (status.n_limit_record > 0 || status.n_signature_record > 0)
      && may_tell_all (state))
    reach = DL_PEERS_ALL;
  dl_peers_send (state->peers, &status, DAISYLOFT__WIRE__ROLE__ROLE_ENTRY, reach);
  talloc_free (context);
  if (reach != DL_PEERS_REGION)
    state->status_changed = false;
  state->holdings_changed = false;
  state->holdings_sent_ms = dl_clock_ms ();
}

void
status_send_usual (State *state)
{
  send_status (state, dl_peers_is_large (state->peers) ? DL_PEERS_REGION : DL_PEERS_ALL);
}

void
status_ask_stagers (State *state)
{
  Daisyloft__Wire__NodeStatus status = DAISYLOFT__WIRE__NODE_STATUS__INIT;
  uint64_t now_ms = dl_clock_ms ();
  void *context;

  if (!dl_peers_are_listed (state->peers))
    return;
  if (state->asks_from_ms == 0)
    state->asks_from_ms = now_ms;
  if (now_ms - state->asks_from_ms > ASKS_FOR_MS
      || now_ms - state->asked_ms < ASKS_EVERY_MS)
    return;
  state->asked_ms = now_ms;
  context = talloc_new (state);
  status.ready = state->ready;
  add_holdings (state, context, &status);
  dl_peers_send (state->peers, &status, DAISYLOFT__WIRE__ROLE__ROLE_SLOT,
                 dl_peers_is_large (state->peers) ? DL_PEERS_REGION : DL_PEERS_ALL);
  talloc_free (context);
}

void
status_on_tick (DlTimer *timer, void *data)
{
  State *state = data;

  if ((state->status_changed
       || (state->holdings_changed && !dl_peers_is_large (state->peers)))
      && may_tell_all (state))
    send_status (state, DL_PEERS_ALL);
  else if (state->holdings_changed
           && dl_clock_ms () - state->holdings_sent_ms >= HOLDINGS_LARGE_MS)
    send_status (state, DL_PEERS_HUBS);
}
