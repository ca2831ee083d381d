/*
 * Processes: settings files, start, exit, signals, logs and the host list.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "scenario.h"

#define FLEET_KEY       "scenario-fleet-key-0123456789"
#define LOG_TAIL_BYTES  12000 /* maximum printed from each log */
#define DUMP_ITERATIONS 50
#define HOSTS_PER_NET   250
#define ITERATION_MS    10

static const char *const kind_options[PROCESS_KINDS] = {
  [PROCESS_PLATFORM] = "platform",
  [PROCESS_ORIGIN] = "origin",
  [PROCESS_ENGINE] = "engine",
  [PROCESS_SERVICE] = "service",
};

static bool
is_standin (const Process *p)
{
  return kind_options[p->kind] != NULL;
}

/* -------- finding -------- */

Process *
process_find (Scenario *s, const char *name)
{
  for (unsigned i = 0; i < s->processes->len; i++)
    {
      Process *p = g_ptr_array_index (s->processes, i);

      if (strcmp (p->name, name) == 0)
        return p;
    }
  return NULL;
}

bool
process_matches (const Process *p, const char *word)
{
  if (p == NULL)
    return false;
  return g_pattern_match_simple (word, p->name) || strcmp (word, p->region) == 0
         || strcmp (word, p->data_center) == 0;
}

GPtrArray *
process_match (Scenario *s, const char *word)
{
  GPtrArray *found = g_ptr_array_new ();
  bool only_slot = g_str_has_suffix (word, ".slot");
  char *name = g_strndup (word, strlen (word) - (only_slot ? strlen (".slot") : 0));

  for (unsigned i = 0; i < s->processes->len; i++)
    {
      Process *p = g_ptr_array_index (s->processes, i);

      if (!process_matches (p, name) || g_ptr_array_find (found, p, NULL))
        continue;
      g_ptr_array_add (found, p);
      if (p->engine != NULL && !only_slot && !g_ptr_array_find (found, p->engine, NULL))
        g_ptr_array_add (found, p->engine);
    }
  g_free (name);
  if (found->len > 0)
    return found;
  g_ptr_array_free (found, TRUE);
  scn_fail (s, "no process is named %s", word);
  return NULL;
}

/* -------- addresses -------- */

/* Returns a loopback address of its own for each host.  It depends on the runner's
 * process id, so that concurrent runs do not collide. */
static char *
new_ip (Scenario *s)
{
  unsigned host = s->next_host++;

  return g_strdup_printf ("127.%u.%u.%u", 16 + (unsigned)getpid () % 200,
                          (unsigned)getpid () / 200 % 200 + host / HOSTS_PER_NET,
                          1 + host % HOSTS_PER_NET);
}

/* Ports of a host's servers.  They are below those that the kernel gives to other
 * sockets, so that none of these can have one when a process starts. */
typedef enum
{
  PORT_FRAMES = 7001,
  PORT_HTTP,
  PORT_OPERATORS,
  PORT_WEIGHTS,
} HostPort;

static char *
host_address (const char *ip, HostPort port)
{
  return g_strdup_printf ("%s:%d", ip, (int)port);
}

Process *
process_new (Scenario *s,
             ProcessKind kind,
             const char *name,
             const char *region,
             const char *data_center)
{
  Process *p = g_new0 (Process, 1);
  char *ip = new_ip (s);

  p->name = g_strdup (name);
  p->kind = kind;
  p->region = region;
  p->data_center = data_center;
  p->service = g_strdup ("");
  p->settings = json_object_new_object ();
  p->address = host_address (ip, PORT_FRAMES);
  if (kind == PROCESS_ENTRY)
    {
      p->http = host_address (ip, PORT_HTTP);
      p->operators = host_address (ip, PORT_OPERATORS);
    }
  if (kind == PROCESS_SLOT)
    p->weights = host_address (ip, PORT_WEIGHTS);
  p->log_path = g_strdup_printf ("%s/%s.log", s->folder, name);
  g_hash_table_replace (s->variables, g_strdelimit (g_strdup (name), "-.", '_'),
                        g_strdup (p->http != NULL ? p->http : p->address));
  g_ptr_array_add (s->processes, p);
  if (s->use_relays && (kind == PROCESS_ENTRY || kind == PROCESS_SLOT))
    p->advertise = relay_new (s, NULL, p, &p->relay);
  else
    p->advertise = g_strdup (p->address);
  g_free (ip);
  return p;
}

void
process_free (gpointer data)
{
  Process *p = data;

  g_free (p->name);
  g_free (p->service);
  g_free (p->address);
  g_free (p->advertise);
  g_free (p->http);
  g_free (p->operators);
  g_free (p->weights);
  g_free (p->log_path);
  json_object_put (p->settings);
  g_free (p);
}

/* -------- settings -------- */

static void
add_text (json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key, json_object_new_string (text));
}

/* Returns the address that FROM uses for the stand-in TO: that of a relay, or the
 * stand-in's own; "" when there is no such stand-in.  The caller frees it. */
static char *
target_address (Scenario *s, Process *from, const char *to)
{
  Process *target = process_find (s, to);

  if (target == NULL)
    return g_strdup ("");
  if (!s->use_relays)
    return g_strdup (target->address);
  return relay_new (s, from, target, NULL);
}

static json_object *
seeds (Scenario *s, const Process *self)
{
  json_object *list = json_object_new_array ();

  for (unsigned i = 0; i < s->processes->len; i++)
    {
      const Process *p = g_ptr_array_index (s->processes, i);

      if (p->kind == PROCESS_ENTRY && p != self)
        json_object_array_add (list, json_object_new_string (p->advertise));
    }
  return list;
}

static void
add_target_address (
    Scenario *s, json_object *o, Process *from, const char *key, const char *to)
{
  char *address = target_address (s, from, to);

  add_text (o, key, address);
  g_free (address);
}

static bool
service_is_model (Scenario *s, const char *name)
{
  json_object *services;

  json_object_object_get_ex (s->fleet, "services", &services);
  for (size_t i = 0; i < json_object_array_length (services); i++)
    {
      json_object *service = json_object_array_get_idx (services, i);
      json_object *value;

      json_object_object_get_ex (service, "name", &value);
      if (strcmp (json_object_get_string (value), name) == 0)
        return json_object_object_get_ex (service, "kind", &value)
               && strcmp (json_object_get_string (value), "model") == 0;
    }
  return false;
}

static void
add_members (json_object *to, json_object *from)
{
  json_object_object_foreach (from, key, value)
    json_object_object_add (to, key, json_object_get (value));
}

static json_object *
make_settings (Scenario *s, Process *p)
{
  json_object *o = json_object_new_object ();

  add_text (o, "name", p->name);
  add_text (o, "region", p->region);
  add_text (o, "data_center", p->data_center);
  add_text (o, "listen", p->address);
  add_text (o, "advertise", p->advertise);
  add_text (o, "fleet_key", FLEET_KEY);
  json_object_object_add (o, "seeds", seeds (s, p));
  if (p->kind == PROCESS_ENTRY)
    {
      add_text (o, "callers_listen", p->http);
      add_text (o, "operators_listen", p->operators);
      add_text (o, "operator_key", SCN_OPERATOR_KEY);
      add_target_address (s, o, p, "platform", "platform");
    }
  else
    {
      bool model = service_is_model (s, p->service);

      add_text (o, "service", p->service);
      add_text (o, "kind", model ? "model" : "plain");
      add_text (o, "engine", p->engine->address);
      add_text (o, "weights_listen", p->weights);
      add_target_address (s, o, p, "origin", "origin");
      add_target_address (s, o, p, "weight_store", "store");
    }
  add_members (o, s->defaults[p->kind]);
  add_members (o, p->settings);
  return o;
}

/* -------- starting -------- */

static char **
make_command (Scenario *s, Process *p)
{
  GPtrArray *argv = g_ptr_array_new ();

  if (is_standin (p))
    {
      json_object *knobs = json_object_new_object ();

      g_ptr_array_add (argv, g_strdup_printf ("%s/standin", s->bin));
      g_ptr_array_add (argv, g_strdup_printf ("--kind=%s", kind_options[p->kind]));
      g_ptr_array_add (argv, g_strdup_printf ("--listen=%s", p->address));
      g_ptr_array_add (argv, g_strdup_printf ("--set=seed=%u",
                                              g_rand_int_range (s->random, 1, 1 << 30)));
      add_members (knobs, s->defaults[p->kind]);
      add_members (knobs, p->settings);
      json_object_object_foreach (knobs, key, value)
        g_ptr_array_add (argv, g_strdup_printf ("--set=%s=%s", key,
                                                json_object_get_string (value)));
      json_object_put (knobs);
    }
  else
    {
      char *path = g_strdup_printf ("%s/%s.json", s->folder, p->name);
      json_object *settings = make_settings (s, p);

      json_object_to_file_ext (path, settings, JSON_C_TO_STRING_PRETTY);
      json_object_put (settings);
      g_ptr_array_add (argv, g_strdup_printf ("%s/%s", s->bin,
                                              p->kind == PROCESS_ENTRY ? "daisyentryd"
                                                                       : "daisyslotd"));
      g_ptr_array_add (argv, g_strdup ("-f"));
      g_ptr_array_add (argv, path);
    }
  g_ptr_array_add (argv, NULL);
  return (char **)g_ptr_array_free (argv, FALSE);
}

/* Starts a program that appends its output to a file. */
static pid_t
spawn (char **argv, const char *output)
{
  pid_t pid = fork ();
  int fd;

  if (pid != 0)
    return pid;
  /* When the runner is killed, its children must not stay behind. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  fd = open (output, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  execv (argv[0], argv);
  dprintf (STDERR_FILENO, "%s: %s\n", argv[0], strerror (errno));
  _exit (127);
}

bool
process_start (Scenario *s, Process *p)
{
  char **argv;

  if (p->pid != 0)
    return scn_fail (s, "%s is already running", p->name);
  argv = make_command (s, p);
  p->pid = spawn (argv, p->log_path);
  p->started = true;
  p->ending = false;
  p->frozen = false;
  g_strfreev (argv);
  return p->pid > 0 || scn_fail (s, "cannot start %s", p->name);
}

static bool
accepts_connections (const char *address)
{
  char **parts = g_strsplit (address, ":", 2);
  struct sockaddr_in at = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool connected;

  inet_pton (AF_INET, parts[0], &at.sin_addr);
  at.sin_port = htons ((uint16_t)g_ascii_strtoull (parts[1], NULL, 10));
  connected = connect (fd, (struct sockaddr *)&at, sizeof at) == 0;
  close (fd);
  g_strfreev (parts);
  return connected;
}

bool
process_wait_ready (Scenario *s, Process *p)
{
  uint64_t deadline = scn_now_ms () + SCN_READY_MS;

  while (!accepts_connections (p->http != NULL ? p->http : p->address)
         || !accepts_connections (p->address))
    {
      if (scn_now_ms () > deadline)
        return scn_fail (s, "%s does not listen on %s", p->name, p->address);
      scn_iterate (s, ITERATION_MS);
      if (s->failed)
        return false;
    }
  return true;
}

/* -------- ending -------- */

void
process_reap (Scenario *s)
{
  int status;

  for (unsigned i = 0; i < s->processes->len; i++)
    {
      Process *p = g_ptr_array_index (s->processes, i);

      if (p->pid == 0 || waitpid (p->pid, &status, WNOHANG) != p->pid)
        continue;
      p->pid = 0;
      p->status = WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
      if (!p->ending)
        scn_fail (s, "%s exited unexpectedly with status %d", p->name, p->status);
    }
}

/* The process may have been reaped already; kill (0, ...) would signal the runner's
 * group. */
static void
send_signal (const Process *p, int number)
{
  if (p->pid > 0)
    kill (p->pid, number);
}

void
process_freeze (Process *p, bool frozen)
{
  if (p->pid == 0 || p->frozen == frozen)
    return;
  p->frozen = frozen;
  send_signal (p, frozen ? SIGSTOP : SIGCONT);
}

static void
archive_records (Scenario *s, Process *p)
{
  json_object *records = process_records (s, p);

  if (records == NULL)
    return;
  add_text (records, "process", p->name);
  json_object_object_add (records, "kind", json_object_new_int (p->kind));
  g_ptr_array_add (s->archives, records);
}

bool
process_end (Scenario *s, Process *p, int signal_number)
{
  uint64_t deadline = scn_now_ms () + SCN_READY_MS;

  if (p->pid == 0)
    return true;
  if (!p->ending && (p->kind == PROCESS_ENGINE || p->kind == PROCESS_SERVICE))
    archive_records (s, p);
  if (p->kind == PROCESS_ENTRY && signal_number == SIGKILL)
    s->entry_killed = true;
  p->ending = true;
  send_signal (p, signal_number);
  process_freeze (p, false);
  while (p->pid != 0)
    {
      if (scn_now_ms () > deadline)
        {
          scn_fail (s, "%s did not exit within %d ms", p->name, SCN_READY_MS);
          send_signal (p, SIGUSR1); /* makes it write a dump into its log */
          for (unsigned i = 0; i < DUMP_ITERATIONS; i++)
            scn_iterate (s, ITERATION_MS);
          send_signal (p, SIGKILL);
          return false;
        }
      scn_iterate (s, ITERATION_MS);
    }
  if (signal_number == SIGTERM && p->status != 0)
    return scn_fail (s, "%s exited with status %d", p->name, p->status);
  return true;
}

bool
process_end_all (Scenario *s)
{
  static const ProcessKind order[]
      = { PROCESS_ENTRY,   PROCESS_SLOT,   PROCESS_ENGINE,
          PROCESS_SERVICE, PROCESS_ORIGIN, PROCESS_PLATFORM };
  bool ok = true;

  for (unsigned k = 0; k < G_N_ELEMENTS (order); k++)
    {
      for (unsigned i = 0; i < s->processes->len; i++)
        {
          Process *p = g_ptr_array_index (s->processes, i);

          if (p->kind != order[k] || p->pid == 0)
            continue;
          p->ending = true;
          send_signal (p, SIGTERM);
          process_freeze (p, false);
        }
      for (unsigned i = 0; i < s->processes->len; i++)
        {
          Process *p = g_ptr_array_index (s->processes, i);

          if (p->kind != order[k] || p->pid == 0)
            continue;
          ok = process_end (s, p, SIGTERM) && ok;
        }
    }
  return ok;
}

void
process_print_logs (Scenario *s)
{
  for (unsigned i = 0; i < s->processes->len; i++)
    {
      const Process *p = g_ptr_array_index (s->processes, i);
      char *text = NULL;
      const char *report;
      gsize length;

      if (!g_file_get_contents (p->log_path, &text, &length, NULL))
        continue;
      report = strstr (text, "==ERROR");
      if (report != NULL)
        printf ("---- %s\n%.*s\n", p->name, LOG_TAIL_BYTES, report);
      else if (!is_standin (p))
        printf ("---- %s\n%s\n", p->name,
                length > LOG_TAIL_BYTES ? text + length - LOG_TAIL_BYTES : text);
      g_free (text);
    }
}

/* -------- the host list -------- */

static json_object *
host_row (const Process *p)
{
  json_object *row = json_object_new_object ();

  add_text (row, "name", p->name);
  add_text (row, "role", p->kind == PROCESS_ENTRY ? "entry" : "slot");
  add_text (row, "region", p->region);
  add_text (row, "data_center", p->data_center);
  add_text (row, "address", p->advertise);
  add_text (row, "http", p->kind == PROCESS_ENTRY ? p->http : "");
  add_text (row, "service", p->service);
  json_object_object_add (row, "leaving", json_object_new_boolean (p->leaving));
  return row;
}

bool
process_write_hosts (Scenario *s)
{
  Process *platform = process_find (s, "platform");
  json_object *body = json_object_new_object ();
  json_object *list = json_object_new_array ();
  const char *text;
  char *url;
  HttpCall *call;
  bool ok;

  json_object_object_add (body, "hosts", list);
  for (unsigned i = 0; i < s->processes->len; i++)
    {
      const Process *p = g_ptr_array_index (s->processes, i);

      if (!is_standin (p) && p->pid != 0)
        json_object_array_add (list, host_row (p));
    }
  text = json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);
  url = g_strdup_printf ("http://%s/test/hosts", platform->address);
  call = http_wait (s, "POST", url, NULL, text, strlen (text), SCN_READY_MS);
  ok = call->status == 200;
  http_free (s, call);
  g_free (url);
  json_object_put (body);
  return ok || scn_fail (s, "the platform's stand-in refused the host list");
}

/* -------- other programs -------- */

bool
process_run (Scenario *s, char **argv, int *status, char **output)
{
  char *path = g_strdup_printf ("%s/command.out", s->folder);
  uint64_t deadline = scn_now_ms () + SCN_READY_MS;
  pid_t pid;
  bool ended = false;

  unlink (path);
  pid = spawn (argv, path);
  while (!ended && scn_now_ms () < deadline)
    {
      scn_iterate (s, ITERATION_MS);
      ended = waitpid (pid, status, WNOHANG) == pid;
    }
  if (!ended)
    {
      kill (pid, SIGKILL);
      waitpid (pid, status, 0);
    }
  *status = WIFEXITED (*status) ? WEXITSTATUS (*status) : 128 + WTERMSIG (*status);
  if (!g_file_get_contents (path, output, NULL, NULL))
    *output = g_strdup ("");
  g_free (path);
  return ended || scn_fail (s, "%s did not exit within %d ms", argv[0], SCN_READY_MS);
}

json_object *
process_records (Scenario *s, Process *p)
{
  char *url;
  json_object *records;

  if (p->pid == 0 || p->frozen)
    return NULL;
  url = g_strdup_printf ("http://%s/test/records", p->address);
  records = http_json (s, url);
  g_free (url);
  return records;
}
