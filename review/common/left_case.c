/*
 * REFUSED: clients of an unsafe route leave before their answer.  They close their
 * sending half and read what still comes until the entry closes.
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bed.h"

#define REQUESTS   40
#define LEAVES_ONE 5   /* one client of so many leaves */
#define RUN_MS     400 /* how long a booking runs */
#define LEAVE_US   100000
#define PAUSE_US   20000
#define TEXT_BYTES 2048

/* Opens a channel to ADDRESS, "IP:PORT"; -1 on failure. */
static int
open_channel (const char *address)
{
  char **parts = g_strsplit (address, ":", 2);
  struct sockaddr_in at = { .sin_family = AF_INET };
  struct timeval limit = { .tv_sec = 4 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, parts[0], &at.sin_addr);
  at.sin_port = htons ((uint16_t)strtoul (parts[1], NULL, 10));
  g_strfreev (parts);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&at, sizeof at) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Sends a booking and reads its answer; returns the status, 0 for none.  LEAVES: the
 * client closes its sending half LEAVE_US after it has sent. */
static int
book (Bed *bed, unsigned entry, const char *id, bool leaves)
{
  char text[TEXT_BYTES] = "";
  size_t length = 0;
  int status = 0;
  ssize_t n;
  int fd = open_channel (bed->entry[entry]);

  if (fd < 0)
    return 0;
  g_snprintf (text, sizeof text,
              "POST /o/long/booking HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: %s\r\n"
              "X-Deadline-Ms: 2000\r\nAuthorization: Token key1\r\n"
              "Connection: close\r\nContent-Length: 4\r\n\r\nbook",
              id);
  if (send (fd, text, strlen (text), MSG_NOSIGNAL) > 0 && leaves)
    {
      g_usleep (LEAVE_US);
      shutdown (fd, SHUT_WR);
    }
  while (length < sizeof text - 1
         && (n = recv (fd, text + length, sizeof text - 1 - length, 0)) > 0)
    length += (size_t)n;
  text[length] = '\0';
  if (g_str_has_prefix (text, "HTTP/1.1 "))
    status = (int)strtol (text + strlen ("HTTP/1.1 "), NULL, 10);
  close (fd);
  return status;
}

static bool
promises_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

int
main (void)
{
  Bed *bed = bed_start ();
  unsigned broken = 0;
  unsigned left = 0;

  for (unsigned i = BED_MODEL_SERVERS; i < BED_SERVERS; i++)
    if (!set_fault (bed->server[i], "answer_ms", RUN_MS))
      bed_finish (bed, BED_UNABLE);
  for (unsigned n = 1; n <= REQUESTS; n++)
    {
      bool leaves = bed_has_trouble () && n % LEAVES_ONE == 0;
      char *id = g_strdup_printf ("booking-%u", n);
      int status = book (bed, n % BED_ENTRIES, id, leaves);
      uint64_t runs = bed_runs (bed, id);

      left += leaves;
      bed_record (bed, "%s: status %d, run %" PRIu64 " times%s", id, status, runs,
                  leaves ? "; the client left" : "");
      if (promises_not_run (status) && runs > 0)
        {
          broken++;
          bed_record (bed, "%s was answered %d and has run", id, status);
        }
      g_free (id);
      g_usleep (PAUSE_US);
    }
  bed_record (bed, "%u of %u bookings whose client left: not run, they were told", broken,
              left);
  printf ("told that they had not run, and had: %u of %u that left\n", broken, left);
  bed_finish (bed, broken > 0 ? BED_BROKEN : BED_HELD);
}
