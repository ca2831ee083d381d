/*
 * A small deployment for the cases of the review: the project's programs as separate
 * processes, beside stand-ins of the store, the origin and the servers, on loopback.
 */
#ifndef REVIEW_BED_H
#define REVIEW_BED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "../../regress/direct/direct.h"

#define BED_ENTRIES       2
#define BED_MODEL_SERVERS 2
#define BED_PLAIN_SERVERS 3
#define BED_SERVERS       (BED_MODEL_SERVERS + BED_PLAIN_SERVERS) /* the plain ones last */
/* Bounds of the users' site files. */
#define BED_REVOKE_MS   5000
#define BED_VERSION_MS  8000
#define BED_RECOVERY_MS 12000
/* Exit codes of a case. */
#define BED_HELD   0
#define BED_BROKEN 1
#define BED_UNABLE 2

typedef struct
{
  char *folder; /* temporary */
  FILE *record;
  char *store;
  char *via_store; /* where the system reaches it: a proxy, if one was asked for */
  Proxy *proxy;    /* NULL for none */
  char *origin;
  char *server[BED_SERVERS];
  char *entry[BED_ENTRIES];
  char *ready[BED_ENTRIES];
  Process store_process;
  Process origin_process;
  Process server_process[BED_SERVERS];
  Process entry_process[BED_ENTRIES];
  Process stager_process[BED_MODEL_SERVERS];
  uint64_t config_version;
} Bed;

/* Lists the last plain server under service "q" instead of "p"; set before bed_start. */
extern bool bed_with_second_service;
/* Puts a proxy before the store; set before bed_start. */
extern bool bed_with_proxy;
/* Starts all processes and waits until the entries are ready and serve.  Ends this
 * program with BED_UNABLE when that fails. */
Bed *bed_start (void);
/* Ends all processes and this program with STATUS. */
void bed_finish (Bed *bed, int status);
/* Writes one line with the time to record.txt and to standard output. */
void bed_record (Bed *bed, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Milliseconds of the steady clock. */
uint64_t bed_now_ms (void);
/* False when the environment says TROUBLE=0. */
bool bed_has_trouble (void);
void bed_sleep_until (uint64_t at_ms);

bool bed_process_start (Process *process);
void bed_process_signal (const Process *process, int signum);
/* Kills the process and waits for its end. */
void bed_process_kill (Process *process);

/* Creates or replaces an object of the store, as operators and servers do. */
bool bed_put (Bed *bed, const char *kind, const char *name, const char *spec);
/* Writes the next version of the configuration, with or without key "key2". */
bool bed_configure (Bed *bed, bool with_key2);
/* Writes the next version, which moves the route "/o/" to service "q" and adds a route
 * "/n/" to service "p". */
bool bed_change_routes (Bed *bed);
bool bed_list_server (Bed *bed, unsigned index);

/* How often the servers ran request ID, by their records. */
uint64_t bed_runs (Bed *bed, const char *id);

/* -------- clients -------- */

/* One answered or failed request. */
typedef struct
{
  uint64_t sent_ms;
  char id[32];
  char path[32];
  int status;  /* 0: no answer */
  bool served; /* a complete success with the server's seal */
} BedOutcome;

/* Sends one request with KEY, a stream when PATH begins with /s/, and records it. */
BedOutcome
bed_request (Bed *bed, unsigned entry, const char *path, const char *key, const char *id);

/* Clients that send requests at a steady rate, each on a new connection. */
typedef struct BedClients BedClients;

BedClients *bed_clients_start (Bed *bed, const char *name, unsigned per_second);
/* Stops them, waits for their answers and returns all outcomes, of BedOutcome. */
GArray *bed_clients_stop (BedClients *clients);
/* Counts the outcomes sent from FROM_MS until UNTIL_MS, and those of them served. */
void bed_count (const GArray *outcomes,
                uint64_t from_ms,
                uint64_t until_ms,
                unsigned *sent,
                unsigned *served);

#endif
