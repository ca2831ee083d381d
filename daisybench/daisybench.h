/*
 * daisybench: an open-loop load generator.
 *
 *   daisybench.c  command line and main()
 *   load.c        arrivals, requests and the outcome of each
 *   report.c      percentiles, and the report as text, JSON or "figure" lines
 *   hash.c        processor time of the digest
 */
#ifndef DAISYBENCH_H
#define DAISYBENCH_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/* What load to generate.  The strings are the caller's and outlive load_run(). */
typedef struct
{
  char **entries; /* addresses of entries that are asked where to send requests */
  char *direct;   /* address of an engine or plain service; NULL: use ENTRIES */
  bool fixed;     /* send requests to ENTRIES without asking them for addresses */
  char *service;
  char *organisation;
  char *priority; /* NULL for none */
  char *region;   /* NULL for none */
  char *call;     /* "METHOD /path" of a plain service; NULL: model requests */
  bool keyed;     /* send each request with its own Idempotency-Key */
  double rate_per_s;
  double duration_s;
  uint64_t streams;      /* maximum number of open requests */
  uint64_t tokens;       /* per response */
  uint64_t prompt_bytes; /* minimum */
  uint64_t prefixes;     /* number of prefixes that prompts begin with; 0: no prefix */
  uint64_t seed;
} LoadOptions;

/* Outcome of one request, as its caller sees it. */
typedef enum
{
  LOAD_ANSWERED,
  LOAD_REFUSED,   /* status 429 or 503: it did not run */
  LOAD_INVALID,   /* any other error status: the request itself was refused */
  LOAD_CUT_OFF,   /* the response ended before it was complete */
  LOAD_UNKNOWN,   /* may or may not have run */
  LOAD_UNREACHED, /* the request could not be sent */
  LOAD_OUTCOMES,
} LoadOutcome;

/* Counts and delays of one run.  Delays count from the arrival of a request. */
typedef struct
{
  uint64_t arrivals;
  uint64_t skipped; /* arrivals while the maximum number of requests was open */
  uint64_t counts[LOAD_OUTCOMES];
  uint64_t tokens; /* received in complete responses */
  double elapsed_s;
  GArray *first_us;   /* of uint64_t; answered requests: to the response head */
  GArray *total_us;   /* of uint64_t; answered requests: to the end */
  GArray *refusal_us; /* of uint64_t; refused requests: to the end */
} LoadResults;

/* Runs the load and waits for the open requests.  Adds to RESULTS, whose arrays the
 * caller makes and frees.  Returns 0 or a negative error. */
int load_run (const LoadOptions *options, LoadResults *results);
/* Returns the QUANTILE (0 to 1) of SAMPLES, of uint64_t in microseconds; 0 when there are
 * none.  Sorts SAMPLES. */
uint64_t report_quantile_us (GArray *samples, double quantile);
/* Print a report on standard output, as text or as one JSON object. */
void report_text (const LoadOptions *options, LoadResults *results);
void report_json (const LoadOptions *options, LoadResults *results);
/* Prints lines "figure NAME_... VALUE UNIT" on standard output. */
void report_figures (const char *name, LoadResults *results);

/* Measures the digest of chunks of CHUNK_BYTES for SECONDS of processor time.  Returns
 * the nanoseconds of processor time per byte. */
double hash_ns_per_byte (size_t chunk_bytes, double seconds);

#endif
