/*
 * Following which version of weights is named, by the store and by other nodes.
 */
#ifndef DL_VERSIONS_H
#define DL_VERSIONS_H

#include "node/named.h"

typedef struct DlVersions DlVersions;

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
   * as the DlVersions. */
  void (*on_named) (const DlNamed *named, void *data);
  /* The store was read for the first time, and names no version. */
  void (*on_unnamed) (void *data);
  void *data;
} DlVersionsOptions;

/* OPTIONS is copied, what it points to is not. */
DlVersions *
dl_versions_new (DlTask *task, const void *owner, const DlVersionsOptions *options);
/* Node FROM tells; TOLD may be NULL. */
void dl_versions_told (DlVersions *versions,
                       const Daisyloft__Wire__Named *told,
                       const char *from);
/* What to tell other nodes, in TOLD; NULL when nothing is named. */
Daisyloft__Wire__Named *dl_versions_write (const DlVersions *versions,
                                           Daisyloft__Wire__Named *told);

#endif
