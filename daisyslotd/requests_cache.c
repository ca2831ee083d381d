/*
 * Polls the engine's cache events every second and forwards them to the connected
 * entries, which use them for routing.
 */
#include <inttypes.h>
#include <talloc.h>

#include "kernel/error.h"
#include "requests.h"

#define CACHE_TIMEOUT_MS 2000
#define EVENTS_MAX       4096 /* processed per response: the newest; others are ignored */
#define HTTP_OK          200

/* Returns the first eight bytes of the prefix digest, or 0 if it is missing or malformed.
 */
static uint64_t
event_prefix (json_object *event)
{
  json_object *value;
  DlDigest digest;
  uint64_t hash = 0;

  if (!json_object_object_get_ex (event, "prefix", &value)
      || dl_digest_from_hex (dl_str (json_object_get_string (value)), &digest) < 0)
    return 0;
  for (size_t i = 0; i < sizeof hash; i++)
    hash = hash << 8 | digest.bytes[i];
  return hash;
}

static bool
is_cached (json_object *event)
{
  json_object *value;

  return json_object_object_get_ex (event, "cached", &value)
         && json_object_get_boolean (value);
}

/* Returns a table from each prefix to whether its last event says that it is cached.  The
 * caller destroys it. */
static GHashTable *
latest_events (json_object *list)
{
  GHashTable *latest = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  size_t count = json_object_array_length (list);

  for (size_t i = count > EVENTS_MAX ? count - EVENTS_MAX : 0; i < count; i++)
    {
      json_object *event = json_object_array_get_idx (list, i);
      uint64_t prefix = event_prefix (event);

      if (prefix != 0)
        g_hash_table_replace (latest, g_memdup2 (&prefix, sizeof prefix),
                              GINT_TO_POINTER (is_cached (event)));
    }
  return latest;
}

static void
send_events (RequestsTask *t, GHashTable *latest)
{
  guint count = g_hash_table_size (latest);
  Daisyloft__Wire__CacheEvents events = DAISYLOFT__WIRE__CACHE_EVENTS__INIT;
  DlEnvelope envelope = DL_ENVELOPE (CACHE_EVENTS, cache_events, &events);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (count == 0)
    return;
  events.cached = g_new (uint64_t, count);
  events.dropped = g_new (uint64_t, count);
  g_hash_table_iter_init (&iter, latest);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (GPOINTER_TO_INT (value))
      events.cached[events.n_cached++] = *(uint64_t *)key;
    else
      events.dropped[events.n_dropped++] = *(uint64_t *)key;
  g_hash_table_iter_init (&iter, t->peers);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    dl_conn_send (((RequestPeer *)key)->conn, &envelope, dl_str_bytes (NULL, 0));
  g_free (events.cached);
  g_free (events.dropped);
}

static void
process_events (RequestsTask *t, json_object *response)
{
  json_object *list;
  json_object *last;
  GHashTable *latest;

  if (!json_object_object_get_ex (response, "events", &list)
      || !json_object_is_type (list, json_type_array)
      || !json_object_object_get_ex (response, "last", &last))
    return;
  t->last_cache_event = json_object_get_uint64 (last);
  latest = latest_events (list);
  send_events (t, latest);
  g_hash_table_destroy (latest);
}

static void
on_events (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  RequestsTask *t = data;
  json_object *response = NULL;
  char *error = NULL;

  t->cache_poll = NULL;
  if (result->error != 0 || result->status != HTTP_OK
      || dl_json_parse (call, "cache events", result->body, &response, &error) < 0)
    return;
  if (json_object_is_type (response, json_type_object))
    process_events (t, response);
  json_object_put (response);
}

void
requests_poll_cache (RequestsTask *t)
{
  char *url = talloc_asprintf (t, "http://%s/v1/cache-events?after=%" PRIu64,
                               t->settings->engine, t->last_cache_event);

  t->cache_poll = dl_http_call (t->http, t,
                                &(DlHttpCallOptions){
                                    .url = url,
                                    .timeout_ms = CACHE_TIMEOUT_MS,
                                    .on_done = on_events,
                                    .data = t,
                                });
  talloc_free (url);
}
