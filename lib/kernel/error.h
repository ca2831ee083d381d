/*
 * Error numbers.
 *
 * A function that can fail returns 0 or a negative number: a negated errno value, or one
 * of the numbers below for outcomes that errno has no name for.  An outcome is a value
 * for the caller to judge; only a broken invariant (g_assert) stops the process.
 */
#ifndef DL_ERROR_H
#define DL_ERROR_H

#include <errno.h>

typedef enum
{
  DL_ERR_CONFLICT = -1001,     /* a conditional write met another revision */
  DL_ERR_NOT_FOUND = -1002,    /* the object does not exist */
  DL_ERR_RATE_LIMITED = -1003, /* the platform refused the call for its rate */
  DL_ERR_UNAVAILABLE = -1004,  /* the other side is down or refused for now */
  DL_ERR_UNKNOWN = -1005,      /* the request may or may not have taken effect */
  DL_ERR_GONE = -1006,         /* the watch's revision is older than the platform keeps */
  DL_ERR_TOO_LARGE = -1007,    /* a message, header or body exceeds its limit */
  DL_ERR_MALFORMED = -1008,    /* bytes that the format does not allow */
  DL_ERR_UNAUTHORIZED = -1009, /* the peer did not prove its identity */
  DL_ERR_DIGEST = -1010,       /* content does not match its digest */
  DL_ERR_FENCED = -1011,       /* an older fencing number than one already seen */
  DL_ERR_CLOSED = -1012,       /* the peer closed the connection */
} DlError;

/* Returns a static text for a negative error number. */
const char *dl_strerror (int error);

#endif
