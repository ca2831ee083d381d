/*
 * The list of live hosts, as the platform's lagging list and the relays give it.
 *
 * As JSON: {"revision": N, "hosts": [{"name", "role": "entry" or "slot", "region",
 * "data_center", "address": "IP:PORT", "http": "IP:PORT", "service", "leaving": bool}]}.
 */
#ifndef DL_MEMBERS_H
#define DL_MEMBERS_H

#include "kernel/kernel.h"
#include "kernel/str.h"
#include "kernel/wire.pb-c.h"

typedef struct
{
  char *name;
  Daisyloft__Wire__Role role;
  char *region;
  char *data_center;
  char *address; /* framed connections */
  char *http;    /* entries: where callers connect; slots: "" */
  char *service; /* slots; "" for entries */
  bool leaving;
} DlMember;

/* A talloc block; members are sorted by name, and names are unique. */
typedef struct
{
  uint64_t revision;
  size_t count;
  DlMember *members;
} DlMembers;

/* Returns 0 or -EINVAL with *ERROR below CONTEXT. */
int
dl_members_from_json (const void *context, DlStr text, DlMembers **members, char **error);
/* Returns 0 or DL_ERR_MALFORMED. */
int dl_members_from_wire (const void *context,
                          const Daisyloft__Wire__Members *wire,
                          DlMembers **members);
/* The result is below CONTEXT and points into MEMBERS. */
Daisyloft__Wire__Members *dl_members_to_wire (const void *context,
                                              const DlMembers *members);
const DlMember *dl_members_find (const DlMembers *members, const char *name);

/* The relays of a data centre: its DL_RELAYS live entries that are first by rendezvous
 * hash of their names with the data centre's.  They watch the platform and pass on what
 * it says; every other entry and every slot of the data centre holds a connection to
 * each.  A data centre without entries uses the entries of its region, then all.
 * Writes up to DL_RELAYS members, first in rank first, and returns how many. */
#define DL_RELAYS 2
size_t dl_members_relays (const DlMembers *members,
                          const char *region,
                          const char *data_center,
                          const DlMember *relays[DL_RELAYS]);

#endif
