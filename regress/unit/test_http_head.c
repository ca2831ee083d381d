/* Heads of responses, line by line: what is one, and what it says of the body. */
#include <glib.h>
#include <string.h>

#include "kernel/http_head.h"
#include "unit.h"

#define LINES_MAX 7 /* with the NULL at the end */
#define STATUS    "HTTP/1.1 200 OK"

typedef struct
{
  const char *lines[LINES_MAX]; /* without their ends, up to the blank line or a fault */
  DlHttpFault fault;            /* of the last line */
  DlHttpBody body;              /* without a fault */
} HeadCase;

static const HeadCase cases[] = {
  /* status lines */
  { { "HTTP/1.1 200 OK", "" }, 0, { DL_HTTP_BODY_UNTIL_CLOSE } },
  { { "HTTP/1.1 200", "" }, 0, { DL_HTTP_BODY_UNTIL_CLOSE } },
  { { "HTTP/1.1 200 ", "" }, 0, { DL_HTTP_BODY_UNTIL_CLOSE } },
  { { "HTTP/1.0 599 \xc3\xa9\t", "" }, 0, { DL_HTTP_BODY_UNTIL_CLOSE } },
  { { "" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "HTTP/1.1" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "http/1.1 200 OK" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "HTTP/2 200 OK" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "HTTP/2.0 200 OK" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "HTTP/1. 200 OK" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "HTTP/1.11 200 OK" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "HTTP/1.x 200 OK" }, DL_HTTP_FAULT_STATUS_LINE },
  { { " HTTP/1.1 200 OK" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "HTTP/1.1\t200 OK" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "HTTP/1.1 200 O\x01K" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "HTTP/1.1 200 O\rK" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "HTTP/1.1 " }, DL_HTTP_FAULT_STATUS },
  { { "HTTP/1.1  200 OK" }, DL_HTTP_FAULT_STATUS },
  { { "HTTP/1.1 000 No" }, DL_HTTP_FAULT_STATUS },
  { { "HTTP/1.1 099 No" }, DL_HTTP_FAULT_STATUS },
  { { "HTTP/1.1 101 Switching" }, DL_HTTP_FAULT_STATUS },
  { { "HTTP/1.1 600 No" }, DL_HTTP_FAULT_STATUS },
  { { "HTTP/1.1 0200 OK" }, DL_HTTP_FAULT_STATUS },
  { { "HTTP/1.1 20 OK" }, DL_HTTP_FAULT_STATUS },
  { { "HTTP/1.1 2x0 OK" }, DL_HTTP_FAULT_STATUS },
  { { "HTTP/1.1 -20 OK" }, DL_HTTP_FAULT_STATUS },
  { { "HTTP/1.1 200OK" }, DL_HTTP_FAULT_STATUS },
  { { "HTTP/1.1 200\tOK" }, DL_HTTP_FAULT_STATUS },
  /* lines and names */
  { { STATUS, "!#$%&'*+-.^_`|~09azAZ: b", "" }, 0, { DL_HTTP_BODY_UNTIL_CLOSE } },
  { { STATUS, "no colon" }, DL_HTTP_FAULT_FIELD_LINE },
  { { STATUS, " A: b" }, DL_HTTP_FAULT_FIELD_LINE },
  { { STATUS, "\tA: b" }, DL_HTTP_FAULT_FIELD_LINE },
  { { STATUS, "A: b", " c" }, DL_HTTP_FAULT_FIELD_LINE },
  { { STATUS, "A: b", " " }, DL_HTTP_FAULT_FIELD_LINE },
  { { STATUS, ": 4" }, DL_HTTP_FAULT_FIELD_NAME },
  { { STATUS, ":" }, DL_HTTP_FAULT_FIELD_NAME },
  { { STATUS, "A : b" }, DL_HTTP_FAULT_FIELD_NAME },
  { { STATUS, "A\t: b" }, DL_HTTP_FAULT_FIELD_NAME },
  { { STATUS, "A\r: b" }, DL_HTTP_FAULT_FIELD_NAME },
  { { STATUS, "A B: b" }, DL_HTTP_FAULT_FIELD_NAME },
  { { STATUS, "HTTP/1.1 200 OK: b" }, DL_HTTP_FAULT_FIELD_NAME },
  /* values */
  { { STATUS, "A:", "B: ", "C: \xff\x80:\tc ", "" }, 0, { DL_HTTP_BODY_UNTIL_CLOSE } },
  { { STATUS, "A: b\x01" }, DL_HTTP_FAULT_FIELD_VALUE },
  { { STATUS, "A: b\x1f" }, DL_HTTP_FAULT_FIELD_VALUE },
  { { STATUS, "A: b\x7f" }, DL_HTTP_FAULT_FIELD_VALUE },
  { { STATUS, "A: b\rC: d" }, DL_HTTP_FAULT_FIELD_VALUE },
  { { STATUS, "A: b\nC: d" }, DL_HTTP_FAULT_FIELD_VALUE },
  /* lengths */
  { { STATUS, "content-LENGTH:4", "" }, 0, { DL_HTTP_BODY_LENGTH, 4 } },
  { { STATUS, "Content-Length: \t004 ", "" }, 0, { DL_HTTP_BODY_LENGTH, 4 } },
  { { STATUS, "Content-Length: 4, 4 ,4", "" }, 0, { DL_HTTP_BODY_LENGTH, 4 } },
  { { STATUS, "Content-Length: 4", "Content-Length: 4", "" },
    0,
    { DL_HTTP_BODY_LENGTH, 4 } },
  { { STATUS, "Content-Length: 9223372036854775807", "" },
    0,
    { DL_HTTP_BODY_LENGTH, INT64_MAX } },
  { { STATUS, "X-Content-Length: x", "" }, 0, { DL_HTTP_BODY_UNTIL_CLOSE } },
  { { STATUS, "Content-Length:" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: x" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 4x" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 4 4" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: +4" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: -4" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 0x4" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 4.0" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 4e0" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 4;" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 4," }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: ,4" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 4,5" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 9223372036854775808" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 99999999999999999999" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 4", "Content-Length: 3" }, DL_HTTP_FAULT_LENGTH },
  { { STATUS, "Content-Length: 4", "Content-Length: 4x" }, DL_HTTP_FAULT_LENGTH },
  /* codings */
  { { STATUS, "transfer-encoding:\tCHUNKED", "" }, 0, { DL_HTTP_BODY_CHUNKED } },
  { { STATUS, "Transfer-Encoding:" }, DL_HTTP_FAULT_CODING },
  { { STATUS, "Transfer-Encoding: identity" }, DL_HTTP_FAULT_CODING },
  { { STATUS, "Transfer-Encoding: gzip" }, DL_HTTP_FAULT_CODING },
  { { STATUS, "Transfer-Encoding: chunke" }, DL_HTTP_FAULT_CODING },
  { { STATUS, "Transfer-Encoding: xchunked" }, DL_HTTP_FAULT_CODING },
  { { STATUS, "Transfer-Encoding: chunked;a=b" }, DL_HTTP_FAULT_CODING },
  { { STATUS, "Transfer-Encoding: chunked, identity" }, DL_HTTP_FAULT_CODING },
  { { STATUS, "Transfer-Encoding: chunked, chunked" }, DL_HTTP_FAULT_CODING },
  { { STATUS, "Transfer-Encoding: chunked", "Transfer-Encoding: chunked" },
    DL_HTTP_FAULT_CODING },
  { { "HTTP/1.0 200 OK", "Transfer-Encoding: chunked", "" }, DL_HTTP_FAULT_CODING },
  { { STATUS, "Transfer-Encoding: chunked", "Content-Length: 4", "" },
    DL_HTTP_FAULT_LENGTH_AND_CODING },
  { { STATUS, "Content-Length: 4", "Transfer-Encoding: chunked", "" },
    DL_HTTP_FAULT_LENGTH_AND_CODING },
  /* statuses without a body */
  { { "HTTP/1.1 204 None", "" }, 0, { DL_HTTP_BODY_LENGTH, 0 } },
  { { "HTTP/1.1 304 Same", "Content-Length: 4", "" }, 0, { DL_HTTP_BODY_LENGTH, 0 } },
  /* interim heads, of which the fields say nothing */
  { { "HTTP/1.1 103 Hints", "Content-Length: 4", "", STATUS, "" },
    0,
    { DL_HTTP_BODY_UNTIL_CLOSE } },
  { { "HTTP/1.1 103 Hints", "", "HTTP/1.1 100 Continue", "", STATUS, "" },
    0,
    { DL_HTTP_BODY_UNTIL_CLOSE } },
  { { "HTTP/1.1 103 Hints", "A B: c" }, DL_HTTP_FAULT_FIELD_NAME },
  { { "HTTP/1.1 103 Hints", "", "A: b" }, DL_HTTP_FAULT_STATUS_LINE },
  { { "HTTP/1.1 103 Hints", "", "" }, DL_HTTP_FAULT_STATUS_LINE },
};

static bool
has_body (const DlHttpHead *head, const DlHttpBody *expected)
{
  DlHttpBody body = dl_http_head_body (head);

  return body.kind == expected->kind && body.length == expected->length;
}

static void
check_head (const HeadCase *c, const char *line_end)
{
  DlHttpHead head = { 0 };
  DlHttpFault fault = DL_HTTP_FAULT_NONE;
  bool is_sound = c->fault == DL_HTTP_FAULT_NONE;
  bool is_right;
  size_t i;

  for (i = 0; c->lines[i] != NULL && fault == DL_HTTP_FAULT_NONE; i++)
    {
      g_autofree char *line = g_strconcat (c->lines[i], line_end, NULL);

      CU_ASSERT_FALSE (dl_http_head_is_complete (&head));
      fault = dl_http_head_add_line (&head, dl_str (line));
    }
  is_right = fault == c->fault && c->lines[i] == NULL
             && dl_http_head_is_complete (&head) == is_sound
             && (!is_sound || has_body (&head, &c->body));
  if (!is_right)
    g_print ("head that ends with \"%s\": fault %d at line %zu\n", c->lines[i - 1], fault,
             i);
  CU_ASSERT_TRUE (is_right);
}

static void
test_malformed_line_was_believed (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      check_head (&cases[i], "\r\n");
      check_head (&cases[i], "\n");
    }
}

/* By RFC 9110, section 5.6.2; written here another way than in the code. */
static bool
may_be_in_name (unsigned c)
{
  return c > 0x20 && c < 0x7f && strchr ("\"(),/:;<=>?@[\\]{}", (int)c) == NULL;
}

static void
test_byte_that_no_name_has_was_accepted (void)
{
  for (unsigned c = 0; c <= UINT8_MAX; c++)
    {
      const char line[] = { 'X', (char)c, 'A', ':', ' ', 'b', '\r', '\n' };
      DlHttpHead head = { .stage = DL_HTTP_STAGE_FIELDS, .status = 200 };
      DlHttpFault fault = dl_http_head_add_line (&head, dl_str_bytes (line, sizeof line));

      CU_ASSERT_EQUAL (dl_http_is_name_byte ((char)c), may_be_in_name (c));
      /* After a colon the rest is the value. */
      CU_ASSERT_EQUAL (fault == DL_HTTP_FAULT_NONE, may_be_in_name (c) || c == ':');
    }
}

static void
test_control_byte_in_value_was_accepted (void)
{
  for (unsigned c = 0; c <= UINT8_MAX; c++)
    {
      const char line[] = { 'A', ':', 'b', (char)c, 'c', '\r', '\n' };
      DlHttpHead head = { .stage = DL_HTTP_STAGE_FIELDS, .status = 200 };
      DlHttpFault fault = dl_http_head_add_line (&head, dl_str_bytes (line, sizeof line));
      bool is_control = (c < 0x20 && c != '\t') || c == 0x7f;

      CU_ASSERT_EQUAL (fault,
                       is_control ? DL_HTTP_FAULT_FIELD_VALUE : DL_HTTP_FAULT_NONE);
    }
}

static const CU_TestInfo tests[] = {
  { "a malformed line was believed", test_malformed_line_was_believed },
  { "a byte that no name has was accepted", test_byte_that_no_name_has_was_accepted },
  { "a control byte in a value was accepted", test_control_byte_in_value_was_accepted },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("http head", tests)
