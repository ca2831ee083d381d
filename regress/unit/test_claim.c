/*
 * Tests of claims: a call runs at most once for its key, whatever the entries, the
 * platform's responses and the order of events.
 *
 * A random schedule drives several attempts at one key, each on its own entry, against a
 * model of the platform and the upstream.  Calls are refused, lost, or applied, possibly
 * late, with their response lost; entries freeze and crash.  The properties are checked
 * at every step.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "policy/claim.h"
#include "unit.h"

#define SCHEDULES     4000
#define SEED_FIRST    1
#define STEPS         600
#define ATTEMPTS      6
#define CALLS_MAX     128
#define STEP_MAX_MS   60
#define FREEZE_MAX_MS 6000
#define LATE_MAX_MS   4000
#define CALL_MAX_MS   30

/* A call to the modelled platform.  A write at REVISION 0 creates. */
typedef struct
{
  bool used;
  bool write;
  unsigned attempt;
  uint64_t revision;
  DlClaimState outcome;
  bool applies;
  bool applied;
  uint64_t apply_ms;
  bool responded;
  uint64_t response_ms;
  bool response_is_lost; /* reported as lost, whether it applies or not */
  DlClaimEvent response;
} Call;

typedef struct
{
  DlClaim claim;
  bool started;
  bool crashed;
  uint64_t frozen_until_ms;
  uint64_t written_revision; /* that the write of its claim is conditional on */
  uint64_t written_ms;       /* when that write was first sent */
  uint64_t wake_ms;          /* end of a backoff; 0: none */
  bool dispatched;
  bool ran;
  bool reported_not_run;
  uint64_t end_ms; /* when the dispatched call ends; 0: none */
  DlClaimState outcome;
} Attempt;

typedef struct
{
  uint64_t random;
  uint64_t now_ms;
  uint64_t revision;
  DlClaimRecord record; /* revision 0: absent */
  Attempt attempts[ATTEMPTS];
  Call calls[CALLS_MAX];
  unsigned runs;
  bool failed;
} World;

static uint64_t
random_below (World *w, uint64_t below)
{
  w->random ^= w->random << 13;
  w->random ^= w->random >> 7;
  w->random ^= w->random << 17;
  return w->random % below;
}

static bool
chance (World *w, unsigned permille)
{
  return random_below (w, 1000) < permille;
}

static void
check (World *w, bool holds, const char *property)
{
  if (holds)
    return;
  fprintf (stderr, "  violated: %s\n", property);
  w->failed = true;
}

/* -------- the platform -------- */

/* Chooses at random how a call ends. */
static void
choose_result (World *w, Call *c)
{
  uint64_t result = random_below (w, 10);

  c->applies = true;
  c->apply_ms = w->now_ms + random_below (w, CALL_MAX_MS);
  c->response_ms = c->apply_ms + random_below (w, CALL_MAX_MS);
  c->response.type = DL_CLAIM_EV_UNAVAILABLE;
  if (result <= 2)
    c->applies = false;
  if (result == 2 || result == 3)
    c->response_is_lost = true;
  if (result == 3 && c->write)
    c->apply_ms = w->now_ms + random_below (w, LATE_MAX_MS);
}

static void
send_call (
    World *w, unsigned attempt, bool write, uint64_t revision, DlClaimState outcome)
{
  for (int i = 0; i < CALLS_MAX; i++)
    if (!w->calls[i].used)
      {
        w->calls[i] = (Call){
          .used = true,
          .write = write,
          .attempt = attempt,
          .revision = revision,
          .outcome = outcome,
        };
        choose_result (w, &w->calls[i]);
        return;
      }
  check (w, false, "the model has a free call");
}

static void
apply_write (World *w, Call *c)
{
  const Attempt *a = &w->attempts[c->attempt];

  c->response.type = DL_CLAIM_EV_CONFLICT;
  if (w->record.revision != c->revision)
    return;
  w->record = (DlClaimRecord){
    .revision = ++w->revision,
    .body = a->claim.body,
    .state = c->outcome,
  };
  memcpy (w->record.nonce, a->claim.nonce, sizeof w->record.nonce);
  c->response.type = DL_CLAIM_EV_WRITTEN;
  c->response.revision = w->revision;
}

static void
apply_call (World *w, Call *c)
{
  c->applied = true;
  if (c->write)
    {
      apply_write (w, c);
      return;
    }
  c->response.type = w->record.revision > 0 ? DL_CLAIM_EV_READ : DL_CLAIM_EV_ABSENT;
  c->response.record = w->record;
  c->response.seen_ms = w->now_ms;
}

/* -------- an attempt -------- */

static void
dispatch (World *w, Attempt *a)
{
  check (w, !a->dispatched, "an attempt dispatches once");
  check (w, w->now_ms < a->written_ms + DL_CLAIM_DISPATCH_MS,
         "nothing is dispatched after the deadline");
  check (w, !a->reported_not_run, "a call reported as not run never runs");
  a->dispatched = true;
  a->end_ms = w->now_ms + 1 + random_below (w, 300);
  a->outcome = (DlClaimState[]){ DL_CLAIM_NOT_RUN, DL_CLAIM_UNKNOWN,
                                 DL_CLAIM_DONE }[random_below (w, 3)];
  if (a->outcome == DL_CLAIM_NOT_RUN)
    return;
  a->ran = true;
  check (w, ++w->runs == 1, "at most one run for the key");
}

static void
write_claim (World *w, unsigned index, uint64_t revision)
{
  Attempt *a = &w->attempts[index];

  if (a->written_ms == 0 || a->written_revision != revision)
    a->written_ms = w->now_ms;
  a->written_revision = revision;
  send_call (w, index, true, revision, DL_CLAIM_CLAIMED);
}

static void
act (World *w, unsigned index, const DlClaimAction *action)
{
  Attempt *a = &w->attempts[index];

  switch (action->type)
    {
    case DL_CLAIM_ACT_CREATE:
    case DL_CLAIM_ACT_REPLACE:
      write_claim (w, index, action->revision);
      break;
    case DL_CLAIM_ACT_READ:
      send_call (w, index, false, 0, DL_CLAIM_CLAIMED);
      break;
    case DL_CLAIM_ACT_BACKOFF:
      a->wake_ms = w->now_ms + action->backoff_ms;
      break;
    case DL_CLAIM_ACT_DISPATCH:
      dispatch (w, a);
      break;
    case DL_CLAIM_ACT_RECORD:
      check (w, !a->ran || action->outcome != DL_CLAIM_NOT_RUN,
             "a call that ran is not recorded as not run");
      a->reported_not_run = a->reported_not_run || !a->dispatched;
      send_call (w, index, true, action->revision, action->outcome);
      break;
    case DL_CLAIM_ACT_REPLY_NOT_RUN:
      check (w, !a->ran, "a call reported as not run did not run");
      a->reported_not_run = true;
      break;
    default:
      break;
    }
}

static void
give_event (World *w, unsigned index, DlClaimEvent event)
{
  DlClaimAction action;

  event.now_ms = w->now_ms;
  action = dl_claim_step (&w->attempts[index].claim, &event);
  act (w, index, &action);
}

static void
start_attempt (World *w, unsigned index)
{
  char nonce[DL_CLAIM_NONCE_BYTES];
  DlDigest body = dl_digest (dl_str ("body"));

  g_snprintf (nonce, sizeof nonce, "attempt%u", index);
  dl_claim_init (&w->attempts[index].claim, nonce, &body);
  w->attempts[index].started = true;
  give_event (w, index, (DlClaimEvent){ .type = DL_CLAIM_EV_START });
}

static bool
is_awake (const World *w, const Attempt *a)
{
  return !a->crashed && w->now_ms >= a->frozen_until_ms;
}

static void
step_attempt (World *w, unsigned index)
{
  Attempt *a = &w->attempts[index];

  if (!a->started)
    {
      if (chance (w, 30))
        start_attempt (w, index);
      return;
    }
  if (chance (w, 2))
    a->crashed = true;
  if (chance (w, 10))
    a->frozen_until_ms = w->now_ms + random_below (w, FREEZE_MAX_MS);
  if (!is_awake (w, a))
    return;
  if (a->wake_ms > 0 && w->now_ms >= a->wake_ms)
    {
      a->wake_ms = 0;
      give_event (w, index, (DlClaimEvent){ .type = DL_CLAIM_EV_BACKOFF_OVER });
    }
  if (a->end_ms > 0 && w->now_ms >= a->end_ms)
    {
      a->end_ms = 0;
      give_event (w, index,
                  (DlClaimEvent){ .type = DL_CLAIM_EV_ENDED, .outcome = a->outcome });
    }
}

static void
step_call (World *w, Call *c)
{
  if (!c->used)
    return;
  if (c->applies && !c->applied && w->now_ms >= c->apply_ms)
    apply_call (w, c);
  if (!c->responded && w->now_ms >= c->response_ms
      && is_awake (w, &w->attempts[c->attempt]))
    {
      c->responded = true;
      if (c->response_is_lost)
        c->response.type = c->write ? DL_CLAIM_EV_WRITE_LOST : DL_CLAIM_EV_UNAVAILABLE;
      give_event (w, c->attempt, c->response);
    }
  if (c->responded && (c->applied || !c->applies))
    c->used = false;
}

static bool
run_schedule (uint64_t seed, unsigned *runs)
{
  static World w;

  w = (World){ .random = seed * 0x9e3779b97f4a7c15u + 1, .now_ms = 1 };
  for (int i = 0; i < STEPS && !w.failed; i++)
    {
      w.now_ms += random_below (&w, STEP_MAX_MS);
      for (unsigned a = 0; a < ATTEMPTS; a++)
        step_attempt (&w, a);
      for (int c = 0; c < CALLS_MAX; c++)
        step_call (&w, &w.calls[c]);
    }
  if (w.failed)
    fprintf (stderr, "  claim schedule of seed %lu\n", (unsigned long)seed);
  *runs += w.runs;
  return !w.failed;
}

static void
test_schedules (void)
{
  uint64_t first = unit_first_seed ("claim schedules", SEED_FIRST);
  unsigned runs = 0;
  bool holds = true;

  for (uint64_t seed = first; seed < first + SCHEDULES && holds; seed++)
    holds = run_schedule (seed, &runs);
  CU_ASSERT (holds);
  /* A state machine that never dispatches would have every property. */
  CU_ASSERT (runs > SCHEDULES / 2);
}

/* -------- tables -------- */

typedef struct
{
  const char *name;
  DlClaimState state;
  bool same_body;
  uint64_t age_ms;
  DlClaimActionType action;
} RepeatCase;

static const RepeatCase repeat_cases[] = {
  { "done", DL_CLAIM_DONE, true, 0, DL_CLAIM_ACT_REPLY_RECORD },
  { "unknown", DL_CLAIM_UNKNOWN, true, 0, DL_CLAIM_ACT_REPLY_UNKNOWN },
  { "in progress", DL_CLAIM_CLAIMED, true, DL_CLAIM_IN_PROGRESS_MS,
    DL_CLAIM_ACT_REPLY_IN_PROGRESS },
  { "abandoned", DL_CLAIM_CLAIMED, true, DL_CLAIM_IN_PROGRESS_MS + 1,
    DL_CLAIM_ACT_REPLY_UNKNOWN },
  { "not run", DL_CLAIM_NOT_RUN, true, 0, DL_CLAIM_ACT_REPLACE },
  { "other body, done", DL_CLAIM_DONE, false, 0, DL_CLAIM_ACT_REPLY_KEY_REUSED },
  { "other body, not run", DL_CLAIM_NOT_RUN, false, 0, DL_CLAIM_ACT_REPLY_KEY_REUSED },
};

static void
test_repeats (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (repeat_cases); i++)
    {
      const RepeatCase *c = &repeat_cases[i];
      DlDigest body = dl_digest (dl_str ("body"));
      DlDigest other = dl_digest (dl_str ("other"));
      DlClaim claim;
      DlClaimAction action;

      dl_claim_init (&claim, "mine", &body);
      dl_claim_step (&claim, &(DlClaimEvent){ .type = DL_CLAIM_EV_START, .now_ms = 1 });
      dl_claim_step (&claim,
                     &(DlClaimEvent){ .type = DL_CLAIM_EV_CONFLICT, .now_ms = 2 });
      action = dl_claim_step (&claim, &(DlClaimEvent){
                                          .type = DL_CLAIM_EV_READ,
                                          .now_ms = 3 + c->age_ms,
                                          .seen_ms = 3,
                                          .record = {
                                              .revision = 7,
                                              .nonce = "other",
                                              .body = c->same_body ? body : other,
                                              .state = c->state,
                                          },
                                      });
      if (action.type != c->action)
        fprintf (stderr, "  case \"%s\"\n", c->name);
      CU_ASSERT_EQUAL (action.type, c->action);
      CU_ASSERT (action.type != DL_CLAIM_ACT_REPLACE || action.revision == 7);
    }
}

static void
test_names (void)
{
  char a[DL_DIGEST_HEX_BYTES];
  char b[DL_DIGEST_HEX_BYTES];

  dl_claim_name (dl_str ("ab"), dl_str ("c"), dl_str ("d"), a);
  dl_claim_name (dl_str ("a"), dl_str ("bc"), dl_str ("d"), b);
  CU_ASSERT (strcmp (a, b) != 0);
  dl_claim_name (dl_str ("ab"), dl_str ("c"), dl_str ("d"), b);
  unit_assert_text (a, b);
}

/* Guards against a call that is dispatched after its caller was told that it did not run.
 */
static void
test_closed_claims_dispatch_nothing (void)
{
  const DlDigest body = { 0 };
  DlClaim claim;
  DlClaimAction action;

  dl_claim_init (&claim, "n", &body);
  action
      = dl_claim_step (&claim, &(DlClaimEvent){ .type = DL_CLAIM_EV_START, .now_ms = 1 });
  CU_ASSERT_EQUAL (action.type, DL_CLAIM_ACT_CREATE);
  dl_claim_close (&claim);
  action = dl_claim_step (&claim, &(DlClaimEvent){ .type = DL_CLAIM_EV_WRITTEN,
                                                   .now_ms = 2,
                                                   .revision = 7 });
  CU_ASSERT_EQUAL (action.type, DL_CLAIM_ACT_RECORD);
  CU_ASSERT_EQUAL (action.outcome, DL_CLAIM_NOT_RUN);
}

static const CU_TestInfo claim_tests[] = {
  { "seeded schedules", test_schedules },
  { "repeated keys", test_repeats },
  { "object names", test_names },
  { "a closed claim dispatches nothing", test_closed_claims_dispatch_nothing },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("claim", claim_tests)
