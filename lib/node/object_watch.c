#include "node/object_watch.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/error.h"

#define RETRY_FIRST_MS 150
/* Pause after a watch that returned no object in the first half of its wait. */
#define EARLY_PAUSE_MS 100
/* A response may take this long beyond the watch's wait without counting as a gap. */
#define CONTINUOUS_SLACK_MS 1000
/* A reader answers a watch when its copy is synced again, which may be just after the
 * wait that the reader itself uses; hence a watch at a reader waits this much longer. */
#define RELAY_WAIT_SLACK_MS 100

struct DlObjectWatch
{
  DlTask *task;
  DlObjectClient *client; /* of the store */
  DlObjectWatchOptions options;
  GHashTable *revisions; /* object name to its revision, stored as a pointer */
  GHashTable *listed; /* names that the list in progress has shown; NULL while watching */
  char *list_after;   /* name after which the next page starts; NULL at the first */
  uint64_t list_revision; /* of the first page of the list in progress */
  uint64_t revision;      /* all changes up to it are known */
  uint64_t sent_wait_ms;  /* wait of the watch request in progress */
  uint64_t sent_ms; /* when the request in progress was sent; of a list, the first page */
  uint64_t synced_ms;     /* 0 before the first list is complete */
  uint64_t retry_ms;      /* backoff; 0 while requests succeed */
  bool lost;              /* the store did not answer last time */
  bool via_relay;         /* the request in progress goes to a reader */
  bool is_reader;         /* this process reads the store for others */
  DlObjectClient *server; /* that the request in progress was sent to */
  DlTimer *timer;
};

static void send_list (DlObjectWatch *watch);
static void send_watch (DlObjectWatch *watch);

/* -------- the known objects -------- */

static uint64_t
known_revision (const DlObjectWatch *watch, const char *name)
{
  return (uint64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (watch->revisions, name));
}

static void
notify (DlObjectWatch *watch, const DlObject *object)
{
  if (watch->options.relay != NULL)
    dl_object_relay_update (watch->options.relay, object);
  watch->options.on_object (object, watch->options.data);
}

static void
notify_deleted (DlObjectWatch *watch, const char *name, uint64_t revision)
{
  DlObject object = {
    .kind = (char *)watch->options.kind,
    .name = (char *)name,
    .revision = revision,
    .deleted = true,
  };

  notify (watch, &object);
}

static void
apply_object (DlObjectWatch *watch, const DlObject *object)
{
  if (object->revision <= known_revision (watch, object->name))
    return;
  if (object->deleted)
    {
      if (g_hash_table_remove (watch->revisions, object->name))
        notify_deleted (watch, object->name, object->revision);
      return;
    }
  g_hash_table_insert (watch->revisions, g_strdup (object->name),
                       GSIZE_TO_POINTER ((gsize)object->revision));
  notify (watch, object);
}

/* Deletes the objects that a complete list did not show. */
static void
drop_unlisted (DlObjectWatch *watch)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, watch->revisions);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (watch->listed, name))
      {
        char *copy = g_strdup (name);

        g_hash_table_iter_remove (&iter);
        notify_deleted (watch, copy, watch->list_revision);
        g_free (copy);
      }
}

static void
set_contact (DlObjectWatch *watch, int error)
{
  bool lost = error < 0;

  if (watch->lost == lost)
    return;
  watch->lost = lost;
  if (lost && watch->options.relay != NULL)
    dl_object_relay_set_unreachable (watch->options.relay, watch->options.kind);
  if (watch->options.on_contact != NULL)
    watch->options.on_contact (error, watch->options.data);
}

/* The known objects were current AGE_MS before the request was sent, or later. */
static void
set_synced (DlObjectWatch *watch, uint64_t age_ms)
{
  if (watch->sent_ms > age_ms)
    watch->synced_ms = MAX (watch->synced_ms, watch->sent_ms - age_ms);
  watch->retry_ms = 0;
  if (watch->options.relay != NULL)
    dl_object_relay_set_synced (watch->options.relay, watch->options.kind,
                                watch->revision, watch->synced_ms);
  if (watch->options.on_synced != NULL)
    watch->options.on_synced (watch->options.data);
}

/* -------- requests -------- */

static void
on_timer (DlTimer *timer, void *data)
{
  DlObjectWatch *watch = data;

  if (watch->synced_ms == 0 || watch->listed != NULL)
    send_list (watch);
  else
    send_watch (watch);
}

static void
run_after (DlObjectWatch *watch, uint64_t delay_ms)
{
  if (watch->timer == NULL)
    watch->timer = dl_timer_subscribe (watch->task, watch, delay_ms, 0, on_timer, watch);
  else
    dl_timer_restart (watch->timer, delay_ms);
}

static void
retry_later (DlObjectWatch *watch, const DlObjectResult *result)
{
  uint64_t doubled = MAX (watch->retry_ms * 2, RETRY_FIRST_MS);

  set_contact (watch, result->error);
  watch->retry_ms = MIN (doubled, watch->options.retry_max_ms);
  run_after (watch,
             watch->retry_ms / 2 + dl_random_uint64 () % (watch->retry_ms / 2 + 1));
}

static void
restart_list (DlObjectWatch *watch)
{
  if (watch->listed != NULL)
    g_hash_table_destroy (watch->listed);
  watch->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  TALLOC_FREE (watch->list_after);
}

/* The reader does not answer, or its copy is stale: reports that and tries again later,
 * with another reader or the store. */
static void
retry_without_relay (DlObjectWatch *watch, int error)
{
  run_after (watch, dl_relay_source_report_failure (watch->options.source, watch->server,
                                                    watch->options.kind, error));
}

/* Chooses between the store and a reader for the next watch. */
static void
choose_server (DlObjectWatch *watch)
{
  DlObjectClient *relay = NULL;

  if (watch->options.source != NULL)
    relay = dl_relay_source_choose (watch->options.source, &watch->is_reader);
  watch->via_relay = relay != NULL;
  watch->server = relay != NULL ? relay : watch->client;
}

/* Chooses between them for a list.  Only the first list may be read from a reader: its
 * copy may be older than what is known here, so that a later list would show deleted
 * objects and lack new ones. */
static void
choose_list_server (DlObjectWatch *watch)
{
  if (watch->synced_ms == 0)
    {
      choose_server (watch);
      return;
    }
  watch->via_relay = false;
  watch->server = watch->client;
}

static void
end_list (DlObjectWatch *watch, uint64_t age_ms)
{
  drop_unlisted (watch);
  g_hash_table_destroy (watch->listed);
  watch->listed = NULL;
  TALLOC_FREE (watch->list_after);
  watch->revision = watch->list_revision;
  if (watch->options.relay != NULL)
    dl_object_relay_set_listed (watch->options.relay, watch->options.kind,
                                watch->revision);
  set_synced (watch, age_ms);
  send_watch (watch);
}

static void
on_list (const DlObjectResult *result, void *data)
{
  DlObjectWatch *watch = data;

  if (result->error < 0 && watch->via_relay)
    {
      restart_list (watch);
      retry_without_relay (watch, result->error);
      return;
    }
  if (result->error < 0 && result->error != DL_ERR_NOT_FOUND)
    {
      restart_list (watch);
      retry_later (watch, result);
      return;
    }
  set_contact (watch, 0);
  /* The watch starts from the first page's revision, so it shows what changes while later
   * pages are read. */
  if (watch->list_after == NULL)
    watch->list_revision = result->revision;
  for (size_t i = 0; i < result->count; i++)
    {
      g_hash_table_add (watch->listed, g_strdup (result->objects[i].name));
      apply_object (watch, &result->objects[i]);
    }
  if (!result->more || result->count == 0)
    {
      end_list (watch, result->age_ms);
      return;
    }
  TALLOC_FREE (watch->list_after);
  watch->list_after = talloc_strdup (watch, result->objects[result->count - 1].name);
  send_list (watch);
}

static void
send_list (DlObjectWatch *watch)
{
  if (watch->listed == NULL)
    restart_list (watch);
  if (watch->list_after == NULL)
    {
      watch->sent_ms = dl_clock_ms ();
      choose_list_server (watch);
    }
  dl_object_list_after (watch->server, watch, watch->options.kind, watch->list_after,
                        on_list, watch);
}

/* The wait of the next watch. */
static uint64_t
wait_ms (const DlObjectWatch *watch)
{
  const DlObjectWatchOptions *o = &watch->options;

  if (watch->via_relay)
    return o->reader_wait_ms + RELAY_WAIT_SLACK_MS;
  return watch->is_reader ? o->reader_wait_ms : o->wait_ms;
}

/* Pause after a watch that returned objects. */
static uint64_t
pause_ms (const DlObjectWatch *watch)
{
  if (watch->via_relay)
    return watch->options.relay_pause_ms;
  return watch->is_reader ? watch->options.reader_pause_ms : watch->options.pause_ms;
}

/* Pause before the next watch, after one that returned COUNT objects. */
static uint64_t
next_pause_ms (const DlObjectWatch *watch, size_t count)
{
  uint64_t lasted_ms = dl_clock_ms () - watch->sent_ms;

  if (count > 0 || (watch->via_relay && pause_ms (watch) == 0))
    return pause_ms (watch);
  return lasted_ms < watch->sent_wait_ms / 2 ? EARLY_PAUSE_MS : 0;
}

static void
on_watch (const DlObjectResult *result, void *data)
{
  DlObjectWatch *watch = data;
  uint64_t next_ms;

  if (result->error == DL_ERR_GONE)
    {
      restart_list (watch);
      send_list (watch);
      return;
    }
  if (result->error < 0 && watch->via_relay)
    {
      retry_without_relay (watch, result->error);
      return;
    }
  if (result->error < 0)
    {
      retry_later (watch, result);
      return;
    }
  set_contact (watch, 0);
  for (size_t i = 0; i < result->count; i++)
    apply_object (watch, &result->objects[i]);
  watch->revision = MAX (watch->revision, result->revision);
  set_synced (watch, result->age_ms);
  if (watch->via_relay)
    dl_relay_source_report_success (watch->options.source);
  next_ms = next_pause_ms (watch, result->count);
  if (next_ms > 0)
    run_after (watch, next_ms);
  else
    send_watch (watch);
}

static void
send_watch (DlObjectWatch *watch)
{
  choose_server (watch);
  watch->sent_ms = dl_clock_ms ();
  watch->sent_wait_ms = wait_ms (watch);
  dl_object_watch (watch->server, watch, watch->options.kind, watch->revision,
                   watch->sent_wait_ms, on_watch, watch);
}

static int
watch_destroy (DlObjectWatch *watch)
{
  g_hash_table_destroy (watch->revisions);
  if (watch->listed != NULL)
    g_hash_table_destroy (watch->listed);
  return 0;
}

DlObjectWatch *
dl_object_watch_new (DlTask *task,
                     const void *owner,
                     DlObjectClient *client,
                     const DlObjectWatchOptions *options)
{
  DlObjectWatch *watch = talloc_zero (owner, DlObjectWatch);

  g_assert (watch != NULL && options->on_object != NULL);
  watch->task = task;
  watch->client = client;
  watch->options = *options;
  watch->revisions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (watch, watch_destroy);
  send_list (watch);
  return watch;
}

uint64_t
dl_object_watch_synced_ms (const DlObjectWatch *watch)
{
  return watch->synced_ms;
}

bool
dl_object_watch_is_continuous (const DlObjectWatch *watch)
{
  return watch->synced_ms != 0 && watch->listed == NULL && !watch->lost
         && dl_clock_ms () - watch->sent_ms <= watch->sent_wait_ms + CONTINUOUS_SLACK_MS;
}
