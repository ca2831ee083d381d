/*
 * The host list: polled from the platform by entries that watch it, passed on by relays
 * to the others.  Publishes MEMBERS when it changed.
 *
 * Entries that say themselves that they are leaving are marked so, ahead of the list.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "control.h"
#include "kernel/log.h"

/* An entry's word that it leaves holds this long; by then the list knows, or the entry
 * has been replaced by a process that told only some of its peers. */
#define LEAVING_HOLD_MS 30000

typedef struct
{
  DlTask *task;
  DlHttpClient *http;
  void *call; /* owner of the call in progress */
  char *url;
  DlTimer *next;
  EntryMessage *members; /* held; NULL before the first */
  GHashTable *leaving;   /* names of entries that said so, to when (uint64_t, ms) */
  size_t open_links;
} Members;

static const DlMembers *
current (const Members *s)
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
      const uint64_t *said_ms
          = g_hash_table_lookup (s->leaving, members->members[i].name);

      if (said_ms != NULL && dl_clock_ms () - *said_ms < LEAVING_HOLD_MS)
        members->members[i].leaving = true;
    }
}

/* Takes over M, whose list is new. */
static void
publish (Members *s, EntryMessage *m, DlMembers *members)
{
  mark_leaving (s, members);
  if (s->members != NULL && members_equal (current (s), members))
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
is_older (const Members *s, uint64_t revision)
{
  return s->members != NULL && revision < current (s)->revision;
}

/* -------- polling -------- */

static void
take_list (Members *s, DlStr text)
{
  EntryMessage *m = dl_message_new (ENTRY_MEMBERS, sizeof *m);
  DlMembers *members = NULL;
  char *error = NULL;

  if (dl_members_from_json (m, text, &members, &error) < 0)
    {
      dl_log (DL_EVENT_HOST_LIST_INVALID, DL_TEXT ("reason", error));
      dl_message_unref (m);
    }
  else if (is_older (s, members->revision))
    dl_message_unref (m);
  else
    publish (s, m, members);
}

static void
on_list (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Members *s = data;

  if (result->error == 0 && result->status == 200)
    take_list (s, result->body);
  dl_timer_restart (s->next, entry_settings (s->task)->host_list_interval_ms);
}

static void
start_poll (DlTimer *timer, void *data)
{
  Members *s = data;
  const EntrySettings *settings = entry_settings (s->task);

  TALLOC_FREE (s->call);
  if (!control_reads_platform (s->task, current (s), s->open_links))
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
                    .on_done = on_list,
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
take_peer_members (Members *s, const DlMembers *members)
{
  EntryMessage *m;

  if (is_older (s, members->revision))
    return;
  m = dl_message_new (ENTRY_MEMBERS, sizeof *m);
  publish (s, m, copy_members (m, members));
}

/* An entry's own word on whether it leaves. */
static void
take_entry_status (Members *s, const Daisyloft__Wire__EntryStatus *status)
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
  publish (s, m, copy_members (m, current (s)));
}

static void
members_handle (DlTask *task, const DlMessage *message)
{
  Members *s = dl_task_state (task);

  switch (message->type)
    {
    case ENTRY_ENTRY_STATUS:
      take_entry_status (s, ((const EntryMessage *)message)->entry_status.status);
      break;
    case CONTROL_PEER_MEMBERS:
      take_peer_members (s, ((const ControlMessage *)message)->members.members);
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
  const DlMembers *members = current (s);
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
