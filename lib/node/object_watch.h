/*
 * Follows all objects of one kind in the platform's store: a list, then watch requests.
 *
 * The owner is notified of each object that appears, changes or is deleted, never of an
 * older state after a newer one.  When the store cannot be reached or has dropped its
 * history, the watch recovers by itself, listing again where needed.
 *
 * When the store comes back from an older copy (kernel/object_era.h), the known revisions
 * mean nothing any more: the objects are listed again, all listed ones are notified even
 * when they are unchanged or older, and those that the list does not show as deleted.
 *
 * A response shows the store's state at the time when its request was sent, or later.
 * That time is dl_object_watch_synced_ms, from which the owner computes the maximum age
 * of its copy of the objects.
 */
#ifndef DL_OBJECT_WATCH_H
#define DL_OBJECT_WATCH_H

#include "node/object_relay.h"
#include "node/relay_source.h"

typedef struct DlObjectWatch DlObjectWatch;

/* What to follow, and whom to notify. */
typedef struct
{
  const char *kind;        /* of the objects */
  uint64_t wait_ms;        /* longest time that one watch request waits */
  uint64_t first_delay_ms; /* before the first request */
  uint64_t pause_ms; /* between an event and the next watch request, to batch events */
  uint64_t retry_max_ms; /* longest backoff while the store cannot be reached */
  /* OBJECT appeared, changed or was deleted; its value is NULL when deleted. */
  void (*on_object) (const DlObject *object, void *data);
  /* dl_object_watch_synced_ms was renewed.  May be NULL. */
  void (*on_synced) (void *data);
  /* The store stopped answering (ERROR below 0), or answers again (0); called before
   * on_object for that response.  May be NULL. */
  void (*on_contact) (int error, void *data);
  /* The store came back from an older copy.  The notifications up to the next on_synced
   * are of the list in the new era.  May be NULL. */
  void (*on_new_era) (void *data);
  void *data;
  /* SOURCE chooses an entry to ask in place of the store; RELAY serves the known objects
   * to other nodes.  Either may be NULL. */
  DlRelaySource *source;
  DlObjectRelay *relay;
  /* Time within which a change takes effect at this node, for which SOURCE turns to the
   * store when no reader is current; 0: any. */
  uint64_t apply_ms;
  /* In place of wait_ms and pause_ms while other nodes ask this process. */
  uint64_t reader_wait_ms;
  uint64_t reader_pause_ms;
  uint64_t relay_pause_ms; /* in place of pause_ms while another entry is asked */
  /* The list in a new era is sent at a random time within this, so that the nodes do not
   * all send theirs at once. */
  uint64_t relist_spread_ms;
} DlObjectWatchOptions;

/* Starts a watch, a talloc child of OWNER; CLIENT is that of the store.  OPTIONS is
 * copied, its strings are not. */
DlObjectWatch *dl_object_watch_new (DlTask *task,
                                    const void *owner,
                                    DlObjectClient *client,
                                    const DlObjectWatchOptions *options);
/* Requests the present state at once, unless a list is in progress or a request failed.
 */
void dl_object_watch_refresh (DlObjectWatch *watch);
/* Time (dl_clock_ms) as of which the known objects are current; 0 before the first list
 * is complete. */
uint64_t dl_object_watch_synced_ms (const DlObjectWatch *watch);
/* Where an answer came from. */
typedef struct
{
  const char *reader;     /* its address; NULL for the store itself */
  uint64_t reader_age_ms; /* it had last heard the store so long before it was asked */
} DlObjectOrigin;

/* Origin of the last answer; that of the present one in on_object and on_synced. */
DlObjectOrigin dl_object_watch_origin (const DlObjectWatch *watch);
/* True unless a list is in progress, so that the known objects may be incomplete. */
bool dl_object_watch_is_current (const DlObjectWatch *watch);
/* True when the response that is being handled came from the store itself, without a gap
 * since its last one, to a process that was not paused: a change in it has just happened.
 * This and the next two are for use in on_object. */
bool dl_object_watch_is_prompt (const DlObjectWatch *watch);
/* Time until which what is news in the response that is being handled had not happened.
 */
uint64_t dl_object_watch_unchanged_ms (const DlObjectWatch *watch);
/* True when the store did not answer for long before the response that is being handled,
 * or came back from an older copy. */
bool dl_object_watch_is_after_outage (const DlObjectWatch *watch);

#endif
