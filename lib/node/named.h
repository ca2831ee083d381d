/*
 * The newest version of weights that was named, and when.
 *
 * The time in which a version must be in force counts from its name.  A node that watches
 * the store sees the name arrive.  One that has just started only finds it there, and
 * takes it for older than it may be, until another node that saw it tells its age.
 */
#ifndef DL_NAMED_H
#define DL_NAMED_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/wire.pb-c.h"

/* Age that is assumed of a name that was found. */
#define DL_NAMED_ASSUMED_AGE_MS 5000

typedef struct
{
  char *model; /* below the structure's owner; NULL for none */
  uint64_t version;
  uint64_t named_ms;
  bool witnessed; /* a node saw it being named */
} DlNamed;

/* The store names VERSION at NOW.  WITNESSED: it arrived by a watch that had heard the
 * store all the time before.  Returns true when NAMED changed. */
bool dl_named_by_store (const void *owner,
                        DlNamed *named,
                        const char *model,
                        uint64_t version,
                        bool witnessed,
                        uint64_t now_ms);
/* Another node tells.  Returns true when NAMED changed. */
bool dl_named_by_node (const void *owner,
                       DlNamed *named,
                       const Daisyloft__Wire__Named *told,
                       uint64_t now_ms);
/* What to tell other nodes; refers to NAMED.  False when nothing was named. */
bool dl_named_write (const DlNamed *named, Daisyloft__Wire__Named *told, uint64_t now_ms);

#endif
