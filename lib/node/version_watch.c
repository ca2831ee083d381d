#include "node/version_watch.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/log.h"

/* Older announcements are not reported to other nodes, which know the floor. */
#define TOLD_AGE_MAX_MS 20000
/* What arrived during a pause of the process is read within this time after it.  The ages
 * of versions in it have grown meanwhile. */
#define READ_AFTER_PAUSE_MS 300

struct DlVersionWatch
{
  DlKernel *kernel;
  DlVersionWatchOptions options;
  DlObjectWatch *objects;
  DlTargetVersion target;
  DlVersionFloor floor;
  uint64_t store_version; /* the last one that the store showed this node; 0 before */
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
notify_floor (DlVersionWatch *watch)
{
  if (watch->options.on_floor != NULL)
    watch->options.on_floor (&watch->floor, watch->options.data);
}

/* The announcement of the target version, which the store shows now. */
static DlAnnouncement
found_announcement (const DlVersionWatch *watch, DlTargetDiscovery how)
{
  DlAnnouncement a = {
    .version = watch->target.version,
    .source = DL_ANNOUNCED_GUESSED,
    .announced_ms = watch->target.announced_ms,
    .found_ms = dl_clock_ms (),
    .is_own = true,
  };

  if (how == DL_TARGET_OBSERVED)
    a.source = DL_ANNOUNCED_OBSERVED;
  else if (how == DL_TARGET_LATE)
    {
      a.source = DL_ANNOUNCED_BETWEEN;
      a.announced_ms = dl_object_watch_unchanged_ms (watch->objects);
    }
  return a;
}

/* Notes the announcement of the target version.  Versions since the last one that the
 * store showed may have been skipped. */
static void
note_found (DlVersionWatch *watch, DlTargetDiscovery how)
{
  DlAnnouncement a = found_announcement (watch, how);
  bool changed = dl_version_floor_add (&watch->floor, &a);

  if (how == DL_TARGET_LATE && watch->store_version != 0
      && a.version > watch->store_version + 1)
    {
      a.version--;
      changed |= dl_version_floor_add (&watch->floor, &a);
    }
  if (changed)
    notify_floor (watch);
  if (how == DL_TARGET_OBSERVED && watch->options.on_observed != NULL)
    watch->options.on_observed (watch->options.data);
}

static void
adopt (DlVersionWatch *watch, const char *model, uint64_t version)
{
  DlTargetDiscovery how = dl_target_version_discovery (watch->objects);
  bool changed = dl_target_version_from_store (watch, &watch->target, model, version, how,
                                               dl_clock_ms ());

  /* Another node may have reported the version, without knowing its time. */
  if (changed || (how == DL_TARGET_LATE && version == watch->target.version))
    note_found (watch, how);
  if (changed)
    notify (watch, "store");
  watch->store_version = version;
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
  else
    adopt (watch, model, version);
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

/* -------- other nodes -------- */

/* Adds what the other node knows; returns true when the floor changed. */
static bool
receive_announcements (DlVersionWatch *watch,
                       const Daisyloft__Wire__NodeStatus *status,
                       uint64_t now_ms)
{
  bool changed = dl_version_floor_raise (&watch->floor, status->version_floor);

  for (size_t i = 0; i < status->n_announcement; i++)
    {
      const Daisyloft__Wire__Announcement *a = status->announcement[i];

      changed
          |= dl_version_floor_add (&watch->floor,
                                   &(DlAnnouncement){
                                       .version = a->version,
                                       .source = a->at_most ? DL_ANNOUNCED_BETWEEN
                                                            : DL_ANNOUNCED_OBSERVED,
                                       .announced_ms = now_ms - MIN (a->age_ms, now_ms),
                                       .found_ms = now_ms,
                                   });
    }
  return changed;
}

/* Adds the target version that another node reported. */
static bool
add_target (DlVersionWatch *watch, uint64_t now_ms)
{
  const DlTargetVersion *t = &watch->target;

  if (t->observed)
    return dl_version_floor_announced (&watch->floor, t->version, t->announced_ms);
  return dl_version_floor_add (&watch->floor, &(DlAnnouncement){
                                                  .version = t->version,
                                                  .source = DL_ANNOUNCED_GUESSED,
                                                  .announced_ms = t->announced_ms,
                                                  .found_ms = now_ms,
                                              });
}

/* Counts the target's age by what is known of its announcement; returns true when that
 * changed it. */
static bool
refine_target (DlVersionWatch *watch, uint64_t now_ms)
{
  DlTargetVersion *t = &watch->target;
  uint64_t start_ms = dl_version_floor_start_ms (&watch->floor, t->version, now_ms);

  if (t->model == NULL || t->observed || start_ms == 0 || start_ms == t->announced_ms)
    return false;
  t->announced_ms = start_ms;
  return true;
}

void
dl_version_watch_receive (DlVersionWatch *watch,
                          const Daisyloft__Wire__NodeStatus *status,
                          const char *from)
{
  uint64_t now_ms = dl_clock_ms ();
  bool changed;

  if (now_ms < dl_kernel_resumed_ms (watch->kernel) + READ_AFTER_PAUSE_MS)
    return;
  changed = receive_announcements (watch, status, now_ms);
  if (status->named != NULL && dl_model_name_is_valid (status->named->model)
      && dl_target_version_from_node (watch, &watch->target, status->named, now_ms))
    {
      changed |= add_target (watch, now_ms);
      notify (watch, from);
    }
  if (changed)
    notify_floor (watch);
  if (refine_target (watch, now_ms))
    notify (watch, "announcements");
}

/* What is only known from another node is not passed on, unless that node observed it:
 * each hop would move the earliest possible time. */
static bool
is_told (const DlAnnouncement *a, uint64_t now_ms)
{
  return (a->source == DL_ANNOUNCED_OBSERVED
          || (a->source == DL_ANNOUNCED_BETWEEN && a->is_own))
         && now_ms <= a->announced_ms + TOLD_AGE_MAX_MS;
}

static void
add_announcements (const DlVersionWatch *watch,
                   const void *context,
                   uint64_t now_ms,
                   Daisyloft__Wire__NodeStatus *status)
{
  status->announcement
      = talloc_array (context, Daisyloft__Wire__Announcement *, watch->floor.count);
  for (unsigned i = 0; i < watch->floor.count; i++)
    {
      const DlAnnouncement *a = &watch->floor.versions[i];
      Daisyloft__Wire__Announcement *wire;

      if (!is_told (a, now_ms))
        continue;
      wire = talloc (context, Daisyloft__Wire__Announcement);
      daisyloft__wire__announcement__init (wire);
      wire->version = a->version;
      wire->age_ms = now_ms - a->announced_ms;
      wire->at_most = a->source == DL_ANNOUNCED_BETWEEN;
      status->announcement[status->n_announcement++] = wire;
    }
}

void
dl_version_watch_to_status (const DlVersionWatch *watch,
                            const void *context,
                            Daisyloft__Wire__NodeStatus *status)
{
  Daisyloft__Wire__Named *named = talloc (context, Daisyloft__Wire__Named);
  uint64_t now_ms = dl_clock_ms ();

  if (dl_target_version_to_wire (&watch->target, named, now_ms))
    status->named = named;
  status->version_floor
      = dl_version_floor_certain (&watch->floor, watch->options.limit_ms, now_ms);
  add_announcements (watch, context, now_ms, status);
}

DlVersionWatch *
dl_version_watch_new (DlTask *task,
                      const void *owner,
                      const DlVersionWatchOptions *options)
{
  DlVersionWatch *watch = talloc_zero (owner, DlVersionWatch);

  g_assert (watch != NULL);
  watch->kernel = dl_task_kernel (task);
  watch->options = *options;
  watch->objects = dl_object_watch_new (task, watch, options->store,
                                        &(DlObjectWatchOptions){
                                            .kind = options->kind,
                                            .wait_ms = options->wait_ms,
                                            .reader_wait_ms = options->reader_wait_ms,
                                            .source = options->source,
                                            .apply_ms = options->limit_ms,
                                            .relay = options->relay,
                                            .relist_spread_ms = options->relist_spread_ms,
                                            .retry_max_ms = options->retry_max_ms,
                                            .on_object = on_object,
                                            .on_synced = on_synced,
                                            .data = watch,
                                        });
  return watch;
}
