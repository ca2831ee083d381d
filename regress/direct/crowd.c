/*
 * Tests with callers that hold an entry's or a stager's memory: many bodies at once that
 * stop just short of their end, or that are far too long.
 *
 * They check what does not depend on the speed of the machine: the process lives, its
 * memory and its open descriptors stay under a bound, and an ordinary request is answered
 * while the crowd stays and after it has left.
 */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "raw_call.h"

/* The crowd, and what it sends on each connection. */
#define CROWD       256
#define BODY_BYTES  ((1u << 20) - 1)
#define LARGE_CHUNK 65536
#define SMALL_CHUNK 16
#define ANNOUNCED   "1073741824"
/* With a limit above BODY_BYTES, what the crowd sends is within it. */
#define LIMIT_ABOVE (4u << 20)
/* The smallest entry host has 112 MB, of which an idle entry uses 11. */
#define GROWTH_MAX_KB (101u << 10)
/* Descriptors beside those of the crowd that an entry may have opened since it was idle:
 * to the store, to other nodes and for one request. */
#define DESCRIPTORS_MORE 32
/* A crowd that can send nothing more for this long has sent what it can. */
#define STUCK_MS 2000
/* A process has read what was sent when its memory has not changed in so many polls. */
#define SETTLED_POLLS  8
#define SETTLE_POLL_US 250000
#define SETTLE_TRIES   400
/* The end of the sending at the latest. */
#define SEND_MAX_MS 120000
#define US_PER_MS   1000

/* How the crowd sends its bodies. */
typedef enum
{
  CROWD_CHUNKED,   /* in chunks, without the last one */
  CROWD_ANNOUNCED, /* with a length that is far too long */
} CrowdKind;

/* One connection of the crowd. */
typedef struct
{
  int fd;        /* -1: refused or closed */
  size_t sent;   /* bytes of the text */
  bool finished; /* all of it was sent, or the connection ended */
} Caller;

/* -------- the process -------- */

/* A number of /proc/PID/status in kB; 0 when the process has ended. */
static unsigned long
status_kb (int pid, const char *member)
{
  char *path = g_strdup_printf ("/proc/%d/status", pid);
  char *text = NULL;
  unsigned long kb = 0;

  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      const char *at = strstr (text, member);

      if (at != NULL)
        sscanf (at + strlen (member), " %lu", &kb);
    }
  g_free (text);
  g_free (path);
  return kb;
}

static unsigned
count_descriptors (int pid)
{
  char *path = g_strdup_printf ("/proc/%d/fd", pid);
  DIR *folder = opendir (path);
  unsigned count = 0;

  while (folder != NULL && readdir (folder) != NULL)
    count++;
  if (folder != NULL)
    closedir (folder);
  g_free (path);
  return count;
}

/* -------- the crowd -------- */

static GString *
crowd_text (CrowdKind kind, size_t chunk_bytes)
{
  GString *text = g_string_new ("POST /o/crowd HTTP/1.1\r\nHost: x.example\r\n"
                                "Authorization: Token key1\r\nX-Deadline-Ms: 4000\r\n");
  char *chunk = g_strnfill (chunk_bytes, 'x');

  g_string_append (text, kind == CROWD_CHUNKED ? "Transfer-Encoding: chunked\r\n\r\n"
                                               : "Content-Length: " ANNOUNCED "\r\n\r\n");
  for (size_t left = BODY_BYTES; left > 0;)
    {
      size_t length = MIN (left, chunk_bytes);

      if (kind == CROWD_CHUNKED)
        g_string_append_printf (text, "%zx\r\n", length);
      g_string_append_len (text, chunk, (gssize)length);
      if (kind == CROWD_CHUNKED)
        g_string_append (text, "\r\n");
      left -= length;
    }
  g_free (chunk);
  return text;
}

static void
open_crowd (Caller callers[CROWD], const char *address)
{
  for (unsigned i = 0; i < CROWD; i++)
    {
      RawCall call;

      callers[i] = (Caller){ .fd = -1 };
      if (raw_call_open (&call, address))
        callers[i].fd = call.fd;
      callers[i].finished = callers[i].fd < 0;
      if (callers[i].fd >= 0)
        fcntl (callers[i].fd, F_SETFL, O_NONBLOCK);
    }
}

/* Sends what the connection takes; true when it took something. */
static bool
send_some (Caller *c, const GString *text)
{
  ssize_t n = send (c->fd, text->str + c->sent, text->len - c->sent, MSG_NOSIGNAL);

  if (n > 0)
    c->sent += (size_t)n;
  c->finished = c->sent == text->len || (n < 0 && errno != EAGAIN);
  return n > 0;
}

/* Sends until nobody can send any more. */
static void
send_all (Caller callers[CROWD], const GString *text)
{
  gint64 begin_us = g_get_monotonic_time ();
  gint64 moved_us = begin_us;
  gint64 now_us = begin_us;

  while (now_us - moved_us < STUCK_MS * US_PER_MS
         && now_us - begin_us < (gint64)SEND_MAX_MS * US_PER_MS)
    {
      unsigned unfinished = 0;

      for (unsigned i = 0; i < CROWD; i++)
        {
          if (callers[i].finished)
            continue;
          unfinished++;
          if (send_some (&callers[i], text))
            moved_us = g_get_monotonic_time ();
        }
      if (unfinished == 0)
        return;
      g_usleep (US_PER_MS);
      now_us = g_get_monotonic_time ();
    }
}

/* Waits until the process has read what the kernel holds for it. */
static void
settle (const Process *process)
{
  unsigned long last_kb = 0;
  unsigned unchanged = 0;

  for (unsigned i = 0; i < SETTLE_TRIES && unchanged < SETTLED_POLLS; i++)
    {
      unsigned long now_kb = status_kb (process->pid, "VmRSS:");

      unchanged = now_kb == last_kb ? unchanged + 1 : 0;
      last_kb = now_kb;
      g_usleep (SETTLE_POLL_US);
    }
}

static void
close_crowd (Caller callers[CROWD])
{
  for (unsigned i = 0; i < CROWD; i++)
    if (callers[i].fd >= 0)
      close (callers[i].fd);
}

/* -------- the checks -------- */

static bool
first_entry_serves (Testbed *tb)
{
  return status_with_key (tb, 0, "key1") == 200;
}

/* Plays a crowd at ADDRESS of the process, and checks what must hold. */
static void
play_crowd (Testbed *tb,
            const Process *process,
            const char *address,
            CrowdKind kind,
            size_t chunk_bytes)
{
  GString *text = crowd_text (kind, chunk_bytes);
  unsigned long idle_kb = status_kb (process->pid, "VmRSS:");
  unsigned idle_descriptors = count_descriptors (process->pid);
  Caller callers[CROWD];
  unsigned long peak_kb;

  open_crowd (callers, address);
  send_all (callers, text);
  settle (process);
  CHECK (status_kb (process->pid, "VmRSS:") > 0);
  CHECK (count_descriptors (process->pid) <= idle_descriptors + CROWD + DESCRIPTORS_MORE);
  CHECK (eventually (first_entry_serves, tb));
  close_crowd (callers);
  CHECK (eventually (first_entry_serves, tb));
  peak_kb = status_kb (process->pid, "VmHWM:");
  CHECK (peak_kb > 0);
  CHECK (peak_kb <= idle_kb + GROWTH_MAX_KB);
  g_print ("crowd at %s: %lu kB idle, %lu kB at its peak\n", address, idle_kb, peak_kb);
  g_string_free (text, TRUE);
}

/* True once a process that has just started listens at ADDRESS. */
static bool
is_listening (const char *address)
{
  RawCall call;
  bool opened = false;

  for (unsigned i = 0; i < SETTLE_TRIES && !opened; i++)
    {
      opened = raw_call_open (&call, address);
      if (opened)
        close (call.fd);
      else
        g_usleep (SETTLE_POLL_US);
    }
  return opened;
}

/* The peak of a process counts from its start. */
static void
restart (Testbed *tb, Process *process)
{
  process_end (process, SIGKILL);
  CHECK (process_start (process));
  CHECK (eventually (requests_are_served, tb));
}

/* Has entries accept bodies of up to BYTES; 0 for the usual limit. */
static void
set_body_limit (Testbed *tb, unsigned bytes)
{
  tb->body_limit_bytes = bytes;
  CHECK (testbed_configure (tb, false));
}

static void
play_at_first_entry (Testbed *tb, CrowdKind kind, size_t chunk_bytes)
{
  restart (tb, &tb->entry_process[0]);
  play_crowd (tb, &tb->entry_process[0], tb->entry[0], kind, chunk_bytes);
}

/* -------- the tests -------- */

/* Each body is within the limit, and never ends. */
static void
test_bodies_that_stop_short_filled_the_memory (Testbed *tb)
{
  set_body_limit (tb, LIMIT_ABOVE);
  play_at_first_entry (tb, CROWD_CHUNKED, LARGE_CHUNK);
}

static void
test_small_chunks_filled_the_memory (Testbed *tb)
{
  set_body_limit (tb, LIMIT_ABOVE);
  play_at_first_entry (tb, CROWD_CHUNKED, SMALL_CHUNK);
}

static void
test_unannounced_long_bodies_filled_the_memory (Testbed *tb)
{
  set_body_limit (tb, 0);
  play_at_first_entry (tb, CROWD_CHUNKED, LARGE_CHUNK);
}

static void
test_announced_long_bodies_filled_the_memory (Testbed *tb)
{
  set_body_limit (tb, 0);
  play_at_first_entry (tb, CROWD_ANNOUNCED, LARGE_CHUNK);
}

/* The addresses at which no body is expected. */
static void
test_other_addresses_of_an_entry_held_bodies (Testbed *tb)
{
  const char *const addresses[]
      = { tb->ready[0], tb->directory[0], tb->metrics[0], tb->entry_node[0] };

  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      restart (tb, &tb->entry_process[0]);
      play_crowd (tb, &tb->entry_process[0], addresses[i], CROWD_CHUNKED, LARGE_CHUNK);
    }
}

static void
test_stager_held_bodies (Testbed *tb)
{
  restart (tb, &tb->stager_process[0]);
  CHECK (is_listening (tb->stager_node[0]));
  play_crowd (tb, &tb->stager_process[0], tb->stager_node[0], CROWD_CHUNKED, LARGE_CHUNK);
}

/* A limit on all bodies together does not refuse a single one that is within the limit of
 * a body. */
static void
test_single_long_body_was_refused (Testbed *tb)
{
  char *body = g_strnfill (LIMIT_ABOVE - 1, 'x');
  Call c = default_call (tb, "/o/long-body", "crowd-single");
  Response r;

  set_body_limit (tb, LIMIT_ABOVE);
  restart (tb, &tb->entry_process[0]);
  c.body = body;
  r = call (&c);
  CHECK (r.status == 200);
  response_free (&r);
  g_free (body);
}

const TestFunc crowd_tests[] = {
  test_bodies_that_stop_short_filled_the_memory,
  test_small_chunks_filled_the_memory,
  test_unannounced_long_bodies_filled_the_memory,
  test_announced_long_bodies_filled_the_memory,
  test_other_addresses_of_an_entry_held_bodies,
  test_stager_held_bodies,
  test_single_long_body_was_refused,
  NULL,
};
