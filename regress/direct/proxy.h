/*
 * A TCP proxy on loopback that injects faults: it delays, resets or stalls connections,
 * or blocks one or both directions.
 */
#ifndef DIRECT_PROXY_H
#define DIRECT_PROXY_H

#include <stdint.h>

#include "endless.h"

typedef struct Proxy Proxy;

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,    /* delays both directions by PROXY_DELAY_MS */
  PROXY_CUT_UP,   /* blocks bytes to the target until the mode changes */
  PROXY_CUT_DOWN, /* blocks bytes from the target */
  PROXY_CUT_BOTH,
  PROXY_REFUSE,  /* resets open and new connections */
  PROXY_MODES,   /* number of the modes above, among which the soak chooses */
  PROXY_ENDLESS, /* its endless peer serves new connections */
  PROXY_MUTATE,  /* changes one in PROXY_MUTATE_ONE_IN reads from the target */
} ProxyMode;

#define PROXY_DELAY_MS      150
#define PROXY_MUTATE_ONE_IN 4

/* Starts a thread that forwards connections to LISTEN ("IP:PORT") to TARGET.  Returns
 * NULL and prints an error when it cannot listen. */
Proxy *proxy_new (const char *listen, const char *target);
void proxy_set_mode (Proxy *proxy, ProxyMode mode);
/* Bounds what all connections together forward from the target, as a narrow link would;
 * 0: no bound.  It works in mode PROXY_PASS. */
void proxy_set_rate (Proxy *proxy, unsigned bytes_per_s);
/* What comes from the target arrives so much later, as behind a full queue; 0: at once.
 */
void proxy_set_queue (Proxy *proxy, unsigned delay_ms);
/* Chooses what PROXY_MUTATE changes from now on. */
void proxy_seed (Proxy *proxy, uint32_t seed);
/* The peer that serves connections in mode PROXY_ENDLESS. */
EndlessPeer *proxy_endless_peer (Proxy *proxy);
/* Resets the open connections. */
void proxy_reset (Proxy *proxy);
/* Stalls the open connections: they stay open, but forward nothing any more. */
void proxy_stall (Proxy *proxy);
/* Ends the thread and closes all connections; PROXY may be NULL. */
void proxy_free (Proxy *proxy);

#endif
