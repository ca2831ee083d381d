/*
 * Declarations that the files of the soak share.
 *
 * soak_callers.c sends requests and checks each response, soak_faults.c injects faults
 * and makes changes, soak.c starts both and afterwards checks all responses against the
 * records of the stand-ins.  Then come phases with stricter checks: soak_planned.c does
 * only planned work, under the callers of soak_kept.c, soak_silence.c makes servers
 * silent under the same callers, soak_slices.c does planned work on entries that stand
 * still again and again, under the callers of soak_slices_calls.c, soak_version.c names
 * versions while streams wait at the servers, soak_taken.c spoils what servers take as
 * weights, soak_poison.c crashes them by a prompt part, soak_poison_whole.c by a whole
 * request, soak_limit.c lets them limit their requests, and soak_power.c cuts the power
 * of all hosts.
 */
#ifndef DIRECT_SOAK_H
#define DIRECT_SOAK_H

#include <curl/curl.h>

#include "direct.h"

#define SOAK_CALLERS 6
/* Between two events of a stream, unless it is to last long. */
#define SOAK_EVENT_MS 20
/* Pause between two checks for faults that are due to start or end. */
#define SOAK_POLL_US 20000

/* Kinds of requests, one for each route. */
typedef enum
{
  REQUEST_STREAM,
  REQUEST_SAFE,
  REQUEST_UNSAFE,
  REQUEST_PUBLIC,
  REQUEST_KINDS,
} RequestKind;

/* A request that was sent, and its response's status. */
typedef struct
{
  char *id;
  RequestKind kind;
  bool with_key2;
  bool kept; /* sent while only planned work happened: must be answered */
  bool complete;
  unsigned deadline_ms;
  int status; /* 0: no response */
  gint64 sent_ms;
  gint64 done_ms;
} SentRequest;

/* A write of the configuration, which the store has acknowledged unless it gives the key
 * back. */
typedef struct
{
  bool has_key2;
  gint64 begun_ms;
  gint64 done_ms;
} KeyChange;

typedef struct Soak Soak;

/* A kind of fault or change: what starts and ends it at target INDEX. */
typedef struct
{
  const char *name;
  void (*start) (Soak *soak, unsigned index);
  void (*end) (Soak *soak, unsigned index);
  unsigned targets; /* INDEX is below this */
  /* Two faults of a group never affect the same target at the same time. */
  char group;
} FaultKind;

/* A fault that is active. */
typedef struct
{
  const FaultKind *kind;
  unsigned index;
  gint64 until_ms;
} Fault;

struct Soak
{
  Testbed *testbed;
  GRand *random;
  GString *history; /* of faults; printed when a guarantee was violated */
  gint64 start_ms;
  GArray *faults; /* of Fault; active ones */
  GArray *keys;   /* of KeyChange, in order */
  bool key2;      /* the last acknowledged configuration has the second key */
  /* SIGTERM was sent before the process logged its start. */
  bool stopped_before_start[ENTRIES];
  uint64_t version;
  gint stop;      /* atomic */
  gint kept_stop; /* atomic */
  GMutex lock;
  /* The rest is guarded by LOCK. */
  GPtrArray *requests; /* of SentRequest */
  unsigned violations;
  unsigned complete; /* responses with status 200 that are complete */
  unsigned refused;  /* responses with status 503 */
};

/* Monotonic time. */
gint64 soak_now_ms (void);
/* A random time from LEAST_MS up to before MOST_MS from now. */
gint64 soak_random_due_ms (GRand *random, gint32 least_ms, gint32 most_ms);
/* Counts and prints a violated guarantee: WHO is the request or process, WHAT the
 * violation.  May be called from any thread. */
void soak_report_violation (Soak *soak, const char *who, const char *what);
/* Adds a line to the history.  May be called from any thread. */
void soak_log_event (Soak *soak, const char *what, unsigned index);
/* How often request ID ran by RECORDS of a server. */
uint64_t soak_runs_in (json_object *records, const char *id);

/* -------- soak_faults.c -------- */

/* Injects overlapping faults for SECONDS, then ends them all. */
void soak_inject_faults (Soak *soak, unsigned seconds);
/* Checks the records of model server SERVER; call it before its process ends, as the
 * records are lost with it. */
void soak_check_engine (Soak *soak, unsigned server);
/* Ends the effects of faults that have no end of their own: knobs that count down and
 * connections that are stalled. */
void soak_heal (Soak *soak);
/* Sets the time between two events of the model servers' streams. */
void soak_set_event_ms (Soak *soak, uint64_t event_ms);
/* True if PROCESS has logged its start, from when on it handles signals. */
bool soak_has_started (const Process *process);
/* Reports and restarts a process that has ended by itself. */
void soak_check_process (Soak *soak, Process *process);
/* Sends SIGTERM to entry INDEX. */
void soak_stop_entry (Soak *soak, unsigned index);
/* Checks that entry INDEX, which ended with wait status STATUS after SIGTERM, exited with
 * status 0, or was ended by the signal if that came before it handled signals. */
void soak_check_exit (Soak *soak, unsigned index, int status);
/* Revokes the second key, or gives it back. */
void soak_change_keys (Soak *soak);
void soak_announce_version (Soak *soak);

/* -------- soak_callers.c -------- */

typedef struct
{
  Soak *soak;
  unsigned number;
  uint32_t seed;
  bool sends_streams; /* of a kept caller: nothing else */
} SoakCaller;

/* Thread function; CALLER is a SoakCaller.  Sends requests until the soak's stop. */
gpointer soak_run_caller (gpointer caller);

/* -------- soak_kept.c -------- */

/* A caller that keeps its connection to an entry until that is gone. */
typedef struct
{
  unsigned number;
  uint32_t seed;
  gint *stop; /* atomic */
  /* Sends request N to ENTRY; returns false if it got no response. */
  bool (*send) (void *data, GRand *random, CURL *curl, unsigned entry, unsigned n);
  void *data;
} SoakKeptCalls;

/* Sends requests until the stop. */
void soak_keep_calling (const SoakKeptCalls *calls);
/* Sends the stream ID to ENTRY, a slow one or not by RANDOM, as part of kept calls. */
Response soak_call_stream (
    const Soak *soak, GRand *random, CURL *curl, unsigned entry, const char *id);

#define SOAK_KEPT_CALLERS 10

typedef struct
{
  SoakCaller callers[SOAK_KEPT_CALLERS];
  GThread *threads[SOAK_KEPT_CALLERS];
} SoakKept;

/* Starts callers that keep their connections to an entry until its process is gone;
 * STREAM_CALLERS of them send streams only. */
void soak_start_kept (Soak *soak, SoakKept *kept, unsigned stream_callers);
/* Ends the callers and checks each of their requests against the servers' records: one
 * that ran must have been answered, a refused one must not have run, and a response whose
 * head came must be complete unless its time ran out. */
void soak_end_kept (Soak *soak, SoakKept *kept);

/* -------- soak_planned.c -------- */

/* For SECONDS only planned work happens: stops of entries in series and overlapping, with
 * repeated signals, and changes beside them. */
void soak_plan_work (Soak *soak, unsigned seconds);

/* -------- soak_silence.c -------- */

/* Kept callers that send streams only while servers are silent. */
#define SOAK_SILENCE_STREAM_CALLERS 5
/* Model servers are silent for a while and go on, one after the other; their streams must
 * be complete all the same. */
void soak_silence_servers (Soak *soak);

/* -------- soak_version.c -------- */

/* Lists the model servers with so many slots; 0: as usual. */
void soak_list_models (Soak *soak, unsigned slots);

/* Names versions in quick series while servers let streams wait and processes are paused
 * and killed; no stream may start on a version whose time is over. */
void soak_name_versions (Soak *soak, uint32_t seed);

/* -------- soak_taken.c -------- */

/* Servers lose their weights while staged chunks turn bad, reads, writes and commands are
 * late, and servers, stagers and entries stand still or end; no request may run on
 * weights that were taken spoilt. */
void soak_spoil_weights (Soak *soak, uint32_t seed);

/* -------- soak_poison.c -------- */

/* Requests with one prompt part crash the model servers, until entries refuse them; sound
 * ones must go on being served, and the part once it is sound. */
void soak_poison_servers (Soak *soak);

/* -------- soak_poison_whole.c -------- */

/* One whole request crashes whatever runs it and comes again and again; it must be
 * refused in time and for good, and sound ones must go on being served. */
void soak_poison_whole (Soak *soak, uint32_t seed);

/* -------- soak_limit.c -------- */

typedef struct SoakLimits SoakLimits;

/* Starts to set and end limits of servers, and to crash them, beside other faults, until
 * the soak's stop. */
SoakLimits *soak_start_limits (Soak *soak, uint32_t seed);
/* Ends that after the soak's stop; all servers are without a limit then. */
void soak_end_limits (SoakLimits *limits);
/* All servers name limits, which the entries together must keep. */
void soak_limit_servers (Soak *soak);

/* -------- soak_slices.c -------- */

/* Planned work alone, on entries that run in slices; no request that ran, or waited for
 * long, may end without its whole response. */
void soak_slice_entries (Soak *soak);

/* -------- soak_slices_calls.c -------- */

typedef struct SoakSlicedCalls SoakSlicedCalls;

/* Starts callers that keep their connections to an entry until its process is gone. */
SoakSlicedCalls *soak_start_sliced_calls (Soak *soak);
/* Ends the callers and checks each of their requests against the servers' records. */
void soak_end_sliced_calls (SoakSlicedCalls *calls);

/* -------- soak_power.c -------- */

/* Kills entries, stagers and model servers at once beside a write to the store, starts
 * them again and checks what must be true soon after. */
void soak_cut_power (Soak *soak);

#endif
