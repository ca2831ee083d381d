#include "node/relay_source.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/log.h"
#include "node/peers.h"
#include "policy/readers.h"

#define TIMEOUT_MS 900
/* A watch's answer may come this long after its wait. */
#define MARGIN_MS 300

struct DlRelaySource
{
  DlTask *task;
  const DlNodeSettings *settings;
  bool is_entry;
  const DlPeers *peers; /* NULL until they are there */
  GHashTable *clients;  /* relay address to DlObjectClient */
  const char *reader;   /* that was chosen last, a key of CLIENTS; NULL before */
  GHashTable
      *avoided;      /* relay address to the time, in ms, until which it is left alone */
  unsigned failures; /* in a row */
  uint64_t store_until_ms; /* until which the store is asked; 0: readers are */
};

/* Entries of the region that may be asked, by name and relay address. */
typedef struct
{
  const DlRelaySource *source;
  GPtrArray *names;
  GPtrArray *relays;
} Entries;

static bool
is_avoided (const DlRelaySource *source, const char *relay)
{
  const uint64_t *until_ms = g_hash_table_lookup (source->avoided, relay);

  return until_ms != NULL && dl_clock_ms () < *until_ms;
}

static void
add_entry (const DlPeer *peer, void *data)
{
  Entries *e = data;

  if (!peer->ready || peer->relay == NULL || is_avoided (e->source, peer->relay)
      || strcmp (peer->region, e->source->settings->region) != 0)
    return;
  g_ptr_array_add (e->names, (gpointer)peer->name);
  g_ptr_array_add (e->relays, (gpointer)peer->relay);
}

/* The relay address of the entry to ask, which lives until the loop's next turn; NULL for
 * the store.  OTHERS is set to how many other entries the region has. */
static const char *
choose_relay (const DlRelaySource *source, unsigned *others)
{
  Entries e = {
    .source = source,
    .names = g_ptr_array_new (),
    .relays = g_ptr_array_new (),
  };
  const char *relay = NULL;
  int chosen;

  dl_peers_each_alive (source->peers, DAISYLOFT__WIRE__ROLE__ROLE_ENTRY, add_entry, &e);
  chosen = dl_readers_choose (&(DlReadersQuery){
      .self = source->settings->name,
      .is_entry = source->is_entry,
      .others = (const char *const *)e.names->pdata,
      .other_count = e.names->len,
  });
  if (chosen >= 0)
    relay = g_ptr_array_index (e.relays, (guint)chosen);
  *others = e.names->len;
  g_ptr_array_free (e.names, TRUE);
  g_ptr_array_free (e.relays, TRUE);
  return relay;
}

/* Clients are kept, as watches under way may still use one that is not chosen any more.
 */
static DlObjectClient *
get_client (DlRelaySource *source, const char *relay)
{
  DlObjectClient *client = g_hash_table_lookup (source->clients, relay);

  if (client != NULL)
    return client;
  client = dl_object_client_new (source->task, source, relay, TIMEOUT_MS);
  dl_object_client_set_margin (client, MARGIN_MS);
  g_hash_table_insert (source->clients, talloc_strdup (client, relay), client);
  return client;
}

DlObjectClient *
dl_relay_source_choose (DlRelaySource *source)
{
  DlObjectClient *client;
  const char *relay;
  unsigned others;

  if (source->peers == NULL || dl_clock_ms () < source->store_until_ms)
    return NULL;
  relay = choose_relay (source, &others);
  if (relay == NULL)
    return NULL;
  client = get_client (source, relay);
  if (source->reader == NULL || strcmp (source->reader, relay) != 0)
    {
      gpointer key = NULL;

      g_hash_table_lookup_extended (source->clients, relay, &key, NULL);
      source->reader = key;
      dl_log (DL_EVENT_READER_CHOSEN, DL_TEXT ("reader", relay));
    }
  return client;
}

bool
dl_relay_source_is_reader (DlRelaySource *source)
{
  unsigned others = 0;

  return source->is_entry && source->peers != NULL
         && choose_relay (source, &others) == NULL && others > 0;
}

/* Several watches may find the same reader silent. */
static bool
avoid (DlRelaySource *source, uint64_t now_ms)
{
  uint64_t *until_ms;

  if (source->reader == NULL || is_avoided (source, source->reader))
    return false;
  until_ms = g_new (uint64_t, 1);
  *until_ms = now_ms + DL_RELAY_AVOID_MS;
  g_hash_table_replace (source->avoided, g_strdup (source->reader), until_ms);
  return true;
}

uint64_t
dl_relay_source_failed (DlRelaySource *source, const char *kind, int error)
{
  uint64_t now_ms = dl_clock_ms ();

  if (avoid (source, now_ms))
    {
      dl_log (DL_EVENT_READER_FAILED, DL_TEXT ("reader", source->reader),
              DL_TEXT ("kind", kind), DL_ERRNO (error));
      source->failures++;
    }
  if (!source->is_entry)
    return DL_RELAY_PATIENCE_MS;
  if (source->failures < DL_RELAY_FAILURES_MAX)
    return DL_RELAY_PAUSE_MS;
  source->failures = 0;
  source->store_until_ms = now_ms + DL_RELAY_AVOID_MS;
  return dl_random_uint64 () % DL_RELAY_SPREAD_MS;
}

void
dl_relay_source_answered (DlRelaySource *source)
{
  source->failures = 0;
}

void
dl_relay_source_set_peers (DlRelaySource *source, const DlPeers *peers)
{
  source->peers = peers;
}

static int
source_destroy (DlRelaySource *source)
{
  g_hash_table_destroy (source->clients);
  g_hash_table_destroy (source->avoided);
  return 0;
}

DlRelaySource *
dl_relay_source_new (DlTask *task,
                     const void *owner,
                     const DlNodeSettings *settings,
                     bool is_entry)
{
  DlRelaySource *source = talloc_zero (owner, DlRelaySource);

  g_assert (source != NULL);
  source->task = task;
  source->settings = settings;
  source->is_entry = is_entry;
  source->clients = g_hash_table_new (g_str_hash, g_str_equal);
  source->avoided = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (source, source_destroy);
  return source;
}
