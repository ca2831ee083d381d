#include "slices.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <stdarg.h>
#include <stdbool.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define US_PER_MS 1000

static _Thread_local bool counting;
static _Thread_local const char *call = "";
static _Thread_local const char
    *counted; /* the name of the calls that count; NULL: all */
static _Thread_local uint64_t count;
static _Thread_local uint64_t slice_at;
static _Thread_local unsigned slice_ms;
static _Thread_local void (*slice_func) (void);

void
slices_begin (uint64_t at, unsigned ms, void (*on_slice) (void))
{
  counting = true;
  count = 0;
  slice_at = at;
  slice_ms = ms;
  slice_func = on_slice;
}

uint64_t
slices_end (void)
{
  counting = false;
  return count;
}

__attribute__ ((weak)) void
slices_before_call (void)
{
}

__attribute__ ((weak)) void
slices_on_output (const char *bytes, size_t length)
{
}

void
slices_count_only (const char *name)
{
  counted = name;
}

const char *
slices_call (void)
{
  return call;
}

static void
step (const char *name)
{
  slices_before_call ();
  call = name;
  if (!counting || (counted != NULL && strcmp (counted, name) != 0)
      || ++count != slice_at)
    return;
  slice_func ();
  g_usleep ((gulong)slice_ms * US_PER_MS);
}

void
slices_step (void)
{
  step ("");
}

/* Defines NAME, which counts a step and makes the call. */
#define INTERCEPT(type, name, parameters, arguments)        \
  type name parameters                                      \
  {                                                         \
    static type (*real) parameters;                         \
                                                            \
    if (real == NULL)                                       \
      real = (type (*) parameters)dlsym (RTLD_NEXT, #name); \
    step (#name);                                           \
    return real arguments;                                  \
  }

INTERCEPT (ssize_t,
           recv,
           (int fd, void *buffer, size_t length, int flags),
           (fd, buffer, length, flags))
INTERCEPT (ssize_t,
           send,
           (int fd, const void *buffer, size_t length, int flags),
           (fd, buffer, length, flags))
INTERCEPT (ssize_t,
           sendmsg,
           (int fd, const struct msghdr *message, int flags),
           (fd, message, flags))
INTERCEPT (int,
           accept4,
           (int fd, struct sockaddr *address, socklen_t *length, int flags),
           (fd, address, length, flags))
INTERCEPT (ssize_t, read, (int fd, void *buffer, size_t length), (fd, buffer, length))
INTERCEPT (int, socket, (int domain, int type, int protocol), (domain, type, protocol))
INTERCEPT (int,
           bind,
           (int fd, const struct sockaddr *address, socklen_t length),
           (fd, address, length))
INTERCEPT (int, listen, (int fd, int backlog), (fd, backlog))
INTERCEPT (int,
           connect,
           (int fd, const struct sockaddr *address, socklen_t length),
           (fd, address, length))
INTERCEPT (int,
           setsockopt,
           (int fd, int level, int name, const void *value, socklen_t length),
           (fd, level, name, value, length))
INTERCEPT (int,
           sigprocmask,
           (int how, const sigset_t *set, sigset_t *before),
           (how, set, before))
INTERCEPT (int, epoll_create1, (int flags), (flags))
INTERCEPT (int, close, (int fd), (fd))
INTERCEPT (int, shutdown, (int fd, int how), (fd, how))
INTERCEPT (int,
           getsockopt,
           (int fd, int level, int name, void *value, socklen_t *length),
           (fd, level, name, value, length))
INTERCEPT (int, poll, (struct pollfd * fds, nfds_t n, int timeout), (fds, n, timeout))
INTERCEPT (int,
           epoll_ctl,
           (int epoll, int operation, int fd, struct epoll_event *event),
           (epoll, operation, fd, event))
INTERCEPT (int,
           epoll_wait,
           (int epoll, struct epoll_event *events, int n, int timeout),
           (epoll, events, n, timeout))

int
ioctl (int fd, unsigned long request, ...)
{
  static int (*real) (int, unsigned long, ...);
  va_list arguments;
  void *argument;

  if (real == NULL)
    real = (int (*) (int, unsigned long, ...))dlsym (RTLD_NEXT, "ioctl");
  va_start (arguments, request);
  argument = va_arg (arguments, void *);
  va_end (arguments);
  step ("ioctl");
  return real (fd, request, argument);
}

ssize_t
write (int fd, const void *bytes, size_t length)
{
  static ssize_t (*real) (int, const void *, size_t);
  ssize_t written;

  if (real == NULL)
    real = (ssize_t (*) (int, const void *, size_t))dlsym (RTLD_NEXT, "write");
  step ("write");
  written = real (fd, bytes, length);
  if (fd == STDOUT_FILENO)
    slices_on_output (bytes, length);
  return written;
}

/* Defines NAME, one of the names of open, which counts a step and makes the call. */
#define INTERCEPT_OPEN(name)                                             \
  int name (const char *path, int flags, ...)                            \
  {                                                                      \
    static int (*real) (const char *, int, ...);                         \
    va_list arguments;                                                   \
    mode_t mode;                                                         \
                                                                         \
    if (real == NULL)                                                    \
      real = (int (*) (const char *, int, ...))dlsym (RTLD_NEXT, #name); \
    va_start (arguments, flags);                                         \
    mode = (flags & O_CREAT) != 0 ? va_arg (arguments, mode_t) : 0;      \
    va_end (arguments);                                                  \
    step (#name);                                                        \
    return real (path, flags, mode);                                     \
  }

INTERCEPT_OPEN (open)
INTERCEPT_OPEN (open64)
