/*
 * daisydirectd: settings and main function.
 */
#include "daisydirectd.h"

#include "kernel/program.h"

/* Allowance for the time between the check of a request's key and its arrival at the
 * upstream. */
#define STALE_RESERVE_MS 500

static DlNodeSettings settings;

const DlNodeSettings *
direct_settings (DlTask *task)
{
  return dl_kernel_settings (dl_task_kernel (task));
}

DirectMessage *
direct_message_new (DirectMessageType type)
{
  return dl_message_new ((int)type, sizeof (DirectMessage));
}

const char *
direct_origin_text (const DlObjectOrigin *origin)
{
  return origin->reader != NULL ? origin->reader : "the store";
}

uint64_t
direct_routing_max_age_ms (const DlNodeSettings *s)
{
  return s->revoke_ms - STALE_RESERVE_MS;
}

DlRoutingTrust
direct_routing_trust (const DlNodeSettings *s,
                      uint64_t proven_ms,
                      const DlStoreHeard *heard)
{
  const DlRoutingTrustQuery query = {
    .proven_ms = proven_ms,
    .heard = heard,
    .apply_ms = s->apply_ms,
    .keys_max_age_ms = direct_routing_max_age_ms (s),
  };

  return dl_routing_trust (&query, dl_clock_ms ());
}

static int
check_settings (const void *context, char **error)
{
  return dl_node_settings_check (context, &settings, true, error);
}

int
main (int argc, char **argv)
{
  return dl_program_run (
      &(DlProgram){
          .program = "daisydirectd",
          .summary = "Forwards callers' requests to upstreams.",
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
