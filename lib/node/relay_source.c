#include "node/relay_source.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "node/peers.h"
#include "policy/readers.h"

/* Of requests to readers. */
#define TIMEOUT_MS 900
/* The response to a watch may arrive this long after the end of its wait. */
#define MARGIN_MS 300

struct DlRelaySource
{
  DlTask *task;
  const DlNodeSettings *settings;
  DlObjectEra *era; /* shared with the client of the store */
  bool is_entry;
  const DlPeers *peers;   /* NULL until they are set */
  GHashTable *clients;    /* relay address to DlObjectClient */
  DlObjectClient *chosen; /* last choice; NULL before the first */
  DlReaderHealth *reader_health;
  uint64_t known_ms;      /* when the entries of the region were known; 0: not yet */
  uint64_t wait_until_ms; /* see dl_relay_source_must_wait */
};

/* Entries of this node's region that may be asked: their names and relay addresses. */
typedef struct
{
  const DlRelaySource *source;
  const char *kind;    /* of the objects that are wanted */
  bool may_be_unready; /* whether to add those that do not accept requests */
  GPtrArray *names;
  GPtrArray *relays;
} Candidates;

static void
add_candidate (const DlPeer *peer, void *data)
{
  Candidates *candidates = data;

  if ((!peer->ready && !candidates->may_be_unready) || peer->relay == NULL
      || !dl_reader_health_may_ask (candidates->source->reader_health, peer->relay,
                                    candidates->kind, dl_clock_ms ())
      || strcmp (peer->region, candidates->source->settings->region) != 0)
    return;
  g_ptr_array_add (candidates->names, (gpointer)peer->name);
  g_ptr_array_add (candidates->relays, (gpointer)peer->relay);
}

/* True when the nodes of the region that may start together are too many for each to read
 * the store. */
static bool
starts_among_many (const DlRelaySource *source)
{
  return dl_peers_is_large (source->peers)
         || dl_peers_region_entry_count (source->peers) >= DL_READER_START_MANY;
}

/* Returns the relay address of the entry to ask for objects of KIND, which is valid until
 * the event loop runs again; NULL for the store.  *OTHERS is set to how many may be
 * asked. */
static const char *
choose_relay (const DlRelaySource *source, const char *kind, unsigned *others)
{
  Candidates candidates = {
    .source = source,
    .kind = kind,
    .names = g_ptr_array_new (),
    .relays = g_ptr_array_new (),
  };
  const char *relay = NULL;
  int chosen;

  dl_peers_foreach_alive (source->peers, DAISYLOFT__WIRE__ROLE__ROLE_ENTRY, add_candidate,
                          &candidates);
  if (candidates.names->len == 0 && starts_among_many (source))
    {
      /* As when all start at once. */
      candidates.may_be_unready = true;
      dl_peers_foreach_alive (source->peers, DAISYLOFT__WIRE__ROLE__ROLE_ENTRY,
                              add_candidate, &candidates);
    }
  chosen = dl_readers_choose (&(DlReadersQuery){
      .self = source->settings->name,
      .is_entry = source->is_entry,
      .others = (const char *const *)candidates.names->pdata,
      .other_count = candidates.names->len,
  });
  if (chosen >= 0)
    relay = g_ptr_array_index (candidates.relays, (guint)chosen);
  *others = candidates.names->len;
  g_ptr_array_free (candidates.names, TRUE);
  g_ptr_array_free (candidates.relays, TRUE);
  return relay;
}

/* Clients are kept, since a watch in progress may use one that is no longer chosen. */
static DlObjectClient *
get_client (DlRelaySource *source, const char *relay)
{
  DlObjectClient *client = g_hash_table_lookup (source->clients, relay);

  if (client != NULL)
    return client;
  client = dl_object_client_new (source->task, source, relay, TIMEOUT_MS);
  dl_object_client_set_watch_margin (client, MARGIN_MS);
  dl_object_client_set_max_body (client, DL_NODE_LIST_MAX_BYTES);
  dl_object_client_share_era (client, source->era);
  g_hash_table_insert (source->clients, (gpointer)dl_object_client_address (client),
                       client);
  return client;
}

/* True for an entry that reads the store at once when many start. */
static bool
is_first_to_read (const DlRelaySource *source)
{
  return source->is_entry && starts_among_many (source)
         && dl_peers_position_registered (source->peers) < DL_READER_START_FIRST;
}

static DlReaderCopy
copy_of (const DlRelaySource *source, const DlRelayWant *want)
{
  return (DlReaderCopy){
    .kind = want->kind,
    .synced_ms = want->synced_ms,
    .wanted_ms = source->known_ms,
    .apply_ms = want->apply_ms,
    .position = dl_peers_position_registered (source->peers),
  };
}

uint64_t
dl_relay_source_direct_ms (const DlRelaySource *source, const DlRelayWant *want)
{
  DlReaderCopy copy;

  if (source->peers == NULL || !source->is_entry)
    return UINT64_MAX;
  copy = copy_of (source, want);
  return dl_reader_health_direct_ms (source->reader_health, &copy);
}

/* Time until which this node waits for a reader instead of reading the store. */
static uint64_t
wait_until_ms (const DlRelaySource *source, const DlRelayWant *want)
{
  if (source->is_entry && want->synced_ms == 0)
    return dl_relay_source_direct_ms (source, want);
  return source->wait_until_ms;
}

/* The waits for a reader begin when it is known whom to ask. */
static void
note_known (DlRelaySource *source)
{
  if (source->known_ms != 0)
    return;
  source->known_ms = dl_clock_ms ();
  source->wait_until_ms = source->known_ms + DL_READER_START_WAIT_MS
                          + dl_random_uint64 () % DL_READER_START_SPREAD_MS;
}

bool
dl_relay_source_must_wait (DlRelaySource *source, const DlRelayWant *want)
{
  unsigned others;

  if (source->peers == NULL)
    return false;
  if (!dl_peers_are_known (source->peers))
    return true;
  note_known (source);
  if (!starts_among_many (source) || is_first_to_read (source)
      || dl_clock_ms () >= wait_until_ms (source, want))
    return false;
  return choose_relay (source, want->kind, &others) == NULL;
}

DlObjectClient *
dl_relay_source_choose (DlRelaySource *source, const DlRelayWant *want, bool *is_reader)
{
  DlObjectClient *client;
  const char *relay;
  unsigned others;

  *is_reader = false;
  if (source->peers == NULL)
    return NULL;
  relay = choose_relay (source, want->kind, &others);
  *is_reader
      = source->is_entry && relay == NULL && (others > 0 || is_first_to_read (source));
  if (relay == NULL
      || dl_reader_health_must_use_store (source->reader_health, dl_clock_ms ())
      || dl_clock_ms () >= dl_relay_source_direct_ms (source, want))
    return NULL;
  client = get_client (source, relay);
  if (client != source->chosen)
    dl_log (DL_EVENT_READER_CHOSEN, DL_TEXT ("reader", relay));
  source->chosen = client;
  return client;
}

uint64_t
dl_relay_source_report_failure (DlRelaySource *source,
                                const DlObjectClient *reader,
                                const DlReaderFailure *failure)
{
  const char *relay = dl_object_client_address (reader);
  bool is_new;
  uint64_t backoff_ms
      = failure->is_stale
            ? dl_reader_health_stale (source->reader_health, relay, failure->kind,
                                      dl_clock_ms (), &is_new)
            : dl_reader_health_failed (source->reader_health, relay, dl_random_uint64 (),
                                       dl_clock_ms (), &is_new);

  if (is_new)
    dl_log (DL_EVENT_READER_FAILED, DL_TEXT ("reader", relay),
            DL_TEXT ("kind", failure->kind),
            DL_TEXT ("error", failure->is_stale ? "its copy is too old"
                                                : dl_strerror (failure->error)));
  return backoff_ms;
}

uint64_t
dl_relay_source_report_reading (DlRelaySource *source, const char *kind)
{
  return dl_reader_health_reading (source->reader_health, kind, dl_clock_ms ());
}

void
dl_relay_source_report_success (DlRelaySource *source, const char *kind)
{
  dl_reader_health_succeeded (source->reader_health, kind);
}

void
dl_relay_source_report_store_failure (DlRelaySource *source, const DlRelayWant *want)
{
  DlReaderCopy copy;

  if (source->peers == NULL)
    return;
  copy = copy_of (source, want);
  dl_reader_health_store_failed (source->reader_health, &copy, dl_clock_ms ());
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
  return 0;
}

DlRelaySource *
dl_relay_source_new (DlTask *task,
                     const void *owner,
                     const DlNodeSettings *settings,
                     DlObjectEra *era,
                     bool is_entry)
{
  DlRelaySource *source = talloc_zero (owner, DlRelaySource);

  g_assert (source != NULL);
  source->task = task;
  source->settings = settings;
  source->era = era;
  source->is_entry = is_entry;
  source->clients = g_hash_table_new (g_str_hash, g_str_equal);
  source->reader_health = dl_reader_health_new (source, is_entry);
  talloc_set_destructor (source, source_destroy);
  return source;
}
