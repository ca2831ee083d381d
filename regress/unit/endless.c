#include "endless.h"

#include <glib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../slices/slices.h"

#define PIECE_BYTES 16384

typedef struct
{
  int sender;
  int reader; /* a copy, which stays open when the reader closes its own */
  size_t sent_bytes;
} Endless;

static Endless endless;

static void
fill (void)
{
  static const char piece[PIECE_BYTES];
  ssize_t n;

  while (endless.sent_bytes < ENDLESS_GIVE_UP_BYTES
         && (n = send (endless.sender, piece, sizeof piece, MSG_DONTWAIT | MSG_NOSIGNAL))
                > 0)
    endless.sent_bytes += (size_t)n;
}

static void
on_read (void)
{
  fill ();
  slices_begin (1, 0, on_read);
}

int
endless_begin (void)
{
  int pair[2];

  g_assert (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair)
            == 0);
  endless = (Endless){ .sender = pair[0], .reader = dup (pair[1]) };
  g_assert (endless.reader >= 0);
  fill ();
  slices_count_only ("recv");
  slices_begin (1, 0, on_read);
  return pair[1];
}

size_t
endless_unread_bytes (void)
{
  int bytes = 0;

  g_assert (ioctl (endless.reader, FIONREAD, &bytes) == 0);
  return (size_t)bytes;
}

size_t
endless_read_bytes (void)
{
  return endless.sent_bytes - endless_unread_bytes ();
}

void
endless_stop (void)
{
  slices_end ();
  slices_count_only (NULL);
}

void
endless_end (void)
{
  endless_stop ();
  close (endless.sender);
  close (endless.reader);
}
