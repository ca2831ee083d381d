/*
 * The relay task: its state and the parts that it is made of.
 *
 *   relay.c         the plug-in: connections, messages, dump
 *   relay_links.c   which relays this entry dials
 *   relay_push.c    what is passed on over a connection
 *   relay_status.c  what slots and entries report, written as status/DATA_CENTER
 *   directive.c     what the rollouts ask of one slot
 */
#ifndef RELAY_H
#define RELAY_H

#include <glib.h>

#include "control.h"
#include "directive.h"

typedef struct StatusBoard StatusBoard;

typedef struct
{
  DlTask *task;
  DlListener *listener;
  EntryMessage *snapshot; /* held messages; NULL before the first */
  EntryMessage *fleet;
  EntryMessage *members;
  uint64_t members_generation; /* rises with every MEMBERS message */
  DirectiveTable *directives;  /* NULL before the first snapshot */
  uint64_t source_ms;          /* when the store was last in touch; 0: never */
  uint32_t requests_running;   /* callers' requests in progress here */
  bool reaches_store;
  bool leaving;
  GPtrArray *links; /* of Link */
  size_t open_links;
  StatusBoard *board;
} Relay;

/* A connection of purpose RELAY, dialled or accepted. */
typedef struct
{
  Relay *relay;
  DlConn *conn;
  char *address; /* dialled; NULL when accepted */
  char *name;    /* NULL until open */
  Daisyloft__Wire__Role role;
  bool open;
  uint64_t heard_ms; /* last frame; 0: none */
  /* What the other side has been sent. */
  uint64_t members_generation;
  uint64_t fleet_revision;
  char *directive_key; /* NULL: none */
  char *directive_rollout;
  uint64_t targets_hash;       /* of the last target list that it carried; 0: none */
  EntryMessage *sent_snapshot; /* held */
  uint64_t status_sent_ms;
  bool wants_objects;
  /* Entries: whether the other side was asked for objects. */
  bool asked_objects;
} Link;

/* -------- relay.c -------- */

Link *relay_link_new (Relay *relay, DlConn *conn, const char *address);
void relay_link_free (Link *link);
Link *relay_link_find (const Relay *relay, const char *name);
uint64_t relay_store_age_ms (const Relay *relay);
extern const DlConnHandler relay_link_handler;

/* -------- relay_links.c -------- */

/* Dials the relays that this entry should hear, and closes other dialled links. */
void relay_links_update (Relay *relay);

/* -------- relay_push.c -------- */

/* Sends what the other side lacks. */
void relay_push (Link *link);
void relay_push_all (Relay *relay);
/* Sends the words of every second: freshness, this entry's status. */
void relay_push_heartbeat (Relay *relay);
/* A slot reported that it holds a directive of ROLLOUT. */
void relay_push_correction (Link *link, const char *rollout);

/* -------- relay_status.c -------- */

StatusBoard *status_board_new (Relay *relay);
void status_board_take_slot (StatusBoard *board,
                             const Daisyloft__Wire__SlotStatus *status);
void status_board_take_entry (StatusBoard *board,
                              const Daisyloft__Wire__EntryStatus *status);
/* This entry's own row changed. */
void status_board_own_changed (StatusBoard *board);
void status_board_members_changed (StatusBoard *board);
/* Marks hosts lost, and writes what changed and is due. */
void status_board_tick (StatusBoard *board);
json_object *status_board_dump (const StatusBoard *board);

#endif
