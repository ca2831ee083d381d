/* What the files of the loads share: load.c makes the requests, load_check.c checks the
 * responses, load_count.c counts how requests ended. */
#ifndef SCENARIO_LOAD_H
#define SCENARIO_LOAD_H

#include "scenario.h"

/* Counters that checks and figures read, in the order of load_counter_names. */
typedef enum
{
  SENT,
  ANSWERED,
  REFUSED,   /* error response with outcome "not_run" */
  REJECTED,  /* any other error response below 500 */
  UNCERTAIN, /* outcome "unknown", or 500 and above without "not_run" */
  CUT_OFF,   /* the stream says that it was cut off */
  BROKEN,    /* the connection broke before the response was complete */
  LOST,      /* the response seemed complete and was not, or timed out */
  MIXED,     /* text that the version in X-Version does not produce */
  CROSSED,   /* the response to another request */
  CHANGED,   /* a second response to one idempotency key differs */
  UNSERVED,  /* no entry could be reached */
  COUNTERS,
} LoadCounter;

/* A stream of requests at a constant rate. */
struct Load
{
  Scenario *scenario;
  char *name;
  char *service;
  char *method; /* of calls to a plain service; NULL: model requests */
  char *path;
  char *organisation;
  char *priority;
  uint64_t rate_per_s;
  uint64_t tokens;
  uint64_t prefixes; /* number of prefixes that prompts begin with; 0: no prefix */
  uint64_t racing;   /* copies of each request sent at the same time */
  uint64_t retries;  /* maximum number for a keyed request that was not answered */
  bool keyed;
  uint64_t left;    /* requests still to start; UINT64_MAX: until stopped */
  uint64_t next_us; /* when to start the next request */
  uint64_t number;  /* of the latest request */
  bool stopped;
  char **addresses; /* from an entry; NULL: none */
  uint64_t keep_until_ms;
  GPtrArray *open; /* of Request */
  double counters[COUNTERS];
  GArray *first_ms; /* of double: time to the first byte of answered requests */
  GArray *total_ms; /* of double: time to the end of answered requests */
};

/* A request in progress, with its attempts and retries. */
typedef struct Request
{
  Load *load;
  char *tag; /* racing copies share it; also the idempotency key of a keyed load */
  char *body;
  char *prompt;
  char *address; /* where the request went */
  HttpCall *call;
  unsigned attempts; /* to get an address and connect */
  unsigned retries;  /* of the whole request */
  bool addressed;
  uint64_t backoff_until_ms; /* 0: not waiting for a retry */
} Request;

/* -------- load_check.c -------- */

/* How the request ended, whose call is done. */
LoadCounter load_classify (const Request *request);

/* -------- load_count.c -------- */

extern const char *const load_counter_names[COUNTERS];

/* The load NAME, NULL when there is none. */
Load *load_find (Scenario *s, const char *name);
/* The outcomes of TAG, which are added when they are missing. */
Outcomes *load_outcomes (Scenario *s, const char *tag);
/* Counts that the request was sent, or how it ended. */
void load_count (Request *request, LoadCounter counter);
/* Records how long the request's response took. */
void load_record_times (Request *request);

#endif
