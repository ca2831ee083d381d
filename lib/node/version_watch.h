/*
 * Following which version of weights is named, by the store and by other nodes.
 */
#ifndef DL_VERSION_WATCH_H
#define DL_VERSION_WATCH_H

#include "node/target_version.h"

typedef struct DlVersionWatch DlVersionWatch;

typedef struct
{
  DlObjectClient *store;
  const char *kind;      /* of the objects that name versions */
  uint64_t wait_ms;      /* longest time that one watch waits */
  uint64_t retry_max_ms; /* longest pause between tries while the store is away */
  DlRelaySource *source; /* this and what follows as in DlObjectWatchOptions */
  DlObjectRelay *relay;
  uint64_t reader_wait_ms;
  /* Reads an object's value below CONTEXT; returns 0 or a negative error. */
  int (*read) (const void *context,
               json_object *value,
               const char **model,
               uint64_t *version);
  /* A newer version is named, or when it was named is known better; NAMED lives as long
   * as the DlVersionWatch. */
  void (*on_target) (const DlTargetVersion *named, void *data);
  /* The store was read for the first time, and names no version. */
  void (*on_no_target) (void *data);
  void *data;
} DlVersionWatchOptions;

/* OPTIONS is copied, what it points to is not. */
DlVersionWatch *dl_version_watch_new (DlTask *task,
                                      const void *owner,
                                      const DlVersionWatchOptions *options);
/* Node FROM tells; TOLD may be NULL. */
void dl_version_watch_receive (DlVersionWatch *versions,
                               const Daisyloft__Wire__Named *told,
                               const char *from);
/* What to tell other nodes, in TOLD; NULL when nothing is named. */
Daisyloft__Wire__Named *dl_version_watch_to_wire (const DlVersionWatch *versions,
                                                  Daisyloft__Wire__Named *told);

#endif
