#include "kernel/metrics.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define MICROSECONDS_PER_MS     1000
#define MS_PER_SECOND           1000
#define MICROSECONDS_PER_SECOND 1e6

static const uint64_t bucket_bounds_ms[DL_HISTOGRAM_BUCKETS]
    = { 1,   2,    5,    10,   20,    50,    100,   200,
        500, 1000, 2000, 5000, 10000, 30000, 60000, UINT64_MAX };

static DlMetric *registered_metrics;

void
dl_metric_register (DlMetric *metric)
{
  DlMetric **at = &registered_metrics;

  while (*at != NULL && strcmp ((*at)->name, metric->name) < 0)
    at = &(*at)->next;
  metric->next = *at;
  *at = metric;
}

void
dl_metric_add (DlMetric *metric, int64_t amount)
{
  metric->value += amount;
}

void
dl_metric_set (DlMetric *metric, int64_t value)
{
  metric->value = value;
}

void
dl_metric_observe_us (DlMetric *metric, uint64_t microseconds)
{
  int i = 0;

  while (i < DL_HISTOGRAM_BUCKETS - 1
         && microseconds > bucket_bounds_ms[i] * MICROSECONDS_PER_MS)
    i++;
  metric->buckets[i]++;
  metric->value++;
  metric->sum_us += microseconds;
}

uint64_t
dl_metric_quantile_ms (const DlMetric *metric, double quantile)
{
  uint64_t cumulative = 0;
  double rank = quantile * (double)metric->value;

  for (int i = 0; i < DL_HISTOGRAM_BUCKETS; i++)
    {
      cumulative += metric->buckets[i];
      if ((double)cumulative >= rank)
        return bucket_bounds_ms[i];
    }
  return UINT64_MAX;
}

/* Times are written in seconds. */
static void
write_histogram (DlBuffer *buffer, const DlMetric *m)
{
  uint64_t cumulative = 0;

  for (int i = 0; i < DL_HISTOGRAM_BUCKETS - 1; i++)
    {
      cumulative += m->buckets[i];
      dl_buffer_printf (buffer, "%s_bucket{le=\"%g\"} %" PRIu64 "\n", m->name,
                        (double)bucket_bounds_ms[i] / MS_PER_SECOND, cumulative);
    }
  dl_buffer_printf (buffer, "%s_bucket{le=\"+Inf\"} %" PRId64 "\n", m->name, m->value);
  dl_buffer_printf (buffer, "%s_sum %.6f\n", m->name,
                    (double)m->sum_us / MICROSECONDS_PER_SECOND);
  dl_buffer_printf (buffer, "%s_count %" PRId64 "\n", m->name, m->value);
}

void
dl_metrics_write (DlBuffer *buffer)
{
  static const char *const type_names[] = {
    [DL_METRIC_COUNTER] = "counter",
    [DL_METRIC_GAUGE] = "gauge",
    [DL_METRIC_HISTOGRAM] = "histogram",
  };

  for (const DlMetric *m = registered_metrics; m != NULL; m = m->next)
    {
      dl_buffer_printf (buffer, "# HELP %s %s\n# TYPE %s %s\n", m->name, m->help, m->name,
                        type_names[m->type]);
      if (m->type == DL_METRIC_HISTOGRAM)
        write_histogram (buffer, m);
      else
        dl_buffer_printf (buffer, "%s %" PRId64 "\n", m->name, m->value);
    }
}

json_object *
dl_metrics_dump (void)
{
  json_object *object = json_object_new_object ();

  for (const DlMetric *m = registered_metrics; m != NULL; m = m->next)
    json_object_object_add (object, m->name, json_object_new_int64 (m->value));
  return object;
}
