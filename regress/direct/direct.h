/*
 * Tests of direct operation with the real programs, against stand-ins of the users'
 * platform on loopback.
 */
#ifndef DIRECT_H
#define DIRECT_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/str.h"
#include "proxy.h"

/* Stands in a process's log where each start of it begins. */
#define PROCESS_LOG_MARK "--- "

#define SERVERS 3 /* two with weights, and a plain one */
#define ENTRIES 2

/* A process that the runner started. */
typedef struct
{
  char *name;
  char **argv;
  char *log; /* file that its output goes to */
  int pid;   /* 0: does not run */
} Process;

typedef struct
{
  const char *bin;
  char *folder;
  char *subnet; /* "127.A.B": addresses of this run */
  char *store;  /* "IP:PORT" */
  char *origin;
  char *server[SERVERS];
  char *entry[ENTRIES]; /* for requests */
  /* Where others reach these: the same, or a proxy before it. */
  char *via_store;
  char *via_origin;
  char *via_server[SERVERS];
  char *via_entry[ENTRIES];
  GPtrArray *proxies;       /* of Proxy; NULL without */
  char *ready[ENTRIES];     /* for the question whether it is ready */
  char *directory[ENTRIES]; /* for the question which entries to use */
  char *metrics[ENTRIES];   /* for counters, and for other entries */
  Process store_process;
  Process origin_process;
  Process server_process[SERVERS];
  Process entry_process[ENTRIES];
  Process stager_process[SERVERS - 1];
  uint64_t config_version;
} World;

/* -------- world.c -------- */

/* Starts everything, WITH_PROXIES before the stand-ins and the entries, and waits until
 * both entries are ready; false on failure. */
bool world_start (World *world, const char *bin, bool with_proxies);
/* Ends what runs; prints the logs when FAILED. */
void world_stop (World *world, bool failed);
bool process_start (Process *process);
/* Sends SIGNUM and waits for the end; returns the wait status, -1 when none came. */
int process_end (Process *process, int signum);
/* Writes a new version of the configuration, without the second key if WITHOUT_KEY. */
bool world_configure (World *world, bool without_key);
/* Writes the entry of server INDEX. */
bool world_list_server (World *world, unsigned index, const char *state);
bool world_name_version (World *world, uint64_t version);
/* Creates or replaces an object. */
bool world_put (World *world, const char *kind, const char *name, const char *spec);

/* -------- http.c -------- */

typedef struct
{
  int status; /* 0: no answer */
  bool whole; /* the answer ended as it should */
  char *body;
  char *headers;
} Answer;

typedef struct
{
  const char *method; /* NULL for GET */
  const char *address;
  const char *target;
  const char *host;     /* NULL for none */
  const char *id;       /* of the request; NULL for none */
  const char *key;      /* NULL for none */
  const char *header;   /* one more; NULL for none */
  const char *body;     /* NULL for none */
  unsigned deadline_ms; /* told to the system; 0 for none */
  unsigned leave_ms;    /* the caller goes away after this; 0: stays */
  void *kept;           /* CURL handle whose connections are used again; NULL for none */
} Call;

Answer call (const Call *options);
void answer_free (Answer *answer);
/* The value of header NAME, without case; below the answer, NULL when absent. */
char *answer_header (const Answer *answer, const char *name);
/* What the stand-in at ADDRESS records; the caller puts it. */
json_object *records (const char *address);
/* A number that it records, by path with dots; 0 when absent. */
uint64_t recorded (const char *address, const char *path);
bool set_fault (const char *address, const char *knob, uint64_t value);

/* -------- direct.c -------- */

/* Counts a check; one that does not hold is printed and fails the run. */
void check (bool holds, const char *text, const char *where, int line);
#define CHECK(condition) check ((condition), #condition, __func__, __LINE__)

/* A request of the usual caller. */
Call request (const World *world, const char *target, const char *id);
/* Sets a fault at both servers with weights. */
void set_both (World *world, const char *knob, uint64_t value);

/* How often the servers ran the request. */
uint64_t runs_of (World *world, const char *id);
/* Events FIRST to LAST as a server sends them; g_free it. */
char *events_text (unsigned first, unsigned last);
/* True for events FIRST to LAST, each once and in order. */
bool has_events (const char *body, unsigned first, unsigned last);
/* True when the stand-in at ADDRESS records TEXT as MEMBER. */
bool has_text (const char *address, const char *member, const char *text);

/* -------- requests.c, explained.c, changes.c -------- */

typedef void (*TestFunc) (World *world);

/* In the order in which they run, since they share one world; each ends with NULL. */
extern const TestFunc request_tests[];
/* The paths of docs/OPERATIONS.md, from a failed request's id to its cause. */
extern const TestFunc explain_tests[];
extern const TestFunc change_tests[];

/* -------- soak.c -------- */

/* Lets random faults overlap for SECONDS while callers press, then checks what callers
 * were told against what ran.  Returns the number of broken promises, which are printed.
 */
unsigned soak_run (World *world, uint32_t seed, unsigned seconds);

/* -------- http.c -------- */

/* Calls IS_SO until it is true; false when it never was within a generous time. */
bool eventually (bool (*is_so) (World *world), World *world);

#endif
