/*
 * Parses and formats "IP:PORT" addresses: numeric IPv4 only, no host names.
 */
#ifndef DL_ADDRESS_H
#define DL_ADDRESS_H

#include <netinet/in.h>

#include "kernel/str.h"

#define DL_ADDRESS_BYTES 24 /* "255.255.255.255:65535" with the terminating NUL */

/* Parses TEXT into *ADDRESS.  Returns 0 or -EINVAL. */
int dl_address_parse (DlStr text, struct sockaddr_in *address);
/* Writes *ADDRESS as "IP:PORT" into TEXT. */
void dl_address_format (const struct sockaddr_in *address, char text[DL_ADDRESS_BYTES]);

#endif
