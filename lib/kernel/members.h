/*
 * The host list: the live hosts according to the platform, whose list lags behind, or to
 * the relays.
 *
 * As JSON: {"revision": N, "hosts": [{"name", "role": "entry" or "slot", "region",
 * "data_center", "address": "IP:PORT", "http": "IP:PORT", "service", "leaving": bool}]}.
 */
#ifndef DL_MEMBERS_H
#define DL_MEMBERS_H

#include "kernel/kernel.h"
#include "kernel/str.h"
#include "kernel/wire.pb-c.h"

/* A host of the list. */
typedef struct
{
  char *name;
  Daisyloft__Wire__Role role;
  char *region;
  char *data_center;
  char *address; /* "IP:PORT" for framed connections */
  char *http;    /* "IP:PORT" for callers; "" for slots */
  char *service; /* that the slot serves; "" for entries */
  bool leaving;  /* shutting down */
} DlMember;

/* A host list, a talloc block.  The members are sorted by name, which is unique. */
typedef struct
{
  uint64_t revision;
  size_t count;
  DlMember *members;
} DlMembers;

/* Parses TEXT into *MEMBERS, a talloc child of CONTEXT.  Of several hosts of the same
 * name one is kept.  Returns 0, or -EINVAL with *ERROR, also a child of CONTEXT. */
int
dl_members_from_json (const void *context, DlStr text, DlMembers **members, char **error);
/* Copies WIRE into *MEMBERS, a talloc child of CONTEXT.  Returns 0 or DL_ERR_MALFORMED.
 */
int dl_members_from_wire (const void *context,
                          const Daisyloft__Wire__Members *wire,
                          DlMembers **members);
/* Returns a message, a talloc child of CONTEXT, whose strings point into MEMBERS. */
Daisyloft__Wire__Members *dl_members_to_wire (const void *context,
                                              const DlMembers *members);
/* Returns the member of that name, or NULL. */
const DlMember *dl_members_find (const DlMembers *members, const char *name);

/* Chooses the relays of a data centre: the DL_RELAYS entries that rank highest by the
 * rendezvous hash of their names with the name of the data centre, leaving entries
 * excluded.  Relays watch the platform and forward its state; every other entry and every
 * slot of the data centre keeps a connection to each.  A data centre without entries uses
 * those of its region; a region without entries uses those of the whole fleet.  Stores up
 * to DL_RELAYS members in RELAYS, the highest ranked first, and returns their number. */
#define DL_RELAYS 2
size_t dl_members_relays (const DlMembers *members,
                          const char *region,
                          const char *data_center,
                          const DlMember *relays[DL_RELAYS]);

#endif
