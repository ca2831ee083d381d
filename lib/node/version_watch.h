/*
 * Follows the target version of the weights, and the announcements of versions, in the
 * store and as other nodes report them.
 */
#ifndef DL_VERSION_WATCH_H
#define DL_VERSION_WATCH_H

#include "node/target_version.h"
#include "policy/version_floor.h"

typedef struct DlVersionWatch DlVersionWatch;

/* Where to read versions, and whom to notify. */
typedef struct
{
  DlObjectClient *store;
  const char *kind;      /* of the objects that announce versions */
  uint64_t wait_ms;      /* longest time that one watch request waits */
  uint64_t retry_max_ms; /* longest backoff while the store cannot be reached */
  DlRelaySource *source; /* this and the next three as in DlObjectWatchOptions */
  DlObjectRelay *relay;
  uint64_t reader_wait_ms;
  uint64_t relist_spread_ms;
  uint64_t limit_ms; /* within which a version must be in effect */
  /* Reads an object's VALUE; *MODEL is a talloc child of CONTEXT.  Returns 0 or a
   * negative error. */
  int (*read) (const void *context,
               json_object *value,
               const char **model,
               uint64_t *version);
  /* There is a newer target version, or the time of its announcement is known better.
   * TARGET lives as long as the DlVersionWatch. */
  void (*on_target) (const DlTargetVersion *target, void *data);
  /* More is known of the announcements.  FLOOR lives as long as the DlVersionWatch.  May
   * be NULL. */
  void (*on_floor) (const DlVersionFloor *floor, void *data);
  /* This node observed an announcement, which others that read late copies should be told
   * at once.  May be NULL. */
  void (*on_observed) (void *data);
  /* The store was read for the first time, and no target version is known. */
  void (*on_no_target) (void *data);
  void *data;
} DlVersionWatchOptions;

/* Starts a watch, a talloc child of OWNER.  OPTIONS is copied, what it points to is not.
 */
DlVersionWatch *dl_version_watch_new (DlTask *task,
                                      const void *owner,
                                      const DlVersionWatchOptions *options);
/* Adopts what node FROM reports in STATUS: announcements that it observed, and the target
 * version, if it is newer or its announcement time is better.  Right after a pause of
 * this process nothing is adopted, as STATUS may have waited for long. */
void dl_version_watch_receive (DlVersionWatch *watch,
                               const Daisyloft__Wire__NodeStatus *status,
                               const char *from);
/* Adds to STATUS what other nodes are to know.  It refers to the watch, and to talloc
 * children of CONTEXT. */
void dl_version_watch_to_status (const DlVersionWatch *watch,
                                 const void *context,
                                 Daisyloft__Wire__NodeStatus *status);

#endif
