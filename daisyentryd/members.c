/*
 * Maintains the host list and publishes MEMBERS when it changes.
 *
 * Entries that read from the platform themselves poll the list there; the others receive
 * it from relays.  An entry that announces to its peers that it is leaving is marked as
 * leaving before the list shows it.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "control.h"
#include "kernel/log.h"

/* An entry counts as leaving for this long after its announcement.  After that,
 * either the host list shows it, or a new process has replaced the entry and its status
 * has reached only some of the peers. */
#define LEAVING_HOLD_MS 30000

typedef struct
{
  DlTask *task;
  DlHttpClient *http;
  void *call; /* owner of the call in progress */
  char *url;
  DlTimer *next;
  EntryMessage *members; /* referenced; NULL before the first */
  GHashTable *leaving;   /* entry name to time of its announcement (uint64_t, ms) */
  size_t open_links;     /* from the last LINKS message */
} Members;

static const DlMembers *
current_members (const Members *s)
{
  return s->members != NULL ? s->members->members.members : NULL;
}

/* -------- publishing -------- */

static bool
member_equal (const DlMember *a, const DlMember *b)
{
  return strcmp (a->name, b->name) == 0 && a->role == b->role
         && strcmp (a->region, b->region) == 0
         && strcmp (a->data_center, b->data_center) == 0
         && strcmp (a->address, b->address) == 0 && strcmp (a->http, b->http) == 0
         && strcmp (a->service, b->service) == 0 && a->leaving == b->leaving;
}

static bool
members_equal (const DlMembers *a, const DlMembers *b)
{
  if (a->count != b->count)
    return false;
  for (size_t i = 0; i < a->count; i++)
    if (!member_equal (&a->members[i], &b->members[i]))
      return false;
  return true;
}

static void
mark_leaving (const Members *s, DlMembers *members)
{
  for (size_t i = 0; i < members->count; i++)
    {
      const uint64_t *announced_ms
          = g_hash_table_lookup (s->leaving, members->members[i].name);

      if (announced_ms != NULL && dl_clock_ms () - *announced_ms < LEAVING_HOLD_MS)
        members->members[i].leaving = true;
    }
}

/* Publishes M with the list MEMBERS, a talloc child of M, if the list changed.  Takes
 * over the reference to M. */
static void
publish (Members *s, EntryMessage *m, DlMembers *members)
{
  mark_leaving (s, members);
  if (s->members != NULL && members_equal (current_members (s), members))
    {
      dl_message_unref (m);
      return;
    }
  m->members.members = members;
  if (s->members != NULL)
    dl_message_unref (s->members);
  s->members = dl_message_ref (m);
  dl_log (DL_EVENT_HOST_LIST_CHANGED, DL_UINT ("revision", members->revision),
          DL_UINT ("hosts", members->count));
  dl_kernel_publish (dl_task_kernel (s->task), m);
}

static bool
is_outdated (const Members *s, uint64_t revision)
{
  return s->members != NULL && revision < current_members (s)->revision;
}

/* -------- polling -------- */

static void
handle_list (Members *s, DlStr text)
{
  EntryMessage *m = dl_message_new (ENTRY_MEMBERS, sizeof *m);
  DlMembers *members = NULL;
  char *error = NULL;

  if (dl_members_from_json (m, text, &members, &error) < 0)
    {
      dl_log (DL_EVENT_HOST_LIST_INVALID, DL_TEXT ("reason", error));
      dl_message_unref (m);
    }
  else if (is_outdated (s, members->revision))
    dl_message_unref (m);
  else
    publish (s, m, members);
}

static void
on_list_response (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Members *s = data;

  if (result->error == 0 && result->status == 200)
    handle_list (s, result->body);
  dl_timer_restart (s->next, entry_settings (s->task)->host_list_interval_ms);
}

static void
start_poll (DlTimer *timer, void *data)
{
  Members *s = data;
  const EntrySettings *settings = entry_settings (s->task);

  TALLOC_FREE (s->call);
  if (!control_reads_platform (s->task, current_members (s), s->open_links))
    {
      dl_timer_restart (s->next, settings->host_list_interval_ms);
      return;
    }
  s->call = talloc_new (s);
  dl_http_call (s->http, s->call,
                &(DlHttpCallOptions){
                    .url = s->url,
                    .timeout_ms = settings->platform_timeout_ms,
                    .max_body_bytes = DL_OBJECT_VALUE_MAX_BYTES * 16,
                    .on_done = on_list_response,
                    .data = s,
                });
}

/* -------- messages -------- */

static DlMembers *
copy_members (const void *context, const DlMembers *from)
{
  void *scratch = talloc_new (NULL);
  DlMembers *copy = NULL;

  dl_members_from_wire (context, dl_members_to_wire (scratch, from), &copy);
  talloc_free (scratch);
  return copy;
}

static void
handle_peer_members (Members *s, const DlMembers *members)
{
  EntryMessage *m;

  if (is_outdated (s, members->revision))
    return;
  m = dl_message_new (ENTRY_MEMBERS, sizeof *m);
  publish (s, m, copy_members (m, members));
}

/* Records whether an entry announces that it is leaving, and publishes the list if that
 * changed. */
static void
handle_entry_status (Members *s, const Daisyloft__Wire__EntryStatus *status)
{
  EntryMessage *m;
  bool known = g_hash_table_contains (s->leaving, status->host);

  if (status->leaving)
    {
      uint64_t *now = g_new (uint64_t, 1);

      *now = dl_clock_ms ();
      g_hash_table_replace (s->leaving, g_strdup (status->host), now);
    }
  else
    g_hash_table_remove (s->leaving, status->host);
  if (known == (status->leaving != 0) || s->members == NULL)
    return;
  m = dl_message_new (ENTRY_MEMBERS, sizeof *m);
  publish (s, m, copy_members (m, current_members (s)));
}

static void
members_handle (DlTask *task, const DlMessage *message)
{
  Members *s = dl_task_state (task);

  switch (message->type)
    {
    case ENTRY_ENTRY_STATUS:
      handle_entry_status (s, ((const EntryMessage *)message)->entry_status.status);
      break;
    case CONTROL_PEER_MEMBERS:
      handle_peer_members (s, ((const ControlMessage *)message)->members.members);
      break;
    case CONTROL_LINKS:
      s->open_links = ((const ControlMessage *)message)->links.open;
      break;
    default:
      break;
    }
}

static int
members_destroy (Members *s)
{
  if (s->members != NULL)
    dl_message_unref (s->members);
  g_hash_table_destroy (s->leaving);
  return 0;
}

static int
members_start (DlTask *task)
{
  Members *s = talloc_zero (NULL, Members);

  g_assert (s != NULL);
  s->task = task;
  s->http = dl_http_client_new (task, s);
  s->url = talloc_asprintf (s, "http://%s/v1/hosts", entry_settings (task)->platform);
  s->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->next = dl_timer_subscribe (task, s, 0, 0, start_poll, s);
  talloc_set_destructor (s, members_destroy);
  dl_task_set_state (task, s);
  return 0;
}

static json_object *
members_dump (DlTask *task)
{
  const Members *s = dl_task_state (task);
  const DlMembers *members = current_members (s);
  json_object *dump = json_object_new_object ();
  json_object *hosts = json_object_new_array ();

  json_object_object_add (dump, "revision",
                          json_object_new_uint64 (members ? members->revision : 0));
  for (size_t i = 0; members != NULL && i < members->count; i++)
    {
      json_object *host = json_object_new_object ();

      json_object_object_add (host, "name",
                              json_object_new_string (members->members[i].name));
      json_object_object_add (host, "leaving",
                              json_object_new_boolean (members->members[i].leaving));
      json_object_array_add (hosts, host);
    }
  json_object_object_add (dump, "hosts", hosts);
  return dump;
}

static DlPlugin members_plugin = {
  .name = "members",
  .order = 20,
  .subscriptions = ENTRY_SUBSCRIBE (ENTRY_ENTRY_STATUS)
                   | ENTRY_SUBSCRIBE (CONTROL_PEER_MEMBERS)
                   | ENTRY_SUBSCRIBE (CONTROL_LINKS),
  .start = members_start,
  .handle = members_handle,
  .dump = members_dump,
};
DL_PLUGIN_REGISTER (members_plugin)
