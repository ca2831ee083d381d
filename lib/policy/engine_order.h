/*
 * In which order an engine admits the requests that wait there.
 *
 * An engine reads prompts between the tokens of the requests that run.  A long prompt
 * holds up those behind it for several steps, and a request that may wait longer those
 * that may not.  More urgent requests go first; among equals, shorter prompts do, as they
 * hold up others least.  Long ones are not starved: entries fill only free request slots,
 * so that few requests wait at an engine at any time.
 *
 * Pure functions.
 */
#ifndef DL_ENGINE_ORDER_H
#define DL_ENGINE_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/* The last place in the order; the first one is 0. */
#define DL_ENGINE_ORDER_LAST 9

/* What the place of a request depends on. */
typedef struct
{
  bool by_rank;  /* the service's routes differ in priority */
  unsigned rank; /* of the request, by dl_routing_rank; 0: most urgent */
  bool by_size;  /* the service's upstreams are uneven */
  uint64_t prompt_tokens;
  uint64_t usual_prompt_tokens; /* mean of the service; 0: not known */
} DlEngineOrder;

/* True when the request is given a place; otherwise the engine's own order holds. */
bool dl_engine_order_applies (const DlEngineOrder *order);
/* Returns its place, 0 to DL_ENGINE_ORDER_LAST. */
unsigned dl_engine_order_place (const DlEngineOrder *order);

#endif
