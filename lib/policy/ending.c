#include "policy/ending.h"

#include "policy/silence.h"

bool
dl_attempts_left (const DlAttemptCounts *c)
{
  if (!c->is_partial)
    return c->sent < c->max;
  return c->sent - c->not_run < c->max && c->not_run < DL_NOT_RUN_MAX;
}

/* The counts after the attempt has ended. */
static DlAttemptCounts
counts_after (const DlEnding *e)
{
  DlAttemptCounts counts = e->counts;

  if (e->cause == DL_END_NOT_RUN || e->cause == DL_END_OUTDATED)
    counts.not_run++;
  return counts;
}

static bool
may_retry (const DlEnding *e)
{
  DlAttemptCounts counts = counts_after (e);

  if (e->remaining_ms < DL_ATTEMPT_MIN_MS || e->is_forbidden)
    return false;
  switch (e->cause)
    {
    case DL_END_NOT_SENT:
      return counts.not_sent < DL_NOT_SENT_MAX;
    case DL_END_NOT_RUN:
      break;
    case DL_END_BROKEN:
    case DL_END_TIME_OVER:
    case DL_END_OUTDATED:
      if (!e->may_run_again)
        return false;
      break;
    case DL_END_OVERTAKEN:
    case DL_END_SILENT:
    case DL_END_QUARANTINED:
    case DL_END_WAITED:
    case DL_END_STOPPED:
      return false;
    }
  return dl_attempts_left (&counts) && e->has_budget;
}

DlEndDecision
dl_end_decide (const DlEnding *e)
{
  switch (e->cause)
    {
    case DL_END_SILENT:
      return DL_END_KEEP;
    case DL_END_OUTDATED:
    case DL_END_QUARANTINED:
      if (e->has_started)
        return DL_END_KEEP;
      break;
    case DL_END_STOPPED:
      return DL_END_REQUEST;
    case DL_END_NOT_SENT:
    case DL_END_NOT_RUN:
    case DL_END_BROKEN:
    case DL_END_TIME_OVER:
    case DL_END_OVERTAKEN:
    case DL_END_WAITED:
      break;
    }
  if (e->others > 0)
    return DL_END_LEAVE;
  return may_retry (e) ? DL_END_RETRY : DL_END_REQUEST;
}

const char *
dl_end_cause_text (DlEndCause cause)
{
  switch (cause)
    {
    case DL_END_NOT_SENT:
      return "the upstream could not be connected to";
    case DL_END_NOT_RUN:
      return "the upstream did not run it";
    case DL_END_BROKEN:
      return "the upstream broke off or failed";
    case DL_END_TIME_OVER:
      return "its time ran out";
    case DL_END_OVERTAKEN:
      return "another upstream went on first";
    case DL_END_SILENT:
      return "the upstream was silent";
    case DL_END_OUTDATED:
      return "it had not started when the upstream's weights became too old";
    case DL_END_QUARANTINED:
      return "upstreams crash on it";
    case DL_END_WAITED:
      return "no place came free in time";
    case DL_END_STOPPED:
      return "this entry ended before it";
    }
  return "";
}
