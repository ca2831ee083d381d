/*
 * The "explain" command: collects the events of one request from log files.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "daisyctl.h"
#include "query/explain.h"

typedef void (*LineFunc) (DlExplain *explain, DlStr line);

/* Calls FUNC for each line of the file.  Prints an error and returns false when it cannot
 * be read. */
static bool
for_each_line (const char *path, DlExplain *explain, LineFunc func)
{
  FILE *file = fopen (path, "re");
  char *line = NULL;
  size_t size = 0;
  ssize_t length;
  bool ok;

  if (file == NULL)
    {
      perror (path);
      return false;
    }
  while ((length = getline (&line, &size, file)) >= 0)
    func (explain, dl_str_bytes (line, (size_t)length));
  ok = ferror (file) == 0;
  if (!ok)
    fprintf (stderr, "daisyctl: %s: read error\n", path);
  free (line);
  fclose (file);
  return ok;
}

static bool
for_each_file (char *const *paths, DlExplain *explain, LineFunc func)
{
  for (; *paths != NULL; paths++)
    if (!for_each_line (*paths, explain, func))
      return false;
  return true;
}

ExitStatus
explain_run (const char *id, char *const *paths)
{
  DlExplain *explain = dl_explain_new (NULL, id);
  DlBuffer *out = dl_buffer_new (explain, 0);
  ExitStatus status = EXIT_USAGE;

  /* Three passes, as an upstream's address may be in a later file than the lines that
   * refer to it. */
  if (for_each_file (paths, explain, dl_explain_find_request)
      && for_each_file (paths, explain, dl_explain_find_addresses)
      && for_each_file (paths, explain, dl_explain_add_context))
    {
      status = dl_explain_write (explain, out) ? EXIT_OK : EXIT_REFUSED;
      fwrite (dl_buffer_view (out).data, 1, dl_buffer_view (out).length, stdout);
    }
  talloc_free (explain);
  return status;
}
