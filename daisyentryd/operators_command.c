/*
 * Runs operators' commands.
 *
 * A command first creates the object command/ID with the outcome "pending".  It then
 * repeatedly reads the objects, performs the next conditional write that
 * lib/query/plan.h computes from them, until the plan says how the command ended.  Last,
 * it records the outcome in command/ID.
 *
 * An entry that finds a pending command with the id it was given resumes it from the
 * state of the objects.  A client whose response was lost can therefore request the
 * outcome, or send the command again, and the command never runs twice.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "operators.h"
#include "query/json_get.h"
#include "query/plan.h"

#define COMMANDS_MAX       64 /* limit of commands in progress */
#define OPERATOR_MAX_BYTES 64
#define RETRY_MS           100
/* A command that has not ended after this many platform timeouts is abandoned: it is
 * reported as not run, or as unknown if it may have had an effect. */
#define DEADLINE_TIMEOUTS 3
#define PENDING           "pending"
#define HTTP_OK           200
#define HTTP_BAD_REQUEST  400
#define HTTP_UNAVAILABLE  503

DL_METRIC (metric_applied,
           DL_METRIC_COUNTER,
           "daisy_operator_commands_applied_total",
           "Operator commands that took effect.")
DL_METRIC (metric_refused,
           DL_METRIC_COUNTER,
           "daisy_operator_commands_refused_total",
           "Operator commands that were refused and had no effect.")
DL_METRIC (metric_unknown,
           DL_METRIC_COUNTER,
           "daisy_operator_commands_unknown_total",
           "Operator commands whose outcome was not known in time.")
DL_METRIC (metric_not_run,
           DL_METRIC_COUNTER,
           "daisy_operator_commands_not_run_total",
           "Operator commands that were not run because the platform was unavailable.")

/* A command in progress; a talloc child of the task's state. */
typedef struct
{
  Operators *operators;
  DlHttpRequest *request; /* NULL once the client has disconnected */
  char *id;
  /* NULL after a GET, until the recorded command has been read. */
  char *by;
  char *text;
  json_object *value;
  char value_digest[DL_DIGEST_HEX_BYTES]; /* "" if there is no value */
  DlStatement *statement;
  uint64_t at_ms;
  uint64_t at_revision;
  uint64_t intent_revision;  /* of the write that created command/ID */
  uint64_t command_revision; /* current revision of command/ID */
  uint64_t deadline_ms;
  bool resumed;       /* an earlier attempt or write may have taken effect */
  bool write_unknown; /* a write of this run may have taken effect */
  uint64_t retry_after_ms;
  DlTimer *retry;
  DlPlan *plan;
} Command;

static void create_intent (Command *c);
static void read_recorded (Command *c);
static void read_objects (Command *c);
static void record_outcome (Command *c);

/* -------- outcomes -------- */

static int
command_destroy (Command *c)
{
  if (c->request != NULL)
    dl_http_request_on_closed (c->request, NULL, NULL);
  json_object_put (c->value);
  operators_command_ended (c->operators);
  return 0;
}

static void
count_outcome (const char *outcome)
{
  if (strcmp (outcome, "applied") == 0)
    dl_metric_add (&metric_applied, 1);
  else if (strcmp (outcome, "refused") == 0)
    dl_metric_add (&metric_refused, 1);
  else if (strcmp (outcome, "not-run") == 0)
    dl_metric_add (&metric_not_run, 1);
  else
    dl_metric_add (&metric_unknown, 1);
}

static void
log_outcome (const Command *c, const char *outcome, const char *detail)
{
  DlEvent event = DL_EVENT_COMMAND_ENDED;

  if (strcmp (outcome, "unknown") == 0)
    event = DL_EVENT_COMMAND_UNKNOWN;
  else if (strcmp (outcome, "not-run") == 0)
    event = DL_EVENT_COMMAND_NOT_RUN;
  dl_log (event, DL_TEXT ("id", c->id), DL_TEXT ("by", c->by != NULL ? c->by : ""),
          DL_TEXT ("command", c->text != NULL ? c->text : "status query"),
          DL_TEXT ("outcome", outcome), DL_TEXT ("detail", detail));
}

/* Responds to the client and frees the command. */
static void
finish (Command *c, const char *outcome, const char *detail, uint64_t revision)
{
  json_object *response = json_object_new_object ();

  count_outcome (outcome);
  log_outcome (c, outcome, detail);
  dl_json_add_text (response, "outcome", outcome);
  dl_json_add_text (response, "detail", detail);
  dl_json_add_uint (response, "revision", revision);
  dl_json_add_text (response, "id", c->id);
  if (c->request != NULL)
    dl_http_reply_json (c->request, HTTP_OK, response);
  else
    json_object_put (response);
  talloc_free (c);
}

/* Ends a command that had no effect and will have none unless it is sent again. */
static void
finish_not_run (Command *c, const char *detail)
{
  uint64_t retry_ms = MAX (c->retry_after_ms, OPERATORS_RETRY_MS);
  json_object *response = json_object_new_object ();
  char seconds[24];
  DlHttpHeader headers[] = { { "Retry-After", seconds }, { 0 } };

  c->operators->unavailable_until_ms = dl_clock_ms () + OPERATORS_RETRY_MS;
  count_outcome ("not-run");
  log_outcome (c, "not-run", detail);
  g_snprintf (seconds, sizeof seconds, "%" PRIu64, (retry_ms + 999) / 1000);
  dl_json_add_text (response, "outcome", "not-run");
  dl_json_add_text (response, "error", detail);
  dl_json_add_text (response, "id", c->id);
  dl_json_add_uint (response, "retry_after_ms", retry_ms);
  if (c->request != NULL)
    dl_http_reply (c->request, HTTP_UNAVAILABLE, "application/json",
                   dl_str (
                       json_object_to_json_string_ext (response, JSON_C_TO_STRING_PLAIN)),
                   headers);
  json_object_put (response);
  talloc_free (c);
}

static void
finish_timed_out (Command *c)
{
  if (c->resumed || c->write_unknown || c->text == NULL)
    finish (c, "unknown",
            "the platform's service does not answer; ask again with the same id", 0);
  else
    finish_not_run (c, "the platform's service is away; nothing was changed");
}

/* -------- retries -------- */

typedef void (*StepFunc) (Command *c);

typedef struct
{
  Command *command;
  StepFunc step;
} Retry;

static void
on_retry (DlTimer *timer, void *data)
{
  Retry *retry = data;
  Command *c = retry->command;
  StepFunc step = retry->step;

  talloc_free (retry);
  c->retry = NULL;
  step (c);
}

/* Calls STEP after a delay, or ends the command if its deadline comes first. */
static void
retry_later (Command *c, StepFunc step, uint64_t retry_after_ms)
{
  uint64_t delay_ms = MAX (retry_after_ms, RETRY_MS);
  Retry *retry;

  c->retry_after_ms = retry_after_ms;
  if (dl_clock_ms () + delay_ms > c->deadline_ms)
    {
      finish_timed_out (c);
      return;
    }
  retry = talloc_zero (c, Retry);
  *retry = (Retry){ .command = c, .step = step };
  c->retry = dl_timer_subscribe (c->operators->task, retry, delay_ms, 0, on_retry, retry);
}

/* -------- command/ID -------- */

static json_object *
command_value (const Command *c,
               const char *outcome,
               const char *detail,
               uint64_t revision)
{
  json_object *value = json_object_new_object ();

  dl_json_add_text (value, "text", c->text);
  dl_json_add_text (value, "by", c->by);
  dl_json_add_uint (value, "at_ms", c->at_ms);
  dl_json_add_text (value, "outcome", outcome);
  dl_json_add_text (value, "detail", detail);
  dl_json_add_uint (value, "revision", revision);
  dl_json_add_uint (value, "at_revision", c->at_revision);
  dl_json_add_text (value, "value_digest", c->value_digest);
  dl_json_add_text (value, "entry", entry_settings (c->operators->task)->name);
  return value;
}

static void
on_intent_created (const DlObjectResult *result, void *data)
{
  Command *c = data;

  switch (result->error)
    {
    case 0:
      c->intent_revision = result->revision;
      c->command_revision = result->revision;
      read_objects (c);
      break;
    case DL_ERR_CONFLICT:
    case DL_ERR_UNKNOWN:
      read_recorded (c);
      break;
    default:
      retry_later (c, create_intent, result->retry_after_ms);
      break;
    }
}

static void
create_intent (Command *c)
{
  json_object *value = command_value (c, PENDING, "", 0);

  dl_object_put (c->operators->client, c, ENTRY_KIND_COMMAND, c->id, 0, value,
                 on_intent_created, c);
  json_object_put (value);
}

/* Returns whether RECORDED is the command that was sent.  If the id belongs to another
 * command, ends C as refused and returns false. */
static bool
check_recorded (Command *c, json_object *recorded)
{
  const char *text = dl_json_text (recorded, "text");
  const char *by = dl_json_text (recorded, "by");

  if (c->text == NULL
      || (strcmp (text, c->text) == 0 && strcmp (by, c->by) == 0
          && strcmp (dl_json_text (recorded, "value_digest"), c->value_digest) == 0))
    return true;
  finish (c, "refused",
          talloc_asprintf (c, "id %s belongs to another command: \"%s\" by %s", c->id,
                           text, by),
          0);
  return false;
}

/* Continues a pending command with the time and precondition it was first sent with. */
static void
resume_pending (Command *c, const DlObject *object)
{
  DlSyntaxError error;

  c->by = talloc_strdup (c, dl_json_text (object->value, "by"));
  c->text = talloc_strdup (c, dl_json_text (object->value, "text"));
  g_strlcpy (c->value_digest, dl_json_text (object->value, "value_digest"),
             sizeof c->value_digest);
  c->at_ms = dl_json_uint (object->value, "at_ms");
  c->at_revision = dl_json_uint (object->value, "at_revision");
  c->resumed = true;
  c->intent_revision = object->created;
  c->command_revision = object->revision;
  if (c->statement == NULL
      && dl_statement_parse (c, dl_str (c->text), &c->statement, &error) < 0)
    finish (c, "unknown", "the recorded command is not understood", 0);
  else
    read_objects (c);
}

/* The id is already recorded: by a write of this run whose outcome is unknown, or by an
 * earlier attempt. */
static void
resume_recorded (Command *c, const DlObject *object)
{
  const char *outcome = dl_json_text (object->value, "outcome");

  if (!check_recorded (c, object->value))
    return;
  if (strcmp (outcome, PENDING) == 0)
    resume_pending (c, object);
  else
    finish (c, talloc_strdup (c, outcome),
            talloc_strdup (c, dl_json_text (object->value, "detail")),
            dl_json_uint (object->value, "revision"));
}

static void
on_recorded (const DlObjectResult *result, void *data)
{
  Command *c = data;

  switch (result->error)
    {
    case 0:
      resume_recorded (c, &result->objects[0]);
      break;
    case DL_ERR_NOT_FOUND:
      if (c->text == NULL)
        finish (c, "unknown", "no command of this id is recorded", 0);
      else
        retry_later (c, create_intent, 0);
      break;
    default:
      retry_later (c, read_recorded, result->retry_after_ms);
      break;
    }
}

static void
read_recorded (Command *c)
{
  dl_object_get (c->operators->client, c, ENTRY_KIND_COMMAND, c->id, on_recorded, c);
}

static void
on_outcome_recorded (const DlObjectResult *result, void *data)
{
  Command *c = data;
  const DlPlan *plan = c->plan;

  if (result->error == 0)
    {
      finish (c, plan->type == DL_PLAN_APPLIED ? "applied" : "refused",
              plan->outcome.detail, plan->outcome.revision);
      return;
    }
  /* Another run of the same command recorded it first, or this write took effect. */
  if (result->error == DL_ERR_CONFLICT || result->error == DL_ERR_UNKNOWN)
    {
      read_recorded (c);
      return;
    }
  /* An applied command shows in the objects it wrote.  A refusal must be recorded before
   * it is reported, else a later attempt with the same id might take effect. */
  if (plan->type == DL_PLAN_APPLIED)
    finish (c, "applied", plan->outcome.detail, plan->outcome.revision);
  else
    retry_later (c, record_outcome, result->retry_after_ms);
}

static void
record_outcome (Command *c)
{
  const DlPlan *plan = c->plan;
  json_object *value
      = command_value (c, plan->type == DL_PLAN_APPLIED ? "applied" : "refused",
                       plan->outcome.detail, plan->outcome.revision);

  dl_object_put (c->operators->client, c, ENTRY_KIND_COMMAND, c->id, c->command_revision,
                 value, on_outcome_recorded, c);
  json_object_put (value);
}

/* -------- reading, planning, writing -------- */

static void
on_written (const DlObjectResult *result, void *data)
{
  Command *c = data;

  switch (result->error)
    {
    case 0:
      c->resumed = true;
      read_objects (c);
      break;
    case DL_ERR_CONFLICT:
    case DL_ERR_NOT_FOUND:
      read_objects (c);
      break;
    case DL_ERR_UNKNOWN:
      c->resumed = true;
      c->write_unknown = true;
      retry_later (c, read_objects, result->retry_after_ms);
      break;
    default:
      retry_later (c, read_objects, result->retry_after_ms);
      break;
    }
}

static void
do_write (Command *c)
{
  const DlPlan *plan = c->plan;
  DlObjectClient *client = c->operators->client;

  if (plan->write.value == NULL)
    dl_object_delete (client, c, plan->write.kind, plan->write.name, plan->write.base,
                      on_written, c);
  else
    dl_object_put (client, c, plan->write.kind, plan->write.name, plan->write.base,
                   plan->write.value, on_written, c);
}

static void
follow_plan (Command *c)
{
  switch (c->plan->type)
    {
    case DL_PLAN_WRITE:
      do_write (c);
      break;
    case DL_PLAN_APPLIED:
    case DL_PLAN_REFUSED:
      record_outcome (c);
      break;
    case DL_PLAN_UNKNOWN:
      finish (c, "unknown", c->plan->outcome.detail, 0);
      break;
    }
}

static int
compare_objects (const void *a, const void *b)
{
  const DlObject *x = a;
  const DlObject *y = b;
  int order = strcmp (x->kind, y->kind);

  return order != 0 ? order : strcmp (x->name, y->name);
}

static void
plan_next (Command *c, const DlObjectResult *result)
{
  DlQuerySource current = {
    .revision = result->revision,
    .count = result->count,
    .objects = result->objects,
  };
  DlQuerySource at_revision;
  bool is_kept = operators_source_at (c->operators, c->at_revision, &at_revision);
  DlCommand command = {
    .id = c->id,
    .by = c->by,
    .at_ms = c->at_ms,
    .at_revision = c->at_revision,
    .intent_revision = c->intent_revision,
    .resumed = c->resumed,
    .value = c->value,
    .source_at_revision = is_kept ? &at_revision : NULL,
  };

  if (result->count > 1)
    qsort (result->objects, result->count, sizeof *result->objects, compare_objects);
  talloc_free (c->plan);
  c->plan = dl_plan_command (c, c->statement, &command, &current);
  follow_plan (c);
}

static void
on_objects (const DlObjectResult *result, void *data)
{
  Command *c = data;

  if (result->error == 0)
    plan_next (c, result);
  else
    retry_later (c, read_objects, result->retry_after_ms);
}

static void
read_objects (Command *c)
{
  if (dl_clock_ms () > c->deadline_ms)
    {
      finish_timed_out (c);
      return;
    }
  dl_object_list (c->operators->client, c, dl_plan_kinds (c->statement), on_objects, c);
}

/* -------- requests -------- */

static void
on_client_disconnected (DlHttpRequest *request, bool completed, void *data)
{
  Command *c = data;

  c->request = NULL;
}

static bool
is_printable (const char *text)
{
  for (const char *t = text; *t != '\0'; t++)
    if ((unsigned char)*t < ' ')
      return false;
  return true;
}

/* Returns why BODY is not a valid command, or NULL if it is. */
static const char *
check_body (json_object *body)
{
  const char *by = dl_json_text (body, "by");

  if (!dl_object_name_is_valid (dl_str (dl_json_text (body, "id"))))
    return "id: must be 1 to 128 letters, digits, \".\", \"_\" or \"-\"";
  if (by[0] == '\0' || strlen (by) > OPERATOR_MAX_BYTES || !is_printable (by)
      || !g_utf8_validate (by, -1, NULL))
    return "by: must name the operator in up to 64 bytes of printable text";
  return NULL;
}

static Command *
command_new (Operators *o, DlHttpRequest *request, const char *id)
{
  Command *c = talloc_zero (o, Command);
  uint64_t timeout_ms = entry_settings (o->task)->platform_timeout_ms;

  c->operators = o;
  c->request = request;
  c->id = talloc_strdup (c, id);
  c->at_ms = dl_wall_clock_ms ();
  c->deadline_ms = dl_clock_ms () + DEADLINE_TIMEOUTS * timeout_ms;
  o->commands++;
  talloc_set_destructor (c, command_destroy);
  dl_http_request_on_closed (request, on_client_disconnected, c);
  return c;
}

static void
set_body (Command *c, json_object *body, DlStatement *statement)
{
  c->by = talloc_strdup (c, dl_json_text (body, "by"));
  c->text = talloc_strdup (c, dl_json_text (body, "text"));
  c->value = json_object_get (dl_json_object (body, "value"));
  c->statement = talloc_steal (c, statement);
  c->at_revision = statement->at_revision > 0 ? statement->at_revision
                                              : dl_json_uint (body, "revision");
  if (c->value != NULL)
    {
      DlDigest digest = dl_digest (
          dl_str (json_object_to_json_string_ext (c->value, JSON_C_TO_STRING_PLAIN)));

      dl_digest_to_hex (&digest, c->value_digest);
    }
}

/* Ends the command as not run and returns true while the platform is unavailable. */
static bool
refuse_while_unavailable (Command *c)
{
  Operators *o = c->operators;

  if (o->platform_reachable && dl_clock_ms () >= o->unavailable_until_ms)
    return false;
  finish_not_run (c, "the platform's service is away; nothing was changed");
  return true;
}

static void
start_command (Operators *o,
               DlHttpRequest *request,
               json_object *body,
               DlStatement *statement)
{
  Command *c = command_new (o, request, dl_json_text (body, "id"));

  set_body (c, body, statement);
  if (refuse_while_unavailable (c))
    return;
  dl_log (DL_EVENT_COMMAND_BEGUN, DL_TEXT ("id", c->id), DL_TEXT ("by", c->by),
          DL_TEXT ("command", c->text));
  operators_expire_objects (o);
  create_intent (c);
}

/* Refuses REQUEST and returns true while the maximum number of commands is running. */
static bool
refuse_when_full (const Operators *o, DlHttpRequest *request)
{
  if (o->commands < COMMANDS_MAX)
    return false;
  dl_http_reply_error (request, HTTP_UNAVAILABLE, OPERATORS_RETRY_MS,
                       "%d commands are in progress", COMMANDS_MAX);
  return true;
}

void
operators_post_command (Operators *operators, DlHttpRequest *request)
{
  json_object *body = NULL;
  char *error = NULL;
  const char *reason;
  DlStatement *statement = NULL;
  DlSyntaxError syntax = { 0 };

  if (dl_json_parse (request, "body", dl_http_request_body (request), &body, &error) < 0)
    dl_http_reply_error (request, HTTP_BAD_REQUEST, 0, "%s", error);
  else if ((reason = check_body (body)) != NULL)
    dl_http_reply_error (request, HTTP_BAD_REQUEST, 0, "%s", reason);
  else if (dl_statement_parse (request, dl_str (dl_json_text (body, "text")), &statement,
                               &syntax)
           < 0)
    operators_reply_syntax_error (request, &syntax);
  else if (dl_statement_is_query (statement))
    operators_reply_syntax_error (request,
                                  &(DlSyntaxError){ .text = "this is not a command" });
  else if (!refuse_when_full (operators, request))
    start_command (operators, request, body, statement);
  json_object_put (body);
}

void
operators_get_command (Operators *operators, DlHttpRequest *request)
{
  const char *id = dl_http_request_query (request, "id");
  Command *c;

  if (id == NULL || !dl_object_name_is_valid (dl_str (id)))
    {
      dl_http_reply_error (request, HTTP_BAD_REQUEST, 0, "id: missing or no valid id");
      return;
    }
  if (refuse_when_full (operators, request))
    return;
  c = command_new (operators, request, id);
  if (!refuse_while_unavailable (c))
    read_recorded (c);
}
