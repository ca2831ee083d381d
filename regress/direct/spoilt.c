/*
 * Tests of whole responses that something makes no response: a line of the head, a length
 * that is not the body's, a chunk, a trailer.  What a server says so reaches no caller,
 * and is no promise that a request did not run.
 */
#include <glib.h>
#include <string.h>

#include "answers.h"

#define STATUS "HTTP/1.1 200 OK\r\n"
#define OWN    "X-Request-Id: %s\r\nX-Response-Seal: s\r\n"
#define END    "\r\n\r\n"
/* Stands for the length of the body, decimal or as that of a chunk. */
#define LENGTH       "{}"
#define GOOD_LENGTH  "Content-Length: " LENGTH
#define CHUNKED      "Transfer-Encoding: chunked"
#define LAST_CHUNK   "0\r\n\r\n"
#define EVENT_STREAM "Content-Type: text/event-stream\r\n"
#define PLAIN_TEXT   "Content-Type: text/plain\r\n"

/* A route, what its responses look like, and what its callers get in place of a response
 * that is none: servers may have run the request. */
typedef struct
{
  const char *target;
  int status;
  const char *type;
  const char *body;
  const char *length;
  const char *chunk_length;
} Route;

#define ELSE_BODY  PLAIN_TEXT, "else", "4", "4"
#define EVENT_BODY EVENT_STREAM, "id: 1\ndata: of another one\n\n", "28", "1c"

static const Route routes[] = {
  { ANSWER_SAFE, 200, ELSE_BODY },
  { ANSWER_UNSAFE, 502, ELSE_BODY },
  { ANSWER_STREAMED, 200, EVENT_BODY },
};

static char *
replace (const char *text, const char *old, const char *new)
{
  g_auto (GStrv) parts = g_strsplit (text, old, -1);

  return g_strjoinv (new, parts);
}

/* Plays a response of HEAD, which ends before the blank line, and the route's body. */
static void
play (Testbed *tb, const Route *route, const char *name, const char *head, bool chunked)
{
  g_autofree char *body = chunked ? g_strdup_printf ("%s\r\n%s\r\n" LAST_CHUNK,
                                                     route->chunk_length, route->body)
                                  : g_strdup (route->body);
  g_autofree char *text = g_strconcat (head, END, body, NULL);
  g_autofree char *bytes = replace (text, LENGTH, route->length);

  answer_case_play (tb, &(AnswerCase){ .name = name,
                                       .target = route->target,
                                       .bytes = bytes,
                                       .status = route->status });
}

/* -------- the length of the body -------- */

typedef struct
{
  const char *lines;
  bool chunked; /* the body is sent in chunks */
} Framing;

static const Framing framings[] = {
  { "Content-Length: " LENGTH "x" },
  { "Content-Length: " LENGTH " 4" },
  { "Content-Length: +" LENGTH },
  { "Content-Length: 0x" LENGTH },
  { "Content-Length: " LENGTH ",5" },
  { "Content-Length: " LENGTH ";" },
  { "Content-Length: " LENGTH ".0" },
  { "Content-Length: " LENGTH "e0" },
  { "Content-Length: " LENGTH "," },
  { "Content-Length: 99999999999999999999" },
  { GOOD_LENGTH "\r\nContent-Length: 3" },
  { "Content-Length: 3\r\n" GOOD_LENGTH },
  { GOOD_LENGTH "\r\nContent-Length: " LENGTH "x" },
  { "Content-Length: " LENGTH "x\r\n" GOOD_LENGTH },
  { "Content-Length: 2" },
  { "Content-Length: 1" },
  { "Content-Length: 0" },
  { "Content-Length: x" },
  { "Content-Length: -" LENGTH },
  { "Content-Length:" },
  { "Content-Length: " LENGTH "\x01" },
  { "Content Length: " LENGTH },
  { "Content-Length : " LENGTH },
  { "Transfer-Encoding:" },
  { "Transfer-Encoding: identity" },
  { "Transfer-Encoding: gzip" },
  { "Transfer-Encoding: chunke", true },
  { "Transfer-Encoding: xchunked", true },
  { "Transfer-Encoding: chunked, identity", true },
  { "Transfer-Encoding: chunked, chunked", true },
  { CHUNKED "\r\n" CHUNKED, true },
  { "Transfer Encoding: chunked", true },
  { "Transfer-Encoding : chunked", true },
  { GOOD_LENGTH "\r\n" CHUNKED, true },
  { CHUNKED "\r\n" GOOD_LENGTH, true },
};

static void
test_response_with_spoilt_length_was_forwarded (Testbed *tb)
{
  earn_retries (tb);
  for (size_t i = 0; i < G_N_ELEMENTS (framings); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (routes); k++)
      {
        g_autofree char *head
            = g_strconcat (STATUS OWN, routes[k].type, framings[i].lines, NULL);

        play (tb, &routes[k], framings[i].lines, head, framings[i].chunked);
      }
}

/* -------- other lines -------- */

static const char *const lines[] = {
  ": 4",       "no colon",   "X-A b",        "X A: b",         "X\tA: b",  "X-A : b",
  "X-A\t: b",  " X-A: b",    "X-A: b\r\n c", "X-A: b\rX-C: d", "X-A\r: b", "X\001A: b",
  "X\037A: b", "X\177A: b",  "X\200A: b",    "X(A: b",         "X\"A: b",  "X/A: b",
  "X@A: b",    "X-A: b\x01", "X-A: b\x7f",
};

static void
test_response_with_spoilt_line_was_forwarded (Testbed *tb)
{
  earn_retries (tb);
  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (routes); k++)
      {
        g_autofree char *head = g_strconcat (STATUS OWN, routes[k].type, lines[i],
                                             "\r\n" GOOD_LENGTH, NULL);

        play (tb, &routes[k], lines[i], head, false);
      }
}

/* Before the fields of a whole response. */
static const char *const starts[] = {
  "http/1.1 200 OK\r\n",
  "HTTP/2 200 OK\r\n",
  "HTTP/2.0 200 OK\r\n",
  "HTTP/1.1 200 O\x01K\r\n",
  "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" STATUS,
  "HTTP/1.1 103 Early Hints\r\nX\001A: b\r\n\r\n" STATUS,
  "HTTP/1.1 000\r\n",
};

static void
test_response_with_spoilt_start_was_forwarded (Testbed *tb)
{
  earn_retries (tb);
  for (size_t i = 0; i < G_N_ELEMENTS (starts); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (routes); k++)
      {
        g_autofree char *head
            = g_strconcat (starts[i], OWN, routes[k].type, GOOD_LENGTH, NULL);

        play (tb, &routes[k], starts[i], head, false);
      }
}

/* -------- chunks and trailers -------- */

typedef struct
{
  const char *length; /* of the first chunk */
  const char *last;   /* the last chunk, and what follows */
} Chunks;

static const Chunks chunk_cases[] = {
  { LENGTH "x", LAST_CHUNK },           { LENGTH " 4", LAST_CHUNK },
  { LENGTH "g;a=b", LAST_CHUNK },       { LENGTH, "0x\r\n\r\n" },
  { LENGTH, "0\r\nX A: b\r\n\r\n" },    { LENGTH, "0\r\nX-A : b\r\n\r\n" },
  { LENGTH, "0\r\nX\001A: b\r\n\r\n" }, { LENGTH, "0\r\nno colon\r\n\r\n" },
  { LENGTH, LAST_CHUNK "else" },
};

static void
test_response_with_spoilt_chunk_was_forwarded (Testbed *tb)
{
  earn_retries (tb);
  for (size_t i = 0; i < G_N_ELEMENTS (chunk_cases); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (routes); k++)
      {
        const Chunks *c = &chunk_cases[i];
        g_autofree char *length = replace (c->length, LENGTH, routes[k].chunk_length);
        g_autofree char *bytes
            = g_strconcat (STATUS OWN, routes[k].type, CHUNKED END, length, "\r\n",
                           routes[k].body, "\r\n", c->last, NULL);

        answer_case_play (tb, &(AnswerCase){ .name = c->last,
                                             .target = routes[k].target,
                                             .bytes = bytes,
                                             .status = routes[k].status });
      }
}

/* -------- what a spoilt response says -------- */

static const char *const errors[] = {
  "HTTP/1.1 500 Internal Server Error\r\n" OWN,
  "HTTP/1.1 400 Bad Request\r\n" OWN,
  "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nRetry-After: 1\r\n" OWN,
  "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n" OWN,
};
static const char *const spoilt_ends[] = {
  "Content-Length: " LENGTH "x", "Content-Length: 2",         "Content-Length: 0",
  "X A: b\r\n" GOOD_LENGTH,      "X\001A: b\r\n" GOOD_LENGTH, ": 4\r\n" GOOD_LENGTH,
};

static void
test_spoilt_error_was_forwarded_or_promised_that_it_was_not_run (Testbed *tb)
{
  earn_retries (tb);
  for (size_t i = 0; i < G_N_ELEMENTS (errors); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (spoilt_ends); j++)
      for (size_t k = 0; k < G_N_ELEMENTS (routes); k++)
        {
          g_autofree char *head
              = g_strconcat (errors[i], PLAIN_TEXT, spoilt_ends[j], NULL);

          play (tb, &routes[k], spoilt_ends[j], head, false);
        }
}

/* Not the value that says that the request was not run. */
static const char *const flag_values[] = { "", "0", "false", "11", "1 1", "1, 0" };

static void
test_flag_with_another_value_promised_that_it_was_not_run (Testbed *tb)
{
  earn_retries (tb);
  for (size_t i = 0; i < G_N_ELEMENTS (flag_values); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (routes); k++)
      {
        g_autofree char *head = g_strdup_printf (
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: %s\r\n%s" GOOD_LENGTH,
            flag_values[i], "X-Request-Id: %s\r\n");

        play (tb, &routes[k], flag_values[i], head, false);
      }
}

static const char *const id_lines[] = {
  OWN "X-Request-Id: other\r\n",
  "X-Request-Id: other\r\n" OWN,
  OWN "x-request-id: other\r\n",
};

static void
test_response_that_names_two_requests_was_forwarded (Testbed *tb)
{
  earn_retries (tb);
  for (size_t i = 0; i < G_N_ELEMENTS (id_lines); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (routes); k++)
      {
        g_autofree char *head
            = g_strconcat (STATUS, id_lines[i], routes[k].type, GOOD_LENGTH, NULL);

        play (tb, &routes[k], id_lines[i], head, false);
      }
}

/* -------- unusual, but sound -------- */

static const char *const sound_ends[] = {
  GOOD_LENGTH END "done",
  GOOD_LENGTH "\r\n" GOOD_LENGTH END "done",
  "Content-Length: 4, 4" END "done",
  "content-length:\t 4 \t" END "done",
  "Content-Length: 0004" END "done",
  "X-Empty:\r\n" GOOD_LENGTH END "done",
  "!#$&'*+-.^_`|~9: b\r\n" GOOD_LENGTH END "done",
  "X-A: \tb\t\x80\xff \r\n" GOOD_LENGTH END "done",
  "X-A: b:c\n" GOOD_LENGTH END "done",
  "transfer-encoding: CHUNKED" END "4\r\ndone\r\n" LAST_CHUNK,
  CHUNKED END "0004 ;a=\"b\"\r\ndone\r\n0;c\r\nX-A: b\r\n\r\n",
  "X-A: b" END "done",
  GOOD_LENGTH END "doneHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nelse",
};

/* Of a request that may have run, only the response that it is due gives a success. */
static void
test_sound_response_was_refused (Testbed *tb)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sound_ends); i++)
    {
      g_autofree char *text = g_strconcat (STATUS OWN PLAIN_TEXT, sound_ends[i], NULL);
      g_autofree char *bytes = replace (text, LENGTH, "4");

      answer_case_play (tb, &(AnswerCase){ .name = sound_ends[i],
                                           .target = ANSWER_UNSAFE,
                                           .bytes = bytes,
                                           .status = 200 });
    }
}

const TestFunc spoilt_tests[] = {
  test_response_with_spoilt_length_was_forwarded,
  test_response_with_spoilt_line_was_forwarded,
  test_response_with_spoilt_start_was_forwarded,
  test_response_with_spoilt_chunk_was_forwarded,
  test_spoilt_error_was_forwarded_or_promised_that_it_was_not_run,
  test_flag_with_another_value_promised_that_it_was_not_run,
  test_response_that_names_two_requests_was_forwarded,
  test_sound_response_was_refused,
  NULL,
};
