#include "kernel/log_rate.h"

#include <glib.h>

#define MS_PER_S 1000

void
dl_log_rate_init (DlLogRate *rate, uint64_t now_ms)
{
  *rate = (DlLogRate){ .tokens = DL_LOG_LINES_BURST, .refilled_ms = now_ms };
}

static void
refill (DlLogRate *rate, uint64_t now_ms)
{
  uint64_t elapsed_ms = now_ms - rate->refilled_ms;

  rate->tokens += (double)elapsed_ms * DL_LOG_LINES_PER_S / MS_PER_S;
  rate->tokens = MIN (rate->tokens, DL_LOG_LINES_BURST);
  rate->refilled_ms = now_ms;
}

bool
dl_log_rate_take (DlLogRate *rate, bool about_request, uint64_t now_ms)
{
  double reserve = about_request ? DL_LOG_LINES_RESERVE : 0;

  refill (rate, now_ms);
  if (rate->tokens < reserve + 1)
    return false;
  rate->tokens -= 1;
  return true;
}

void
dl_log_rate_drop (DlLogRate *rate, uint64_t lines, uint64_t now_ms)
{
  if (rate->dropped == 0)
    rate->first_dropped_ms = now_ms;
  rate->dropped += lines;
}

uint64_t
dl_log_rate_report (DlLogRate *rate, uint64_t now_ms)
{
  uint64_t lines = rate->dropped;

  if (lines == 0 || now_ms - rate->first_dropped_ms < DL_LOG_REPORT_MS)
    return 0;
  rate->dropped = 0;
  return lines;
}
