/*
 * Malformed messages at each socket that a process reads: callers' and peers' requests,
 * datagrams, objects of the store, and what the store, upstreams and origins answer.
 * Whole exchanges are changed at random; no process may end by itself.
 *
 * MALFORMED_SEED chooses what is changed, MALFORMED_ROUNDS multiplies how often.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "direct.h"
#include "kernel/address.h"
#include "mutate.h"
#include "played.h"

#define REQUESTS           500 /* of a round, as are the next three */
#define DATAGRAMS          1500
#define OBJECTS            120
#define ANSWERED           60 /* requests sent while answers are malformed */
#define READ_WAIT_US       20000
#define RECORD_US          1500000
#define RECORDED_MAX       64
#define ANSWER_BYTES       1400 /* of which are read */
#define DATAGRAMS_IN_A_ROW 64
#define PLAYED_NAME        "played"
#define PLAYED_REGION      "r1"
#define PLAYED_HOST        60
#define CACHED_HOST        11 /* of the first stager */
#define SETTLE_US          300000
#define PIECES_ONE_IN      3
#define FETCHED_EVERY      20
#define PAUSE_US           20000
#define ODD_DISCONNECT_MS  6000
#define DATAGRAM_TARGETS   4

static GRand *rand_source;
static unsigned rounds;

static unsigned
environment_uint (const char *name, unsigned otherwise)
{
  const char *text = g_getenv (name);

  return text != NULL ? (unsigned)g_ascii_strtoull (text, NULL, 10) : otherwise;
}

static unsigned
below (unsigned limit)
{
  return (unsigned)g_rand_int_range (rand_source, 0, (gint32)limit);
}

static GByteArray *
mutated (const void *data, size_t length)
{
  GByteArray *bytes = g_byte_array_new ();

  g_byte_array_append (bytes, data, (guint)length);
  mutate (rand_source, bytes);
  return bytes;
}

/* -------- the processes -------- */

static bool
is_running (Process *process)
{
  int status;

  if (waitpid (process->pid, &status, WNOHANG) == 0)
    return true;
  g_print ("%s ended by itself, status 0x%x\n", process->name, (unsigned)status);
  process->pid = 0;
  return false;
}

static void
check_all_run (Testbed *tb)
{
  g_usleep (SETTLE_US);
  for (unsigned i = 0; i < ENTRIES; i++)
    CHECK (is_running (&tb->entry_process[i]));
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    CHECK (is_running (&tb->stager_process[i]));
}

/* Starts entries and stagers anew, so that they know nothing that malformed messages told
 * them, and writes the configuration again. */
static void
start_anew (Testbed *tb)
{
  end_nodes (tb);
  CHECK (testbed_configure (tb, false));
  for (unsigned i = 0; i < SERVERS; i++)
    CHECK (testbed_restart_server (tb, i));
  start_nodes (tb);
  CHECK (eventually (requests_are_served, tb));
}

/* -------- requests -------- */

static const char *const caller_requests[] = {
  "GET /r/x HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: m-1\r\n"
  "Authorization: Token key1\r\nX-Deadline-Ms: 900\r\n\r\n",
  "POST /s/x HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: m-2\r\n"
  "Authorization: Token key1\r\nX-Deadline-Ms: 900\r\nX-Model-Name: big\r\n"
  "X-Token-Usage: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n"
  "X-Length-Hint: 60\r\nLast-Event-Id: 3\r\nContent-Length: 4\r\n\r\nbody",
  "POST /o/x HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: m-3\r\n"
  "Authorization: Token key1\r\nX-Deadline-Ms: 900\r\n"
  "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
  "GET /r/x HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: m-4\r\n\r\n",
};
static const char *const directory_requests[] = {
  "GET /-/resolve?name=x.example&region=r1&zone=d1 HTTP/1.1\r\nHost: d\r\n\r\n",
};
static const char *const ready_requests[] = {
  "GET /-/readyz HTTP/1.1\r\nHost: d\r\n\r\n",
};
static const char *const entry_peer_requests[] = {
  "GET /metrics HTTP/1.1\r\nHost: d\r\n\r\n",
  "GET /dump HTTP/1.1\r\nHost: d\r\n\r\n",
  "GET /v1/objects?kind=config&after= HTTP/1.1\r\nHost: d\r\n\r\n",
  "GET /v1/watch?kind=servers&revision=3&wait_ms=100 HTTP/1.1\r\nHost: d\r\n\r\n",
};
static const char *const chunk_requests[] = {
  "GET /chunk?model=big&version=1&num=3 HTTP/1.1\r\nHost: d\r\n\r\n",
  "GET /manifest?model=big&version=1 HTTP/1.1\r\nHost: d\r\n\r\n",
};

/* An address and the requests that it is sent. */
typedef struct
{
  const char *address;
  const char *const *requests;
  size_t count;
} RequestTarget;

static int
connect_to (const char *address)
{
  struct sockaddr_in at;
  struct timeval wait = { .tv_usec = READ_WAIT_US };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CHECK (dl_address_parse (dl_str (address), &at) == 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  if (connect (fd, (const struct sockaddr *)&at, sizeof at) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Sends BYTES whole, or in two pieces, and reads a part of the answer. */
static void
send_bytes (const char *address, const GByteArray *bytes)
{
  char answer[ANSWER_BYTES];
  guint first = bytes->len > 1 && below (PIECES_ONE_IN) == 0 ? below (bytes->len) : 0;
  int fd = connect_to (address);

  if (fd < 0)
    return;
  (void)send (fd, bytes->data, first, MSG_NOSIGNAL);
  (void)send (fd, bytes->data + first, bytes->len - first, MSG_NOSIGNAL);
  (void)recv (fd, answer, sizeof answer, 0);
  close (fd);
}

static void
test_requests (Testbed *tb)
{
  g_autofree char *cache
      = g_strdup_printf ("%s.%u:" PLAYED_NODE_PORT, tb->subnet, CACHED_HOST);
  const RequestTarget targets[] = {
    { tb->entry[0], caller_requests, G_N_ELEMENTS (caller_requests) },
    { tb->directory[0], directory_requests, G_N_ELEMENTS (directory_requests) },
    { tb->ready[0], ready_requests, G_N_ELEMENTS (ready_requests) },
    { tb->metrics[0], entry_peer_requests, G_N_ELEMENTS (entry_peer_requests) },
    { cache, chunk_requests, G_N_ELEMENTS (chunk_requests) },
  };

  for (unsigned i = 0; i < REQUESTS * rounds; i++)
    {
      const RequestTarget *t = &targets[below (G_N_ELEMENTS (targets))];
      const char *text = t->requests[below ((unsigned)t->count)];
      g_autoptr (GByteArray) bytes = mutated (text, strlen (text));

      send_bytes (t->address, bytes);
    }
  check_all_run (tb);
  CHECK (eventually (requests_are_served, tb));
}

/* Headers of callers' requests whose values are out of range, or no values. */
static const char *const odd_headers[] = {
  "X-Deadline-Ms: 0",
  "X-Deadline-Ms: -1",
  "X-Deadline-Ms: 18446744073709551615",
  "X-Deadline-Ms: 99999999999999999999999999",
  "X-Deadline-Ms: 1e30",
  "X-Deadline-Ms: x",
  "X-Token-Usage: -1,-1",
  "X-Token-Usage: 18446744073709551615,18446744073709551615",
  "X-Token-Usage: ,",
  "X-Prompt-Prefix: ,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,,",
  "X-Prompt-Prefix: :,:,:",
  "X-Prompt-Prefix: a:18446744073709551616,b:-1",
  "X-Prompt-Prefix: 0123456789abcdef0123456789abcdef0123456789abcdef:1,b:1",
  "Last-Event-Id: 18446744073709551615",
  "Last-Event-Id: -1",
  "X-Length-Hint: 1e400",
  "Connection: X-Request-Id, Host, Authorization, close",
  "Range: bytes=0-1",
  "Expect: 200-ok",
};

/* Each odd header on a route of each kind. */
static void
test_odd_header_values (Testbed *tb)
{
  static const char *const paths[] = { "/r/x", "/s/x", "/o/x", "/p/x" };
  Response r;

  for (size_t i = 0; i < G_N_ELEMENTS (odd_headers); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (paths); k++)
      {
        g_autofree char *id = g_strdup_printf ("odd-%" G_GSIZE_FORMAT, i);
        Call c = default_call (tb, paths[k], id);

        c.header = odd_headers[i];
        c.deadline_ms = 0;
        c.disconnect_ms = ODD_DISCONNECT_MS;
        r = call (&c);
        check (r.status != 0, "the request was answered", odd_headers[i], __LINE__);
        response_free (&r);
      }
  check_all_run (tb);
  CHECK (eventually (requests_are_served, tb));
}

/* -------- datagrams -------- */

typedef struct
{
  int fd;
  GPtrArray *recorded; /* of GBytes: datagrams of the real nodes */
} PlayedNode;

/* Registers an entry whose datagrams the real nodes accept, and records theirs. */
static void
record_datagrams (Testbed *tb, PlayedNode *node)
{
  g_autofree char *address
      = g_strdup_printf ("%s.%u:" PLAYED_NODE_PORT, tb->subnet, PLAYED_HOST);
  uint8_t bytes[PLAYED_DATAGRAM_BYTES];
  ssize_t n;

  node->fd = played_socket (address);
  CHECK (node->fd >= 0);
  node->recorded = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  CHECK (played_register (tb, &(PlayedEntry){ .name = PLAYED_NAME,
                                              .region = PLAYED_REGION,
                                              .address = address,
                                              .listen = address }));
  g_usleep (RECORD_US);
  while (node->recorded->len < RECORDED_MAX
         && (n = recv (node->fd, bytes, sizeof bytes, 0)) > 0)
    g_ptr_array_add (node->recorded, g_bytes_new (bytes, (gsize)n));
  CHECK (node->recorded->len > 0);
}

static void
send_mutated_datagram (const Testbed *tb, const PlayedNode *node)
{
  static const unsigned hosts[DATAGRAM_TARGETS] = { 11, 12, 21, 22 };
  GBytes *recorded = g_ptr_array_index (node->recorded, below (node->recorded->len));
  g_autoptr (GByteArray) bytes
      = mutated (g_bytes_get_data (recorded, NULL), g_bytes_get_size (recorded));

  played_send (tb, node->fd, hosts[below (DATAGRAM_TARGETS)], bytes->data, bytes->len);
}

static void
test_datagrams (Testbed *tb)
{
  PlayedNode node;
  g_autofree char *object = played_object (PLAYED_REGION, PLAYED_NAME);

  record_datagrams (tb, &node);
  for (unsigned i = 0; i < DATAGRAMS * rounds && node.recorded->len > 0; i++)
    {
      send_mutated_datagram (tb, &node);
      if (i % DATAGRAMS_IN_A_ROW == 0)
        g_usleep (PAUSE_US);
    }
  check_all_run (tb);
  CHECK (testbed_delete (tb, "daisyloft-nodes", object));
  close (node.fd);
  g_ptr_array_free (node.recorded, TRUE);
  start_anew (tb);
}

/* -------- objects of the store -------- */

typedef struct
{
  const char *kind;
  const char *name;
  const char *spec;
} ObjectCase;

static const ObjectCase object_cases[] = {
  { "config", "main",
    "{\"version\":7000,\"routes\":[{\"name\":\"a\",\"hostname\":\"x.example\","
    "\"path_prefix\":\"/r/\",\"kind\":\"safe\",\"timeout_ms\":4000,"
    "\"target_latency_ms\":400,\"backend\":\"m\",\"max_attempts\":2,"
    "\"weighted_backends\":[{\"backend\":\"m\",\"weight\":3}]}],"
    "\"services\":[{\"name\":\"m\",\"engine\":{\"layers\":4,\"chunks\":16,"
    "\"chunk_bytes\":4096,\"models\":[{\"name\":\"big\"}],"
    "\"usual\":{\"prompt\":100,\"answer\":10}}},{\"name\":\"p\"},"
    "{\"name\":\"w\",\"origin\":\"127.0.0.1:1\",\"link_mbps\":10}],"
    "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":100000},"
    "\"tenants\":[{\"name\":\"org\",\"api_keys\":[\"key1\"],\"priority\":1}]}" },
  { "servers", "odd",
    "{\"backend\":\"m\",\"address\":\"127.0.0.1:1\",\"zone\":\"d1\",\"slots\":4,"
    "\"state\":\"ready\",\"born\":5,\"models\":[{\"name\":\"big\",\"version\":1}]}" },
  { "versions", "big", "{\"model\":\"big\",\"version\":1}" },
  { "daisyloft-nodes", "r1.0.odd",
    "{\"name\":\"odd\",\"role\":1,\"region\":\"r1\",\"data_center\":\"d1\","
    "\"address\":\"127.0.0.1:7700\",\"listen\":\"127.0.0.1:8001\"}" },
};

/* Writes the object with a spec that is changed but still JSON; the store takes no other.
 */
static void
put_mutated (Testbed *tb, const ObjectCase *c)
{
  g_autoptr (GByteArray) bytes = mutated (c->spec, strlen (c->spec));
  json_object *spec;

  g_byte_array_append (bytes, (const guint8 *)"", 1);
  spec = json_tokener_parse ((const char *)bytes->data);
  if (spec == NULL)
    return;
  (void)testbed_put (tb, c->kind, c->name,
                     json_object_to_json_string_ext (spec, JSON_C_TO_STRING_PLAIN));
  json_object_put (spec);
}

static void
test_objects (Testbed *tb)
{
  for (unsigned i = 0; i < OBJECTS * rounds; i++)
    {
      put_mutated (tb, &object_cases[below (G_N_ELEMENTS (object_cases))]);
      g_usleep (PAUSE_US);
    }
  check_all_run (tb);
  (void)testbed_delete (tb, "servers", "odd");
  (void)testbed_delete (tb, "daisyloft-nodes", "r1.0.odd");
  CHECK (testbed_put (tb, "versions", "big", "{\"model\":\"big\",\"version\":1}"));
  start_anew (tb);
}

/* -------- answers -------- */

static void
set_all (Testbed *tb, ProxyMode mode)
{
  for (guint i = 0; i < tb->proxies->len; i++)
    {
      Proxy *proxy = g_ptr_array_index (tb->proxies, i);

      proxy_seed (proxy, 1 + below (G_MAXINT32 - 1));
      proxy_set_mode (proxy, mode);
    }
}

/* Sends requests to all routes while what the store, the servers and the origin answer is
 * malformed, and versions are announced, so that weights are fetched meanwhile. */
static void
test_answers (Testbed *tb)
{
  static const char *const paths[] = { "/r/x", "/s/x", "/o/x", "/p/x" };
  uint64_t version = 1;

  set_all (tb, PROXY_MUTATE);
  for (unsigned i = 0; i < ANSWERED * rounds; i++)
    {
      g_autofree char *id = g_strdup_printf ("answered-%u", i);
      Call c = default_call (tb, paths[below (G_N_ELEMENTS (paths))], id);
      Response r;

      if (i % FETCHED_EVERY == 0)
        CHECK (testbed_announce_version (tb, ++version));
      c.address = tb->entry[below (ENTRIES)];
      r = call (&c);
      response_free (&r);
    }
  check_all_run (tb);
  set_all (tb, PROXY_PASS);
  start_anew (tb);
}

/* -------- the group -------- */

static void
begin (Testbed *tb)
{
  unsigned seed = environment_uint ("MALFORMED_SEED", 1);

  rounds = environment_uint ("MALFORMED_ROUNDS", 1);
  rand_source = g_rand_new_with_seed (seed);
  g_print ("malformed messages: seed %u, rounds %u\n", seed, rounds);
}

static void
end (Testbed *tb)
{
  g_rand_free (rand_source);
}

const TestFunc malformed_tests[]
    = { begin,        test_odd_header_values, test_requests, test_datagrams,
        test_objects, test_answers,           end,           NULL };
