/*
 * Declarations shared by the files of task "state".
 *
 * state.c watches the store and the other nodes, evacuations.c follows the evacuations of
 * data centres, readiness.c decides whether this entry is ready, status.c reports this
 * entry's status to the other nodes.
 */
#ifndef DIRECT_STATE_PRIVATE_H
#define DIRECT_STATE_PRIVATE_H

#include "daisydirectd.h"
#include "held_requests.h"
#include "node/evacuation_watch.h"
#include "node/object_relay.h"
#include "node/object_watch.h"
#include "node/peers.h"
#include "node/relay_source.h"
#include "node/version_watch.h"
#include "policy/fanout.h"
#include "policy/store_heard.h"
#include "routing_table.h"
#include "upstream_list.h"

typedef struct
{
  DlTask *task;
  DlKernel *kernel;
  const DlNodeSettings *settings;
  DlObjectClient *store;
  DlObjectWatch *routing_watch;
  DlObjectWatch *upstreams_watch;
  DlPeers *peers;
  DirectUpstreamList *upstream_list;
  DlRelaySource *source;
  DlObjectRelay *relay;
  DirectRoutingTable *routing_table;
  DlStoreHeard heard;     /* by any entry */
  uint64_t own_heard_ms;  /* by this one */
  const char *heard_by;   /* name of the entry that HEARD is from; NULL for none */
  bool is_proof_old;      /* and that was logged */
  uint64_t old_proven_ms; /* if so, the time of that proof */
  DirectHeldRequests *held_requests;
  DlVersionWatch *versions;
  DlEvacuationWatch *evacuations;  /* NULL: data centres are not evacuated here */
  DirectMessage *holdings_message; /* the last DIRECT_HOLDINGS; NULL before the first */
  DirectMessage
      *signature_records_message; /* the last DIRECT_SIGNATURE_RECORDS; NULL before */
  DirectMessage *limit_records_message; /* the last DIRECT_LIMIT_RECORDS; NULL before */
  bool status_changed;                  /* and not sent yet */
  bool holdings_changed;                /* likewise */
  uint64_t holdings_sent_ms;            /* when holdings were last told */
  DlFanoutBurst burst;                  /* of statuses to all entries */
  bool ready;
  bool has_been_ready;
  const char *awaited; /* what it waits for to be ready, as logged; NULL for nothing */
  uint64_t started_ms; /* of this task */
  uint64_t engine_heard_ms; /* when a stager last told of a further engine; 0 for never */
  bool is_hub;              /* this entry fetches weights for others */
  unsigned ticks;
  uint64_t asked_ms;     /* when stagers were last asked; 0 for never */
  uint64_t asks_from_ms; /* when they were first asked; 0 for never */
} State;

/* -------- evacuations.c -------- */

/* Starts to follow the evacuations, if the settings ask for it. */
void state_watch_evacuations (State *state);
/* False while a data centre may be evacuated without this entry's knowledge. */
bool state_knows_evacuations (const State *state);

/* -------- readiness.c -------- */

/* Determines anew whether this entry is ready, and publishes the entries to use. */
void state_refresh_readiness (State *state);

/* -------- status.c -------- */

/* Sends the status to the entries of the region, and to the others where no relay does
 * so. */
void status_send_usual (State *state);
/* Sends it to the stagers a few times after the start: each replies with its engine's,
 * and the entry uses no engine before. */
void status_ask_stagers (State *state);
/* Sends it to a node that is not registered here yet: a stager learns at once which
 * chunks it can fetch from here, an entry which prompt parts crash upstreams. */
void status_on_unknown_node (Daisyloft__Wire__Role role, void *data);
/* Timer function: reports new chunks soon, so that other nodes can fetch them from here,
 * and suspected prompt parts. */
void status_on_tick (DlTimer *timer, void *data);

#endif
