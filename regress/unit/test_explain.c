/* Collecting the log lines of one request (query/explain.h). */
#include <string.h>
#include <talloc.h>

#include "query/explain.h"
#include "unit.h"

static const char *const logs[] = {
  "{\"time_ms\":1000,\"name\":\"e1\",\"event\":905,\"message\":\"old "
  "table\",\"version\":3}",
  "{\"time_ms\":1500,\"name\":\"e1\",\"event\":905,\"message\":\"table\",\"version\":4}",
  "{\"time_ms\":1500,\"name\":\"e2\",\"event\":905,\"message\":\"other entry\"}",
  "{\"time_ms\":1600,\"name\":\"e1\",\"event\":907,\"message\":\"upstream on the list\","
  "\"upstream\":\"u1\",\"address\":\"10.0.0.9:80\"}",
  "not a line of ours { at all",
  "{\"time_ms\":90000,\"name\":\"s1\",\"event\":1104,\"message\":\"engine ordered\","
  "\"engine\":\"10.0.0.9:80\",\"version\":7}",
  "{\"time_ms\":90000,\"name\":\"s2\",\"event\":1104,\"message\":\"another engine\","
  "\"engine\":\"10.0.0.8:80\"}",
  "{\"time_ms\":40000,\"name\":\"s1\",\"event\":1106,\"message\":\"long before\","
  "\"engine\":\"10.0.0.9:80\"}",
  "12.5 s e1: {\"time_ms\":91000,\"name\":\"e1\",\"event\":1003,\"message\":\"goes on\","
  "\"request\":\"r1\",\"upstream\":\"u1\"}",
  "{\"time_ms\":91500,\"name\":\"e1\",\"event\":1001,\"message\":\"failed\","
  "\"request\":\"r1\",\"status\":502}",
  "{\"time_ms\":91500,\"name\":\"e1\",\"event\":1001,\"message\":\"another request\","
  "\"request\":\"r2\"}",
  "{\"time_ms\":91600,\"name\":\"e1\",\"event\":107,\"message\":\"dropped\",\"lines\":"
  "12}",
  "{\"time_ms\":99000,\"name\":\"e1\",\"event\":903,\"message\":\"later\"}",
};

/* Returns the output for request ID, with the logs read from line FIRST on and then from
 * the start. */
static const char *
explain (const void *context, const char *id, size_t first, bool *found)
{
  DlExplain *e = dl_explain_new (context, id);
  DlBuffer *out = dl_buffer_new (context, 0);
  size_t count = sizeof logs / sizeof *logs;
  DlStr text;

  for (size_t i = 0; i < count; i++)
    dl_explain_find_request (e, dl_str (logs[(first + i) % count]));
  for (size_t i = 0; i < count; i++)
    dl_explain_find_addresses (e, dl_str (logs[(first + i) % count]));
  for (size_t i = 0; i < count; i++)
    dl_explain_add_context (e, dl_str (logs[(first + i) % count]));
  *found = dl_explain_write (e, out);
  text = dl_buffer_view (out);
  return talloc_strndup (context, text.data, text.length);
}

static const char expected[]
    = "    -89.500 s  e1  905  table  version=4\n"
      "    -89.400 s  e1  907  upstream on the list  upstream=u1  address=10.0.0.9:80\n"
      "     -1.000 s  s1  1104  engine ordered  engine=10.0.0.9:80  version=7\n"
      "*    +0.000 s  e1  1003  goes on  upstream=u1\n"
      "*    +0.500 s  e1  1001  failed  status=502\n"
      "     +0.600 s  e1  107  dropped  lines=12\n"
      "outcome: failed\n";

/* The output does not depend on the order in which the lines are read. */
static void
test_lines (void)
{
  void *context = talloc_new (NULL);

  for (size_t first = 0; first < sizeof logs / sizeof *logs; first++)
    {
      bool found;

      unit_assert_text (explain (context, "r1", first, &found), expected);
      CU_ASSERT_TRUE (found);
    }
  talloc_free (context);
}

static void
test_not_found (void)
{
  void *context = talloc_new (NULL);
  bool found;
  const char *text = explain (context, "r9", 0, &found);

  CU_ASSERT_FALSE (found);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "no line names r9"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "the 12 that were dropped"));
  talloc_free (context);
}

static const CU_TestInfo tests[] = {
  { "a request's lines in order, with the related ones", test_lines },
  { "a request without lines", test_not_found },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("explain", tests)
