/* Servers of tests on loopback. */
#ifndef UNIT_LOOPBACK_H
#define UNIT_LOOPBACK_H

#include <netinet/in.h>

#include "kernel/http_server.h"
#include "kernel/kernel.h"

/* Starts a server of TASK, owned by its state, at a free port; *AT is its address.  Fails
 * the running test when that is not possible. */
DlHttpServer *loopback_server_new (DlTask *task,
                                   const DlHttpLimits *limits,
                                   DlHttpHandler handler,
                                   struct sockaddr_in *at);

#endif
