/*
 * What the files of the stand-in of a server share: server.c has its knobs and reports,
 * server_runs.c runs requests, server_responses.c makes heads of responses and refusals.
 * What is staged is in weights.h.
 */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "standin.h"

#define NAME_BYTES      32 /* for the value of a header */
#define LIMIT_AFTER_MS  3000
#define LIMIT_WINDOW_MS 4000

/* Its knobs, beside those of weights.h. */
typedef struct
{
  uint64_t instance; /* its instance id is "i-N" */
  uint64_t events;
  uint64_t event_ms;
  uint64_t answer_ms;    /* how long a request of a LONG_PART path runs */
  uint64_t shed;         /* the next N requests are refused and not run */
  uint64_t fail;         /* the next N requests get the response 500 */
  uint64_t lose;         /* the next N are run, then the connection is closed */
  uint64_t cut;          /* the next N streams break off in the middle of an event */
  uint64_t cut_resumed;  /* the same for streams that resume after an event */
  uint64_t shed_resumed; /* the next N streams that resume are refused, not run */
  uint64_t foreign;      /* the next N responses have another request's id */
  uint64_t unsealed;     /* the next N responses lack the seal */
  uint64_t silent;       /* the next N are run without a response ever */
  uint64_t slots;
  uint64_t born;             /* start time in its report; 0: the number of INSTANCE */
  uint64_t leaving;          /* responses to requests say that it leaves */
  uint64_t report_leaving;   /* its reports say that it leaves */
  uint64_t retry_after_ms;   /* Retry-After of refusals; 0: none */
  uint64_t unmarked;         /* refusals do not say that the request was not run */
  uint64_t pauses;           /* the next N streams fall silent once */
  uint64_t pause_before;     /* id of the event before which they do */
  uint64_t pause_ms;         /* for how long */
  uint64_t event_bytes;      /* filler in each event */
  uint64_t others;           /* running requests of others that it reports */
  uint64_t limit_millis;     /* limit that its responses name; 0: none */
  uint64_t crash_part;       /* id of the prompt part that crashes it; 0: none */
  uint64_t crash_body;       /* bodies that begin with "crash N " crash it; 0: none */
  uint64_t crash_streams;    /* the next N streams crash it when they begin */
  uint64_t crash_now;        /* set to 1: it crashes at once, whatever it runs */
  uint64_t crash_ms;         /* how long it is down after a crash */
  uint64_t queue_ms;         /* how long a stream waits before it starts */
  uint64_t old_refusals;     /* the next N are run, and an earlier refusal sent again */
  uint64_t refusal_status;   /* of those */
  uint64_t refusal_nameless; /* they have no request's id */
  uint64_t error_resumed;    /* status of the response to each stream that resumes; 0 */
  uint64_t error_sealed;     /* these have the seal */
  uint64_t lose_weights;     /* set to 1: it has started again without weights */
  uint64_t mend;             /* 1: staged chunks that turned bad are sound again */
  uint64_t end_early_ms;     /* runs end that long before the end of their time; 0: no */
  /* Each setting of DUE_VERSION adds a limit, DUE_IN_MS (set before) from then on; 0
   * removes all of them. */
  uint64_t due_version;
  uint64_t due_in_ms;
} ServerKnobs;

extern ServerKnobs server_knobs;

/* -------- server_runs.c -------- */

void server_runs_start (DlTask *standin);
/* Knobs have been set. */
void server_runs_changed (void);
/* Counts a request that crashes servers.  While the server is down, closes the connection
 * of any and returns false. */
bool server_takes (DlHttpRequest *request);
/* Runs a request, or refuses it. */
void server_run (DlHttpRequest *request);
/* All requests in progress end, and none is taken for the knob "crash_ms". */
void server_crash (void);
/* Streams that are being sent, and those that have not started. */
uint64_t server_running (void);
uint64_t server_waiting (void);
/* Adds the counts to RECORDS. */
void server_runs_record (json_object *records);

/* -------- server_responses.c -------- */

/* The headers of a response, and the texts of their values. */
typedef struct
{
  char id[NAME_BYTES * 4];
  char seal[NAME_BYTES];
  char versions[NAME_BYTES];
  char limit[NAME_BYTES];
  DlHttpHeader headers[6];
} ServerHeaders;

void server_responses_start (void);
/* A header of the request, "" when it is absent. */
const char *server_header (DlHttpRequest *request, const char *name);
/* Fills H with the headers of a response to a request that ran. */
const DlHttpHeader *server_response_headers (DlHttpRequest *request, ServerHeaders *h);
/* Refuses with STATUS; ID is the request id that the response has, NULL for none. */
void server_refuse_as (DlHttpRequest *request, unsigned status, const char *id);
void server_refuse (DlHttpRequest *request, unsigned status);
/* Answers a stream that resumes with an error, or with a success that is no stream. */
void server_reply_error_resumed (DlHttpRequest *request);
void server_reply_done (DlHttpRequest *request);
/* The request expects another instance or version of the weights. */
bool server_expectation_fails (DlHttpRequest *request);
/* Counts a request towards the most that came within LIMIT_WINDOW_MS, from LIMIT_AFTER_MS
 * after the limit was first named. */
void server_count_limited (void);
/* Adds the counts to RECORDS. */
void server_responses_record (json_object *records);

#endif
