/* Tests of the loader: when a slot sends its engine a load command. */
#include <string.h>

#include "kernel/error.h"
#include "policy/loader.h"
#include "unit.h"

#define GUARD_MS 6000
#define DRAIN_MS 30000
#define START_MS 1000000
#define LATER_MS (START_MS + GUARD_MS)

static const DlDigest old_version = { .bytes = { 1 } };
static const DlDigest new_version = { .bytes = { 2 } };

/* Inputs that allow a load command. */
static DlLoaderFacts
ready_facts (uint64_t now_ms)
{
  return (DlLoaderFacts){
    .now_ms = now_ms,
    .in_contact = true,
    .contact_since_ms = now_ms,
    .has_directive = true,
    .wanted = true,
    .may_load = true,
    .granted = true,
    .version = new_version,
    .fence = 3,
    .complete = true,
    .engine_reachable = true,
    .serving = old_version,
    .engine_fence = 0,
  };
}

/* Steps the loader for SPAN_MS; returns the number of load commands. */
static int
run_steps (DlLoader *loader, DlLoaderFacts *facts, uint64_t span_ms)
{
  int commands = 0;

  for (uint64_t passed = 0; passed < span_ms; passed += DL_LOADER_STEP_MS)
    {
      facts->now_ms += DL_LOADER_STEP_MS;
      if (dl_loader_step (loader, facts) == DL_LOADER_SEND_LOAD)
        commands++;
    }
  return commands;
}

/* A loader that has run from START_MS to LATER_MS. */
static void
init_loader (DlLoader *loader)
{
  dl_loader_init (loader, START_MS, GUARD_MS, DRAIN_MS);
  loader->stepped_ms = LATER_MS;
}

typedef struct
{
  const char *name;
  void (*change) (DlLoaderFacts *facts);
  int commands; /* within two seconds */
} CommandCase;

static void
change_nothing (DlLoaderFacts *f)
{
}

static void
change_not_complete (DlLoaderFacts *f)
{
  f->complete = false;
}

static void
change_not_in_wave (DlLoaderFacts *f)
{
  f->may_load = false;
}

static void
change_serves_nothing (DlLoaderFacts *f)
{
  f->may_load = false;
  f->serving = (DlDigest){ 0 };
}

static void
change_no_contact (DlLoaderFacts *f)
{
  f->in_contact = false;
}

static void
change_called_off (DlLoaderFacts *f)
{
  f->wanted = false;
}

static void
change_no_fence (DlLoaderFacts *f)
{
  f->fence = 0;
}

static void
change_older_fence (DlLoaderFacts *f)
{
  f->engine_fence = 4;
}

static void
change_busy (DlLoaderFacts *f)
{
  f->requests_running = 1;
}

static void
change_stopping (DlLoaderFacts *f)
{
  f->stopping = true;
}

static const CommandCase command_cases[] = {
  { "all ready", change_nothing, 1 },
  { "not complete", change_not_complete, 0 },
  { "not in the wave", change_not_in_wave, 0 },
  { "serves nothing, needs no wave", change_serves_nothing, 1 },
  { "no contact to a relay", change_no_contact, 0 },
  { "rollout called off", change_called_off, 0 },
  { "not steered under a lease yet", change_no_fence, 0 },
  { "engine saw a newer fence", change_older_fence, 0 },
  { "requests in progress", change_busy, 0 },
  { "stopping", change_stopping, 0 },
};

static void
test_command_cases (void)
{
  for (size_t i = 0; i < sizeof command_cases / sizeof command_cases[0]; i++)
    {
      DlLoader loader;
      DlLoaderFacts facts = ready_facts (LATER_MS);

      init_loader (&loader);
      command_cases[i].change (&facts);
      CU_ASSERT_EQUAL (run_steps (&loader, &facts, 2000), command_cases[i].commands);
    }
}

/* A new slot waits for its guard time, whether or not the engine checks fences. */
static void
test_new_slot_waits_for_predecessor (void)
{
  for (uint64_t fence = 0; fence <= 2; fence += 2)
    {
      DlLoader loader;
      DlLoaderFacts facts = ready_facts (START_MS);

      dl_loader_init (&loader, START_MS, GUARD_MS, DRAIN_MS);
      facts.engine_fence = fence;
      CU_ASSERT_EQUAL (run_steps (&loader, &facts, GUARD_MS - 500), 0);
      CU_ASSERT_EQUAL (run_steps (&loader, &facts, 2000), 1);
    }
}

/* An engine without weights has had no commands, so it is loaded at once. */
static void
test_fresh_engine_is_loaded_at_once (void)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (START_MS);

  dl_loader_init (&loader, START_MS, GUARD_MS, DRAIN_MS);
  facts.serving = (DlDigest){ 0 };
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 1000), 1);
}

static void
test_no_command_after_a_pause (void)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (LATER_MS);

  init_loader (&loader);
  facts.requests_running = 1;
  run_steps (&loader, &facts, 1000);
  facts.requests_running = 0;
  facts.now_ms += 20000; /* paused; the inputs are stale */
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 2000), 0);
  facts.contact_since_ms = facts.now_ms; /* a new contact */
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 2000), 1);
}

static void
test_lost_command_is_repeated (void)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (LATER_MS);

  init_loader (&loader);
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 1000), 1);
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  dl_loader_command_done (&loader, facts.now_ms, 0);
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 9000), 0);
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 4000), 1);
  dl_loader_command_done (&loader, facts.now_ms, DL_ERR_UNAVAILABLE);
  CU_ASSERT_PTR_NOT_NULL (loader.failure);
  /* The first command may still be carried out. */
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  facts.serving = new_version;
  run_steps (&loader, &facts, 500);
  CU_ASSERT_PTR_NULL (loader.failure);
  CU_ASSERT_EQUAL (loader.phase, DL_LOADER_IDLE);
  CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
}

static void
test_refused_command_is_not_pending (void)
{
  static const int refusals[] = { DL_ERR_UNAVAILABLE, DL_ERR_FENCED };

  for (size_t i = 0; i < sizeof refusals / sizeof refusals[0]; i++)
    {
      DlLoader loader;
      DlLoaderFacts facts = ready_facts (LATER_MS);

      init_loader (&loader);
      CU_ASSERT_EQUAL (run_steps (&loader, &facts, 1000), 1);
      dl_loader_command_done (&loader, facts.now_ms, refusals[i]);
      CU_ASSERT_PTR_NOT_NULL (loader.failure);
      CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
    }
}

/* Commands for the new version, of which the first has RESPONSE, while the rollout is
 * paused: the engine serves the old one and may begin to load at any time. */
static void
check_pending (int response)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (LATER_MS);

  init_loader (&loader);
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 1000), 1);
  dl_loader_command_done (&loader, facts.now_ms, response);
  facts.wanted = false;
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 60000), 0);
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  facts.loading = new_version;
  facts.serving = (DlDigest){ 0 };
  run_steps (&loader, &facts, 500);
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  facts.loading = (DlDigest){ 0 };
  facts.serving = new_version;
  run_steps (&loader, &facts, 500);
  CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
}

static void
test_out_of_rotation_while_a_command_is_pending (void)
{
  check_pending (0);
  check_pending (DL_ERR_UNKNOWN);
}

/* The directive returns to the version that the engine serves while a command for another
 * one is pending: only an accepted command replaces that one, and needs no grant. */
static void
test_directive_returns_while_a_command_is_pending (void)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (LATER_MS);

  init_loader (&loader);
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 1000), 1);
  dl_loader_command_done (&loader, facts.now_ms, DL_ERR_UNKNOWN);
  facts.version = old_version;
  facts.may_load = false;
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 9000), 0);
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 4000), 1);
  dl_loader_command_done (&loader, facts.now_ms, DL_ERR_UNKNOWN);
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 9000), 0);
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 4000), 1);
  dl_loader_command_done (&loader, facts.now_ms, 0);
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 1000), 0);
  CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
}

/* The directive goes on to another version during a load: the load has ended when the
 * engine serves the version that its command named. */
static void
test_load_ends_with_the_commanded_version (void)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (LATER_MS);

  init_loader (&loader);
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 1000), 1);
  dl_loader_command_done (&loader, facts.now_ms, 0);
  facts.version = (DlDigest){ .bytes = { 3 } };
  facts.may_load = false;
  facts.serving = new_version;
  run_steps (&loader, &facts, 500);
  CU_ASSERT_PTR_NULL (loader.failure);
  CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
}

static void
test_called_off_while_draining (void)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (LATER_MS);

  init_loader (&loader);
  facts.requests_running = 1;
  run_steps (&loader, &facts, 1000);
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  facts.wanted = false;
  run_steps (&loader, &facts, 500);
  CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
}

/* A slot starts on a host that was granted a load: its predecessor may have sent the
 * command, which the engine may carry out at any time, also after the guard time. */
static void
test_command_of_predecessor_is_pending (void)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (START_MS);

  dl_loader_init (&loader, START_MS, GUARD_MS, DRAIN_MS);
  facts.complete = false;
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, GUARD_MS + 60000), 0);
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  facts.may_load = false; /* paused */
  run_steps (&loader, &facts, 1000);
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  facts.serving = new_version;
  run_steps (&loader, &facts, 500);
  CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
}

/* The rollout was paused, or called off, before the slot started: what its predecessor
 * sent under the grant is pending all the same. */
static void
test_command_under_a_withdrawn_grant_is_pending (void)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (START_MS);

  dl_loader_init (&loader, START_MS, GUARD_MS, DRAIN_MS);
  facts.may_load = false;
  facts.wanted = false;
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, GUARD_MS + 60000), 0);
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  facts.wanted = true; /* resumed */
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 1000), 1);
  dl_loader_command_done (&loader, facts.now_ms, 0);
  facts.serving = new_version;
  run_steps (&loader, &facts, 500);
  CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
}

/* A host that was replaced after its rollout was called off: its engine never had a
 * command, which the slot learns after the grant. */
static void
test_withdrawn_grant_of_a_fresh_engine_is_not_pending (void)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (START_MS);

  dl_loader_init (&loader, START_MS, GUARD_MS, DRAIN_MS);
  facts.may_load = false;
  facts.wanted = false;
  facts.engine_reachable = false;
  facts.serving = (DlDigest){ 0 };
  run_steps (&loader, &facts, GUARD_MS + 1000);
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  facts.engine_reachable = true;
  run_steps (&loader, &facts, 1000);
  CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
}

/* Without a grant there is nothing pending after the guard time, in which a predecessor
 * may still send a command. */
static void
test_no_requests_in_the_guard_time (void)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (START_MS);

  dl_loader_init (&loader, START_MS, GUARD_MS, DRAIN_MS);
  facts.complete = false;
  facts.may_load = false;
  facts.granted = false;
  run_steps (&loader, &facts, GUARD_MS - 500);
  CU_ASSERT_FALSE (dl_loader_accepts (&loader, &facts));
  run_steps (&loader, &facts, 1000);
  CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
  facts.may_load = true;
  facts.granted = true;
  run_steps (&loader, &facts, 1000);
  CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
}

/* An engine that had no weights as the slot started had no commands of another one. */
static void
test_fresh_engine_serves_at_once (void)
{
  DlLoader loader;
  DlLoaderFacts facts = ready_facts (START_MS);

  dl_loader_init (&loader, START_MS, GUARD_MS, DRAIN_MS);
  facts.serving = (DlDigest){ 0 };
  CU_ASSERT_EQUAL (run_steps (&loader, &facts, 1000), 1);
  dl_loader_command_done (&loader, facts.now_ms, 0);
  facts.serving = new_version;
  facts.engine_fence = facts.fence;
  run_steps (&loader, &facts, 500);
  CU_ASSERT_TRUE (dl_loader_accepts (&loader, &facts));
}

static const CU_TestInfo loader_tests[] = {
  { "command cases", test_command_cases },
  { "predecessor", test_new_slot_waits_for_predecessor },
  { "fresh engine", test_fresh_engine_is_loaded_at_once },
  { "predecessor's command", test_command_of_predecessor_is_pending },
  { "withdrawn grant", test_command_under_a_withdrawn_grant_is_pending },
  { "withdrawn grant, fresh engine",
    test_withdrawn_grant_of_a_fresh_engine_is_not_pending },
  { "guard time", test_no_requests_in_the_guard_time },
  { "fresh engine serves", test_fresh_engine_serves_at_once },
  { "pause", test_no_command_after_a_pause },
  { "lost command", test_lost_command_is_repeated },
  { "refused command", test_refused_command_is_not_pending },
  { "pending command", test_out_of_rotation_while_a_command_is_pending },
  { "pending command, directive returns",
    test_directive_returns_while_a_command_is_pending },
  { "load ends", test_load_ends_with_the_commanded_version },
  { "called off", test_called_off_while_draining },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("loader", loader_tests)
