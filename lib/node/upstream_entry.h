/*
 * What the platform's list and an engine report of an upstream.
 */
#ifndef DL_UPSTREAM_ENTRY_H
#define DL_UPSTREAM_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

/* One upstream on the platform's list; its strings are talloc children of the context
 * that it was read into. */
typedef struct
{
  const char *id; /* usually new with every start of the upstream */
  const char *service;
  const char *address; /* "IP:PORT" */
  const char *data_center;
  unsigned slots;      /* requests that it runs at once */
  bool leaving;        /* must get no new requests */
  uint64_t started_ms; /* wall clock at its start; 0 when unknown */
  const char *model;   /* NULL without weights */
  uint64_t version;    /* of the complete weights that it serves; 0 for none */
  bool has_cold;       /* it says for how long it is cold */
  uint64_t cold_ms;    /* time for which it is; 0: it is not */
} DlUpstreamEntry;

/* What an engine reports of itself. */
typedef struct
{
  const char *model; /* NULL without weights */
  uint64_t version;  /* of the complete weights that it serves; 0 for none */
  bool has_weights;  /* of any version, complete or not */
  bool busy;         /* a load command is in progress */
  uint64_t loads;    /* load commands accepted since its start */
  unsigned running;  /* requests */
  unsigned waiting;  /* requests */
  double pace; /* duration of work relative to normal; over 1 is slower; 0 when unknown */
  uint64_t started_ms; /* wall clock at its start; 0 when unknown */
  bool leaving;        /* takes no new requests any more */
  uint64_t asked_ms;   /* when it was asked for; set by the caller */
} DlEngineReport;

/* A command to an engine to load the staged weights, or to give up those that it has. */
typedef struct
{
  const char *model;
  uint64_t version;
  uint64_t loads; /* refused unless the engine has accepted so many commands */
  bool preempt;   /* requests that run there are aborted */
  bool unload;
} DlLoadCommand;

/* How an engine answered a load command. */
typedef enum
{
  DL_LOAD_ACCEPTED,
  DL_LOAD_ALREADY_IN_EFFECT, /* nothing to do */
  DL_LOAD_CONFLICT,          /* not possible in the engine's state */
  DL_LOAD_FENCED, /* its fencing number is older than one that the engine has seen */
  DL_LOAD_INVALID,
  DL_LOAD_UNKNOWN, /* no usable response: it may have been accepted */
} DlLoadOutcome;

#endif
