/*
 * Stand-ins for the servers that daisyloft works with: the platform, the origin of
 * weights, model engines and plain services.
 *
 * One program has all kinds: each registers itself, and the option --kind chooses one.
 * Every kind has knobs: named numbers that are sizes, rates or faults, set by
 * "--set NAME=NUMBER" or POST /test/fault {"NAME": NUMBER}.  GET /test/records returns
 * what the stand-in has recorded, so that a test can compare it with what callers saw.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include "kernel/http_server.h"
#include "kernel/kernel.h"

/* A number that tests can set. */
typedef struct
{
  const char *name; /* NULL ends a table */
  uint64_t *value;
} StandinKnob;

/* One kind of stand-in. */
typedef struct StandinKind
{
  const char *name;
  const StandinKnob *knobs;
  void (*start) (DlTask *task);
  /* Called after POST /test/fault has set knobs; may be NULL. */
  void (*changed) (void);
  /* Answers a request; the knob "outage" and the delay are applied before, and only to
   * paths outside /test/. */
  void (*handle) (DlHttpRequest *request);
  /* What happened, for GET /test/records; the caller owns the object. */
  json_object *(*records) (void);
  struct StandinKind *next;
} StandinKind;

/* Adds a kind; KIND must stay valid. */
void standin_register (StandinKind *kind);

/* Registers the static variable KIND before main. */
#define STANDIN_REGISTER(kind)                                     \
  static void __attribute__ ((constructor)) kind##_register (void) \
  {                                                                \
    standin_register (&(kind));                                    \
  }

/* Values of the knob "outage", common to all kinds. */
typedef enum
{
  STANDIN_UP,
  STANDIN_REFUSE, /* responds 503 */
  STANDIN_HANG,   /* never responds */
  STANDIN_CLOSE,  /* closes the connection */
} StandinOutage;

extern uint64_t standin_outage;

/* For a fault of the next N requests: true if *COUNT is not 0, which is decremented. */
bool standin_count_down (uint64_t *count);
/* True for PERCENT of the calls, at random by the knob "seed". */
bool standin_chance (uint64_t percent);

/* A token bucket, which holds at most the tokens of one second. */
typedef struct
{
  double tokens;
  uint64_t filled_us; /* 0: never used; it starts full */
} StandinBucket;

/* Adds the tokens for the time since the last call. */
void standin_bucket_fill (StandinBucket *bucket, uint64_t rate_per_s);
/* Takes one token; false when there is none.  A rate of 0 is no limit. */
bool standin_bucket_take (StandinBucket *bucket, uint64_t rate_per_s);

/* The member KEY of OBJECT, or 0 and "" when it is absent. */
uint64_t standin_json_uint (json_object *object, const char *key);
const char *standin_json_text (json_object *object, const char *key);
void standin_json_set_uint (json_object *object, const char *key, uint64_t value);
void standin_json_set_text (json_object *object, const char *key, const char *text);
/* Parses the request's body as a JSON object, which the caller releases.  If it is none,
 * replies 400 and returns NULL. */
json_object *standin_body (DlHttpRequest *request);
/* Replies STATUS with an empty JSON object. */
void standin_reply_status (DlHttpRequest *request, unsigned status);

#endif
