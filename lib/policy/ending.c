#include "policy/ending.h"

#include "policy/silence.h"

/* True when the route allows one upstream more, however many refused. */
static bool
has_runs_left (const DlAttemptCounts *c)
{
  return c->sent - (c->is_partial ? c->not_run : 0) < c->max;
}

bool
dl_attempts_left (const DlAttemptCounts *c)
{
  return has_runs_left (c) && (!c->is_partial || c->not_run < DL_NOT_RUN_MAX);
}

static bool
was_not_run (const DlEnding *e)
{
  return e->cause == DL_END_NOT_RUN || e->cause == DL_END_OUTDATED;
}

/* True when the request may be sent to one upstream more after the attempt.  Refusals
 * bound only each other: they do not end a stream whose run breaks off. */
static bool
has_attempts_after (const DlEnding *e)
{
  DlAttemptCounts counts = e->counts;

  if (!was_not_run (e))
    return has_runs_left (&counts);
  counts.not_run++;
  return dl_attempts_left (&counts);
}

static bool
may_retry (const DlEnding *e)
{
  if (e->remaining_ms < DL_ATTEMPT_MIN_MS || e->is_forbidden)
    return false;
  switch (e->cause)
    {
    case DL_END_NOT_SENT:
      return e->counts.not_sent < DL_NOT_SENT_MAX;
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
  return has_attempts_after (e) && e->has_budget;
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
