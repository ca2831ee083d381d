/*
 * Tests of entries that do not learn that their routing table is the newest: their
 * readers' copies are all too old, or the store answers others only.
 *
 * The test plays the readers: entries of the region that rank before the real ones, send
 * their status and refuse, as a reader with an old copy does, whatever they are asked.
 */
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "direct.h"
#include "kernel/address.h"
#include "kernel/listen.h"
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
/* Of each server, so that each entry's share is more than one place. */
#define SLOTS   64
#define LEAVING 0 /* the server that leaves */
#define BURST   10
/* Stated by the users: a configuration is in force, and a server that leaves gets nothing
 * more, within this time. */
#define APPLY_MS 2000
/* Longer than a call to the store that brings nothing. */
#define SILENT_MS 1500
/* Until entries that start read lists. */
#define LISTING_MS 700
/* A revoked key is refused after ERA_REVOKE_MS, less the reserve of an entry. */
#define REVOKED_MS 4500
/* In an outage an entry serves by a proof that may be an interval of checks old. */
#define OUTAGE_SERVED_MS 2900

#define REFUSAL                                                      \
  "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n" \
  "Content-Length: 3\r\nConnection: close\r\n\r\nold"

#define HISTORY_GONE                                  \
  "HTTP/1.1 410 Gone\r\nContent-Type: text/plain\r\n" \
  "Content-Length: 4\r\nConnection: close\r\n\r\ngone"

typedef struct
{
  char name[PLAYED_NAME_BYTES];
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
/* Atomic. */
static int stopping;
static int hear_store; /* they tell that the store answers them */
static int are_ahead;  /* they have a copy, but do not know what changed before */

static int
listen_at (const char *address)
{
  struct sockaddr_in at;

  return dl_address_parse (dl_str (address), &at) == 0 ? dl_listen (&at, SOMAXCONN) : -1;
}

static void
send_status (Reader *r)
{
  Daisyloft__Wire__NodeStatus status = played_status (r->name, ++r->number);
  Daisyloft__Wire__StoreHeard heard = DAISYLOFT__WIRE__STORE_HEARD__INIT;

  if (g_atomic_int_get (&hear_store))
    status.store_heard = &heard;
  played_tell_region (played_testbed, r->datagrams, &status);
}

/* The list that REQUEST asks for, as the second entry gives it out, for g_free; NULL when
 * it asks for none. */
static char *
list_of_second_entry (const char *request)
{
  const char *target = strchr (request, '/');
  const char *end = target != NULL ? strchr (target, ' ') : NULL;
  g_autofree char *copy = end != NULL ? g_strndup (target, end - target) : NULL;
  char *text = NULL;
  Response r;

  if (copy == NULL || !g_str_has_prefix (copy, "/v1/objects"))
    return NULL;
  r = call (&(Call){ .address = played_testbed->metrics[1], .target = copy });
  if (r.status == 200)
    text = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                            "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                            strlen (r.body), r.body);
  response_free (&r);
  return text;
}

/* Responds to the request of the next connection, if there is one. */
static void
respond_next (Reader *r)
{
  g_autofree char *list = NULL;
  const char *response = REFUSAL;
  char request[REQUEST_BYTES];
  ssize_t length;
  struct pollfd readable = { .events = POLLIN };
  int fd = accept4 (r->listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);

  if (fd < 0)
    return;
  readable.fd = fd;
  if (poll (&readable, 1, STATUS_MS) > 0
      && (length = recv (fd, request, sizeof request - 1, 0)) > 0)
    {
      request[length] = '\0';
      r->asked++;
      if (g_atomic_int_get (&are_ahead))
        {
          list = list_of_second_entry (request);
          if (list != NULL)
            response = list;
          else if (strstr (request, "/v1/watch") != NULL)
            response = HISTORY_GONE;
        }
      (void)send (fd, response, strlen (response), MSG_NOSIGNAL);
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
          respond_next (&readers[i]);
    }
  return NULL;
}

/* ARE_ASKED: nodes may read the store through them. */
static void
start_readers (Testbed *tb, bool are_asked)
{
  unsigned n = 0;

  tb->slots = SLOTS;
  for (unsigned i = 0; i < SERVERS; i++)
    CHECK (testbed_list_server (tb, i, "ready"));
  for (unsigned i = 0; i < READERS; i++)
    {
      Reader *r = &readers[i];
      unsigned host = FIRST_HOST + i;

      played_choose_name (r->name, &n, true);
      r->address = g_strdup_printf ("%s.%u:" PLAYED_NODE_PORT, tb->subnet, host);
      r->relay = g_strdup_printf ("%s.%u:" RELAY_PORT, tb->subnet, host);
      r->listen = g_strdup_printf ("%s.%u:" LISTEN_PORT, tb->subnet, host);
      r->datagrams = played_socket (r->address);
      r->listener = listen_at (r->relay);
      CHECK (r->datagrams >= 0 && r->listener >= 0);
      CHECK (
          played_register (tb, &(PlayedEntry){ .name = r->name,
                                               .region = "r1",
                                               .address = r->address,
                                               .listen = r->listen,
                                               .relay = are_asked ? r->relay : NULL }));
    }
  played_testbed = tb;
  thread = g_thread_new ("readers", play, NULL);
  g_usleep (ASKED_MS * 1000);
}

static void
stop_readers (Testbed *tb, bool were_asked)
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
  CHECK ((asked > 0) == were_asked);
}

/* Callers with a valid key are served all the while. */
static void
test_readers_with_old_copies_kept_an_entry_from_the_store (Testbed *tb)
{
  unsigned refused = 0;

  start_readers (tb, true);
  for (unsigned ms = 0; ms < WATCHED_MS; ms += PAUSE_MS)
    {
      for (unsigned i = 0; i < ENTRIES; i++)
        refused += status_with_key (tb, i, "key1") != 200;
      g_usleep (PAUSE_MS * 1000);
    }
  g_print ("requests with a valid key that were refused: %u\n", refused);
  CHECK (refused == 0);
}

/* The lists that the entries read as they start are cut off, so that readers are asked.
 */
static void
test_entry_that_started_asked_only_readers_without_a_copy (Testbed *tb)
{
  end_nodes (tb);
  narrow_link_begin (tb);
  start_nodes (tb);
  g_usleep (LISTING_MS * G_TIME_SPAN_MILLISECOND);
  proxy_reset (g_ptr_array_index (tb->proxies, PROXY_STORE));
  CHECK (narrow_link_recovers (tb));
  narrow_link_end (tb);
}

/* The store's answers do not reach the entry until it has given up its first calls. */
static void
test_entry_that_did_not_learn_its_region_in_time_read_everything_itself (Testbed *tb)
{
  Proxy *link = g_ptr_array_index (tb->proxies, PROXY_STORE);
  uint64_t lists = recorded (tb->store, "lists.servers");

  process_end (&tb->entry_process[0], SIGKILL);
  proxy_set_mode (link, PROXY_CUT_DOWN);
  CHECK (process_start (&tb->entry_process[0]));
  g_usleep (SILENT_MS * G_TIME_SPAN_MILLISECOND);
  proxy_set_mode (link, PROXY_PASS);
  g_usleep (ASKED_MS * G_TIME_SPAN_MILLISECOND);
  CHECK (recorded (tb->store, "lists.servers") == lists);
  CHECK (narrow_link_recovers (tb));
}

static void
test_list_that_a_reader_has_was_read_from_the_store (Testbed *tb)
{
  uint64_t lists = recorded (tb->store, "lists.servers");

  g_atomic_int_set (&are_ahead, 1);
  for (unsigned ms = 0; ms < WATCHED_MS; ms += PAUSE_MS)
    {
      CHECK (status_with_key (tb, 0, "key1") == 200);
      g_usleep (PAUSE_MS * 1000);
    }
  g_atomic_int_set (&are_ahead, 0);
  CHECK (recorded (tb->store, "lists.servers") <= lists);
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
}

/* Requests that the server LEAVING receives of those that are sent to all entries. */
static uint64_t
received_of_burst (Testbed *tb)
{
  uint64_t before = recorded (tb->server[LEAVING], "received");

  for (unsigned n = 0; n < BURST; n++)
    for (unsigned i = 0; i < ENTRIES; i++)
      CHECK (status_with_key (tb, i, "key1") == 200);
  return recorded (tb->server[LEAVING], "received") - before;
}

static void
test_server_that_leaves_got_requests_after_the_bound (Testbed *tb)
{
  CHECK (received_of_burst (tb) > 0);
  CHECK (testbed_list_server (tb, LEAVING, "draining"));
  g_usleep (APPLY_MS * 1000);
  CHECK (received_of_burst (tb) == 0);
  CHECK (testbed_list_server (tb, LEAVING, "ready"));
  stop_readers (tb, true);
}

static gint64
ms_since (gint64 begin_us)
{
  return (g_get_monotonic_time () - begin_us) / 1000;
}

/* Requests with a valid key that are served between FROM_MS and TO_MS after BEGIN_US, and
 * *REFUSED of them that are not. */
static unsigned
count_served (
    Testbed *tb, gint64 begin_us, gint64 from_ms, gint64 to_ms, unsigned *refused)
{
  unsigned served = 0;

  *refused = 0;
  while (ms_since (begin_us) < to_ms)
    {
      if (ms_since (begin_us) >= from_ms)
        for (unsigned i = 0; i < ENTRIES; i++)
          {
            bool is_served = status_with_key (tb, i, "key1") == 200;

            served += is_served;
            *refused += !is_served;
          }
      g_usleep (POLL_MS * 1000);
    }
  return served;
}

/* The store does not answer the entries, but others, who hear that its table may have
 * been replaced. */
static void
test_entry_cut_off_served_longer_than_a_configuration_may_take (Testbed *tb)
{
  unsigned refused;
  unsigned served;
  gint64 begin_us;

  start_readers (tb, false);
  g_atomic_int_set (&hear_store, 1);
  g_usleep (2 * APPLY_MS * 1000);
  CHECK (eventually (requests_are_served, tb));
  begin_us = g_get_monotonic_time ();
  kill (tb->store_process.pid, SIGSTOP);
  served = count_served (tb, begin_us, APPLY_MS, REVOKED_MS, &refused);
  g_print ("while others hear the store: %u served, %u refused\n", served, refused);
  CHECK (served == 0 && refused > 0);
  kill (tb->store_process.pid, SIGCONT);
  CHECK (eventually (requests_are_served, tb));
}

/* Nobody hears the store: the table cannot have been replaced in time for anyone. */
static void
test_outage_of_the_store_ended_service_at_the_bound_of_a_configuration (Testbed *tb)
{
  unsigned refused;
  unsigned served;
  gint64 begin_us;

  g_atomic_int_set (&hear_store, 0);
  g_usleep (APPLY_MS * 1000);
  CHECK (eventually (requests_are_served, tb));
  begin_us = g_get_monotonic_time ();
  kill (tb->store_process.pid, SIGSTOP);
  served = count_served (tb, begin_us, 0, OUTAGE_SERVED_MS, &refused);
  g_print ("in an outage of the store: %u served, %u refused\n", served, refused);
  CHECK (served > 0 && refused == 0);
  kill (tb->store_process.pid, SIGCONT);
  CHECK (eventually (requests_are_served, tb));
  stop_readers (tb, false);
}

const TestFunc stale_reader_tests[] = {
  test_readers_with_old_copies_kept_an_entry_from_the_store,
  test_entry_that_started_asked_only_readers_without_a_copy,
  test_entry_that_did_not_learn_its_region_in_time_read_everything_itself,
  test_list_that_a_reader_has_was_read_from_the_store,
  test_revoked_key_outlived_the_bound_of_a_configuration,
  test_server_that_leaves_got_requests_after_the_bound,
  NULL,
};

const TestFunc proof_bound_tests[] = {
  test_entry_cut_off_served_longer_than_a_configuration_may_take,
  test_outage_of_the_store_ended_service_at_the_bound_of_a_configuration,
  NULL,
};
