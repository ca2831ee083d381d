#include "kernel/gzip.h"

#include <talloc.h>
#define ZLIB_CONST /* next_in is const */
#include <zlib.h>

/* Adding this to the window's size selects the gzip format. */
#define GZIP_FORMAT  16
#define MEMORY_LEVEL 8 /* zlib's default */

DlStr
dl_gzip (const void *context, DlStr bytes)
{
  z_stream stream = { 0 };
  uLong bound;
  char *out;
  int status;

  if (bytes.length == 0
      || deflateInit2 (&stream, Z_BEST_SPEED, Z_DEFLATED, MAX_WBITS + GZIP_FORMAT,
                       MEMORY_LEVEL, Z_DEFAULT_STRATEGY)
             != Z_OK)
    return DL_STR_LITERAL ("");
  bound = deflateBound (&stream, bytes.length);
  out = talloc_size (context, bound);
  stream.next_in = (const Bytef *)bytes.data;
  stream.avail_in = (uInt)bytes.length;
  stream.next_out = (Bytef *)out;
  stream.avail_out = out != NULL ? (uInt)bound : 0;
  status = deflate (&stream, Z_FINISH);
  deflateEnd (&stream);
  if (status != Z_STREAM_END)
    {
      talloc_free (out);
      return DL_STR_LITERAL ("");
    }
  return dl_str_bytes (out, stream.total_out);
}
