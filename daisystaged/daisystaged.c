/*
 * daisystaged: settings and main.
 */
#include "daisystaged.h"

#include "kernel/program.h"

static DlNodeSettings settings;

const DlNodeSettings *
stage_settings (DlTask *task)
{
  return dl_kernel_settings (dl_task_kernel (task));
}

StageMessage *
stage_message_new (StageMessageType type)
{
  return dl_message_new ((int)type, sizeof (StageMessage));
}

static int
check_settings (const void *context, char **error)
{
  return dl_node_settings_check (context, &settings, false, error);
}

int
main (int argc, char **argv)
{
  return dl_program_run (
      &(DlProgram){
          .program = "daisystaged",
          .summary = "Loads new weights into the engine on its host.",
          .specs = dl_node_specs,
          .settings = &settings,
          .check = check_settings,
          .name = &settings.name,
          .json_logs = &settings.json_logs,
          .drain_ms = &settings.drain_ms,
          .logs_to_stdout = true,
      },
      argc, argv);
}
