/*
 * Tests of the proof that an engine took sound weights.
 *
 * Tables show each transition.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "policy/load_proof.h"
#include "unit.h"

/* -------- tables -------- */

#define START_1 71
#define START_2 72

typedef enum
{
  EV_END,
  EV_REPORT,       /* START, LOADS; with weights */
  EV_REPORT_BUSY,  /* the same, with a command in progress and no weights yet */
  EV_REPORT_EMPTY, /* the same, without weights */
  EV_REPORT_OLD,   /* the same, asked for 2 ms before */
  EV_SENT,         /* a command */
  EV_ACCEPTED,     /* its response */
  EV_ACCEPTED_UNLOAD,
  EV_REFUSED,
  EV_GIVEN_UP,
  EV_WRITE,
  EV_WRITE_LOST,
  EV_SOUND, /* a check ended */
  EV_BAD,
  EV_RECORD, /* of START, LOADS */
  EV_NO_RECORD,
} EventType;

typedef struct
{
  EventType type;
  uint64_t start;
  uint64_t loads;
} Event;

#define EVENTS_MAX 12

/* Events 1 ms apart, the first at 1 ms, and what is known after them. */
typedef struct
{
  const char *name;
  Event events[EVENTS_MAX];
  DlWeightsState state;
  DlProofChange change; /* of the last report */
  uint64_t loads;
  uint64_t accepted_ms;
} ProofCase;

static const ProofCase proof_cases[] = {
  { "first report, weights given at the start",
    { { EV_REPORT, START_1, 0 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    0,
    1 },
  { "first report, no weights",
    { { EV_REPORT_EMPTY, START_1, 3 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    3,
    1 },
  { "first report, weights that a command loaded",
    { { EV_REPORT, START_1, 3 } },
    DL_WEIGHTS_UNKNOWN,
    DL_PROOF_NEW_ENGINE,
    3,
    1 },
  { "first report, a command in progress",
    { { EV_REPORT_BUSY, START_1, 1 } },
    DL_WEIGHTS_UNKNOWN,
    DL_PROOF_NEW_ENGINE,
    1,
    1 },
  { "first report of an engine whose process start is unknown",
    { { EV_REPORT, 0, 1 } },
    DL_WEIGHTS_UNKNOWN,
    DL_PROOF_NEW_ENGINE,
    1,
    1 },
  { "recorded as sound",
    { { EV_REPORT, START_1, 3 }, { EV_RECORD, START_1, 3 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    3,
    1 },
  { "recorded as sound, the record read first",
    { { EV_RECORD, START_1, 3 }, { EV_REPORT, START_1, 3 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    3,
    2 },
  { "the record is of an earlier load",
    { { EV_REPORT, START_1, 3 }, { EV_RECORD, START_1, 2 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_NEW_ENGINE,
    3,
    1 },
  { "the record is of another process of the engine",
    { { EV_RECORD, START_2, 3 }, { EV_REPORT, START_1, 3 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_NEW_ENGINE,
    3,
    2 },
  { "a record of an engine whose process start is unknown",
    { { EV_REPORT, 0, 1 }, { EV_RECORD, 0, 1 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_NEW_ENGINE,
    1,
    1 },
  { "no record",
    { { EV_REPORT, START_1, 3 }, { EV_NO_RECORD } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_NEW_ENGINE,
    3,
    1 },
  { "no record of weights that no command loaded",
    { { EV_NO_RECORD }, { EV_REPORT, START_1, 0 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    0,
    2 },
  { "no check makes weights sound that are not recorded",
    { { EV_REPORT, START_1, 3 }, { EV_SOUND } },
    DL_WEIGHTS_UNKNOWN,
    DL_PROOF_NEW_ENGINE,
    3,
    1 },
  { "the engine has started again before the record was read",
    { { EV_REPORT, START_1, 3 }, { EV_REPORT_EMPTY, START_2, 0 }, { EV_NO_RECORD } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    0,
    2 },
  { "a predecessor's command, seen late, before the record was read",
    { { EV_REPORT, START_1, 1 }, { EV_REPORT, START_1, 2 }, { EV_RECORD, START_1, 1 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_ACCEPTED_LATE,
    2,
    2 },
  { "a late write, beside one of a predecessor that may have landed before",
    { { EV_REPORT_EMPTY, START_1, 0 },
      { EV_WRITE },
      { EV_WRITE_LOST },
      { EV_SENT },
      { EV_ACCEPTED },
      { EV_SOUND } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_NEW_ENGINE,
    1,
    5 },
  { "the same report again",
    { { EV_REPORT, START_1, 3 }, { EV_REPORT, START_1, 3 } },
    DL_WEIGHTS_UNKNOWN,
    DL_PROOF_UNCHANGED,
    3,
    1 },
  { "started again with another count",
    { { EV_REPORT, START_1, 3 }, { EV_RECORD, START_1, 3 }, { EV_REPORT, START_2, 0 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    0,
    3 },
  { "started again with the same count",
    { { EV_REPORT, START_1, 1 }, { EV_RECORD, START_1, 1 }, { EV_REPORT, START_2, 1 } },
    DL_WEIGHTS_UNCHECKED,
    DL_PROOF_NEW_ENGINE,
    1,
    3 },
  { "spoilt weights went with the engine's process",
    { { EV_REPORT, START_1, 1 }, { EV_NO_RECORD }, { EV_REPORT_EMPTY, START_2, 0 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    0,
    3 },
  { "a report from before the acceptance comes after it",
    { { EV_REPORT_EMPTY, START_1, 0 },
      { EV_SENT },
      { EV_ACCEPTED },
      { EV_REPORT_OLD, START_1, 0 } },
    DL_WEIGHTS_UNCHECKED,
    DL_PROOF_UNCHANGED,
    1,
    3 },
  { "a lower count after the acceptance is that of a new engine",
    { { EV_REPORT_EMPTY, START_1, 0 },
      { EV_SENT },
      { EV_ACCEPTED },
      { EV_REPORT_EMPTY, START_1, 0 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    0,
    4 },
  { "written while unchecked, then found sound",
    { { EV_REPORT_EMPTY, START_1, 0 },
      { EV_SENT },
      { EV_ACCEPTED },
      { EV_WRITE },
      { EV_SOUND } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_NEW_ENGINE,
    1,
    3 },
  { "accepted, checked and sound",
    { { EV_REPORT_EMPTY, START_1, 0 }, { EV_SENT }, { EV_ACCEPTED }, { EV_SOUND } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    1,
    3 },
  { "accepted, checked and bad",
    { { EV_REPORT_EMPTY, START_1, 0 }, { EV_SENT }, { EV_ACCEPTED }, { EV_BAD } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_NEW_ENGINE,
    1,
    3 },
  { "a later check does not make spoilt weights sound",
    { { EV_REPORT_EMPTY, START_1, 0 },
      { EV_SENT },
      { EV_ACCEPTED },
      { EV_BAD },
      { EV_SOUND } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_NEW_ENGINE,
    1,
    3 },
  { "a later check does not make sound weights spoilt",
    { { EV_REPORT_EMPTY, START_1, 0 },
      { EV_SENT },
      { EV_ACCEPTED },
      { EV_SOUND },
      { EV_BAD } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    1,
    3 },
  { "refused",
    { { EV_REPORT, START_1, 0 },
      { EV_SENT },
      { EV_REFUSED },
      { EV_WRITE },
      { EV_REPORT, START_1, 0 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_UNCHANGED,
    0,
    1 },
  { "given up, not accepted yet",
    { { EV_REPORT, START_1, 0 },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_WRITE },
      { EV_REPORT, START_1, 0 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_UNCHANGED,
    0,
    1 },
  { "given up, then seen late",
    { { EV_REPORT, START_2, 0 },
      { EV_REPORT_EMPTY, START_1, 0 },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_REPORT_BUSY, START_1, 1 } },
    DL_WEIGHTS_UNCHECKED,
    DL_PROOF_ACCEPTED_LATE,
    1,
    5 },
  { "given up, then seen late by a stager that knows no engine's start",
    { { EV_REPORT_EMPTY, START_1, 0 },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_REPORT_BUSY, START_1, 1 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_ACCEPTED_LATE,
    1,
    4 },
  { "given up, a write, then seen late",
    { { EV_REPORT, START_2, 0 },
      { EV_REPORT, START_1, 0 },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_WRITE },
      { EV_REPORT, START_1, 1 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_ACCEPTED_LATE,
    1,
    6 },
  { "given up, a write, refused the second time, then seen late",
    { { EV_REPORT, START_2, 0 },
      { EV_REPORT, START_1, 0 },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_WRITE },
      { EV_SENT },
      { EV_REFUSED },
      { EV_REPORT, START_1, 1 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_ACCEPTED_LATE,
    1,
    8 },
  { "given up, a write, and the second command was the one accepted",
    { { EV_REPORT, START_1, 0 },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_WRITE },
      { EV_SENT },
      { EV_ACCEPTED } },
    DL_WEIGHTS_UNCHECKED,
    DL_PROOF_NEW_ENGINE,
    1,
    6 },
  { "of a second command the report comes before the response",
    { { EV_REPORT, START_1, 0 },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_WRITE },
      { EV_SENT },
      { EV_REPORT, START_1, 1 },
      { EV_ACCEPTED } },
    DL_WEIGHTS_UNCHECKED,
    DL_PROOF_ACCEPTED_LATE,
    1,
    7 },
  { "a write of one count does no harm to the next",
    { { EV_REPORT, START_2, 0 },
      { EV_REPORT, START_1, 0 },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_WRITE },
      { EV_SENT },
      { EV_ACCEPTED },
      { EV_SOUND },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_REPORT, START_1, 2 } },
    DL_WEIGHTS_UNCHECKED,
    DL_PROOF_ACCEPTED_LATE,
    2,
    11 },
  { "a lost write that may land after the unseen acceptance",
    { { EV_REPORT, START_2, 0 },
      { EV_REPORT, START_1, 1 },
      { EV_SOUND },
      { EV_WRITE },
      { EV_WRITE_LOST },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_REPORT, START_1, 2 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_ACCEPTED_LATE,
    2,
    8 },
  { "a predecessor's command, seen late",
    { { EV_REPORT, START_1, 1 }, { EV_RECORD, START_1, 1 }, { EV_REPORT, START_1, 2 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_ACCEPTED_LATE,
    2,
    3 },
  { "the report comes before the response",
    { { EV_REPORT_EMPTY, START_1, 0 },
      { EV_SENT },
      { EV_REPORT_BUSY, START_1, 1 },
      { EV_ACCEPTED } },
    DL_WEIGHTS_UNCHECKED,
    DL_PROOF_ACCEPTED_LATE,
    1,
    4 },
  { "the count has moved on before the response",
    { { EV_REPORT_EMPTY, START_1, 0 },
      { EV_SENT },
      { EV_REPORT, START_1, 2 },
      { EV_ACCEPTED } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_ACCEPTED_LATE,
    2,
    3 },
  { "the engine has started again before the response",
    { { EV_REPORT_EMPTY, START_1, 0 },
      { EV_SENT },
      { EV_REPORT_EMPTY, START_2, 0 },
      { EV_ACCEPTED } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_NEW_ENGINE,
    0,
    3 },
  { "a command and a write went to an engine that had started again unseen",
    { { EV_REPORT_EMPTY, START_1, 0 },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_WRITE },
      { EV_REPORT, START_2, 1 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_NEW_ENGINE,
    1,
    5 },
  { "a lost write went to an engine that had started again unseen",
    { { EV_REPORT, START_2, 0 },
      { EV_REPORT, START_1, 1 },
      { EV_SOUND },
      { EV_WRITE },
      { EV_WRITE_LOST },
      { EV_REPORT, START_2, 0 },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_REPORT, START_2, 1 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_ACCEPTED_LATE,
    1,
    9 },
  { "a lost write went with the engine to which it was sent",
    { { EV_REPORT, START_2, 0 },
      { EV_REPORT, START_1, 1 },
      { EV_SOUND },
      { EV_WRITE },
      { EV_WRITE_LOST },
      { EV_REPORT, START_1, 1 },
      { EV_REPORT, START_2, 0 },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_REPORT, START_2, 1 } },
    DL_WEIGHTS_UNCHECKED,
    DL_PROOF_ACCEPTED_LATE,
    1,
    10 },
  { "unload accepted, weights not given up yet",
    { { EV_REPORT, START_1, 1 },
      { EV_NO_RECORD },
      { EV_SENT },
      { EV_ACCEPTED_UNLOAD },
      { EV_REPORT, START_1, 2 } },
    DL_WEIGHTS_SPOILT,
    DL_PROOF_UNCHANGED,
    2,
    4 },
  { "unload accepted, weights given up",
    { { EV_REPORT, START_1, 1 },
      { EV_NO_RECORD },
      { EV_SENT },
      { EV_ACCEPTED_UNLOAD },
      { EV_REPORT_EMPTY, START_1, 2 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_UNCHANGED,
    2,
    4 },
  { "unload given up, seen late",
    { { EV_REPORT, START_1, 1 },
      { EV_NO_RECORD },
      { EV_SENT },
      { EV_GIVEN_UP },
      { EV_REPORT_EMPTY, START_1, 2 } },
    DL_WEIGHTS_SOUND,
    DL_PROOF_ACCEPTED_LATE,
    2,
    5 },
};

static DlProofChange
apply_report (DlLoadProof *proof, const Event *e, uint64_t now_ms)
{
  return dl_load_proof_report (proof, &(DlProofReport){
                                          .started_ms = e->start,
                                          .loads = e->loads,
                                          .has_weights = e->type == EV_REPORT,
                                          .busy = e->type == EV_REPORT_BUSY,
                                          .asked_ms
                                          = now_ms - (e->type == EV_REPORT_OLD ? 2 : 0),
                                          .now_ms = now_ms,
                                      });
}

static void
apply_event (DlLoadProof *proof, const Event *e, uint64_t now_ms, DlProofChange *change)
{
  switch (e->type)
    {
    case EV_END:
      break;
    case EV_REPORT:
    case EV_REPORT_BUSY:
    case EV_REPORT_EMPTY:
    case EV_REPORT_OLD:
      *change = apply_report (proof, e, now_ms);
      break;
    case EV_SENT:
      dl_load_proof_command_sent (proof, now_ms);
      break;
    case EV_ACCEPTED:
    case EV_ACCEPTED_UNLOAD:
      dl_load_proof_accepted (proof, e->type == EV_ACCEPTED_UNLOAD, now_ms - 1, now_ms);
      break;
    case EV_REFUSED:
      dl_load_proof_refused (proof);
      break;
    case EV_GIVEN_UP:
      dl_load_proof_given_up (proof);
      break;
    case EV_WRITE:
      dl_load_proof_write_sent (proof, 1);
      break;
    case EV_WRITE_LOST:
      dl_load_proof_write_lost (proof, now_ms - 1);
      break;
    case EV_SOUND:
    case EV_BAD:
      dl_load_proof_checked (proof, e->type == EV_SOUND);
      break;
    case EV_RECORD:
    case EV_NO_RECORD:
      dl_load_proof_recorded (proof, &(DlSoundLoad){ .known = e->type == EV_RECORD,
                                                     .started_ms = e->start,
                                                     .loads = e->loads });
      break;
    }
}

static void
test_transitions (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (proof_cases); i++)
    {
      const ProofCase *c = &proof_cases[i];
      DlLoadProof proof = { 0 };
      DlProofChange change = DL_PROOF_UNCHANGED;

      for (unsigned e = 0; e < EVENTS_MAX && c->events[e].type != EV_END; e++)
        apply_event (&proof, &c->events[e], e + 1, &change);
      if (proof.state != c->state || change != c->change || proof.loads != c->loads
          || proof.accepted_ms != c->accepted_ms)
        fprintf (stderr, "  case \"%s\"\n", c->name);
      CU_ASSERT_EQUAL (proof.state, c->state);
      CU_ASSERT_EQUAL (change, c->change);
      CU_ASSERT_EQUAL (proof.loads, c->loads);
      CU_ASSERT_EQUAL (proof.accepted_ms, c->accepted_ms);
    }
}

static void
test_writes_are_held_back (void)
{
  DlLoadProof proof = { 0 };

  CU_ASSERT (!dl_load_proof_may_write (&proof, 1, false));
  dl_load_proof_report (&proof, &(DlProofReport){ .started_ms = START_1, .now_ms = 1 });
  CU_ASSERT (dl_load_proof_may_write (&proof, 1, true));
  dl_load_proof_command_sent (&proof, 1);
  CU_ASSERT (!dl_load_proof_may_write (&proof, 1, false));
  dl_load_proof_given_up (&proof);
  CU_ASSERT (dl_load_proof_may_write (&proof, 1, true));
  dl_load_proof_command_sent (&proof, 1);
  dl_load_proof_refused (&proof);
  CU_ASSERT (dl_load_proof_may_write (&proof, 1, true));
  dl_load_proof_command_sent (&proof, 1);
  dl_load_proof_accepted (&proof, false, 1, 2);
  CU_ASSERT (!dl_load_proof_may_write (&proof, 1, false));
  CU_ASSERT (dl_load_proof_may_write (&proof, 1, true));
  dl_load_proof_checked (&proof, true);
  CU_ASSERT (dl_load_proof_may_write (&proof, 1, true));
}

/* A late write may land over a chunk of a newer version after that was proven. */
static void
test_versions_are_not_staged_at_once (void)
{
  DlLoadProof proof = { 0 };

  dl_load_proof_report (&proof, &(DlProofReport){ .started_ms = START_1, .now_ms = 1 });
  CU_ASSERT (dl_load_proof_may_write (&proof, 1, false));
  dl_load_proof_write_sent (&proof, 1);
  dl_load_proof_write_sent (&proof, 1);
  dl_load_proof_write_lost (&proof, 1);
  CU_ASSERT (dl_load_proof_may_write (&proof, 1, false));
  CU_ASSERT (!dl_load_proof_may_write (&proof, 2, false));
  CU_ASSERT (!dl_load_proof_may_write (&proof, 2, true));
  dl_load_proof_write_ended (&proof);
  CU_ASSERT (!dl_load_proof_may_write (&proof, 2, false));
  dl_load_proof_write_ended (&proof);
  CU_ASSERT (dl_load_proof_may_write (&proof, 2, false));
  dl_load_proof_write_sent (&proof, 2);
  CU_ASSERT (!dl_load_proof_may_write (&proof, 1, false));
}

/* The record names a load that an engine which counts anew has yet to accept. */
static void
test_commands_wait_for_the_record (void)
{
  DlLoadProof proof = { 0 };
  DlSoundLoad record = { .known = true, .started_ms = START_1, .loads = 1 };

  dl_load_proof_report (&proof, &(DlProofReport){ .started_ms = START_1, .now_ms = 1 });
  CU_ASSERT (dl_load_proof_may_command (&proof));
  dl_load_proof_recorded (&proof, &record);
  CU_ASSERT (!dl_load_proof_may_command (&proof));
  record.loads = 0;
  dl_load_proof_recorded (&proof, &record);
  CU_ASSERT (dl_load_proof_may_command (&proof));
  record = (DlSoundLoad){ .known = true, .started_ms = START_2, .loads = 1 };
  dl_load_proof_recorded (&proof, &record);
  CU_ASSERT (dl_load_proof_may_command (&proof));
}

#define DRAINING_MS 10000

static void
test_age_of_reads (void)
{
  static const struct
  {
    uint64_t now_ms; /* after DRAINING_MS */
    uint64_t from_ms;
  } cases[] = {
    { 0, 0 },
    { DL_LOAD_PROOF_MAX_AGE_MS - 1, 0 },
    { DL_LOAD_PROOF_MAX_AGE_MS, DL_LOAD_PROOF_MAX_AGE_MS },
    { 100 * DL_LOAD_PROOF_MAX_AGE_MS - 1, 99 * DL_LOAD_PROOF_MAX_AGE_MS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_EQUAL (dl_load_proof_reads_from_ms (DRAINING_MS,
                                                  DRAINING_MS + cases[i].now_ms),
                     DRAINING_MS + cases[i].from_ms);
  CU_ASSERT_EQUAL (dl_load_proof_reads_from_ms (0, 0), 0);
}

static void
test_entry_remembers_sound_load (void)
{
  DlSoundLoad sound = { 0 };

  CU_ASSERT (!dl_sound_load_told (&sound, 0, 0, true));
  CU_ASSERT (!dl_sound_load_told (&sound, START_1, 1, true));
  CU_ASSERT (dl_sound_load_told (&sound, START_1, 1, false));
  CU_ASSERT (dl_sound_load_told (&sound, START_1, 1, true));
  CU_ASSERT (!dl_sound_load_told (&sound, START_1, 2, true));
  CU_ASSERT (!dl_sound_load_told (&sound, START_2, 1, true));
  CU_ASSERT (dl_sound_load_told (&sound, START_1, 1, true));
  CU_ASSERT (dl_sound_load_told (&sound, START_2, 0, false));
  CU_ASSERT (!dl_sound_load_told (&sound, START_1, 1, true));
}

static const CU_TestInfo tests[] = {
  { "transitions", test_transitions },
  { "writes that could hide what was taken", test_writes_are_held_back },
  { "two versions are not staged at once", test_versions_are_not_staged_at_once },
  { "commands wait for the record", test_commands_wait_for_the_record },
  { "age of the reads before a command", test_age_of_reads },
  { "an entry remembers a sound load", test_entry_remembers_sound_load },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("load proof", tests)
