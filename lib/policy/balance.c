#include "policy/balance.h"

#include <errno.h>
#include <glib.h>

/* Weight of the newest outcome in the smoothed failure rate. */
#define FAILURE_WEIGHT 0.15
/* Penalties in the score of a candidate, counted in requests. */
#define OTHER_DATA_CENTER_PENALTY 2.5
#define FAILURE_PENALTY           24.0 /* times the failure rate */
/* A prompt of usual length being processed delays the next first event about as much as
 * this many requests. */
#define PROMPT_PENALTY 1.5
/* This many entries of other regions count as one where request slots are shared. */
#define OTHER_REGION_DIVISOR       4
#define OTHER_REGION_DIVISOR_LARGE 20

unsigned
dl_balance_usable_slots (unsigned slots)
{
  unsigned headroom = slots * DL_BALANCE_HEADROOM_PERCENT / 100;

  return MAX (slots - headroom, 1);
}

unsigned
dl_balance_sharing_entries (unsigned same_region, unsigned other_region, bool is_large)
{
  unsigned divisor = is_large ? OTHER_REGION_DIVISOR_LARGE : OTHER_REGION_DIVISOR;

  return MAX (same_region + other_region / divisor, 1);
}

void
dl_balance_report (DlUpstreamLoad *load,
                   unsigned reported,
                   unsigned entries,
                   uint64_t random,
                   uint64_t now_ms)
{
  unsigned free_slots = load->capacity > reported ? load->capacity - reported : 0;

  entries = MAX (entries, 1);
  load->share = free_slots / entries + (random % entries < free_slots % entries);
  load->reported = reported;
  load->reported_ms = now_ms;
  load->sent_since = 0;
  load->ended_since = 0;
}

void
dl_balance_sent (DlUpstreamLoad *load, uint64_t prompt_tokens)
{
  load->in_flight++;
  load->sent_since++;
  load->prompt_tokens += prompt_tokens;
}

static void
subtract_prompt (DlUpstreamLoad *load, uint64_t prompt_tokens)
{
  load->prompt_tokens -= MIN (prompt_tokens, load->prompt_tokens);
}

void
dl_balance_started (DlUpstreamLoad *load, uint64_t prompt_tokens)
{
  subtract_prompt (load, prompt_tokens);
}

void
dl_balance_ended (DlUpstreamLoad *load, uint64_t prompt_tokens, bool started, bool failed)
{
  if (!started)
    subtract_prompt (load, prompt_tokens);
  if (load->in_flight > 0)
    load->in_flight--;
  load->ended_since++;
  load->failure_rate += FAILURE_WEIGHT * ((failed ? 1.0 : 0.0) - load->failure_rate);
}

static bool
has_recent_report (const DlUpstreamLoad *load, uint64_t now_ms)
{
  uint64_t max_age_ms
      = load->is_relayed ? DL_BALANCE_RELAYED_MAX_AGE_MS : DL_BALANCE_REPORT_MAX_AGE_MS;

  return load->reported_ms != 0 && now_ms <= load->reported_ms + max_age_ms;
}

double
dl_balance_estimate (const DlUpstreamLoad *load, unsigned entries, uint64_t now_ms)
{
  double estimate;

  if (!has_recent_report (load, now_ms))
    return (double)load->in_flight * MAX (entries, 1);
  estimate = (double)load->reported + load->sent_since - load->ended_since;
  return MAX (estimate, (double)load->in_flight);
}

bool
dl_balance_has_room (const DlUpstreamLoad *load, unsigned entries, uint64_t now_ms)
{
  if (has_recent_report (load, now_ms))
    return load->sent_since < load->share + load->ended_since;
  if (load->is_relayed)
    return false;
  return dl_balance_estimate (load, entries, now_ms) < (double)MAX (load->capacity, 1);
}

/* Lower is better: the share of the slots in use, raised by what else would delay the
 * request there. */
static double
score (const DlBalanceCandidate *c, const DlBalanceQuery *query)
{
  const DlUpstreamLoad *l = c->load;
  double requests = dl_balance_estimate (l, query->entries, query->now_ms);

  if (query->usual_prompt_tokens > 0)
    requests += PROMPT_PENALTY * (double)l->prompt_tokens / query->usual_prompt_tokens;
  if (!c->same_data_center)
    requests += OTHER_DATA_CENTER_PENALTY;
  requests += FAILURE_PENALTY * l->failure_rate;
  return (requests + 1) * MAX (l->pace, 1.0) * MAX (c->machine_pace, 1.0)
         / MAX (l->capacity, 1);
}

/* Stores the indexes of the eligible candidates in OUT; returns their number. */
static size_t
list_eligible (const DlBalanceCandidate *candidates,
               size_t count,
               const DlBalanceQuery *query,
               bool allow_avoided,
               size_t *out)
{
  size_t n = 0;

  for (size_t i = 0; i < count; i++)
    {
      const DlBalanceCandidate *c = &candidates[i];

      if (c->allowed && !c->replaced && !c->paced && (allow_avoided || !c->avoided)
          && dl_balance_has_room (c->load, query->entries, query->now_ms))
        out[n++] = i;
    }
  return n;
}

/* Returns the best of up to DL_BALANCE_SAMPLE candidates, sampled from POOL without
 * replacement. */
static int
best_of_sample (const DlBalanceCandidate *candidates,
                size_t *pool,
                size_t count,
                const DlBalanceQuery *query)
{
  uint64_t random = query->random;
  size_t sample = MIN (count, DL_BALANCE_SAMPLE);
  int best = -1;
  double best_score = 0;

  for (size_t n = 0; n < sample; n++)
    {
      size_t at = n + (size_t)(random % (count - n));
      size_t sampled = pool[at];
      double s = score (&candidates[sampled], query);

      pool[at] = pool[n];
      random /= count - n;
      if (best < 0 || s < best_score)
        {
          best = (int)sampled;
          best_score = s;
        }
    }
  return best;
}

/* True if an upstream other than the avoided ones may get the request, now or later. */
static bool
has_other (const DlBalanceCandidate *candidates, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (candidates[i].allowed && !candidates[i].avoided && !candidates[i].replaced)
      return true;
  return false;
}

int
dl_balance_choose (const DlBalanceCandidate *candidates,
                   size_t count,
                   const DlBalanceQuery *query)
{
  size_t *pool = g_new (size_t, MAX (count, 1));
  int chosen = -ENOENT;
  size_t n = list_eligible (candidates, count, query, false, pool);

  if (n == 0 && !(query->wait_for_others && has_other (candidates, count)))
    n = list_eligible (candidates, count, query, true, pool);
  if (n > 0)
    chosen = best_of_sample (candidates, pool, n, query);
  g_free (pool);
  for (size_t i = 0; i < count && chosen == -ENOENT; i++)
    if (candidates[i].allowed)
      chosen = -EBUSY;
  return chosen;
}
