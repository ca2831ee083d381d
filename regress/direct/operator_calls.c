/*
 * Tests of what daisyctl takes for an answer: a thread answers its request in the place
 * of an entry.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "direct.h"

#define STATUS "HTTP/1.1 200 OK\r\n"
#define BODY                                                                \
  "{\"outcome\":\"applied\",\"detail\":\"of another command\"}" /* 51 bytes \
                                                                 */
#define LENGTH       "Content-Length: 51\r\n"
#define CHUNKED      "Transfer-Encoding: chunked\r\n\r\n"
#define EXIT_APPLIED 0
#define EXIT_UNKNOWN 4 /* as in daisyctl(1): the command may have run */

static const struct
{
  const char *response;
  int status; /* that daisyctl exits with */
} cases[] = {
  { STATUS LENGTH "\r\n" BODY, EXIT_APPLIED },
  { STATUS LENGTH "\r\n" BODY "HTTP/1.1 408 Request Timeout\r\n", EXIT_APPLIED },
  { STATUS "\r\n" BODY, EXIT_APPLIED },
  { STATUS CHUNKED "33\r\n" BODY "\r\n0\r\n\r\n", EXIT_APPLIED },
  { "HTTP/1.1 000\r\n" LENGTH "\r\n" BODY, EXIT_UNKNOWN },
  { "http/1.1 200 OK\r\n" LENGTH "\r\n" BODY, EXIT_UNKNOWN },
  { STATUS "Content-Length: 51x\r\n\r\n" BODY, EXIT_UNKNOWN },
  { STATUS "Content-Length: 52\r\n" LENGTH "\r\n" BODY, EXIT_UNKNOWN },
  { STATUS LENGTH "\r\n" BODY "else", EXIT_UNKNOWN },
  { STATUS "Content-Length: 0\r\n\r\n" BODY, EXIT_UNKNOWN },
  { STATUS "Transfer-Encoding: identity\r\n\r\n" BODY, EXIT_UNKNOWN },
  { STATUS "Content Length: 51\r\n\r\n" BODY, EXIT_UNKNOWN },
  { STATUS "X\001A: b\r\n" LENGTH "\r\n" BODY, EXIT_UNKNOWN },
  { STATUS ": 4\r\n" LENGTH "\r\n" BODY, EXIT_UNKNOWN },
  { STATUS CHUNKED "33x\r\n" BODY "\r\n0\r\n\r\n", EXIT_UNKNOWN },
  { STATUS CHUNKED "33\r\n" BODY "\r\n0\r\nX A: b\r\n\r\n", EXIT_UNKNOWN },
  { STATUS LENGTH, EXIT_UNKNOWN },
};

/* Answers one connection for each case, in their order. */
static gpointer
answer_all (gpointer data)
{
  int listener = GPOINTER_TO_INT (data);

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char request[1024];
      int fd = accept (listener, NULL, NULL);

      if (recv (fd, request, sizeof request, 0) > 0)
        (void)send (fd, cases[i].response, strlen (cases[i].response), MSG_NOSIGNAL);
      shutdown (fd, SHUT_WR);
      close (fd);
    }
  return NULL;
}

/* Listens at a free port of the subnet; ADDRESS, for g_free, is where. */
static int
listen_at_free_port (const Testbed *tb, char **address)
{
  g_autofree char *host = g_strdup_printf ("%s.200", tb->subnet);
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = inet_addr (host) };
  socklen_t length = sizeof at;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CHECK (bind (fd, (const struct sockaddr *)&at, sizeof at) == 0 && listen (fd, 1) == 0
         && getsockname (fd, (struct sockaddr *)&at, &length) == 0);
  *address = g_strdup_printf ("%s:%u", host, ntohs (at.sin_port));
  return fd;
}

static void
ask (const Testbed *tb, const char *address, size_t i)
{
  g_autofree char *program = g_strdup_printf ("%s/daisyctl", tb->bin);
  const char *argv[] = { program, "-e", address, "ask", "c1", NULL };
  g_autofree char *out = NULL;
  g_autofree char *errors = NULL;
  g_autofree char *text = NULL;
  int status = -1;

  CHECK (g_spawn_sync (NULL, (char **)argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &out,
                       &errors, &status, NULL));
  text = g_strdup_printf ("%s -> status 0x%x, %s%s", cases[i].response, (unsigned)status,
                          out, errors);
  check (WIFEXITED (status) && WEXITSTATUS (status) == cases[i].status, text, __FILE__,
         __LINE__);
  check ((strstr (out, "applied") != NULL) == (cases[i].status == EXIT_APPLIED), text,
         __FILE__, __LINE__);
}

static void
test_malformed_response_was_printed_as_an_answer (Testbed *tb)
{
  g_autofree char *address = NULL;
  int listener = listen_at_free_port (tb, &address);
  GThread *thread = g_thread_new ("answers", answer_all, GINT_TO_POINTER (listener));

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    ask (tb, address, i);
  g_thread_join (thread);
  close (listener);
}

const TestFunc operator_call_tests[] = {
  test_malformed_response_was_printed_as_an_answer,
  NULL,
};
