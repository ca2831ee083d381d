#include "policy/silence.h"

#include <glib.h>

static uint64_t
limit_ms (const DlSilence *s)
{
  uint64_t targets = s->reported_up ? DL_SILENCE_TARGETS_REPORTED : DL_SILENCE_TARGETS;

  return MAX (s->target_ms * targets, (uint64_t)DL_SILENCE_MIN_MS);
}

DlSilenceDecision
dl_silence_decide (const DlSilence *s)
{
  if (s->silent_ms <= limit_ms (s))
    return DL_SILENCE_WITHIN_LIMIT;
  if (!s->may_retry || !s->has_attempts)
    return DL_SILENCE_KEEP_ROUTE;
  if (s->remaining_ms < DL_ATTEMPT_MIN_MS)
    return DL_SILENCE_KEEP_TIME;
  if (!s->has_budget)
    return DL_SILENCE_KEEP_BUDGET;
  return DL_SILENCE_REPLACE;
}

const char *
dl_silence_kept_text (DlSilenceDecision decision)
{
  switch (decision)
    {
    case DL_SILENCE_WITHIN_LIMIT:
      return "it is not silent for long";
    case DL_SILENCE_KEEP_ROUTE:
      return "the route allows no further attempt, or too many were refused";
    case DL_SILENCE_KEEP_TIME:
      return "no time is left for another attempt";
    case DL_SILENCE_KEEP_BUDGET:
      return "the retry budget is empty";
    case DL_SILENCE_REPLACE:
      return "no other upstream has a free place";
    }
  return "";
}
