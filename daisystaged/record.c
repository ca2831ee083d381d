#include "record.h"

#include <glib.h>
#include <talloc.h>

#include "daisystaged.h"
#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "node/load_record.h"
#include "platform.h"
#include "policy/backoff.h"

/* What may have been lost is read again after the first time and a part of the second. */
#define CHECK_FIRST_MS  2000
#define CHECK_SPREAD_MS 2000

static const DlBackoffBounds failure_pauses = { .first_ms = 200, .max_ms = 4000 };

struct StageRecord
{
  DlTask *task;
  DlObjectClient *store;
  const char *name;  /* of the object */
  bool is_published; /* the record was read at least once */
  bool is_current;   /* the next two are what the store has, as far as is known */
  uint64_t revision; /* 0 when there is no object */
  DlSoundLoad stored;
  DlSoundLoad wanted;  /* not known when there is nothing to record */
  DlSoundLoad written; /* by the call in progress */
  bool calling;
  bool waiting; /* for the timer */
  DlBackoff failures;
  DlTimer *timer;
};

static void run (StageRecord *record);

static bool
is_same_load (const DlSoundLoad *a, const DlSoundLoad *b)
{
  return a->known == b->known && a->started_ms == b->started_ms && a->loads == b->loads;
}

static void
on_timer (DlTimer *timer, void *data)
{
  StageRecord *record = data;

  record->waiting = false;
  run (record);
}

/* The next call goes out after DELAY_MS, and reads. */
static void
read_later (StageRecord *record, uint64_t delay_ms)
{
  record->is_current = false;
  record->waiting = true;
  dl_timer_restart (record->timer, delay_ms);
}

static void
on_failed (StageRecord *record, int error)
{
  dl_backoff_failed (&record->failures, &failure_pauses, dl_clock_ms ());
  dl_log (DL_EVENT_STAGE_RECORD_FAILED, DL_ERRNO (error),
          DL_UINT ("loads", record->wanted.loads),
          DL_UINT ("pause_ms", record->failures.pause_ms));
  read_later (record, record->failures.pause_ms);
}

/* -------- reading -------- */

static void
publish (StageRecord *record)
{
  StageMessage *message = stage_message_new (STAGE_RECORD);

  message->record = record->stored;
  dl_kernel_publish (dl_task_kernel (record->task), message);
}

static void
log_read (const StageRecord *record)
{
  dl_log (DL_EVENT_STAGE_RECORD_READ, DL_UINT ("started_ms", record->stored.started_ms),
          DL_UINT ("loads", record->stored.loads),
          DL_UINT ("revision", record->revision));
}

static void
on_read (const DlObjectResult *result, void *data)
{
  StageRecord *record = data;
  bool is_found = result->error == 0 && result->count > 0;

  record->calling = false;
  if (result->error < 0 && result->error != DL_ERR_NOT_FOUND)
    {
      on_failed (record, result->error);
      return;
    }
  dl_backoff_succeeded (&record->failures);
  record->is_current = !record->waiting;
  record->revision = is_found ? result->objects[0].revision : 0;
  record->stored
      = is_found ? dl_load_record_read (result->objects[0].value) : (DlSoundLoad){ 0 };
  if (!record->is_published)
    log_read (record);
  record->is_published = true;
  publish (record);
  run (record);
}

/* -------- writing -------- */

static void
on_written (const DlObjectResult *result, void *data)
{
  StageRecord *record = data;

  record->calling = false;
  if (result->error < 0)
    {
      on_failed (record, result->error);
      return;
    }
  dl_backoff_succeeded (&record->failures);
  record->revision = result->revision;
  record->stored = record->written;
  publish (record);
  run (record);
}

static void
write_load (StageRecord *record)
{
  json_object *value = dl_load_record_value (&record->wanted);

  record->written = record->wanted;
  dl_object_put (record->store, record, platform_kind_loads, record->name,
                 record->revision, value, on_written, record);
  json_object_put (value);
}

/* -------- the next call -------- */

static bool
is_settled (const StageRecord *record)
{
  return !record->wanted.known
         || (record->is_current && is_same_load (&record->wanted, &record->stored));
}

static void
run (StageRecord *record)
{
  bool is_needed = !record->is_published || !is_settled (record);

  if (record->calling || record->waiting || !is_needed)
    return;
  record->calling = true;
  if (record->is_current)
    write_load (record);
  else
    dl_object_get (record->store, record, platform_kind_loads, record->name, on_read,
                   record);
}

const DlSoundLoad *
stage_record_stored (const StageRecord *record)
{
  return &record->stored;
}

bool
stage_record_may_end (const StageRecord *record)
{
  return is_settled (record) || record->failures.pause_ms != 0;
}

void
stage_record_set (StageRecord *record, const DlSoundLoad *load)
{
  record->wanted = *load;
  run (record);
}

void
stage_record_check (StageRecord *record)
{
  read_later (record, CHECK_FIRST_MS + dl_random_uint64 () % CHECK_SPREAD_MS);
}

/* The store may have come back from an older copy.  No call may be started here. */
static void
on_new_era (void *data)
{
  stage_record_check (data);
}

StageRecord *
stage_record_new (DlTask *task,
                  const void *owner,
                  const DlNodeSettings *settings,
                  DlObjectClient *store)
{
  StageRecord *record = talloc_zero (owner, StageRecord);

  g_assert (record != NULL);
  record->task = task;
  record->store = store;
  record->name = settings->name;
  record->waiting = true;
  record->timer = dl_timer_subscribe (task, record, 1, 0, on_timer, record);
  dl_object_era_subscribe (dl_object_client_era (store), record, on_new_era, record);
  return record;
}
