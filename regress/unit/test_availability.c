/* What upstreams announce in their responses, and which instance it holds for. */
#include <glib.h>

#include "policy/availability.h"
#include "unit.h"

#define NOW_MS 10000

static void
test_leaving (void)
{
  DlAvailability a = { 0 };

  CU_ASSERT_TRUE (dl_availability_allows (&a, NOW_MS));
  CU_ASSERT_TRUE (dl_availability_leave (&a));
  CU_ASSERT_FALSE (dl_availability_leave (&a));
  CU_ASSERT_FALSE (dl_availability_allows (&a, NOW_MS));
}

typedef struct
{
  uint64_t until_ms; /* end of the hold-off before */
  uint64_t asked_ms;
  bool began;
  uint64_t left_ms;
} HoldOffCase;

static const HoldOffCase hold_off_cases[] = {
  { 0, 0, false, 0 },
  { 0, 1, true, 1 },
  { 0, 5000, true, 5000 },
  { NOW_MS, 200, true, 200 },
  { NOW_MS + 1, 200, false, 200 },
  { NOW_MS + 900, 200, false, 900 },
  { 0, DL_HOLD_OFF_MAX_MS + 1, true, DL_HOLD_OFF_MAX_MS },
  { 0, UINT64_MAX, true, DL_HOLD_OFF_MAX_MS },
};

static void
test_hold_off (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (hold_off_cases); i++)
    {
      const HoldOffCase *c = &hold_off_cases[i];
      DlAvailability a = { .hold_until_ms = c->until_ms };

      CU_ASSERT_EQUAL (dl_availability_hold_off (&a, c->asked_ms, NOW_MS), c->began);
      CU_ASSERT_EQUAL (dl_availability_hold_ms (&a, NOW_MS), c->left_ms);
      CU_ASSERT_EQUAL (dl_availability_allows (&a, NOW_MS), c->left_ms == 0);
      CU_ASSERT_TRUE (dl_availability_allows (&a, NOW_MS + c->left_ms));
    }
}

/* Callers are told to return after the end of the hold-off, not all at once. */
static void
test_retry_after_hold_off (void)
{
  CU_ASSERT_EQUAL (dl_availability_retry_ms (700, 0), 700);
  CU_ASSERT_NOT_EQUAL (dl_availability_retry_ms (700, 1),
                       dl_availability_retry_ms (700, 2));
  CU_ASSERT_TRUE (dl_availability_retry_ms (700, UINT64_MAX) < 1700);
}

typedef struct
{
  uint64_t known_ms;
  uint64_t listed_ms;
  bool is_new;
  bool is_same;
} InstanceCase;

static const InstanceCase instance_cases[] = {
  { 0, 0, false, true }, { 0, 5, false, true }, { 5, 0, false, true },
  { 5, 5, false, true }, { 5, 6, true, false }, { 6, 5, false, false },
};

static void
test_instances (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (instance_cases); i++)
    {
      const InstanceCase *c = &instance_cases[i];

      CU_ASSERT_EQUAL (dl_availability_is_new_instance (c->known_ms, c->listed_ms),
                       c->is_new);
      CU_ASSERT_EQUAL (dl_availability_is_same_instance (c->known_ms, c->listed_ms),
                       c->is_same);
    }
}

typedef struct
{
  DlAddressClaim claim;
  DlAddressClaim rival;
  bool is_displaced;
} ClaimCase;

static const ClaimCase claim_cases[] = {
  /* Neither has responded: which of them is there is not known. */
  { { 5, 0 }, { 9, 0 }, false },
  { { 9, 0 }, { 5, 0 }, false },
  /* The rival responded, but before the other one was listed. */
  { { 9, 0 }, { 5, 8 }, false },
  { { 9, 0 }, { 5, 9 }, false },
  /* And after it. */
  { { 9, 0 }, { 5, 10 }, true },
  { { 5, 8 }, { 9, 10 }, true },
  /* The other one responded later. */
  { { 9, 11 }, { 5, 10 }, false },
  { { 5, 10 }, { 9, 10 }, false },
};

static void
test_claims_to_one_address (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (claim_cases); i++)
    {
      const ClaimCase *c = &claim_cases[i];

      CU_ASSERT_EQUAL (dl_availability_is_displaced (&c->claim, &c->rival),
                       c->is_displaced);
      CU_ASSERT_FALSE (dl_availability_is_displaced (&c->claim, &c->rival)
                       && dl_availability_is_displaced (&c->rival, &c->claim));
    }
}

static const CU_TestInfo tests[] = {
  { "leaving", test_leaving },
  { "hold-off", test_hold_off },
  { "retry after a hold-off", test_retry_after_hold_off },
  { "instances", test_instances },
  { "claims to one address", test_claims_to_one_address },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("availability", tests)
