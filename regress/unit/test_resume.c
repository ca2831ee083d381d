/* Resumed streams: no token is lost or duplicated, wherever the stream is cut. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "policy/resume.h"
#include "unit.h"

#define SCHEDULES 500
#define TOKENS    40

/* The stream of an upstream from token FROM on. */
static char *
stream_text (const void *context, unsigned from)
{
  char *text = talloc_strdup (context, "");

  for (unsigned i = from; i < TOKENS; i++)
    text = talloc_asprintf_append (text, "{\"token\": %u, \"text\": \"t%u\"}\n", i, i);
  return talloc_asprintf_append (text, "{\"done\": true, \"tokens\": %d}\n", TOKENS);
}

/* Feeds up to LENGTH bytes in pieces of random size. */
static DlResumeState
feed (DlResume *resume, GRand *random, const char *text, size_t length, DlBuffer *out)
{
  DlResumeState state = resume->state;

  while (length > 0 && state == DL_RESUME_MORE)
    {
      size_t n = MIN (length, (size_t)g_rand_int_range (random, 1, 40));

      state = dl_resume_feed (resume, dl_str_bytes (text, n), out);
      text += n;
      length -= n;
    }
  return state;
}

static void
test_schedules (void)
{
  guint32 first = unit_first_seed ("resumed streams", 1);

  for (guint32 seed = first; seed < first + SCHEDULES; seed++)
    {
      void *context = talloc_new (NULL);
      GRand *random = g_rand_new_with_seed (seed);
      DlResume *resume = dl_resume_new (context, 0);
      DlBuffer *out = dl_buffer_new (context, 0);
      DlResumeState state = DL_RESUME_MORE;

      while (state == DL_RESUME_MORE)
        {
          /* Some upstreams resume from a token that the caller already has. */
          unsigned drawn = (unsigned)g_rand_int_range (random, 0, 3);
          unsigned back = MIN (resume->next_token, drawn);
          const char *text = stream_text (context, resume->next_token - back);
          size_t length = strlen (text);

          if (g_rand_int_range (random, 0, 4) > 0)
            length = (size_t)g_rand_int_range (random, 0, (gint32)length);
          dl_resume_restart (resume);
          state = feed (resume, random, text, length, out);
        }
      CU_ASSERT_EQUAL (state, DL_RESUME_DONE);
      if (!dl_str_equal (dl_buffer_view (out), dl_str (stream_text (context, 0))))
        {
          fprintf (stderr, "  resume schedule of seed %u\n", seed);
          CU_FAIL ("a token was lost or duplicated");
        }
      g_rand_free (random);
      talloc_free (context);
    }
}

typedef struct
{
  const char *text;
  DlResumeState state;
  const char *out;
} FeedCase;

static const FeedCase feed_cases[] = {
  { "{\"token\":0}\n{\"token\":1}\n", DL_RESUME_MORE, "{\"token\":0}\n{\"token\":1}\n" },
  { "{\"token\":0}\n{\"token\":0}\n", DL_RESUME_MORE, "{\"token\":0}\n" },
  { "{\"token\":0}\n{\"token\":2}\n", DL_RESUME_BROKEN, "{\"token\":0}\n" },
  { "{\"token\":-1}\n", DL_RESUME_BROKEN, "" },
  { "{\"token\":0}\n{\"done\":true,\"tokens\":1}\n", DL_RESUME_DONE,
    "{\"token\":0}\n{\"done\":true,\"tokens\":1}\n" },
  { "{\"token\":0}\n{\"done\":true,\"tokens\":5}\n", DL_RESUME_BROKEN,
    "{\"token\":0}\n" },
  { "{\"token\":0}\n{\"done\":true}\n", DL_RESUME_BROKEN, "{\"token\":0}\n" },
  { "{\"token\":0}\nnot json\n", DL_RESUME_BROKEN, "{\"token\":0}\n" },
  { "[]\n", DL_RESUME_BROKEN, "" },
  { "\n", DL_RESUME_BROKEN, "" },
  { "{\"token\":0", DL_RESUME_MORE, "" },
};

static void
test_feeds (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (feed_cases); i++)
    {
      const FeedCase *c = &feed_cases[i];
      void *context = talloc_new (NULL);
      DlResume *resume = dl_resume_new (context, 0);
      DlBuffer *out = dl_buffer_new (context, 0);

      CU_ASSERT_EQUAL (dl_resume_feed (resume, dl_str (c->text), out), c->state);
      unit_assert_text (dl_str_dup (context, dl_buffer_view (out)), c->out);
      talloc_free (context);
    }
}

static void
test_endless_line (void)
{
  void *context = talloc_new (NULL);
  DlResume *resume = dl_resume_new (context, 0);
  DlBuffer *out = dl_buffer_new (context, 0);
  DlResumeState state = DL_RESUME_MORE;

  for (int i = 0; i < 100 && state == DL_RESUME_MORE; i++)
    state = dl_resume_feed (resume, dl_str_bytes (talloc_zero_size (context, 1024), 1024),
                            out);
  CU_ASSERT_EQUAL (state, DL_RESUME_BROKEN);
  talloc_free (context);
}

static void
test_refusals (void)
{
  void *context = talloc_new (NULL);
  DlResume *resume = dl_resume_new (context, 0);
  uint64_t delay_ms = 1;

  CU_ASSERT (dl_resume_attempt_ended (resume, false, 1000, &delay_ms));
  CU_ASSERT_EQUAL (delay_ms, 0);
  for (uint64_t now = 2000; now < 2000 + DL_RESUME_WAIT_MS; now += 100)
    {
      CU_ASSERT (dl_resume_attempt_ended (resume, true, now, &delay_ms));
      CU_ASSERT (delay_ms > 0
                 && delay_ms <= DL_RESUME_BACKOFF_MS * DL_RESUME_ATTEMPTS_MAX);
    }
  CU_ASSERT (
      !dl_resume_attempt_ended (resume, true, 2000 + DL_RESUME_WAIT_MS, &delay_ms));

  /* Attempts that ran count, whatever was refused between them. */
  for (unsigned i = 1; i < DL_RESUME_ATTEMPTS_MAX; i++)
    {
      CU_ASSERT (dl_resume_attempt_ended (resume, false, 20000 * i, &delay_ms));
      CU_ASSERT (dl_resume_attempt_ended (resume, true, 20000 * i + 10000, &delay_ms));
    }
  CU_ASSERT (!dl_resume_attempt_ended (resume, false, 90000, &delay_ms));
  talloc_free (context);
}

static const CU_TestInfo resume_tests[] = {
  { "cut streams", test_schedules },
  { "lines", test_feeds },
  { "line without an end", test_endless_line },
  { "refusals", test_refusals },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("resume", resume_tests)
