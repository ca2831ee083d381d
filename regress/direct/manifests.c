/*
 * Tests of manifests that the origin spoils: the version is loaded all the same, from
 * sound chunks alone, and at the cost of no second copy.
 */
#include <glib.h>
#include <signal.h>

#include "../standin/weights.h"
#include "direct.h"

/* Several nodes ask the origin, so that more than one answer is spoilt. */
#define SPOILT_ANSWERS 2
/* The users' bound for bytes of the origin, in copies; the group's four nodes share one.
 */
#define COPIES_MAX 2
#define COPY_BYTES ((uint64_t)WEIGHTS_CHUNKS * WEIGHTS_CHUNK_BYTES)

static const char *const spoilt_names[WEIGHTS_SPOILT_KINDS] = {
  [WEIGHTS_SOUND] = "nothing",
  [WEIGHTS_ONE_DIGEST] = "one digest",
  [WEIGHTS_ALL_DIGESTS] = "all digests",
  [WEIGHTS_SHORT_DIGEST] = "a digest that is too short",
  [WEIGHTS_ONE_LESS] = "a digest that is missing",
  [WEIGHTS_ONE_MORE] = "one digest too many",
  [WEIGHTS_SIZES] = "the sizes",
  [WEIGHTS_OTHER_MODEL] = "the model",
  [WEIGHTS_OTHER_VERSION] = "the version",
};

static uint64_t expected_version;

static void
spoil (Testbed *tb, WeightsSpoilt what)
{
  CHECK (set_fault (tb->origin, "spoil_what", what));
  CHECK (set_fault (tb->origin, "spoil", SPOILT_ANSWERS));
}

static void
check_loaded (Testbed *tb, const char *what)
{
  check (version_is_loaded (tb, expected_version), "the version is loaded", what,
         __LINE__);
  check (recorded_by_models (tb, "mixed") == 0, "from sound chunks", what, __LINE__);
}

/* No version was announced: the newest at the origin is loaded into servers that hold
 * none. */
static void
test_spoilt_manifest_of_the_newest_version_was_kept (Testbed *tb)
{
  expected_version = 1;
  for (WeightsSpoilt what = WEIGHTS_SOUND; what < WEIGHTS_SPOILT_KINDS; what++)
    {
      end_nodes (tb);
      for (unsigned i = 0; i < MODEL_SERVERS; i++)
        {
          process_end (&tb->server_process[i], SIGKILL);
          CHECK (process_start (&tb->server_process[i]));
        }
      spoil (tb, what);
      start_nodes (tb);
      check_loaded (tb, spoilt_names[what]);
    }
}

static void
test_spoilt_manifest_of_an_announced_version_was_kept (Testbed *tb)
{
  for (WeightsSpoilt what = WEIGHTS_SOUND; what < WEIGHTS_SPOILT_KINDS; what++)
    {
      uint64_t drawn = recorded (tb->origin, "drawn");

      spoil (tb, what);
      expected_version++;
      CHECK (testbed_announce_version (tb, expected_version));
      check_loaded (tb, spoilt_names[what]);
      drawn = recorded (tb->origin, "drawn") - drawn;
      check (drawn < COPIES_MAX * COPY_BYTES, "without a second copy", spoilt_names[what],
             __LINE__);
    }
}

/* All nodes start anew, so that the first manifest of each may be spoilt. */
static void
test_spoilt_manifest_after_a_restart_was_kept (Testbed *tb)
{
  for (WeightsSpoilt what = WEIGHTS_SOUND; what < WEIGHTS_SPOILT_KINDS; what++)
    {
      end_nodes (tb);
      spoil (tb, what);
      expected_version++;
      CHECK (testbed_announce_version (tb, expected_version));
      start_nodes (tb);
      check_loaded (tb, spoilt_names[what]);
    }
}

/* A chunk that is spoilt beside a sound manifest doesn't change the manifest. */
static void
test_spoilt_chunks_beside_a_spoilt_manifest (Testbed *tb)
{
  spoil (tb, WEIGHTS_ONE_DIGEST);
  CHECK (set_fault (tb->origin, "corrupt", WEIGHTS_CHUNKS / 2));
  expected_version++;
  CHECK (testbed_announce_version (tb, expected_version));
  check_loaded (tb, "chunks and a manifest");
}

const TestFunc manifest_tests[] = {
  test_spoilt_manifest_of_the_newest_version_was_kept,
  test_spoilt_manifest_of_an_announced_version_was_kept,
  test_spoilt_manifest_after_a_restart_was_kept,
  test_spoilt_chunks_beside_a_spoilt_manifest,
  NULL,
};
