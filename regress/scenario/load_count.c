/*
 * How the requests of loads ended: counters, times and the outcomes of each tag.
 */
#include <stdio.h>
#include <string.h>

#include "load.h"

#define MICROSECONDS_PER_MS 1000.0

const char *const load_counter_names[COUNTERS] = {
  "sent",   "answered", "refused", "rejected", "uncertain", "cut_off",
  "broken", "lost",     "mixed",   "crossed",  "changed",   "unserved",
};

Outcomes *
load_outcomes (Scenario *s, const char *tag)
{
  Outcomes *outcomes = g_hash_table_lookup (s->outcomes, tag);

  if (outcomes == NULL)
    {
      outcomes = g_new0 (Outcomes, 1);
      g_hash_table_insert (s->outcomes, g_strdup (tag), outcomes);
    }
  return outcomes;
}

void
load_count (Request *r, LoadCounter counter)
{
  Outcomes *outcomes = load_outcomes (r->load->scenario, r->tag);

  r->load->counters[counter]++;
  outcomes->non_idempotent = r->load->keyed;
  switch (counter)
    {
    case SENT:
      outcomes->sent++;
      break;
    case ANSWERED:
      outcomes->answered++;
      break;
    case REFUSED:
      outcomes->not_run++;
      break;
    case UNCERTAIN:
    case CUT_OFF:
    case BROKEN:
    case LOST:
    case MIXED:
    case CROSSED:
      outcomes->uncertain++;
      break;
    default:
      break;
    }
}

void
load_record_times (Request *r)
{
  const HttpCall *c = r->call;
  double first = (double)(c->first_byte_us - c->started_us) / MICROSECONDS_PER_MS;
  double total = (double)(c->done_us - c->started_us) / MICROSECONDS_PER_MS;

  g_array_append_val (r->load->first_ms, first);
  g_array_append_val (r->load->total_ms, total);
}

/* -------- reading -------- */

Load *
load_find (Scenario *s, const char *name)
{
  for (unsigned i = 0; i < s->loads->len; i++)
    {
      Load *load = g_ptr_array_index (s->loads, i);

      if (strcmp (load->name, name) == 0)
        return load;
    }
  return NULL;
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static double
percentile (GArray *values, unsigned percent)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_doubles);
  return g_array_index (values, double,
                        MIN (values->len - 1, values->len * percent / 100));
}

bool
load_counter (Scenario *s, const char *name, const char *counter, double *value)
{
  Load *load = load_find (s, name);
  uint64_t percent = 0;

  if (load == NULL)
    return false;
  for (unsigned i = 0; i < COUNTERS; i++)
    if (strcmp (load_counter_names[i], counter) == 0)
      {
        *value = load->counters[i];
        return true;
      }
  if (strcmp (counter, "open") == 0)
    *value = load->open->len;
  else if (g_str_has_prefix (counter, "first_p")
           && scn_parse_uint (counter + strlen ("first_p"), &percent))
    *value = percentile (load->first_ms, (unsigned)percent);
  else if (g_str_has_prefix (counter, "total_p")
           && scn_parse_uint (counter + strlen ("total_p"), &percent))
    *value = percentile (load->total_ms, (unsigned)percent);
  else
    return false;
  return true;
}

double
load_sum (Scenario *s, const char *counter)
{
  double sum = 0;
  double value;

  for (unsigned i = 0; i < s->loads->len; i++)
    if (load_counter (s, ((Load *)g_ptr_array_index (s->loads, i))->name, counter,
                      &value))
      sum += value;
  return sum;
}

void
load_print (Scenario *s)
{
  for (unsigned i = 0; i < s->loads->len; i++)
    {
      const Load *load = g_ptr_array_index (s->loads, i);

      printf ("load %s:", load->name);
      for (unsigned j = 0; j < COUNTERS; j++)
        if (load->counters[j] > 0)
          printf (" %s=%.0f", load_counter_names[j], load->counters[j]);
      printf (" open=%u\n", load->open->len);
    }
}
