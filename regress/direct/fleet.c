/*
 * Tests of a large fleet: the test itself plays further entries in two regions, which are
 * registered in the store and exchange statuses with the real entries and stagers.
 *
 * The names of the played entries are chosen so that the real ones, of region r1, are
 * that region's relays.
 */
#include <string.h>
#include <sys/socket.h>

#include "direct.h"
#include "kernel/wire.pb-c.h"
#include "played.h"
#include "policy/fanout.h"

#define FIRST_HOST 60 /* last number of the first played entry's address */
#define PORT       "8001"
#define STATUS_MS  400
#define STEP_MS    20
#define SETTLE_MS  4000
#define WATCH_MS   3000

/* Entries that are played: half of them in each region, together with the real ones more
 * than a small fleet has. */
#define PLAYED (DL_FANOUT_SMALL_ENTRIES_MAX + 4)

typedef struct
{
  char name[PLAYED_NAME_BYTES];
  const char *region;
  char *address;
  char *listen;
  int fd;
  bool silent; /* sends nothing itself */
  uint64_t number;
  /* Since the counts were last cleared. */
  unsigned direct_entries; /* statuses of real entries, from themselves */
  unsigned direct_stagers;
  unsigned relayed;         /* of the first stager, passed on */
  unsigned relayed_twice;   /* that had been received before */
  uint64_t last_relayed;    /* its number */
  unsigned relayed_entries; /* of real entries, passed on */
  unsigned batches;
} Played;

static Played played[PLAYED];

static void
set_up (Testbed *tb)
{
  unsigned n = 0;

  for (unsigned i = 0; i < PLAYED; i++)
    {
      Played *p = &played[i];

      played_choose_name (p->name, &n, false);
      p->region = i % 2 == 0 ? "r1" : "r2";
      p->address
          = g_strdup_printf ("%s.%u:" PLAYED_NODE_PORT, tb->subnet, FIRST_HOST + i);
      p->listen = g_strdup_printf ("%s.%u:" PORT, tb->subnet, FIRST_HOST + i);
      p->fd = played_socket (p->address);
      CHECK (p->fd >= 0);
      CHECK (played_register (tb, &(PlayedEntry){ .name = p->name,
                                                  .region = p->region,
                                                  .address = p->address,
                                                  .listen = p->listen }));
    }
}

/* -------- sending -------- */

static void
send_packed (const Played *p,
             const Testbed *tb,
             unsigned host,
             const Daisyloft__Wire__NodeStatus *status)
{
  uint8_t bytes[PLAYED_DATAGRAM_BYTES];

  played_send (tb, p->fd, host, bytes,
               daisyloft__wire__node_status__pack (status, bytes));
}

static Daisyloft__Wire__NodeStatus
status_of (Played *p)
{
  return played_status (p->name, ++p->number);
}

/* -------- receiving -------- */

static void
count_relayed (Played *p, const ProtobufCBinaryData *packed)
{
  Daisyloft__Wire__NodeStatus *status
      = daisyloft__wire__node_status__unpack (NULL, packed->len, packed->data);

  CHECK (status != NULL);
  if (status == NULL)
    return;
  CHECK (status->named == NULL && status->n_announcement == 0);
  if (strcmp (status->name, "stager-1") == 0)
    {
      p->relayed_twice += status->number == p->last_relayed;
      p->relayed += status->number > p->last_relayed;
      p->last_relayed = MAX (p->last_relayed, status->number);
      CHECK (status->engine != NULL);
    }
  p->relayed_entries += strncmp (status->name, "entry-", strlen ("entry-")) == 0;
  daisyloft__wire__node_status__free_unpacked (status, NULL);
}

static void
count_datagram (Played *p, const Daisyloft__Wire__NodeStatus *status)
{
  if (status->n_relayed > 0)
    {
      p->batches++;
      for (size_t i = 0; i < status->n_relayed; i++)
        count_relayed (p, &status->relayed[i]);
    }
  else if (status->role == DAISYLOFT__WIRE__ROLE__ROLE_SLOT)
    p->direct_stagers++;
  else
    p->direct_entries++;
}

static void
receive_all (Played *p)
{
  uint8_t bytes[PLAYED_DATAGRAM_BYTES];
  ssize_t n;

  while ((n = recv (p->fd, bytes, sizeof bytes, 0)) > 0)
    {
      Daisyloft__Wire__NodeStatus *status
          = daisyloft__wire__node_status__unpack (NULL, (size_t)n, bytes);

      CHECK (status != NULL);
      if (status == NULL)
        continue;
      count_datagram (p, status);
      daisyloft__wire__node_status__free_unpacked (status, NULL);
    }
}

/* Plays all entries for so long. */
static void
play (const Testbed *tb, unsigned duration_ms)
{
  for (unsigned ms = 0; ms < duration_ms; ms += STEP_MS)
    {
      for (unsigned i = 0; i < PLAYED; i++)
        {
          if (ms % STATUS_MS == 0 && !played[i].silent)
            {
              Daisyloft__Wire__NodeStatus status = status_of (&played[i]);

              played_tell_region (tb, played[i].fd, &status);
            }
          receive_all (&played[i]);
        }
      g_usleep (STEP_MS * 1000);
    }
}

static void
clear_counts (void)
{
  for (unsigned i = 0; i < PLAYED; i++)
    {
      Played *p = &played[i];

      p->direct_entries = 0;
      p->direct_stagers = 0;
      p->relayed = 0;
      p->relayed_twice = 0;
      p->relayed_entries = 0;
      p->batches = 0;
    }
}

static bool
is_in (const Played *p, const char *region)
{
  return strcmp (p->region, region) == 0;
}

/* -------- the tests -------- */

/* Stagers send their load to the relays of their region, here the real entries, which
 * pass it on; of two relays one. */
static void
test_loads_are_passed_on (Testbed *tb)
{
  set_up (tb);
  play (tb, SETTLE_MS);
  clear_counts ();
  play (tb, WATCH_MS);
  for (unsigned i = 0; i < PLAYED; i++)
    {
      const Played *p = &played[i];

      CHECK (p->direct_stagers == 0);
      if (!is_in (p, "r1"))
        continue;
      CHECK (p->relayed >= 3);
      CHECK (p->relayed_twice <= p->relayed / 2);
    }
}

/* Entries send their own status to those of their region, and relays pass it on to a
 * relay of each other region. */
static void
test_entries_are_told_by_region (Testbed *tb)
{
  unsigned relays = 0;

  for (unsigned i = 0; i < PLAYED; i++)
    {
      const Played *p = &played[i];

      CHECK ((p->direct_entries > 0) == is_in (p, "r1"));
      if (is_in (p, "r1") || p->batches == 0)
        continue;
      relays++;
      CHECK (p->relayed >= 3 && p->relayed_entries >= 3);
    }
  CHECK (relays >= 1 && relays <= DL_FANOUT_RELAYS);
}

static bool
directory_lists (const Testbed *tb, const char *listen)
{
  Response r = call (&(Call){ .address = tb->directory[0],
                              .target = "/-/resolve?name=h&region=r2&zone=r2" });
  bool listed = r.status == 200 && strstr (r.body, listen) != NULL;

  response_free (&r);
  return listed;
}

/* Sends entry-1 a batch from P with the status of OTHER, and with what is no status. */
static void
send_batch (const Testbed *tb, Played *p, Played *other)
{
  Daisyloft__Wire__NodeStatus status = status_of (other);
  Daisyloft__Wire__NodeStatus batch = status_of (p);
  uint8_t bytes[PLAYED_DATAGRAM_BYTES];
  uint8_t garbage[] = { 0xff, 0xff, 0xff, 0xff, 0x07 };
  ProtobufCBinaryData items[] = {
    { .data = garbage, .len = sizeof garbage },
    { .data = bytes, .len = daisyloft__wire__node_status__pack (&status, bytes) },
    { .data = NULL, .len = 0 },
  };

  batch.number = 0;
  batch.relayed = items;
  batch.n_relayed = G_N_ELEMENTS (items);
  send_packed (p, tb, 21, &batch);
}

/* A node of another region is known as up only by what a relay passes on; one that is not
 * passed on any more is left out soon.  Malformed statuses do no harm. */
static void
test_other_regions_are_heard_by_relays (Testbed *tb)
{
  Played *relay = &played[1];
  Played *other = &played[3];

  other->silent = true;
  play (tb, SETTLE_MS);
  CHECK (!directory_lists (tb, other->listen));
  send_batch (tb, relay, other);
  play (tb, STATUS_MS);
  CHECK (directory_lists (tb, other->listen));
  play (tb, SETTLE_MS);
  CHECK (!directory_lists (tb, other->listen));
  /* Two small upstreams are divided among all entries, so that a request may be refused
   * now and then. */
  CHECK (eventually (requests_are_served, tb));
}

const TestFunc fleet_tests[] = {
  test_loads_are_passed_on,
  test_entries_are_told_by_region,
  test_other_regions_are_heard_by_relays,
  NULL,
};
