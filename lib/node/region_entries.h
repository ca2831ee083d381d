/*
 * Reads which entries a region has: a short list of its own in the platform's store.
 *
 * A node that starts needs the entries of its region before it can read anything through
 * them.  The list of all nodes is some hundred times as long; when a region's nodes start
 * together, each of them reading it from the store, it fills the link to the store for
 * seconds.  So entries register in a second kind of objects as well, one for each region.
 *
 * The list is read once.  A read that fails is repeated.
 */
#ifndef DL_REGION_ENTRIES_H
#define DL_REGION_ENTRIES_H

#include "kernel/object_client.h"

typedef struct DlRegionEntries DlRegionEntries;

typedef struct
{
  DlObjectClient *store;
  const char *kind;        /* of the region's entries; borrowed */
  uint64_t first_delay_ms; /* before the list is read */
  /* OBJECT is the registration of an entry. */
  void (*on_entry) (const DlObject *object, void *data);
  void *data;
} DlRegionEntriesOptions;

/* Starts to read the list.  The result is a talloc child of OWNER. */
DlRegionEntries *dl_region_entries_new (DlTask *task,
                                        const void *owner,
                                        const DlRegionEntriesOptions *options);
/* True once all of the list has been read. */
bool dl_region_entries_are_known (const DlRegionEntries *entries);

#endif
