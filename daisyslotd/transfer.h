/*
 * The transfer task's state, shared by its modules.
 *
 *   transfer.c          directives, members, reports, the dump
 *   transfer_run.c      carries out what the swarm decides, takes in what arrives
 *   transfer_peer.c     connections to other slots
 *   transfer_source.c   draws from the origin and the weight store
 *   transfer_store.c    the replica
 *   transfer_blobs.c    the replica over HTTP, for the engine
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

/* Another slot; lives as long as the task. */
typedef struct
{
  Transfer *transfer;
  char *name;
  DlConn *conn; /* NULL when there is none */
  bool dialled; /* this side dialled */
  bool up;
  /* What it told last, for the time when this host turns to the same version. */
  DlDigest version;
  bool has_manifest;
  GByteArray *bitmap;
  uint32_t queue;
  /* Requests that wait, of a version that this host has not turned to yet. */
  DlDigest early_version;
  GArray *early_wants; /* uint32_t indexes */
} TransferPeer;

/* Bytes received for the target version. */
typedef struct
{
  uint64_t origin_bytes;
  uint64_t region_bytes;
  uint64_t received_bytes;
  uint64_t duplicate_bytes;
  uint64_t corrupt_bytes;
  uint64_t sent_bytes;
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
  void *draws;                    /* owner of the draws in progress for SWARM */
  const DlManifest *manifest;     /* of the directive's version; NULL until known */
  DlBudget up, down, region_up, region_down;
  DlThrottle throttle; /* what the live requests leave of the budgets */
  TransferCounts counts;
  char *failure;
  uint64_t started_ms;
  DlTimer *run_timer;
  uint64_t run_at_ms;
  DlTimer *report_timer;
  uint64_t reported_ms;
  bool report_pending;
};

/* transfer.c */
const DlMember *transfer_member (const Transfer *transfer, const char *name);
/* Reports progress soon; at once when WHOLE has just become true. */
void transfer_report (Transfer *transfer, bool at_once);
/* Sets the part of the budgets that the live requests leave. */
void transfer_update_throttle (Transfer *transfer);
/* Takes a verified manifest of the directive's version into use. */
void transfer_use_manifest (Transfer *transfer, const DlManifest *manifest);

/* transfer_run.c */
/* Has the swarm decide in the loop's next turn. */
void transfer_kick (Transfer *transfer);
void transfer_on_draw (const TransferDraw *draw, void *data);
void transfer_on_chunk (Transfer *transfer,
                        TransferPeer *peer,
                        const DlDigest *version,
                        uint32_t index,
                        DlStr data);

/* transfer_peer.c */
TransferPeer *transfer_peer (Transfer *transfer, const char *name);
void transfer_peer_hang_up (TransferPeer *peer);
void transfer_peer_dial (Transfer *transfer, TransferPeer *peer);
/* Takes over a connection that the listener accepted. */
void transfer_peer_accept (Transfer *transfer, DlConn *conn);
/* Sends to the peer; a failure closes the connection. */
void transfer_peer_send (TransferPeer *peer, const DlEnvelope *envelope, DlStr payload);
/* Tells a new swarm of the open connections and of what the peers hold. */
void transfer_peers_replay (Transfer *transfer);
void transfer_peers_free (Transfer *transfer);

#endif
