/*
 * Tests of direct operation: the real programs run against stand-ins of the users'
 * platform on loopback addresses.
 */
#ifndef DIRECT_H
#define DIRECT_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/str.h"
#include "proxy.h"

/* Starts the line that the runner writes to a process's log before each start. */
#define PROCESS_LOG_MARK "--- "

#define SERVERS       3 /* two model servers and, last, a plain service */
#define MODEL_SERVERS (SERVERS - 1)
#define ENTRIES       2
/* Indexes of the proxies: before the store, the origin and the first server. */
#define PROXY_STORE              0
#define PROXY_ORIGIN             1
#define PROXY_SERVERS            2
#define REVOKE_DEFAULT_MS        3000
#define VERSION_DEFAULT_MS       8000
#define SLOTS_DEFAULT            4
#define BODY_LIMIT_DEFAULT_BYTES 100000

/* With Testbed.places: the model server in "d2" of "r2", what a cold model server
 * tolerates, and the two settings of entries that add to it, as text.  All entries
 * together send it at most COLD_MAX requests in any second. */
#define SERVER_OUTSIDE 1
#define COLD_PER_S     18
#define COLD_OVERAGE   "1.5"
#define COLD_SLACK     "5"
#define COLD_MAX       (COLD_PER_S * 3 / 2 + 5)

/* Stated by the users of a server that names a limit of MILLIS thousandths of a request a
 * second: at most one and a half times what that allows in four seconds, and five. */
#define LIMITED_MAX(millis) ((millis)*4 * 3 / 2 / 1000 + 5)
/* Stated by them of a prompt part that crashes servers: later than this after so many
 * crashes, at most so many more requests with it may reach servers. */
#define STABLE_WINDOW_MS 3000
#define CRASHES          5
#define SENT_MAX         3

/* A process that the runner controls; it can be started again after its end. */
typedef struct
{
  char *name;
  char **argv;
  char *log; /* file that receives its output */
  int pid;   /* 0: not running */
} Process;

/* All processes of a run, their addresses and files.  Addresses are "IP:PORT". */
typedef struct
{
  const char *bin; /* directory of the programs */
  char *folder;    /* temporary, for settings and logs */
  char *subnet;    /* "127.A.B": addresses of this run */
  char *store;
  char *origin;
  char *server[SERVERS];
  char *entry[ENTRIES]; /* where it takes requests */
  /* Addresses under which the others reach these: the same, or those of proxies. */
  char *via_store;
  char *via_origin;
  char *via_server[SERVERS];
  char *via_entry[ENTRIES];
  GPtrArray *proxies;        /* of Proxy; NULL without proxies */
  char *ready[ENTRIES];      /* where it answers readiness checks */
  char *directory[ENTRIES];  /* where it lists the entries to use */
  char *metrics[ENTRIES];    /* where it serves metrics, and other entries */
  char *entry_node[ENTRIES]; /* where it serves chunks to other nodes */
  char *stager_node[MODEL_SERVERS];
  Process store_process;
  Process origin_process;
  Process server_process[SERVERS];
  Process entry_process[ENTRIES];
  Process stager_process[SERVERS - 1];
  uint64_t config_version;
  uint64_t server_started[SERVERS]; /* start time of the instance that is listed */
  unsigned more_routes; /* in the configuration, beside those that tests use */
  unsigned slots;       /* of each server, as listed; 0: SLOTS_DEFAULT */
  unsigned revoke_ms;   /* within which a revoked key is refused; 0: REVOKE_DEFAULT_MS */
  unsigned body_limit_bytes; /* of a request, in the configuration; 0: the usual one */
  unsigned version_ms; /* within which a version is in effect; 0: VERSION_DEFAULT_MS */
  /* The second model server and its stager are in "d2" of "r2", all else in "d1" of "r1";
   * evacuations and cold upstreams are enabled, and there are two further routes to the
   * model servers, "/h/" and the public "/m/". */
  bool places;
  /* With it: "allowed_regions" of "/h/" and of the organisation, JSON or NULL for none.
   */
  const char *route_regions;
  const char *organisation_regions;
  uint64_t cold_ms[SERVERS]; /* for which a server is listed as cold */
} Testbed;

/* -------- testbed.c -------- */

/* Starts all processes and waits until both entries are ready.  WITH_PROXIES puts a proxy
 * before each stand-in and entry.  Returns false on failure. */
bool testbed_start (Testbed *testbed, const char *bin, bool with_proxies);
/* Ends all processes and removes their files; when FAILED, prints the last lines of the
 * logs of the entries, stagers and servers first, and the beginning of a sanitizer's
 * report that stands before them. */
void testbed_stop (Testbed *testbed, bool failed);
bool process_start (Process *process);
/* Sends SIGNUM and waits for the end, up to 20 s; returns the wait status, or -1 when the
 * process did not run or did not end. */
int process_end (Process *process, int signum);
/* Writes the configuration with the next version, without "key2" if WITHOUT_KEY. */
bool testbed_configure (Testbed *testbed, bool without_key);
/* Writes the store's object for server INDEX, with STATE "ready" or "draining". */
bool testbed_list_server (Testbed *testbed, unsigned index, const char *state);
/* Lists server INDEX as a new instance that started under the same id. */
bool testbed_restart_server (Testbed *testbed, unsigned index);
/* Lists the model servers that crashed since SEEN, their numbers of crashes, and are up
 * again as new instances, and updates SEEN.  Returns false when one is still down or was
 * not listed. */
bool testbed_list_crashed (Testbed *testbed, uint64_t seen[MODEL_SERVERS]);
/* Removes server INDEX from the store's list. */
bool testbed_unlist_server (Testbed *testbed, unsigned index);
/* Publishes VERSION at the origin and announces it in the store as the target version. */
bool testbed_announce_version (Testbed *testbed, uint64_t version);
/* Time from the announcement of a version within which it must be in effect. */
unsigned testbed_version_ms (const Testbed *testbed);
/* Creates or replaces an object of the store; SPEC is JSON. */
bool testbed_put (Testbed *testbed, const char *kind, const char *name, const char *spec);
/* Deletes an object of the store. */
bool testbed_delete (Testbed *testbed, const char *kind, const char *name);

/* -------- http.c -------- */

typedef struct
{
  int status;    /* 0: no response */
  bool complete; /* received up to its proper end */
  bool sent;     /* the request was; known when it is sent once */
  char *body;    /* BODY and HEADERS are freed by response_free */
  char *headers;
} Response;

/* A request to send; members that are 0 or NULL are left out of it. */
typedef struct
{
  const char *method; /* NULL for GET, or POST with a body */
  const char *address;
  const char *target;
  const char *host;     /* NULL for none */
  const char *id;       /* request id; NULL for none */
  const char *key;      /* NULL for none */
  const char *header;   /* a further one, "NAME: VALUE"; NULL for none */
  const char *body;     /* NULL for none */
  unsigned deadline_ms; /* sent in X-Deadline-Ms; 0 for none */
  unsigned stall_ms;    /* the caller reads nothing for this long once the body begins */
  unsigned disconnect_ms; /* the caller disconnects after this; 0: after 20 s */
  void *curl;             /* CURL handle whose connections are reused; NULL: new ones */
  bool once;              /* not sent again by libcurl when a reused connection ends */
} Call;

/* Sends a request and waits for the end of the response. */
Response call (const Call *options);
void response_free (Response *response);

/* A request that a thread of its own sends. */
typedef struct
{
  Call options;
  Response response; /* valid after background_join */
  GThread *thread;
} Background;

/* Sends OPTIONS, which is copied, from a thread. */
void background_start (Background *background, const Call *options);
/* Waits for the end of the response. */
void background_join (Background *background);
/* The value of header NAME in any case, for g_free; NULL when absent. */
char *response_header (const Response *response, const char *name);
/* The records of the stand-in at ADDRESS, NULL on failure; the caller releases them. */
json_object *fetch_records (const char *address);
/* A number in these records by its path, as in "runs.ID"; 0 when absent. */
uint64_t recorded (const char *address, const char *path);
/* Sets a knob of the stand-in at ADDRESS; false on failure. */
bool set_fault (const char *address, const char *knob, uint64_t value);

/* -------- direct.c -------- */

/* Prints a line about a failure, at once and again after the logs of the processes. */
void print_failure (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Counts a check; one that failed is printed and fails the run. */
void check (bool passed, const char *text, const char *where, int line);
#define CHECK(condition) check ((condition), #condition, __func__, __LINE__)

/* A request to the first entry with a valid key and a deadline. */
Call default_call (const Testbed *testbed, const char *target, const char *id);
/* Status of a safe request with KEY to ENTRY. */
int status_with_key (const Testbed *testbed, unsigned entry, const char *key);
/* True when both entries serve a safe request. */
bool requests_are_served (Testbed *testbed);
/* Kills all entries and stagers. */
void end_nodes (Testbed *testbed);
/* Starts all of them again. */
void start_nodes (Testbed *testbed);
/* Waits until VERSION is loaded in all model servers; false when it is not in time. */
bool version_is_loaded (Testbed *testbed, uint64_t version);
/* Has the first entry earn at least one retry. */
void earn_retries (Testbed *testbed);
/* Sends a stream to the entry at ADDRESS, with MIDDLE among the parts of its prompt; the
 * first part is shared by all such streams, the last one belongs to the request.  The
 * caller frees *ID and the response. */
Response stream_with_part (const Testbed *testbed,
                           const char *address,
                           const char *middle,
                           char **id);
/* True if a stream with the part MIDDLE is served. */
bool part_is_served (const Testbed *testbed, const char *address, const char *middle);
/* The sum of member NAME over the records of the model servers. */
uint64_t recorded_by_models (Testbed *testbed, const char *name);
/* Sets a knob of both model servers. */
void set_fault_on_both (Testbed *testbed, const char *knob, uint64_t value);

/* The metric NAME of an entry; 0 when absent. */
uint64_t metric_value (const Testbed *testbed, unsigned entry, const char *name);
/* Watches that the entries have sent once more, on new connections. */
uint64_t second_watches (const Testbed *testbed);
/* How often the entry has answered nodes that read it in place of the store. */
uint64_t relay_answers (const Testbed *testbed, unsigned entry);
/* How often the servers ran request ID, by their records. */
uint64_t runs_of (Testbed *testbed, const char *id);
/* Events FIRST to LAST as a server sends them, for g_free. */
char *events_text (unsigned first, unsigned last);
/* True if BODY is events FIRST to LAST, each once and in order. */
bool has_events (const char *body, unsigned first, unsigned last);
/* True if the stand-in at ADDRESS has recorded TEXT as MEMBER. */
bool has_recorded_text (const char *address, const char *member, const char *text);

/* -------- server_load.c -------- */

/* MEMBER of the listed instance of the upstream ID, as the first entry knows it, as a
 * number. */
uint64_t upstream_number (const Testbed *testbed, const char *id, const char *member);
/* Waits until the first entry knows that model server INDEX is free and does not leave.
 */
bool server_takes_requests (Testbed *testbed, unsigned index);
/* Has model server INDEX report more requests of others than it has slots, or none, and
 * waits until the first entry knows. */
void fill_server (Testbed *testbed, unsigned index);
void free_server (Testbed *testbed, unsigned index);

/* -------- the tests, each list in the file of its name -------- */

typedef void (*TestFunc) (Testbed *testbed);

/* Each list ends with NULL.  All tests share the processes, so the order matters. */
extern const TestFunc request_tests[];
/* The ways in docs/OPERATIONS.md that lead from a failed request's id to its cause. */
extern const TestFunc explain_tests[];
extern const TestFunc change_tests[];
/* Upstreams that say in their responses that they leave, or when they want requests. */
extern const TestFunc leaving_tests[];

/* Prompt parts that crash the upstreams that process them. */
extern const TestFunc quarantine_tests[];
/* Whole requests that do. */
extern const TestFunc whole_request_tests[];
/* Upstreams that name a limit of requests a second for all entries together. */
extern const TestFunc limit_tests[];
/* Requests confined to regions, evacuated data centres and cold upstreams; the testbed
 * must have places. */
extern const TestFunc place_tests[];
/* Callers that hold a process's memory. */
extern const TestFunc crowd_tests[];
/* Starts of entries. */
extern const TestFunc start_tests[];
/* What entries handle late as they stood still. */
extern const TestFunc end_tests[];
/* The log's lines of requests that end without their whole response. */
extern const TestFunc incomplete_tests[];
/* Entries that stand still before a step of their end or start, and the callers of kept
 * connections; the same for new connections. */
extern const TestFunc end_step_tests[];
extern const TestFunc new_step_tests[];
/* Planned stops of entries. */
extern const TestFunc stop_tests[];
/* Requests at several moments of one. */
extern const TestFunc stop_moment_tests[];
/* Requests that run out of time. */
extern const TestFunc time_tests[];
/* Configurations that come while requests run. */
extern const TestFunc config_tests[];
/* Entries that read the store for others. */
extern const TestFunc reader_tests[];
/* Entries whose readers' copies are all too old; the time within which a revoked key is
 * refused must be as on the users' platform. */
extern const TestFunc stale_reader_tests[];
/* Until when entries serve by an old proof; the same holds. */
extern const TestFunc proof_bound_tests[];
extern const TestFunc denial_tests[];
/* Upstreams, and other peers, whose bytes never end; both need proxies. */
extern const TestFunc endless_tests[];
extern const TestFunc endless_peer_tests[];
/* Responses that end with their connection; needs proxies. */
extern const TestFunc undelimited_tests[];
/* Responses whose connection ends within the head; needs proxies. */
extern const TestFunc head_tests[];
/* Odd objects in the store. */
extern const TestFunc entry_tests[];
/* List entries at the address of another upstream. */
extern const TestFunc claimed_tests[];
/* Upstreams that fall silent; the first two tests need processes that were just started.
 */
extern const TestFunc silence_tests[];
/* Upstreams that replace a silent one. */
extern const TestFunc replacement_tests[];
/* Requests that start on weights which should have been replaced. */
extern const TestFunc version_tests[];
/* The same after entries have started, whose limit must be as on the users' platform. */
extern const TestFunc version_start_tests[];
/* Responses that do not belong where they arrive. */
extern const TestFunc crossed_tests[];
/* Responses that come more than once; needs proxies. */
extern const TestFunc copied_tests[];
extern const TestFunc spoilt_tests[];
extern const TestFunc operator_call_tests[];
/* Stagers whose engine takes no chunks. */
extern const TestFunc staging_tests[];
/* Weights that engines take. */
extern const TestFunc taken_tests[];
/* Weights of which no stager has told. */
extern const TestFunc taken_unknown_tests[];
/* Manifests that the origin spoils. */
extern const TestFunc manifest_tests[];
/* Open connections that go silent; needs proxies. */
extern const TestFunc silent_store_tests[];
/* Nodes that start behind a narrow link; needs proxies. */
extern const TestFunc narrow_link_tests[];
/* Malformed messages at each socket; needs proxies. */
extern const TestFunc malformed_tests[];
/* A fleet of many entries, which pass statuses on. */
extern const TestFunc fleet_tests[];
/* A store that returns from an older copy. */
extern const TestFunc era_tests[];

/* -------- narrow_link.c -------- */

/* Bounds what comes from the store, and has it list so many upstreams that a node takes
 * longer to read them than the store may stay silent.  Needs proxies. */
void narrow_link_begin (Testbed *testbed);
/* Removes the bound. */
void narrow_link_end (Testbed *testbed);
/* True when both entries serve within the time that a recovery may take. */
bool narrow_link_recovers (Testbed *testbed);

/* -------- soak.c -------- */

/* Injects random, overlapping faults for SECONDS while callers send requests, then checks
 * the responses against what the servers ran.  Prints each violated guarantee and returns
 * their number. */
unsigned soak_run (Testbed *testbed, uint32_t seed, unsigned seconds);
/* Does the same with one whole request that crashes the servers, beside sound ones. */
unsigned soak_run_whole (Testbed *testbed, uint32_t seed);

/* -------- http.c -------- */

/* Polls CONDITION until it is true; false when it is not within 600 polls 50 ms apart. */
bool eventually (bool (*condition) (Testbed *testbed), Testbed *testbed);

#endif
