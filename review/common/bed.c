#include "bed.h"

#include <curl/curl.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PORT            8001
#define NODE_PORT       7700
#define DEADLINE_MS     2000
#define START_MS        20000
#define POLL_US         50000
#define RUN_MAX_S       115
#define SUBNET_FIRST    64
#define SUBNET_COUNT    63
#define OCTETS          250
#define PLAIN_EVERY     8 /* every so many requests one goes to the plain service */
#define MICROS_PER_MS   1000
#define SECOND_MS       1000
#define SERVER_SLOTS    16
#define NANOS_PER_MS    1000000
#define PROCESSES       (BED_ENTRIES + BED_MODEL_SERVERS + BED_SERVERS + 2)
#define ENV_PROGRAMS    "REVIEW_PROGRAMS"
#define ENV_STANDIN     "REVIEW_STANDIN"
#define ENV_RECORD      "REVIEW_RECORD"
#define PROGRAMS_FOLDER "target/fast/bin"
#define STANDIN_PROGRAM "build/fast/bin/review-standin"

bool bed_with_proxy;
bool bed_with_second_service;
static GMutex record_lock;
static Bed *running_bed;

/* -------- time and records -------- */

uint64_t
bed_now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t)ts.tv_sec * SECOND_MS + (uint64_t)ts.tv_nsec / NANOS_PER_MS;
}

void
bed_sleep_until (uint64_t at_ms)
{
  uint64_t now_ms = bed_now_ms ();

  if (at_ms > now_ms)
    g_usleep ((at_ms - now_ms) * MICROS_PER_MS);
}

bool
bed_has_trouble (void)
{
  return g_strcmp0 (getenv ("TROUBLE"), "0") != 0;
}

void
bed_record (Bed *bed, const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_mutex_lock (&record_lock);
  fprintf (bed->record, "%8" PRIu64 " ms  %s\n", bed_now_ms (), text);
  fflush (bed->record);
  g_mutex_unlock (&record_lock);
  g_free (text);
}

/* -------- processes -------- */

static void
die_with_parent (gpointer data)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

bool
bed_process_start (Process *p)
{
  GError *error = NULL;
  FILE *log = fopen (p->log, "ae");
  int out = log != NULL ? fileno (log) : -1;

  p->pid = 0;
  if (!g_spawn_async_with_fds (NULL, p->argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                               die_with_parent, NULL, &p->pid, -1, out, out, &error))
    {
      g_printerr ("%s: %s\n", p->name, error->message);
      g_error_free (error);
    }
  if (log != NULL)
    fclose (log);
  return p->pid > 0;
}

void
bed_process_signal (const Process *p, int signum)
{
  if (p->pid > 0)
    kill (p->pid, signum);
}

void
bed_process_kill (Process *p)
{
  if (p->pid <= 0)
    return;
  kill (p->pid, SIGKILL);
  waitpid (p->pid, NULL, 0);
  p->pid = 0;
}

static void
set_process (const Bed *bed, Process *p, const char *name, char **argv)
{
  p->name = g_strdup (name);
  p->argv = argv;
  p->log = g_strdup_printf ("%s/%s.log", bed->folder, name);
}

static const char *
from_environment (const char *name, const char *fallback)
{
  const char *value = getenv (name);

  return value != NULL ? value : fallback;
}

static void
set_standin (
    const Bed *bed, Process *p, const char *kind, const char *at, const char *knob)
{
  char **argv = g_new0 (char *, 5);

  argv[0] = g_strdup (from_environment (ENV_STANDIN, STANDIN_PROGRAM));
  argv[1] = g_strdup_printf ("--kind=%s", kind);
  argv[2] = g_strdup_printf ("--listen=%s", at);
  argv[3] = g_strdup (knob);
  set_process (bed, p, at, argv);
}

/* The deploy file's command, with the settings file in the temporary folder. */
static void
set_program (
    const Bed *bed, Process *p, const char *program, const char *name, char *settings)
{
  char *path = g_strdup_printf ("%s/%s.json", bed->folder, name);
  char **argv = g_new0 (char *, 4);

  g_file_set_contents (path, settings, -1, NULL);
  g_free (settings);
  argv[0] = g_strdup_printf ("%s/%s", from_environment (ENV_PROGRAMS, PROGRAMS_FOLDER),
                             program);
  argv[1] = g_strdup ("-f");
  argv[2] = path;
  set_process (bed, p, name, argv);
}

/* The processes one after the other, PROCESSES of them. */
static Process *
each_process (Bed *bed, unsigned i)
{
  if (i < BED_ENTRIES)
    return &bed->entry_process[i];
  i -= BED_ENTRIES;
  if (i < BED_MODEL_SERVERS)
    return &bed->stager_process[i];
  i -= BED_MODEL_SERVERS;
  if (i < BED_SERVERS)
    return &bed->server_process[i];
  i -= BED_SERVERS;
  return i == 0 ? &bed->origin_process : &bed->store_process;
}

static void
remove_folder (const Bed *bed)
{
  GDir *dir = g_dir_open (bed->folder, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_strdup_printf ("%s/%s", bed->folder, name);

      g_unlink (path);
      g_free (path);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_rmdir (bed->folder);
}

/* Adds the programs' own logs to the record's folder when REVIEW_LOGS names one. */
static void
keep_logs (Bed *bed)
{
  const char *to = getenv ("REVIEW_LOGS");

  for (unsigned i = 0; to != NULL && i < PROCESSES; i++)
    {
      const Process *p = each_process (bed, i);
      char *path = g_strdup_printf ("%s/%s.log", to, p->name);
      char *text = NULL;
      gsize length = 0;

      if (p->log != NULL && g_file_get_contents (p->log, &text, &length, NULL))
        g_file_set_contents (path, text, (gssize)length, NULL);
      g_free (text);
      g_free (path);
    }
}

void
bed_finish (Bed *bed, int status)
{
  for (unsigned i = 0; i < PROCESSES; i++)
    bed_process_kill (each_process (bed, i));
  keep_logs (bed);
  remove_folder (bed);
  bed_record (bed, "ended with status %d", status);
  fclose (bed->record);
  exit (status);
}

static gpointer
watch_time (gpointer data)
{
  g_usleep (RUN_MAX_S * SECOND_MS * MICROS_PER_MS);
  g_printerr ("the case takes too long\n");
  for (unsigned i = 0; i < PROCESSES; i++)
    bed_process_signal (each_process (running_bed, i), SIGKILL);
  _exit (BED_UNABLE);
  return NULL;
}

/* -------- the store -------- */

bool
bed_put (Bed *bed, const char *kind, const char *name, const char *spec)
{
  char *body
      = g_strdup_printf ("{\"metadata\":{\"name\":\"%s\"},\"spec\":%s}", name, spec);
  char *target = g_strdup_printf ("/-/objects/%s/%s", kind, name);
  char *create = g_strdup_printf ("/-/objects/%s", kind);
  bool done;
  Response r = call (
      &(Call){ .method = "PUT", .address = bed->store, .target = target, .body = body });

  if (r.status == 404)
    {
      response_free (&r);
      r = call (&(Call){ .address = bed->store, .target = create, .body = body });
    }
  done = r.status == 200;
  bed_record (bed, "store: %s/%s = %s: %d", kind, name, spec, r.status);
  response_free (&r);
  g_free (body);
  g_free (target);
  g_free (create);
  return done;
}

/* With the service of the route "/o/". */
#define ROUTES_FORMAT                                                          \
  "{\"name\":\"stream\",\"hostname\":\"x.example\",\"path_prefix\":\"/s/\","   \
  "\"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":400,"      \
  "\"target_gap_ms\":400,\"priority\":1,\"backend\":\"m\",\"max_attempts\":2," \
  "\"public\":false,\"sticky\":true,\"resumable\":true},"                      \
  "{\"name\":\"booking\",\"hostname\":\"x.example\",\"path_prefix\":\"/o/\","  \
  "\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":200,"         \
  "\"priority\":2,\"backend\":\"%s\",\"max_attempts\":1,\"public\":false},"    \
  "{\"name\":\"look-up\",\"hostname\":\"x.example\",\"path_prefix\":\"/r/\","  \
  "\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":200,"           \
  "\"priority\":2,\"backend\":\"p\",\"max_attempts\":2,\"public\":false}"

static const char services_spec[]
    = "{\"name\":\"m\",\"engine\":{\"layers\":4,\"chunks\":16,\"chunk_bytes\":4096,"
      "\"models\":[{\"name\":\"big\"}],\"usual\":{\"prompt\":100,\"answer\":10}}},"
      "{\"name\":\"p\"},{\"name\":\"q\"}";

static const char new_route_spec[]
    = ",{\"name\":\"new\",\"hostname\":\"x.example\",\"path_prefix\":\"/n/\","
      "\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":200,"
      "\"priority\":2,\"backend\":\"p\",\"max_attempts\":2,\"public\":false}";

static bool
write_config (Bed *bed, bool with_changes, bool with_key2)
{
  char *routes = g_strdup_printf (ROUTES_FORMAT "%s", with_changes ? "q" : "p",
                                  with_changes ? new_route_spec : "");
  char *spec = g_strdup_printf (
      "{\"version\":%" PRIu64 ",\"routes\":[%s],\"services\":[%s,{\"name\":\"w\","
      "\"origin\":\"%s\",\"link_mbps\":9.9,\"max_connections\":48}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"org\",\"api_keys\":[\"key1\"%s]}]}",
      ++bed->config_version, routes, services_spec, bed->origin,
      with_key2 ? ",\"key2\"" : "");
  bool done = bed_put (bed, "config", "main", spec);

  g_free (spec);
  g_free (routes);
  return done;
}

bool
bed_configure (Bed *bed, bool with_key2)
{
  return write_config (bed, false, with_key2);
}

bool
bed_change_routes (Bed *bed)
{
  return write_config (bed, true, true);
}

static const char *
service_of (unsigned server)
{
  if (server < BED_MODEL_SERVERS)
    return "m";
  return bed_with_second_service && server == BED_SERVERS - 1 ? "q" : "p";
}

bool
bed_list_server (Bed *bed, unsigned i)
{
  char *name = g_strdup_printf ("i-%u", i + 1);
  char *spec = g_strdup_printf (
      "{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"d1\",\"version\":\"1\","
      "\"slots\":%d,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,"
      "\"born\":%u,\"models\":[%s]}",
      service_of (i), bed->server[i], SERVER_SLOTS, i + 1,
      i < BED_MODEL_SERVERS ? "{\"name\":\"big\",\"version\":1,\"adapters\":[]}" : "");
  bool done = bed_put (bed, "servers", name, spec);

  g_free (name);
  g_free (spec);
  return done;
}

/* -------- the deployment -------- */

static char *
node_settings (
    const Bed *bed, const char *subnet, const char *name, unsigned host, const char *more)
{
  return g_strdup_printf (
      "{\"name\":\"%s\",\"region\":\"r1\",\"data_center\":\"d1\","
      "\"address\":\"%s.%u:%d\",\"metrics\":\"%s.%u:%d\",\"store\":\"%s\",%s,"
      "\"version_ms\":%d,\"grace_s\":8,\"bootstrap\":true,\"json_logs\":true}",
      name, subnet, host, NODE_PORT, subnet, host, NODE_PORT + 15, bed->via_store, more,
      BED_VERSION_MS);
}

static void
set_up_entry (Bed *bed, const char *subnet, unsigned i)
{
  unsigned host = 21 + i;
  char *name = g_strdup_printf ("entry-%u", i + 1);
  char *directory = g_strdup_printf ("%s.%u:%d", subnet, host, PORT + 2);
  char *more;

  bed->entry[i] = g_strdup_printf ("%s.%u:%d", subnet, host, PORT);
  bed->ready[i] = g_strdup_printf ("%s.%u:%d", subnet, host, PORT + 1);
  more = g_strdup_printf ("\"listen\":\"%s\",\"ready\":\"%s\",\"directory\":\"%s\","
                          "\"revoke_ms\":%d,\"retry_ratio\":0.2,\"retry_slack\":104,"
                          "\"directory_ttl_s\":5",
                          bed->entry[i], bed->ready[i], directory, BED_REVOKE_MS);
  set_program (bed, &bed->entry_process[i], "daisydirectd", name,
               node_settings (bed, subnet, name, host, more));
  g_free (more);
  g_free (directory);
  g_free (name);
}

static void
set_up_server (Bed *bed, const char *subnet, unsigned i)
{
  char *knob = g_strdup_printf ("--set=instance=%u", i + 1);

  bed->server[i] = g_strdup_printf ("%s.%u:%d", subnet, 11 + i, PORT);
  set_standin (bed, &bed->server_process[i], "server", bed->server[i], knob);
  g_free (knob);
}

static void
set_up_stager (Bed *bed, const char *subnet, unsigned i)
{
  char *name = g_strdup_printf ("stager-%u", i + 1);
  char *more = g_strdup_printf ("\"engine\":\"%s\",\"service\":\"m\"", bed->server[i]);

  set_program (bed, &bed->stager_process[i], "daisystaged", name,
               node_settings (bed, subnet, name, 11 + i, more));
  g_free (more);
  g_free (name);
}

static Bed *
set_up (void)
{
  unsigned pid = (unsigned)getpid ();
  char *subnet = g_strdup_printf ("127.%u.%u", SUBNET_FIRST + pid / OCTETS % SUBNET_COUNT,
                                  1 + pid % OCTETS);
  Bed *bed = g_new0 (Bed, 1);

  bed->folder = g_dir_make_tmp ("review-XXXXXX", NULL);
  bed->record = fopen (from_environment (ENV_RECORD, "record.txt"), "we");
  if (bed->folder == NULL || bed->record == NULL)
    exit (BED_UNABLE);
  bed->store = g_strdup_printf ("%s.1:%d", subnet, PORT);
  bed->via_store = g_strdup (bed->store);
  if (bed_with_proxy)
    {
      bed->via_store = g_strdup_printf ("%s.3:%d", subnet, PORT);
      bed->proxy = proxy_new (bed->via_store, bed->store);
    }
  bed->origin = g_strdup_printf ("%s.2:%d", subnet, PORT);
  set_standin (bed, &bed->store_process, "objects", bed->store, NULL);
  set_standin (bed, &bed->origin_process, "origin", bed->origin, NULL);
  for (unsigned i = 0; i < BED_SERVERS; i++)
    set_up_server (bed, subnet, i);
  for (unsigned i = 0; i < BED_ENTRIES; i++)
    set_up_entry (bed, subnet, i);
  for (unsigned i = 0; i < BED_MODEL_SERVERS; i++)
    set_up_stager (bed, subnet, i);
  g_free (subnet);
  return bed;
}

static bool
standin_answers (const char *address)
{
  json_object *records = fetch_records (address);

  json_object_put (records);
  return records != NULL;
}

static bool
standins_answer (const Bed *bed)
{
  for (unsigned i = 0; i < BED_SERVERS; i++)
    if (!standin_answers (bed->server[i]))
      return false;
  return standin_answers (bed->store) && standin_answers (bed->origin);
}

static bool
entries_are_ready (Bed *bed)
{
  for (unsigned i = 0; i < BED_ENTRIES; i++)
    {
      Response r = call (&(Call){ .address = bed->ready[i], .target = "/-/readyz" });

      int status = r.status;

      response_free (&r);
      if (status != 200)
        return false;
    }
  return true;
}

static bool
entries_serve (Bed *bed)
{
  static unsigned tries;

  for (unsigned i = 0; i < BED_ENTRIES; i++)
    {
      char *id = g_strdup_printf ("start-%u-%u", i, ++tries);
      bool served = bed_request (bed, i, "/s/start", "key1", id).served
                    && bed_request (bed, i, "/r/start", "key1", id).served;

      g_free (id);
      if (!served)
        return false;
    }
  return true;
}

static void
wait_for (Bed *bed, bool (*condition) (Bed *bed))
{
  uint64_t until_ms = bed_now_ms () + START_MS;

  while (!condition (bed))
    {
      if (bed_now_ms () > until_ms)
        {
          bed_record (bed, "the deployment did not start");
          bed_finish (bed, BED_UNABLE);
        }
      g_usleep (POLL_US);
    }
}

static bool
standins_are_up (Bed *bed)
{
  return standins_answer (bed);
}

Bed *
bed_start (void)
{
  Bed *bed;
  bool done;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  signal (SIGPIPE, SIG_IGN);
  bed = set_up ();
  running_bed = bed;
  g_thread_new ("time", watch_time, NULL);
  done = bed_process_start (&bed->store_process)
         && bed_process_start (&bed->origin_process);
  for (unsigned i = 0; i < BED_SERVERS; i++)
    done = done && bed_process_start (&bed->server_process[i]);
  if (!done)
    bed_finish (bed, BED_UNABLE);
  wait_for (bed, standins_are_up);
  done = bed_configure (bed, true);
  for (unsigned i = 0; i < BED_SERVERS; i++)
    done = done && bed_list_server (bed, i);
  for (unsigned i = 0; i < BED_ENTRIES; i++)
    done = done && bed_process_start (&bed->entry_process[i]);
  for (unsigned i = 0; i < BED_MODEL_SERVERS; i++)
    done = done && bed_process_start (&bed->stager_process[i]);
  if (!done)
    bed_finish (bed, BED_UNABLE);
  wait_for (bed, entries_are_ready);
  wait_for (bed, entries_serve);
  return bed;
}

uint64_t
bed_runs (Bed *bed, const char *id)
{
  char *path = g_strdup_printf ("runs.%s", id);
  uint64_t runs = 0;

  for (unsigned i = 0; i < BED_SERVERS; i++)
    runs += recorded (bed->server[i], path);
  g_free (path);
  return runs;
}

/* -------- clients -------- */

BedOutcome
bed_request (Bed *bed, unsigned entry, const char *path, const char *key, const char *id)
{
  bool is_post = path[1] != 'r';
  BedOutcome o = { .sent_ms = bed_now_ms () };
  Response r;
  char *seal;

  g_strlcpy (o.id, id, sizeof o.id);
  g_strlcpy (o.path, path, sizeof o.path);
  r = call (&(Call){
      .address = bed->entry[entry],
      .target = path,
      .host = "x.example",
      .id = id,
      .key = key,
      .body = is_post ? "a request" : NULL,
      .deadline_ms = DEADLINE_MS,
      .disconnect_ms = DEADLINE_MS + SECOND_MS,
  });
  seal = response_header (&r, "X-Response-Seal");
  o.status = r.status;
  o.served = r.status == 200 && r.complete && seal != NULL;
  bed_record (bed, "%s %s with %s to entry %u: status %d%s%s", id, path, key, entry + 1,
              r.status, o.served ? ", run by " : "", o.served ? seal : "");
  g_free (seal);
  response_free (&r);
  return o;
}

struct BedClients
{
  Bed *bed;
  const char *name;
  unsigned per_second;
  GThread *thread;
  GMutex lock;
  GArray *outcomes;
  bool stopped; /* guarded by LOCK */
};

typedef struct
{
  BedClients *clients;
  unsigned number;
} Sending;

static gpointer
send_one (gpointer data)
{
  Sending *s = data;
  BedClients *c = s->clients;
  char *id = g_strdup_printf ("%s-%u", c->name, s->number);
  const char *path = s->number % PLAIN_EVERY == 0 ? "/r/look-up" : "/s/draft";
  BedOutcome o = bed_request (c->bed, s->number % BED_ENTRIES, path, "key1", id);

  g_mutex_lock (&c->lock);
  g_array_append_val (c->outcomes, o);
  g_mutex_unlock (&c->lock);
  g_free (id);
  g_free (s);
  return NULL;
}

static bool
is_stopped (BedClients *c)
{
  bool stopped;

  g_mutex_lock (&c->lock);
  stopped = c->stopped;
  g_mutex_unlock (&c->lock);
  return stopped;
}

static gpointer
run_clients (gpointer data)
{
  BedClients *c = data;
  GPtrArray *threads = g_ptr_array_new ();
  uint64_t next_ms = bed_now_ms ();

  for (unsigned n = 1; !is_stopped (c); n++)
    {
      Sending *s = g_new (Sending, 1);

      *s = (Sending){ .clients = c, .number = n };
      g_ptr_array_add (threads, g_thread_new ("client", send_one, s));
      next_ms += SECOND_MS / c->per_second;
      bed_sleep_until (next_ms);
    }
  for (guint i = 0; i < threads->len; i++)
    g_thread_join (g_ptr_array_index (threads, i));
  g_ptr_array_free (threads, TRUE);
  return NULL;
}

BedClients *
bed_clients_start (Bed *bed, const char *name, unsigned per_second)
{
  BedClients *c = g_new0 (BedClients, 1);

  c->bed = bed;
  c->name = name;
  c->per_second = per_second;
  g_mutex_init (&c->lock);
  c->outcomes = g_array_new (FALSE, FALSE, sizeof (BedOutcome));
  c->thread = g_thread_new ("clients", run_clients, c);
  return c;
}

GArray *
bed_clients_stop (BedClients *c)
{
  g_mutex_lock (&c->lock);
  c->stopped = true;
  g_mutex_unlock (&c->lock);
  g_thread_join (c->thread);
  return c->outcomes;
}

void
bed_count (const GArray *outcomes,
           uint64_t from_ms,
           uint64_t until_ms,
           unsigned *sent,
           unsigned *served)
{
  *sent = 0;
  *served = 0;
  for (guint i = 0; i < outcomes->len; i++)
    {
      const BedOutcome *o = &g_array_index (outcomes, BedOutcome, i);

      if (o->sent_ms < from_ms || o->sent_ms >= until_ms)
        continue;
      ++*sent;
      *served += o->served;
    }
}
