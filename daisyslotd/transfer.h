/*
 * State and functions shared by the modules of the transfer task, which obtains the
 * weights of the directive's version.  policy/swarm.h decides what to request from whom.
 *
 *   transfer.c          the task: directives, members, progress reports, state dump
 *   transfer_run.c      performs the swarm's actions and processes received chunks
 *   transfer_peer.c     connections to other slots
 *   transfer_source.c   fetches from the origin and the weight store
 *   transfer_store.c    chunks and manifests in memory
 *   transfer_blobs.c    HTTP server from which the engine loads them
 */
#ifndef TRANSFER_H
#define TRANSFER_H

#include <glib.h>

#include "daisyslotd.h"
#include "policy/swarm.h"
#include "policy/throttle.h"
#include "transfer_source.h"
#include "transfer_store.h"

typedef struct Transfer Transfer;

/* Another slot.  Lives as long as the task. */
typedef struct
{
  Transfer *transfer;
  char *name;
  DlConn *conn;  /* NULL when not connected */
  bool outgoing; /* this side opened the connection */
  bool up;       /* handshake done, and the peer's name is the expected one */
  /* What it last announced.  Kept for when this host switches to that version. */
  DlDigest version;
  bool has_manifest;
  GByteArray *bitmap; /* of the chunks that it holds */
  uint32_t queue;     /* uploads waiting there */
  /* Its requests with wait set for a version to which this host has not switched yet. */
  DlDigest early_version;
  GArray *early_wants; /* uint32_t indexes */
} TransferPeer;

/* Bytes since the transfer of the target version began. */
typedef struct
{
  uint64_t origin_bytes;    /* from the origin or the weight store */
  uint64_t region_bytes;    /* from other regions, the origin's included */
  uint64_t received_bytes;  /* from all sources */
  uint64_t duplicate_bytes; /* not needed: verified already, or of no use */
  uint64_t corrupt_bytes;   /* from peers, with a wrong digest */
  uint64_t sent_bytes;      /* to other slots */
} TransferCounts;

struct Transfer
{
  DlTask *task;
  TransferStore *store;
  TransferSources *sources;
  GHashTable *peers;                  /* name to TransferPeer */
  const SlotMessage *members_message; /* referenced; NULL before the first */
  const SlotMessage *directive_message;
  const SlotDirective *directive; /* NULL: none */
  DlDigest serving;               /* of the engine; zero: none */
  DlSwarm *swarm;                 /* of the directive's version; NULL without one */
  void *fetches;                  /* talloc owner of the swarm's fetches in progress */
  const DlManifest *manifest;     /* of the directive's version; NULL until known */
  DlBudget up, down, region_up, region_down;
  DlThrottle throttle; /* share of the budgets while live requests run */
  TransferCounts counts;
  char *failure;       /* why the version cannot be used; NULL: none */
  uint64_t started_ms; /* start of the transfer */
  DlTimer *run_timer;
  uint64_t run_at_ms; /* next run of the swarm; UINT64_MAX: none */
  DlTimer *report_timer;
  uint64_t reported_ms;
  bool report_pending;
};

/* transfer.c */
/* Returns the member of that name, or NULL. */
const DlMember *transfer_member (const Transfer *transfer, const char *name);
/* Publishes the progress, at most every 250 ms unless AT_ONCE. */
void transfer_report (Transfer *transfer, bool at_once);
/* Adjusts the share of the link budgets to the delay of live requests. */
void transfer_update_throttle (Transfer *transfer);
/* Starts to use a verified manifest of the directive's version, which the store owns. */
void transfer_use_manifest (Transfer *transfer, const DlManifest *manifest);

/* transfer_run.c */
/* Runs the swarm in the next loop iteration. */
void transfer_schedule_run (Transfer *transfer);
/* Handles the end of a fetch; DATA is the Transfer. */
void transfer_on_fetch (const TransferFetch *fetch, void *data);
/* Verifies and stores a chunk, or the manifest, that PEER sent. */
void transfer_on_chunk (Transfer *transfer,
                        TransferPeer *peer,
                        const DlDigest *version,
                        uint32_t index,
                        DlStr data);

/* transfer_peer.c */
/* Returns the peer of that name, created at the first call. */
TransferPeer *transfer_peer (Transfer *transfer, const char *name);
/* Closes the connection, if any, without an event to the swarm. */
void transfer_peer_disconnect (TransferPeer *peer);
/* Connects to the peer unless connected; one missing from the host list is reported to
 * the swarm as down. */
void transfer_peer_connect (Transfer *transfer, TransferPeer *peer);
/* Takes ownership of a connection that the listener accepted. */
void transfer_peer_accept (Transfer *transfer, DlConn *conn);
/* Sends to the peer if it is up; closes the connection on failure. */
void transfer_peer_send (TransferPeer *peer, const DlEnvelope *envelope, DlStr payload);
/* Reports the open connections, the chunks that peers hold and their early requests to a
 * new swarm. */
void transfer_peers_replay (Transfer *transfer);
/* Frees the table of peers and what they hold outside talloc. */
void transfer_peers_free (Transfer *transfer);

#endif
