/*
 * Following all objects of one kind: a list, then watches, from then on.
 *
 * The owner is told of each object that appears, changes or vanishes, never of an older
 * state after a newer one.  When the platform is away or has dropped its history, the
 * watch goes on by itself, listing again where needed.
 *
 * A watch that returns nothing proves that nothing had changed when it was sent.  The
 * time of that sending is dl_object_watch_synced_ms, from which the owner tells how old
 * what it knows may be.
 */
#ifndef DL_OBJECT_WATCH_H
#define DL_OBJECT_WATCH_H

#include "node/object_relay.h"
#include "node/relay_source.h"

typedef struct DlObjectWatch DlObjectWatch;

typedef struct
{
  const char *kind;
  uint64_t wait_ms;      /* longest time that one watch waits */
  uint64_t pause_ms;     /* between an event and the next watch, so that events gather */
  uint64_t retry_max_ms; /* longest pause between tries while the platform is away */
  /* An object is as OBJECT says; its value is NULL once it is deleted. */
  void (*on_object) (const DlObject *object, void *data);
  /* What the owner knows is as current as dl_object_watch_synced_ms now says. */
  void (*on_synced) (void *data);
  /* The platform stopped (ERROR below 0) or began again (0) to answer; told before what
   * the answer says. */
  void (*on_contact) (int error, void *data);
  void *data;
  /* Other entries are asked in the platform's place where SOURCE names one, and are told
   * through RELAY what is known here.  Both NULL to do neither. */
  DlRelaySource *source;
  DlObjectRelay *relay;
  /* In place of wait_ms and pause_ms while others ask this process. */
  uint64_t reader_wait_ms;
  uint64_t reader_pause_ms;
  uint64_t relay_pause_ms; /* in place of pause_ms while another entry is asked */
} DlObjectWatchOptions;

/* OPTIONS is copied, its texts are not. */
DlObjectWatch *dl_object_watch_new (DlTask *task,
                                    const void *owner,
                                    DlObjectClient *client,
                                    const DlObjectWatchOptions *options);
/* Time (dl_clock_ms) as of which everything known is current; 0 before the first list. */
uint64_t dl_object_watch_synced_ms (const DlObjectWatch *watch);
/* True when the watch has heard the platform without a gap that its waits do not explain,
 * so that what arrives now has just happened. */
bool dl_object_watch_is_continuous (const DlObjectWatch *watch);
#endif
