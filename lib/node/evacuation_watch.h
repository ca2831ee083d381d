/*
 * Follows the evacuations of data centres in the platform's store.
 *
 * An object named after a data centre stands for its evacuation, and its deletion for the
 * end of that.
 */
#ifndef DL_EVACUATION_WATCH_H
#define DL_EVACUATION_WATCH_H

#include "node/object_watch.h"
#include "policy/evacuation.h"

typedef struct DlEvacuationWatch DlEvacuationWatch;

/* Where to read, and whom to notify. */
typedef struct
{
  DlObjectClient *store;
  const char *kind;
  uint64_t wait_ms; /* as in DlObjectWatchOptions, and the next six */
  uint64_t reader_wait_ms;
  uint64_t apply_ms;
  uint64_t first_delay_ms;
  DlRelaySource *source;
  DlObjectRelay *relay;
  uint64_t retry_max_ms;
  uint64_t relist_spread_ms;
  /* The evacuation of DATA_CENTER began (IS_EVACUATED), or ended. */
  void (*on_change) (const char *data_center, bool is_evacuated, void *data);
  /* All evacuations have been reported once. */
  void (*on_known) (void *data);
  void *data;
} DlEvacuationWatchOptions;

/* Starts the watch, a talloc child of OWNER.  OPTIONS is copied, its strings are not. */
DlEvacuationWatch *dl_evacuation_watch_new (DlTask *task,
                                            const void *owner,
                                            const DlEvacuationWatchOptions *options);
/* True once all evacuations have been read. */
bool dl_evacuation_watch_is_known (const DlEvacuationWatch *watch);

#endif
