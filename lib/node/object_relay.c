#include "node/object_relay.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/gzip.h"
#include "kernel/metrics.h"

/* Interval of the check for watches that are due. */
#define CHECK_MS 50
/* Deletions that are kept, so that a watch can start from a revision before them. */
#define TOMBSTONES_MAX     256
#define STATUS_OK          200
#define STATUS_BAD_REQUEST 400
#define STATUS_GONE        410
#define STATUS_UNAVAILABLE 503
/* A shorter body is not compressed. */
#define PACKED_MIN_BYTES 4096
/* A watch for which there is no fresh copy waits at most so long for the one that is
 * being read, so that its client learns that it is. */
#define RENEWAL_HOLD_MS 150
/* Characters of a number. */
#define NUMBER_MAX 24
/* In place of a revision: requests no objects. */
#define AFTER_ALL UINT64_MAX

DL_METRIC (metric_responses,
           DL_METRIC_COUNTER,
           "daisy_node_relay_answers_total",
           "Lists and watches of other nodes that were answered in place of the store.")

DL_METRIC (metric_packed,
           DL_METRIC_COUNTER,
           "daisy_node_relay_packed_total",
           "Of these, those whose objects were sent compressed.")

/* The current state of one object, or a tombstone for a deleted one. */
typedef struct
{
  uint64_t revision;
  char *name; /* as JSON */
  char *text; /* its value as JSON; NULL for a tombstone */
} Record;

/* A watch that waits for a change, or a list that waits for the objects. */
typedef struct PendingRead
{
  struct Kind *kind;
  DlHttpRequest *http;
  bool is_watch;
  uint64_t era;           /* that the client knows; list: 0 for none */
  uint64_t after;         /* revision after which changes are requested */
  uint64_t until_ms;      /* end of the wait */
  uint64_t early_ms;      /* from then on a newer sync ends the wait */
  uint64_t known_sync_ms; /* sync time when the request arrived */
} PendingRead;

/* The objects that changed from one revision on up to another, as a compressed body. */
typedef struct
{
  uint64_t first; /* lowest revision of those that are in it */
  uint64_t last;  /* highest one of the kind */
  uint64_t era;
  bool is_watch;
  DlStr bytes; /* empty for none */
} PackedBody;

typedef struct Kind
{
  char *name;
  uint64_t max_age_ms;
  uint64_t era;      /* of the store when the copy was read */
  bool is_relisting; /* a new era has begun, whose objects are not known yet */
  bool is_reading;   /* from the store, which responds */
  DlObjectRelayProgress progress; /* of the renewal; NULL when it is not told */
  void *progress_data;
  uint64_t revision;   /* all changes up to it are known; 0 before the first sync */
  uint64_t synced_ms;  /* when that was current; 0 while the store does not answer */
  uint64_t newest;     /* revision of the last change */
  uint64_t dropped;    /* deletions up to this revision may be missing in records */
  unsigned tombstones; /* number in records */
  GHashTable *records; /* name to Record */
  GList *pending;
  PackedBody packed; /* the one that was sent last */
  struct Kind *next;
} Kind;

struct DlObjectRelay
{
  Kind *kinds;
};

static void
free_record (gpointer data)
{
  Record *r = data;

  g_free (r->name);
  g_free (r->text);
  g_free (r);
}

/* JSON may be NULL, for null. */
static char *
json_text (json_object *json)
{
  return g_strdup (json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
}

static char *
json_text_of_name (const char *name)
{
  json_object *json = json_object_new_string (name);
  char *text = json_text (json);

  json_object_put (json);
  return text;
}

static Kind *
find_kind (const DlObjectRelay *relay, const char *name)
{
  for (Kind *k = relay->kinds; k != NULL && name != NULL; k = k->next)
    if (strcmp (k->name, name) == 0)
      return k;
  return NULL;
}

static bool
is_fresh (const Kind *k, uint64_t now_ms)
{
  return k->revision > 0 && now_ms - k->synced_ms <= k->max_age_ms;
}

static DlReadProgress
renewal (const Kind *k)
{
  return k->progress != NULL ? k->progress (k->progress_data) : (DlReadProgress){ 0 };
}

/* True when nodes that need a fresh copy should wait for the one that is being read. */
static bool
is_renewing (const Kind *k, uint64_t now_ms)
{
  DlReadProgress progress = renewal (k);

  return dl_read_progresses (&progress, now_ms);
}

/* True when the response that renews the copy is arriving. */
static bool
is_arriving (const Kind *k)
{
  DlReadProgress progress = renewal (k);

  return dl_read_is_arriving (&progress, dl_clock_ms ());
}

/* -------- responses -------- */

/* How long before HTTP arrived the copy was current; 0 when it was renewed since.  The
 * client counts the age from when it sent the request, so that the time for which a watch
 * waited here is not part of it. */
static uint64_t
age_ms (const Kind *k, const DlHttpRequest *http)
{
  uint64_t arrived_ms = dl_http_request_arrived_ms (http);

  return arrived_ms > k->synced_ms ? arrived_ms - k->synced_ms : 0;
}

static const DlHttpHeader reading_header
    = { .name = DL_OBJECT_READING_HEADER, .value = "yes" };

static void
put_record (DlBuffer *body, const Kind *k, const Record *r, bool first)
{
  dl_buffer_printf (body, "%s{\"kind\":\"%s\",\"name\":%s,\"revision\":%" PRIu64 ",",
                    first ? "" : ",", k->name, r->name, r->revision);
  if (r->text == NULL)
    dl_buffer_printf (body, "\"deleted\":true}");
  else
    {
      dl_buffer_printf (body, "\"value\":");
      dl_buffer_append (body, r->text, strlen (r->text));
      dl_buffer_printf (body, "}");
    }
}

static bool
is_included (const Record *r, uint64_t after, bool is_watch)
{
  return r->revision > after && (r->text != NULL || is_watch);
}

/* Appends the objects that changed after AFTER, deletions only for a watch. */
static void
put_records (DlBuffer *body, const Kind *k, uint64_t after, bool is_watch)
{
  bool first = true;
  GHashTableIter iter;
  gpointer value;

  dl_buffer_printf (body, "\"objects\":[");
  g_hash_table_iter_init (&iter, k->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_included (value, after, is_watch))
      {
        put_record (body, k, value, first);
        first = false;
      }
  dl_buffer_printf (body, "]}");
}

/* Lowest revision of the objects that changed after AFTER; 0 when their body would be too
 * short to be compressed. */
static uint64_t
first_to_pack (const Kind *k, uint64_t after, bool is_watch)
{
  uint64_t first = UINT64_MAX;
  size_t bytes = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, k->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Record *r = value;

      if (!is_included (r, after, is_watch))
        continue;
      first = MIN (first, r->revision);
      bytes += strlen (r->name) + (r->text != NULL ? strlen (r->text) : 0);
    }
  return bytes >= PACKED_MIN_BYTES ? first : 0;
}

/* Compresses the objects that changed after AFTER, unless that was done last. */
static DlStr
pack (Kind *k, uint64_t after, bool is_watch)
{
  uint64_t first = first_to_pack (k, after, is_watch);
  PackedBody *p = &k->packed;
  DlBuffer *body;

  if (first == 0)
    return DL_STR_LITERAL ("");
  if (p->bytes.length > 0 && p->first == first && p->last == k->newest && p->era == k->era
      && p->is_watch == is_watch)
    return p->bytes;
  body = dl_buffer_new (k, 0);
  dl_buffer_printf (body, "{");
  put_records (body, k, after, is_watch);
  talloc_free ((void *)p->bytes.data);
  *p = (PackedBody){
    .first = first,
    .last = k->newest,
    .era = k->era,
    .is_watch = is_watch,
    .bytes = dl_gzip (k, dl_buffer_view (body)),
  };
  if (p->bytes.length == 0)
    p->bytes.data = NULL;
  talloc_free (body);
  return p->bytes;
}

static bool
accepts_gzip (const DlHttpRequest *http)
{
  const char *encodings = dl_http_request_header (http, "Accept-Encoding");

  return encodings != NULL && strstr (encodings, "gzip") != NULL;
}

static void
send_packed (const Kind *k, DlHttpRequest *http, DlStr packed)
{
  char revision[NUMBER_MAX];
  char era[NUMBER_MAX];
  char age[NUMBER_MAX];
  const DlHttpHeader headers[] = {
    { .name = "Content-Encoding", .value = "gzip" },
    { .name = DL_OBJECT_REVISION_HEADER, .value = revision },
    { .name = DL_OBJECT_ERA_HEADER, .value = era },
    { .name = DL_OBJECT_AGE_HEADER, .value = age },
    is_arriving (k) ? reading_header : (DlHttpHeader){ 0 },
    { 0 },
  };

  g_snprintf (revision, sizeof revision, "%" PRIu64, k->revision);
  g_snprintf (era, sizeof era, "%" PRIu64, k->era);
  g_snprintf (age, sizeof age, "%" PRIu64, age_ms (k, http));
  dl_http_reply (http, STATUS_OK, "application/json", packed, headers);
}

static void
send_plain (const Kind *k, DlHttpRequest *http, uint64_t after, bool is_watch)
{
  DlBuffer *body = dl_buffer_new (http, 0);
  const DlHttpHeader headers[] = { reading_header, { 0 } };

  dl_buffer_printf (body,
                    "{\"era\":%" PRIu64 ",\"revision\":%" PRIu64 ",\"age_ms\":%" PRIu64
                    ",",
                    k->era, k->revision, age_ms (k, http));
  put_records (body, k, after, is_watch);
  dl_http_reply (http, STATUS_OK, "application/json", dl_buffer_view (body),
                 is_arriving (k) ? headers : NULL);
}

/* Sends the objects that changed after AFTER; deletions only for a watch. */
static void
send_objects (Kind *k, DlHttpRequest *http, uint64_t after, bool is_watch)
{
  DlStr packed = DL_STR_LITERAL ("");

  if (accepts_gzip (http))
    packed = pack (k, after, is_watch);
  dl_metric_add (&metric_responses, 1);
  dl_metric_add (&metric_packed, packed.length > 0);
  if (packed.length > 0)
    send_packed (k, http, packed);
  else
    send_plain (k, http, after, is_watch);
}

static void
refuse_stale (const Kind *k, DlHttpRequest *http)
{
  const DlHttpHeader headers[] = { reading_header, { 0 } };

  if (k->is_reading || is_renewing (k, dl_clock_ms ()))
    dl_http_reply (http, STATUS_UNAVAILABLE, "text/plain",
                   DL_STR_LITERAL ("the objects are being read"), headers);
  else
    dl_http_reply_error (http, STATUS_UNAVAILABLE, 0, "no fresh proof; ask the store");
}

/* Sends all objects to a client that knows ERA; none if it knows an older one. */
static void
send_list (Kind *k, DlHttpRequest *http, uint64_t era)
{
  send_objects (k, http, era != 0 && era < k->era ? AFTER_ALL : 0, false);
}

/* -------- waiting -------- */

static void
on_closed (DlHttpRequest *http, bool answered, void *data)
{
  PendingRead *w = data;

  w->kind->pending = g_list_remove (w->kind->pending, w);
}

/* Answers the request; W is freed with it. */
static void
complete (PendingRead *w, uint64_t now_ms)
{
  Kind *k = w->kind;

  k->pending = g_list_remove (k->pending, w);
  dl_http_request_on_closed (w->http, NULL, NULL);
  if (!is_fresh (k, now_ms) || (!w->is_watch && w->era > k->era))
    refuse_stale (k, w->http);
  else if (w->is_watch)
    send_objects (k, w->http, w->era == k->era ? w->after : AFTER_ALL, true);
  else
    send_list (k, w->http, w->era);
}

static bool
is_due (const PendingRead *w, uint64_t now_ms)
{
  if (!w->is_watch)
    return now_ms >= w->until_ms || !w->kind->is_reading;
  if (w->kind->is_relisting)
    return now_ms >= w->until_ms;
  if (!is_fresh (w->kind, now_ms))
    return now_ms >= w->until_ms || !is_renewing (w->kind, now_ms);
  return w->era != w->kind->era || now_ms >= w->until_ms
         || (w->kind->synced_ms > w->known_sync_ms && now_ms >= w->early_ms)
         || w->kind->newest > w->after;
}

static void
complete_due (Kind *k, uint64_t now_ms)
{
  GList *next;

  for (GList *l = k->pending; l != NULL; l = next)
    {
      next = l->next;
      if (is_due (l->data, now_ms))
        complete (l->data, now_ms);
    }
}

static void
on_check (DlTimer *timer, void *data)
{
  DlObjectRelay *relay = data;

  for (Kind *k = relay->kinds; k != NULL; k = k->next)
    complete_due (k, dl_clock_ms ());
}

static uint64_t
query_uint (const DlHttpRequest *http, const char *name)
{
  const char *text = dl_http_request_query (http, name);

  return text != NULL ? strtoull (text, NULL, 10) : 0;
}

static PendingRead *
pending_new (Kind *k, DlHttpRequest *http, uint64_t era, uint64_t wait_ms)
{
  uint64_t now_ms = dl_clock_ms ();
  PendingRead *w = talloc_zero (http, PendingRead);

  w->kind = k;
  w->http = http;
  w->era = era;
  w->until_ms = now_ms + wait_ms;
  w->early_ms = now_ms + wait_ms / 2;
  w->known_sync_ms = k->synced_ms;
  k->pending = g_list_append (k->pending, w);
  dl_http_request_on_closed (http, on_closed, w);
  return w;
}

/* Responds to a watch, or lets it wait for up to WAIT_MS. */
static void
handle_watch (Kind *k, DlHttpRequest *http, uint64_t era, uint64_t wait_ms)
{
  uint64_t after = query_uint (http, "after");
  PendingRead *w;

  if (after < k->dropped)
    {
      dl_http_reply_error (http, STATUS_GONE, 0, "deletions since then are forgotten");
      return;
    }
  if (k->newest > after && era == k->era && is_fresh (k, dl_clock_ms ()))
    {
      send_objects (k, http, after, true);
      return;
    }
  w = pending_new (k, http, era, wait_ms);
  w->is_watch = true;
  w->after = after;
}

/* A watch also waits while the objects of a new era are being listed. */
static void
handle_kind (Kind *k, DlHttpRequest *http, bool is_watch)
{
  uint64_t era = query_uint (http, "era");
  bool can_serve = is_fresh (k, dl_clock_ms ()) || (is_watch && k->is_relisting);

  if (!can_serve && !is_watch && k->is_reading)
    pending_new (k, http, era, query_uint (http, "wait_ms"));
  else if (!can_serve && is_watch && era <= k->era && is_renewing (k, dl_clock_ms ()))
    handle_watch (k, http, era != 0 ? era : k->era, RENEWAL_HOLD_MS);
  else if (!can_serve || era > k->era)
    refuse_stale (k, http);
  else if (is_watch)
    handle_watch (k, http, era != 0 ? era : k->era, query_uint (http, "wait_ms"));
  else
    send_list (k, http, era);
}

bool
dl_object_relay_handle (DlObjectRelay *relay, DlHttpRequest *http)
{
  const char *path = dl_http_request_path (http);
  bool is_watch = strcmp (path, "/v1/watch") == 0;
  Kind *k;

  if (!is_watch && strcmp (path, "/v1/objects") != 0)
    return false;
  k = find_kind (relay, dl_http_request_query (http, "kinds"));
  if (k == NULL)
    dl_http_reply_error (http, STATUS_BAD_REQUEST, 0, "no such kind");
  else
    handle_kind (k, http, is_watch);
  return true;
}

/* -------- the copy of the objects -------- */

/* When there are too many tombstones, drops those of the older half of the revisions. */
static void
drop_old_tombstones (Kind *k)
{
  uint64_t middle = k->dropped + (k->revision - k->dropped) / 2;
  GHashTableIter iter;
  gpointer value;

  if (k->tombstones <= TOMBSTONES_MAX)
    return;
  g_hash_table_iter_init (&iter, k->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Record *r = value;

      if (r->text != NULL || r->revision > middle)
        continue;
      k->dropped = MAX (k->dropped, r->revision);
      k->tombstones--;
      g_hash_table_iter_remove (&iter);
    }
}

void
dl_object_relay_update (DlObjectRelay *relay, const DlObject *object)
{
  Kind *k = find_kind (relay, object->kind);
  const Record *old;
  Record *r;

  if (k == NULL)
    return;
  old = g_hash_table_lookup (k->records, object->name);
  if (old != NULL && old->text == NULL)
    k->tombstones--;
  r = g_new0 (Record, 1);
  r->revision = object->revision;
  r->name = json_text_of_name (object->name);
  k->newest = MAX (k->newest, object->revision);
  if (object->deleted)
    k->tombstones++;
  else
    r->text = json_text (object->value);
  g_hash_table_replace (k->records, g_strdup (object->name), r);
}

void
dl_object_relay_set_listed (DlObjectRelay *relay, const char *kind, uint64_t revision)
{
  Kind *k = find_kind (relay, kind);

  g_assert (k != NULL);
  k->dropped = MAX (k->dropped, revision);
}

void
dl_object_relay_begin_era (DlObjectRelay *relay, const char *kind, uint64_t era)
{
  Kind *k = find_kind (relay, kind);

  g_assert (k != NULL);
  k->era = era;
  k->is_relisting = true;
  k->revision = 0;
  k->newest = 0;
  k->dropped = 0;
  k->tombstones = 0;
  g_hash_table_remove_all (k->records);
}

void
dl_object_relay_set_synced (DlObjectRelay *relay,
                            const char *kind,
                            uint64_t era,
                            uint64_t revision,
                            uint64_t synced_ms)
{
  Kind *k = find_kind (relay, kind);

  g_assert (k != NULL);
  k->era = era;
  k->is_relisting = false;
  k->is_reading = false;
  k->revision = revision;
  k->synced_ms = synced_ms;
  drop_old_tombstones (k);
  complete_due (k, dl_clock_ms ());
}

void
dl_object_relay_set_reading (DlObjectRelay *relay, const char *kind, bool is_reading)
{
  Kind *k = find_kind (relay, kind);

  g_assert (k != NULL);
  k->is_reading = is_reading;
  complete_due (k, dl_clock_ms ());
}

void
dl_object_relay_set_progress (DlObjectRelay *relay,
                              const char *kind,
                              DlObjectRelayProgress func,
                              void *data)
{
  Kind *k = find_kind (relay, kind);

  g_assert (k != NULL);
  k->progress = func;
  k->progress_data = data;
}

void
dl_object_relay_set_unreachable (DlObjectRelay *relay, const char *kind)
{
  Kind *k = find_kind (relay, kind);

  g_assert (k != NULL);
  k->synced_ms = 0;
  complete_due (k, dl_clock_ms ());
}

static int
kind_destroy (Kind *k)
{
  /* The requests outlive the kind. */
  for (GList *l = k->pending; l != NULL; l = l->next)
    dl_http_request_on_closed (((PendingRead *)l->data)->http, NULL, NULL);
  g_list_free (k->pending);
  g_hash_table_destroy (k->records);
  return 0;
}

void
dl_object_relay_add_kind (DlObjectRelay *relay, const char *kind, uint64_t max_age_ms)
{
  Kind *k = talloc_zero (relay, Kind);

  g_assert (k != NULL);
  k->name = talloc_strdup (k, kind);
  k->max_age_ms = max_age_ms;
  k->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_record);
  k->next = relay->kinds;
  relay->kinds = k;
  talloc_set_destructor (k, kind_destroy);
}

DlObjectRelay *
dl_object_relay_new (DlTask *task, const void *owner)
{
  DlObjectRelay *relay = talloc_zero (owner, DlObjectRelay);

  g_assert (relay != NULL);
  dl_timer_subscribe (task, relay, CHECK_MS, CHECK_MS, on_check, relay);
  return relay;
}
