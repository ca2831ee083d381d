/*
 * The rollout state machine.
 *
 * A rollout is an object of the store; this module reads and writes its value and decides
 * its next state from it and from what the hosts report.  Nothing else is remembered, so
 * that any process can go on where another stopped.
 *
 *   distributing -> loading -> complete
 *   paused (from distributing or loading), called-off, replaced, failed
 *
 * Hosts load as soon as they hold the whole version and the wave has room: at any time no
 * more hosts of one service and region are out of rotation by a grant than the wave
 * allows, and a host counts as out unless its own report, made after the last decision
 * about it, says that it takes requests.
 *
 * The code is pure: the clock is given, and talloc and json-c are all that it uses.
 */
#ifndef DL_ROLLOUT_H
#define DL_ROLLOUT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "policy/names.h"

/* Loads that a host may fail before it is given up. */
#define DL_ROLLOUT_TRIES_MAX 3

typedef enum
{
  DL_ROLLOUT_DISTRIBUTING,
  DL_ROLLOUT_LOADING,
  DL_ROLLOUT_COMPLETE,
  DL_ROLLOUT_PAUSED,
  DL_ROLLOUT_CALLED_OFF,
  DL_ROLLOUT_REPLACED,
  DL_ROLLOUT_FAILED,
} DlRolloutState;

/* What was decided about one host. */
typedef struct
{
  char *host;
  char *failure;  /* of its last load; NULL for none */
  uint64_t tries; /* loads that failed */
  /* Revision of the object that the last grant or its withdrawal was written over; the
   * host knows of it when it reports a higher one. */
  uint64_t since;
} DlRolloutRecord;

typedef struct
{
  char *name;
  uint64_t revision; /* of the object */
  uint64_t created;
  char *version; /* digest in hexadecimal */
  char *label;
  char *service;
  DlNames regions; /* empty: all */
  char *weigh;     /* "time" or "origin-bytes"; "" for the fleet's */
  uint64_t wave_percent;
  DlRolloutState state;
  DlRolloutState paused_from;
  char *reason;
  uint64_t fence;
  DlNames targets;
  DlNames wave;
  DlNames loaded;
  size_t record_count;
  DlRolloutRecord *records; /* sorted by host */
  json_object *history;     /* list; owned */
  json_object *unknown;     /* keys that this module does not know; owned */
} DlRollout;

/* Returns 0 or -EINVAL with *ERROR below CONTEXT. */
int dl_rollout_from_json (const void *context,
                          const char *name,
                          uint64_t revision,
                          uint64_t created,
                          json_object *value,
                          DlRollout **rollout,
                          char **error);
/* The caller owns the value. */
json_object *dl_rollout_to_json (const DlRollout *rollout);
/* The note of HOST; an empty one is made when there is none. */
DlRolloutRecord *dl_rollout_record (DlRollout *rollout, const char *host);
/* NULL when there is none. */
const DlRolloutRecord *dl_rollout_find_record (const DlRollout *rollout,
                                               const char *host);
const char *dl_rollout_state_name (DlRolloutState state);
/* Returns 0 or -EINVAL. */
int dl_rollout_state_parse (const char *text, DlRolloutState *state);
/* Called off, replaced or failed: no host is loaded any more. */
bool dl_rollout_has_ended (const DlRollout *rollout);
bool dl_rollout_is_active (const DlRollout *rollout);
/* The host serves the version or was granted to load it. */
bool dl_rollout_keeps (const DlRollout *rollout, const char *host);

/* All rollouts, the newest first. */
typedef struct
{
  size_t count;
  DlRollout **rollouts;
} DlRolloutSet;

void dl_rollout_set_sort (DlRolloutSet *set);
/* The rollout that holds for a host: the newest that targets it; of those that ended,
 * only the hosts that they keep count.  NULL for none. */
const DlRollout *dl_rollout_for_host (const DlRolloutSet *set, const char *host);

/* What is known of one host of the rollout's service. */
typedef struct
{
  const char *name;
  const char *region;
  bool leaving;
  bool drained;  /* by an operator */
  bool reported; /* the rest is its own recent report */
  bool accepts;  /* takes new requests */
  bool failed;
  const char *failure;
  const char *serving; /* version digests in hexadecimal; "" for none */
  const char *target_version;
  bool target_complete; /* TARGET_VERSION is whole and verified */
  const char *rollout;  /* that its last directive named */
  uint64_t directive_revision;
} DlRolloutHost;

typedef struct
{
  uint64_t wall_ms;
  const char *by; /* name of the steering entry */
  uint64_t fence;
  uint64_t wave_percent; /* of the fleet, for rollouts that do not say */
  size_t host_count;
  const DlRolloutHost *hosts; /* of the service, sorted by name */
  const DlRolloutSet *set;    /* all rollouts, this one too */
} DlRolloutFacts;

/* Takes the next step.  Returns whether ROLLOUT changed and is to be written, on the
 * condition that the store still holds its REVISION. */
bool dl_rollout_step (DlRollout *rollout, const DlRolloutFacts *facts);
/* False when no report of a host could make the rollout want steering. */
bool dl_rollout_may_need_steering (const DlRollout *rollout, const DlRolloutSet *set);
/* True when the rollout is active, complete with a host to load again, or ended and keeps
 * a host that does not serve the version. */
bool dl_rollout_needs_steering (const DlRollout *rollout, const DlRolloutFacts *facts);

#endif
