/* The operators' language: statements, rows, renderings and the examples of the manual
 * pages. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/fleet.h"
#include "query/plan.h"
#include "query/render.h"
#include "query/screen.h"
#include "sample.h"
#include "unit.h"

#define PAGE         "daisyctl/daisyloft-query.5"
#define FLEET_PAGE   "daisyctl/daisyloft-fleet.json.5"
#define RANDOM_SEED  20261203
#define RANDOM_COUNT 20000
#define EXAMPLES_MIN 30

typedef struct
{
  const char *text;
  const char *error; /* NULL: accepted */
  size_t position;
} StatementCase;

#define D64 "1111111111111111111111111111111111111111111111111111111111111111"

static const StatementCase statement_cases[] = {
  { "", NULL, 0 },
  { "  # nothing", NULL, 0 },
  { "show hosts", NULL, 0 },
  { "show hosts columns host, state where region = zilina and version != v2", NULL, 0 },
  { "show hosts where (region = a or region = b) and lost = yes order by host desc limit "
    "5",
    NULL, 0 },
  { "show hosts where region in ('a b', c)", NULL, 0 },
  { "show hosts where percent<=50", NULL, 0 },
  { "show rollouts where origin_copies > 1.25", NULL, 0 },
  { "count hosts where state ~ 'fail'", NULL, 0 },
  { "settings in force revision 7", NULL, 0 },
  { "rollout start r service s version v in region a, b weigh origin-bytes wave 34% at "
    "revision 9",
    NULL, 0 },
  { "publish " D64 " as v1 model m manifest-bytes 1 total-bytes 2 chunks 3", NULL, 0 },
  { "settings apply ./fleet.json at revision 3", NULL, 0 },
  { "shw hosts", "expected show, count, settings, publish, rollout, drain or undrain",
    0 },
  { "show",
    "expected a table: hosts, rollouts, versions, upstreams, entries, leases, "
    "settings, failures, commands or drains",
    4 },
  { "show hosts hosts", "unexpected \"hosts\"", 11 },
  { "show hosts where", "expected a column", 16 },
  { "show hosts where zone = a", "table hosts has no column \"zone\"", 17 },
  { "show hosts where region", "expected one of = != < <= > >= ~ in", 23 },
  { "show hosts where region = ", "expected a value", 26 },
  { "show hosts where percent = x", "column percent holds whole numbers", 27 },
  { "show hosts where percent ~ 1",
    "\"~\" compares only texts, and column percent holds none", 25 },
  { "show hosts where lost = maybe", "column lost holds \"yes\" or \"no\"", 24 },
  { "show hosts where region in (a b)", "expected \",\" or \")\"", 30 },
  { "show hosts where (region = a", "expected \")\"", 28 },
  { "show hosts where region = 'a", "the string has no closing quote", 26 },
  { "show hosts\twhere\tregion ! a", "expected one of = != < <= > >= ~ in", 24 },
  { "show hosts limit 0", "the limit must be at least 1", 17 },
  { "show hosts limit many", "expected a whole number", 17 },
  { "show hosts order host", "expected \"by\"", 17 },
  { "show hosts; count hosts", "unexpected character", 10 },
  { "show hosts where region = \xc5\xbe", "unexpected character", 26 },
  { "show hosts at revision 3", "only commands take \"at revision\"", 11 },
  { "show rollouts where origin_copies > 1.255",
    "column origin_copies holds numbers with up to two decimals", 36 },
  { "rollout stop r", "expected \"start\", \"pause\", \"resume\" or \"call off\"", 8 },
  { "rollout call r", "expected \"off\"", 13 },
  { "rollout start r service s version v wave 0%",
    "expected a percentage from 1% to 100%", 41 },
  { "rollout start r service s version v weigh gold",
    "expected \"time\" or \"origin-bytes\"", 42 },
  { "drain", "expected a name of letters, digits, \".\", \"_\" and \"-\"", 5 },
  { "drain a/b", "expected a name of letters, digits, \".\", \"_\" and \"-\"", 6 },
  { "publish 12 as v1", "expected a digest of 64 hexadecimal digits", 8 },
  { "drain h at revision x", "expected a whole number", 20 },
};

static void
test_statements (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (statement_cases); i++)
    {
      const StatementCase *c = &statement_cases[i];
      void *context = talloc_new (NULL);
      DlStatement *statement = NULL;
      DlSyntaxError error = { 0 };
      int status = dl_statement_parse (context, dl_str (c->text), &statement, &error);

      if ((status == 0) != (c->error == NULL) || error.position != c->position)
        g_printerr ("  \"%s\": status %d, position %zu\n", c->text, status,
                    error.position);
      CU_ASSERT_EQUAL (status == 0, c->error == NULL);
      unit_assert_text (error.text, c->error);
      CU_ASSERT_EQUAL (error.position, c->position);
      talloc_free (context);
    }
}

/* Parses random words of the language and random bytes: the result must be a statement,
 * or an error with a position within the text. */
static void
parse_random (GRand *random)
{
  static const char *const words[]
      = { "show",    "count",    "hosts",    "rollouts", "where",   "region", "=",
          "!=",      "(",        ")",        "and",      "or",      "in",     ",",
          "'a",      "'a'",      "limit",    "9",        "order",   "by",     "desc",
          "columns", "lost",     "settings", "force",    "rollout", "start",  "r1",
          "at",      "revision", "~",        "<" };
  void *context = talloc_new (NULL);
  char *text = talloc_strdup (context, "");
  unsigned count = (unsigned)g_rand_int_range (random, 0, 24);
  DlStatement *statement = NULL;
  DlSyntaxError error = { 0 };
  size_t length;

  for (unsigned i = 0; i < count; i++)
    if (g_rand_boolean (random))
      text = talloc_asprintf_append (
          text, "%s ", words[g_rand_int_range (random, 0, (gint32)G_N_ELEMENTS (words))]);
    else
      text = talloc_asprintf_append (text, "%c", g_rand_int_range (random, 1, 256));
  length = (size_t)g_rand_int_range (random, 0, (gint32)strlen (text) + 1);
  if (dl_statement_parse (context, dl_str_bytes (text, length), &statement, &error) < 0)
    CU_ASSERT (error.text != NULL && error.position <= length);
  talloc_free (context);
}

static void
test_random_statements (void)
{
  GRand *random
      = g_rand_new_with_seed (unit_first_seed ("random sentences", RANDOM_SEED));
  char *deep = g_strdup_printf ("show hosts where %*s", 9000, "");
  void *context = talloc_new (NULL);
  DlStatement *statement = NULL;
  DlSyntaxError error = { 0 };

  for (unsigned i = 0; i < RANDOM_COUNT; i++)
    parse_random (random);
  memset (deep + strlen ("show hosts where "), '(', 9000);
  CU_ASSERT (dl_statement_parse (context, dl_str (deep), &statement, &error) < 0);
  unit_assert_text (error.text, "parentheses are nested more than 32 deep");
  CU_ASSERT (
      dl_statement_parse (context, dl_str_bytes ("show\0hosts", 10), &statement, &error)
      < 0);
  CU_ASSERT_EQUAL (error.position, 4);
  g_free (deep);
  talloc_free (context);
  g_rand_free (random);
}

/* -------- rows -------- */

/* Returns the table that the query TEXT gives for SAMPLE. */
static char *
show (const void *context, const Sample *sample, const char *text)
{
  DlQuerySource source = sample_source (sample);
  DlStatement *statement = NULL;
  DlSyntaxError error = { 0 };
  DlBuffer *buffer = dl_buffer_new (context, 0);
  json_object *response;

  CU_ASSERT_EQUAL_FATAL (dl_statement_parse (context, dl_str (text), &statement, &error),
                         0);
  response = dl_render_json (dl_query_evaluate (context, statement, &source));
  dl_render_table (buffer, response);
  json_object_put (response);
  return dl_str_dup (context, dl_buffer_view (buffer));
}

typedef struct
{
  const char *query;
  const char *table;
} RowsCase;

static const RowsCase rows_cases[] = {
  { "show hosts columns host, state, version where region = zilina order by percent desc",
    "host  state     version\n"
    "h1    whole     v1\n"
    "h2    fetching  v1\n"
    "h3    failed    v1\n" },
  { "count hosts where version = v1 and lost = no", "count\n    4\n" },
  { "count hosts where version = 11111111", "count\n    5\n" },
  { "count hosts where version != v1", "count\n    0\n" },
  { "show hosts columns host where drained = yes or lost = yes", "host\nh2\nh5\n" },
  { "show hosts columns host, percent where percent < 60 limit 1",
    "host  percent\nh2         50\n" },
  { "show rollouts columns name, targets, fetching, whole, failed, percent, "
    "origin_copies, seconds_left",
    "name  targets  fetching  whole  failed  percent  origin_copies  seconds_left\n"
    "r1          3         1      1       1       53           1.25             8\n" },
  { "show failures", "host  rollout  source   reason\n"
                     "h3    r1       host     engine refused\n"
                     "h3    r1       rollout  digest mismatch\n"
                     "h5    r1       relay    the host's slot is not heard\n" },
  { "show drains", "host  by   at\nh2    bob  2023-11-14T22:13:23Z\n" },
  { "show versions columns label, serving, by where label in (v2, v1) order by label "
    "desc",
    "label  serving  by\nv2           0  ana\nv1           5  ana\n" },
  { "settings in force",
    "data_center  role   nodes  minimum  maximum  behind  unheard  revision  in_force\n"
    "ka1          entry      1        1        1       1        0         2  no\n"
    "ka1          slot       2        2        2       0        1         2  no\n"
    "za1          entry      1        2        2       0        0         2  yes\n"
    "za1          slot       3        2        2       0        0         2  yes\n"
    "all          all        7        1        2       1        1         2  no\n" },
  { "show settings where key ~ priorities",
    "key           value\npriorities.0  \"normal\"\npriorities.1  \"low\"\n" },
  { "show leases", "name  holder  fence  ttl_ms\nr1    e1          3    5000\n" },
  { "show upstreams columns host, accepts where host = h4",
    "host  accepts\nh4    yes\n" },
  { "show entries columns host, settings",
    "host  settings\ne1           2\ne2           1\n" },
  { "show commands columns id, outcome", "id  outcome\nc2  applied\n" },
};

static void
test_rows (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows_cases); i++)
    {
      void *context = talloc_new (NULL);

      unit_assert_text (show (context, sample_new (context), rows_cases[i].query),
                        rows_cases[i].table);
      talloc_free (context);
    }
}

/* The output depends only on the objects, not on the order in which they were stored. */
static void
test_renderings_are_equal (void)
{
  void *context = talloc_new (NULL);
  Sample *a = sample_new (context);
  Sample *b = sample_empty (context);

  for (size_t i = a->count; i > 0; i--)
    sample_set (b, a->objects[i - 1].kind, a->objects[i - 1].name,
                json_object_to_json_string (a->objects[i - 1].value));
  for (size_t i = 0; i < b->count; i++)
    b->objects[i].revision = a->objects[i].revision;
  b->revision = a->revision;
  for (int t = 0; t < DL_TABLE_IN_FORCE; t++)
    {
      char *text = talloc_asprintf (context, "show %s", dl_tables[t].name);

      unit_assert_text (show (context, a, text), show (context, b, text));
    }
  talloc_free (context);
}

/* Malformed objects give rows, not a crash. */
static void
test_malformed_objects (void)
{
  static const char *const values[] = {
    "{}",
    "{\"hosts\":7,\"entries\":{},\"targets\":\"x\",\"history\":{},\"failures\":[]}",
    "{\"hosts\":[null,3,[],{},{\"host\":5,\"state\":[]}],\"targets\":[null,{},1],"
    "\"history\":[null],\"failures\":{\"h\":null},\"version\":9,\"total_bytes\":-1,"
    "\"entries\":[null],\"regions\":[null,2]}",
    "{\"hosts\":[{\"host\":\"\",\"target_version\":\"x\",\"chunks_total\":1,"
    "\"chunks_verified\":18446744073709551615,\"failure\":\"a\\u0001b\\n\"}],"
    "\"targets\":[\"\"],\"version\":\"x\",\"history\":[{\"at_ms\":1e30}]}",
  };
  static const char *const kinds[]
      = { "status", "rollout", "version", "command", "lease", "drain", "settings" };

  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      void *context = talloc_new (NULL);
      Sample *sample = sample_empty (context);

      for (size_t k = 0; k < G_N_ELEMENTS (kinds); k++)
        sample_set (sample, kinds[k], k == 6 ? "fleet" : "x", values[i]);
      for (int t = 0; t < DL_TABLE_IN_FORCE; t++)
        CU_ASSERT_PTR_NOT_NULL (
            show (context, sample,
                  talloc_asprintf (context, "show %s", dl_tables[t].name)));
      show (context, sample, "settings in force");
      talloc_free (context);
    }
}

/* -------- the screen -------- */

static void
test_screen (void)
{
  void *context = talloc_new (NULL);
  Sample *sample = sample_new (context);
  DlQuerySource source = sample_source (sample);
  json_object *responses[DL_SCREEN_QUERIES];
  DlBuffer *buffer = dl_buffer_new (context, 0);
  DlStatement *statement = NULL;
  DlSyntaxError error = { 0 };
  char **lines;

  for (int i = 0; i < DL_SCREEN_QUERIES; i++)
    {
      CU_ASSERT_EQUAL_FATAL (dl_statement_parse (context, dl_str (dl_screen_query (i)),
                                                 &statement, &error),
                             0);
      responses[i] = dl_render_json (dl_query_evaluate (context, statement, &source));
    }
  dl_screen_body (buffer, responses, 40, 6);
  lines = g_strsplit (dl_str_dup (context, dl_buffer_view (buffer)), "\n", -1);
  CU_ASSERT_EQUAL (g_strv_length (lines), 7);
  unit_assert_text (lines[0], "daisyloft, revision 10");
  unit_assert_text (lines[2], "ROLLOUTS IN PROGRESS");
  unit_assert_text (lines[3], "r1 [###########.........] 53%, 8 s left");
  CU_ASSERT_EQUAL (strlen (lines[4]), 40);
  g_strfreev (lines);
  for (int i = 0; i < DL_SCREEN_QUERIES; i++)
    json_object_put (responses[i]);
  talloc_free (context);
}

/* -------- the manual page -------- */

/* Evaluates or plans one example of the manual page on the sample. */
static void
run_example (const char *line)
{
  void *context = talloc_new (NULL);
  Sample *sample = sample_new (context);
  DlQuerySource source = sample_source (sample);
  DlCommand command
      = { .id = "x", .by = "ana", .at_ms = 1, .source_at_revision = &source };
  DlStatement *statement = NULL;
  DlSyntaxError error = { 0 };
  int status = dl_statement_parse (context, dl_str (line), &statement, &error);

  if (status < 0)
    g_printerr ("  example \"%s\": %s\n", line, error.text);
  CU_ASSERT_EQUAL (status, 0);
  if (status == 0 && !dl_statement_is_query (statement))
    CU_ASSERT_PTR_NOT_NULL (dl_plan_command (context, statement, &command, &source));
  if (status == 0 && dl_statement_is_query (statement)
      && statement->type < DL_STATEMENT_PUBLISH && statement->type != DL_STATEMENT_EMPTY)
    CU_ASSERT_PTR_NOT_NULL (dl_query_evaluate (context, statement, &source));
  talloc_free (context);
}

/* Every line of the manual page's literal displays is a valid statement. */
static void
test_manual_examples (void)
{
  char *text = NULL;
  char **lines;
  bool literal = false;
  unsigned count = 0;

  CU_ASSERT_TRUE_FATAL (g_file_get_contents (PAGE, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (char **l = lines; *l != NULL; l++)
    if (g_str_has_prefix (*l, ".Bd -literal"))
      literal = true;
    else if (g_str_has_prefix (*l, ".Ed"))
      literal = false;
    else if (literal)
      {
        run_example (*l);
        count++;
      }
  CU_ASSERT (count >= EXAMPLES_MIN);
  g_strfreev (lines);
  g_free (text);
}

/* The example in the manual page of the fleet settings is valid. */
static void
test_fleet_example (void)
{
  void *context = talloc_new (NULL);
  char *text = NULL;
  char *start;
  char *end;
  DlFleet *fleet = NULL;
  char *error = NULL;

  CU_ASSERT_TRUE_FATAL (g_file_get_contents (FLEET_PAGE, &text, NULL, NULL));
  start = strstr (text, "\n{\n");
  end = strstr (text, "\n.Ed\n.Sh SEE");
  CU_ASSERT_FATAL (start != NULL && end > start);
  CU_ASSERT_EQUAL (dl_fleet_parse (context, "page",
                                   dl_str_bytes (start, (size_t)(end - start)), &fleet,
                                   &error),
                   0);
  unit_assert_text (error, NULL);
  g_free (text);
  talloc_free (context);
}

static const CU_TestInfo query_tests[] = {
  { "sentences", test_statements },
  { "random sentences", test_random_statements },
  { "rows", test_rows },
  { "equal renderings", test_renderings_are_equal },
  { "malformed objects", test_malformed_objects },
  { "screen", test_screen },
  { "manual page's examples", test_manual_examples },
  { "fleet settings' example", test_fleet_example },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("query", query_tests)
