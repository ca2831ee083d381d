/* What upstreams announce in their responses, and which instance it holds for. */
#include <glib.h>

#include "policy/availability.h"
#include "unit.h"

static void
test_leaving (void)
{
  DlAvailability a = { 0 };

  CU_ASSERT_TRUE (dl_availability_allows (&a));
  CU_ASSERT_FALSE (dl_availability_is_restricted (&a));
  CU_ASSERT_TRUE (dl_availability_leave (&a));
  CU_ASSERT_FALSE (dl_availability_leave (&a));
  CU_ASSERT_FALSE (dl_availability_allows (&a));
  CU_ASSERT_TRUE (dl_availability_is_restricted (&a));
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

static const CU_TestInfo tests[] = {
  { "leaving", test_leaving },
  { "instances", test_instances },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("availability", tests)
