/*
 * Operators' HTTP listener: what its two source files share.
 */
#ifndef OPERATORS_H
#define OPERATORS_H

#include "daisyentryd.h"
#include "kernel/http_server.h"
#include "query/query.h"

/* Retry-After of refusals while the platform is away or nothing is known yet. */
#define OPERATORS_RETRY_MS 1000

typedef struct
{
  DlTask *task;
  DlHttpServer *server;
  DlObjectClient *client; /* its own, so that queries and steering do not wait for it */
  GQueue *snapshots;      /* messages of type SNAPSHOT, newest first */
  bool platform_reachable;
  uint64_t store_age_ms;  /* when CONTACT said it */
  uint64_t contact_ms;    /* when that was; 0: never */
  uint64_t away_until_ms; /* a command met the platform away; refuse until then */
  unsigned commands;      /* in progress */
  bool draining;
} Operators;

/* Runs the command of a POST to /v1/command and answers REQUEST, at once or later. */
void operators_command (Operators *operators, DlHttpRequest *request);
/* Answers GET /v1/command?id=ID with the recorded outcome; takes up a pending command. */
void operators_ask (Operators *operators, DlHttpRequest *request);
/* The kept objects as of REVISION; false when that revision is not kept. */
bool operators_source_at (Operators *operators, uint64_t revision, DlQuerySource *source);
/* Answers 400 with the reason and the byte that it is about. */
void operators_reply_syntax (DlHttpRequest *request, const DlSyntaxError *error);
/* Called when a command has ended. */
void operators_command_ended (Operators *operators);

#endif
