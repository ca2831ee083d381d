/*
 * What the main functions of the daemons share: options, the settings check, the loop.
 */
#ifndef DL_PROGRAM_H
#define DL_PROGRAM_H

#include "kernel/settings.h"

#define DL_VERSION "0.1"

/* Exit statuses of all programs. */
#define DL_EXIT_OK      0
#define DL_EXIT_FAILURE 1
#define DL_EXIT_USAGE   2

typedef struct
{
  const char *program;
  const char *summary; /* one line for --help */
  const DlSettingSpec *specs;
  void *settings; /* structure that SPECS fill */
  /* Checks what single keys cannot show; returns 0 or -EINVAL with *ERROR below CONTEXT.
   */
  int (*check) (const void *context, char **error);
  const char *const *name;  /* in SETTINGS: the instance's name */
  const bool *json_logs;    /* in SETTINGS */
  const uint64_t *drain_ms; /* in SETTINGS */
  bool logs_to_stdout;      /* rather than to standard error */
} DlProgram;

/* Parses the options, reads and checks the settings, and runs the plug-ins.  Returns the
 * exit status. */
int dl_program_run (const DlProgram *program, int argc, char **argv);

#endif
