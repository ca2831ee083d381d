#include "policy/engine_order.h"

#include <glib.h>

/* Sizes that are told apart: up to the usual prompt, up to twice that, and longer. */
#define SIZES 3

static unsigned
size_class (const DlEngineOrder *o)
{
  if (!o->by_size || o->usual_prompt_tokens == 0)
    return 0;
  if (o->prompt_tokens <= o->usual_prompt_tokens)
    return 0;
  return o->prompt_tokens <= 2 * o->usual_prompt_tokens ? 1 : SIZES - 1;
}

bool
dl_engine_order_applies (const DlEngineOrder *order)
{
  return order->by_rank || (order->by_size && order->usual_prompt_tokens > 0);
}

unsigned
dl_engine_order_place (const DlEngineOrder *order)
{
  unsigned rank = order->by_rank ? order->rank : 0;

  return MIN (MIN (rank, DL_ENGINE_ORDER_LAST) * SIZES + size_class (order),
              DL_ENGINE_ORDER_LAST);
}
