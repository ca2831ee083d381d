/* Entries that a test plays: they are registered in the store and exchange datagrams. */
#ifndef DIRECT_PLAYED_H
#define DIRECT_PLAYED_H

#include "direct.h"
#include "kernel/wire.pb-c.h"

#define PLAYED_NODE_PORT      "7700"
#define PLAYED_DATAGRAM_BYTES 1400

/* A non-blocking socket for datagrams that is bound to ADDRESS; -1 on failure. */
int played_socket (const char *address);
/* Sends LENGTH bytes to the node whose address ends with HOST. */
void played_send (
    const Testbed *testbed, int fd, unsigned host, const void *bytes, size_t length);
/* The status of the ready entry NAME, borrowed, which fetches no weights for others;
 * NUMBER rises with each that is sent. */
Daisyloft__Wire__NodeStatus played_status (char *name, uint64_t number);
/* Sends STATUS to the real entries and stagers, as an entry of their region would. */
void played_tell_region (const Testbed *testbed,
                         int fd,
                         const Daisyloft__Wire__NodeStatus *status);
#define PLAYED_NAME_BYTES 24
/* Fills NAME with the next one after *N that ranks before both real entries, or behind
 * both of them. */
void played_choose_name (char name[PLAYED_NAME_BYTES], unsigned *n, bool ranks_before);
/* Name of the store's object of the entry NAME of REGION, for g_free. */
char *played_object (const char *region, const char *name);
/* What the store says of an entry, whose data centre has its region's name. */
typedef struct
{
  const char *name;
  const char *region;
  const char *address; /* of its datagrams */
  const char *listen;  /* for callers */
  const char *relay;   /* for nodes that read the store through it; NULL for none */
} PlayedEntry;

/* Registers ENTRY in the store. */
bool played_register (Testbed *testbed, const PlayedEntry *entry);

#endif
