/*
 * The scenario runner: starts the real programs on loopback, injects faults, and checks
 * the outcome against what the stand-ins recorded.  README.md describes the language.
 *
 * There is one thread and one event loop: a statement that waits calls scn_iterate(),
 * which meanwhile handles HTTP calls, relays, loads and the exit of processes.
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

/* Time limit for a process to listen, or to exit after a signal. */
#define SCN_READY_MS 15000
/* Key of the operators in every scenario. */
#define SCN_OPERATOR_KEY "scenario-operator-key-0123456789"

typedef struct Load Load;
typedef struct Relay Relay;
typedef struct Rule Rule;

/* Kinds of processes, in the order in which they are started. */
typedef enum
{
  PROCESS_PLATFORM,
  PROCESS_ORIGIN, /* also the weight store */
  PROCESS_ENGINE,
  PROCESS_SERVICE,
  PROCESS_ENTRY,
  PROCESS_SLOT,
  PROCESS_KINDS,
} ProcessKind;

/* A process that the scenario has declared; it may run or not. */
typedef struct Process
{
  char *name;
  ProcessKind kind;
  const char *region; /* "" for none; lives as long as the runner */
  const char *data_center;
  char *service;
  char *address;          /* listener for frames (entries, slots) or HTTP (stand-ins) */
  char *advertise;        /* address given to others: ADDRESS or that of RELAY */
  char *http;             /* entries: listener for callers */
  char *operators;        /* entries: listener for operators */
  char *weights;          /* slots: listener for the engine */
  struct Process *engine; /* slots: their engine or plain service */
  Relay *relay;           /* in front of ADDRESS; NULL for none */
  json_object *settings;  /* settings or knobs that override the defaults */
  pid_t pid;              /* 0: not running */
  int status;             /* exit status, or 128 + signal */
  bool started;           /* has been started at least once */
  bool ending;            /* was told to exit, so its exit is expected */
  bool frozen;            /* stopped by SIGSTOP */
  bool leaving;           /* marked as leaving in the host list */
  char *log_path;
} Process;

/* A version of the weights that the scenario has made. */
typedef struct
{
  char *name;
  char *hex; /* digest */
  uint64_t bytes;
  GBytes *content;
} Version;

/* How the callers' requests with one tag or idempotency key ended. */
typedef struct
{
  unsigned sent;
  unsigned answered;
  unsigned not_run;
  unsigned uncertain; /* may or may not have run */
  bool non_idempotent;
  char *response; /* body of the first answered call to a plain service */
} Outcomes;

/* State of the run. */
typedef struct
{
  const char *file; /* of the current statement */
  unsigned line;
  const char *bin; /* directory of the programs */
  char *folder;    /* temporary directory for settings and logs */
  uint64_t seed;
  GRand *random;
  CURLM *multi;
  GPtrArray *processes;    /* of Process */
  GPtrArray *relays;       /* of Relay */
  GPtrArray *rules;        /* of Rule */
  GPtrArray *loads;        /* of Load */
  GPtrArray *versions;     /* of Version */
  GPtrArray *data_centers; /* of char *: "REGION NAME" */
  GPtrArray *archives; /* of json_object: records of engines and services that ended */
  GHashTable *variables;
  GHashTable *marks;    /* name to uint64_t *, time in ms */
  GHashTable *outcomes; /* tag or idempotency key to Outcomes */
  json_object *fleet;   /* fleet settings */
  json_object *defaults[PROCESS_KINDS];
  unsigned next_host; /* for loopback addresses */
  bool fleet_written;
  bool entry_killed; /* an entry was killed, so connections of callers may break */
  bool use_relays;   /* connect processes through relays */
  bool failed;
} Scenario;

/* -------- scenario.c -------- */

/* Fails the scenario and prints the first failure with its file and
 * line; returns false. */
bool scn_fail (Scenario *s, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Monotonic time in milliseconds. */
uint64_t scn_now_ms (void);
/* Runs one loop iteration, which waits at most WAIT_MS for events. */
void scn_iterate (Scenario *s, int wait_ms);
/* Runs the loop for MS milliseconds.  Returns false when the scenario has failed. */
bool scn_sleep (Scenario *s, uint64_t ms);
/* Parses a decimal number. */
bool scn_parse_uint (const char *text, uint64_t *value);
/* Parses "2s", "300ms" or "2" (seconds) into milliseconds. */
bool scn_parse_time (Scenario *s, const char *text, uint64_t *ms);
/* Adds "KEY=VALUE" to OBJECT; a VALUE that is not JSON becomes a string. */
bool scn_parse_member (Scenario *s, json_object *object, const char *text);
/* Adds COUNT such words. */
bool scn_parse_members (Scenario *s, json_object *object, char **words, unsigned count);

/* -------- run.c -------- */

/* Runs the statements of a file.  Returns false when one has failed. */
bool scn_run_file (Scenario *s, const char *path);

/* -------- declare.c -------- */

/* Returns a list in the fleet settings, which own it; adds it when it is missing. */
json_object *fleet_list (Scenario *s, const char *key);
bool statement_region (Scenario *s, char **words, unsigned count);
bool statement_service (Scenario *s, char **words, unsigned count);
bool statement_organisation (Scenario *s, char **words, unsigned count);
bool statement_defaults (Scenario *s, char **words, unsigned count);
bool statement_entry (Scenario *s, char **words, unsigned count);
bool statement_slot (Scenario *s, char **words, unsigned count);
bool statement_many (Scenario *s, char **words, unsigned count);
bool statement_store (Scenario *s, char **words, unsigned count);
bool statement_relays (Scenario *s, char **words, unsigned count);

/* -------- control.c -------- */

bool statement_start (Scenario *s, char **words, unsigned count);
bool statement_signal (Scenario *s, char **words, unsigned count);
bool statement_fault (Scenario *s, char **words, unsigned count);

/* -------- http.c -------- */

typedef struct HttpCall HttpCall;
typedef void (*HttpFunc) (HttpCall *call, void *data);

/* An HTTP request and its response.  Times are monotonic, in microseconds. */
struct HttpCall
{
  CURL *easy;
  struct curl_slist *headers;
  char *request_body;
  GString *body;
  CURLcode code; /* CURLE_OK: a complete response arrived */
  long status;
  uint64_t started_us;
  uint64_t first_byte_us; /* of the body; 0: none arrived */
  uint64_t done_us;
  HttpFunc func;
  void *data;
  bool done;
};

/* Starts a call on a new connection.  BODY is copied.  FUNC, which may be NULL, is called
 * at its end; the caller frees the call with http_free() there or later. */
HttpCall *http_start (Scenario *s,
                      const char *method,
                      const char *url,
                      char *const *headers,
                      const char *body,
                      size_t length,
                      uint64_t timeout_ms,
                      HttpFunc func,
                      void *data);
/* Returns a response header, which the call owns, or NULL. */
const char *http_header (HttpCall *call, const char *name);
void http_free (Scenario *s, HttpCall *call);
/* Makes a call and runs the loop until it has ended.  The caller frees it. */
HttpCall *http_wait (Scenario *s,
                     const char *method,
                     const char *url,
                     char *const *headers,
                     const char *body,
                     size_t length,
                     uint64_t timeout_ms);
/* GETs a JSON object.  Returns NULL when the status is not 200; the caller releases the
 * object. */
json_object *http_json (Scenario *s, const char *url);
/* Waits at most WAIT_MS for the calls and the descriptors in FDS, then
 * handles the calls. */
void http_iterate (Scenario *s, struct pollfd *fds, unsigned count, int wait_ms);

/* -------- process.c -------- */

Process *process_find (Scenario *s, const char *name);
/* Returns the processes that WORD selects: a name, a glob, a region or a data centre.  A
 * slot's NAME means the slot and its engine, "NAME.slot" only the slot.  Fails the
 * scenario and returns NULL when there is none.  The caller frees the array. */
GPtrArray *process_match (Scenario *s, const char *word);
/* Whether WORD is a glob that matches P's name, or P's region or data centre. */
bool process_matches (const Process *p, const char *word);
/* Declares a process.  The scenario owns it; REGION and DATA_CENTER are not copied. */
Process *process_new (Scenario *s,
                      ProcessKind kind,
                      const char *name,
                      const char *region,
                      const char *data_center);
void process_free (gpointer process);
bool process_start (Scenario *s, Process *p);
/* Waits until P accepts connections. */
bool process_wait_ready (Scenario *s, Process *p);
/* Signals P and waits until it has exited; after SIGTERM its status must be 0. */
bool process_end (Scenario *s, Process *p, int signal);
/* Stops or continues P by SIGSTOP or SIGCONT. */
void process_freeze (Process *p, bool frozen);
/* Reaps the processes that have exited; an exit that was not expected
 * fails the scenario. */
void process_reap (Scenario *s);
/* Ends all processes by SIGTERM.  Returns whether each exited with status 0 in time. */
bool process_end_all (Scenario *s);
/* Prints the ends of the daemons' logs, and sanitizer reports of all processes. */
void process_print_logs (Scenario *s);
/* Sends the list of running hosts to the platform's stand-in. */
bool process_write_hosts (Scenario *s);
/* Runs a program and waits for its exit.  *OUTPUT is what it printed; the caller frees
 * it. */
bool process_run (Scenario *s, char **argv, int *status, char **output);
/* Returns the records of a stand-in, or NULL when it does not run or respond.  The caller
 * releases them. */
json_object *process_records (Scenario *s, Process *p);

/* -------- relay.c -------- */

/* Adds a relay to TARGET.  Only SOURCE uses it, or, when that is NULL, every process
 * whose Hello frame identifies it.  Returns its address, which the caller frees. */
char *relay_new (Scenario *s, Process *source, Process *target, Relay **relay);
void relay_free (gpointer relay);
void rule_free (gpointer rule);
/* Adds the descriptors to poll to FDS; lowers *WAIT_MS when delayed or rate-limited bytes
 * are due earlier. */
void relay_poll (Scenario *s, GArray *fds, int *wait_ms);
/* Accepts connections and passes bytes on, as the rules allow. */
void relay_iterate (Scenario *s);
bool statement_link (Scenario *s, char **words, unsigned count);

/* -------- load.c -------- */

/* Starts the requests that are due. */
void load_iterate (Scenario *s);
/* Returns the milliseconds until a load has to start a request, at most LIMIT. */
int load_wait_ms (Scenario *s, int limit);
/* Reads a counter of a load.  Returns false when there is no such load or counter. */
bool load_counter (Scenario *s, const char *load, const char *counter, double *value);
/* Returns the sum of a counter over all loads. */
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
/* Writes an object of the platform over any revision of it. */
bool object_write (Scenario *s, const char *path, const char *json);

/* -------- check.c -------- */

bool statement_expect (Scenario *s, char **words, unsigned count);
bool statement_during (Scenario *s, char **words, unsigned count);
bool statement_check (Scenario *s, char **words, unsigned count);
bool statement_save (Scenario *s, char **words, unsigned count);
bool statement_figure (Scenario *s, char **words, unsigned count);

/* -------- call.c -------- */

bool statement_call (Scenario *s, char **words, unsigned count);
bool statement_ctl (Scenario *s, char **words, unsigned count);

/* -------- operand.c, whose other functions are in operand.h -------- */

/* Returns the value at PATH, which is keys and indices with dots between them, or NULL.
 * OBJECT keeps the reference. */
json_object *json_at (json_object *object, const char *path);

#endif
