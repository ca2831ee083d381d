#include "kernel/log_rate.h"

#include <glib.h>

#define MS_PER_S 1000

void
dl_log_rate_init (DlLogRate *rate, uint64_t now_ms)
{
  *rate = (DlLogRate){ .tokens = DL_LOG_LINES_BURST,
                       .kept_tokens = DL_LOG_KEPT_BURST,
                       .refilled_ms = now_ms };
}

static double
refilled (double tokens, double per_s, double burst, uint64_t elapsed_ms)
{
  return MIN (tokens + (double)elapsed_ms * per_s / MS_PER_S, burst);
}

static void
refill (DlLogRate *rate, uint64_t now_ms)
{
  uint64_t elapsed_ms = now_ms - rate->refilled_ms;

  rate->tokens
      = refilled (rate->tokens, DL_LOG_LINES_PER_S, DL_LOG_LINES_BURST, elapsed_ms);
  rate->kept_tokens
      = refilled (rate->kept_tokens, DL_LOG_KEPT_PER_S, DL_LOG_KEPT_BURST, elapsed_ms);
  rate->refilled_ms = now_ms;
}

/* Takes a line from TOKENS unless only RESERVE is left. */
static bool
take (double *tokens, double reserve)
{
  if (*tokens < reserve + 1)
    return false;
  *tokens -= 1;
  return true;
}

bool
dl_log_rate_take (DlLogRate *rate, DlLogClass class, uint64_t now_ms)
{
  refill (rate, now_ms);
  switch (class)
    {
    case DL_LOG_STATE:
      return take (&rate->tokens, 0);
    case DL_LOG_REQUEST:
      return take (&rate->tokens, DL_LOG_LINES_RESERVE);
    case DL_LOG_KEPT:
      return take (&rate->tokens, DL_LOG_LINES_RESERVE) || take (&rate->kept_tokens, 0);
    }
  return false;
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
