/* A store that comes back from an older copy: eras, proofs of the routing table,
 * upstreams that have left since. */
#include <glib.h>
#include <talloc.h>

#include "kernel/object_era.h"
#include "policy/outage.h"
#include "policy/routing_proof.h"
#include "unit.h"

/* -------- eras -------- */

static void
count_call (void *data)
{
  ++*(unsigned *)data;
}

static void
test_era_of_first_response (void)
{
  unsigned calls = 0;
  DlObjectEra *era = dl_object_era_new (NULL);

  dl_object_era_subscribe (era, era, count_call, &calls);
  CU_ASSERT (dl_object_era_observe (era, 7));
  CU_ASSERT (dl_object_era_observe (era, 7));
  CU_ASSERT_EQUAL (calls, 0);
  CU_ASSERT_EQUAL (dl_object_era_current (era), 7);
  talloc_free (era);
}

static void
test_new_era (void)
{
  unsigned calls = 0;
  DlObjectEra *era = dl_object_era_new (NULL);
  void *owner = talloc_new (NULL);

  dl_object_era_subscribe (era, owner, count_call, &calls);
  CU_ASSERT (dl_object_era_observe (era, 0));
  CU_ASSERT (dl_object_era_observe (era, 1));
  CU_ASSERT_EQUAL (calls, 1);
  CU_ASSERT (!dl_object_era_observe (era, 0));
  CU_ASSERT_EQUAL (dl_object_era_current (era), 1);
  talloc_free (owner);
  CU_ASSERT (dl_object_era_observe (era, 2));
  CU_ASSERT_EQUAL (calls, 1);
  talloc_free (era);
}

/* The subscriber may outlive the era. */
static void
test_garbled_era_locks_nothing_out (void)
{
  DlObjectEra *era = dl_object_era_new (NULL);

  CU_ASSERT (dl_object_era_observe (era, 7));
  CU_ASSERT (!dl_object_era_observe (era, 1000007));
  CU_ASSERT (dl_object_era_observe (era, 7));
  CU_ASSERT (dl_object_era_observe (era, 8));
  CU_ASSERT_EQUAL (dl_object_era_current (era), 8);
  talloc_free (era);
}

static void
test_era_freed_first (void)
{
  unsigned calls = 0;
  DlObjectEra *era = dl_object_era_new (NULL);
  void *owner = talloc_new (NULL);

  dl_object_era_subscribe (era, owner, count_call, &calls);
  talloc_free (era);
  talloc_free (owner);
  CU_ASSERT_EQUAL (calls, 0);
}

/* -------- proofs of the routing table -------- */

#define RETURN_MS 100000

/* A node in touch with version 9 in effect, whose store returns at RETURN_MS and then
 * shows SHOWN. */
static DlRoutingProof
proof_after_return (uint64_t shown)
{
  DlRoutingProof proof = { 0 };

  dl_routing_proof_shown (&proof, 9);
  dl_routing_proof_synced (&proof, RETURN_MS - 1000, RETURN_MS - 500);
  CU_ASSERT_EQUAL (proof.proven_ms, RETURN_MS - 1000);
  dl_routing_proof_store_returned (&proof, RETURN_MS);
  dl_routing_proof_shown (&proof, shown);
  dl_routing_proof_synced (&proof, RETURN_MS + 50, RETURN_MS + 60);
  return proof;
}

/* The table that the copy shows may have been followed by one that is lost. */
static void
test_copy_proves_nothing_until_rewritten_by (void)
{
  const uint64_t by_ms = RETURN_MS + DL_ROUTING_REWRITTEN_MS;
  DlRoutingProof proof = proof_after_return (9);

  CU_ASSERT_EQUAL (proof.proven_ms, RETURN_MS - 1000);
  dl_routing_proof_synced (&proof, by_ms - 1, by_ms + 500);
  CU_ASSERT_EQUAL (proof.proven_ms, RETURN_MS - 1000);
  CU_ASSERT (!dl_routing_proof_is_due (&proof, by_ms - 1, by_ms - 1));
  CU_ASSERT (dl_routing_proof_is_due (&proof, by_ms - 1, by_ms));
  dl_routing_proof_synced (&proof, by_ms, by_ms + 10);
  CU_ASSERT_EQUAL (proof.proven_ms, by_ms);
  CU_ASSERT (!dl_routing_proof_is_due (&proof, by_ms, by_ms + 10));
}

static void
test_rewritten_table_proves (void)
{
  DlRoutingProof proof = proof_after_return (8);

  dl_routing_proof_shown (&proof, 10);
  dl_routing_proof_synced (&proof, RETURN_MS + 300, RETURN_MS + 350);
  CU_ASSERT_EQUAL (proof.proven_ms, RETURN_MS + 300);
}

static void
test_older_table_never_proves (void)
{
  const uint64_t late_ms = RETURN_MS + 10 * DL_ROUTING_REWRITTEN_MS;
  DlRoutingProof proof = proof_after_return (8);

  dl_routing_proof_synced (&proof, late_ms, late_ms);
  CU_ASSERT_EQUAL (proof.proven_ms, RETURN_MS - 1000);
  CU_ASSERT (!dl_routing_proof_is_due (&proof, late_ms, late_ms));
  dl_routing_proof_shown (&proof, 9);
  dl_routing_proof_synced (&proof, late_ms + 100, late_ms + 100);
  CU_ASSERT_EQUAL (proof.proven_ms, late_ms + 100);
}

static void
test_missing_table_proves_nothing (void)
{
  const uint64_t late_ms = RETURN_MS + 10 * DL_ROUTING_REWRITTEN_MS;
  DlRoutingProof proof = proof_after_return (0);

  dl_routing_proof_synced (&proof, late_ms, late_ms);
  CU_ASSERT_EQUAL (proof.proven_ms, RETURN_MS - 1000);
}

static void
test_second_return_while_withheld (void)
{
  DlRoutingProof proof = proof_after_return (9);

  dl_routing_proof_shown (&proof, 10);
  dl_routing_proof_store_returned (&proof, RETURN_MS + 1000);
  dl_routing_proof_shown (&proof, 9);
  dl_routing_proof_synced (&proof, RETURN_MS + 5000, RETURN_MS + 5000);
  CU_ASSERT_EQUAL (proof.proven_ms, RETURN_MS - 1000);
}

/* A node that started just after the return lists an older table than others know. */
static void
test_start_after_a_return (void)
{
  DlRoutingProof proof = { 0 };

  dl_routing_proof_shown (&proof, 8);
  dl_routing_proof_started (&proof, RETURN_MS);
  dl_routing_proof_synced (&proof, RETURN_MS + 100, RETURN_MS + 150);
  CU_ASSERT_EQUAL (proof.proven_ms, 0);
  dl_routing_proof_told (&proof, 9);
  dl_routing_proof_synced (&proof, RETURN_MS + 5000, RETURN_MS + 5000);
  CU_ASSERT_EQUAL (proof.proven_ms, 0);
  dl_routing_proof_shown (&proof, 9);
  dl_routing_proof_synced (&proof, RETURN_MS + 5100, RETURN_MS + 5200);
  CU_ASSERT_EQUAL (proof.proven_ms, RETURN_MS + 5100);
}

static void
test_start_without_a_return (void)
{
  DlRoutingProof proof = { 0 };

  dl_routing_proof_shown (&proof, 9);
  dl_routing_proof_started (&proof, RETURN_MS);
  dl_routing_proof_told (&proof, 9);
  dl_routing_proof_synced (&proof, RETURN_MS + 100, RETURN_MS + DL_ROUTING_HEARD_MS);
  CU_ASSERT_EQUAL (proof.proven_ms, RETURN_MS + 100);
}

/* While the store works, a node that hears of a newer table first goes on. */
static void
test_told_of_a_newer_table (void)
{
  DlRoutingProof proof = { 0 };

  dl_routing_proof_shown (&proof, 9);
  dl_routing_proof_synced (&proof, 1000, 1010);
  dl_routing_proof_told (&proof, 10);
  dl_routing_proof_synced (&proof, 1500, 1510);
  CU_ASSERT_EQUAL (proof.proven_ms, 1500);
}

/* -------- upstreams -------- */

static void
test_upstreams_missing_after_a_return (void)
{
  DlOutage outage = { 0 };

  dl_outage_call_succeeded (&outage, 1000);
  dl_outage_relist_begins (&outage);
  CU_ASSERT_EQUAL (dl_outage_keep_until (&outage, false, 9000),
                   9000 + DL_OUTAGE_GRACE_MS);
  CU_ASSERT_EQUAL (dl_outage_keep_until (&outage, true, 9000), 0);
  dl_outage_relist_ends (&outage, 9000);
  CU_ASSERT_EQUAL (dl_outage_keep_until (&outage, false, 9100),
                   9000 + DL_OUTAGE_GRACE_MS);
  CU_ASSERT_EQUAL (dl_outage_keep_until (&outage, false, 9000 + DL_OUTAGE_ABSENT_MS), 0);
}

typedef struct
{
  DlUpstreamMemory memory;
  uint64_t started_ms; /* according to the listed entry */
  uint64_t gone_until_ms;
} MemoryCase;

#define NOW_MS UINT64_C (100000)

static const MemoryCase memory_cases[] = {
  { { 0 }, 50, 0 },
  { { .started_ms = 50 }, 50, 0 },
  { { .leaving = true, .started_ms = 50 }, 50, NOW_MS + DL_OUTAGE_MEMORY_MS },
  { { .leaving = true, .started_ms = 50 }, 51, 0 },
  { { .leaving = true }, 0, NOW_MS + DL_OUTAGE_MEMORY_MS },
  { { .removed_ms = 99000, .started_ms = 50 }, 50, 99000 + DL_OUTAGE_MEMORY_MS },
  { { .removed_ms = 99000, .started_ms = 50 }, 51, 0 },
  { { .removed_ms = NOW_MS - DL_OUTAGE_MEMORY_MS, .started_ms = 50 }, 50, 0 },
};

/* An older copy lists upstreams that have left since. */
static void
test_upstreams_gone_before_a_return (void)
{
  DlOutage outage = { 0 };

  for (size_t i = 0; i < G_N_ELEMENTS (memory_cases); i++)
    {
      const MemoryCase *c = &memory_cases[i];

      dl_outage_relist_begins (&outage);
      CU_ASSERT_EQUAL (dl_outage_gone_until (&outage, &c->memory, c->started_ms, NOW_MS),
                       c->gone_until_ms);
      dl_outage_relist_ends (&outage, NOW_MS);
      CU_ASSERT_EQUAL (dl_outage_gone_until (&outage, &c->memory, c->started_ms, NOW_MS),
                       0);
    }
}

static const CU_TestInfo tests[] = {
  { "the first response's era is no new one", test_era_of_first_response },
  { "a new era is notified once", test_new_era },
  { "a garbled era locks nothing out", test_garbled_era_locks_nothing_out },
  { "an era that is freed before its subscribers", test_era_freed_first },
  { "an older copy proves nothing yet", test_copy_proves_nothing_until_rewritten_by },
  { "a table written after a return is a proof", test_rewritten_table_proves },
  { "an older table is no proof", test_older_table_never_proves },
  { "a missing table is no proof", test_missing_table_proves_nothing },
  { "a second return", test_second_return_while_withheld },
  { "start just after a return", test_start_after_a_return },
  { "start without a return", test_start_without_a_return },
  { "a newer table known to others", test_told_of_a_newer_table },
  { "upstreams missing after a return", test_upstreams_missing_after_a_return },
  { "upstreams gone before a return", test_upstreams_gone_before_a_return },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("era", tests)
