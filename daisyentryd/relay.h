/*
 * The relay task: its state, and the functions that its source files share.
 *
 *   relay.c         the task: connections, received frames, messages, dump
 *   relay_links.c   selects the relays that this entry connects to
 *   relay_push.c    forwards data over a connection
 *   relay_status.c  collects the reports of slots and entries and writes them to the
 *                   platform as status/DATA_CENTER
 *   directive.c     builds the directives for slots
 */
#ifndef RELAY_H
#define RELAY_H

#include <glib.h>

#include "control.h"
#include "directive.h"

typedef struct StatusTable StatusTable;

/* State of the task. */
typedef struct
{
  DlTask *task;
  DlListener *listener;
  EntryMessage *snapshot; /* referenced messages; NULL before the first */
  EntryMessage *fleet;
  EntryMessage *members;
  uint64_t members_generation; /* incremented by every MEMBERS message */
  DirectiveTable *directives;  /* NULL before the first snapshot */
  uint64_t store_contact_ms;   /* when the platform last responded to this entry or a
                                  peer;
                                  0: never */
  uint32_t requests_running;   /* callers' requests in progress at this entry */
  bool reaches_store;          /* the platform responds to this entry itself */
  bool leaving;
  GPtrArray *links;  /* of Link */
  size_t open_links; /* outgoing ones that are open and not idle */
  StatusTable *status_table;
} Relay;

/* A connection of purpose RELAY, to a slot or another entry. */
typedef struct
{
  Relay *relay;
  DlConn *conn;
  char *address; /* of an outgoing connection; NULL: incoming */
  char *name;    /* of the peer; NULL until open */
  Daisyloft__Wire__Role role;
  bool open;
  uint64_t received_ms; /* when the last frame arrived; 0: never */
  /* What the peer has already. */
  uint64_t members_generation;
  uint64_t fleet_revision;
  char *directive_key; /* of the last directive; NULL: none */
  char *directive_rollout;
  uint64_t targets_hash;       /* of the last target list sent; 0: none */
  EntryMessage *sent_snapshot; /* referenced; NULL: none */
  uint64_t status_sent_ms;
  bool wants_objects;     /* the peer has requested objects */
  bool requested_objects; /* this entry has requested objects from the peer */
} Link;

/* -------- relay.c -------- */

/* Adds a link to RELAY, which owns it.  CONN may be NULL and be set later; ADDRESS is
 * copied, and NULL for an incoming connection. */
Link *relay_link_new (Relay *relay, DlConn *conn, const char *address);
/* Removes LINK from the relay and frees it, with its connection. */
void relay_link_free (Link *link);
/* Returns the open link to the peer NAME, or NULL. */
Link *relay_link_find (const Relay *relay, const char *name);
/* Returns the time since the platform last responded to this entry or a peer;
 * UINT64_MAX: never. */
uint64_t relay_store_age_ms (const Relay *relay);
extern const DlConnHandler relay_link_handler;

/* -------- relay_links.c -------- */

/* Connects to the relays selected for this entry, and closes other outgoing links once a
 * selected one is open. */
void relay_links_update (Relay *relay);

/* -------- relay_push.c -------- */

/* Sends the peer what has changed since it was last sent. */
void relay_push (Link *link);
/* Does this for all links. */
void relay_push_all (Relay *relay);
/* Sends other entries what is due every second: the freshness of the data here, this
 * entry's status, and requests for objects. */
void relay_push_heartbeat (Relay *relay);
/* Called when a slot reports that it holds a directive of ROLLOUT.  If that is not the
 * rollout of the last directive sent and has been called off, replaced or failed, tells
 * the slot so. */
void relay_push_rollout_end (Link *link, const char *rollout);

/* -------- relay_status.c -------- */

/* Returns an empty table, a talloc child of RELAY.  It holds what slots and entries
 * report, and writes the status objects. */
StatusTable *status_table_new (Relay *relay);
/* Records the report of a slot. */
void status_table_update_slot (StatusTable *table,
                               const Daisyloft__Wire__SlotStatus *status);
/* Records the report of another entry. */
void status_table_update_entry (StatusTable *table,
                                const Daisyloft__Wire__EntryStatus *status);
/* Called when this entry's own row changes. */
void status_table_self_changed (StatusTable *table);
/* Called when a host list arrives. */
void status_table_members_changed (StatusTable *table);
/* Marks slots that stopped reporting as lost, removes such entries, and writes the status
 * objects that are due. */
void status_table_tick (StatusTable *table);
/* Returns the values of the status objects, by data centre.  The caller owns it. */
json_object *status_table_dump (const StatusTable *table);

#endif
