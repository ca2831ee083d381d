#include "policy/patience.h"

#include <glib.h>

#include "policy/silence.h"

uint64_t
dl_patience_until_ms (const DlPatience *p)
{
  uint64_t gap_ms = MAX (p->target_ms * DL_PATIENCE_TARGETS,
                         p->target_gap_ms * DL_PATIENCE_GAP_TARGETS);
  uint64_t last_start_ms
      = p->deadline_ms > DL_ATTEMPT_MIN_MS ? p->deadline_ms - DL_ATTEMPT_MIN_MS : 0;

  if (!p->is_stream)
    return last_start_ms;
  gap_ms = MAX (gap_ms, (uint64_t)DL_PATIENCE_MIN_MS);
  return MIN (p->received_ms + gap_ms, last_start_ms);
}
