#include "kernel/address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define PORT_MAX 65535

int
dl_address_parse (DlStr text, struct sockaddr_in *address)
{
  char ip[INET_ADDRSTRLEN];
  const char *colon = memrchr (text.data, ':', text.length);
  size_t ip_length;
  uint64_t port;

  if (colon == NULL)
    return -EINVAL;
  ip_length = (size_t)(colon - text.data);
  if (ip_length >= sizeof ip
      || dl_str_to_uint64 (dl_str_bytes (colon + 1, text.length - ip_length - 1), &port)
             < 0
      || port > PORT_MAX)
    return -EINVAL;
  memcpy (ip, text.data, ip_length);
  ip[ip_length] = '\0';
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1 ? 0 : -EINVAL;
}

void
dl_address_format (const struct sockaddr_in *address, char text[DL_ADDRESS_BYTES])
{
  char ip[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &address->sin_addr, ip, sizeof ip);
  snprintf (text, DL_ADDRESS_BYTES, "%s:%u", ip, ntohs (address->sin_port));
}
