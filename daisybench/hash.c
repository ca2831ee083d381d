/*
 * Measures the digest alone, which is a lower bound for the cost of verifying weights.
 */
#include <talloc.h>
#include <time.h>

#include "daisybench.h"
#include "kernel/crypt.h"

#define NANOSECONDS_PER_SECOND 1e9

static double
cpu_seconds (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / NANOSECONDS_PER_SECOND;
}

double
hash_ns_per_byte (size_t chunk_bytes, double seconds)
{
  uint8_t *chunk = talloc_size (NULL, chunk_bytes);
  double start;
  double elapsed;
  uint64_t bytes = 0;

  dl_random_bytes (chunk, chunk_bytes);
  start = cpu_seconds ();
  do
    {
      DlDigest digest = dl_digest (dl_str_bytes (chunk, chunk_bytes));

      chunk[0] = digest.bytes[0]; /* keeps the compiler from removing the call */
      bytes += chunk_bytes;
      elapsed = cpu_seconds () - start;
    }
  while (elapsed < seconds);
  talloc_free (chunk);
  return elapsed * NANOSECONDS_PER_SECOND / (double)bytes;
}
