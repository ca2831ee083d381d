/* Tests of the quarantine of single whole requests, and of what identifies one. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "policy/served_table.h"
#include "quarantine_driver.h"
#include "unit.h"

#define START_MS 100000
#define HOUR_MS  3600000
/* Requests of a minute, all different. */
#define MINUTE_REQUESTS 100000
#define LARGE_BODY      (8u << 20)

static void
crash (DlQuarantine *q, const char *body, uint64_t upstream, uint64_t now_ms)
{
  DlSignatures whole = quarantine_whole (body);

  quarantine_break_off (q, &whole, upstream, false, now_ms);
}

static void
serve (DlQuarantine *q, const char *body, uint64_t now_ms)
{
  DlSignatures whole = quarantine_whole (body);
  DlQuarantineNews news;

  quarantine_serve (q, &whole, now_ms, &news);
}

static bool
is_held (const DlQuarantine *q, const char *body)
{
  DlSignatures whole = quarantine_whole (body);

  return dl_quarantine_find (q, &whole) != NULL;
}

/* Judges once the crashes until NOW_MS are settled. */
static void
judge (DlQuarantine *q, uint64_t now_ms)
{
  DlQuarantineNews news;

  dl_quarantine_judge (q, now_ms + DL_QUARANTINE_WHOLE_SETTLE_MS, &news);
}

static DlQuarantineDecision
admit (DlQuarantine *q, const char *body, uint64_t now_ms)
{
  DlSignatures whole = quarantine_whole (body);
  const DlSignature *found;
  uint64_t retry_ms;

  return dl_quarantine_admit (q, &whole, now_ms, &found, &retry_ms);
}

static void
trial_sent (DlQuarantine *q, const char *body, uint64_t now_ms)
{
  DlSignatures whole = quarantine_whole (body);

  dl_quarantine_trial_sent (q, &whole, now_ms);
}

/* Crashes three upstreams, one a second, and judges. */
static DlQuarantine *
quarantine_with_bad (void)
{
  DlQuarantine *q = dl_quarantine_new (NULL);

  for (unsigned i = 0; i < 3; i++)
    crash (q, "bad", 1 + i, START_MS + i * 1000);
  judge (q, START_MS + 2000);
  return q;
}

static void
test_request_was_not_held_beside_others_that_break_off (void)
{
  DlQuarantine *q = dl_quarantine_new (NULL);
  char body[32];

  for (unsigned i = 0; i < 3; i++)
    {
      uint64_t now_ms = START_MS + i * 1000;

      CU_ASSERT_FALSE (is_held (q, "bad"));
      crash (q, "bad", 1 + i, now_ms);
      for (unsigned n = 0; n < 30; n++)
        {
          g_snprintf (body, sizeof body, "sound %u", i * 30 + n);
          crash (q, body, 100 + i, now_ms);
        }
      judge (q, now_ms);
    }
  CU_ASSERT_TRUE (is_held (q, "bad"));
  CU_ASSERT_FALSE (is_held (q, "sound 0"));
  talloc_free (q);
}

/* The entry sends it on at once, and the second upstream crashes too. */
static void
test_retry_soon_after_a_crash_was_not_counted (void)
{
  DlQuarantine *q = dl_quarantine_new (NULL);

  crash (q, "bad", 1, START_MS);
  crash (q, "bad", 2, START_MS + 80);
  judge (q, START_MS + 80);
  CU_ASSERT_FALSE (is_held (q, "bad"));
  crash (q, "bad", 3, START_MS + 60000);
  judge (q, START_MS + 60000);
  CU_ASSERT_TRUE (is_held (q, "bad"));
  talloc_free (q);
}

static void
test_request_at_upstreams_lost_together_was_held (void)
{
  DlQuarantine *q = dl_quarantine_new (NULL);

  for (unsigned i = 0; i < 3; i++)
    {
      crash (q, "repeated", 1 + i, START_MS + i * 5);
      crash (q, "other", 11 + i, START_MS + i * 5);
    }
  judge (q, START_MS + 15);
  CU_ASSERT_FALSE (is_held (q, "repeated") || is_held (q, "other"));
  talloc_free (q);
}

static void
test_request_served_before_its_crashes_was_held (void)
{
  DlQuarantine *q = dl_quarantine_new (NULL);

  serve (q, "sound", START_MS - 20000);
  for (unsigned i = 0; i < 3; i++)
    crash (q, "sound", 1 + i, START_MS + i * 1000);
  judge (q, START_MS + 2000);
  CU_ASSERT_FALSE (is_held (q, "sound"));
  talloc_free (q);
}

static void
test_sound_request_was_held_for_crashes_of_a_held_one (void)
{
  DlQuarantine *q = dl_quarantine_new (NULL);

  for (unsigned i = 0; i < 50; i++)
    serve (q, "other", START_MS - 2);
  serve (q, "sound", START_MS - 1);
  for (unsigned i = 0; i < 5; i++)
    {
      crash (q, "bad", 1 + i, START_MS + i * 1000);
      crash (q, "sound", 1 + i, START_MS + i * 1000);
      judge (q, START_MS + i * 1000);
    }
  CU_ASSERT_TRUE (is_held (q, "bad"));
  CU_ASSERT_FALSE (is_held (q, "sound"));
  talloc_free (q);
}

/* Streams that share a part break off with a held request that has no prompt; another
 * entry told of it. */
static void
test_shared_part_was_held_for_crashes_of_a_held_request (void)
{
  DlQuarantine *teller = dl_quarantine_new (NULL);
  DlQuarantine *q = dl_quarantine_new (NULL);
  DlSignatures stream = quarantine_parts ("shared", "own");
  DlQuarantineNews news;
  uint64_t now_ms = START_MS;

  for (unsigned i = 0; i < 3; i++)
    crash (teller, "bad", 100 + i, now_ms += 1000);
  judge (teller, now_ms);
  quarantine_tell (teller, q, now_ms + 500, now_ms + 510);
  CU_ASSERT_TRUE (is_held (q, "bad"));
  for (unsigned i = 0; i < 200; i++)
    {
      DlSignatures other = quarantine_parts ("other", "own");

      quarantine_serve (q, &other, now_ms + 600, &news);
    }
  for (unsigned i = 0; i < 5; i++)
    {
      now_ms += 1000;
      crash (q, "bad", 200 + i, now_ms);
      quarantine_break_off (q, &stream, 200 + i, false, now_ms);
      judge (q, now_ms);
    }
  CU_ASSERT_PTR_NULL (dl_quarantine_find (q, &stream));
  talloc_free (q);
  talloc_free (teller);
}

static void
test_request_that_others_served_was_held (void)
{
  DlQuarantine *a = dl_quarantine_new (NULL);
  DlQuarantine *b = dl_quarantine_new (NULL);

  serve (b, "sound", START_MS - 20000);
  crash (a, "sound", 1, START_MS);
  crash (a, "sound", 2, START_MS + 1000);
  quarantine_tell (a, b, START_MS + 1010, START_MS + 1020);
  quarantine_tell (b, a, START_MS + 1060, START_MS + 1070);
  crash (a, "sound", 3, START_MS + 2000);
  judge (a, START_MS + 2000);
  CU_ASSERT_FALSE (is_held (a, "sound"));
  talloc_free (a);
  talloc_free (b);
}

static void
test_request_was_sent_again_after_two_crashes (void)
{
  DlQuarantine *q = dl_quarantine_new (NULL);
  DlSignatures whole = quarantine_whole ("bad");

  crash (q, "bad", 1, START_MS);
  CU_ASSERT_TRUE (
      dl_quarantine_allows_retry (q, &whole, false, DL_QUARANTINE_MAY_HAVE_RUN));
  crash (q, "bad", 2, START_MS + 100);
  CU_ASSERT_FALSE (
      dl_quarantine_allows_retry (q, &whole, false, DL_QUARANTINE_MAY_HAVE_RUN));
  CU_ASSERT_TRUE (dl_quarantine_allows_retry (q, &whole, false, DL_QUARANTINE_NOT_RUN));
  talloc_free (q);
}

static void
test_trial_was_sent_again (void)
{
  DlQuarantine *q = quarantine_with_bad ();
  DlSignatures whole = quarantine_whole ("bad");

  dl_quarantine_set_turns (q, 0, 1);
  CU_ASSERT_EQUAL (admit (q, "bad", START_MS + 2500), DL_QUARANTINE_REFUSE);
  CU_ASSERT_EQUAL (admit (q, "bad", START_MS + 3000), DL_QUARANTINE_TRIAL);
  CU_ASSERT_TRUE (dl_quarantine_allows_retry (q, &whole, true, DL_QUARANTINE_NOT_SENT));
  CU_ASSERT_FALSE (dl_quarantine_allows_retry (q, &whole, true, DL_QUARANTINE_NOT_RUN));
  CU_ASSERT_FALSE (
      dl_quarantine_allows_retry (q, &whole, true, DL_QUARANTINE_MAY_HAVE_RUN));
  talloc_free (q);
}

/* Whatever becomes of them: nothing is reported of these. */
static void
test_more_trials_than_allowed_were_sent (void)
{
  DlQuarantine *q = quarantine_with_bad ();
  unsigned sent = 0;

  dl_quarantine_set_turns (q, 0, 1);
  for (uint64_t now_ms = START_MS + 2500; now_ms < START_MS + 2 * HOUR_MS;
       now_ms += 20000)
    {
      if (admit (q, "bad", now_ms) == DL_QUARANTINE_TRIAL)
        {
          sent++;
          trial_sent (q, "bad", now_ms);
        }
      quarantine_expire (q, now_ms);
    }
  CU_ASSERT_EQUAL (sent, DL_QUARANTINE_TRIALS_MAX);
  talloc_free (q);
}

static void
test_trial_that_was_not_sent_was_counted (void)
{
  DlQuarantine *q = quarantine_with_bad ();

  dl_quarantine_set_turns (q, 0, 1);
  for (unsigned i = 0; i < 2 * DL_QUARANTINE_TRIALS_MAX; i++)
    CU_ASSERT_EQUAL (admit (q, "bad", START_MS + 3000 + i * DL_QUARANTINE_TRIAL_MS),
                     DL_QUARANTINE_TRIAL);
  talloc_free (q);
}

static void
test_entry_did_not_know_the_trials_of_others (void)
{
  DlQuarantine *a = quarantine_with_bad ();
  DlQuarantine *b = dl_quarantine_new (NULL);

  dl_quarantine_set_turns (a, 0, 1);
  dl_quarantine_set_turns (b, 0, 1);
  for (unsigned i = 0; i < DL_QUARANTINE_TRIALS_MAX; i++)
    {
      admit (a, "bad", START_MS + 3000 + i * 10000);
      trial_sent (a, "bad", START_MS + 3000 + i * 10000);
    }
  quarantine_tell (a, b, START_MS + 13010, START_MS + 13020);
  CU_ASSERT_EQUAL (admit (b, "bad", START_MS + 600000), DL_QUARANTINE_REFUSE);
  talloc_free (a);
  talloc_free (b);
}

static void
test_two_entries_made_the_first_trial (void)
{
  unsigned trials = 0;

  for (int position = -1; position < 20; position++)
    {
      DlQuarantine *q = quarantine_with_bad ();

      dl_quarantine_set_turns (q, position, 20);
      trials += admit (q, "bad", START_MS + 3000 + 200) == DL_QUARANTINE_TRIAL;
      talloc_free (q);
    }
  CU_ASSERT_EQUAL (trials, 1);
}

static void
test_served_trial_did_not_release_the_request (void)
{
  DlQuarantine *q = quarantine_with_bad ();

  dl_quarantine_set_turns (q, 0, 1);
  CU_ASSERT_EQUAL (admit (q, "bad", START_MS + 3000), DL_QUARANTINE_TRIAL);
  trial_sent (q, "bad", START_MS + 3000);
  serve (q, "bad", START_MS + 3100);
  CU_ASSERT_EQUAL (admit (q, "bad", START_MS + 3101), DL_QUARANTINE_ALLOW);
  talloc_free (q);
}

static void
test_request_that_came_on_was_forgotten (void)
{
  DlQuarantine *q = quarantine_with_bad ();
  uint64_t now_ms = START_MS + 2500;

  dl_quarantine_set_turns (q, -1, 1);
  for (unsigned i = 0; i < 10; i++, now_ms += HOUR_MS - 1000)
    {
      CU_ASSERT_EQUAL (admit (q, "bad", now_ms), DL_QUARANTINE_REFUSE);
      quarantine_expire (q, now_ms);
    }
  quarantine_expire (q, now_ms + HOUR_MS + DL_QUARANTINE_HOLD_MAX_MS);
  CU_ASSERT_EQUAL (dl_quarantine_record_count (q), 0);
  talloc_free (q);
}

/* Its status names few records at a time. */
static void
test_new_entry_did_not_learn_all_that_is_held (void)
{
  DlQuarantine *a = dl_quarantine_new (NULL);
  DlQuarantine *b = dl_quarantine_new (NULL);
  char body[32];

  for (unsigned i = 0; i < 180; i++)
    {
      g_snprintf (body, sizeof body, "bad %u", i % 60);
      crash (a, body, 1 + i, START_MS + i / 60 * 1000);
    }
  for (unsigned i = 0; i < 10; i++)
    judge (a, START_MS + 2000 + i * 40);
  for (unsigned i = 0; i < 40; i++)
    quarantine_tell (a, b, START_MS + 10000 + i * 400, START_MS + 10050 + i * 400);
  for (unsigned i = 0; i < 60; i++)
    {
      g_snprintf (body, sizeof body, "bad %u", i);
      CU_ASSERT_TRUE (is_held (b, body));
    }
  talloc_free (a);
  talloc_free (b);
}

static void
restore (DlQuarantine *q, const char *body, unsigned trials, uint64_t now_ms)
{
  DlSignatures whole = quarantine_whole (body);
  DlQuarantineNews news;

  dl_quarantine_restore (q, &whole.ids[0], trials, now_ms, &news);
}

static void
test_request_that_the_store_keeps_was_sent (void)
{
  DlQuarantine *q = dl_quarantine_new (NULL);

  dl_quarantine_set_turns (q, 0, 1);
  restore (q, "bad", DL_QUARANTINE_TRIALS_MAX - 1, START_MS);
  CU_ASSERT_EQUAL (admit (q, "bad", START_MS + 100), DL_QUARANTINE_REFUSE);
  CU_ASSERT_EQUAL (admit (q, "bad", START_MS + 10000), DL_QUARANTINE_TRIAL);
  trial_sent (q, "bad", START_MS + 10000);
  restore (q, "bad", DL_QUARANTINE_TRIALS_MAX - 1, START_MS + 10100);
  CU_ASSERT_EQUAL (admit (q, "bad", START_MS + 60000), DL_QUARANTINE_REFUSE);
  talloc_free (q);
}

static void
test_word_from_the_store_held_a_request_that_was_served (void)
{
  DlQuarantine *q = dl_quarantine_new (NULL);

  serve (q, "sound", START_MS);
  restore (q, "sound", 0, START_MS + 100);
  CU_ASSERT_FALSE (is_held (q, "sound"));
  talloc_free (q);
}

static void
test_records_of_whole_requests_filled_the_memory (void)
{
  DlQuarantine *q = quarantine_with_bad ();
  char body[32];

  for (unsigned i = 0; i < MINUTE_REQUESTS; i++)
    {
      uint64_t now_ms = START_MS + 3000 + i * 60000ull / MINUTE_REQUESTS;

      g_snprintf (body, sizeof body, "once %u", i);
      if (i % 2 == 0)
        crash (q, body, 100 + i % 50, now_ms);
      else
        serve (q, body, now_ms);
      if (i % 1000 == 0)
        quarantine_expire (q, now_ms);
    }
  CU_ASSERT_TRUE (dl_quarantine_record_count (q) <= DL_QUARANTINE_WHOLE_MAX);
  CU_ASSERT_TRUE (is_held (q, "bad"));
  talloc_free (q);
}

/* -------- what was served lately -------- */

static void
test_served_request_was_not_remembered (void)
{
  DlServedTable *table = dl_served_table_new (NULL);
  DlSignatures whole;
  unsigned missing = 0;
  char body[32];

  for (unsigned i = 0; i < MINUTE_REQUESTS / 2; i++)
    {
      g_snprintf (body, sizeof body, "once %u", i);
      whole = quarantine_whole (body);
      dl_served_table_add (table, &whole.ids[0], START_MS + i / 2);
    }
  for (unsigned i = 0; i < MINUTE_REQUESTS / 2; i++)
    {
      g_snprintf (body, sizeof body, "once %u", i);
      whole = quarantine_whole (body);
      missing += dl_served_table_find (table, &whole.ids[0], START_MS + 26000).count != 1;
    }
  CU_ASSERT_TRUE (missing * 10 < MINUTE_REQUESTS / 2);
  whole = quarantine_whole ("never");
  CU_ASSERT_EQUAL (dl_served_table_find (table, &whole.ids[0], START_MS).served_ms, 0);
  talloc_free (table);
}

static void
test_served_request_was_remembered_for_ever (void)
{
  DlServedTable *table = dl_served_table_new (NULL);
  DlSignatures whole = quarantine_whole ("a");

  dl_served_table_add (table, &whole.ids[0], START_MS);
  dl_served_table_add (table, &whole.ids[0], START_MS + 10);
  CU_ASSERT_EQUAL (dl_served_table_find (table, &whole.ids[0], START_MS + 20).count, 2);
  CU_ASSERT_EQUAL (dl_served_table_find (table, &whole.ids[0],
                                         START_MS + 11 + DL_SERVED_TABLE_MS)
                       .count,
                   0);
  talloc_free (table);
}

/* -------- identity -------- */

static bool
is_same (const DlRequestIdentity *a, const DlRequestIdentity *b)
{
  DlSignature x = dl_request_signature (a);
  DlSignature y = dl_request_signature (b);

  CU_ASSERT_TRUE (dl_signature_is_whole (&x) && dl_signature_is_whole (&y));
  return strcmp (x.text, y.text) == 0;
}

static void
test_different_requests_had_one_identity (void)
{
  const DlRequestIdentity a = {
    .host = DL_STR_LITERAL ("h"),
    .path = DL_STR_LITERAL ("/p"),
    .caller = DL_STR_LITERAL ("org"),
    .body = DL_STR_LITERAL ("body"),
  };
  DlRequestIdentity b = a;

  CU_ASSERT_TRUE (is_same (&a, &b));
  b.host = DL_STR_LITERAL ("i");
  CU_ASSERT_FALSE (is_same (&a, &b));
  b = a;
  b.caller = DL_STR_LITERAL ("");
  CU_ASSERT_FALSE (is_same (&a, &b));
  b = a;
  b.path = DL_STR_LITERAL ("/po");
  b.caller = DL_STR_LITERAL ("rg");
  CU_ASSERT_FALSE (is_same (&a, &b));
}

static void
test_end_of_a_large_body_was_not_part_of_the_identity (void)
{
  char *bytes = g_malloc0 (LARGE_BODY);
  DlRequestIdentity identity = { .body = { .data = bytes, .length = LARGE_BODY } };
  DlSignature before = dl_request_signature (&identity);
  DlSignature after;

  bytes[LARGE_BODY - 1] = 1;
  after = dl_request_signature (&identity);
  CU_ASSERT_STRING_NOT_EQUAL (before.text, after.text);
  g_free (bytes);
}

static void
test_part_was_taken_for_a_whole_request (void)
{
  DlSignatures whole = quarantine_whole ("a");
  DlSignature part = dl_part_signature (dl_str (whole.ids[0].text));

  CU_ASSERT_FALSE (dl_signature_is_whole (&part));
  CU_ASSERT_STRING_NOT_EQUAL (part.text, whole.ids[0].text);
}

static const CU_TestInfo quarantine_request_tests[] = {
  { "others break off", test_request_was_not_held_beside_others_that_break_off },
  { "retry soon after a crash", test_retry_soon_after_a_crash_was_not_counted },
  { "upstreams lost together", test_request_at_upstreams_lost_together_was_held },
  { "served before", test_request_served_before_its_crashes_was_held },
  { "crashes of a held request", test_sound_request_was_held_for_crashes_of_a_held_one },
  { "shared part", test_shared_part_was_held_for_crashes_of_a_held_request },
  { "served by others", test_request_that_others_served_was_held },
  { "retry after two crashes", test_request_was_sent_again_after_two_crashes },
  { "trial sent again", test_trial_was_sent_again },
  { "trials", test_more_trials_than_allowed_were_sent },
  { "trial that was not sent", test_trial_that_was_not_sent_was_counted },
  { "trials of others", test_entry_did_not_know_the_trials_of_others },
  { "turns", test_two_entries_made_the_first_trial },
  { "served trial", test_served_trial_did_not_release_the_request },
  { "request that comes on", test_request_that_came_on_was_forgotten },
  { "many held, new entry", test_new_entry_did_not_learn_all_that_is_held },
  { "kept by the store", test_request_that_the_store_keeps_was_sent },
  { "kept by the store, and served",
    test_word_from_the_store_held_a_request_that_was_served },
  { "memory", test_records_of_whole_requests_filled_the_memory },
  { "served lately", test_served_request_was_not_remembered },
  { "served long ago", test_served_request_was_remembered_for_ever },
  { "identity", test_different_requests_had_one_identity },
  { "large body", test_end_of_a_large_body_was_not_part_of_the_identity },
  { "part like a whole request", test_part_was_taken_for_a_whole_request },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("quarantine of one request", quarantine_request_tests)
