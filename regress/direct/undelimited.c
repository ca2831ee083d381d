/*
 * Tests of responses with neither a length nor chunks, which end with their connection.
 * One that is reset is incomplete, and so is a stream that ends inside an event or
 * without any.
 */
#include <glib.h>

#include "answers.h"

#define PLAIN     ANSWER_OWN "Content-Type: text/plain\r\n\r\n"
#define STREAM    ANSWER_OWN "Content-Type: text/event-stream\r\n\r\n"
#define EVENT(id) "id: " id "\ndata: event " id "\n\n"
#define EVENTS \
  EVENT ("1")  \
  EVENT ("2")  \
  EVENT ("3")  \
  EVENT ("4")  \
  EVENT ("5")  \
  EVENT ("6")  \
  EVENT ("7")  \
  EVENT ("8")  \
  EVENT ("9")  \
  EVENT ("10")

static const AnswerCase cases[] = {
  { "whole", ANSWER_SAFE, PLAIN "done", false, 200 },
  { "whole", ANSWER_UNSAFE, PLAIN "done", false, 200 },
  { "reset midway", ANSWER_SAFE, PLAIN "do", true, 200 },
  { "reset midway", ANSWER_UNSAFE, PLAIN "do", true, 502 },
  { "whole stream", ANSWER_STREAMED, STREAM EVENTS, false, 200 },
  { "stream cut inside an event", ANSWER_STREAMED,
    STREAM EVENT ("1") EVENT ("2") "id: 3\nda", false, 200 },
  { "stream cut after the line of an event", ANSWER_STREAMED,
    STREAM EVENT ("1") "id: 2\ndata: event 2\n", false, 200 },
  { "stream reset between events", ANSWER_STREAMED, STREAM EVENT ("1") EVENT ("2"), true,
    200 },
  { "stream without an event", ANSWER_STREAMED, STREAM, false, 200 },
  { "stream that is reset without an event", ANSWER_STREAMED, STREAM, true, 200 },
};

static void
test_undelimited_response_was_taken_for_whole_or_cut (Testbed *tb)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    answer_case_play (tb, &cases[i]);
}

const TestFunc undelimited_tests[] = {
  test_undelimited_response_was_taken_for_whole_or_cut,
  NULL,
};
