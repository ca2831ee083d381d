/*
 * A peer that answers requests with bytes without end, or with a few and the end of the
 * connection.  It serves connections in the place of a proxy's target.
 */
#ifndef DIRECT_ENDLESS_H
#define DIRECT_ENDLESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/* What a peer sends. */
typedef struct
{
  const char *head; /* sent once; "%s" stands for the id of the request; may be "" */
  const char *unit; /* sent again and again; NULL: the connection ends after HEAD */
  bool trickle;     /* a few bytes at a time, and a pause after each */
  const char
      *path;  /* start of the targets that are answered so; others reach the target */
  int *left;  /* how many requests are answered so, counted down; NULL: all */
  bool reset; /* without a unit: the connection ends by a reset */
} EndlessAnswer;

/* What a peer saw since it was told what to send. */
typedef struct
{
  unsigned requests; /* answered without end */
  unsigned open;     /* of these, connections that are still open */
  uint64_t open_ms;  /* longest time from a request to the end of its connection */
  uint64_t bytes;    /* most bytes sent on a connection */
} EndlessRecord;

typedef struct EndlessPeer EndlessPeer;

/* TARGET is where connections with other requests are passed on to. */
EndlessPeer *endless_peer_new (const struct sockaddr_in *target);
/* Sets what later requests are answered with, ends the connections that are still open,
 * and starts a new record.  The strings of ANSWER are not copied; NULL: all requests
 * reach the target. */
void endless_peer_set (EndlessPeer *peer, const EndlessAnswer *answer);
/* Serves the connection FD, in a thread of its own. */
void endless_peer_serve (EndlessPeer *peer, int fd);
EndlessRecord endless_peer_record (EndlessPeer *peer);
/* Ends all connections. */
void endless_peer_free (EndlessPeer *peer);

#endif
