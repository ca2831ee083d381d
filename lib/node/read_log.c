#include "node/read_log.h"

#include "kernel/log.h"

void
dl_read_log_failure (const char *kind,
                     const char *reader,
                     uint64_t sent_ms,
                     const DlObjectResult *result)
{
  dl_log (DL_EVENT_READ_FAILED, DL_TEXT ("kind", kind),
          DL_TEXT ("server", reader != NULL ? reader : "store"),
          DL_UINT ("after_ms", dl_clock_ms () - sent_ms),
          DL_UINT ("bytes", result->received_bytes), DL_ERRNO (result->error));
}
