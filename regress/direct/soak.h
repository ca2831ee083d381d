/*
 * Parts of the soak that its files share.
 *
 * soak_callers.c sends requests and checks each answer, soak_faults.c brings faults and
 * changes about, soak.c starts both and checks afterwards what was told.
 */
#ifndef DIRECT_SOAK_H
#define DIRECT_SOAK_H

#include "direct.h"

#define SOAK_CALLERS 6
/* Pause of the runner between two looks at what is due. */
#define SOAK_TURN_US 20000

typedef enum
{
  SENT_STREAM,
  SENT_SAFE,
  SENT_ONCE,
  SENT_OPEN,
  SENT_KINDS,
} SentKind;

/* One request, and what its caller was told. */
typedef struct
{
  char *id;
  SentKind kind;
  bool with_key2;
  int status; /* 0: no answer */
  gint64 sent_ms;
  gint64 done_ms;
} Told;

/* A configuration that the store has acknowledged. */
typedef struct
{
  bool has_key2;
  gint64 begun_ms;
  gint64 done_ms;
} KeyChange;

typedef struct Soak Soak;

/* One kind of fault on one target. */
typedef struct
{
  const char *name;
  void (*start) (Soak *soak, unsigned index);
  void (*end) (Soak *soak, unsigned index);
  unsigned targets;
  /* Faults of one group do not strike one target at once. */
  char group;
} FaultKind;

typedef struct
{
  const FaultKind *kind;
  unsigned index;
  gint64 until_ms;
} Fault;

struct Soak
{
  World *world;
  GRand *random;
  GString *history; /* of faults, printed when a promise was broken */
  gint64 start_ms;
  GArray *faults;              /* of Fault, under way */
  GArray *keys;                /* of KeyChange */
  bool key2;                   /* the last configuration has it */
  bool stopped_early[ENTRIES]; /* the planned stop came before the process had started */
  uint64_t version;
  gint stop; /* atomic */
  GMutex lock;
  GPtrArray *told; /* of Told; under the lock, as the rest */
  unsigned broken;
  unsigned whole; /* answers */
  unsigned refused;
};

gint64 soak_now_ms (void);
/* Counts and prints that a promise to WHO was broken; from any thread. */
void soak_break_promise (Soak *soak, const char *who, const char *what);

/* -------- soak_callers.c -------- */

typedef struct
{
  Soak *soak;
  unsigned number;
  uint32_t seed;
} SoakCaller;

/* Thread function: sends requests, of a SoakCaller, until the soak's stop. */
gpointer soak_run_caller (gpointer caller);

/* -------- soak_faults.c -------- */

/* Lets faults overlap for SECONDS, then ends them all. */
void soak_press (Soak *soak, unsigned seconds);
/* What the stand-in of engine SERVER recorded, which ends with its process. */
void soak_check_engine (Soak *soak, unsigned server);

#endif
