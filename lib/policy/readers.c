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

/* Readers whose copies of one kind of objects are too old. */
typedef struct
{
  GHashTable *avoided;   /* reader's name to the time until which it is not asked */
  unsigned stale;        /* consecutive */
  uint64_t direct_at_ms; /* the store did not answer: it is not read before; 0: it did */
  uint64_t reading_ms;   /* a reader was last seen to read them; 0: none was */
} KindHealth;

struct DlReaderHealth
{
  bool is_entry;
  GHashTable *avoided; /* as in KindHealth, for all kinds */
  GHashTable *kinds;   /* name to KindHealth */
  unsigned failures;   /* consecutive */
  uint64_t store_until_ms;
};

static GHashTable *
avoided_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static void
kind_free (gpointer data)
{
  KindHealth *kind = data;

  g_hash_table_destroy (kind->avoided);
  g_free (kind);
}

static int
health_destroy (DlReaderHealth *health)
{
  g_hash_table_destroy (health->avoided);
  g_hash_table_destroy (health->kinds);
  return 0;
}

DlReaderHealth *
dl_reader_health_new (const void *context, bool is_entry)
{
  DlReaderHealth *health = talloc_zero (context, DlReaderHealth);

  g_assert (health != NULL);
  health->is_entry = is_entry;
  health->avoided = avoided_new ();
  health->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, kind_free);
  talloc_set_destructor (health, health_destroy);
  return health;
}

static KindHealth *
get_kind (DlReaderHealth *health, const char *name)
{
  KindHealth *kind = g_hash_table_lookup (health->kinds, name);

  if (kind != NULL)
    return kind;
  kind = g_new0 (KindHealth, 1);
  kind->avoided = avoided_new ();
  g_hash_table_insert (health->kinds, g_strdup (name), kind);
  return kind;
}

static bool
is_avoided (GHashTable *avoided, const char *reader, uint64_t now_ms)
{
  const uint64_t *until_ms = g_hash_table_lookup (avoided, reader);

  return until_ms != NULL && now_ms < *until_ms;
}

bool
dl_reader_health_may_ask (const DlReaderHealth *health,
                          const char *reader,
                          const char *kind,
                          uint64_t now_ms)
{
  const KindHealth *of_kind = g_hash_table_lookup (health->kinds, kind);

  return !is_avoided (health->avoided, reader, now_ms)
         && (of_kind == NULL || !is_avoided (of_kind->avoided, reader, now_ms));
}

bool
dl_reader_health_must_use_store (const DlReaderHealth *health, uint64_t now_ms)
{
  return now_ms < health->store_until_ms;
}

/* Returns false when the reader was being avoided already. */
static bool
avoid (GHashTable *avoided, const char *reader, uint64_t avoid_ms, uint64_t now_ms)
{
  uint64_t *until_ms;

  if (is_avoided (avoided, reader, now_ms))
    return false;
  until_ms = g_new (uint64_t, 1);
  *until_ms = now_ms + avoid_ms;
  g_hash_table_replace (avoided, g_strdup (reader), until_ms);
  return true;
}

uint64_t
dl_reader_health_failed (DlReaderHealth *health,
                         const char *reader,
                         uint64_t random,
                         uint64_t now_ms,
                         bool *is_new)
{
  *is_new = avoid (health->avoided, reader, DL_READER_AVOID_MS, now_ms);
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
                        const char *kind,
                        uint64_t now_ms,
                        bool *is_new)
{
  KindHealth *of_kind = get_kind (health, kind);

  *is_new = avoid (of_kind->avoided, reader, DL_READER_STALE_AVOID_MS, now_ms);
  of_kind->stale += *is_new;
  if (!health->is_entry)
    return DL_READER_NODE_BACKOFF_MS;
  return of_kind->stale < DL_READER_FAILURES_MAX ? DL_READER_BACKOFF_MS
                                                 : DL_READER_STALE_BACKOFF_MS;
}

void
dl_reader_health_succeeded (DlReaderHealth *health, const char *kind)
{
  KindHealth *of_kind = get_kind (health, kind);

  health->failures = 0;
  of_kind->stale = 0;
  of_kind->direct_at_ms = 0;
}

/* -------- reading the store without a reader -------- */

#define PERCENT 100

/* The part of SPREAD after which it is the turn of the entry at POSITION. */
static uint64_t
turn (uint64_t spread, size_t position)
{
  return spread * (position % DL_ENTRIES_PER_READER) / DL_ENTRIES_PER_READER;
}

/* Time from which an entry that has no copy reads the store itself. */
static uint64_t
first_direct_ms (const KindHealth *of_kind, const DlReaderCopy *copy)
{
  uint64_t since_ms = MAX (copy->wanted_ms, of_kind->reading_ms);
  size_t place = copy->position % DL_ENTRIES_PER_READER;

  return since_ms + DL_READER_FIRST_WAIT_MS + place * DL_READER_FIRST_STEP_MS;
}

/* Time up to which a reader that is receiving a newer copy is waited for. */
static uint64_t
awaited_ms (const KindHealth *of_kind, const DlReaderCopy *copy)
{
  size_t place = copy->position % DL_ENTRIES_PER_READER;

  if (of_kind->reading_ms == 0)
    return 0;
  return of_kind->reading_ms + DL_READER_RENEWAL_WAIT_MS
         + place * DL_READER_RENEWAL_STEP_MS;
}

/* The same as first_direct_ms for an entry that has a copy. */
static uint64_t
renewal_ms (const KindHealth *of_kind, const DlReaderCopy *copy)
{
  uint64_t age_ms = copy->apply_ms * DL_READER_DIRECT_PERCENT / PERCENT;
  uint64_t spread_ms = copy->apply_ms * DL_READER_DIRECT_SPREAD_PERCENT / PERCENT;

  if (copy->apply_ms == 0)
    return UINT64_MAX;
  return MAX (copy->synced_ms + age_ms + turn (spread_ms, copy->position),
              awaited_ms (of_kind, copy));
}

uint64_t
dl_reader_health_direct_ms (const DlReaderHealth *health, const DlReaderCopy *copy)
{
  static const KindHealth unknown;
  const KindHealth *of_kind = g_hash_table_lookup (health->kinds, copy->kind);

  if (!health->is_entry)
    return UINT64_MAX;
  if (of_kind == NULL)
    of_kind = &unknown;
  return MAX (copy->synced_ms == 0 ? first_direct_ms (of_kind, copy)
                                   : renewal_ms (of_kind, copy),
              of_kind->direct_at_ms);
}

uint64_t
dl_reader_health_reading (DlReaderHealth *health, const char *kind, uint64_t now_ms)
{
  KindHealth *of_kind = get_kind (health, kind);

  health->failures = 0;
  of_kind->stale = 0;
  of_kind->reading_ms = now_ms;
  return health->is_entry ? DL_READER_READING_BACKOFF_MS : DL_READER_NODE_BACKOFF_MS;
}

void
dl_reader_health_store_failed (DlReaderHealth *health,
                               const DlReaderCopy *copy,
                               uint64_t now_ms)
{
  get_kind (health, copy->kind)->direct_at_ms
      = now_ms + DL_READER_DIRECT_RETRY_MS
        + turn (DL_READER_DIRECT_SPREAD_MS, copy->position);
}
