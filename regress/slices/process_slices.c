/*
 * One slice without processor in a program, as the environment says:
 *   SLICE_FROM    count from a line of the log that has this text; without it, from the
 * first call of the process SLICE_AT      stand still before this call, counted from 1;
 * 0: before none SLICE_MS      for so long SLICE_REPORT  a file that receives a line as
 * the slice begins, and one with the number of calls counted, as the process ends
 */
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "slices.h"

#define DECIMAL   10
#define US_PER_MS 1000

static bool begun;
static gint64 from_us; /* when the line came, or the first call; 0 before */

/* Writes a line to the file of SLICE_REPORT, by streams, whose calls are not counted. */
static void
report (const char *format, ...)
{
  const char *path = g_getenv ("SLICE_REPORT");
  FILE *file = path != NULL ? fopen (path, "ae") : NULL;
  int error = errno;
  va_list arguments;

  if (file == NULL)
    return;
  va_start (arguments, format);
  vfprintf (file, format, arguments);
  va_end (arguments);
  fclose (file);
  errno = error;
}

static uint64_t
number (const char *name)
{
  const char *text = g_getenv (name);

  return text != NULL ? g_ascii_strtoull (text, NULL, DECIMAL) : 0;
}

static gint64
now_ms (void)
{
  return (g_get_monotonic_time () - from_us) / US_PER_MS;
}

static void
on_slice (void)
{
  report ("slice before %s, %" PRId64 " ms\n", slices_call (), now_ms ());
}

static void
begin (void)
{
  begun = true;
  slices_count_only (g_getenv ("SLICE_CALL"));
  slices_begin (number ("SLICE_AT"), (unsigned)number ("SLICE_MS"), on_slice);
}

void
slices_before_call (void)
{
  /* There is no environment before the constructors of the libraries. */
  if (begun || environ == NULL)
    return;
  if (from_us == 0 && g_getenv ("SLICE_FROM") == NULL)
    from_us = g_get_monotonic_time ();
  if (from_us != 0 && now_ms () >= (gint64)number ("SLICE_AFTER"))
    begin ();
}

void
slices_on_output (const char *bytes, size_t length)
{
  const char *from = g_getenv ("SLICE_FROM");

  if (from_us == 0 && from != NULL && memmem (bytes, length, from, strlen (from)) != NULL)
    from_us = g_get_monotonic_time ();
}

static void __attribute__ ((destructor)) report_count (void)
{
  if (begun)
    report ("calls %" PRIu64 ", %" PRId64 " ms\n", slices_end (), now_ms ());
}
