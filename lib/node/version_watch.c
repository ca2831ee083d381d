#include "node/version_watch.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/log.h"

struct DlVersionWatch
{
  DlVersionWatchOptions options;
  DlObjectWatch *watch;
  DlTargetVersion named;
  bool read_once;
};

static void
tell (DlVersionWatch *versions, const char *from)
{
  const DlTargetVersion *named = &versions->named;

  dl_log (DL_EVENT_VERSION_NAMED, DL_TEXT ("model", named->model),
          DL_UINT ("version", named->version), DL_TEXT ("from", from),
          DL_UINT ("age_ms", dl_clock_ms () - named->announced_ms),
          DL_TEXT ("witnessed", named->witnessed ? "yes" : "no"));
  versions->options.on_target (named, versions->options.data);
}

static void
on_object (const DlObject *object, void *data)
{
  DlVersionWatch *versions = data;
  void *context;
  const char *model;
  uint64_t version;

  if (object->deleted)
    return;
  context = talloc_new (versions);
  if (versions->options.read (context, object->value, &model, &version) < 0)
    dl_log (DL_EVENT_VERSION_MALFORMED, DL_TEXT ("object", object->name));
  else if (dl_target_version_from_store (versions, &versions->named, model, version,
                                         dl_target_version_discovery (versions->watch),
                                         dl_clock_ms ()))
    tell (versions, "store");
  talloc_free (context);
}

static void
on_synced (void *data)
{
  DlVersionWatch *versions = data;

  if (!versions->read_once && versions->named.model == NULL)
    versions->options.on_no_target (versions->options.data);
  versions->read_once = true;
}

void
dl_version_watch_receive (DlVersionWatch *versions,
                          const Daisyloft__Wire__Named *told,
                          const char *from)
{
  if (told != NULL
      && dl_target_version_from_node (versions, &versions->named, told, dl_clock_ms ()))
    tell (versions, from);
}

Daisyloft__Wire__Named *
dl_version_watch_to_wire (const DlVersionWatch *versions, Daisyloft__Wire__Named *told)
{
  return dl_target_version_to_wire (&versions->named, told, dl_clock_ms ()) ? told : NULL;
}

DlVersionWatch *
dl_version_watch_new (DlTask *task,
                      const void *owner,
                      const DlVersionWatchOptions *options)
{
  DlVersionWatch *versions = talloc_zero (owner, DlVersionWatch);

  g_assert (versions != NULL);
  versions->options = *options;
  versions->watch = dl_object_watch_new (task, versions, options->store,
                                         &(DlObjectWatchOptions){
                                             .kind = options->kind,
                                             .wait_ms = options->wait_ms,
                                             .reader_wait_ms = options->reader_wait_ms,
                                             .source = options->source,
                                             .relay = options->relay,
                                             .retry_max_ms = options->retry_max_ms,
                                             .on_object = on_object,
                                             .on_synced = on_synced,
                                             .data = versions,
                                         });
  return versions;
}
