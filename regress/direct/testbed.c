/* Starts and ends the processes of a run: stand-ins, entries and stagers. */
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
/* Each run chooses a subnet of loopback by the runner's process id, so that runs at the
 * same time use different ones. */
#define SUBNET_FIRST       64
#define SUBNET_COUNT       63
#define OCTETS             250
#define TIMEOUT_DEFAULT_MS 4000 /* of a route */
/* Lines of a process's log, or of a sanitizer's report in it, that are printed after a
 * failure: CI cuts longer output. */
#define LOG_PRINTED_LINES 60

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
process_set (Testbed *tb, Process *p, const char *name, char **argv)
{
  p->name = g_strdup (name);
  p->argv = argv;
  p->log = g_strdup_printf ("%s/%s.log", tb->folder, name);
}

static char *
address (const Testbed *tb, unsigned host, unsigned port)
{
  return g_strdup_printf ("%s.%u:%u", tb->subnet, host, port);
}

/* The address under which others reach AT: AT itself, or that of a new proxy. */
static char *
reachable_address (Testbed *tb, const char *at)
{
  char *via;
  Proxy *proxy;

  if (tb->proxies == NULL)
    return g_strdup (at);
  via = address (tb, PROXY_HOST + tb->proxies->len, PORT);
  proxy = proxy_new (via, at);
  if (proxy != NULL)
    g_ptr_array_add (tb->proxies, proxy);
  return via;
}

static char **
standin_argv (const Testbed *tb, const char *kind, const char *listen, const char *knob)
{
  GPtrArray *argv = g_ptr_array_new ();

  g_ptr_array_add (argv, g_strdup_printf ("%s/standin", tb->bin));
  g_ptr_array_add (argv, g_strdup_printf ("--kind=%s", kind));
  g_ptr_array_add (argv, g_strdup_printf ("--listen=%s", listen));
  if (knob != NULL)
    g_ptr_array_add (argv, g_strdup_printf ("--set=%s", knob));
  g_ptr_array_add (argv, NULL);
  return (char **)g_ptr_array_free (argv, FALSE);
}

static char **
program_argv (const Testbed *tb,
              const char *program,
              const char *name,
              const char *settings)
{
  char *path = g_strdup_printf ("%s/%s.json", tb->folder, name);
  char **argv = g_new0 (char *, 4);

  g_file_set_contents (path, settings, -1, NULL);
  argv[0] = g_strdup_printf ("%s/%s", tb->bin, program);
  argv[1] = g_strdup ("-f");
  argv[2] = path;
  return argv;
}

/* -------- the store's objects -------- */

bool
testbed_put (Testbed *tb, const char *kind, const char *name, const char *spec)
{
  char *body
      = g_strdup_printf ("{\"metadata\":{\"name\":\"%s\"},\"spec\":%s}", name, spec);
  char *target = g_strdup_printf ("/-/objects/%s/%s", kind, name);
  char *create = g_strdup_printf ("/-/objects/%s", kind);
  Response r = call (
      &(Call){ .method = "PUT", .address = tb->store, .target = target, .body = body });
  bool done = r.status == 200;

  if (r.status == 404)
    {
      response_free (&r);
      r = call (&(Call){ .address = tb->store, .target = create, .body = body });
      done = r.status == 200;
    }
  response_free (&r);
  g_free (body);
  g_free (target);
  g_free (create);
  return done;
}

bool
testbed_delete (Testbed *tb, const char *kind, const char *name)
{
  char *target = g_strdup_printf ("/-/objects/%s/%s", kind, name);
  Response r
      = call (&(Call){ .method = "DELETE", .address = tb->store, .target = target });
  bool done = r.status == 200;

  response_free (&r);
  g_free (target);
  return done;
}

typedef struct
{
  const char *name;
  const char *prefix;
  const char *kind;
  const char *more;    /* further members */
  unsigned timeout_ms; /* 0: TIMEOUT_DEFAULT_MS */
} RouteSpec;

/* Service "m" has model servers, "p" is plain, "w" is the origin of weights. */
static const RouteSpec route_specs[] = {
  { "stream", "/s/", "streaming",
    "\"backend\":\"m\",\"max_attempts\":2,\"resumable\":true,\"target_gap_ms\":400" },
  { "once", "/o/", "unsafe", "\"backend\":\"p\",\"max_attempts\":1" },
  { "safe", "/r/", "safe", "\"backend\":\"m\",\"max_attempts\":2" },
  { "open", "/p/", "safe", "\"backend\":\"p\",\"public\":true" },
  { "single-stream", "/s/single/", "streaming",
    "\"backend\":\"m\",\"max_attempts\":2,\"target_gap_ms\":400" },
  { "slow-stream", "/s/slow/", "streaming",
    "\"backend\":\"m\",\"max_attempts\":2,\"resumable\":true", 6000 },
  { "long", "/o/long/", "unsafe", "\"backend\":\"p\",\"max_attempts\":1", 20000 },
};

/* The same with PLACES; the list of the route "confined" is ROUTE_REGIONS. */
static const RouteSpec places_route_specs[] = {
  { "confined", "/h/", "safe", "\"backend\":\"m\",\"max_attempts\":2" },
  { "open-models", "/m/", "safe", "\"backend\":\"m\",\"public\":true" },
};

/* %s: further members of service "m". */
static const char services_format[]
    = "{\"name\":\"m\",%s\"engine\":{\"layers\":4,\"chunks\":16,\"chunk_bytes\":4096,"
      "\"models\":[{\"name\":\"big\"}],\"usual\":{\"prompt\":100,\"answer\":10}}},"
      "{\"name\":\"p\"}";

static void
append_more_routes (const Testbed *tb, GString *spec)
{
  for (unsigned i = 0; i < tb->more_routes; i++)
    {
      /* Random, so that a table does not compress better than that of the users. */
      uint32_t name = g_random_int ();

      g_string_append_printf (spec,
                              ",{\"name\":\"%08x-%u\",\"hostname\":\"x.example\","
                              "\"path_prefix\":\"/many/%u/\",\"kind\":\"safe\","
                              "\"timeout_ms\":%u,\"target_latency_ms\":400,"
                              "\"backend\":\"m\",\"max_attempts\":2}",
                              name, i, i, TIMEOUT_DEFAULT_MS);
    }
}

/* Appends a route, after COMMA; REGIONS is its list of them, NULL for none. */
static void
append_route (GString *spec, const RouteSpec *r, const char *comma, const char *regions)
{
  g_string_append_printf (spec,
                          "%s{\"name\":\"%s\",\"hostname\":\"x.example\","
                          "\"path_prefix\":\"%s\",\"kind\":\"%s\","
                          "\"timeout_ms\":%u,\"target_latency_ms\":400,%s%s%s}",
                          comma, r->name, r->prefix, r->kind,
                          r->timeout_ms > 0 ? r->timeout_ms : TIMEOUT_DEFAULT_MS, r->more,
                          regions != NULL ? ",\"allowed_regions\":" : "",
                          regions != NULL ? regions : "");
}

static void
append_routes (const Testbed *tb, GString *spec)
{
  for (size_t i = 0; i < G_N_ELEMENTS (route_specs); i++)
    append_route (spec, &route_specs[i], i > 0 ? "," : "", NULL);
  if (!tb->places)
    return;
  append_route (spec, &places_route_specs[0], ",", tb->route_regions);
  append_route (spec, &places_route_specs[1], ",", NULL);
}

static void
append_services (const Testbed *tb, GString *spec)
{
  char *cold = tb->places ? g_strdup_printf ("\"cold_start_s\":3.0,\"cold_per_s\":%u,",
                                             COLD_PER_S)
                          : g_strdup ("");

  g_string_append_printf (spec, services_format, cold);
  g_free (cold);
}

bool
testbed_configure (Testbed *tb, bool without_key)
{
  GString *spec = g_string_new (NULL);
  bool done;

  g_string_append_printf (spec, "{\"version\":%" PRIu64 ",\"routes\":[",
                          ++tb->config_version);
  append_routes (tb, spec);
  append_more_routes (tb, spec);
  g_string_append (spec, "],\"services\":[");
  append_services (tb, spec);
  g_string_append_printf (
      spec,
      ",{\"name\":\"w\",\"origin\":\"%s\","
      "\"link_mbps\":10}],"
      "\"limits\":{\"max_header_bytes\":8192,"
      "\"max_body_bytes\":%u},"
      "\"tenants\":[{\"name\":\"org\",\"api_keys\":[\"key1\"%s]%s%s}]}",
      tb->via_origin,
      tb->body_limit_bytes > 0 ? tb->body_limit_bytes : BODY_LIMIT_DEFAULT_BYTES,
      without_key ? "" : ",\"key2\"",
      tb->organisation_regions != NULL ? ",\"allowed_regions\":" : "",
      tb->organisation_regions != NULL ? tb->organisation_regions : "");
  done = testbed_put (tb, "config", "main", spec->str);
  g_string_free (spec, TRUE);
  return done;
}

/* True for the model server that PLACES puts in "d2" of "r2". */
static bool
is_outside (const Testbed *tb, unsigned index)
{
  return tb->places && index == SERVER_OUTSIDE;
}

bool
testbed_list_server (Testbed *tb, unsigned index, const char *state)
{
  char *name = g_strdup_printf ("i-%u", index + 1);
  char *cold = tb->places ? g_strdup_printf (",\"cold_remaining_ms\":%" PRIu64,
                                             tb->cold_ms[index])
                          : g_strdup ("");
  char *spec = g_strdup_printf (
      "{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"slots\":%u,"
      "\"state\":\"%s\",\"born\":%" PRIu64 ",\"models\":[%s]%s}",
      index < SERVERS - 1 ? "m" : "p", tb->via_server[index],
      is_outside (tb, index) ? "d2" : "d1", tb->slots > 0 ? tb->slots : SLOTS_DEFAULT,
      state, tb->server_started[index],
      index < SERVERS - 1 ? "{\"name\":\"big\",\"version\":1}" : "", cold);
  bool done = testbed_put (tb, "servers", name, spec);

  g_free (cold);
  g_free (name);
  g_free (spec);
  return done;
}

bool
testbed_restart_server (Testbed *tb, unsigned index)
{
  tb->server_started[index]++;
  return testbed_list_server (tb, index, "ready");
}

bool
testbed_list_crashed (Testbed *tb, uint64_t seen[MODEL_SERVERS])
{
  bool done = true;

  for (unsigned i = 0; i < SERVERS - 1; i++)
    {
      uint64_t count = recorded (tb->server[i], "crashes");

      if (count == seen[i])
        continue;
      if (recorded (tb->server[i], "down") == 0 && testbed_restart_server (tb, i)
          && set_fault (tb->server[i], "born", tb->server_started[i]))
        seen[i] = count;
      else
        done = false;
    }
  return done;
}

bool
testbed_unlist_server (Testbed *tb, unsigned index)
{
  char *name = g_strdup_printf ("i-%u", index + 1);
  bool done = testbed_delete (tb, "servers", name);

  g_free (name);
  return done;
}

bool
testbed_announce_version (Testbed *tb, uint64_t version)
{
  char *spec = g_strdup_printf ("{\"model\":\"big\",\"version\":%" PRIu64 "}", version);
  bool done = set_fault (tb->origin, "newest", version)
              && testbed_put (tb, "versions", "big", spec);

  g_free (spec);
  return done;
}

/* -------- the testbed -------- */

unsigned
testbed_version_ms (const Testbed *tb)
{
  return tb->version_ms != 0 ? tb->version_ms : VERSION_DEFAULT_MS;
}

/* PLACE is the region and the data centre, as members of the settings. */
static char *
node_settings (const Testbed *tb,
               const char *name,
               const char *place,
               unsigned host,
               const char *more)
{
  return g_strdup_printf ("{\"name\":\"%s\",%s,"
                          "\"address\":\"%s.%u:%u\",\"store\":\"%s\",\"revoke_ms\":%u,"
                          "\"version_ms\":%u,\"grace_s\":8,%s,\"json_logs\":true}",
                          name, place, tb->subnet, host, NODE_PORT, tb->via_store,
                          tb->revoke_ms != 0 ? tb->revoke_ms : REVOKE_DEFAULT_MS,
                          testbed_version_ms (tb), more);
}

static const char place_inside[] = "\"region\":\"r1\",\"data_center\":\"d1\"";
static const char place_outside[] = "\"region\":\"r2\",\"data_center\":\"d2\"";
static const char evacuate_setting[] = ",\"evacuate_ms\":5000";
static const char entry_places_settings[]
    = ",\"data_centers\":[\"d1=r1\",\"d2=r2\"],\"cold_overage\":" COLD_OVERAGE
      ",\"cold_slack\":" COLD_SLACK;

static void
setup_entry (Testbed *tb, unsigned i)
{
  unsigned host = 21 + i;
  char *name = g_strdup_printf ("entry-%u", i + 1);
  char *more;
  char *settings;

  tb->entry[i] = address (tb, host, PORT);
  tb->via_entry[i] = reachable_address (tb, tb->entry[i]);
  tb->ready[i] = address (tb, host, PORT + 1);
  tb->directory[i] = address (tb, host, PORT + 2);
  tb->metrics[i] = address (tb, host, PORT + 3);
  tb->entry_node[i] = address (tb, host, NODE_PORT);
  more = g_strdup_printf ("\"listen\":\"%s\",\"ready\":\"%s\",\"directory\":\"%s\","
                          "\"metrics\":\"%s\",\"retry_ratio\":1.0,\"retry_slack\":50%s%s",
                          tb->entry[i], tb->ready[i], tb->directory[i], tb->metrics[i],
                          tb->places ? entry_places_settings : "",
                          tb->places ? evacuate_setting : "");
  settings = node_settings (tb, name, place_inside, host, more);
  process_set (tb, &tb->entry_process[i], name,
               program_argv (tb, "daisydirectd", name, settings));
  g_free (settings);
  g_free (more);
  g_free (name);
}

static void
setup_server (Testbed *tb, unsigned i)
{
  char *name = g_strdup_printf ("server-%u", i + 1);
  char *knob = g_strdup_printf ("instance=%u", i + 1);

  tb->server_started[i] = i + 1;
  tb->server[i] = address (tb, 11 + i, PORT);
  tb->via_server[i] = reachable_address (tb, tb->server[i]);
  process_set (tb, &tb->server_process[i], name,
               standin_argv (tb, "server", tb->server[i], knob));
  g_free (knob);
  g_free (name);
}

static void
setup_stager (Testbed *tb, unsigned i)
{
  char *name = g_strdup_printf ("stager-%u", i + 1);
  char *more = g_strdup_printf ("\"engine\":\"%s\",\"service\":\"m\"%s",
                                tb->via_server[i], tb->places ? evacuate_setting : "");
  char *settings
      = node_settings (tb, name, is_outside (tb, i) ? place_outside : place_inside,
                       11 + i, more);

  tb->stager_node[i] = address (tb, 11 + i, NODE_PORT);

  process_set (tb, &tb->stager_process[i], name,
               program_argv (tb, "daisystaged", name, settings));
  g_free (settings);
  g_free (more);
  g_free (name);
}

static void
setup_all (Testbed *tb)
{
  unsigned pid = (unsigned)getpid ();

  tb->folder = g_dir_make_tmp ("direct-XXXXXX", NULL);
  tb->subnet = g_strdup_printf ("127.%u.%u", SUBNET_FIRST + pid / OCTETS % SUBNET_COUNT,
                                1 + pid % OCTETS);
  tb->store = address (tb, 1, PORT);
  tb->origin = address (tb, 2, PORT);
  tb->via_store = reachable_address (tb, tb->store);
  tb->via_origin = reachable_address (tb, tb->origin);
  process_set (tb, &tb->store_process, "store",
               standin_argv (tb, "objects", tb->store, NULL));
  process_set (tb, &tb->origin_process, "origin",
               standin_argv (tb, "weights", tb->origin, NULL));
  for (unsigned i = 0; i < SERVERS; i++)
    setup_server (tb, i);
  for (unsigned i = 0; i < ENTRIES; i++)
    setup_entry (tb, i);
  for (unsigned i = 0; i < SERVERS - 1; i++)
    setup_stager (tb, i);
}

static bool
standins_respond (Testbed *tb)
{
  json_object *store = fetch_records (tb->store);
  json_object *origin = fetch_records (tb->origin);
  bool all = store != NULL && origin != NULL;

  json_object_put (store);
  json_object_put (origin);
  for (unsigned i = 0; i < SERVERS && all; i++)
    {
      json_object *server = fetch_records (tb->server[i]);

      all = server != NULL;
      json_object_put (server);
    }
  return all;
}

static bool
entries_are_ready (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Response r = call (&(Call){ .address = tb->ready[i], .target = "/-/readyz" });
      bool ready = r.status == 200;

      response_free (&r);
      if (!ready)
        return false;
    }
  return true;
}

bool
testbed_start (Testbed *tb, const char *bin, bool with_proxies)
{
  bool done;

  tb->bin = bin;
  tb->proxies = with_proxies ? g_ptr_array_new () : NULL;
  setup_all (tb);
  done = process_start (&tb->store_process) && process_start (&tb->origin_process);
  for (unsigned i = 0; i < SERVERS; i++)
    done = done && process_start (&tb->server_process[i]);
  done = done && eventually (standins_respond, tb) && testbed_configure (tb, false);
  for (unsigned i = 0; i < SERVERS; i++)
    done = done && testbed_list_server (tb, i, "ready");
  for (unsigned i = 0; i < ENTRIES; i++)
    done = done && process_start (&tb->entry_process[i]);
  for (unsigned i = 0; i < SERVERS - 1; i++)
    done = done && process_start (&tb->stager_process[i]);
  return done && eventually (entries_are_ready, tb);
}

/* The beginning of the last LOG_PRINTED_LINES lines of TEXT. */
static const char *
last_lines (const char *text)
{
  const char *at = text + strlen (text);
  unsigned lines = 0;

  /* The newline that ends the last line begins no further one. */
  for (; at > text; at--)
    if (at[-1] == '\n' && *at != '\0' && ++lines == LOG_PRINTED_LINES)
      break;
  return at;
}

/* Where the first report of a sanitizer in TEXT begins; NULL without one. */
static const char *
find_report (const char *text)
{
  const char *error = strstr (text, "==ERROR");

  return error != NULL ? error : strstr (text, "runtime error:");
}

/* Prints the lines from FROM up to END, at most LOG_PRINTED_LINES. */
static void
print_lines (const char *from, const char *end)
{
  const char *at = from;

  for (unsigned i = 0; i < LOG_PRINTED_LINES && at < end; i++)
    {
      const char *newline = memchr (at, '\n', (size_t)(end - at));

      at = newline != NULL ? newline + 1 : end;
    }
  g_print ("%.*s%s", (int)(at - from), from, at > from && at[-1] != '\n' ? "\n" : "");
}

static void
print_log (const Process *p)
{
  char *text = NULL;
  const char *tail;
  const char *report;

  if (!g_file_get_contents (p->log, &text, NULL, NULL))
    return;
  tail = last_lines (text);
  report = find_report (text);
  if (report != NULL && report < tail)
    {
      g_print ("---- sanitizer's report of %s\n", p->name);
      print_lines (report, tail);
    }
  g_print ("---- %s log of %s\n", tail > text ? "end of the" : "whole", p->name);
  print_lines (tail, tail + strlen (tail));
  g_free (text);
}

static void
process_free (Process *p, bool failed)
{
  process_end (p, SIGKILL);
  if (failed)
    print_log (p);
  unlink (p->log);
  if (p->argv[1] != NULL && strcmp (p->argv[1], "-f") == 0)
    unlink (p->argv[2]);
  g_strfreev (p->argv);
  g_free (p->name);
  g_free (p->log);
}

void
testbed_stop (Testbed *tb, bool failed)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      process_free (&tb->entry_process[i], failed);
      g_free (tb->entry[i]);
      g_free (tb->ready[i]);
      g_free (tb->directory[i]);
      g_free (tb->metrics[i]);
      g_free (tb->entry_node[i]);
      g_free (tb->via_entry[i]);
    }
  for (unsigned i = 0; i < SERVERS - 1; i++)
    {
      process_free (&tb->stager_process[i], failed);
      g_free (tb->stager_node[i]);
    }
  for (unsigned i = 0; i < SERVERS; i++)
    {
      process_free (&tb->server_process[i], failed);
      g_free (tb->server[i]);
      g_free (tb->via_server[i]);
    }
  process_free (&tb->store_process, false);
  process_free (&tb->origin_process, false);
  for (guint i = 0; tb->proxies != NULL && i < tb->proxies->len; i++)
    proxy_free (g_ptr_array_index (tb->proxies, i));
  if (tb->proxies != NULL)
    g_ptr_array_free (tb->proxies, TRUE);
  g_free (tb->via_store);
  g_free (tb->via_origin);
  rmdir (tb->folder);
  g_free (tb->folder);
  g_free (tb->subnet);
  g_free (tb->store);
  g_free (tb->origin);
}
