/*
 * Counters, gauges and latency histograms of one process, written as text in the common
 * exposition format.
 *
 * A metric is a static object that registers itself by DL_METRIC before main runs.
 */
#ifndef DL_METRICS_H
#define DL_METRICS_H

#include <json-c/json.h>
#include <stdint.h>

#include "kernel/str.h"

typedef enum
{
  DL_METRIC_COUNTER,
  DL_METRIC_GAUGE,
  DL_METRIC_HISTOGRAM,
} DlMetricType;

/* Upper bounds of the histogram buckets, in milliseconds; the last is open. */
#define DL_HISTOGRAM_BUCKETS 16

typedef struct DlMetric
{
  DlMetricType type;
  const char *name; /* with its unit at the end, as in "daisy_sent_bytes" */
  const char *help;
  int64_t value; /* counter or gauge; the number of samples of a histogram */
  uint64_t sum_us;
  uint64_t buckets[DL_HISTOGRAM_BUCKETS];
  struct DlMetric *next;
} DlMetric;

void dl_metric_register (DlMetric *metric);

/* Defines the static metric VARIABLE. */
#define DL_METRIC(variable, metric_type, metric_name, metric_help)               \
  static DlMetric variable                                                       \
      = { .type = (metric_type), .name = (metric_name), .help = (metric_help) }; \
  static void __attribute__ ((constructor)) variable##_register (void)           \
  {                                                                              \
    dl_metric_register (&(variable));                                            \
  }

void dl_metric_add (DlMetric *metric, int64_t amount);
void dl_metric_set (DlMetric *metric, int64_t value);
void dl_metric_observe_us (DlMetric *metric, uint64_t microseconds);
/* Upper bound, in milliseconds, of the bucket that holds the given quantile (0 to 1). */
uint64_t dl_metric_quantile_ms (const DlMetric *metric, double quantile);
/* Writes all metrics in the exposition format. */
void dl_metrics_write (DlBuffer *buffer);
json_object *dl_metrics_dump (void);

#endif
