#include "policy/engine_order.h"

#include <glib.h>

/* Sizes that are told apart: prompts up to this many times the usual one, and longer
 * ones.
 */
#define SIZES       2
#define SHORT_TIMES 1.5

static unsigned
size_class (const DlEngineOrder *o)
{
  if (!o->by_size || o->usual_prompt_tokens == 0)
    return 0;
  return (double)o->prompt_tokens > SHORT_TIMES * (double)o->usual_prompt_tokens;
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
