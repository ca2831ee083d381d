#include "node/depot_private.h"

#include <string.h>
#include <talloc.h>

#include "kernel/log.h"

#define HOLDER_SILENT_MS 3000

/* -------- holders -------- */

DlStr
dl_depot_held_by (const DlBundle *b, const DlHolder *holder)
{
  for (size_t i = 0; i < holder->holdings.count; i++)
    {
      const DlHolding *h = &holder->holdings.items[i];

      if (h->version == b->version && strcmp (h->model, b->model) == 0)
        return h->chunks;
    }
  return DL_STR_LITERAL ("");
}

static void
add_to_plan (const DlBundle *b, const DlHolder *holder)
{
  if (b->plan != NULL)
    dl_fetch_plan_set_peer (b->plan, holder->name, holder->region, holder->is_hub,
                            dl_depot_held_by (b, holder));
}

static void
free_holder (gpointer data)
{
  talloc_free (data);
}

void
dl_depot_set_holder (DlDepot *depot, const DlHolder *holder)
{
  DlDepotHolder *h = talloc_zero (depot, DlDepotHolder);

  g_assert (h != NULL);
  h->holder = dl_holder_copy (h, holder);
  h->heard_ms = dl_clock_ms ();
  g_hash_table_replace (depot->holders, (gpointer)h->holder.name, h);
  for (DlBundle *b = depot->bundles; b != NULL; b = b->next)
    add_to_plan (b, &h->holder);
}

static void
drop_from_plans (const DlDepot *depot, const char *name)
{
  for (DlBundle *b = depot->bundles; b != NULL; b = b->next)
    if (b->plan != NULL)
      dl_fetch_plan_remove_peer (b->plan, name);
}

void
dl_depot_remove_holder (DlDepot *depot, const char *name)
{
  drop_from_plans (depot, name);
  g_hash_table_remove (depot->holders, name);
}

void
dl_depot_drop_silent (DlDepot *depot)
{
  uint64_t now_ms = dl_clock_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, depot->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DlDepotHolder *h = value;

      if (now_ms - h->heard_ms < HOLDER_SILENT_MS)
        continue;
      drop_from_plans (depot, h->holder.name);
      g_hash_table_iter_remove (&iter);
    }
}

void
dl_depot_each_holder (const DlDepot *depot,
                      void (*func) (const DlHolder *holder, void *data),
                      void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, depot->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    func (&((const DlDepotHolder *)value)->holder, data);
}

/* -------- the depot -------- */

void
dl_depot_set_source (DlDepot *depot, const DlWeightSource *source)
{
  talloc_free (depot->origin);
  depot->origin = talloc_strdup (depot, source->origin);
  depot->draw_us = source->draw_us;
}

DlHoldings
dl_depot_holdings (const DlDepot *depot)
{
  DlHoldings holdings = { 0 };

  for (const DlBundle *b = depot->bundles; b != NULL; b = b->next)
    if (b->plan != NULL && holdings.count < DL_HOLDINGS_MAX)
      holdings.items[holdings.count++] = (DlHolding){
        .model = b->model,
        .version = b->version,
        .chunks = dl_fetch_plan_bitmap (b->plan),
      };
  return holdings;
}

bool
dl_depot_take_changed (DlDepot *depot)
{
  bool changed = depot->changed;

  depot->changed = false;
  return changed;
}

DlBundle *
dl_depot_find (const DlDepot *depot, const char *model, uint64_t version)
{
  for (DlBundle *b = depot->bundles; b != NULL; b = b->next)
    if (b->version == version && strcmp (b->model, model) == 0)
      return b;
  return NULL;
}

static int
depot_destroy (DlDepot *depot)
{
  g_hash_table_destroy (depot->holders);
  return 0;
}

int
dl_depot_new (DlTask *task,
              const void *owner,
              const DlDepotOptions *options,
              DlDepot **result)
{
  DlDepot *depot = talloc_zero (owner, DlDepot);

  g_assert (depot != NULL);
  depot->task = task;
  depot->options = *options;
  depot->client = dl_http_client_new (task, depot);
  depot->holders = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_holder);
  talloc_set_destructor (depot, depot_destroy);
  *result = depot;
  return dl_depot_give_start (depot);
}

/* -------- bundles -------- */

DlBundle *
dl_bundle_open (DlDepot *depot, const char *model, uint64_t version, uint64_t named_ms)
{
  DlBundle *b = talloc_zero (depot, DlBundle);

  g_assert (b != NULL);
  b->depot = depot;
  b->model = talloc_strdup (b, model);
  b->version = version;
  b->named_ms = named_ms;
  b->progress_ms = dl_clock_ms ();
  b->next = depot->bundles;
  depot->bundles = b;
  return b;
}

void
dl_bundle_close (DlBundle *bundle)
{
  for (DlBundle **at = &bundle->depot->bundles; *at != NULL; at = &(*at)->next)
    if (*at == bundle)
      {
        *at = bundle->next;
        break;
      }
  bundle->depot->changed = true;
  talloc_free (bundle);
}

void
dl_bundle_set_manifest (DlBundle *b, const char **digests, unsigned count)
{
  DlDepot *depot = b->depot;
  GHashTableIter iter;
  gpointer value;

  b->progress_ms = dl_clock_ms ();
  b->count = count;
  b->digests = digests;
  b->chunks = talloc_zero_array (b, DlStr, count);
  b->plan = dl_fetch_plan_new (b, &(DlFetchPlanOptions){
                                      .host = depot->options.settings->name,
                                      .region = depot->options.settings->region,
                                      .model = b->model,
                                      .version = b->version,
                                      .chunks = count,
                                      .is_hub = depot->options.is_hub,
                                      .started_ms = b->progress_ms,
                                      .origin_chunk_us = depot->draw_us,
                                  });
  g_hash_table_iter_init (&iter, depot->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_to_plan (b, &((const DlDepotHolder *)value)->holder);
  depot->changed = true;
  dl_log (DL_EVENT_STAGE_STARTED, DL_TEXT ("model", b->model),
          DL_UINT ("version", b->version), DL_UINT ("chunks", count),
          DL_UINT ("named_ms_ago", dl_clock_ms () - b->named_ms));
  depot->options.on_progress (depot->options.data);
}

bool
dl_bundle_is_whole (const DlBundle *bundle)
{
  return bundle->plan != NULL && dl_fetch_plan_missing (bundle->plan) == 0;
}

bool
dl_bundle_is_genuine (const DlBundle *bundle, unsigned index, DlStr bytes)
{
  g_autofree char *digest
      = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *)bytes.data,
                                     bytes.length);

  return g_ascii_strcasecmp (digest, bundle->digests[index]) == 0;
}

void
dl_bundle_take (DlBundle *b, unsigned index, DlStr bytes)
{
  if (b->chunks[index].length == 0)
    b->chunks[index]
        = dl_str_bytes (talloc_memdup (b, bytes.data, bytes.length), bytes.length);
  b->progress_ms = dl_clock_ms ();
  b->depot->changed = true;
  dl_fetch_plan_arrived (b->plan, index);
  if (dl_bundle_is_whole (b))
    dl_log (DL_EVENT_STAGE_WHOLE, DL_UINT ("version", b->version),
            DL_UINT ("named_ms_ago", dl_clock_ms () - b->named_ms));
}

void
dl_bundle_forget_chunks (DlBundle *b)
{
  for (unsigned i = 0; i < b->count; i++)
    {
      if (b->chunks[i].length == 0)
        continue;
      talloc_free ((void *)b->chunks[i].data);
      b->chunks[i] = dl_str_bytes (NULL, 0);
      dl_fetch_plan_lost (b->plan, i);
    }
  b->depot->changed = true;
}

void
dl_bundle_run (DlBundle *bundle)
{
  if (bundle->plan == NULL)
    dl_bundle_fetch_manifest (bundle);
  else
    dl_bundle_fetch_chunks (bundle);
}
