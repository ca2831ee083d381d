/*
 * The routing table: reads it from the store's object, publishes newer ones to the other
 * tasks, and as of when the one in effect is known to be the newest.
 */
#ifndef DIRECT_ROUTING_TABLE_H
#define DIRECT_ROUTING_TABLE_H

#include "daisydirectd.h"
#include "node/object_watch.h"

typedef struct DirectRoutingTable DirectRoutingTable;

/* Creates the table, a talloc child of OWNER; at first there is none. */
DirectRoutingTable *direct_routing_table_new (DlKernel *kernel, const void *owner);
/* OBJECT appeared, changed or was deleted in the store, by an answer from ORIGIN. */
void direct_routing_table_update (DirectRoutingTable *table,
                                  const DlObject *object,
                                  const DlObjectOrigin *origin);
/* The store came back from an older copy. */
void direct_routing_table_store_returned (DirectRoutingTable *table);
/* What the store shows was its state at SYNCED_MS, by an answer from ORIGIN.  ERA is the
 * store's; 0 when it tells none. */
void direct_routing_table_synced (DirectRoutingTable *table,
                                  uint64_t synced_ms,
                                  const DlObjectOrigin *origin,
                                  uint64_t era);
/* True when the store's present state would be a proof, unlike the state last shown. */
bool direct_routing_table_needs_proof (const DirectRoutingTable *table);
/* Another node knows a table of VERSION. */
void direct_routing_table_told (DirectRoutingTable *table, uint64_t version);
/* Version of the table in effect; 0 before the first. */
uint64_t direct_routing_table_version (const DirectRoutingTable *table);
/* The highest version known here or to another node. */
uint64_t direct_routing_table_highest (const DirectRoutingTable *table);
/* What proved last that the table in effect is the newest. */
const DirectRoutingProof *direct_routing_table_proof (const DirectRoutingTable *table);
/* The time of that, dl_clock_ms; 0 for never. */
uint64_t direct_routing_table_proven_ms (const DirectRoutingTable *table);

#endif
