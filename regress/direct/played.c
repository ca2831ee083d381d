#include "played.h"

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>

#include "kernel/address.h"
#include "policy/fanout.h"

int
played_socket (const char *address)
{
  struct sockaddr_in at;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  if (fd < 0 || dl_address_parse (dl_str (address), &at) < 0
      || bind (fd, (const struct sockaddr *)&at, sizeof at) < 0)
    return -1;
  return fd;
}

void
played_send (const Testbed *tb, int fd, unsigned host, const void *bytes, size_t length)
{
  g_autofree char *address
      = g_strdup_printf ("%s.%u:" PLAYED_NODE_PORT, tb->subnet, host);
  struct sockaddr_in at;

  CHECK (dl_address_parse (dl_str (address), &at) == 0);
  (void)sendto (fd, bytes, length, 0, (const struct sockaddr *)&at, sizeof at);
}

Daisyloft__Wire__NodeStatus
played_status (char *name, uint64_t number)
{
  Daisyloft__Wire__NodeStatus status = DAISYLOFT__WIRE__NODE_STATUS__INIT;

  status.name = name;
  status.incarnation = 77;
  status.number = number;
  status.role = DAISYLOFT__WIRE__ROLE__ROLE_ENTRY;
  status.ready = true;
  status.not_hub = true;
  return status;
}

void
played_tell_region (const Testbed *tb, int fd, const Daisyloft__Wire__NodeStatus *status)
{
  static const unsigned hosts[] = { 21, 22, 11, 12 };
  uint8_t bytes[PLAYED_DATAGRAM_BYTES];
  size_t length = daisyloft__wire__node_status__pack (status, bytes);

  for (size_t i = 0; i < G_N_ELEMENTS (hosts); i++)
    played_send (tb, fd, hosts[i], bytes, length);
}

void
played_choose_name (char name[PLAYED_NAME_BYTES], unsigned *n, bool ranks_before)
{
  uint64_t first = dl_fanout_rank ("entry-1");
  uint64_t second = dl_fanout_rank ("entry-2");
  bool fits;

  do
    {
      uint64_t rank;

      g_snprintf (name, PLAYED_NAME_BYTES, "played-%u", (*n)++);
      rank = dl_fanout_rank (name);
      fits = ranks_before ? rank > MAX (first, second) : rank < MIN (first, second);
    }
  while (!fits);
}

char *
played_object (const char *region, const char *name)
{
  return g_strdup_printf ("%s.0.%s", region, name);
}

bool
played_register (Testbed *tb, const PlayedEntry *entry)
{
  g_autofree char *object = played_object (entry->region, entry->name);
  g_autofree char *relay = entry->relay != NULL
                               ? g_strdup_printf (",\"relay\":\"%s\"", entry->relay)
                               : g_strdup ("");
  g_autofree char *spec = g_strdup_printf (
      "{\"name\":\"%s\",\"role\":%d,\"region\":\"%s\",\"data_center\":\"%s\","
      "\"address\":\"%s\",\"listen\":\"%s\"%s}",
      entry->name, (int)DAISYLOFT__WIRE__ROLE__ROLE_ENTRY, entry->region, entry->region,
      entry->address, entry->listen, relay);

  g_autofree char *entries = g_strdup_printf ("daisyloft-entries-%s", entry->region);

  return testbed_put (tb, "daisyloft-nodes", object, spec)
         && testbed_put (tb, entries, object, spec);
}
