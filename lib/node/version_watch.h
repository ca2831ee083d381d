/*
 * Follows the target version of the weights, in the store and as other nodes report it.
 */
#ifndef DL_VERSION_WATCH_H
#define DL_VERSION_WATCH_H

#include "node/target_version.h"

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
  /* Reads an object's VALUE; *MODEL is a talloc child of CONTEXT.  Returns 0 or a
   * negative error. */
  int (*read) (const void *context,
               json_object *value,
               const char **model,
               uint64_t *version);
  /* There is a newer target version, or the time of its announcement is known better.
   * TARGET lives as long as the DlVersionWatch. */
  void (*on_target) (const DlTargetVersion *target, void *data);
  /* The store was read for the first time, and no target version is known. */
  void (*on_no_target) (void *data);
  void *data;
} DlVersionWatchOptions;

/* Starts a watch, a talloc child of OWNER.  OPTIONS is copied, what it points to is not.
 */
DlVersionWatch *dl_version_watch_new (DlTask *task,
                                      const void *owner,
                                      const DlVersionWatchOptions *options);
/* Adopts the target version that node FROM sent, if it is newer or its announcement time
 * is better; WIRE may be NULL. */
void dl_version_watch_receive (DlVersionWatch *watch,
                               const Daisyloft__Wire__Named *wire,
                               const char *from);
/* Fills in WIRE, which then refers to the watch, for sending to other nodes.  Returns
 * WIRE, or NULL when there is no target version. */
Daisyloft__Wire__Named *dl_version_watch_to_wire (const DlVersionWatch *watch,
                                                  Daisyloft__Wire__Named *wire);

#endif
