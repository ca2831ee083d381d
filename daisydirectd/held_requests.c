#include "held_requests.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "node/object_watch.h"
#include "platform.h"

/* Several entries quarantine a request at the same time.  Each waits for a random part of
 * this, and writes only if none has written by then. */
#define WRITE_SPREAD_MS 4000
#define RETRY_MAX_MS    4000
#define RELIST_MS       2000
#define TRIALS_KEY      "trials"

/* One request. */
typedef struct
{
  DirectHeldRequests *owner;
  DlSignature id;
  uint64_t revision; /* of its object; 0: none is known */
  unsigned trials;   /* that were sent, as far as is known here */
  unsigned kept;     /* of these, those that the object tells */
  bool is_held;      /* here */
  bool is_writing;
  unsigned writing; /* number of trials that is being written */
  DlTimer *timer;   /* until it is written; NULL before the first time */
} Held;

struct DirectHeldRequests
{
  DlTask *task;
  DlObjectClient *store;
  GHashTable *requests; /* object name to Held */
};

/* -------- the requests -------- */

/* The name of the object. */
static const char *
object_name (const Held *h)
{
  return dl_signature_digest (&h->id);
}

static void
held_free (gpointer data)
{
  talloc_free (data);
}

static Held *
get_held (DirectHeldRequests *held, DlSignature id)
{
  Held *h = g_hash_table_lookup (held->requests, dl_signature_digest (&id));

  if (h != NULL)
    return h;
  h = talloc_zero (held, Held);
  g_assert (h != NULL);
  h->owner = held;
  h->id = id;
  g_hash_table_insert (held->requests, (gpointer)object_name (h), h);
  return h;
}

/* -------- writing -------- */

static void on_timer (DlTimer *timer, void *data);

static void
write_later (Held *h)
{
  uint64_t delay_ms = 1 + dl_random_uint64 () % WRITE_SPREAD_MS;

  dl_timer_set (&h->timer, h->owner->task, h, delay_ms, on_timer, h);
}

static bool
needs_writing (const Held *h)
{
  return h->is_held && !h->is_writing && (h->revision == 0 || h->trials > h->kept);
}

static void
on_written (const DlObjectResult *result, void *data)
{
  Held *h = data;

  h->is_writing = false;
  if (result->error == 0)
    {
      h->revision = result->revision;
      h->kept = h->writing;
    }
  /* After a conflict the watch brings what another entry wrote. */
  else if (result->error != DL_ERR_CONFLICT)
    dl_log (DL_EVENT_HELD_NOT_KEPT, DL_TEXT ("signature", h->id.text),
            DL_ERRNO (result->error));
  if (needs_writing (h))
    write_later (h);
}

static void
write_object (Held *h)
{
  json_object *value = json_object_new_object ();

  json_object_object_add (value, TRIALS_KEY, json_object_new_int ((int)h->trials));
  h->is_writing = true;
  h->writing = h->trials;
  dl_object_put (h->owner->store, h, platform_kind_held, object_name (h), h->revision,
                 value, on_written, h);
  json_object_put (value);
}

static void
on_timer (DlTimer *timer, void *data)
{
  Held *h = data;

  if (needs_writing (h))
    write_object (h);
}

static void
on_deleted (const DlObjectResult *result, void *data)
{
  if (result->error < 0 && result->error != DL_ERR_NOT_FOUND
      && result->error != DL_ERR_CONFLICT)
    dl_log (DL_EVENT_HELD_NOT_KEPT, DL_ERRNO (result->error));
}

static void
release (DirectHeldRequests *held, Held *h)
{
  if (h->revision != 0)
    dl_object_delete (held->store, held, platform_kind_held, object_name (h), h->revision,
                      on_deleted, held);
  g_hash_table_remove (held->requests, object_name (h));
}

void
direct_held_requests_change (DirectHeldRequests *held, const DirectMessage *message)
{
  Held *h = get_held (held, message->held.id);

  if (!message->held.is_held)
    {
      release (held, h);
      return;
    }
  h->is_held = true;
  h->trials = MAX (h->trials, message->held.trials);
  if (!needs_writing (h))
    return;
  if (h->revision != 0)
    write_object (h);
  else
    write_later (h);
}

/* -------- reading -------- */

static unsigned
read_trials (json_object *value)
{
  json_object *member;

  if (!json_object_is_type (value, json_type_object)
      || !json_object_object_get_ex (value, TRIALS_KEY, &member))
    return 0;
  return (unsigned)CLAMP (json_object_get_int (member), 0, DL_QUARANTINE_TRIALS_MAX);
}

static void
publish (const Held *h)
{
  DirectMessage *message = direct_message_new (DIRECT_HELD_KEPT);

  message->held.id = h->id;
  message->held.is_held = true;
  message->held.trials = h->trials;
  dl_kernel_publish (dl_task_kernel (h->owner->task), message);
}

/* The object of a request that is still held here is written again: the store may have
 * come back from an older copy. */
static void
on_object_deleted (DirectHeldRequests *held, const char *name)
{
  Held *h = g_hash_table_lookup (held->requests, name);

  if (h == NULL)
    return;
  h->revision = 0;
  if (h->is_held)
    write_later (h);
  else
    g_hash_table_remove (held->requests, name);
}

static void
on_object (const DlObject *object, void *data)
{
  DirectHeldRequests *held = data;
  Held *h;

  if (object->deleted)
    {
      on_object_deleted (held, object->name);
      return;
    }
  h = get_held (held, dl_signature_of_digest (object->name));
  h->revision = object->revision;
  h->kept = read_trials (object->value);
  h->trials = MAX (h->trials, h->kept);
  publish (h);
}

static int
held_destroy (DirectHeldRequests *held)
{
  g_hash_table_destroy (held->requests);
  return 0;
}

DirectHeldRequests *
direct_held_requests_new (DlTask *task,
                          const void *owner,
                          DlObjectClient *store,
                          const DirectHeldOptions *options)
{
  DirectHeldRequests *held = talloc_zero (owner, DirectHeldRequests);

  g_assert (held != NULL);
  held->task = task;
  held->store = store;
  held->requests = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, held_free);
  talloc_set_destructor (held, held_destroy);
  dl_object_watch_new (task, held, store,
                       &(DlObjectWatchOptions){
                           .kind = platform_kind_held,
                           .wait_ms = DIRECT_HELD_WAIT_MS,
                           .reader_wait_ms = DIRECT_HELD_WAIT_MS,
                           .source = options->source,
                           .relay = options->relay,
                           .retry_max_ms = RETRY_MAX_MS,
                           .relist_spread_ms = RELIST_MS,
                           .on_object = on_object,
                           .data = held,
                       });
  return held;
}
