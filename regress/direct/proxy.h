/*
 * A TCP proxy on loopback, through which connections are delayed, reset, cut one way or
 * silenced.
 */
#ifndef DIRECT_PROXY_H
#define DIRECT_PROXY_H

typedef struct Proxy Proxy;

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,    /* each way, by PROXY_DELAY_MS */
  PROXY_CUT_UP,   /* nothing passes to the target; goes on when the cut ends */
  PROXY_CUT_DOWN, /* nothing passes from the target */
  PROXY_CUT_BOTH,
  PROXY_REFUSE, /* connections are reset, open ones and new ones */
  PROXY_MODES,
} ProxyMode;

#define PROXY_DELAY_MS 150

/* Passes connections to LISTEN ("IP:PORT") on to TARGET, in a thread of its own.  NULL
 * when it cannot listen. */
Proxy *proxy_new (const char *listen, const char *target);
void proxy_set_mode (Proxy *proxy, ProxyMode mode);
/* Resets the connections that are open now. */
void proxy_reset (Proxy *proxy);
/* The connections that are open now pass nothing any more, without an end. */
void proxy_silence (Proxy *proxy);
void proxy_free (Proxy *proxy);

#endif
