/*
 * Tests of entries whose readers' copies are all too old while the store is well.
 *
 * The test plays the readers: entries of the region that rank before the real ones, send
 * their status and refuse, as a reader with an old copy does, whatever they are asked.
 */
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "direct.h"
#include "kernel/address.h"
#include "kernel/wire.pb-c.h"
#include "played.h"
#include "policy/fanout.h"

/* With the real entries a small fleet, in which statuses go to all. */
#define READERS       (DL_FANOUT_SMALL_ENTRIES_MAX - ENTRIES)
#define FIRST_HOST    60 /* last number of the first reader's address */
#define RELAY_PORT    "7701"
#define LISTEN_PORT   "8001"
#define STATUS_MS     400
#define POLL_MS       20
#define ASKED_MS      3000 /* until the entries ask the readers */
#define WATCHED_MS    8000
#define PAUSE_MS      100
#define REVOCATIONS   3
#define REQUEST_BYTES 4096
/* Stated by the users: a configuration is in force within this time. */
#define APPLY_MS 2000

#define REFUSAL                                                      \
  "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n" \
  "Content-Length: 3\r\nConnection: close\r\n\r\nold"

typedef struct
{
  char name[24];
  char *address; /* of its datagrams */
  char *relay;   /* where it refuses */
  char *listen;
  int datagrams;
  int listener;
  uint64_t number; /* of its last status */
  unsigned asked;  /* requests that it refused */
} Reader;

static Reader readers[READERS];
static const Testbed *played_testbed;
static GThread *thread;
static int stopping; /* atomic */

static int
listen_at (const char *address)
{
  struct sockaddr_in at;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  if (fd < 0 || dl_address_parse (dl_str (address), &at) < 0
      || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0
      || bind (fd, (const struct sockaddr *)&at, sizeof at) < 0
      || listen (fd, SOMAXCONN) < 0)
    return -1;
  return fd;
}

static void
send_status (Reader *r)
{
  static const unsigned hosts[] = { 21, 22, 11, 12 };
  Daisyloft__Wire__NodeStatus status = DAISYLOFT__WIRE__NODE_STATUS__INIT;
  uint8_t bytes[PLAYED_DATAGRAM_BYTES];
  size_t length;

  status.name = r->name;
  status.incarnation = 77;
  status.number = ++r->number;
  status.role = DAISYLOFT__WIRE__ROLE__ROLE_ENTRY;
  status.ready = true;
  status.not_hub = true;
  length = daisyloft__wire__node_status__pack (&status, bytes);
  for (size_t i = 0; i < G_N_ELEMENTS (hosts); i++)
    played_send (played_testbed, r->datagrams, hosts[i], bytes, length);
}

/* Refuses the request of the next connection, if there is one. */
static void
refuse_next (Reader *r)
{
  char request[REQUEST_BYTES];
  struct pollfd readable = { .events = POLLIN };
  int fd = accept4 (r->listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);

  if (fd < 0)
    return;
  readable.fd = fd;
  if (poll (&readable, 1, STATUS_MS) > 0 && recv (fd, request, sizeof request, 0) > 0)
    {
      r->asked++;
      (void)send (fd, REFUSAL, strlen (REFUSAL), MSG_NOSIGNAL);
    }
  close (fd);
}

static void *
play (void *data)
{
  struct pollfd listeners[READERS];
  gint64 next_us = 0;

  for (unsigned i = 0; i < READERS; i++)
    listeners[i] = (struct pollfd){ .fd = readers[i].listener, .events = POLLIN };
  while (!g_atomic_int_get (&stopping))
    {
      if (g_get_monotonic_time () >= next_us)
        {
          next_us = g_get_monotonic_time () + STATUS_MS * 1000;
          for (unsigned i = 0; i < READERS; i++)
            send_status (&readers[i]);
        }
      if (poll (listeners, READERS, POLL_MS) <= 0)
        continue;
      for (unsigned i = 0; i < READERS; i++)
        if (listeners[i].revents != 0)
          refuse_next (&readers[i]);
    }
  return NULL;
}

/* Gives each a name that ranks before the real entries. */
static void
choose_names (void)
{
  uint64_t real = MAX (dl_fanout_rank ("entry-1"), dl_fanout_rank ("entry-2"));
  unsigned n = 0;

  for (unsigned i = 0; i < READERS; i++)
    do
      g_snprintf (readers[i].name, sizeof readers[i].name, "reader-%u", n++);
    while (dl_fanout_rank (readers[i].name) <= real);
}

static void
start_readers (Testbed *tb)
{
  choose_names ();
  for (unsigned i = 0; i < READERS; i++)
    {
      Reader *r = &readers[i];
      unsigned host = FIRST_HOST + i;

      r->address = g_strdup_printf ("%s.%u:" PLAYED_NODE_PORT, tb->subnet, host);
      r->relay = g_strdup_printf ("%s.%u:" RELAY_PORT, tb->subnet, host);
      r->listen = g_strdup_printf ("%s.%u:" LISTEN_PORT, tb->subnet, host);
      r->datagrams = played_socket (r->address);
      r->listener = listen_at (r->relay);
      CHECK (r->datagrams >= 0 && r->listener >= 0);
      CHECK (played_register (tb, &(PlayedEntry){ .name = r->name,
                                                  .region = "r1",
                                                  .address = r->address,
                                                  .listen = r->listen,
                                                  .relay = r->relay }));
    }
  played_testbed = tb;
  thread = g_thread_new ("readers", play, NULL);
  g_usleep (ASKED_MS * 1000);
}

static void
stop_readers (Testbed *tb)
{
  unsigned asked = 0;

  g_atomic_int_set (&stopping, 1);
  g_thread_join (thread);
  for (unsigned i = 0; i < READERS; i++)
    {
      g_autofree char *object = played_object ("r1", readers[i].name);

      CHECK (testbed_delete (tb, "daisyloft-nodes", object));
      close (readers[i].datagrams);
      close (readers[i].listener);
      asked += readers[i].asked;
    }
  g_print ("readers whose copy is too old refused %u requests\n", asked);
  CHECK (asked > 0);
}

/* Callers with a valid key are served all the while. */
static void
test_readers_with_old_copies_kept_an_entry_from_the_store (Testbed *tb)
{
  unsigned refused = 0;

  start_readers (tb);
  for (unsigned ms = 0; ms < WATCHED_MS; ms += PAUSE_MS)
    {
      for (unsigned i = 0; i < ENTRIES; i++)
        refused += status_with_key (tb, i, "key1") != 200;
      g_usleep (PAUSE_MS * 1000);
    }
  g_print ("requests with a valid key that were refused: %u\n", refused);
  CHECK (refused == 0);
}

static void
test_revoked_key_outlived_the_bound_of_a_configuration (Testbed *tb)
{
  for (unsigned n = 0; n < REVOCATIONS; n++)
    {
      CHECK (testbed_configure (tb, true));
      g_usleep (APPLY_MS * 1000);
      for (unsigned i = 0; i < ENTRIES; i++)
        {
          CHECK (status_with_key (tb, i, "key2") != 200);
          CHECK (status_with_key (tb, i, "key1") == 200);
        }
      CHECK (testbed_configure (tb, false));
      g_usleep (APPLY_MS * 1000);
      for (unsigned i = 0; i < ENTRIES; i++)
        CHECK (status_with_key (tb, i, "key2") == 200);
    }
  stop_readers (tb);
}

const TestFunc stale_reader_tests[] = {
  test_readers_with_old_copies_kept_an_entry_from_the_store,
  test_revoked_key_outlived_the_bound_of_a_configuration,
  NULL,
};
