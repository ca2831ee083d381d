/*
 * The stand-in of a server of the users' platform: it runs requests and sends streams of
 * events.  Here are its knobs, its reports and what goes to which other file.
 */
#include "server.h"

#include <glib.h>
#include <string.h>

#include "weights.h"

#define EVENTS_DEFAULT 10
#define EVENT_MS       20

ServerKnobs server_knobs = {
  .instance = 1,
  .events = EVENTS_DEFAULT,
  .event_ms = EVENT_MS,
  .slots = 16,
  .pause_before = 1,
  .crash_ms = 200,
  .refusal_status = 503,
};

static const StandinKnob knob_table[] = {
  { "instance", &server_knobs.instance },
  { "version", &staged_version },
  { "events", &server_knobs.events },
  { "event_ms", &server_knobs.event_ms },
  { "answer_ms", &server_knobs.answer_ms },
  { "shed", &server_knobs.shed },
  { "fail", &server_knobs.fail },
  { "lose", &server_knobs.lose },
  { "cut", &server_knobs.cut },
  { "foreign", &server_knobs.foreign },
  { "unsealed", &server_knobs.unsealed },
  { "silent", &server_knobs.silent },
  { "rot", &staged_rot },
  { "slots", &server_knobs.slots },
  { "cut_resumed", &server_knobs.cut_resumed },
  { "born", &server_knobs.born },
  { "leaving", &server_knobs.leaving },
  { "report_leaving", &server_knobs.report_leaving },
  { "retry_after_ms", &server_knobs.retry_after_ms },
  { "unmarked", &server_knobs.unmarked },
  { "shed_resumed", &server_knobs.shed_resumed },
  { "pauses", &server_knobs.pauses },
  { "pause_before", &server_knobs.pause_before },
  { "pause_ms", &server_knobs.pause_ms },
  { "others", &server_knobs.others },
  { "event_bytes", &server_knobs.event_bytes },
  { "crash_part", &server_knobs.crash_part },
  { "crash_ms", &server_knobs.crash_ms },
  { "crash_body", &server_knobs.crash_body },
  { "limit_millis", &server_knobs.limit_millis },
  { "crash_streams", &server_knobs.crash_streams },
  { "crash_now", &server_knobs.crash_now },
  { "queue_ms", &server_knobs.queue_ms },
  { "due_version", &server_knobs.due_version },
  { "due_in_ms", &server_knobs.due_in_ms },
  { "old_refusals", &server_knobs.old_refusals },
  { "refusal_status", &server_knobs.refusal_status },
  { "refusal_nameless", &server_knobs.refusal_nameless },
  { "error_resumed", &server_knobs.error_resumed },
  { "error_sealed", &server_knobs.error_sealed },
  { "stage_refused", &staged_refused },
  { "rot_after_read", &staged_rot_after_read },
  { "rot_at_command", &staged_rot_at_command },
  { "read_late_ms", &staged_read_late_ms },
  { "command_late_ms", &staged_command_late_ms },
  { "commands_late", &staged_commands_late },
  { "command_stall_ms", &staged_command_stall_ms },
  { "stop_at_command", &staged_stop_at_command },
  { "stop_at_read", &staged_stop_at_read },
  { "write_at_command", &staged_write_at_command },
  { "reports_fail_ms", &staged_reports_fail_ms },
  { "mixed", &staged_mixed },
  { "lose_weights", &server_knobs.lose_weights },
  { "mend", &server_knobs.mend },
  { "end_early_ms", &server_knobs.end_early_ms },
  { 0 },
};

static void
server_start (DlTask *standin)
{
  staged_start (standin);
  server_responses_start ();
  server_runs_start (standin);
}

/* -------- reports -------- */

static void
reply_report (DlHttpRequest *request)
{
  json_object *report = json_object_new_object ();
  json_object *models = json_object_new_array ();
  json_object *model = json_object_new_object ();
  json_object *layers = json_object_new_object ();
  const DlHttpHeader headers[]
      = { { server_knobs.report_leaving ? "Server-Leaving" : NULL, "1" }, { 0 } };

  if (staged_version > 0)
    {
      standin_json_set_text (model, "name", WEIGHTS_MODEL);
      standin_json_set_uint (model, "version", staged_version);
      json_object_array_add (models, json_object_get (model));
      standin_json_set_uint (layers, "from", 0);
      standin_json_set_uint (layers, "target", WEIGHTS_LAYERS);
      standin_json_set_uint (layers, "version", staged_version);
      json_object_object_add (report, "layers", json_object_get (layers));
    }
  json_object_put (model);
  json_object_put (layers);
  json_object_object_add (report, "models", models);
  json_object_object_add (report, "busy", json_object_new_boolean (staged_is_loading ()));
  standin_json_set_uint (report, "sequence", staged_commands ());
  standin_json_set_uint (report, "running", server_running () + server_knobs.others);
  standin_json_set_uint (report, "waiting", server_waiting ());
  standin_json_set_uint (report, "born",
                         server_knobs.born > 0 ? server_knobs.born
                                               : server_knobs.instance);
  dl_http_reply (request, 200, "application/json",
                 dl_str (json_object_to_json_string_ext (report, JSON_C_TO_STRING_PLAIN)),
                 headers);
  json_object_put (report);
}

/* -------- the kind -------- */

static void
server_changed (void)
{
  if (standin_count_down (&server_knobs.crash_now))
    server_crash ();
  if (standin_count_down (&server_knobs.lose_weights))
    staged_lose_weights ();
  if (standin_count_down (&server_knobs.mend))
    staged_mend ();
  server_runs_changed ();
}

static void
server_handle (DlHttpRequest *request)
{
  const char *path = dl_http_request_path (request);

  if (!server_takes (request))
    return;
  if (strcmp (path, "/-/report") == 0 && staged_reports_fail ())
    dl_http_reply_error (request, 503, 0, "no report now");
  else if (strcmp (path, "/-/report") == 0)
    reply_report (request);
  else if (!staged_handle (request))
    server_run (request);
}

static json_object *
server_records (void)
{
  json_object *records = json_object_new_object ();

  server_runs_record (records);
  server_responses_record (records);
  staged_record (records);
  return records;
}

static StandinKind server_kind = {
  .name = "server",
  .knobs = knob_table,
  .start = server_start,
  .changed = server_changed,
  .handle = server_handle,
  .records = server_records,
};
STANDIN_REGISTER (server_kind)
