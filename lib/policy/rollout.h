/*
 * The rollout state machine.
 *
 * A rollout is an object in the store.  This module decodes and encodes the object's
 * value and computes its next state from that value and the hosts' reports.  It keeps no
 * other state, so that any process can continue where another stopped.
 *
 *   distributing -> loading -> complete
 *   paused (from distributing or loading), called-off, replaced, failed
 *
 * A host may load as soon as it holds the complete version and the wave has room: a grant
 * never takes more hosts of one service and region out of rotation at a time than the
 * wave allows.  A host counts as out of rotation unless its own report, made after the
 * last decision about it, says that it accepts requests.
 *
 * No I/O: the time is passed in, and only talloc and json-c are used.
 */
#ifndef DL_ROLLOUT_H
#define DL_ROLLOUT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "policy/names.h"

/* Failed loads after which a host is given up. */
#define DL_ROLLOUT_TRIES_MAX 3

/* State of a rollout; see the diagram above. */
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

/* What was decided about one host so far. */
typedef struct
{
  char *host;
  char *failure;  /* why its last load failed; NULL if it did not */
  uint64_t tries; /* failed loads */
  /* Revision of the object before the last grant or its withdrawal was written.  A host
   * that reports a higher revision knows of that decision. */
  uint64_t since;
} DlRolloutRecord;

/* A decoded rollout object.  Texts and arrays are talloc children of it. */
typedef struct
{
  char *name;
  uint64_t revision; /* of the object */
  uint64_t created;
  char *version; /* digest in hexadecimal */
  char *label;
  char *service;
  DlNames regions;       /* empty: all */
  char *weigh;           /* minimise "time" or "origin-bytes"; "": the fleet's setting */
  uint64_t wave_percent; /* 0: the fleet's setting */
  DlRolloutState state;
  DlRolloutState paused_from; /* state to resume, while paused */
  char *reason;               /* why it is in this state; "" for none */
  uint64_t fence;             /* fencing token of the lease it was last written under */
  DlNames targets;            /* hosts that are to load the version */
  DlNames wave;               /* targets that may load it now */
  DlNames loaded;             /* targets that serve it */
  size_t record_count;
  DlRolloutRecord *records; /* sorted by host */
  json_object *history;     /* array of past steps; owned */
  json_object *unknown;     /* unknown keys, kept as they are; owned */
} DlRollout;

/* Decodes an object's VALUE into *ROLLOUT, a talloc child of CONTEXT.  Returns 0, or
 * -EINVAL with a message in *ERROR, also a child of CONTEXT. */
int dl_rollout_from_json (const void *context,
                          const char *name,
                          uint64_t revision,
                          uint64_t created,
                          json_object *value,
                          DlRollout **rollout,
                          char **error);
/* Encodes the object's value, which the caller owns. */
json_object *dl_rollout_to_json (const DlRollout *rollout);
/* Returns the record of HOST, adding an empty one if there is none.  Valid until the next
 * record is added. */
DlRolloutRecord *dl_rollout_record (DlRollout *rollout, const char *host);
/* Returns the record of HOST, or NULL. */
const DlRolloutRecord *dl_rollout_find_record (const DlRollout *rollout,
                                               const char *host);
/* Returns the name of the state as stored in the object; static. */
const char *dl_rollout_state_name (DlRolloutState state);
/* Returns 0, or -EINVAL when TEXT names no state. */
int dl_rollout_state_parse (const char *text, DlRolloutState *state);
/* True when called off, replaced or failed: no further host loads the version. */
bool dl_rollout_has_ended (const DlRollout *rollout);
/* True while distributing, loading or paused. */
bool dl_rollout_is_active (const DlRollout *rollout);
/* True when HOST serves the version or was granted to load it. */
bool dl_rollout_keeps (const DlRollout *rollout, const char *host);

/* All rollouts, the newest first. */
typedef struct
{
  size_t count;
  DlRollout **rollouts;
} DlRolloutSet;

/* Sorts by time of creation, the newest first. */
void dl_rollout_set_sort (DlRolloutSet *set);
/* Returns the rollout that applies to HOST, or NULL: the newest that targets it, where a
 * rollout that has ended counts only if dl_rollout_keeps() is true for HOST. */
const DlRollout *dl_rollout_for_host (const DlRolloutSet *set, const char *host);

/* What the steering entry knows of one host of the rollout's service. */
typedef struct
{
  const char *name;
  const char *region;
  bool leaving;
  bool drained;  /* by an operator */
  bool reported; /* a recent report exists; the fields below are from the last one */
  bool accepts;  /* takes new requests */
  bool failed;
  const char *failure;
  const char *serving; /* version digests in hexadecimal; "" for none */
  const char *target_version;
  bool target_complete;        /* all chunks of TARGET_VERSION are there and verified */
  const char *rollout;         /* rollout of its last directive */
  uint64_t directive_revision; /* revision of the rollout in that directive */
} DlRolloutHost;

/* What one step of a rollout depends on besides the rollout itself. */
typedef struct
{
  uint64_t wall_ms;
  const char *by; /* name of the steering entry, for the history */
  uint64_t fence;
  uint64_t wave_percent; /* the fleet's setting, for rollouts without their own */
  size_t host_count;
  const DlRolloutHost *hosts; /* of the rollout's service, sorted by name */
  const DlRolloutSet *set;    /* all rollouts, including this one */
} DlRolloutFacts;

/* Computes the next step in ROLLOUT.  Returns true when it changed; the caller then
 * writes it on condition that the object in the store still has its REVISION. */
bool dl_rollout_step (DlRollout *rollout, const DlRolloutFacts *facts);
/* False when the rollout needs no steering whatever the hosts report. */
bool dl_rollout_may_need_steering (const DlRollout *rollout, const DlRolloutSet *set);
/* True when the rollout is active, or complete but a host lacks the version, or ended
 * with a host whose state in WAVE or LOADED is out of date. */
bool dl_rollout_needs_steering (const DlRollout *rollout, const DlRolloutFacts *facts);

#endif
