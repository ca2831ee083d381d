/*
 * Error numbers.
 *
 * A function that can fail returns 0 or a negative number: a negated errno value, or one
 * of the numbers below for outcomes that errno does not cover.  The calling code decides
 * how to handle an error; only a violated invariant (g_assert) aborts the process.
 */
#ifndef DL_ERROR_H
#define DL_ERROR_H

#include <errno.h>

/* Numbers outside the range of errno. */
typedef enum
{
  DL_ERR_CONFLICT = -1001,  /* the object is not at the revision that the write expects */
  DL_ERR_NOT_FOUND = -1002, /* the object does not exist */
  DL_ERR_RATE_LIMITED = -1003, /* the platform refused the call: too many calls */
  DL_ERR_UNAVAILABLE = -1004,  /* the other side is down, or refuses temporarily */
  DL_ERR_UNKNOWN = -1005,      /* the request may or may not have taken effect */
  DL_ERR_GONE = -1006,         /* the platform no longer keeps the watched revision */
  DL_ERR_TOO_LARGE = -1007,    /* a message, header or body exceeds its limit */
  DL_ERR_MALFORMED = -1008,    /* the bytes violate their format */
  DL_ERR_UNAUTHORIZED = -1009, /* the peer failed to authenticate */
  DL_ERR_DIGEST = -1010,       /* content does not match its digest */
  DL_ERR_FENCED = -1011,       /* the fencing token is older than one already seen */
  DL_ERR_CLOSED = -1012,       /* the peer closed the connection */
  DL_ERR_ENDED = -1013, /* so, as its process ends: it has answered all that it read */
} DlError;

/* Returns a static description of ERROR, which is 0 or negative. */
const char *dl_strerror (int error);

#endif
