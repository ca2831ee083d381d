/*
 * Compression of response bodies.
 */
#ifndef DL_GZIP_H
#define DL_GZIP_H

#include "kernel/str.h"

/* Compresses BYTES in the gzip format, as a talloc child of CONTEXT; empty when memory
 * runs out or BYTES is empty. */
DlStr dl_gzip (const void *context, DlStr bytes);

#endif
