/*
 * Collects the reports of slots and entries, and writes them to the platform as the
 * objects status/DATA_CENTER.
 *
 * Every relay of a data centre collects reports.  Of the relays that are connected, the
 * one ranked first writes the object, at most once a second and only after a change.
 * Values that change with every request (load) never cause a write, and progress causes
 * writes less often the larger the object is, so that the bytes sent to all watchers stay
 * bounded as the fleet grows.
 */
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "relay.h"
#include "wire_json.h"

/* Slots report every 2 s.  One that has not reported for this long is marked lost, and an
 * entry is removed. */
#define SLOT_LOST_MS 4500
/* A relay that has just started waits this long for the reports of slots before it
 * writes. */
#define GRACE_MS 3000
/* A relay takes over the writing when no higher-ranked one has been connected for this
 * long. */
#define TAKEOVER_DELAY_MS 3000
#define WRITE_INTERVAL_MS 1000
#define PROGRESS_MIN_MS   2000
#define PROGRESS_BYTES_S \
  50000 /* written for progress, over all data centres of this relay */
#define READ_BACK_DELAY_MS 300

DL_METRIC (metric_writes,
           DL_METRIC_COUNTER,
           "daisy_status_writes_total",
           "Status objects written.")
DL_METRIC (metric_slots,
           DL_METRIC_GAUGE,
           "daisy_slots_heard",
           "Slots that currently report to this relay.")

/* Kinds of change to a status object, in order of urgency. */
typedef enum
{
  CHANGE_NONE,
  CHANGE_PROGRESS, /* only counts of chunks and bytes */
  CHANGE_STATE,    /* anything else that is worth a write */
} Change;

/* Status of one slot. */
typedef struct
{
  char *host;
  char *data_center;
  char *region;
  char *service;
  Daisyloft__Wire__SlotStatus *status; /* last report; NULL: none yet */
  uint64_t reported_ms;                /* last report, or creation of the row */
  bool lost;
} SlotRow;

/* Status of another entry. */
typedef struct
{
  Daisyloft__Wire__EntryStatus *status;
  uint64_t reported_ms;
} EntryRow;

/* Writes the status object of one data centre. */
typedef struct
{
  StatusTable *table;
  char *region;
  char *data_center;
  char *name;    /* of the object */
  Change change; /* not yet written */
  void *call;    /* owner of the call in progress; NULL for none */
  bool busy;
  bool must_read;    /* the object's revision is unknown: read it before the next write */
  uint64_t revision; /* of the object; 0: it does not exist */
  uint64_t call_ended_ms;
  uint64_t written_ms;
  size_t written_bytes;
  uint64_t no_higher_since_ms; /* since when no higher-ranked relay is connected; 0: one
                                  is, or none exists */
} Writer;

struct StatusTable
{
  Relay *relay;
  DlObjectClient *client;
  uint64_t started_ms;
  GHashTable *slots;   /* name to SlotRow */
  GHashTable *entries; /* name to EntryRow */
  GPtrArray *writers;  /* of Writer, for the data centres that this entry is a relay of */
};

/* -------- rows as JSON -------- */

static json_object *
slot_row_to_json (const SlotRow *row)
{
  Daisyloft__Wire__SlotStatus empty = DAISYLOFT__WIRE__SLOT_STATUS__INIT;
  json_object *json;

  empty.host = row->host;
  empty.service = row->service;
  empty.region = row->region;
  empty.data_center = row->data_center;
  json = wire_json_new (row->status != NULL ? &row->status->base : &empty.base);
  json_object_object_add (json, "lost", json_object_new_boolean (row->lost));
  return json;
}

/* -------- writing -------- */

static int
compare_rows (const void *a, const void *b)
{
  return strcmp ((*(const SlotRow *const *)a)->host, (*(const SlotRow *const *)b)->host);
}

static json_object *
hosts_to_json (const Writer *w)
{
  json_object *list = json_object_new_array ();
  GPtrArray *rows = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer row;

  g_hash_table_iter_init (&iter, w->table->slots);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    if (strcmp (((SlotRow *)row)->data_center, w->data_center) == 0)
      g_ptr_array_add (rows, row);
  g_ptr_array_sort (rows, compare_rows);
  for (guint i = 0; i < rows->len; i++)
    json_object_array_add (list, slot_row_to_json (g_ptr_array_index (rows, i)));
  g_ptr_array_free (rows, TRUE);
  return list;
}

static json_object *
own_entry_to_json (const Relay *relay)
{
  const EntrySettings *settings = entry_settings (relay->task);
  Daisyloft__Wire__EntryStatus status = DAISYLOFT__WIRE__ENTRY_STATUS__INIT;

  status.host = (char *)settings->name;
  status.region = (char *)settings->region;
  status.data_center = (char *)settings->data_center;
  status.settings_revision = relay->fleet != NULL ? relay->fleet->fleet.revision : 0;
  status.leaving = relay->leaving;
  return wire_json_new (&status.base);
}

static json_object *
entries_to_json (const Writer *w)
{
  const Relay *relay = w->table->relay;
  json_object *list = json_object_new_array ();
  GHashTableIter iter;
  gpointer row;

  if (strcmp (entry_settings (relay->task)->data_center, w->data_center) == 0)
    json_object_array_add (list, own_entry_to_json (relay));
  g_hash_table_iter_init (&iter, w->table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    if (strcmp (((EntryRow *)row)->status->data_center, w->data_center) == 0)
      json_object_array_add (list, wire_json_new (&((EntryRow *)row)->status->base));
  return list;
}

static json_object *
writer_value (const Writer *w)
{
  json_object *value = json_object_new_object ();
  const char *self = entry_settings (w->table->relay->task)->name;

  json_object_object_add (value, "writer", json_object_new_string (self));
  json_object_object_add (value, "at_ms", json_object_new_uint64 (dl_wall_clock_ms ()));
  json_object_object_add (value, "hosts", hosts_to_json (w));
  json_object_object_add (value, "entries", entries_to_json (w));
  return value;
}

static void
writer_call_done (Writer *w)
{
  w->busy = false;
  w->call_ended_ms = dl_clock_ms ();
}

static void
on_read_back (const DlObjectResult *result, void *data)
{
  Writer *w = data;

  writer_call_done (w);
  if (result->error == 0)
    w->revision = result->objects[0].revision;
  else if (result->error == DL_ERR_NOT_FOUND)
    w->revision = 0;
  else
    return;
  w->must_read = false;
}

static void
on_written (const DlObjectResult *result, void *data)
{
  Writer *w = data;

  writer_call_done (w);
  if (result->error == 0)
    {
      w->revision = result->revision;
      dl_metric_add (&metric_writes, 1);
      return;
    }
  w->change = CHANGE_STATE;
  w->must_read = result->error == DL_ERR_CONFLICT || result->error == DL_ERR_UNKNOWN;
  if (!w->must_read)
    dl_log (DL_EVENT_STATUS_REFUSED, DL_TEXT ("name", w->name), DL_ERRNO (result->error));
}

static void
writer_call (Writer *w)
{
  json_object *value;

  TALLOC_FREE (w->call);
  w->call = talloc_new (w);
  w->busy = true;
  if (w->must_read)
    {
      dl_object_get (w->table->client, w->call, ENTRY_KIND_STATUS, w->name, on_read_back,
                     w);
      return;
    }
  value = writer_value (w);
  w->change = CHANGE_NONE;
  w->written_ms = dl_clock_ms ();
  w->written_bytes
      = strlen (json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN));
  dl_object_put (w->table->client, w->call, ENTRY_KIND_STATUS, w->name, w->revision,
                 value, on_written, w);
  json_object_put (value);
}

/* Returns true when this relay is to write: no higher-ranked relay of the data centre is
 * connected, and none has been for TAKEOVER_DELAY_MS if there is one. */
static bool
is_active_writer (Writer *w)
{
  Relay *relay = w->table->relay;
  const DlMember *relays[DL_RELAYS];
  const char *self = entry_settings (relay->task)->name;
  size_t count = dl_members_relays (relay->members->members.members, w->region,
                                    w->data_center, relays);
  uint64_t now = dl_clock_ms ();

  for (size_t i = 0; i < count && strcmp (relays[i]->name, self) != 0; i++)
    if (relay_link_find (relay, relays[i]->name) != NULL)
      {
        w->no_higher_since_ms = 0;
        return false;
      }
    else if (w->no_higher_since_ms == 0)
      w->no_higher_since_ms = now;
  return w->no_higher_since_ms == 0 || now - w->no_higher_since_ms >= TAKEOVER_DELAY_MS;
}

/* Returns the minimum time between two writes. */
static uint64_t
change_interval_ms (const Writer *w)
{
  uint64_t spread;

  switch (w->change)
    {
    case CHANGE_STATE:
      return WRITE_INTERVAL_MS;
    case CHANGE_PROGRESS:
      spread = w->written_bytes * w->table->writers->len * 1000 / PROGRESS_BYTES_S;
      return MAX (spread, PROGRESS_MIN_MS);
    case CHANGE_NONE:
      break;
    }
  return UINT64_MAX;
}

static void
writer_tick (Writer *w, uint64_t now)
{
  if (w->busy || w->table->relay->leaving || now - w->call_ended_ms < READ_BACK_DELAY_MS)
    return;
  if (w->change == CHANGE_NONE || now - w->written_ms < change_interval_ms (w))
    return;
  if (now - w->table->started_ms >= GRACE_MS && is_active_writer (w))
    writer_call (w);
}

/* -------- reports -------- */

/* Schedules a write of the status object of the data centre. */
static void
record_change (StatusTable *table, const char *data_center, Change change)
{
  for (guint i = 0; i < table->writers->len; i++)
    {
      Writer *w = g_ptr_array_index (table->writers, i);

      if (strcmp (w->data_center, data_center) == 0 && w->change < change)
        w->change = change;
    }
}

static bool
bytes_equal (ProtobufCBinaryData a, ProtobufCBinaryData b)
{
  return dl_str_equal (DL_BYTES_STR (a), DL_BYTES_STR (b));
}

static Change
compare_status (const Daisyloft__Wire__SlotStatus *a,
                const Daisyloft__Wire__SlotStatus *b)
{
  if (a->state != b->state || a->accepts_requests != b->accepts_requests
      || a->settings_revision != b->settings_revision || a->incarnation != b->incarnation
      || a->directive_revision != b->directive_revision
      || strcmp (a->rollout, b->rollout) != 0 || strcmp (a->failure, b->failure) != 0
      || strcmp (a->service, b->service) != 0
      || !bytes_equal (a->serving_version, b->serving_version)
      || !bytes_equal (a->target_version, b->target_version)
      || (a->chunks_verified == a->chunks_total)
             != (b->chunks_verified == b->chunks_total))
    return CHANGE_STATE;
  if (a->chunks_verified != b->chunks_verified || a->chunks_total != b->chunks_total
      || a->origin_bytes != b->origin_bytes || a->received_bytes != b->received_bytes)
    return CHANGE_PROGRESS;
  return CHANGE_NONE;
}

static Daisyloft__Wire__SlotStatus *
copy_slot_status (const Daisyloft__Wire__SlotStatus *from)
{
  size_t size = daisyloft__wire__slot_status__get_packed_size (from);
  uint8_t *packed = talloc_size (NULL, size + 1);
  Daisyloft__Wire__SlotStatus *copy;

  daisyloft__wire__slot_status__pack (from, packed);
  copy = daisyloft__wire__slot_status__unpack (NULL, size, packed);
  talloc_free (packed);
  return copy;
}

static int
slot_row_destroy (SlotRow *row)
{
  if (row->status != NULL)
    daisyloft__wire__slot_status__free_unpacked (row->status, NULL);
  return 0;
}

/* Returns the row of HOST, adding one if there is none. */
static SlotRow *
slot_row_get (StatusTable *table, const char *host)
{
  SlotRow *row = g_hash_table_lookup (table->slots, host);

  if (row != NULL)
    return row;
  row = talloc_zero (table, SlotRow);
  row->host = talloc_strdup (row, host);
  talloc_set_destructor (row, slot_row_destroy);
  g_hash_table_insert (table->slots, row->host, row);
  return row;
}

static void
slot_row_set_location (SlotRow *row,
                       const char *region,
                       const char *data_center,
                       const char *service)
{
  talloc_free (row->region);
  talloc_free (row->data_center);
  talloc_free (row->service);
  row->region = talloc_strdup (row, region);
  row->data_center = talloc_strdup (row, data_center);
  row->service = talloc_strdup (row, service);
}

void
status_table_update_slot (StatusTable *table, const Daisyloft__Wire__SlotStatus *status)
{
  SlotRow *row = slot_row_get (table, status->host);
  Change change = row->status == NULL || row->lost ? CHANGE_STATE
                                                   : compare_status (row->status, status);

  if (row->status == NULL || row->lost)
    {
      dl_log (DL_EVENT_HOST_HEARD, DL_TEXT ("host", status->host));
      slot_row_set_location (row, status->region, status->data_center, status->service);
    }
  if (row->status != NULL)
    daisyloft__wire__slot_status__free_unpacked (row->status, NULL);
  row->status = copy_slot_status (status);
  row->reported_ms = dl_clock_ms ();
  row->lost = false;
  record_change (table, row->data_center, change);
}

static int
entry_row_destroy (EntryRow *row)
{
  if (row->status != NULL)
    daisyloft__wire__entry_status__free_unpacked (row->status, NULL);
  return 0;
}

static Daisyloft__Wire__EntryStatus *
copy_entry_status (const Daisyloft__Wire__EntryStatus *from)
{
  size_t size = daisyloft__wire__entry_status__get_packed_size (from);
  uint8_t *packed = talloc_size (NULL, size + 1);
  Daisyloft__Wire__EntryStatus *copy;

  daisyloft__wire__entry_status__pack (from, packed);
  copy = daisyloft__wire__entry_status__unpack (NULL, size, packed);
  talloc_free (packed);
  return copy;
}

void
status_table_update_entry (StatusTable *table, const Daisyloft__Wire__EntryStatus *status)
{
  EntryRow *row = g_hash_table_lookup (table->entries, status->host);
  bool same = row != NULL && row->status->settings_revision == status->settings_revision
              && row->status->leaving == status->leaving;

  if (row == NULL)
    {
      row = talloc_zero (table, EntryRow);
      talloc_set_destructor (row, entry_row_destroy);
    }
  else
    {
      g_hash_table_steal (table->entries, row->status->host);
      daisyloft__wire__entry_status__free_unpacked (row->status, NULL);
    }
  row->status = copy_entry_status (status);
  row->reported_ms = dl_clock_ms ();
  g_hash_table_insert (table->entries, row->status->host, row);
  if (!same)
    record_change (table, status->data_center, CHANGE_STATE);
}

void
status_table_self_changed (StatusTable *table)
{
  record_change (table, entry_settings (table->relay->task)->data_center, CHANGE_STATE);
}

/* -------- members -------- */

static Writer *
find_writer (const StatusTable *table, const char *data_center)
{
  for (guint i = 0; i < table->writers->len; i++)
    {
      Writer *w = g_ptr_array_index (table->writers, i);

      if (strcmp (w->data_center, data_center) == 0)
        return w;
    }
  return NULL;
}

static Writer *
writer_new (StatusTable *table, const ControlDataCenter *dc)
{
  Writer *w = talloc_zero (table, Writer);

  w->table = table;
  w->region = talloc_strdup (w, dc->region);
  w->data_center = talloc_strdup (w, dc->data_center);
  w->name = talloc_strdup (w, dc->data_center);
  w->must_read = true;
  w->change = CHANGE_STATE;
  return w;
}

static void
update_writers (StatusTable *table, const DlMembers *members)
{
  GPtrArray *writers = g_ptr_array_new ();
  char *names = talloc_strdup (NULL, "");
  size_t count;
  ControlDataCenter *dcs = control_data_centers (names, members, &count);
  guint old_count = table->writers->len;

  for (size_t i = 0; i < count; i++)
    {
      Writer *w;

      if (!control_is_relay_of (members, entry_settings (table->relay->task)->name,
                                dcs[i].region, dcs[i].data_center))
        continue;
      w = find_writer (table, dcs[i].data_center);
      if (w != NULL)
        g_ptr_array_remove (table->writers, w);
      g_ptr_array_add (writers, w != NULL ? w : writer_new (table, &dcs[i]));
    }
  for (guint i = 0; i < table->writers->len; i++)
    talloc_free (g_ptr_array_index (table->writers, i));
  g_ptr_array_free (table->writers, TRUE);
  table->writers = writers;
  if (writers->len != old_count)
    dl_log (DL_EVENT_RELAY_ROLE, DL_UINT ("data_centers", writers->len));
  talloc_free (names);
}

/* Adds rows for the slots on the host list that have not reported yet. */
static void
add_listed_slots (StatusTable *table, const DlMembers *members)
{
  for (size_t i = 0; i < members->count; i++)
    {
      const DlMember *m = &members->members[i];
      SlotRow *row;

      if (m->role != DAISYLOFT__WIRE__ROLE__ROLE_SLOT
          || find_writer (table, m->data_center) == NULL
          || g_hash_table_lookup (table->slots, m->name) != NULL)
        continue;
      row = slot_row_get (table, m->name);
      slot_row_set_location (row, m->region, m->data_center, m->service);
      row->reported_ms = dl_clock_ms ();
    }
}

void
status_table_members_changed (StatusTable *table)
{
  const DlMembers *members = table->relay->members->members.members;

  update_writers (table, members);
  add_listed_slots (table, members);
}

/* -------- ticks -------- */

static void
expire_slots (StatusTable *table, uint64_t now)
{
  const DlMembers *members = table->relay->members->members.members;
  GHashTableIter iter;
  gpointer value;
  int64_t reporting = 0;

  g_hash_table_iter_init (&iter, table->slots);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SlotRow *row = value;

      if (now - row->reported_ms <= SLOT_LOST_MS)
        {
          reporting += row->status != NULL;
          continue;
        }
      if (!row->lost)
        {
          row->lost = true;
          dl_log (DL_EVENT_HOST_LOST, DL_TEXT ("host", row->host));
          record_change (table, row->data_center, CHANGE_STATE);
        }
      if (dl_members_find (members, row->host) == NULL)
        {
          record_change (table, row->data_center, CHANGE_STATE);
          g_hash_table_iter_remove (&iter);
          talloc_free (row);
        }
    }
  dl_metric_set (&metric_slots, reporting);
}

static void
expire_entries (StatusTable *table, uint64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      EntryRow *row = value;

      if (now - row->reported_ms <= SLOT_LOST_MS)
        continue;
      record_change (table, row->status->data_center, CHANGE_STATE);
      g_hash_table_iter_remove (&iter);
      talloc_free (row);
    }
}

void
status_table_tick (StatusTable *table)
{
  uint64_t now = dl_clock_ms ();

  if (table->relay->members == NULL)
    return;
  expire_slots (table, now);
  expire_entries (table, now);
  for (guint i = 0; i < table->writers->len; i++)
    writer_tick (g_ptr_array_index (table->writers, i), now);
}

/* -------- creation, destruction, dump -------- */

static int
status_table_destroy (StatusTable *table)
{
  g_hash_table_destroy (table->slots);
  g_hash_table_destroy (table->entries);
  g_ptr_array_free (table->writers, TRUE);
  return 0;
}

StatusTable *
status_table_new (Relay *relay)
{
  const EntrySettings *settings = entry_settings (relay->task);
  StatusTable *table = talloc_zero (relay, StatusTable);

  g_assert (table != NULL);
  table->relay = relay;
  table->started_ms = dl_clock_ms ();
  table->slots = g_hash_table_new (g_str_hash, g_str_equal);
  table->entries = g_hash_table_new (g_str_hash, g_str_equal);
  table->writers = g_ptr_array_new ();
  table->client = dl_object_client_new (relay->task, table, settings->platform,
                                        settings->platform_timeout_ms);
  talloc_set_destructor (table, status_table_destroy);
  return table;
}

json_object *
status_table_dump (const StatusTable *table)
{
  json_object *dump = json_object_new_object ();

  for (guint i = 0; i < table->writers->len; i++)
    {
      const Writer *w = g_ptr_array_index (table->writers, i);

      json_object_object_add (dump, w->data_center, writer_value (w));
    }
  return dump;
}
