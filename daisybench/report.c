/*
 * Reports the results of a load as text, as one JSON object or as "figure" lines.
 */
#include <inttypes.h>
#include <stdio.h>

#include "daisybench.h"

#define MICROSECONDS_PER_MS 1000.0

static const char *const outcome_names[LOAD_OUTCOMES] = {
  [LOAD_ANSWERED] = "answered", [LOAD_REFUSED] = "refused",
  [LOAD_INVALID] = "invalid",   [LOAD_CUT_OFF] = "cut_off",
  [LOAD_UNKNOWN] = "unknown",   [LOAD_UNREACHED] = "unreached",
};

static const struct
{
  const char *name;
  double quantile;
} quantiles[] = { { "p50", 0.50 }, { "p95", 0.95 }, { "p99", 0.99 } };

static gint
compare_samples (gconstpointer a, gconstpointer b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? -1 : x > y;
}

uint64_t
report_quantile_us (GArray *samples, double quantile)
{
  guint index;

  if (samples->len == 0)
    return 0;
  g_array_sort (samples, compare_samples);
  index = (guint)(quantile * (double)(samples->len - 1) + 0.5);
  return g_array_index (samples, uint64_t, index);
}

static double
per_second (const LoadResults *f, uint64_t count)
{
  return f->elapsed_s > 0 ? (double)count / f->elapsed_s : 0;
}

static void
print_delays (const char *name, GArray *samples)
{
  printf ("%-9s", name);
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    printf ("  %s %.2f ms", quantiles[i].name,
            (double)report_quantile_us (samples, quantiles[i].quantile)
                / MICROSECONDS_PER_MS);
  printf ("  of %u\n", samples->len);
}

void
report_text (const LoadOptions *options, LoadResults *results)
{
  printf ("arrivals  %" PRIu64 " in %.1f s, seed %" PRIu64 "\n", results->arrivals,
          results->elapsed_s, options->seed);
  if (results->skipped > 0)
    printf ("skipped   %" PRIu64 ": %" PRIu64 " were open\n", results->skipped,
            options->streams);
  for (int i = 0; i < LOAD_OUTCOMES; i++)
    printf ("%-9s %" PRIu64 "\n", outcome_names[i], results->counts[i]);
  printf ("goodput   %.1f requests/s, %.1f tokens/s\n",
          per_second (results, results->counts[LOAD_ANSWERED]),
          per_second (results, results->tokens));
  print_delays ("first", results->first_us);
  print_delays ("total", results->total_us);
  print_delays ("refusal", results->refusal_us);
}

static void
add_delays (json_object *report, const char *name, GArray *samples)
{
  json_object *delays = json_object_new_object ();

  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    json_object_object_add (delays, quantiles[i].name,
                            json_object_new_uint64 (
                                report_quantile_us (samples, quantiles[i].quantile)));
  json_object_object_add (report, name, delays);
}

void
report_json (const LoadOptions *options, LoadResults *results)
{
  json_object *report = json_object_new_object ();

  json_object_object_add (report, "seed", json_object_new_uint64 (options->seed));
  json_object_object_add (report, "elapsed_s",
                          json_object_new_double (results->elapsed_s));
  json_object_object_add (report, "arrivals", json_object_new_uint64 (results->arrivals));
  json_object_object_add (report, "skipped", json_object_new_uint64 (results->skipped));
  for (int i = 0; i < LOAD_OUTCOMES; i++)
    json_object_object_add (report, outcome_names[i],
                            json_object_new_uint64 (results->counts[i]));
  json_object_object_add (report, "goodput_per_s",
                          json_object_new_double (
                              per_second (results, results->counts[LOAD_ANSWERED])));
  json_object_object_add (report, "tokens_per_s",
                          json_object_new_double (per_second (results, results->tokens)));
  add_delays (report, "first_us", results->first_us);
  add_delays (report, "total_us", results->total_us);
  add_delays (report, "refusal_us", results->refusal_us);
  printf ("%s\n", json_object_to_json_string_ext (report, JSON_C_TO_STRING_PLAIN));
  json_object_put (report);
}

static void
print_delay_figures (const char *name, const char *kind, GArray *samples)
{
  for (size_t i = 0; samples->len > 0 && i < G_N_ELEMENTS (quantiles); i++)
    printf ("figure %s_%s_%s %.3f ms\n", name, kind, quantiles[i].name,
            (double)report_quantile_us (samples, quantiles[i].quantile)
                / MICROSECONDS_PER_MS);
}

void
report_figures (const char *name, LoadResults *results)
{
  printf ("figure %s_arrivals %" PRIu64 " requests\n", name, results->arrivals);
  printf ("figure %s_skipped %" PRIu64 " requests\n", name, results->skipped);
  for (int i = 0; i < LOAD_OUTCOMES; i++)
    printf ("figure %s_%s %" PRIu64 " requests\n", name, outcome_names[i],
            results->counts[i]);
  printf ("figure %s_goodput %.1f requests/s\n", name,
          per_second (results, results->counts[LOAD_ANSWERED]));
  print_delay_figures (name, "first", results->first_us);
  print_delay_figures (name, "total", results->total_us);
  print_delay_figures (name, "refusal", results->refusal_us);
}
