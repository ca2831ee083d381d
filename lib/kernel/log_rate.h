/*
 * Rate limit on the log lines of a process: a token bucket.
 *
 * It guards against a burst of refused requests, each of which logs a line.  Lines about
 * single requests leave a reserve for other lines, so that the line that explains the
 * burst (the store was lost, a table came into effect) is still written.  Lines that are
 * to be kept, as of responses that were cut, have a bucket of their own besides.  Dropped
 * lines are counted, and the count is reported outside the limit, so that the report
 * itself is never dropped by it.
 *
 * Has no clock of its own: the calling code passes the time in milliseconds.
 */
#ifndef DL_LOG_RATE_H
#define DL_LOG_RATE_H

#include <stdbool.h>
#include <stdint.h>

#define DL_LOG_LINES_PER_S 40
/* Capacity of the bucket: lines that may be written at once after a quiet period. */
#define DL_LOG_LINES_BURST 200
/* Part of it reserved for lines that are not about a single request. */
#define DL_LOG_LINES_RESERVE 60
/* The same rate and capacity of the bucket for lines that are to be kept. */
#define DL_LOG_KEPT_PER_S 10
#define DL_LOG_KEPT_BURST 60
/* Dropped lines are counted for this long before their number is reported. */
#define DL_LOG_REPORT_MS 5000

/* What a line is about. */
typedef enum
{
  DL_LOG_STATE,   /* what the process believes or decides for all */
  DL_LOG_REQUEST, /* a single request */
  DL_LOG_KEPT,    /* a single request, and nothing else tells why it ended as it did */
} DlLogClass;

/* State of the limit. */
typedef struct
{
  double tokens;             /* lines that may be written now */
  double kept_tokens;        /* further lines that are to be kept */
  uint64_t refilled_ms;      /* when tokens was last raised */
  uint64_t dropped;          /* lines dropped and not reported yet */
  uint64_t first_dropped_ms; /* when the first of these was dropped */
} DlLogRate;

/* Starts with a full bucket. */
void dl_log_rate_init (DlLogRate *rate, uint64_t now_ms);
/* Returns whether a line of CLASS may be written now, and if so counts it. */
bool dl_log_rate_take (DlLogRate *rate, DlLogClass class, uint64_t now_ms);
/* Records that LINES lines were dropped. */
void dl_log_rate_drop (DlLogRate *rate, uint64_t lines, uint64_t now_ms);
/* Returns the number of dropped lines to report now, and resets the count; 0 when no
 * report is due.  If the report cannot be written, record them again with
 * dl_log_rate_drop. */
uint64_t dl_log_rate_report (DlLogRate *rate, uint64_t now_ms);

#endif
