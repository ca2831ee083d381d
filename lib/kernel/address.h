/*
 * Addresses in the form "IP:PORT"; IPv4 only, by number.
 */
#ifndef DL_ADDRESS_H
#define DL_ADDRESS_H

#include <netinet/in.h>

#include "kernel/str.h"

#define DL_ADDRESS_BYTES 24 /* "255.255.255.255:65535" with the closing NUL */

/* Returns 0 or -EINVAL. */
int dl_address_parse (DlStr text, struct sockaddr_in *address);
void dl_address_format (const struct sockaddr_in *address, char text[DL_ADDRESS_BYTES]);

#endif
