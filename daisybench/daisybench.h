/*
 * daisybench: open-loop load and its figures.
 *
 *   daisybench.c  options and the program's start
 *   load.c        arrivals, calls and what became of each
 *   report.c      percentiles, and the report as text or JSON
 *   hash.c        what the digest of a byte costs
 */
#ifndef DAISYBENCH_H
#define DAISYBENCH_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  char **entries; /* addresses of entries; they name the addresses to use */
  char *direct;   /* address of an engine or plain service, without the system */
  bool fixed;     /* use ENTRIES themselves, without asking them for addresses */
  char *service;
  char *organisation;
  char *priority; /* NULL for none */
  char *region;   /* NULL for none */
  char *call;     /* "METHOD /path" of a plain service; NULL: generate */
  bool keyed;     /* each call with an Idempotency-Key of its own */
  double rate_per_s;
  double duration_s;
  uint64_t streams; /* most requests open at once */
  uint64_t tokens;
  uint64_t prompt_bytes;
  uint64_t prefixes; /* prompts share one of so many prefixes; 0: none */
  uint64_t seed;
} LoadOptions;

/* How one request ended for its caller. */
typedef enum
{
  LOAD_ANSWERED,
  LOAD_REFUSED,   /* told that it did not run, with a time to come back or not */
  LOAD_INVALID,   /* refused for what the caller must change */
  LOAD_CUT_OFF,   /* broke after the answer had begun */
  LOAD_UNKNOWN,   /* may or may not have run */
  LOAD_UNREACHED, /* nobody took the connection */
  LOAD_OUTCOMES,
} LoadOutcome;

typedef struct
{
  uint64_t arrivals;
  uint64_t skipped; /* arrivals beyond the most that may be open */
  uint64_t counts[LOAD_OUTCOMES];
  uint64_t tokens; /* received in whole answers */
  double elapsed_s;
  GArray *first_us;   /* uint64_t, answered: from the arrival to the first byte */
  GArray *total_us;   /* answered: to the end */
  GArray *refusal_us; /* refused: to the refusal */
} LoadFigures;

/* Runs the load; returns 0 or a negative error.  FIGURES' arrays are the caller's. */
int load_run (const LoadOptions *options, LoadFigures *figures);
/* Microseconds that QUANTILE of the samples do not exceed; sorts them.  0 for none. */
uint64_t report_quantile_us (GArray *samples, double quantile);
void report_text (const LoadOptions *options, LoadFigures *figures);
void report_json (const LoadOptions *options, LoadFigures *figures);
/* Lines "figure NAME_... VALUE UNIT". */
void report_figures (const char *name, LoadFigures *figures);

/* Processor time, in nanoseconds, that the digest of one byte takes in chunks of
 * CHUNK_BYTES; runs for SECONDS of processor time. */
double hash_ns_per_byte (size_t chunk_bytes, double seconds);

#endif
