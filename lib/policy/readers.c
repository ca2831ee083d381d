#include "policy/readers.h"

#include <glib.h>
#include <talloc.h>

#include "policy/fanout.h"
#include "policy/rendezvous.h"

/* Scores of the region's entries; higher scores rank first. */
typedef struct
{
  const DlReadersQuery *query;
  uint64_t *others;
  uint64_t self; /* 0 when this node is not an entry */
} Scores;

static Scores
score_entries (const DlReadersQuery *q)
{
  Scores s = { .query = q, .others = g_new (uint64_t, MAX (q->other_count, 1)) };

  if (q->is_entry)
    s.self = dl_fanout_rank (q->self);
  for (size_t i = 0; i < q->other_count; i++)
    s.others[i] = dl_fanout_rank (q->others[i]);
  return s;
}

/* True when the entry with SCORE is among the first READERS entries. */
static bool
is_reader (const Scores *s, uint64_t score, size_t readers)
{
  size_t before = s->self > score;

  for (size_t i = 0; i < s->query->other_count; i++)
    before += s->others[i] > score;
  return before < readers;
}

/* Picks the reader for a node that is not one; the hash spreads nodes over the readers.
 */
static int
choose_reader (const Scores *s, size_t readers)
{
  const DlReadersQuery *q = s->query;
  int chosen = -1;
  uint64_t best = 0;

  for (size_t i = 0; i < q->other_count; i++)
    {
      uint64_t score;

      if (!is_reader (s, s->others[i], readers))
        continue;
      score = dl_rendezvous_score (dl_str (q->self), dl_str (q->others[i]));
      if (chosen < 0 || score > best)
        {
          chosen = (int)i;
          best = score;
        }
    }
  return chosen;
}

int
dl_readers_choose (const DlReadersQuery *q)
{
  size_t entries = q->other_count + q->is_entry;
  size_t readers = (entries + DL_ENTRIES_PER_READER - 1) / DL_ENTRIES_PER_READER;
  Scores scores = score_entries (q);
  int chosen = -1;

  if (!q->is_entry || !is_reader (&scores, scores.self, readers))
    chosen = choose_reader (&scores, readers);
  g_free (scores.others);
  return chosen;
}

/* -------- readers that failed -------- */

struct DlReaderHealth
{
  bool is_entry;
  GHashTable *avoided; /* reader's name to the time until which it is not asked */
  unsigned failures;   /* consecutive */
  unsigned stale;      /* consecutive, of copies that are too old */
  uint64_t store_until_ms;
};

static int
health_destroy (DlReaderHealth *health)
{
  g_hash_table_destroy (health->avoided);
  return 0;
}

DlReaderHealth *
dl_reader_health_new (const void *context, bool is_entry)
{
  DlReaderHealth *health = talloc_zero (context, DlReaderHealth);

  g_assert (health != NULL);
  health->is_entry = is_entry;
  health->avoided = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (health, health_destroy);
  return health;
}

bool
dl_reader_health_may_ask (const DlReaderHealth *health,
                          const char *reader,
                          uint64_t now_ms)
{
  const uint64_t *until_ms = g_hash_table_lookup (health->avoided, reader);

  return until_ms == NULL || now_ms >= *until_ms;
}

bool
dl_reader_health_must_use_store (const DlReaderHealth *health, uint64_t now_ms)
{
  return now_ms < health->store_until_ms;
}

/* Returns false when the reader was being avoided already. */
static bool
avoid (DlReaderHealth *health, const char *reader, uint64_t avoid_ms, uint64_t now_ms)
{
  uint64_t *until_ms;

  if (!dl_reader_health_may_ask (health, reader, now_ms))
    return false;
  until_ms = g_new (uint64_t, 1);
  *until_ms = now_ms + avoid_ms;
  g_hash_table_replace (health->avoided, g_strdup (reader), until_ms);
  return true;
}

uint64_t
dl_reader_health_failed (DlReaderHealth *health,
                         const char *reader,
                         uint64_t random,
                         uint64_t now_ms,
                         bool *is_new)
{
  *is_new = avoid (health, reader, DL_READER_AVOID_MS, now_ms);
  health->failures += *is_new;
  if (!health->is_entry)
    return DL_READER_NODE_BACKOFF_MS;
  if (health->failures >= DL_READER_FAILURES_MAX)
    {
      health->failures = 0;
      health->store_until_ms = now_ms + DL_READER_AVOID_MS;
    }
  if (dl_reader_health_must_use_store (health, now_ms))
    return random % DL_READER_JITTER_MS;
  return DL_READER_BACKOFF_MS;
}

uint64_t
dl_reader_health_stale (DlReaderHealth *health,
                        const char *reader,
                        uint64_t now_ms,
                        bool *is_new)
{
  *is_new = avoid (health, reader, DL_READER_STALE_AVOID_MS, now_ms);
  health->stale += *is_new;
  if (!health->is_entry)
    return DL_READER_NODE_BACKOFF_MS;
  return health->stale < DL_READER_FAILURES_MAX ? DL_READER_BACKOFF_MS
                                                : DL_READER_STALE_BACKOFF_MS;
}

void
dl_reader_health_succeeded (DlReaderHealth *health)
{
  health->failures = 0;
  health->stale = 0;
}
