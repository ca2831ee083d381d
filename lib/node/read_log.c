#include "node/read_log.h"

#include "kernel/log.h"

void
dl_read_log_failure (const DlFailedRead *read, const DlObjectResult *result)
{
  dl_log (DL_EVENT_READ_FAILED, DL_TEXT ("kind", read->kind),
          DL_TEXT ("action", read->action == DL_OBJECT_LIST ? "list" : "watch"),
          DL_TEXT ("server", read->reader != NULL ? read->reader : "store"),
          DL_UINT ("after_ms", dl_clock_ms () - read->sent_ms),
          DL_UINT ("bytes", result->received_bytes), DL_ERRNO (result->error));
}
