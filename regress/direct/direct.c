/*
 * Cases of direct operation, one after the other in one world; or, with a seed, a soak.
 *
 * Results are read from what callers got and from what the stand-ins recorded.  Nothing
 * is asserted about time but the order of things; waits end when what they wait for is
 * there.
 */
#include "direct.h"

#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "kernel/address.h"

static unsigned failures;
static unsigned checks;

void
check (bool holds, const char *text, const char *where, int line)
{
  checks++;
  if (holds)
    return;
  failures++;
  g_print ("direct: %s:%d: does not hold: %s\n", where, line, text);
}

Call
request (const World *w, const char *target, const char *id)
{
  return (Call){
    .address = w->entry[0],
    .target = target,
    .host = "x.example",
    .id = id,
    .key = "key1",
    .deadline_ms = 3500,
  };
}

static uint64_t
runs_of (World *w, const char *id)
{
  char *path = g_strdup_printf ("runs.%s", id);
  uint64_t runs = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    runs += recorded (w->server[i], path);
  g_free (path);
  return runs;
}

void
set_both (World *w, const char *knob, uint64_t value)
{
  for (unsigned i = 0; i < SERVERS - 1; i++)
    CHECK (set_fault (w->server[i], knob, value));
}

/* True for events FIRST to LAST, each once and in order. */
static bool
has_events (const char *body, unsigned first, unsigned last)
{
  GString *expected = g_string_new (NULL);
  bool equal;

  for (unsigned i = first; i <= last; i++)
    g_string_append_printf (expected, "id: %u\ndata: event %u\n\n", i, i);
  equal = strcmp (body, expected->str) == 0;
  g_string_free (expected, TRUE);
  return equal;
}

static bool
has_text (const char *address, const char *member, const char *text)
{
  json_object *object = records (address);
  const char *value = json_object_get_string (json_object_object_get (object, member));
  bool equal = value != NULL && strcmp (value, text) == 0;

  json_object_put (object);
  return equal;
}

/* -------- requests -------- */

/* Every entry tells of all. */
static bool
directories_are_full (World *w)
{
  bool full = true;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Answer a = call (&(Call){ .address = w->directory[i],
                                .target = "/-/resolve?name=x.example&region=r1" });

      full = full && a.status == 200 && strstr (a.body, "ttl_s") != NULL;
      for (unsigned k = 0; k < ENTRIES; k++)
        full = full && strstr (a.body, w->entry[k]) != NULL;
      answer_free (&a);
    }
  return full;
}

static void
test_directory (World *w)
{
  CHECK (eventually (directories_are_full, w));
}

static void
test_stream_is_whole (World *w)
{
  Call c = request (w, "/s/a%20b/?q=%2F&x", "stream-1");
  Answer a = call (&c);
  char *seal = answer_header (&a, "X-Response-Seal");
  char *id = answer_header (&a, "X-Request-Id");
  unsigned server;

  CHECK (a.status == 200 && a.whole);
  CHECK (has_events (a.body, 1, 10));
  CHECK (seal != NULL && g_str_has_prefix (seal, "seal-of-i-"));
  CHECK (id != NULL && strcmp (id, "stream-1") == 0);
  CHECK (runs_of (w, "stream-1") == 1);
  server = recorded (w->server[0], "runs.stream-1") == 1 ? 0 : 1;
  CHECK (has_text (w->server[server], "target", "/s/a%20b/?q=%2F&x"));
  CHECK (has_text (w->server[server], "organisation", "org"));
  CHECK (recorded (w->server[server], "keys_seen") == 0);
  g_free (seal);
  g_free (id);
  answer_free (&a);
}

typedef struct
{
  const char *target;
  const char *host;
  const char *key;
  int status;
} DenialCase;

static const DenialCase denials[] = {
  { "/none/", "x.example", "key1", 404 },  { "/s/", "y.example", "key1", 404 },
  { "/r/x", "x.example", NULL, 401 },      { "/r/x", "x.example", "wrong", 401 },
  { "/p/x", "x.example", NULL, 200 },      { "/r/x", "x.example", "key1", 200 },
  { "/r/x", "X.Example:80", "key1", 200 },
};

static void
test_denials (World *w)
{
  for (size_t i = 0; i < G_N_ELEMENTS (denials); i++)
    {
      char *id = g_strdup_printf ("denial-%zu", i);
      Call c = request (w, denials[i].target, id);
      Answer a;

      c.host = denials[i].host;
      c.key = denials[i].key;
      a = call (&c);
      CHECK (a.status == denials[i].status);
      CHECK (runs_of (w, id) == (denials[i].status == 200));
      answer_free (&a);
      g_free (id);
    }
}

static void
test_body_is_untouched (World *w)
{
  Call c = request (w, "/o/file", "body-1");
  Answer a;

  c.body = "lien 4711";
  c.header = "Content-Type: text/x-lien";
  a = call (&c);
  CHECK (a.status == 200 && strcmp (a.body, "done") == 0);
  CHECK (has_text (w->server[2], "body", "lien 4711"));
  answer_free (&a);
}

/* A stream that breaks off in the middle of an event goes on at another server. */
static void
test_stream_goes_on (World *w)
{
  Call c = request (w, "/s/x", "cut-1");
  Answer a;

  set_both (w, "cut", 1);
  a = call (&c);
  set_both (w, "cut", 0);
  CHECK (a.status == 200 && a.whole);
  CHECK (has_events (a.body, 1, 10));
  CHECK (runs_of (w, "cut-1") == 2);
  answer_free (&a);
}

/* Both break off: the caller must not take the answer for whole. */
static void
test_stream_that_cannot_go_on (World *w)
{
  Call c = request (w, "/s/x", "cut-2");
  Answer a;

  set_both (w, "cut", 1);
  set_both (w, "cut_resumed", 1);
  a = call (&c);
  set_both (w, "cut", 0);
  set_both (w, "cut_resumed", 0);
  CHECK (!a.whole);
  CHECK (has_events (a.body, 1, 2));
  CHECK (runs_of (w, "cut-2") <= 2);
  answer_free (&a);
}

static void
test_stream_goes_on_for_the_caller (World *w)
{
  Call c = request (w, "/s/x", "resume-1");
  Answer a;

  c.header = "Last-Event-Id: 4";
  a = call (&c);
  CHECK (a.status == 200 && a.whole);
  CHECK (has_events (a.body, 5, 10));
  answer_free (&a);
}

/* What may have run and must not be repeated is neither repeated nor called not run. */
static void
test_once_answer_lost (World *w)
{
  Call c = request (w, "/o/x", "lost-1");
  Answer a;

  c.body = "x";
  CHECK (set_fault (w->server[2], "lose", 1));
  a = call (&c);
  CHECK (a.status == 502);
  CHECK (runs_of (w, "lost-1") == 1);
  answer_free (&a);
}

static void
test_once_not_run (World *w)
{
  Call c = request (w, "/o/x", "shed-1");
  Answer a;
  char *retry;

  c.body = "x";
  CHECK (set_fault (w->server[2], "shed", 1));
  a = call (&c);
  retry = answer_header (&a, "Retry-After");
  CHECK (a.status == 503 && retry != NULL);
  CHECK (runs_of (w, "shed-1") == 0);
  g_free (retry);
  answer_free (&a);
}

static void
test_safe_is_repeated (World *w)
{
  static const char *const faults[] = { "shed", "lose", "fail", "foreign", "unsealed" };

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      char *id = g_strdup_printf ("repeat-%s", faults[i]);
      Call c = request (w, "/r/x", id);
      Answer a;

      CHECK (set_fault (w->server[0], faults[i], 1));
      CHECK (set_fault (w->server[1], faults[i], 0));
      for (int n = 0; n < 8; n++)
        {
          a = call (&c);
          CHECK (a.status == 200 && strcmp (a.body, "done") == 0);
          answer_free (&a);
        }
      CHECK (set_fault (w->server[0], faults[i], 0));
      g_free (id);
    }
}

/* A success without its seal, or of another request, is none. */
static void
test_untrue_successes (World *w)
{
  static const char *const faults[] = { "foreign", "unsealed" };

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      Call c = request (w, "/o/x", faults[i]);
      Answer a;

      c.body = "x";
      CHECK (set_fault (w->server[2], faults[i], 1));
      a = call (&c);
      CHECK (a.status == 502);
      CHECK (runs_of (w, faults[i]) == 1);
      answer_free (&a);
    }
}

/* The server's own failure goes to the caller as it is. */
static void
test_failure_passes (World *w)
{
  Call c = request (w, "/o/x", "fail-1");
  Answer a;
  char *seal;

  c.body = "x";
  CHECK (set_fault (w->server[2], "fail", 1));
  a = call (&c);
  seal = answer_header (&a, "X-Response-Seal");
  CHECK (a.status == 500 && seal != NULL);
  g_free (seal);
  answer_free (&a);
}

static bool
has_cancelled (World *w)
{
  return recorded (w->server[0], "cancelled") + recorded (w->server[1], "cancelled") > 0;
}

static void
test_caller_leaves (World *w)
{
  Call c = request (w, "/s/x", "leave-1");
  Answer a;

  set_both (w, "event_ms", 300);
  c.leave_ms = 700;
  a = call (&c);
  CHECK (!a.whole);
  CHECK (eventually (has_cancelled, w));
  set_both (w, "event_ms", 20);
  answer_free (&a);
}

/* A silent server is left for another, where the request may be repeated. */
static void
test_silent_server (World *w)
{
  Call safe = request (w, "/r/x", "silent-1");
  Call once = request (w, "/o/x", "silent-2");
  Answer a;

  set_both (w, "silent", 1);
  a = call (&safe);
  CHECK (a.status == 200 || a.status == 502 || a.status == 504);
  answer_free (&a);
  set_both (w, "silent", 0);
  once.body = "x";
  once.deadline_ms = 600;
  CHECK (set_fault (w->server[2], "silent", 1));
  a = call (&once);
  CHECK (a.status == 504);
  CHECK (runs_of (w, "silent-2") == 1);
  answer_free (&a);
}

static void
test_too_large (World *w)
{
  Call c = request (w, "/o/x", "large-1");
  char *body = g_strnfill (200000, 'x');
  Answer a;

  c.body = body;
  a = call (&c);
  CHECK (a.status == 413);
  CHECK (runs_of (w, "large-1") == 0);
  answer_free (&a);
  g_free (body);
}

/* -------- configuration, servers -------- */

static int
status_with_key (World *w, unsigned entry, const char *key)
{
  Call c = request (w, "/r/x", "key");
  Answer a;
  int status;

  c.address = w->entry[entry];
  c.key = key;
  a = call (&c);
  status = a.status;
  answer_free (&a);
  return status;
}

static bool
key2_is_unknown (World *w)
{
  return status_with_key (w, 0, "key2") == 401 && status_with_key (w, 1, "key2") == 401;
}

static void
test_key_taken_away (World *w)
{
  CHECK (status_with_key (w, 0, "key2") == 200);
  CHECK (world_configure (w, true));
  CHECK (eventually (key2_is_unknown, w));
  CHECK (status_with_key (w, 0, "key1") == 200);
}

/* An older version, or one that cannot be read, changes nothing. */
static void
test_bad_configuration (World *w)
{
  CHECK (world_put (w, "config", "main", "{\"version\":\"odd\"}"));
  CHECK (status_with_key (w, 0, "key1") == 200);
  w->config_version -= 2; /* world_configure adds one */
  CHECK (world_configure (w, false));
  CHECK (key2_is_unknown (w));
  w->config_version += 10;
  CHECK (world_configure (w, true));
}

static bool
first_server_is_left (World *w)
{
  uint64_t before = recorded (w->server[0], "ran");

  for (int i = 0; i < 12; i++)
    {
      char *id = g_strdup_printf ("drain-%" G_GUINT64_FORMAT "-%d", before, i);
      Call c = request (w, "/r/x", id);
      Answer a = call (&c);

      CHECK (a.status == 200);
      answer_free (&a);
      g_free (id);
    }
  return recorded (w->server[0], "ran") == before;
}

static void
test_server_leaves (World *w)
{
  CHECK (world_put (w, "servers", "i-77", "{\"backend\":17}"));
  CHECK (world_put (w, "servers", "i-78", "\"not an entry\""));
  CHECK (world_list_server (w, 0, "draining"));
  CHECK (eventually (first_server_is_left, w));
  CHECK (world_list_server (w, 0, "ready"));
}

/* -------- weights -------- */

static uint64_t awaited_version;

static bool
serve_version (World *w)
{
  return recorded (w->server[0], "version") == awaited_version
         && recorded (w->server[1], "version") == awaited_version;
}

static void
bring_version (World *w, uint64_t version)
{
  awaited_version = version;
  CHECK (world_name_version (w, version));
  CHECK (eventually (serve_version, w));
  CHECK (recorded (w->server[0], "mixed") == 0);
  CHECK (recorded (w->server[1], "mixed") == 0);
}

static void
test_version (World *w)
{
  uint64_t before = recorded (w->origin, "drawn");

  bring_version (w, 2);
  /* Two entries and two stagers share one copy, and little more. */
  CHECK (recorded (w->origin, "drawn") - before <= 2 * 16 * 4096);
}

static void
test_version_with_faults (World *w)
{
  CHECK (set_fault (w->origin, "corrupt", 3));
  set_both (w, "rot", 1);
  bring_version (w, 3);
}

static void
test_versions_in_succession (World *w)
{
  CHECK (world_name_version (w, 4));
  bring_version (w, 5);
}

/* A server that starts anew holds nothing and is filled again. */
static void
test_server_starts_anew (World *w)
{
  process_end (&w->server_process[0], SIGKILL);
  CHECK (process_start (&w->server_process[0]));
  CHECK (eventually (serve_version, w));
  CHECK (recorded (w->server[0], "mixed") == 0);
}

/* -------- the store away, entries ending -------- */

static bool
is_refused (World *w)
{
  return status_with_key (w, 0, "key1") == 503;
}

static bool
is_served (World *w)
{
  return status_with_key (w, 0, "key1") == 200 && status_with_key (w, 1, "key1") == 200;
}

static int
ready_status (World *w)
{
  Answer a = call (&(Call){ .address = w->ready[0], .target = "/-/readyz" });
  int status = a.status;

  answer_free (&a);
  return status;
}

static bool
is_not_ready (World *w)
{
  return ready_status (w) == 503;
}

/* More than an entry keeps open beside those that it answers. */
#define IDLE_CONNECTIONS 650

static int
connect_to (const char *text)
{
  struct sockaddr_in at;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (dl_address_parse (dl_str (text), &at) < 0
      || connect (fd, (struct sockaddr *)&at, sizeof at) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static bool
closes_connection (World *w)
{
  Call c = request (w, "/r/x", "many");
  Answer a = call (&c);
  char *connection = answer_header (&a, "Connection");
  bool closes = a.status == 200 && g_strcmp0 (connection, "close") == 0;

  g_free (connection);
  answer_free (&a);
  return closes;
}

/* Idle connections do not pile up: answers close theirs while there are many. */
static void
test_many_connections (World *w)
{
  int fds[IDLE_CONNECTIONS];

  CHECK (!closes_connection (w));
  for (unsigned i = 0; i < IDLE_CONNECTIONS; i++)
    fds[i] = connect_to (w->entry[0]);
  CHECK (fds[IDLE_CONNECTIONS - 1] >= 0);
  CHECK (eventually (closes_connection, w));
  for (unsigned i = 0; i < IDLE_CONNECTIONS; i++)
    close (fds[i]);
}

/* Index of the entry that asks the other in place of the store; ENTRIES for none. */
static unsigned
find_follower (World *w)
{
  unsigned follower = ENTRIES;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Answer a = call (&(Call){ .address = w->metrics[i], .target = "/metrics" });
      const char *line = strstr (a.body, "\ndaisy_node_relay_answers_total ");

      /* The other one answers it. */
      if (line != NULL && atoi (strchr (line + 1, ' ')) > 0)
        follower = 1 - i;
      answer_free (&a);
    }
  return follower;
}

static bool
has_follower (World *w)
{
  return find_follower (w) < ENTRIES;
}

static unsigned follower;

static bool
follower_knows_key2 (World *w)
{
  return status_with_key (w, follower, "key2") == 200;
}

static bool
follower_has_lost_key2 (World *w)
{
  return status_with_key (w, follower, "key2") == 401;
}

/* An entry that asks another one goes on by itself when that one is silent. */
static void
test_reader_is_silent (World *w)
{
  CHECK (eventually (has_follower, w));
  follower = find_follower (w);
  CHECK (world_configure (w, false));
  CHECK (eventually (follower_knows_key2, w));
  kill (w->entry_process[1 - follower].pid, SIGSTOP);
  CHECK (world_configure (w, true));
  CHECK (eventually (follower_has_lost_key2, w));
  kill (w->entry_process[1 - follower].pid, SIGCONT);
  CHECK (eventually (key2_is_unknown, w));
}

/* Without fresh word of the store a key proves nothing; what needs none is served. */
static void
test_store_away (World *w)
{
  Call open = request (w, "/p/x", "open-1");
  Answer a;

  kill (w->store_process.pid, SIGSTOP);
  CHECK (eventually (is_refused, w));
  CHECK (eventually (is_not_ready, w));
  open.key = NULL;
  a = call (&open);
  CHECK (a.status == 200);
  answer_free (&a);
  kill (w->store_process.pid, SIGCONT);
  CHECK (eventually (is_served, w));
}

static gpointer
long_stream (gpointer data)
{
  Call c = request (data, "/s/x", "long-1");
  Answer *a = g_new0 (Answer, 1);

  *a = call (&c);
  return a;
}

static bool
long_stream_runs (World *w)
{
  return runs_of (w, "long-1") == 1;
}

/* A planned stop: not ready at once, the stream ends whole, the process ends well. */
static void
test_planned_stop (World *w)
{
  GThread *thread;
  Answer *a;
  int status;

  set_both (w, "event_ms", 100);
  thread = g_thread_new ("stream", long_stream, w);
  CHECK (eventually (long_stream_runs, w));
  status = process_end (&w->entry_process[0], SIGTERM);
  a = g_thread_join (thread);
  CHECK (a->status == 200 && a->whole && has_events (a->body, 1, 10));
  CHECK (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  answer_free (a);
  g_free (a);
  set_both (w, "event_ms", 20);
  CHECK (process_start (&w->entry_process[0]));
  CHECK (eventually (is_served, w));
}

static void
test_all_killed (World *w)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    process_end (&w->entry_process[i], SIGKILL);
  for (unsigned i = 0; i < SERVERS - 1; i++)
    process_end (&w->stager_process[i], SIGKILL);
  for (unsigned i = 0; i < ENTRIES; i++)
    CHECK (process_start (&w->entry_process[i]));
  for (unsigned i = 0; i < SERVERS - 1; i++)
    CHECK (process_start (&w->stager_process[i]));
  CHECK (eventually (is_served, w));
  CHECK (key2_is_unknown (w));
  bring_version (w, 6);
}

static bool
has_reloaded (World *w)
{
  char *text = NULL;
  bool found;

  g_file_get_contents (w->entry_process[0].log, &text, NULL, NULL);
  found = text != NULL && strstr (text, "told to reload") != NULL;
  g_free (text);
  return found;
}

static void
test_reload (World *w)
{
  kill (w->entry_process[0].pid, SIGHUP);
  CHECK (eventually (has_reloaded, w));
  CHECK (eventually (is_served, w));
}

static void (*const tests[]) (World *) = {
  test_directory,
  test_stream_is_whole,
  test_denials,
  test_body_is_untouched,
  test_stream_goes_on,
  test_stream_that_cannot_go_on,
  test_stream_goes_on_for_the_caller,
  test_once_answer_lost,
  test_once_not_run,
  test_safe_is_repeated,
  test_untrue_successes,
  test_failure_passes,
  test_caller_leaves,
  test_silent_server,
  test_too_large,
  test_explained,
  test_key_taken_away,
  test_bad_configuration,
  test_server_leaves,
  test_version,
  test_version_with_faults,
  test_versions_in_succession,
  test_server_starts_anew,
  test_many_connections,
  test_reader_is_silent,
  test_store_away,
  test_planned_stop,
  test_reload,
  test_all_killed,
};

static void
run_cases (const char *bin)
{
  World world = { 0 };

  CHECK (world_start (&world, bin, false));
  for (size_t i = 0; i < G_N_ELEMENTS (tests) && failures == 0; i++)
    tests[i](&world);
  world_stop (&world, failures > 0);
  g_print ("direct: %u checks, %u failed\n", checks, failures);
}

static void
run_soak (const char *bin, uint32_t seed, unsigned seconds)
{
  World world = { 0 };
  unsigned broken = 1;

  if (world_start (&world, bin, true))
    broken = soak_run (&world, seed, seconds);
  failures += broken;
  world_stop (&world, broken > 0);
  g_print ("soak: seed %u: %u broken\n", seed, broken);
}

int
main (int argc, char **argv)
{
  if (argc != 2 && argc != 4)
    {
      g_printerr ("usage: direct BIN [SEED SECONDS]\n");
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (argc == 2)
    run_cases (argv[1]);
  else
    run_soak (argv[1], (uint32_t)g_ascii_strtoull (argv[2], NULL, 10),
              (unsigned)g_ascii_strtoull (argv[3], NULL, 10));
  return failures > 0;
}
