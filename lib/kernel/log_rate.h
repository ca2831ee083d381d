/*
 * How many log lines a process may write.
 *
 * The load this answers: a storm of refusals, each with a line of its own.  Lines about
 * single requests leave a reserve for the others, so that the line that explains the
 * storm (the store was lost, a table came into force) still gets out.  What is dropped is
 * counted, and the count is told beside the rate, so that it is never dropped itself.
 *
 * Pure: times are milliseconds that the caller gives.
 */
#ifndef DL_LOG_RATE_H
#define DL_LOG_RATE_H

#include <stdbool.h>
#include <stdint.h>

#define DL_LOG_LINES_PER_S 40
/* Lines that may be written at once after a quiet time. */
#define DL_LOG_LINES_BURST 200
/* Of these, kept for lines that are not about a single request. */
#define DL_LOG_LINES_RESERVE 60
/* Dropped lines are summed for this long before their number is told. */
#define DL_LOG_REPORT_MS 5000

typedef struct
{
  double lines_left;   /* that may be written now */
  uint64_t filled_ms;  /* when lines_left was last raised */
  uint64_t dropped;    /* lines that were not told of yet */
  uint64_t dropped_ms; /* when the first of them was dropped */
} DlLogRate;

void dl_log_rate_init (DlLogRate *rate, uint64_t now_ms);
/* True when a line may be written now; ABOUT_REQUEST for one about a single request. */
bool dl_log_rate_take (DlLogRate *rate, bool about_request, uint64_t now_ms);
/* LINES were dropped. */
void dl_log_rate_drop (DlLogRate *rate, uint64_t lines, uint64_t now_ms);
/* Number of dropped lines to tell now; 0 for none.  It is taken off: give it back with
 * dl_log_rate_drop when it could not be told. */
uint64_t dl_log_rate_report (DlLogRate *rate, uint64_t now_ms);

#endif
