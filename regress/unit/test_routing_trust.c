/* Up to which age of its proof requests are served by a routing table. */
#include <glib.h>

#include "policy/routing_trust.h"
#include "unit.h"

#define NOW_MS          100000
#define APPLY_MS        2000
#define KEYS_MAX_AGE_MS 4500
#define NEVER           UINT64_MAX

/* Times are ages at NOW_MS. */
typedef struct
{
  const char *name;
  uint64_t proof_age_ms; /* NEVER: none */
  uint64_t heard_age_ms; /* NEVER: nobody heard the store */
  uint64_t heard_since_age_ms;
  DlRoutingTrust trust;
} TrustCase;

static const TrustCase cases[] = {
  { "a fresh proof", 100, 100, 60000, DL_ROUTING_TRUSTED },
  { "just below the bound", APPLY_MS - 1, 100, 60000, DL_ROUTING_TRUSTED },
  { "at the bound, others hear the store", APPLY_MS, 100, 60000, DL_ROUTING_OVERDUE },
  { "at the bound for keys, others hear the store", KEYS_MAX_AGE_MS, 100, 60000,
    DL_ROUTING_OVERDUE },
  { "at the bound, nobody hears the store", APPLY_MS, DL_STORE_HEARD_GAP_MS + 1, 60000,
    DL_ROUTING_TRUSTED },
  { "at the beginning of an outage, by another's last proof", 2300, 1101, 60000,
    DL_ROUTING_TRUSTED },
  { "another's proof is too young for that", 2300, 1100, 60000, DL_ROUTING_OVERDUE },
  { "nobody heard the store after the proof", 3000, 3000, 60000, DL_ROUTING_TRUSTED },
  { "below the bound for keys, in an outage", KEYS_MAX_AGE_MS - 1, KEYS_MAX_AGE_MS, 60000,
    DL_ROUTING_TRUSTED },
  { "at the bound for keys, in an outage", KEYS_MAX_AGE_MS, KEYS_MAX_AGE_MS, 60000,
    DL_ROUTING_KEYS_UNPROVEN },
  { "just after an outage", 4000, 0, APPLY_MS + DL_ROUTING_SETTLE_MS - 1,
    DL_ROUTING_TRUSTED },
  { "some time after an outage", 4000, 0, APPLY_MS + DL_ROUTING_SETTLE_MS,
    DL_ROUTING_OVERDUE },
  { "no proof after a start", NEVER, 100, 60000, DL_ROUTING_KEYS_UNPROVEN },
  { "nothing heard after a start", NEVER, NEVER, NEVER, DL_ROUTING_KEYS_UNPROVEN },
};

/* The time of which AGE_MS is the age; 0 for NEVER. */
static uint64_t
time_of (uint64_t age_ms)
{
  return age_ms != NEVER ? NOW_MS - age_ms : 0;
}

static void
test_old_proof_is_bounded_by_the_nearer_time_while_others_hear_the_store (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const TrustCase *c = &cases[i];
      DlStoreHeard heard = { .last_ms = time_of (c->heard_age_ms),
                             .since_ms = time_of (c->heard_since_age_ms) };
      DlRoutingTrust trust = dl_routing_trust (
          &(DlRoutingTrustQuery){ .proven_ms = time_of (c->proof_age_ms),
                                  .heard = &heard,
                                  .apply_ms = APPLY_MS,
                                  .keys_max_age_ms = KEYS_MAX_AGE_MS },
          NOW_MS);

      if (trust != c->trust)
        g_print ("%s: %d\n", c->name, (int)trust);
      CU_ASSERT_EQUAL (trust, c->trust);
    }
}

/* Versions of the table in effect, and of the newest one that any node has. */
typedef struct
{
  const char *name;
  uint64_t proof_age_ms; /* NEVER: none */
  uint64_t version;
  uint64_t newest_version;
  bool may_deny;
} DenialCase;

static const DenialCase denial_cases[] = {
  { "a fresh proof", 100, 7, 7, true },
  { "just below the bound", APPLY_MS - 1, 7, 7, true },
  { "at the bound", APPLY_MS, 7, 7, false },
  { "in a long outage", KEYS_MAX_AGE_MS, 7, 7, false },
  { "no proof after a start", NEVER, 7, 7, false },
  { "a fresh proof, but another node has a newer table", 100, 7, 8, false },
  { "no other node has told of a table", 100, 7, 0, true },
};

static void
test_request_is_denied_only_by_a_table_that_is_known_to_be_the_newest (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (denial_cases); i++)
    {
      const DenialCase *c = &denial_cases[i];
      bool may_deny = dl_routing_may_deny (
          &(DlRoutingDenialQuery){ .version = c->version,
                                   .newest_version = c->newest_version,
                                   .proven_ms = time_of (c->proof_age_ms),
                                   .apply_ms = APPLY_MS },
          NOW_MS);

      if (may_deny != c->may_deny)
        g_print ("%s: %d\n", c->name, (int)may_deny);
      CU_ASSERT_EQUAL (may_deny, c->may_deny);
    }
}

static const CU_TestInfo tests[] = {
  { "an old proof is bounded by the nearer time while others hear the store",
    test_old_proof_is_bounded_by_the_nearer_time_while_others_hear_the_store },
  { "a request is denied only by a table that is known to be the newest",
    test_request_is_denied_only_by_a_table_that_is_known_to_be_the_newest },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("routing trust", tests)
