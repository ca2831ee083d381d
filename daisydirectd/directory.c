/*
 * Task "directory": tells callers which entries to use, and the platform whether this
 * entry is ready.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "daisydirectd.h"
#include "kernel/http_server.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "platform.h"

/* Time for which callers may cache a response.  Some callers keep it three times as
 * long. */
#define TTL_S 1.0
/* With fewer ready entries in its region, a caller is given those of all regions. */
#define REGION_ENTRIES_MIN 2
#define ADDRESSES_MAX      64
#define CONNECTIONS_MAX    600
#define HEADER_BYTES_MAX   (8u << 10)
#define IDLE_TIMEOUT_S     30
#define STATUS_OK          200
#define NOT_FOUND          404
#define UNAVAILABLE        503

DL_METRIC (metric_resolve_requests,
           DL_METRIC_COUNTER,
           "daisy_direct_directory_questions_total",
           "Requests for the list of entries.")

typedef struct
{
  const DlNodeSettings *settings;
  DlKernel *kernel;
  DirectMessage *entries; /* the last DIRECT_ENTRIES; NULL before the first */
  DirectMessage *routing; /* the table in effect; NULL before the first */
  DlHttpServer *resolver;
  DlHttpServer *readiness;
} Directory;

static void
add_addresses (GPtrArray *to, const char **addresses, size_t count)
{
  for (size_t i = 0; i < count && to->len < ADDRESSES_MAX; i++)
    g_ptr_array_add (to, (gpointer)addresses[i]);
}

/* A caller's question. */
typedef struct
{
  DlStr host;         /* empty if unknown */
  const char *region; /* of the caller; NULL if unknown */
} Question;

/* True when an entry in REGION may be told: it is in the caller's region, or the requests
 * of all routes of the host may be handled there. */
static bool
may_tell (const Directory *directory, const Question *question, const char *region)
{
  if (question->region != NULL && strcmp (question->region, region) == 0)
    return true;
  return dl_routing_host_allows (directory->routing->routing, question->host, region);
}

/* The same as below for a host with routes that are confined to some regions. */
static void
choose_allowed (const Directory *directory, const Question *question, GPtrArray *to)
{
  const DirectMessage *m = directory->entries;
  const char *own = directory->settings->region;
  bool same_region = question->region == NULL || strcmp (question->region, own) == 0;

  if (may_tell (directory, question, own))
    add_addresses (to, m->entries.same_region, m->entries.same_region_count);
  if (same_region && to->len >= REGION_ENTRIES_MIN)
    return;
  for (size_t i = 0; i < m->entries.other_region_count; i++)
    if (may_tell (directory, question, m->entries.other_region_names[i]))
      add_addresses (to, &m->entries.other_region[i], 1);
}

static bool
is_confined (const Directory *directory, const Question *question)
{
  return directory->routing != NULL
         && dl_routing_host_is_confined (directory->routing->routing, question->host);
}

/* Appends the addresses for a caller: those of this entry's region, then those of other
 * regions when the caller is in another one or there are too few. */
static void
choose_addresses (const Directory *directory, const Question *question, GPtrArray *to)
{
  const char *region = question->region;
  const DirectMessage *m = directory->entries;
  bool same_region = region == NULL || strcmp (region, directory->settings->region) == 0;

  add_addresses (to, m->entries.same_region, m->entries.same_region_count);
  if (!same_region || m->entries.same_region_count < REGION_ENTRIES_MIN)
    add_addresses (to, m->entries.other_region, m->entries.other_region_count);
}

static void
on_resolve_request (DlHttpRequest *http, void *data)
{
  const Directory *directory = data;
  const char *host;
  const char *data_center;
  Question question;
  GPtrArray *addresses;

  if (!platform_read_resolve_request (http, &host, &question.region, &data_center))
    {
      platform_reply_error (http, NOT_FOUND, 0, "no such question");
      return;
    }
  dl_metric_add (&metric_resolve_requests, 1);
  addresses = g_ptr_array_new ();
  question.host = dl_str (host);
  if (directory->entries != NULL && is_confined (directory, &question))
    choose_allowed (directory, &question, addresses);
  /* Without one, any entry can still pass the request on to a region that is allowed. */
  if (directory->entries != NULL && addresses->len == 0)
    choose_addresses (directory, &question, addresses);
  if (addresses->len == 0)
    platform_reply_error (http, UNAVAILABLE, 0, "no entry is known to be ready");
  else
    platform_reply_directory (http, (const char *const *)addresses->pdata, addresses->len,
                              MIN (TTL_S, directory->settings->directory_ttl_s));
  g_ptr_array_free (addresses, TRUE);
}

static void
on_ready_request (DlHttpRequest *http, void *data)
{
  const Directory *directory = data;
  bool ready = directory->entries != NULL && directory->entries->entries.is_ready
               && !dl_kernel_stopping (directory->kernel);

  if (!platform_is_ready_request (http))
    platform_reply_error (http, NOT_FOUND, 0, "no such question");
  else if (ready)
    dl_http_reply (http, STATUS_OK, "text/plain", DL_STR_LITERAL ("ready\n"), NULL);
  else
    platform_reply_error (http, UNAVAILABLE, 0, "not ready");
}

static void
handle (DlTask *task, const DlMessage *head)
{
  Directory *directory = dl_task_state (task);

  DirectMessage **kept
      = head->type == DIRECT_ROUTING ? &directory->routing : &directory->entries;

  if (*kept != NULL)
    dl_message_unref (*kept);
  *kept = dl_message_ref ((void *)head);
}

static int
directory_destroy (Directory *directory)
{
  if (directory->entries != NULL)
    dl_message_unref (directory->entries);
  if (directory->routing != NULL)
    dl_message_unref (directory->routing);
  return 0;
}

static int
serve (DlTask *task,
       Directory *directory,
       const char *address,
       DlHttpHandler handler,
       DlHttpServer **server)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;

  limits.max_body_bytes = DL_HTTP_NO_BODY_BYTES;
  limits.max_connections = CONNECTIONS_MAX;
  limits.max_header_bytes = HEADER_BYTES_MAX;
  limits.idle_timeout_s = IDLE_TIMEOUT_S;
  return dl_http_server_new (task, directory, dl_str (address), &limits, handler,
                             directory, server);
}

static int
start (DlTask *task)
{
  Directory *directory = talloc_zero (NULL, Directory);

  dl_task_set_state (task, directory);
  directory->kernel = dl_task_kernel (task);
  directory->settings = direct_settings (task);
  talloc_set_destructor (directory, directory_destroy);
  return 0;
}

static int
open_servers (DlTask *task)
{
  Directory *directory = dl_task_state (task);
  int error = serve (task, directory, directory->settings->directory, on_resolve_request,
                     &directory->resolver);
  if (error < 0)
    return error;
  return serve (task, directory, directory->settings->ready, on_ready_request,
                &directory->readiness);
}

/* Answers until the process ends.  Callers close their connections, so that a kept one
 * has no unanswered question then. */
static void
drain (DlTask *task)
{
  const Directory *directory = dl_task_state (task);

  dl_http_server_disable_keepalive (directory->resolver);
  dl_http_server_disable_keepalive (directory->readiness);
  dl_task_drained (task);
}

static bool
is_idle (DlTask *task)
{
  const Directory *directory = dl_task_state (task);
  bool resolver_idle = dl_http_server_is_idle (directory->resolver);

  return dl_http_server_is_idle (directory->readiness) && resolver_idle;
}

static DlPlugin directory_plugin = {
  .name = "directory",
  .order = 20,
  .subscriptions = UINT64_C (1) << DIRECT_ENTRIES | UINT64_C (1) << DIRECT_ROUTING,
  .start = start,
  .open = open_servers,
  .handle = handle,
  .drain = drain,
  .is_idle = is_idle,
};
DL_PLUGIN_REGISTER (directory_plugin)
