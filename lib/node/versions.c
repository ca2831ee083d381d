#include "node/versions.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/log.h"

struct DlVersions
{
  DlVersionsOptions options;
  DlObjectWatch *watch;
  DlNamed named;
  bool read_once;
};

static void
tell (DlVersions *versions, const char *from)
{
  const DlNamed *named = &versions->named;

  dl_log (DL_EVENT_VERSION_NAMED, DL_TEXT ("model", named->model),
          DL_UINT ("version", named->version), DL_TEXT ("from", from),
          DL_UINT ("age_ms", dl_clock_ms () - named->named_ms),
          DL_TEXT ("witnessed", named->witnessed ? "yes" : "no"));
  versions->options.on_named (named, versions->options.data);
}

static void
on_object (const DlObject *object, void *data)
{
  DlVersions *versions = data;
  void *context;
  const char *model;
  uint64_t version;

  if (object->deleted)
    return;
  context = talloc_new (versions);
  if (versions->options.read (context, object->value, &model, &version) < 0)
    dl_log (DL_EVENT_VERSION_MALFORMED, DL_TEXT ("object", object->name));
  else if (dl_named_by_store (versions, &versions->named, model, version,
                              dl_named_how (versions->watch), dl_clock_ms ()))
    tell (versions, "store");
  talloc_free (context);
}

static void
on_proven (void *data)
{
  DlVersions *versions = data;

  if (!versions->read_once && versions->named.model == NULL)
    versions->options.on_unnamed (versions->options.data);
  versions->read_once = true;
}

void
dl_versions_told (DlVersions *versions,
                  const Daisyloft__Wire__Named *told,
                  const char *from)
{
  if (told != NULL && dl_named_by_node (versions, &versions->named, told, dl_clock_ms ()))
    tell (versions, from);
}

Daisyloft__Wire__Named *
dl_versions_write (const DlVersions *versions, Daisyloft__Wire__Named *told)
{
  return dl_named_write (&versions->named, told, dl_clock_ms ()) ? told : NULL;
}

DlVersions *
dl_versions_new (DlTask *task, const void *owner, const DlVersionsOptions *options)
{
  DlVersions *versions = talloc_zero (owner, DlVersions);

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
                                             .on_proven = on_proven,
                                             .data = versions,
                                         });
  return versions;
}
