/*
 * Tests of responses whose connection ends within the head, or whose status is none.
 */
#include <glib.h>

#include "answers.h"

#define STATUS  "HTTP/1.1 200 OK\r\n"
#define OWN_ID  "X-Request-Id: %s\r\n"
#define SEAL    "X-Response-Seal: s\r\n"
#define TEXT    "Content-Type: text/plain\r\n"
#define EVENTS  "Content-Type: text/event-stream\r\n"
#define INTERIM "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

/* Where a head is cut. */
static const struct
{
  const char *name;
  const char *bytes;
} heads[] = {
  { "in the status line", "HTTP/1.1 20" },
  { "after the status line", STATUS },
  { "in a header's name", STATUS OWN_ID SEAL "Conte" },
  { "after a header's name", STATUS OWN_ID SEAL "Content-Type:" },
  { "in a header's value", STATUS OWN_ID SEAL "Content-Type: text/pl" },
  { "in the request's id", STATUS "X-Request-Id: ans" },
  { "in the length", STATUS OWN_ID SEAL TEXT "Content-Length: 1" },
  { "before the seal", STATUS OWN_ID TEXT },
  { "before the length", STATUS OWN_ID SEAL TEXT },
  { "before the length, of a stream", STATUS OWN_ID SEAL EVENTS },
  { "before the blank line", STATUS OWN_ID SEAL TEXT "Content-Length: 4\r\n" },
  { "before the blank line, length 0", STATUS OWN_ID SEAL TEXT "Content-Length: 0\r\n" },
  { "within the blank line", STATUS OWN_ID SEAL TEXT "\r" },
  { "before the blank line, chunked",
    STATUS OWN_ID SEAL TEXT "Transfer-Encoding: chunked\r\n" },
  { "before the blank line of a stream, chunked",
    STATUS OWN_ID SEAL EVENTS "Transfer-Encoding: chunked\r\n" },
  { "of HTTP/1.0", "HTTP/1.0 200 OK\r\n" OWN_ID SEAL TEXT },
  { "with lines that end without a carriage return",
    "HTTP/1.1 200 OK\nX-Request-Id: %s\nX-Response-Seal: s\n" },
  { "after an interim response", INTERIM },
  { "of the response after an interim one", INTERIM STATUS OWN_ID SEAL TEXT },
  { "of a success without content", "HTTP/1.1 204 No Content\r\n" OWN_ID SEAL },
  { "of a refusal",
    "HTTP/1.1 503 Service Unavailable\r\n" OWN_ID "X-Not-Executed: 1\r\n" },
  { "of an error of the upstream", "HTTP/1.1 500 Internal Server Error\r\n" OWN_ID SEAL },
  { "of an error of the caller", "HTTP/1.1 400 Bad Request\r\n" OWN_ID SEAL },
};

/* What callers of a route get instead, as servers may have run the request. */
static const struct
{
  const char *target;
  int status;
} routes[] = {
  { ANSWER_SAFE, 200 },
  { ANSWER_UNSAFE, 502 },
  { ANSWER_STREAMED, 200 },
};

static void
test_head_cut_short_was_forwarded_as_whole_response (Testbed *tb)
{
  earn_retries (tb);
  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (routes); k++)
      for (unsigned reset = 0; reset <= 1; reset++)
        answer_case_play (tb, &(AnswerCase){ .name = heads[i].name,
                                             .target = routes[k].target,
                                             .bytes = heads[i].bytes,
                                             .reset = reset != 0,
                                             .status = routes[k].status });
}

/* Each with the whole head and body of an answer. */
static const char *const status_lines[] = {
  "HTTP/1.1 000",           "HTTP/1.1 000 No",  "HTTP/1.1 042 No",  "HTTP/1.1 099 No",
  "HTTP/1.1 99 No",         "HTTP/1.1 600 No",  "HTTP/1.1 999 No",  "HTTP/1.1 1000 No",
  "HTTP/1.1 2x0 OK",        "HTTP/1.1 -20 OK",  "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK",
  "HTTP/1.1 200OK",         "HTTP/1.1  200 OK", "HTTP/1.1",         "HTTP/1.1 ",
  "HTTP/1.1 101 Switching", "HTTP/1.0 600 No",  "HTTP/1.1 700",     "HTTP/1.1 20 OK",
};
static const char *const status_heads[] = {
  OWN_ID SEAL TEXT "Content-Length: 4\r\n\r\nelse",
  OWN_ID TEXT "Content-Length: 4\r\n\r\nelse",
  OWN_ID SEAL TEXT "Transfer-Encoding: chunked\r\n\r\n4\r\nelse\r\n0\r\n\r\n",
  OWN_ID SEAL EVENTS "Transfer-Encoding: chunked\r\n\r\n1c\r\nid: 1\ndata: of another "
                     "one\n\n\r\n0\r\n\r\n",
};

static void
test_status_that_is_none_was_forwarded_as_an_answer (Testbed *tb)
{
  earn_retries (tb);
  for (size_t i = 0; i < G_N_ELEMENTS (status_lines); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (status_heads); j++)
      for (size_t k = 0; k < G_N_ELEMENTS (routes); k++)
        {
          g_autofree char *bytes
              = g_strdup_printf ("%s\r\n%s", status_lines[i], status_heads[j]);

          answer_case_play (tb, &(AnswerCase){ .name = status_lines[i],
                                               .target = routes[k].target,
                                               .bytes = bytes,
                                               .status = routes[k].status });
        }
}

const TestFunc head_tests[] = {
  test_status_that_is_none_was_forwarded_as_an_answer,
  test_head_cut_short_was_forwarded_as_whole_response,
  NULL,
};
