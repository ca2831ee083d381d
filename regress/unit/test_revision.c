/* Settings in effect and contact: tables, and random schedules of lagging sources. */
#include <glib.h>
#include <stdio.h>

#include "policy/revision.h"
#include "unit.h"

static void
test_offers (void)
{
  static const struct
  {
    uint64_t revision;
    bool valid;
    DlSettingsResult verdict;
    uint64_t in_effect;
  } offers[] = {
    { 5, true, DL_SETTINGS_APPLY, 5 },    { 5, true, DL_SETTINGS_STALE, 5 },
    { 4, true, DL_SETTINGS_STALE, 5 },    { 7, false, DL_SETTINGS_INVALID, 5 },
    { 7, false, DL_SETTINGS_STALE, 5 },   { 6, true, DL_SETTINGS_APPLY, 6 },
    { 8, true, DL_SETTINGS_APPLY, 8 },    { 0, true, DL_SETTINGS_STALE, 8 },
    { 9, false, DL_SETTINGS_INVALID, 8 }, { 10, true, DL_SETTINGS_APPLY, 10 },
  };
  DlSettingsRevision state = { 0 };

  for (size_t i = 0; i < G_N_ELEMENTS (offers); i++)
    {
      CU_ASSERT_EQUAL (dl_settings_offer (&state, offers[i].revision, offers[i].valid),
                       offers[i].verdict);
      CU_ASSERT_EQUAL (state.in_effect, offers[i].in_effect);
    }
}

static void
test_contact (void)
{
  DlContact c = { .started_ms = 1000, .has_peers = true };
  DlContactStatus v = dl_contact_evaluate (&c, 1000);

  CU_ASSERT (!v.in_contact);
  CU_ASSERT_EQUAL (v.store_age_ms, UINT64_MAX);
  /* The first answer may be stale: hearing from a peer or a short wait is needed too. */
  dl_contact_record_store (&c, 1100);
  c.knows_settings = true;
  CU_ASSERT (!dl_contact_evaluate (&c, 1100).in_contact);
  CU_ASSERT (dl_contact_evaluate (&c, 3000).in_contact);
  dl_contact_record_peer (&c, 1200, 50);
  CU_ASSERT (dl_contact_evaluate (&c, 1200).in_contact);
  /* Hears from nobody. */
  CU_ASSERT (dl_contact_evaluate (&c, 1200 + DL_CONTACT_TIMEOUT_MS).in_contact);
  CU_ASSERT (!dl_contact_evaluate (&c, 1201 + DL_CONTACT_TIMEOUT_MS).in_contact);
  /* Hears from a peer, but neither reaches the store: stays in contact, reports the age.
   */
  dl_contact_record_peer (&c, 20000, 18000);
  v = dl_contact_evaluate (&c, 20000);
  CU_ASSERT (v.in_contact);
  CU_ASSERT (!v.platform_reachable);
  CU_ASSERT_EQUAL (v.store_age_ms, 18000 + DL_CONTACT_HOP_MS);
  dl_contact_record_peer (&c, 20100, UINT64_MAX);
  CU_ASSERT_EQUAL (dl_contact_evaluate (&c, 20100).store_age_ms, 18200);
}

/* Two processes that hear only from each other must not make the store's age shrink. */
static void
test_age_is_not_lost_between_peers (void)
{
  DlContact a = { .started_ms = 1, .knows_settings = true };
  DlContact b = a;
  uint64_t now = 1000;

  dl_contact_record_store (&a, now);
  for (int i = 0; i < 100; i++)
    {
      uint64_t age = dl_contact_evaluate (&a, now).store_age_ms;

      now += 20; /* in transit */
      dl_contact_record_peer (&b, now, age);
      age = dl_contact_evaluate (&b, now).store_age_ms;
      now += 20;
      dl_contact_record_peer (&a, now, age);
      now += 500;
    }
  CU_ASSERT (dl_contact_evaluate (&a, now).store_age_ms >= now - 1000);
  CU_ASSERT (dl_contact_evaluate (&b, now).store_age_ms >= now - 1000);
}

/* Nodes learn increasing revisions, some of them invalid, from the store, from stale
 * reads and from peers. */
static void
run_schedule (guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  DlSettingsRevision nodes[5] = { 0 };
  uint64_t store = 1;

  for (int step = 0; step < 2000; step++)
    {
      DlSettingsRevision *n = &nodes[g_rand_int_range (rand, 0, 5)];
      uint64_t before = n->in_effect;
      uint64_t offered = n->in_effect;

      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
          store++;
          break;
        case 1:
          offered = store;
          break;
        case 2: /* stale read */
          offered = (uint64_t)g_rand_int_range (rand, 0, (gint32)store + 1);
          break;
        default:
          offered = nodes[g_rand_int_range (rand, 0, 5)].in_effect;
          break;
        }
      dl_settings_offer (n, offered, offered % 7 != 0);
      CU_ASSERT (n->in_effect >= before);
      CU_ASSERT (n->in_effect <= store);
      CU_ASSERT (n->in_effect == 0 || n->in_effect % 7 != 0);
    }
  for (int i = 0; i < 5; i++)
    {
      uint64_t newest = store % 7 != 0 ? store : store - 1;

      dl_settings_offer (&nodes[i], newest, true);
      CU_ASSERT (nodes[i].in_effect >= newest);
    }
  g_rand_free (rand);
}

static void
test_schedules (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      unsigned before = CU_get_number_of_failures ();

      run_schedule (seed);
      if (CU_get_number_of_failures () > before)
        fprintf (stderr, "  settings schedule failed with seed %u\n", seed);
    }
}

static const CU_TestInfo revision_tests[] = {
  { "offers", test_offers },
  { "contact", test_contact },
  { "age between peers", test_age_is_not_lost_between_peers },
  { "random schedules", test_schedules },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("revision", revision_tests)
