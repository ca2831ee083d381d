#include "node/evacuation_watch.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"

DL_METRIC (metric_evacuated,
           DL_METRIC_GAUGE,
           "daisy_direct_evacuated_data_centers",
           "Data centres whose upstreams get nothing new, as operators asked.")

struct DlEvacuationWatch
{
  DlEvacuationWatchOptions options;
  DlObjectWatch *objects;
  DlEvacuations *evacuations;
  bool is_known;
};

static void
on_object (const DlObject *object, void *data)
{
  DlEvacuationWatch *watch = data;
  bool is_evacuated = !object->deleted;
  bool changed = is_evacuated ? dl_evacuations_begin (watch->evacuations, object->name)
                              : dl_evacuations_end (watch->evacuations, object->name,
                                                    dl_clock_ms ());

  if (!changed)
    return;
  dl_metric_set (&metric_evacuated, dl_evacuations_count (watch->evacuations));
  dl_log_fields (is_evacuated ? DL_EVENT_EVACUATION_BEGAN : DL_EVENT_EVACUATION_ENDED,
                 (const DlField[]){ DL_TEXT ("data_center", object->name),
                                    DL_UINT ("revision", object->revision),
                                    { .key = 0 } });
  watch->options.on_change (object->name, is_evacuated, watch->options.data);
}

static void
on_synced (void *data)
{
  DlEvacuationWatch *watch = data;

  if (watch->is_known)
    return;
  watch->is_known = true;
  watch->options.on_known (watch->options.data);
}

bool
dl_evacuation_watch_is_known (const DlEvacuationWatch *watch)
{
  return watch->is_known;
}

DlEvacuationWatch *
dl_evacuation_watch_new (DlTask *task,
                         const void *owner,
                         const DlEvacuationWatchOptions *options)
{
  DlEvacuationWatch *watch = talloc_zero (owner, DlEvacuationWatch);

  g_assert (watch != NULL);
  watch->options = *options;
  watch->evacuations = dl_evacuations_new (watch);
  watch->objects = dl_object_watch_new (task, watch, options->store,
                                        &(DlObjectWatchOptions){
                                            .kind = options->kind,
                                            .wait_ms = options->wait_ms,
                                            .reader_wait_ms = options->reader_wait_ms,
                                            .apply_ms = options->apply_ms,
                                            .first_delay_ms = options->first_delay_ms,
                                            .source = options->source,
                                            .relay = options->relay,
                                            .retry_max_ms = options->retry_max_ms,
                                            .relist_spread_ms = options->relist_spread_ms,
                                            .on_object = on_object,
                                            .on_synced = on_synced,
                                            .data = watch,
                                        });
  return watch;
}
