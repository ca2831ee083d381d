/* Manifests that are spoilt, and chunks that do not match them. */
#include <glib.h>

#include "policy/manifest_digests.h"
#include "unit.h"

#define HEX16 "0123456789abcdef"
#define SOUND HEX16 HEX16 HEX16 HEX16
#define UPPER "0123456789ABCDEF" HEX16 HEX16 HEX16
#define OTHER "1123456789abcdef" HEX16 HEX16 HEX16

typedef struct
{
  const char *digest;
  unsigned expected; /* chunks of a version; two are listed */
  bool is_valid;
} ListCase;

static const ListCase list_cases[] = {
  { SOUND, 0, true },  { SOUND, 2, true },      { SOUND, 1, false },
  { SOUND, 3, false }, { UPPER, 2, true },      { "", 2, false },
  { HEX16, 2, false }, { SOUND "0", 2, false }, { HEX16 HEX16 HEX16 "g", 0, false },
};

static void
test_lists (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (list_cases); i++)
    {
      const ListCase *c = &list_cases[i];
      const char *digests[] = { SOUND, c->digest };

      CU_ASSERT_EQUAL (dl_manifest_digests_valid (digests, 2, c->expected), c->is_valid);
    }
  CU_ASSERT_FALSE (dl_manifest_digests_valid (NULL, 0, 0));
}

static void
test_digests (void)
{
  /* The source of the chunk lists it as it was received. */
  CU_ASSERT_TRUE (dl_manifest_digest_is_wrong (OTHER, SOUND, SOUND));
  CU_ASSERT_TRUE (dl_manifest_digest_is_wrong (OTHER, SOUND, UPPER));
  /* The chunk is spoilt, not the manifest. */
  CU_ASSERT_FALSE (dl_manifest_digest_is_wrong (SOUND, OTHER, SOUND));
  /* All three differ, or none. */
  CU_ASSERT_FALSE (dl_manifest_digest_is_wrong (SOUND, OTHER, HEX16));
  CU_ASSERT_FALSE (dl_manifest_digest_is_wrong (SOUND, UPPER, SOUND));
}

static void
test_checks_have_an_interval (void)
{
  CU_ASSERT_TRUE (dl_manifest_may_check (0, 5));
  CU_ASSERT_FALSE (dl_manifest_may_check (5, 5 + DL_MANIFEST_CHECK_INTERVAL_MS - 1));
  CU_ASSERT_TRUE (dl_manifest_may_check (5, 5 + DL_MANIFEST_CHECK_INTERVAL_MS));
}

static const CU_TestInfo tests[] = {
  { "lists of digests", test_lists },
  { "wrong digests", test_digests },
  { "interval of checks", test_checks_have_an_interval },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("manifest digests", tests)
