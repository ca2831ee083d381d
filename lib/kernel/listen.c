#include "kernel/listen.h"

#include <errno.h>
#include <linux/filter.h>
#include <stddef.h>
#include <stdint.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define TCP_FLAGS_OFFSET offsetof (struct tcphdr, th_flags)

/* SO_REUSEADDR allows the address of connections that ended a while ago.  SO_REUSEPORT
 * would share it with another process, and new connections with it. */
int
dl_listen (const struct sockaddr_in *at, int backlog)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  int error;

  if (fd < 0)
    return -errno;
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) == 0
      && bind (fd, (const struct sockaddr *)at, sizeof *at) == 0
      && listen (fd, backlog) == 0)
    return fd;
  error = -errno;
  close (fd);
  return error;
}

/* A socket filter sees the segment from its TCP header on. */
int
dl_listen_stop (int fd)
{
  struct sock_filter drop_syn[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_JUMP (BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, UINT32_MAX),
  };
  struct sock_fprog program
      = { .len = sizeof drop_syn / sizeof *drop_syn, .filter = drop_syn };

  if (setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) < 0)
    return -errno;
  return 0;
}
