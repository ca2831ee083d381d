#include "node/version_watch.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/log.h"

struct DlVersionWatch
{
  DlVersionWatchOptions options;
  DlObjectWatch *objects;
  DlTargetVersion target;
  bool store_read;
};

static void
notify (DlVersionWatch *watch, const char *from)
{
  const DlTargetVersion *target = &watch->target;

  dl_log (DL_EVENT_VERSION_NAMED, DL_TEXT ("model", target->model),
          DL_UINT ("version", target->version), DL_TEXT ("from", from),
          DL_UINT ("age_ms", dl_clock_ms () - target->announced_ms),
          DL_TEXT ("witnessed", target->observed ? "yes" : "no"));
  watch->options.on_target (target, watch->options.data);
}

static void
on_object (const DlObject *object, void *data)
{
  DlVersionWatch *watch = data;
  void *context;
  const char *model;
  uint64_t version;

  if (object->deleted)
    return;
  context = talloc_new (watch);
  if (watch->options.read (context, object->value, &model, &version) < 0)
    dl_log (DL_EVENT_VERSION_MALFORMED, DL_TEXT ("object", object->name));
  else if (dl_target_version_from_store (watch, &watch->target, model, version,
                                         dl_target_version_discovery (watch->objects),
                                         dl_clock_ms ()))
    notify (watch, "store");
  talloc_free (context);
}

static void
on_synced (void *data)
{
  DlVersionWatch *watch = data;

  if (!watch->store_read && watch->target.model == NULL)
    watch->options.on_no_target (watch->options.data);
  watch->store_read = true;
}

void
dl_version_watch_receive (DlVersionWatch *watch,
                          const Daisyloft__Wire__Named *wire,
                          const char *from)
{
  if (wire != NULL
      && dl_target_version_from_node (watch, &watch->target, wire, dl_clock_ms ()))
    notify (watch, from);
}

Daisyloft__Wire__Named *
dl_version_watch_to_wire (const DlVersionWatch *watch, Daisyloft__Wire__Named *wire)
{
  return dl_target_version_to_wire (&watch->target, wire, dl_clock_ms ()) ? wire : NULL;
}

DlVersionWatch *
dl_version_watch_new (DlTask *task,
                      const void *owner,
                      const DlVersionWatchOptions *options)
{
  DlVersionWatch *watch = talloc_zero (owner, DlVersionWatch);

  g_assert (watch != NULL);
  watch->options = *options;
  watch->objects = dl_object_watch_new (task, watch, options->store,
                                        &(DlObjectWatchOptions){
                                            .kind = options->kind,
                                            .wait_ms = options->wait_ms,
                                            .reader_wait_ms = options->reader_wait_ms,
                                            .source = options->source,
                                            .relay = options->relay,
                                            .relist_spread_ms = options->relist_spread_ms,
                                            .retry_max_ms = options->retry_max_ms,
                                            .on_object = on_object,
                                            .on_synced = on_synced,
                                            .data = watch,
                                        });
  return watch;
}
