/*
 * Stand-ins for what surrounds daisyloft: the platform, the origin of weights, a model
 * engine and a plain service.
 *
 * One binary; each kind registers itself, and an option chooses one.  Every kind has
 * knobs: named numbers that "--set NAME=NUMBER" and POST /test/fault {"NAME": NUMBER}
 * set, be they sizes, rates or faults.  GET /test/records answers what truly happened.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include "kernel/http_server.h"
#include "kernel/kernel.h"

typedef struct
{
  const char *name; /* NULL ends a table */
  uint64_t *value;
} StandinKnob;

typedef struct StandinKind
{
  const char *name;
  const StandinKnob *knobs;
  void (*start) (DlTask *task);
  /* A knob was set; may be NULL. */
  void (*changed) (void);
  void (*handle) (DlHttpRequest *request);
  /* The truth records; the caller owns them. */
  json_object *(*records) (void);
  struct StandinKind *next;
} StandinKind;

void standin_register (StandinKind *kind);

#define STANDIN_REGISTER(kind)                                     \
  static void __attribute__ ((constructor)) kind##_register (void) \
  {                                                                \
    standin_register (&(kind));                                    \
  }

/* The knob "outage", common to all kinds. */
typedef enum
{
  STANDIN_UP,
  STANDIN_REFUSE, /* 503 */
  STANDIN_HANG,   /* no answer ever */
  STANDIN_CLOSE,  /* the connection is cut */
} StandinOutage;

extern uint64_t standin_outage;

/* True once for each of *COUNT, which it lowers: the faults of "the next N". */
bool standin_take (uint64_t *count);
/* True for PERCENT of the calls, by the seed. */
bool standin_chance (uint64_t percent);

/* A token bucket; a rate of 0 is no limit.  It holds one second's worth. */
typedef struct
{
  double tokens;
  uint64_t filled_us; /* 0: never used, starts full */
} StandinBucket;

/* Fills the bucket for the time since the last call. */
void standin_bucket_fill (StandinBucket *bucket, uint64_t rate_per_s);
/* Takes one token; false when there is none. */
bool standin_bucket_take (StandinBucket *bucket, uint64_t rate_per_s);

/* The member KEY of OBJECT, or 0 and "" when it is absent. */
uint64_t standin_json_uint (json_object *object, const char *key);
const char *standin_json_text (json_object *object, const char *key);
void standin_json_set_uint (json_object *object, const char *key, uint64_t value);
void standin_json_set_text (json_object *object, const char *key, const char *text);
/* The request's body as a JSON object, which the caller puts; NULL after a reply of 400
 * when it is none. */
json_object *standin_body (DlHttpRequest *request);
void standin_reply_status (DlHttpRequest *request, unsigned status);

#endif
