/*
 * The common main function of the daemons: parses options, reads the settings, runs the
 * kernel.
 */
#ifndef DL_PROGRAM_H
#define DL_PROGRAM_H

#include "kernel/settings.h"

#define DL_VERSION "0.1"

/* Exit statuses of all programs. */
#define DL_EXIT_OK      0
#define DL_EXIT_FAILURE 1
#define DL_EXIT_USAGE   2

/* Describes a daemon.  The pointers into SETTINGS are followed after the settings have
 * been read. */
typedef struct
{
  const char *program;
  const char *summary; /* one line for --help */
  const DlSettingSpec *specs;
  void *settings; /* structure that the settings are read into */
  /* Checks rules that involve several keys.  Returns 0, or -EINVAL with *ERROR under
   * CONTEXT.  May be NULL. */
  int (*check) (const void *context, char **error);
  const char *const *name;  /* points into SETTINGS: the instance's name */
  const bool *json_logs;    /* points into SETTINGS */
  const uint64_t *drain_ms; /* points into SETTINGS: see dl_kernel_set_drain_ms */
  bool logs_to_stdout;      /* instead of standard error */
} DlProgram;

/* Parses the options, reads and checks the settings, and runs the plug-ins.  Returns the
 * exit status. */
int dl_program_run (const DlProgram *program, int argc, char **argv);

#endif
