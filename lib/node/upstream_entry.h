/*
 * What the platform's list and an engine say of an upstream.
 */
#ifndef DL_UPSTREAM_ENTRY_H
#define DL_UPSTREAM_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

/* One upstream on the platform's list; texts are below the context it was read into. */
typedef struct
{
  const char *id; /* differs with every start of the upstream, mostly */
  const char *service;
  const char *address; /* "IP:PORT" */
  const char *data_center;
  unsigned slots;      /* requests at once */
  bool leaving;        /* to get no new requests */
  uint64_t started_ms; /* wall clock at its start; 0 when not told */
  const char *model;   /* NULL without weights */
  uint64_t version;    /* of the whole weights it serves; 0 for none */
} DlUpstreamEntry;

/* What an engine says of itself. */
typedef struct
{
  const char *model; /* NULL without weights */
  uint64_t version;  /* of the whole weights it serves; 0 for none */
  bool busy;         /* an order is in progress */
  uint64_t loads;    /* accepted since its start */
  unsigned running;
  unsigned waiting;
  double pace; /* time that work takes against usual; 0 when not told */
  uint64_t started_ms;
} DlEngineReport;

/* How an engine answered an order. */
typedef enum
{
  DL_LOAD_ACCEPTED,
  DL_LOAD_ALREADY_IN_EFFECT, /* nothing to do */
  DL_LOAD_CONFLICT,          /* it does not fit the engine's state */
  DL_LOAD_FENCED,            /* it came with an older fencing number than one seen */
  DL_LOAD_INVALID,
  DL_LOAD_UNKNOWN, /* no answer: it may have been accepted */
} DlLoadOutcome;

#endif
