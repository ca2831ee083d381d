/* Where a body ends, and what after it or in its chunks shows that it is none. */
#include <glib.h>
#include <string.h>

#include "kernel/http_framing.h"
#include "unit.h"

typedef struct
{
  DlHttpBody body;
  const char *bytes;
  DlHttpFault fault;
  bool is_complete; /* without a fault */
} FramingCase;

#define LENGTH(bytes)             \
  {                               \
    DL_HTTP_BODY_LENGTH, (bytes), \
  }
#define CHUNKED              \
  {                          \
    DL_HTTP_BODY_CHUNKED, 0, \
  }
#define UNTIL_CLOSE              \
  {                              \
    DL_HTTP_BODY_UNTIL_CLOSE, 0, \
  }

static const FramingCase cases[] = {
  { LENGTH (4), "done", 0, true },
  { LENGTH (4), "don", 0, false },
  { LENGTH (0), "", 0, true },
  { LENGTH (2), "done", DL_HTTP_FAULT_SURPLUS },
  { LENGTH (0), "done", DL_HTTP_FAULT_SURPLUS },
  { LENGTH (4), "done\r\n", DL_HTTP_FAULT_SURPLUS },
  { LENGTH (4), "doneHTTP/1.1 200 OK\r\n", 0, true },
  { LENGTH (4), "doneHTT", 0, true },
  { LENGTH (4), "donehttp/1.1 200 OK\r\n", DL_HTTP_FAULT_SURPLUS },
  { UNTIL_CLOSE, "done", 0, false },
  { CHUNKED, "", 0, false },
  { CHUNKED, "4\r\ndone\r\n0\r\n\r\n", 0, true },
  { CHUNKED, "2\r\ndo\r\n002\r\nne\r\n000\r\n\r\n", 0, true },
  { CHUNKED, "a\r\n0123456789\r\n", 0, false },
  { CHUNKED, "A\r\n0123456789\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n", 0, true },
  { CHUNKED, "4;a;b=\"c d\"\r\ndone\r\n0 \t;c\r\n\r\n", 0, true },
  { CHUNKED, "0\r\nA: b\r\nC:\r\nD: \xff \r\n\r\n", 0, true },
  { CHUNKED, "0\r\nA: b\r\n", 0, false },
  { CHUNKED, "x\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, ";a\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "4x\r\ndone\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "4 4\r\ndone\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "4 \r\ndone\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, " 4\r\ndone\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "+4\r\ndone\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "-4\r\ndone\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "0x4\r\ndone\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "4\ndone\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "4;a\ndone\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "4\rdone\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "4;a\rb\r\ndone\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "fffffffffffffffff\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "2\r\ndone\r\n0\r\n\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "4\r\ndone0\r\n\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "4\r\ndone\n0\r\n\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "0\r\n\rx", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "0\r\nA: b\rC: d\r\n\r\n", DL_HTTP_FAULT_CHUNK },
  { CHUNKED, "0\r\nA B: c\r\n\r\n", DL_HTTP_FAULT_FIELD_NAME },
  { CHUNKED, "0\r\nA : c\r\n\r\n", DL_HTTP_FAULT_FIELD_NAME },
  { CHUNKED, "0\r\n: c\r\n\r\n", DL_HTTP_FAULT_FIELD_NAME },
  { CHUNKED, "0\r\n A: c\r\n\r\n", DL_HTTP_FAULT_FIELD_NAME },
  { CHUNKED, "0\r\nno-colon\r\n\r\n", DL_HTTP_FAULT_FIELD_NAME },
  { CHUNKED, "0\r\nA\x01: c\r\n\r\n", DL_HTTP_FAULT_FIELD_NAME },
  { CHUNKED, "0\r\nA: \x01\r\n\r\n", DL_HTTP_FAULT_FIELD_VALUE },
  { CHUNKED, "0\r\n\r\ndone", DL_HTTP_FAULT_SURPLUS },
};

/* Feeds the bytes in pieces of STEP. */
static void
check_case (const FramingCase *c, size_t step)
{
  DlHttpFraming framing = dl_http_framing_begin (c->body);
  DlStr bytes = dl_str (c->bytes);
  DlHttpFault fault = DL_HTTP_FAULT_NONE;
  bool is_right;

  for (size_t at = 0; at < bytes.length && fault == DL_HTTP_FAULT_NONE; at += step)
    {
      DlStr piece = dl_str_bytes (bytes.data + at, MIN (step, bytes.length - at));
      DlStr rest;

      fault = dl_http_framing_feed (&framing, piece, &rest);
      if (fault == DL_HTTP_FAULT_NONE && rest.length > 0)
        {
          fault = dl_http_framing_judge_rest (rest);
          break;
        }
    }
  is_right = fault == c->fault
             && (fault != DL_HTTP_FAULT_NONE || framing.is_complete == c->is_complete);
  if (!is_right)
    g_print ("body \"%s\" in pieces of %zu: fault %d, complete %d\n", c->bytes, step,
             fault, framing.is_complete);
  CU_ASSERT_TRUE (is_right);
}

static void
test_malformed_body_was_taken_for_complete (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      check_case (&cases[i], strlen (cases[i].bytes) + 1);
      check_case (&cases[i], 2);
      check_case (&cases[i], 1);
    }
}

static const CU_TestInfo tests[] = {
  { "a malformed body was taken for complete",
    test_malformed_body_was_taken_for_complete },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("http framing", tests)
