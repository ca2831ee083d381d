#include "kernel/log_rate.h"

#include <glib.h>

#define MS_PER_S 1000

void
dl_log_rate_init (DlLogRate *rate, uint64_t now_ms)
{
  *rate = (DlLogRate){ .lines_left = DL_LOG_LINES_BURST, .filled_ms = now_ms };
}

static void
fill (DlLogRate *rate, uint64_t now_ms)
{
  uint64_t passed_ms = now_ms - rate->filled_ms;

  rate->lines_left += (double)passed_ms * DL_LOG_LINES_PER_S / MS_PER_S;
  rate->lines_left = MIN (rate->lines_left, DL_LOG_LINES_BURST);
  rate->filled_ms = now_ms;
}

bool
dl_log_rate_take (DlLogRate *rate, bool about_request, uint64_t now_ms)
{
  double least = about_request ? DL_LOG_LINES_RESERVE : 0;

  fill (rate, now_ms);
  if (rate->lines_left < least + 1)
    return false;
  rate->lines_left -= 1;
  return true;
}

void
dl_log_rate_drop (DlLogRate *rate, uint64_t lines, uint64_t now_ms)
{
  if (rate->dropped == 0)
    rate->dropped_ms = now_ms;
  rate->dropped += lines;
}

uint64_t
dl_log_rate_report (DlLogRate *rate, uint64_t now_ms)
{
  uint64_t lines = rate->dropped;

  if (lines == 0 || now_ms - rate->dropped_ms < DL_LOG_REPORT_MS)
    return 0;
  rate->dropped = 0;
  return lines;
}
