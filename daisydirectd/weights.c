/*
 * Task "weights": the entry as a hub, which fetches new weights once and gives them out
 * to the stagers of its region and to entries of others.
 */
#include <string.h>
#include <talloc.h>

#include "daisydirectd.h"
#include "node/chunk_cache.h"
#include "platform.h"
#include "policy/reload_schedule.h"

#define TICK_MS     40
#define UPLOADS_MAX 32
/* Nothing of a version came for this long: it gives way to a newer one. */
#define STUCK_MS 1500

typedef struct
{
  DlTask *task;
  DlChunkCache *depot;
  char *default_model;     /* to hold when nothing was named; NULL until known */
  bool unnamed;            /* the store was read, and no version is named */
  DlBundle *older;         /* NULL for none */
  uint64_t older_limit_ms; /* after its name, until which stagers may want it */
  DlBundle *newest;        /* NULL for none */
} Weights;

static void
run (Weights *w)
{
  if (w->newest == NULL && w->unnamed && w->default_model != NULL)
    w->newest = dl_bundle_open (w->depot, w->default_model, 0, dl_clock_ms ());
  if (w->older != NULL)
    dl_bundle_start_fetches (w->older);
  /* The older version is due first. */
  if (w->newest != NULL && (w->older == NULL || dl_bundle_is_complete (w->older)))
    dl_bundle_start_fetches (w->newest);
}

static void
on_progress (void *data)
{
  run (data);
}

static void
take_named (Weights *w, const char *model, uint64_t version, uint64_t named_ms)
{
  if (dl_chunk_cache_find (w->depot, model, version) != NULL)
    return;
  if (w->newest != NULL && !dl_bundle_is_complete (w->newest)
      && dl_reload_skips_version (w->newest->announced_ms, named_ms))
    dl_bundle_close (w->newest);
  else
    {
      if (w->older != NULL)
        dl_bundle_close (w->older);
      w->older = w->newest;
    }
  w->newest = dl_bundle_open (w->depot, model, version, named_ms);
}

static bool
is_over (const DlBundle *b, uint64_t limit_ms)
{
  uint64_t now_ms = dl_clock_ms ();

  if (!dl_bundle_is_complete (b))
    return now_ms - b->progress_ms >= STUCK_MS;
  return now_ms - b->announced_ms >= limit_ms;
}

/* An older version goes when its time is over and nobody takes it any more, or when it
 * cannot be had and must not keep back the one after it. */
static void
drop_older (Weights *w)
{
  if (w->older == NULL || !is_over (w->older, w->older_limit_ms))
    return;
  dl_bundle_close (w->older);
  w->older = NULL;
}

static void
tell_holding (Weights *w)
{
  DirectMessage *m = dl_message_new (DIRECT_HOLDING, sizeof (DirectMessage));
  DlHolder own = { .holdings = dl_chunk_cache_holdings (w->depot) };

  m->holdings = dl_holder_copy (m, &own).holdings;
  dl_kernel_publish (dl_task_kernel (w->task), m);
}

static void
on_tick (DlTimer *timer, void *data)
{
  Weights *w = data;

  dl_chunk_cache_expire_holders (w->depot);
  drop_older (w);
  run (w);
  if (dl_chunk_cache_clear_changed (w->depot))
    tell_holding (w);
}

static void
take_routing (Weights *w, const DlRouting *routing)
{
  DlWeightSource source = dl_weight_source_from_routing (routing, NULL);

  dl_chunk_cache_set_source (w->depot, &source);
  talloc_free (w->default_model);
  w->default_model = talloc_strdup (w, source.model);
}

static void
handle (DlTask *task, const DlMessage *head)
{
  Weights *w = dl_task_state (task);
  const DirectMessage *m = (const DirectMessage *)head;

  switch ((DirectMessageType)head->type)
    {
    case DIRECT_ROUTING:
      take_routing (w, m->routing);
      break;
    case DIRECT_VERSION:
      take_named (w, m->version.model, m->version.version, m->version.named_ms);
      break;
    case DIRECT_UNNAMED:
      w->unnamed = true;
      break;
    case DIRECT_HOLDER:
      dl_chunk_cache_set_holder (w->depot, &m->holder);
      break;
    case DIRECT_NODE_GONE:
      dl_chunk_cache_remove_holder (w->depot, m->gone_node);
      break;
    case DIRECT_UPSTREAM:
    case DIRECT_UPSTREAM_GONE:
    case DIRECT_ENGINE:
    case DIRECT_FLOOR:
    case DIRECT_FRESH:
    case DIRECT_ENTRIES:
    case DIRECT_HOLDING:
      break;
    }
  run (w);
}

static int
start (DlTask *task)
{
  Weights *w = talloc_zero (NULL, Weights);

  dl_task_set_state (task, w);
  w->task = task;
  w->older_limit_ms = direct_settings (task)->version_ms;
  dl_timer_subscribe (task, w, TICK_MS, TICK_MS, on_tick, w);
  return dl_chunk_cache_new (task, w,
                             &(DlChunkCacheOptions){
                                 .settings = direct_settings (task),
                                 .origin = &platform_origin_calls,
                                 .is_hub = true,
                                 .uploads_max = UPLOADS_MAX,
                                 .on_progress = on_progress,
                                 .data = w,
                             },
                             &w->depot);
}

#define MESSAGE(type) (UINT64_C (1) << (type))

static DlPlugin weights_plugin = {
  .name = "weights",
  .order = 25,
  .subscriptions = MESSAGE (DIRECT_ROUTING) | MESSAGE (DIRECT_VERSION)
                   | MESSAGE (DIRECT_UNNAMED) | MESSAGE (DIRECT_HOLDER)
                   | MESSAGE (DIRECT_NODE_GONE),
  .start = start,
  .handle = handle,
};
DL_PLUGIN_REGISTER (weights_plugin)
