/* Tests of admission control and of the retry budget. */
#include <glib.h>
#include <stdio.h>

#include "policy/admit.h"
#include "policy/retry.h"
#include "unit.h"

#define ENTRIES 8
#define LIMIT   100
#define SPAN_MS 10000

/* The shares of entries that agree on the demand add up to the limit. */
static void
test_shares (void)
{
  static const uint64_t demands[ENTRIES] = { 0, 1, 2, 500, 0, 7, 90, 400 };
  uint64_t sum_u = 0;

  for (int i = 0; i < ENTRIES; i++)
    {
      const DlAdmitShare share = {
        .limit_per_s = LIMIT,
        .entries = ENTRIES,
        .own_demand = demands[i],
        .all_demand = 1000,
      };

      sum_u += dl_admit_rate_micro (&share);
    }
  CU_ASSERT (sum_u <= LIMIT * 1000000ull + ENTRIES);
  CU_ASSERT (sum_u >= LIMIT * 1000000ull - 1000);
}

/* No more requests are admitted than the burst and the rate allow.  At the retry time of
 * a refusal a token is available. */
static void
test_bucket (void)
{
  const DlAdmitShare share = { .limit_per_s = LIMIT, .burst = 50, .entries = 1 };
  DlAdmitBucket bucket = { 0 };
  unsigned admitted = 0;

  for (uint64_t now = 0; now < SPAN_MS; now++)
    {
      uint64_t wait_ms = dl_admit_take_token (&bucket, &share, now);
      DlAdmitBucket later = bucket;

      if (wait_ms == 0)
        admitted++;
      else
        CU_ASSERT_EQUAL (dl_admit_take_token (&later, &share, now + wait_ms), 0);
    }
  CU_ASSERT (admitted <= 50 + LIMIT * SPAN_MS / 1000);
  CU_ASSERT (admitted >= LIMIT * SPAN_MS / 1000);
}

static void
test_small_share_admits_some (void)
{
  const DlAdmitShare share = { .limit_per_s = 1, .burst = 1, .entries = 400 };
  DlAdmitBucket bucket = { 0 };

  CU_ASSERT_EQUAL (dl_admit_take_token (&bucket, &share, 0), 0);
  CU_ASSERT (dl_admit_take_token (&bucket, &share, 1) > 0);
}

typedef struct
{
  const char *name;
  DlAdmitQuery query;
  DlAdmitDecision decision;
} SlotCase;

#define SLOTS 100

static const SlotCase slot_cases[] = {
  { "no upstream", { .slots = 0, .weight = 1 }, DL_ADMIT_FULL },
  { "more than its share while nothing queues",
    { .slots = SLOTS,
      .capacity = 60,
      .weight = 1,
      .active_weight = 4,
      .priorities = 3,
      .used = 65,
      .own_used = 65,
      .held = 65 },
    DL_ADMIT_ACCEPT },
  { "idle",
    { .slots = SLOTS, .capacity = 60, .weight = 1, .active_weight = 2, .priorities = 3 },
    DL_ADMIT_ACCEPT },
  { "one organisation may use idle slots",
    { .slots = SLOTS,
      .capacity = 60,
      .weight = 1,
      .active_weight = 2,
      .priorities = 3,
      .used = 60,
      .own_used = 60,
      .held = 60 },
    DL_ADMIT_ACCEPT },
  { "its share under contention",
    { .slots = SLOTS,
      .capacity = 60,
      .weight = 1,
      .active_weight = 2,
      .priorities = 3,
      .used = 80,
      .own_used = 80,
      .held = 50 },
    DL_ADMIT_SHARE },
  { "below its share under contention",
    { .slots = SLOTS,
      .capacity = 60,
      .weight = 1,
      .active_weight = 2,
      .priorities = 3,
      .used = 80,
      .own_used = 80,
      .held = 30 },
    DL_ADMIT_ACCEPT },
  { "alone under contention",
    { .slots = SLOTS,
      .capacity = 60,
      .weight = 1,
      .active_weight = 1,
      .priorities = 3,
      .used = 80,
      .own_used = 80,
      .held = 80 },
    DL_ADMIT_ACCEPT },
  { "by weight",
    { .slots = SLOTS,
      .capacity = 60,
      .weight = 3,
      .active_weight = 4,
      .priorities = 3,
      .used = 80,
      .own_used = 80,
      .held = 60 },
    DL_ADMIT_ACCEPT },
  { "least urgent",
    { .slots = SLOTS,
      .capacity = 60,
      .weight = 1,
      .active_weight = 2,
      .priorities = 3,
      .used = 86,
      .priority = 2 },
    DL_ADMIT_PRIORITY },
  { "middle",
    { .slots = SLOTS,
      .capacity = 60,
      .weight = 1,
      .active_weight = 2,
      .priorities = 3,
      .used = 86,
      .priority = 1 },
    DL_ADMIT_ACCEPT },
  { "most urgent",
    { .slots = SLOTS,
      .capacity = 60,
      .weight = 1,
      .active_weight = 2,
      .priorities = 3,
      .used = 99,
      .priority = 0 },
    DL_ADMIT_ACCEPT },
  { "full for all",
    { .slots = SLOTS,
      .capacity = 60,
      .weight = 1,
      .active_weight = 2,
      .priorities = 3,
      .used = 100,
      .priority = 0 },
    DL_ADMIT_FULL },
};

static void
test_slots (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (slot_cases); i++)
    {
      const SlotCase *c = &slot_cases[i];
      DlAdmitDecision decision = dl_admit_check (&c->query);

      if (decision != c->decision)
        fprintf (stderr, "  case \"%s\": got %d\n", c->name, (int)decision);
      CU_ASSERT_EQUAL (decision, c->decision);
    }
}

/* One organisation sends requests all the time, another now and then: the second still
 * gets slots. */
static void
test_burst_does_not_starve_others (void)
{
  unsigned held[2] = { 0, 0 };
  unsigned refused = 0;

  for (unsigned i = 0; i < 5000; i++)
    {
      unsigned sender = i % 20 == 0;
      const DlAdmitQuery query = {
        .slots = 40,
        .capacity = 20,
        .used = held[0] + held[1],
        .own_used = held[0] + held[1],
        .held = held[sender],
        .weight = 1,
        .active_weight = 2,
        .priorities = 1,
      };

      if (dl_admit_check (&query) == DL_ADMIT_ACCEPT)
        held[sender]++;
      else
        refused += sender;
      /* An overload: one request ends for every two that arrive. */
      if (i % 2 == 0)
        {
          unsigned ends = held[1] > 0 && i % 20 == 10;

          held[ends] -= held[ends] > 0;
        }
    }
  CU_ASSERT (refused * 10 < 5000 / 20);
}

static void
test_retry_budget (void)
{
  DlRetryBudget budget;
  unsigned retries = 0;

  dl_retry_init (&budget);
  for (unsigned i = 0; i < 1000; i++)
    {
      dl_retry_first_attempt (&budget, 10);
      /* Every attempt fails and asks for two retries. */
      retries += dl_retry_spend (&budget, 10);
      retries += dl_retry_spend (&budget, 10);
    }
  CU_ASSERT (retries <= 1000 / 10 + DL_RETRY_CAP);
  CU_ASSERT (retries >= 1000 / 10);
  dl_retry_init (&budget);
  CU_ASSERT_FALSE (dl_retry_spend (&budget, 0));
}

static const CU_TestInfo admit_tests[] = {
  { "shares of the limit", test_shares },
  { "token bucket", test_bucket },
  { "smallest share", test_small_share_admits_some },
  { "places", test_slots },
  { "a burst does not starve others", test_burst_does_not_starve_others },
  { "retry budget", test_retry_budget },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("admit", admit_tests)
