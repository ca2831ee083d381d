/* Entries that a test plays: they are registered in the store and exchange datagrams. */
#ifndef DIRECT_PLAYED_H
#define DIRECT_PLAYED_H

#include "direct.h"

#define PLAYED_NODE_PORT      "7700"
#define PLAYED_DATAGRAM_BYTES 1400

/* A non-blocking socket for datagrams that is bound to ADDRESS; -1 on failure. */
int played_socket (const char *address);
/* Sends LENGTH bytes to the node whose address ends with HOST. */
void played_send (
    const Testbed *testbed, int fd, unsigned host, const void *bytes, size_t length);
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
