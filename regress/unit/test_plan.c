/* Plans of operators' commands: a table of outcomes, and runs with random delays and lost
 * writes. */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "query/json_get.h"
#include "query/plan.h"
#include "sample.h"
#include "unit.h"

#define SCHEDULES     300
#define STEPS         400
#define SEED          7
#define COMMAND_COUNT 8 /* in one schedule */
#define START_R2      "rollout start r2 service draft version v1"
#define DELAYED_MAX   8 /* writes that are delayed at a time */

static DlStatement *
parse (const void *context, const char *text)
{
  DlStatement *statement = NULL;
  DlSyntaxError error = { 0 };

  CU_ASSERT_EQUAL_FATAL (dl_statement_parse (context, dl_str (text), &statement, &error),
                         0);
  return statement;
}

/* Executes the plans of a command up to its outcome, and returns that plan. */
static DlPlan *
run (const void *context, Sample *sample, const char *text, DlCommand *command)
{
  for (;;)
    {
      DlQuerySource current = sample_source (sample);
      DlPlan *plan = dl_plan_command (context, parse (context, text), command, &current);

      if (plan->type != DL_PLAN_WRITE)
        return plan;
      CU_ASSERT_EQUAL_FATAL (sample_write (sample, plan->write.kind, plan->write.name,
                                           plan->write.base, plan->write.value),
                             0);
      command->resumed = true;
    }
}

typedef struct
{
  const char *before; /* command that another operator gives first; NULL for none */
  const char *text;
  uint64_t at_revision;
  DlPlanType type;
  const char *detail;
} PlanCase;

#define AT_TIME "2023-11-14T22:13:2"

static const PlanCase plan_cases[] = {
  { NULL, "rollout pause r1", 0, DL_PLAN_APPLIED, "rollout r1 paused" },
  { NULL, "rollout resume r1", 0, DL_PLAN_REFUSED,
    "rollout r1 is not paused but distributing: started by ana at " AT_TIME "2Z" },
  { "rollout pause r1", "rollout pause r1", 0, DL_PLAN_REFUSED,
    "rollout r1 is paused already: paused by bob at " AT_TIME "9Z" },
  { "rollout pause r1", "rollout resume r1", 0, DL_PLAN_APPLIED, "rollout r1 resumed" },
  { "rollout call off r1", "rollout pause r1", 0, DL_PLAN_REFUSED,
    "rollout r1 is called-off: called off by bob at " AT_TIME "9Z" },
  { "rollout pause r1", "rollout call off r1", 10, DL_PLAN_REFUSED,
    "rollout r1 changed after revision 10: paused by bob at " AT_TIME
    "9Z (now at revision 11)" },
  { NULL, "rollout call off r1", 10, DL_PLAN_APPLIED, "rollout r1 called off" },
  { NULL, "rollout pause r9", 0, DL_PLAN_REFUSED, "there is no rollout r9" },
  { NULL, "rollout start r2 service draft version v1", 0, DL_PLAN_APPLIED,
    "rollout r2 started for 5 hosts" },
  { NULL, "rollout start r2 service draft version v1 in region kosice wave 50%", 0,
    DL_PLAN_APPLIED, "rollout r2 started for 2 hosts" },
  { NULL, "rollout start r1 service draft version v1", 0, DL_PLAN_REFUSED,
    "rollout r1 exists: started by ana at " AT_TIME "2Z" },
  { NULL, "rollout start r2 service draft version v9", 0, DL_PLAN_REFUSED,
    "no version is published as v9" },
  { NULL, "rollout start r2 service draft version v1 in region wien", 0, DL_PLAN_REFUSED,
    "no slot of service draft is known in the named regions" },
  { NULL, "rollout start r2 service ledger version v1", 0, DL_PLAN_REFUSED,
    "service ledger is plain and carries no model" },
  { "rollout pause r1", "rollout start r2 service draft version v1", 10, DL_PLAN_REFUSED,
    "rollout r1 changed after revision 10: paused by bob at " AT_TIME
    "9Z (now at revision 11)" },
  { NULL, "drain h1", 0, DL_PLAN_APPLIED, "host h1 takes no new requests" },
  { NULL, "drain h2", 0, DL_PLAN_REFUSED,
    "host h2 is drained already: drained by bob at " AT_TIME "3Z" },
  { NULL, "undrain h2", 0, DL_PLAN_APPLIED, "host h2 is not drained" },
  { NULL, "undrain h1", 0, DL_PLAN_REFUSED, "host h1 is not drained" },
  { "undrain h2", "undrain h2", 0, DL_PLAN_REFUSED,
    "host h2 is not drained: put back by bob at " AT_TIME "9Z" },
  { "drain h1", "undrain h1", 10, DL_PLAN_REFUSED,
    "drain h1 changed after revision 10: drained by bob at " AT_TIME
    "9Z (now at revision 11)" },
  { NULL,
    "publish 1111111111111111111111111111111111111111111111111111111111111111 as v9 "
    "model m manifest-bytes 1 total-bytes 1 chunks 1",
    0, DL_PLAN_REFUSED,
    "version 1111111111111111111111111111111111111111111111111111111111111111 was "
    "published as v1 by ana at " AT_TIME "0Z" },
  { NULL,
    "publish 3333333333333333333333333333333333333333333333333333333333333333 as v1 "
    "model m manifest-bytes 1 total-bytes 1 chunks 1",
    0, DL_PLAN_REFUSED,
    "label v1 names version "
    "1111111111111111111111111111111111111111111111111111111111111111, published by ana "
    "at " AT_TIME "0Z" },
  { NULL, "settings apply f", 0, DL_PLAN_REFUSED, "the command came without settings" },
};

static void
test_plans (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (plan_cases); i++)
    {
      const PlanCase *c = &plan_cases[i];
      void *context = talloc_new (NULL);
      Sample *sample = sample_new (context);
      Sample *old = sample_new (context);
      DlQuerySource old_source = sample_source (old);
      DlCommand first = { .id = "f", .by = "bob", .at_ms = 1700000009000 };
      DlCommand command = {
        .id = "x",
        .by = "eva",
        .at_ms = 1700000010000,
        .at_revision = c->at_revision,
        .intent_revision = sample->revision,
        .source_at_revision = &old_source,
      };
      DlPlan *plan;

      if (c->before != NULL)
        run (context, sample, c->before, &first);
      plan = run (context, sample, c->text, &command);
      CU_ASSERT_EQUAL (plan->type, c->type);
      unit_assert_text (plan->outcome.detail, c->detail);
      talloc_free (context);
    }
}

static json_object *
rollout_value (const Sample *sample, const char *name)
{
  DlQuerySource source = sample_source (sample);
  const DlObject *object = dl_query_source_find (&source, "rollout", name);

  g_assert (object != NULL);
  return object->value;
}

static const char *
last_change (json_object *value)
{
  json_object *history = dl_json_array (value, "history");

  return dl_json_text (json_object_array_get_idx (history,
                                                  dl_json_array_length (history) - 1),
                       "what");
}

/* A newer rollout replaces an older one that it overlaps, and both histories say so. */
static void
test_replaces_overlapping (void)
{
  void *context = talloc_new (NULL);
  Sample *sample = sample_new (context);
  DlCommand command = { .id = "x", .by = "eva", .at_ms = 1 };

  run (context, sample, "rollout start r2 service draft version v1", &command);
  unit_assert_text (dl_json_text (rollout_value (sample, "r1"), "state"), "replaced");
  unit_assert_text (last_change (rollout_value (sample, "r1")), "replaced by r2");
  unit_assert_text (last_change (rollout_value (sample, "r2")), "started; replaces r1");
  unit_assert_text (json_object_to_json_string_ext (
                        dl_json_array (rollout_value (sample, "r2"), "targets"),
                        JSON_C_TO_STRING_PLAIN),
                    "[\"h1\",\"h2\",\"h3\",\"h4\",\"h5\"]");
  talloc_free (context);
}

/* A progress update of the entry that steers a rollout does not refuse a command with a
 * precondition; settings that were accepted while a command ran do. */
static void
test_preconditions (void)
{
  void *context = talloc_new (NULL);
  Sample *sample = sample_new (context);
  Sample *old = sample_new (context);
  DlQuerySource old_source = sample_source (old);
  json_object *rollout = json_object_get (rollout_value (sample, "r1"));
  json_object *copy = json_tokener_parse (json_object_to_json_string (rollout));
  json_object *settings = json_tokener_parse (
      "{\"services\":[],\"organisations\":[],\"priorities\":[\"p\"],"
      "\"home_region\":\"a\"}");
  DlCommand command = { .id = "x",
                        .by = "eva",
                        .at_ms = 1,
                        .at_revision = 10,
                        .intent_revision = 10,
                        .value = settings,
                        .source_at_revision = &old_source };
  DlCommand concurrent
      = { .id = "y", .by = "bob", .at_ms = 1700000009000, .value = settings };

  dl_json_add_uint (copy, "fence", 4);
  sample_set (sample, "rollout", "r1", json_object_to_json_string (copy));
  CU_ASSERT_EQUAL (run (context, sample, "rollout pause r1", &command)->type,
                   DL_PLAN_APPLIED);
  concurrent.intent_revision = sample->revision;
  CU_ASSERT_EQUAL (run (context, sample, "settings apply f", &concurrent)->type,
                   DL_PLAN_APPLIED);
  command.id = "z";
  command.at_revision = 0;
  command.value = json_tokener_parse (
      "{\"services\":[],\"organisations\":[],\"priorities\":[\"q\"],"
      "\"home_region\":\"a\"}");
  unit_assert_text (run (context, sample, "settings apply f", &command)->outcome.detail,
                    "settings changed while the command ran: accepted by bob at "
                    "2023-11-14T22:13:29Z (now at revision 13)");
  json_object_put (command.value);
  json_object_put (settings);
  json_object_put (copy);
  json_object_put (rollout);
  talloc_free (context);
}

/* -------- random schedules -------- */

/* A command of a schedule. */
typedef struct
{
  char id[8];
  const char *text;
  uint64_t intent_revision;
  bool is_started;
  DlPlanType reported; /* the last outcome reported to the operator */
  bool is_finished;
} IssuedCommand;

/* A write that was sent, but takes effect only after its sender has stopped waiting. */
typedef struct
{
  char *kind;
  char *name;
  uint64_t base;
  json_object *value;
} DelayedWrite;

/* The state of one schedule. */
typedef struct
{
  void *context;
  Sample *sample;
  GRand *random;
  IssuedCommand commands[COMMAND_COUNT];
  DelayedWrite delayed[DELAYED_MAX];
  unsigned delayed_count;
  GHashTable *effects; /* "KIND/NAME/ID" to the number of writes of command ID to that
                          object that took effect */
} Simulation;

static void
count_effect (Simulation *sim, const char *object, const char *id)
{
  char *key = talloc_asprintf (sim->context, "%s/%s", object, id);
  gpointer n = g_hash_table_lookup (sim->effects, key);

  g_hash_table_insert (sim->effects, key, GINT_TO_POINTER (GPOINTER_TO_INT (n) + 1));
}

/* Returns the id of the command that wrote VALUE last. */
static const char *
last_command_id (json_object *value)
{
  json_object *history = dl_json_array (value, "history");
  size_t length = dl_json_array_length (history);

  if (length == 0)
    return dl_json_text (value, "command");
  return dl_json_text (json_object_array_get_idx (history, length - 1), "command");
}

static int
apply_write (Simulation *sim,
             const char *kind,
             const char *name,
             uint64_t base,
             json_object *value)
{
  int status = sample_write (sim->sample, kind, name, base, value);

  if (status == 0 && value != NULL)
    count_effect (sim, talloc_asprintf (sim->context, "%s/%s", kind, name),
                  last_command_id (value));
  return status;
}

static void
delay_write (Simulation *sim, const DlPlan *plan)
{
  if (sim->delayed_count == DELAYED_MAX)
    return; /* the write is lost */
  sim->delayed[sim->delayed_count++] = (DelayedWrite){
    .kind = talloc_strdup (sim->context, plan->write.kind),
    .name = talloc_strdup (sim->context, plan->write.name),
    .base = plan->write.base,
    .value = json_object_get (plan->write.value),
  };
}

static void
deliver_delayed_write (Simulation *sim)
{
  unsigned i;

  if (sim->delayed_count == 0)
    return;
  i = (unsigned)g_rand_int_range (sim->random, 0, (gint32)sim->delayed_count);
  apply_write (sim, sim->delayed[i].kind, sim->delayed[i].name, sim->delayed[i].base,
               sim->delayed[i].value);
  json_object_put (sim->delayed[i].value);
  sim->delayed[i] = sim->delayed[--sim->delayed_count];
}

/* One read, plan and write of a command by an entry, which may then fail: the next entry
 * continues the command without knowing how far it got. */
static void
step_command (Simulation *sim, IssuedCommand *c)
{
  DlCommand command = {
    .id = c->id,
    .by = "ana",
    .at_ms = 1,
    .intent_revision = c->intent_revision,
    .resumed = c->is_started,
  };
  DlQuerySource current;
  DlPlan *plan;

  if (!c->is_started)
    {
      sim->sample->revision++;
      command.intent_revision = c->intent_revision = sim->sample->revision;
      c->is_started = true;
    }
  current = sample_source (sim->sample);
  plan
      = dl_plan_command (sim->context, parse (sim->context, c->text), &command, &current);
  if (plan->type == DL_PLAN_WRITE)
    {
      if (g_rand_int_range (sim->random, 0, 4) == 0)
        delay_write (sim, plan);
      else
        apply_write (sim, plan->write.kind, plan->write.name, plan->write.base,
                     plan->write.value);
      return;
    }
  c->reported = plan->type;
  c->is_finished = plan->type != DL_PLAN_UNKNOWN;
}

/* Checks that no command took effect twice on one object, that each one reported as
 * applied took effect, and that none reported as refused did. */
static void
check_effects (Simulation *sim)
{
  GHashTableIter iter;
  gpointer key;
  gpointer count;
  bool has_effect[COMMAND_COUNT] = { false };

  g_hash_table_iter_init (&iter, sim->effects);
  while (g_hash_table_iter_next (&iter, &key, &count))
    {
      CU_ASSERT_EQUAL (GPOINTER_TO_INT (count), 1);
      for (unsigned i = 0; i < COMMAND_COUNT; i++)
        if (g_str_has_suffix (key, sim->commands[i].id))
          has_effect[i] = true;
    }
  for (unsigned i = 0; i < COMMAND_COUNT; i++)
    {
      const IssuedCommand *c = &sim->commands[i];

      if (c->is_finished && c->reported == DL_PLAN_REFUSED)
        CU_ASSERT_FALSE (has_effect[i]);
      if (c->is_finished && c->reported == DL_PLAN_APPLIED)
        CU_ASSERT_TRUE (has_effect[i]);
    }
}

static void
run_schedule (unsigned seed)
{
  static const char *const texts[] = { "rollout pause r1",
                                       "rollout resume r1",
                                       "rollout call off r1",
                                       "drain h1",
                                       "undrain h1",
                                       START_R2,
                                       "rollout start r3 service draft version v2" };
  Simulation sim = {
    .context = talloc_new (NULL),
    .random = g_rand_new_with_seed (seed),
    .effects = g_hash_table_new (g_str_hash, g_str_equal),
  };

  sim.sample = sample_new (sim.context);
  for (unsigned i = 0; i < COMMAND_COUNT; i++)
    {
      g_snprintf (sim.commands[i].id, sizeof sim.commands[i].id, "#%u", i);
      sim.commands[i].text
          = texts[g_rand_int_range (sim.random, 0, (gint32)G_N_ELEMENTS (texts))];
    }
  for (unsigned step = 0; step < STEPS; step++)
    {
      IssuedCommand *c = &sim.commands[g_rand_int_range (sim.random, 0, COMMAND_COUNT)];

      if (g_rand_int_range (sim.random, 0, 5) == 0)
        deliver_delayed_write (&sim);
      else if (!c->is_finished)
        step_command (&sim, c);
    }
  while (sim.delayed_count > 0)
    deliver_delayed_write (&sim);
  check_effects (&sim);
  g_hash_table_destroy (sim.effects);
  g_rand_free (sim.random);
  talloc_free (sim.context);
}

static void
test_random_schedules (void)
{
  unsigned seed = unit_first_seed ("command schedules", SEED);

  for (unsigned i = 0; i < SCHEDULES; i++)
    run_schedule (seed + i);
}

static const CU_TestInfo plan_tests[] = {
  { "outcomes", test_plans },
  { "replaces overlapping", test_replaces_overlapping },
  { "preconditions", test_preconditions },
  { "random schedules", test_random_schedules },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("plan", plan_tests)
