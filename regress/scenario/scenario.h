/*
 * The scenario runner: starts the real processes on loopback, brings about failures, and
 * judges by what the stand-ins recorded.  README.md describes the test language.
 *
 * One thread and one loop: a statement that waits calls scn_turn, which serves HTTP
 * calls, relays, load and ended processes meanwhile.
 */
#ifndef SCENARIO_H
#define SCENARIO_H

#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "kernel/crypt.h"

#define SCN_READY_MS 15000 /* for a process to listen, or to end after a stop */

typedef struct Load Load;
typedef struct Relay Relay;
typedef struct Rule Rule;

typedef enum
{
  PROCESS_PLATFORM,
  PROCESS_ORIGIN, /* and the weight store */
  PROCESS_ENGINE,
  PROCESS_SERVICE,
  PROCESS_ENTRY,
  PROCESS_SLOT,
  PROCESS_KINDS,
} ProcessKind;

typedef struct Process
{
  char *name;
  ProcessKind kind;
  const char *region; /* of the topology; "" for none */
  const char *data_center;
  char *service;
  char *address;          /* frames of entries and slots; HTTP of stand-ins */
  char *advertise;        /* ADDRESS, or the relay before it */
  char *http;             /* entries: for callers */
  char *operators;        /* entries */
  char *weights;          /* slots: for the engine */
  struct Process *engine; /* slots: the engine or service beside them */
  Relay *relay;           /* before ADDRESS; NULL for none */
  json_object *settings;  /* own settings or knobs over the defaults */
  pid_t pid;              /* 0: not running */
  int status;             /* exit status; 128 + signal */
  bool started;           /* has ever been */
  bool ending;            /* its end is asked for */
  bool frozen;
  bool leaving; /* shown so in the host list */
  char *log_path;
} Process;

typedef struct
{
  char *name;
  char *hex;
  uint64_t bytes;
  GBytes *content;
} Version;

/* What callers were told about one request, or about all with one key. */
typedef struct
{
  unsigned sent;
  unsigned answered;
  unsigned not_run;
  unsigned uncertain; /* unknown, cut off or broken */
  bool non_idempotent;
  char *answer; /* the first one */
} Told;

typedef struct
{
  const char *file;
  unsigned line;
  const char *bin; /* folder of the programs */
  char *folder;    /* temporary */
  uint64_t seed;
  GRand *random;
  CURLM *multi;
  GPtrArray *processes;    /* of Process */
  GPtrArray *relays;       /* of Relay */
  GPtrArray *rules;        /* of Rule */
  GPtrArray *loads;        /* of Load */
  GPtrArray *versions;     /* of Version */
  GPtrArray *data_centers; /* of char *: "REGION NAME" */
  GPtrArray *archives;     /* of json_object: records of stand-ins that have ended */
  GHashTable *variables;
  GHashTable *marks;  /* name to time in ms, as a pointer */
  GHashTable *told;   /* tag or key to Told */
  json_object *fleet; /* fleet settings */
  json_object *defaults[PROCESS_KINDS];
  unsigned next_host; /* for loopback addresses */
  bool fleet_written;
  bool entry_ended; /* an entry was killed: its callers' connections break */
  bool relays_wanted;
  bool failed;
} Scenario;

/* -------- scenario.c -------- */

/* Reports the failure of the current statement; returns false. */
bool scn_fail (Scenario *s, const char *format, ...) G_GNUC_PRINTF (2, 3);
uint64_t scn_now_ms (void);
/* Serves everything in the background for up to WAIT_MS. */
void scn_turn (Scenario *s, int wait_ms);
/* Waits for a time.  Returns false when the scenario has failed meanwhile. */
bool scn_sleep (Scenario *s, uint64_t ms);
bool scn_parse_uint (const char *text, uint64_t *value);
/* "2s", "300ms" or "2" (seconds) in milliseconds. */
bool scn_parse_time (Scenario *s, const char *text, uint64_t *ms);
/* Adds the member of "KEY=VALUE" to OBJECT; VALUE is JSON or else a text. */
bool scn_parse_member (Scenario *s, json_object *object, const char *text);

/* -------- http.c -------- */

typedef struct HttpCall HttpCall;
typedef void (*HttpFunc) (HttpCall *call, void *data);

struct HttpCall
{
  CURL *easy;
  struct curl_slist *headers;
  char *request_body;
  GString *body;
  CURLcode code; /* CURLE_OK: a whole answer arrived */
  long status;
  uint64_t started_us;
  uint64_t first_byte_us; /* 0: none arrived */
  uint64_t done_us;
  HttpFunc func;
  void *data;
  bool done;
};

/* Starts a call on a connection of its own.  FUNC is called at its end; the caller frees
 * it with http_free there or later. */
HttpCall *http_start (Scenario *s,
                      const char *method,
                      const char *url,
                      char *const *headers,
                      const char *body,
                      size_t length,
                      uint64_t timeout_ms,
                      HttpFunc func,
                      void *data);
const char *http_header (HttpCall *call, const char *name);
void http_free (Scenario *s, HttpCall *call);
/* Makes a call and waits for its end. */
HttpCall *http_wait (Scenario *s,
                     const char *method,
                     const char *url,
                     char *const *headers,
                     const char *body,
                     size_t length,
                     uint64_t timeout_ms);
/* GETs JSON; NULL when there was no answer of 200.  The caller puts it. */
json_object *http_json (Scenario *s, const char *url);
/* Serves the calls and the descriptors in FDS. */
void http_turn (Scenario *s, struct pollfd *fds, unsigned count, int wait_ms);

/* -------- process.c -------- */

Process *process_find (Scenario *s, const char *name);
/* The processes that a word names: a name, a glob, a host ("NAME" of a slot means the
 * slot and its engine; "NAME.slot" only the slot), a region or a data centre.  NULL after
 * a failure when there is none.  The caller frees the array. */
GPtrArray *process_match (Scenario *s, const char *word);
bool process_matches (const Process *p, const char *word);
Process *process_new (Scenario *s,
                      ProcessKind kind,
                      const char *name,
                      const char *region,
                      const char *data_center);
void process_free (gpointer process);
bool process_start (Scenario *s, Process *p);
/* Waits until it takes connections. */
bool process_wait_ready (Scenario *s, Process *p);
/* Signals it and waits for its end; a TERM must end it with status 0. */
bool process_end (Scenario *s, Process *p, int signal);
void process_freeze (Process *p, bool frozen);
/* Notes the processes that ended; an end that was not asked for fails the scenario. */
void process_reap (Scenario *s);
/* Ends all, and tells whether every one that ran ended well. */
bool process_end_all (Scenario *s);
void process_print_logs (Scenario *s);
/* Tells the platform's stand-in which hosts run. */
bool process_write_hosts (Scenario *s);
/* Runs a program of the bin folder; its output goes to *OUTPUT, which the caller frees.
 */
bool process_run (Scenario *s, char **argv, int *status, char **output);
/* The records of a stand-in; NULL when it does not answer.  The caller puts them. */
json_object *process_records (Scenario *s, Process *p);

/* -------- relay.c -------- */

/* A relay to TARGET: of SOURCE alone, or, when that is NULL, of any process that makes
 * itself known by the frames' handshake.  Returns its address, which the caller frees. */
char *relay_new (Scenario *s, Process *source, Process *target, Relay **relay);
void relay_free (gpointer relay);
void rule_free (gpointer rule);
/* Adds the descriptors to poll; lowers *WAIT_MS to when delayed bytes are due. */
void relay_poll (Scenario *s, GArray *fds, int *wait_ms);
void relay_turn (Scenario *s);
bool statement_link (Scenario *s, char **words, unsigned count);

/* -------- load.c -------- */

void load_turn (Scenario *s);
/* Milliseconds until a load has something to do, at most LIMIT. */
int load_wait_ms (Scenario *s, int limit);
/* A counter of the load; false when there is none of that name. */
bool load_counter (Scenario *s, const char *load, const char *counter, double *value);
double load_sum (Scenario *s, const char *counter);
/* Prints the counters of all loads. */
void load_print (Scenario *s);
void load_free (gpointer load);
bool statement_load (Scenario *s, char **words, unsigned count);

/* -------- version.c -------- */

Version *version_find (Scenario *s, const char *name);
void version_free (gpointer version);
bool statement_version (Scenario *s, char **words, unsigned count);
bool statement_publish (Scenario *s, char **words, unsigned count);
bool statement_rollout (Scenario *s, char **words, unsigned count);
bool statement_put (Scenario *s, char **words, unsigned count);
/* Writes an object of the platform, whatever its revision is. */
bool object_write (Scenario *s, const char *path, const char *json);

/* -------- truth.c -------- */

bool statement_expect (Scenario *s, char **words, unsigned count);
bool statement_during (Scenario *s, char **words, unsigned count);
bool statement_check (Scenario *s, char **words, unsigned count);
bool statement_save (Scenario *s, char **words, unsigned count);
bool statement_figure (Scenario *s, char **words, unsigned count);
bool statement_call (Scenario *s, char **words, unsigned count);
bool statement_ctl (Scenario *s, char **words, unsigned count);
/* Follows a path of keys and indices with dots between them; NULL when it leads nowhere.
 */
json_object *json_at (json_object *object, const char *path);

#endif
