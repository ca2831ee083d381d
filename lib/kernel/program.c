#include "kernel/program.h"

#include <glib.h>
#include <stdio.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/kernel.h"
#include "kernel/log.h"

/* Runs before the libraries' constructors: a signal that came in them, as SIGHUP to all
 * processes beside a restart, would end the process. */
static void
hold_signals_early (int argc, char **argv, char **environment)
{
  dl_kernel_hold_signals ();
}

static void (*const hold_signals) (int, char **, char **)
    __attribute__ ((section (".preinit_array"), used))
    = hold_signals_early;

/* Returns 0 to continue, -1 to exit with success, or the exit status of a usage error.
 * *PATH is unchanged without -f; otherwise the caller frees it with g_free(). */
static int
parse_options (
    const DlProgram *program, int *argc, char ***argv, char **path, bool *check_only)
{
  gboolean check = FALSE;
  gboolean version = FALSE;
  const GOptionEntry entries[] = {
    { "settings", 'f', 0, G_OPTION_ARG_FILENAME, path, "Read the settings from FILE",
      "FILE" },
    { "check", 'n', 0, G_OPTION_ARG_NONE, &check, "Check the settings and exit", NULL },
    { "version", 'V', 0, G_OPTION_ARG_NONE, &version, "Print the version and exit",
      NULL },
    { 0 },
  };
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;
  int status = 0;

  g_option_context_set_summary (context, program->summary);
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, argc, argv, &error))
    {
      fprintf (stderr, "%s: %s\n", program->program, error->message);
      g_error_free (error);
      status = DL_EXIT_USAGE;
    }
  else if (version)
    printf ("%s %s\n", program->program, DL_VERSION);
  else if (*argc > 1)
    {
      fprintf (stderr, "%s: unexpected argument: %s\n", program->program, (*argv)[1]);
      status = DL_EXIT_USAGE;
    }
  else if (*path == NULL)
    {
      fprintf (stderr, "%s: no settings file; give one with -f\n", program->program);
      status = DL_EXIT_USAGE;
    }
  g_option_context_free (context);
  *check_only = check;
  if (version && status == 0)
    return -1;
  return status;
}

static int
read_settings (const DlProgram *program, const void *context, const char *path)
{
  char *error = NULL;
  int status
      = dl_settings_read (context, path, program->specs, program->settings, &error);

  if (status == 0 && program->check != NULL)
    {
      status = program->check (context, &error);
      if (status < 0)
        error = talloc_asprintf (context, "%s: %s", path, error);
    }
  if (status < 0)
    fprintf (stderr, "%s: %s\n", program->program, error);
  return status;
}

int
dl_program_run (const DlProgram *program, int argc, char **argv)
{
  char *path = NULL;
  bool check_only;
  /* --help exits inside this call, so nothing is allocated before it. */
  int status = parse_options (program, &argc, &argv, &path, &check_only);
  void *context = talloc_new (NULL);

  if (status != 0)
    status = status < 0 ? DL_EXIT_OK : status;
  else if (read_settings (program, context, path) < 0)
    status = DL_EXIT_FAILURE;
  else if (!check_only)
    {
      DlKernel *kernel;

      if (program->logs_to_stdout)
        dl_log_use_stdout ();
      dl_log_open (program->program, *program->name, *program->json_logs);
      kernel = dl_kernel_new (program->program, *program->name, program->settings);
      dl_kernel_set_drain_ms (kernel, *program->drain_ms);
      status = dl_kernel_run (kernel) < 0 ? DL_EXIT_FAILURE : DL_EXIT_OK;
      talloc_free (kernel);
    }
  g_free (path);
  talloc_free (context);
  return status;
}
