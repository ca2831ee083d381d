#include "policy/attempt_history.h"

#include <glib.h>
#include <inttypes.h>
#include <talloc.h>

size_t
dl_attempt_history_add (DlAttemptHistory *history, const char *upstream, uint64_t now_ms)
{
  size_t number = history->count++;

  if (number < DL_ATTEMPT_HISTORY_MAX)
    {
      DlAttemptRecord *r = &history->items[number];

      g_strlcpy (r->upstream, upstream, sizeof r->upstream);
      r->sent_ms = now_ms;
      r->state = (DlAttemptState){ .heard_ms = now_ms };
    }
  return number;
}

void
dl_attempt_history_set (DlAttemptHistory *history,
                        size_t number,
                        const DlAttemptState *state)
{
  if (number < DL_ATTEMPT_HISTORY_MAX)
    history->items[number].state = *state;
}

/* Time from ARRIVED_MS to AT_MS. */
static uint64_t
since (uint64_t arrived_ms, uint64_t at_ms)
{
  return at_ms > arrived_ms ? at_ms - arrived_ms : 0;
}

static char *
append_record (char *text, const DlAttemptRecord *r, uint64_t arrived_ms)
{
  const DlAttemptState *s = &r->state;

  text = talloc_asprintf_append (text,
                                 "%s sent %" PRIu64 " ms, status %u, %" PRIu64
                                 " events, heard %" PRIu64 " ms, %s, ",
                                 r->upstream, since (arrived_ms, r->sent_ms), s->status,
                                 s->events, since (arrived_ms, s->heard_ms),
                                 s->is_reported_up ? "reported up" : "not reported");
  if (s->end == NULL)
    return talloc_strdup_append (text, "in progress");
  return talloc_asprintf_append (text, "ended %" PRIu64 " ms: %s",
                                 since (arrived_ms, s->ended_ms), s->end);
}

char *
dl_attempt_history_text (const void *context,
                         const DlAttemptHistory *history,
                         uint64_t arrived_ms)
{
  size_t shown = MIN (history->count, DL_ATTEMPT_HISTORY_MAX);
  char *text = talloc_strdup (context, "");

  for (size_t i = 0; i < shown; i++)
    {
      if (i > 0)
        text = talloc_strdup_append (text, "; ");
      text = append_record (text, &history->items[i], arrived_ms);
    }
  if (history->count > shown)
    text = talloc_asprintf_append (text, "; and %zu more", history->count - shown);
  return text;
}
