#include "kernel/error.h"

#include <string.h>

const char *
dl_strerror (int error)
{
  switch (error)
    {
    case 0:
      return "success";
    case DL_ERR_CONFLICT:
      return "revision conflict";
    case DL_ERR_NOT_FOUND:
      return "not found";
    case DL_ERR_RATE_LIMITED:
      return "rate limited";
    case DL_ERR_UNAVAILABLE:
      return "unavailable";
    case DL_ERR_UNKNOWN:
      return "outcome unknown";
    case DL_ERR_GONE:
      return "revision no longer kept";
    case DL_ERR_TOO_LARGE:
      return "too large";
    case DL_ERR_MALFORMED:
      return "malformed";
    case DL_ERR_UNAUTHORIZED:
      return "not authorised";
    case DL_ERR_DIGEST:
      return "digest mismatch";
    case DL_ERR_FENCED:
      return "fenced by a newer command";
    case DL_ERR_CLOSED:
      return "connection closed";
    case DL_ERR_ENDED:
      return "the peer's process ended";
    default:
      return strerror (-error);
    }
}
