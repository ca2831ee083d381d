/*
 * Task "weights": fetches new weights once and serves their chunks to the stagers of the
 * entry's region and to entries of other regions.  In a large fleet only the hubs do so
 * (policy/fanout.h).
 */
#include <string.h>
#include <talloc.h>

#include "daisydirectd.h"
#include "node/chunk_cache.h"
#include "platform.h"
#include "policy/reload_schedule.h"

#define TICK_MS     40
#define UPLOADS_MAX 32
/* An older version without any progress for this long is dropped in favour of the newest.
 */
#define STALLED_MS 1500

typedef struct
{
  DlTask *task;
  DlChunkCache *cache;
  bool is_hub;             /* fetches weights; otherwise others do so for the region */
  char *default_model;     /* fetched when there is no target version; NULL until known */
  bool no_target;          /* the store was read and has no target version */
  DlBundle *older;         /* previous target version; NULL for none */
  uint64_t older_limit_ms; /* time after its announcement in which stagers may need it */
  DlBundle *newest;        /* NULL for none */
} Weights;

/* Starts the fetches that can be started now. */
static void
run (Weights *w)
{
  if (!w->is_hub)
    return;
  if (w->newest == NULL && w->no_target && w->default_model != NULL)
    w->newest = dl_bundle_open (w->cache, w->default_model, 0, dl_clock_ms ());
  if (w->older != NULL)
    dl_bundle_start_fetches (w->older);
  /* The older version must be in effect first. */
  if (w->newest != NULL && (w->older == NULL || dl_bundle_is_complete (w->older)))
    dl_bundle_start_fetches (w->newest);
}

static void
on_progress (void *data)
{
  run (data);
}

/* Opens a new target version.  A newest one that is incomplete and was announced shortly
 * before is dropped; any other becomes the older version. */
static void
add_version (Weights *w, const char *model, uint64_t version, uint64_t announced_ms)
{
  if (dl_chunk_cache_find (w->cache, model, version) != NULL)
    return;
  if (w->newest != NULL && !dl_bundle_is_complete (w->newest)
      && dl_reload_skips_version (w->newest->announced_ms, announced_ms))
    dl_bundle_close (w->newest);
  else
    {
      if (w->older != NULL)
        dl_bundle_close (w->older);
      w->older = w->newest;
    }
  w->newest = dl_bundle_open (w->cache, model, version, announced_ms);
}

/* True when bundle B is to be dropped: incomplete without progress, or complete for
 * longer than LIMIT_MS after its announcement. */
static bool
is_expired (const DlBundle *b, uint64_t limit_ms)
{
  uint64_t now_ms = dl_clock_ms ();

  if (!dl_bundle_is_complete (b))
    return now_ms - b->progress_ms >= STALLED_MS;
  return now_ms - b->announced_ms >= limit_ms;
}

/* Drops the older version when stagers no longer need it, or when it cannot be fetched
 * and would delay the newest. */
static void
drop_older (Weights *w)
{
  if (w->older == NULL || !is_expired (w->older, w->older_limit_ms))
    return;
  dl_bundle_close (w->older);
  w->older = NULL;
}

static void
publish_holdings (Weights *w)
{
  DirectMessage *m = dl_message_new (DIRECT_HOLDINGS, sizeof (DirectMessage));
  DlHolder own = { .holdings = dl_chunk_cache_holdings (w->cache) };

  m->holdings = dl_holder_copy (m, &own).holdings;
  dl_kernel_publish (dl_task_kernel (w->task), m);
}

static void
on_tick (DlTimer *timer, void *data)
{
  Weights *w = data;

  dl_chunk_cache_expire_holders (w->cache);
  drop_older (w);
  run (w);
  if (dl_chunk_cache_clear_changed (w->cache))
    publish_holdings (w);
}

static void
set_routing (Weights *w, const DlRouting *routing)
{
  DlWeightSource source = dl_weight_source_from_routing (routing, NULL);

  dl_chunk_cache_set_source (w->cache, &source);
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
      set_routing (w, m->routing);
      break;
    case DIRECT_TARGET_VERSION:
      add_version (w, m->version.model, m->version.version, m->version.announced_ms);
      break;
    case DIRECT_NO_TARGET:
      w->no_target = true;
      break;
    case DIRECT_HOLDER:
      dl_chunk_cache_set_holder (w->cache, &m->holder);
      break;
    case DIRECT_NODE_REMOVED:
      dl_chunk_cache_remove_holder (w->cache, m->removed_node);
      break;
    case DIRECT_HUB:
      w->is_hub = m->is_hub;
      break;
    case DIRECT_UPSTREAM:
    case DIRECT_UPSTREAM_REMOVED:
    case DIRECT_ENGINE:
    case DIRECT_VERSION_FLOOR:
    case DIRECT_ROUTING_PROOF:
    case DIRECT_STORE_HEARD:
    case DIRECT_ENTRIES:
    case DIRECT_REGISTERED:
    case DIRECT_EVACUATION:
    case DIRECT_EVACUATIONS_KNOWN:
    case DIRECT_HOLDINGS:
    case DIRECT_SIGNATURE_RECORDS:
    case DIRECT_PEER_SIGNATURE_RECORDS:
    case DIRECT_HELD_CHANGED:
    case DIRECT_HELD_KEPT:
    case DIRECT_LIMIT_RECORDS:
    case DIRECT_PEER_LIMIT_RECORDS:
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
  w->is_hub = true;
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
                             &w->cache);
}

#define MESSAGE(type) (UINT64_C (1) << (type))

static DlPlugin weights_plugin = {
  .name = "weights",
  .order = 25,
  .subscriptions = MESSAGE (DIRECT_ROUTING) | MESSAGE (DIRECT_TARGET_VERSION)
                   | MESSAGE (DIRECT_NO_TARGET) | MESSAGE (DIRECT_HOLDER)
                   | MESSAGE (DIRECT_NODE_REMOVED) | MESSAGE (DIRECT_HUB),
  .start = start,
  .handle = handle,
};
DL_PLUGIN_REGISTER (weights_plugin)
