#include "node/holding.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define BITS_PER_BYTE 8

/* Time that the origin's link takes for one chunk; 0 when its rate is unknown. */
static uint64_t
origin_chunk_us (const DlServiceEntry *origin, const DlEngineTraits *engine)
{
  if (origin->origin_mbps <= 0)
    return 0;
  return (uint64_t)((double)engine->chunk_bytes * BITS_PER_BYTE / origin->origin_mbps);
}

DlWeightSource
dl_weight_source_from_routing (const DlRouting *routing, const char *service)
{
  DlWeightSource source = { 0 };
  const DlServiceEntry *engines = NULL;

  for (size_t i = 0; i < routing->service_count && engines == NULL; i++)
    {
      const DlServiceEntry *s = &routing->services[i];

      if (s->has_engine && (service == NULL || strcmp (service, s->name) == 0))
        engines = s;
    }
  if (engines == NULL)
    return source;
  source.model = engines->engine.model;
  source.layers = engines->engine.layers;
  source.chunks = engines->engine.chunks;
  for (size_t i = 0; i < routing->service_count; i++)
    if (routing->services[i].origin != NULL)
      {
        source.origin = routing->services[i].origin;
        source.origin_chunk_us
            = origin_chunk_us (&routing->services[i], &engines->engine);
      }
  return source;
}

static DlHolding
copy_holding (const void *context, const DlHolding *holding)
{
  size_t length = holding->chunks.length;
  const void *bytes
      = length > 0 ? talloc_memdup (context, holding->chunks.data, length) : NULL;

  return (DlHolding){
    .model = talloc_strdup (context, holding->model),
    .version = holding->version,
    .chunks = dl_str_bytes (bytes, length),
  };
}

DlHolder
dl_holder_copy (const void *context, const DlHolder *holder)
{
  DlHolder copy = {
    .name = talloc_strdup (context, holder->name),
    .region = talloc_strdup (context, holder->region),
    .address = talloc_strdup (context, holder->address),
    .is_hub = holder->is_hub,
  };

  copy.holdings.count = holder->holdings.count;
  for (size_t i = 0; i < copy.holdings.count; i++)
    copy.holdings.items[i] = copy_holding (context, &holder->holdings.items[i]);
  return copy;
}

static bool
are_holdings_equal (const DlHoldings *a, const DlHoldings *b)
{
  if (a->count != b->count)
    return false;
  for (size_t i = 0; i < a->count; i++)
    if (a->items[i].version != b->items[i].version
        || strcmp (a->items[i].model, b->items[i].model) != 0
        || !dl_str_equal (a->items[i].chunks, b->items[i].chunks))
      return false;
  return true;
}

bool
dl_holder_equal (const DlHolder *a, const DlHolder *b)
{
  return a->is_hub == b->is_hub && strcmp (a->name, b->name) == 0
         && strcmp (a->region, b->region) == 0 && strcmp (a->address, b->address) == 0
         && are_holdings_equal (&a->holdings, &b->holdings);
}

DlHolder
dl_holder_from_status (const void *context,
                       const DlPeer *peer,
                       const Daisyloft__Wire__NodeStatus *status)
{
  DlHolder holder = {
    .name = peer->name,
    .region = peer->region,
    .address = peer->address,
    .is_hub = peer->is_hub,
  };

  for (size_t i = 0; i < MIN (status->n_holding, DL_HOLDINGS_MAX); i++)
    {
      const Daisyloft__Wire__Holding *h = status->holding[i];

      holder.holdings.items[holder.holdings.count++] = (DlHolding){
        .model = h->model,
        .version = h->version,
        .chunks = dl_str_bytes (h->chunks.data, h->chunks.len),
      };
    }
  return dl_holder_copy (context, &holder);
}

void
dl_holdings_to_status (const void *context,
                       const DlHoldings *holdings,
                       Daisyloft__Wire__NodeStatus *status)
{
  Daisyloft__Wire__Holding *items
      = talloc_zero_array (context, Daisyloft__Wire__Holding, DL_HOLDINGS_MAX);

  status->holding
      = talloc_zero_array (context, Daisyloft__Wire__Holding *, DL_HOLDINGS_MAX);
  for (size_t i = 0; i < holdings->count; i++)
    {
      const DlHolding *h = &holdings->items[i];

      daisyloft__wire__holding__init (&items[i]);
      items[i].model = (char *)h->model;
      items[i].version = h->version;
      items[i].chunks.data = (uint8_t *)h->chunks.data;
      items[i].chunks.len = h->chunks.length;
      status->holding[i] = &items[i];
    }
  status->n_holding = holdings->count;
}
