#include "policy/read_progress.h"

bool
dl_read_is_arriving (const DlReadProgress *p, uint64_t now_ms)
{
  return p->arrived_ms != 0 && now_ms < p->arrived_ms + DL_READ_PAUSE_MS;
}

bool
dl_read_progresses (const DlReadProgress *p, uint64_t now_ms)
{
  if (p->arrived_ms != 0)
    return dl_read_is_arriving (p, now_ms);
  return p->due_ms != 0 && now_ms < p->due_ms + DL_READ_BEGIN_MS;
}
