/* Tests of the start of an entry: signals that come in it, and a second process. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "direct.h"

#define US_PER_MS  1000
#define SIGNAL_MS  100 /* until the process would have ended by a signal */
#define SUCCESSORS 5

/* An entry whose settings come through a FIFO, so that its start can be held up. */
typedef struct
{
  Process process;
  char *fifo;
  char *text; /* the settings */
  int fd;
} HeldStart;

static char **
argv_with_settings (const Process *p, const char *path)
{
  char **argv = g_strdupv (p->argv);

  g_free (argv[2]);
  argv[2] = g_strdup (path);
  return argv;
}

/* Ends the first entry and starts it again, up to where it reads its settings. */
static void
begin_held_start (Testbed *tb, HeldStart *h)
{
  const Process *p = &tb->entry_process[0];

  CHECK (process_end (&tb->entry_process[0], SIGKILL) != -1);
  CHECK (g_file_get_contents (p->argv[2], &h->text, NULL, NULL));
  h->fifo = g_strdup_printf ("%s/settings.fifo", tb->folder);
  CHECK (mkfifo (h->fifo, S_IRUSR | S_IWUSR) == 0);
  h->process = (Process){ .name = p->name,
                          .log = p->log,
                          .argv = argv_with_settings (p, h->fifo) };
  CHECK (process_start (&h->process));
  h->fd = open (h->fifo, O_WRONLY | O_CLOEXEC); /* until the process has opened it */
  CHECK (h->fd >= 0);
}

/* Lets the start go on. */
static void
release_start (HeldStart *h)
{
  void (*before) (int) = signal (SIGPIPE, SIG_IGN);
  size_t length = strlen (h->text);

  g_usleep (SIGNAL_MS * US_PER_MS);
  CHECK (write (h->fd, h->text, length) == (ssize_t)length);
  close (h->fd);
  signal (SIGPIPE, before);
}

static void
end_held_start (Testbed *tb, HeldStart *h)
{
  process_end (&h->process, SIGKILL);
  g_unlink (h->fifo);
  g_free (h->fifo);
  g_free (h->text);
  g_strfreev (h->process.argv);
  CHECK (process_start (&tb->entry_process[0]));
  CHECK (eventually (requests_are_served, tb));
}

static void
test_sighup_while_an_entry_starts_does_not_end_it (Testbed *tb)
{
  HeldStart h = { 0 };

  begin_held_start (tb, &h);
  kill (h.process.pid, SIGHUP);
  release_start (&h);
  CHECK (eventually (requests_are_served, tb));
  CHECK (waitpid (h.process.pid, NULL, WNOHANG) == 0);
  end_held_start (tb, &h);
}

static void
test_sigterm_while_an_entry_starts_is_a_planned_stop (Testbed *tb)
{
  HeldStart h = { 0 };
  int status;

  begin_held_start (tb, &h);
  kill (h.process.pid, SIGTERM);
  release_start (&h);
  status = process_end (&h.process, 0);
  CHECK (status != -1 && WIFEXITED (status) && WEXITSTATUS (status) == 0);
  end_held_start (tb, &h);
}

/* -------- a second process on the same addresses -------- */

/* Starts a second process of the first entry, and sends requests on new connections until
 * it has ended; returns how many were not served. */
static unsigned
requests_cut_by_successor (Testbed *tb)
{
  Process second = tb->entry_process[0];
  unsigned cut = 0;
  int status = 0;

  CHECK (process_start (&second));
  while (waitpid (second.pid, &status, WNOHANG) == 0)
    cut += status_with_key (tb, 0, "key1") != 200;
  CHECK (WIFEXITED (status) && WEXITSTATUS (status) != 0);
  return cut;
}

static void
test_second_process_takes_no_connection (Testbed *tb)
{
  unsigned cut = 0;

  for (int i = 0; i < SUCCESSORS; i++)
    cut += requests_cut_by_successor (tb);
  CHECK (cut == 0);
}

/* -------- a start that fails after the callers' port is open -------- */

#define ENTRY_HOST      21
#define ENTRY_NODE_PORT 7700

/* Holds the datagram address of the first entry, as a predecessor does until its end. */
static int
hold_node_address (const Testbed *tb)
{
  char *host = g_strdup_printf ("%s.%u", tb->subnet, ENTRY_HOST);
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = g_htons (ENTRY_NODE_PORT) };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  CHECK (inet_pton (AF_INET, host, &at.sin_addr) == 1);
  CHECK (bind (fd, (const struct sockaddr *)&at, sizeof at) == 0);
  g_free (host);
  return fd;
}

/* Sends requests to the first entry until PID has ended; returns how many had a
 * connection and no response. */
static unsigned
requests_cut_until_end (Testbed *tb, int pid)
{
  unsigned cut = 0;
  int status = 0;

  while (waitpid (pid, &status, WNOHANG) == 0)
    {
      Call c = default_call (tb, "/r/x", "start");
      Response r;

      c.once = true;
      r = call (&c);
      cut += r.status == 0 && r.sent;
      response_free (&r);
    }
  CHECK (WIFEXITED (status) && WEXITSTATUS (status) != 0);
  return cut;
}

static void
test_start_that_fails_takes_no_connection (Testbed *tb)
{
  unsigned cut = 0;
  int held;

  CHECK (process_end (&tb->entry_process[0], SIGKILL) != -1);
  held = hold_node_address (tb);
  for (int i = 0; i < SUCCESSORS; i++)
    {
      Process second = tb->entry_process[0];

      CHECK (process_start (&second));
      cut += requests_cut_until_end (tb, second.pid);
    }
  close (held);
  g_print ("cut by %d starts that fail: %u\n", SUCCESSORS, cut);
  CHECK (cut == 0);
  CHECK (process_start (&tb->entry_process[0]));
  CHECK (eventually (requests_are_served, tb));
}

static bool
first_entry_is_ready (Testbed *tb)
{
  Response r = call (&(Call){ .address = tb->ready[0], .target = "/-/readyz" });
  bool ready = r.status == 200;

  response_free (&r);
  return ready;
}

/* An entry uses an engine once its stager has told of it. */
static void
test_ready_entry_knew_of_no_engine (Testbed *tb)
{
  for (int i = 0; i < SUCCESSORS; i++)
    {
      Call c = default_call (tb, "/s/x", "ready");
      Response r;

      process_end (&tb->entry_process[0], SIGKILL);
      CHECK (process_start (&tb->entry_process[0]));
      CHECK (eventually (first_entry_is_ready, tb));
      r = call (&c);
      CHECK (r.status == 200 && r.complete);
      response_free (&r);
    }
}

const TestFunc start_tests[] = {
  test_sighup_while_an_entry_starts_does_not_end_it,
  test_sigterm_while_an_entry_starts_is_a_planned_stop,
  test_second_process_takes_no_connection,
  test_start_that_fails_takes_no_connection,
  test_ready_entry_knew_of_no_engine,
  NULL,
};
