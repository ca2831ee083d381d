/*
 * Counters, gauges and latency histograms of a process, written in the Prometheus text
 * exposition format.
 *
 * A metric is a static object that DL_METRIC registers before main runs.
 */
#ifndef DL_METRICS_H
#define DL_METRICS_H

#include <json-c/json.h>
#include <stdint.h>

#include "kernel/str.h"

/* A counter only rises; a gauge is set; a histogram counts samples of a time. */
typedef enum
{
  DL_METRIC_COUNTER,
  DL_METRIC_GAUGE,
  DL_METRIC_HISTOGRAM,
} DlMetricType;

/* The last bucket has no upper bound. */
#define DL_HISTOGRAM_BUCKETS 16

typedef struct DlMetric
{
  DlMetricType type;
  const char *name; /* ends with its unit, as in "daisy_sent_bytes" */
  const char *help;
  int64_t value;   /* of a counter or gauge; number of samples of a histogram */
  uint64_t sum_us; /* of all samples of a histogram */
  uint64_t buckets[DL_HISTOGRAM_BUCKETS]; /* samples in each, not cumulative */
  struct DlMetric *next;
} DlMetric;

/* Adds METRIC, which must stay valid, to those that are written; see DL_METRIC. */
void dl_metric_register (DlMetric *metric);

/* Defines and registers the static metric VARIABLE. */
#define DL_METRIC(variable, metric_type, metric_name, metric_help)               \
  static DlMetric variable                                                       \
      = { .type = (metric_type), .name = (metric_name), .help = (metric_help) }; \
  static void __attribute__ ((constructor)) variable##_register (void)           \
  {                                                                              \
    dl_metric_register (&(variable));                                            \
  }

/* Adds AMOUNT to a counter or gauge. */
void dl_metric_add (DlMetric *metric, int64_t amount);
/* Sets a gauge. */
void dl_metric_set (DlMetric *metric, int64_t value);
/* Adds a sample to a histogram. */
void dl_metric_observe_us (DlMetric *metric, uint64_t microseconds);
/* Returns the upper bound, in milliseconds, of the bucket that holds the given quantile
 * (0 to 1); UINT64_MAX for the last bucket. */
uint64_t dl_metric_quantile_ms (const DlMetric *metric, double quantile);
/* Appends all metrics to BUFFER in the exposition format. */
void dl_metrics_write (DlBuffer *buffer);
/* Returns an object of metric names and values; the caller owns it. */
json_object *dl_metrics_dump (void);

#endif
