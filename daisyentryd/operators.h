/*
 * The operators' HTTP listener: declarations shared by operators.c,
 * operators_command.c and operators_expiry.c.
 */
#ifndef OPERATORS_H
#define OPERATORS_H

#include "daisyentryd.h"
#include "kernel/http_server.h"
#include "query/query.h"

/* Retry-After of requests that are refused because the platform is unavailable or no
 * suitable snapshot has arrived yet. */
#define OPERATORS_RETRY_MS 1000

/* State of the task. */
typedef struct
{
  DlTask *task;
  DlHttpServer *server;
  DlObjectClient *client; /* not shared: other tasks' calls must not wait for it */
  GQueue *snapshots;      /* referenced messages of type SNAPSHOT, newest first */
  bool platform_reachable;
  uint64_t store_age_ms; /* from the last CONTACT message */
  uint64_t contact_ms;   /* when that message arrived; 0: never */
  /* Commands are refused until this time after one found the platform unavailable. */
  uint64_t unavailable_until_ms;
  unsigned commands; /* in progress */
  bool draining;
} Operators;

/* Handles POST /v1/command: runs the command and responds to REQUEST, now or later. */
void operators_post_command (Operators *operators, DlHttpRequest *request);
/* Handles GET /v1/command?id=ID: responds to REQUEST, now or later, with the recorded
 * outcome.  A command that is still pending is resumed first. */
void operators_get_command (Operators *operators, DlHttpRequest *request);
/* Sets *SOURCE to the snapshot of REVISION, which stays valid until the next message is
 * handled.  Returns false when that snapshot is not kept. */
bool operators_source_at (Operators *operators, uint64_t revision, DlQuerySource *source);
/* Responds to REQUEST with status 400, the error and its byte position. */
void operators_reply_syntax_error (DlHttpRequest *request, const DlSyntaxError *error);
/* Deletes a few expired outcomes and ended drains.  To be called with each command, so
 * that these objects are deleted about as fast as commands create them. */
void operators_expire_objects (Operators *operators);
/* Decrements the number of commands in progress. */
void operators_command_ended (Operators *operators);

#endif
