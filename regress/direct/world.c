/* The processes of a run: stand-ins, entries and stagers. */
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "direct.h"

#define PORT         8001
#define NODE_PORT    7700
#define PROXY_HOST   101
#define END_TRIES    400
#define END_PAUSE_US 50000
/* A subnet of loopback for each run, by the runner's process id. */
#define SUBNET_FIRST 64
#define SUBNET_COUNT 63
#define OCTETS       250

/* -------- processes -------- */

bool
process_start (Process *p)
{
  char *command = g_strjoinv (" ", p->argv);
  int out = -1;
  FILE *log = fopen (p->log, "ae");
  GError *error = NULL;

  if (log != NULL)
    {
      fprintf (log, PROCESS_LOG_MARK "%s\n", command);
      fflush (log);
      out = fileno (log);
    }
  g_free (command);
  p->pid = 0;
  if (!g_spawn_async_with_fds (NULL, p->argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
                               &p->pid, -1, out, out, &error))
    {
      g_printerr ("direct: %s: %s\n", p->name, error->message);
      g_error_free (error);
    }
  if (log != NULL)
    fclose (log);
  return p->pid > 0;
}

int
process_end (Process *p, int signum)
{
  int status;

  if (p->pid <= 0)
    return -1;
  kill (p->pid, signum);
  for (int i = 0; i < END_TRIES; i++)
    {
      if (waitpid (p->pid, &status, WNOHANG) == p->pid)
        {
          p->pid = 0;
          return status;
        }
      g_usleep (END_PAUSE_US);
    }
  return -1;
}

static void
process_set (World *w, Process *p, const char *name, char **argv)
{
  p->name = g_strdup (name);
  p->argv = argv;
  p->log = g_strdup_printf ("%s/%s.log", w->folder, name);
}

static char *
address (const World *w, unsigned host, unsigned port)
{
  return g_strdup_printf ("%s.%u:%u", w->subnet, host, port);
}

/* The address by which AT is reached: its own, or that of a proxy before it. */
static char *
reach (World *w, const char *at)
{
  char *via;
  Proxy *proxy;

  if (w->proxies == NULL)
    return g_strdup (at);
  via = address (w, PROXY_HOST + w->proxies->len, PORT);
  proxy = proxy_new (via, at);
  if (proxy != NULL)
    g_ptr_array_add (w->proxies, proxy);
  return via;
}

static char **
standin_argv (const World *w, const char *kind, const char *listen, const char *knob)
{
  GPtrArray *argv = g_ptr_array_new ();

  g_ptr_array_add (argv, g_strdup_printf ("%s/standin", w->bin));
  g_ptr_array_add (argv, g_strdup_printf ("--kind=%s", kind));
  g_ptr_array_add (argv, g_strdup_printf ("--listen=%s", listen));
  if (knob != NULL)
    g_ptr_array_add (argv, g_strdup_printf ("--set=%s", knob));
  g_ptr_array_add (argv, NULL);
  return (char **)g_ptr_array_free (argv, FALSE);
}

static char **
program_argv (const World *w, const char *program, const char *name, const char *settings)
{
  char *path = g_strdup_printf ("%s/%s.json", w->folder, name);
  char **argv = g_new0 (char *, 4);

  g_file_set_contents (path, settings, -1, NULL);
  argv[0] = g_strdup_printf ("%s/%s", w->bin, program);
  argv[1] = g_strdup ("-f");
  argv[2] = path;
  return argv;
}

/* -------- the store's objects -------- */

bool
world_put (World *w, const char *kind, const char *name, const char *spec)
{
  char *body
      = g_strdup_printf ("{\"metadata\":{\"name\":\"%s\"},\"spec\":%s}", name, spec);
  char *target = g_strdup_printf ("/-/objects/%s/%s", kind, name);
  char *create = g_strdup_printf ("/-/objects/%s", kind);
  Answer a = call (
      &(Call){ .method = "PUT", .address = w->store, .target = target, .body = body });
  bool done = a.status == 200;

  if (a.status == 404)
    {
      answer_free (&a);
      a = call (&(Call){ .address = w->store, .target = create, .body = body });
      done = a.status == 200;
    }
  answer_free (&a);
  g_free (body);
  g_free (target);
  g_free (create);
  return done;
}

typedef struct
{
  const char *name;
  const char *prefix;
  const char *kind;
  const char *more; /* further members */
} RouteSpec;

/* Service "m" has engines, "p" is plain, "w" is the origin of weights. */
static const RouteSpec route_specs[] = {
  { "stream", "/s/", "streaming",
    "\"backend\":\"m\",\"max_attempts\":2,\"resumable\":true,\"target_gap_ms\":400" },
  { "once", "/o/", "unsafe", "\"backend\":\"p\",\"max_attempts\":1" },
  { "safe", "/r/", "safe", "\"backend\":\"m\",\"max_attempts\":2" },
  { "open", "/p/", "safe", "\"backend\":\"p\",\"public\":true" },
};

static const char services_spec[]
    = "{\"name\":\"m\",\"engine\":{\"layers\":4,\"chunks\":16,\"chunk_bytes\":4096,"
      "\"models\":[{\"name\":\"big\"}],\"usual\":{\"prompt\":100,\"answer\":10}}},"
      "{\"name\":\"p\"}";

static void
append_routes (GString *spec)
{
  for (size_t i = 0; i < G_N_ELEMENTS (route_specs); i++)
    {
      const RouteSpec *r = &route_specs[i];

      g_string_append_printf (spec,
                              "%s{\"name\":\"%s\",\"hostname\":\"x.example\","
                              "\"path_prefix\":\"%s\",\"kind\":\"%s\","
                              "\"timeout_ms\":4000,\"target_latency_ms\":400,%s}",
                              i > 0 ? "," : "", r->name, r->prefix, r->kind, r->more);
    }
}

bool
world_configure (World *w, bool without_key)
{
  GString *spec = g_string_new (NULL);
  bool done;

  g_string_append_printf (spec, "{\"version\":%" PRIu64 ",\"routes\":[",
                          ++w->config_version);
  append_routes (spec);
  g_string_append_printf (spec,
                          "],\"services\":[%s,{\"name\":\"w\",\"origin\":\"%s\","
                          "\"link_mbps\":10}],"
                          "\"limits\":{\"max_header_bytes\":8192,"
                          "\"max_body_bytes\":100000},"
                          "\"tenants\":[{\"name\":\"org\",\"api_keys\":[\"key1\"%s]}]}",
                          services_spec, w->via_origin, without_key ? "" : ",\"key2\"");
  done = world_put (w, "config", "main", spec->str);
  g_string_free (spec, TRUE);
  return done;
}

bool
world_list_server (World *w, unsigned index, const char *state)
{
  char *name = g_strdup_printf ("i-%u", index + 1);
  char *spec = g_strdup_printf (
      "{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"d1\",\"slots\":4,"
      "\"state\":\"%s\",\"models\":[%s]}",
      index < SERVERS - 1 ? "m" : "p", w->via_server[index], state,
      index < SERVERS - 1 ? "{\"name\":\"big\",\"version\":1}" : "");
  bool done = world_put (w, "servers", name, spec);

  g_free (name);
  g_free (spec);
  return done;
}

bool
world_name_version (World *w, uint64_t version)
{
  char *spec = g_strdup_printf ("{\"model\":\"big\",\"version\":%" PRIu64 "}", version);
  bool done = set_fault (w->origin, "newest", version)
              && world_put (w, "versions", "big", spec);

  g_free (spec);
  return done;
}

/* -------- the world -------- */

static char *
node_settings (const World *w, const char *name, unsigned host, const char *more)
{
  return g_strdup_printf ("{\"name\":\"%s\",\"region\":\"r1\",\"data_center\":\"d1\","
                          "\"address\":\"%s.%u:%u\",\"store\":\"%s\",\"revoke_ms\":3000,"
                          "\"version_ms\":8000,\"grace_s\":8,%s,\"json_logs\":true}",
                          name, w->subnet, host, NODE_PORT, w->via_store, more);
}

static void
declare_entry (World *w, unsigned i)
{
  unsigned host = 21 + i;
  char *name = g_strdup_printf ("entry-%u", i + 1);
  char *more;
  char *settings;

  w->entry[i] = address (w, host, PORT);
  w->via_entry[i] = reach (w, w->entry[i]);
  w->ready[i] = address (w, host, PORT + 1);
  w->directory[i] = address (w, host, PORT + 2);
  w->metrics[i] = address (w, host, PORT + 3);
  more = g_strdup_printf ("\"listen\":\"%s\",\"ready\":\"%s\",\"directory\":\"%s\","
                          "\"metrics\":\"%s\",\"retry_ratio\":1.0,\"retry_slack\":50",
                          w->entry[i], w->ready[i], w->directory[i], w->metrics[i]);
  settings = node_settings (w, name, host, more);
  process_set (w, &w->entry_process[i], name,
               program_argv (w, "daisydirectd", name, settings));
  g_free (settings);
  g_free (more);
  g_free (name);
}

static void
declare_server (World *w, unsigned i)
{
  char *name = g_strdup_printf ("server-%u", i + 1);
  char *knob = g_strdup_printf ("instance=%u", i + 1);

  w->server[i] = address (w, 11 + i, PORT);
  w->via_server[i] = reach (w, w->server[i]);
  process_set (w, &w->server_process[i], name,
               standin_argv (w, "server", w->server[i], knob));
  g_free (knob);
  g_free (name);
}

static void
declare_stager (World *w, unsigned i)
{
  char *name = g_strdup_printf ("stager-%u", i + 1);
  char *more = g_strdup_printf ("\"engine\":\"%s\",\"service\":\"m\"", w->via_server[i]);
  char *settings = node_settings (w, name, 11 + i, more);

  process_set (w, &w->stager_process[i], name,
               program_argv (w, "daisystaged", name, settings));
  g_free (settings);
  g_free (more);
  g_free (name);
}

static void
declare_all (World *w)
{
  unsigned pid = (unsigned)getpid ();

  w->folder = g_dir_make_tmp ("direct-XXXXXX", NULL);
  w->subnet = g_strdup_printf ("127.%u.%u", SUBNET_FIRST + pid / OCTETS % SUBNET_COUNT,
                               1 + pid % OCTETS);
  w->store = address (w, 1, PORT);
  w->origin = address (w, 2, PORT);
  w->via_store = reach (w, w->store);
  w->via_origin = reach (w, w->origin);
  process_set (w, &w->store_process, "store",
               standin_argv (w, "objects", w->store, NULL));
  process_set (w, &w->origin_process, "origin",
               standin_argv (w, "weights", w->origin, NULL));
  for (unsigned i = 0; i < SERVERS; i++)
    declare_server (w, i);
  for (unsigned i = 0; i < ENTRIES; i++)
    declare_entry (w, i);
  for (unsigned i = 0; i < SERVERS - 1; i++)
    declare_stager (w, i);
}

static bool
standins_answer (World *w)
{
  json_object *store = records (w->store);
  json_object *origin = records (w->origin);
  bool all = store != NULL && origin != NULL;

  json_object_put (store);
  json_object_put (origin);
  for (unsigned i = 0; i < SERVERS && all; i++)
    {
      json_object *server = records (w->server[i]);

      all = server != NULL;
      json_object_put (server);
    }
  return all;
}

static bool
entries_are_ready (World *w)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Answer a = call (&(Call){ .address = w->ready[i], .target = "/-/readyz" });
      bool ready = a.status == 200;

      answer_free (&a);
      if (!ready)
        return false;
    }
  return true;
}

bool
world_start (World *w, const char *bin, bool with_proxies)
{
  bool done;

  w->bin = bin;
  w->proxies = with_proxies ? g_ptr_array_new () : NULL;
  declare_all (w);
  done = process_start (&w->store_process) && process_start (&w->origin_process);
  for (unsigned i = 0; i < SERVERS; i++)
    done = done && process_start (&w->server_process[i]);
  done = done && eventually (standins_answer, w) && world_configure (w, false);
  for (unsigned i = 0; i < SERVERS; i++)
    done = done && world_list_server (w, i, "ready");
  for (unsigned i = 0; i < ENTRIES; i++)
    done = done && process_start (&w->entry_process[i]);
  for (unsigned i = 0; i < SERVERS - 1; i++)
    done = done && process_start (&w->stager_process[i]);
  return done && eventually (entries_are_ready, w);
}

static void
release (Process *p, bool failed)
{
  char *text = NULL;

  process_end (p, SIGKILL);
  if (failed && g_file_get_contents (p->log, &text, NULL, NULL))
    g_print ("---- log of %s\n%s", p->name, text);
  g_free (text);
  unlink (p->log);
  if (p->argv[1] != NULL && strcmp (p->argv[1], "-f") == 0)
    unlink (p->argv[2]);
  g_strfreev (p->argv);
  g_free (p->name);
  g_free (p->log);
}

void
world_stop (World *w, bool failed)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      release (&w->entry_process[i], failed);
      g_free (w->entry[i]);
      g_free (w->ready[i]);
      g_free (w->directory[i]);
      g_free (w->metrics[i]);
      g_free (w->via_entry[i]);
    }
  for (unsigned i = 0; i < SERVERS - 1; i++)
    release (&w->stager_process[i], failed);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      release (&w->server_process[i], false);
      g_free (w->server[i]);
      g_free (w->via_server[i]);
    }
  release (&w->store_process, false);
  release (&w->origin_process, false);
  for (guint i = 0; w->proxies != NULL && i < w->proxies->len; i++)
    proxy_free (g_ptr_array_index (w->proxies, i));
  if (w->proxies != NULL)
    g_ptr_array_free (w->proxies, TRUE);
  g_free (w->via_store);
  g_free (w->via_origin);
  rmdir (w->folder);
  g_free (w->folder);
  g_free (w->subnet);
  g_free (w->store);
  g_free (w->origin);
}
