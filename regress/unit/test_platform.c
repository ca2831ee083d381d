/* The adapter of the users' platform: requests that it makes and bodies that it parses.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/json_text.h"
#include "platform.h"
#include "unit.h"

static json_object *
parse (const char *text)
{
  json_object *object = json_tokener_parse (text);

  CU_ASSERT_PTR_NOT_NULL_FATAL (object);
  return object;
}

/* -------- JSON texts -------- */

#define TEXT_OF(text)     \
  {                       \
    text, sizeof text - 1 \
  }

/* Lists in which one item is odd; the item after it is 7. */
static const struct
{
  const char *name;
  DlStr text;
} odd_texts[] = {
  { "nothing odd", TEXT_OF ("{\"items\":[1,7]}") },
  { "a NUL byte in a string", TEXT_OF ("{\"items\":[\"a\0b\",7]}") },
  { "NUL bytes between values", TEXT_OF ("{\"items\":[1\0,\0 7]}") },
  { "bytes that are not UTF-8", TEXT_OF ("{\"items\":[\"\xff\xc0\x80\",7]}") },
  { "half a surrogate pair", TEXT_OF ("{\"items\":[\"\\ud800\",7]}") },
  { "brackets and quotes in a string", TEXT_OF ("{\"items\":[\"[[{\\\"]\\\\\",7]}") },
  { "numbers out of range",
    TEXT_OF ("{\"items\":[[1e400,-1e400,99999999999999999999],7]}") },
  { "no numbers", TEXT_OF ("{\"items\":[[NaN,Infinity,-Infinity],7]}") },
};

static int
second_item (DlStr text)
{
  json_object *object = dl_json_text_parse_object (text);
  json_object *items = object != NULL ? json_object_object_get (object, "items") : NULL;
  int item = items != NULL && json_object_array_length (items) == 2
                 ? json_object_get_int (json_object_array_get_idx (items, 1))
                 : -1;

  json_object_put (object);
  return item;
}

static void
test_odd_value_made_text_unreadable (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (odd_texts); i++)
    if (second_item (odd_texts[i].text) != 7)
      CU_FAIL (odd_texts[i].name);
}

static void
test_nested_value_made_text_unreadable (void)
{
  static const unsigned depths[]
      = { 1, DL_JSON_DEPTH_MAX - 2, DL_JSON_DEPTH_MAX - 1, 32, 33, 1000, 1000000 };

  for (size_t i = 0; i < G_N_ELEMENTS (depths); i++)
    {
      GString *text = g_string_new ("{\"items\":[");

      for (unsigned k = 0; k < depths[i]; k++)
        g_string_append (text, k % 2 == 0 ? "[" : "{\"]\\\"\":");
      g_string_append (text, "\"}\"");
      for (unsigned k = depths[i]; k > 0; k--)
        g_string_append (text, k % 2 == 1 ? "]" : "}");
      g_string_append (text, ",7]}");
      CU_ASSERT_EQUAL (second_item (dl_str_bytes (text->str, text->len)), 7);
      g_string_free (text, TRUE);
    }
}

static void
test_text_that_is_no_object (void)
{
  CU_ASSERT_PTR_NULL (dl_json_text_parse_object (DL_STR_LITERAL ("")));
  CU_ASSERT_PTR_NULL (dl_json_text_parse_object (DL_STR_LITERAL ("[1]")));
  CU_ASSERT_PTR_NULL (dl_json_text_parse_object (DL_STR_LITERAL ("{\"items\":[1")));
  CU_ASSERT_PTR_NULL (dl_json_text_parse_object (DL_STR_LITERAL ("]]}}")));
}

/* -------- the store -------- */

typedef struct
{
  DlObjectRequest request;
  const char *method;
  const char *url;
  const char *body; /* NULL for none */
} EncodeCase;

static const EncodeCase encode_cases[] = {
  { { .action = DL_OBJECT_LIST, .kinds = "servers" },
    "GET",
    "http://1.2.3.4:5/-/objects/servers",
    NULL },
  { { .action = DL_OBJECT_LIST, .kinds = "servers", .after = "i-9" },
    "GET",
    "http://1.2.3.4:5/-/objects/servers?after=i-9",
    NULL },
  { { .action = DL_OBJECT_LIST, .kinds = "servers", .after = "a b&c#%\"\r\n/\xff" },
    "GET",
    "http://1.2.3.4:5/-/objects/servers?after=a%20b%26c%23%25%22%0D%0A%2F%FF",
    NULL },
  { { .action = DL_OBJECT_DELETE, .kinds = "k", .name = "n?revision=1", .revision = 5 },
    "DELETE",
    "http://1.2.3.4:5/-/objects/k/n%3Frevision%3D1?revision=5",
    NULL },
  { { .action = DL_OBJECT_WATCH, .kinds = "config", .revision = 7, .wait_ms = 1500 },
    "GET",
    "http://1.2.3.4:5/-/objects/config?watch=7&wait_ms=1500",
    NULL },
  { { .action = DL_OBJECT_GET, .kinds = "config", .name = "main" },
    "GET",
    "http://1.2.3.4:5/-/objects/config/main",
    NULL },
  { { .action = DL_OBJECT_PUT, .kinds = "k", .name = "n" },
    "POST",
    "http://1.2.3.4:5/-/objects/k",
    "{\"metadata\":{\"name\":\"n\"},\"spec\":{\"a\":1}}" },
  { { .action = DL_OBJECT_PUT, .kinds = "k", .name = "n", .revision = 5 },
    "PUT",
    "http://1.2.3.4:5/-/objects/k/n",
    "{\"metadata\":{\"name\":\"n\",\"revision\":5},\"spec\":{\"a\":1}}" },
  { { .action = DL_OBJECT_DELETE, .kinds = "k", .name = "n", .revision = 5 },
    "DELETE",
    "http://1.2.3.4:5/-/objects/k/n?revision=5",
    NULL },
};

static void
test_store_requests (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (encode_cases); i++)
    {
      void *context = talloc_new (NULL);
      DlObjectRequest request = encode_cases[i].request;
      DlObjectHttpRequest http = { 0 };

      request.value = parse ("{\"a\":1}");
      platform_store_protocol.encode (context, "1.2.3.4:5", &request, &http);
      unit_assert_text (http.method, encode_cases[i].method);
      unit_assert_text (http.url, encode_cases[i].url);
      unit_assert_text (http.body != NULL
                            ? json_object_to_json_string_ext (http.body,
                                                              JSON_C_TO_STRING_PLAIN)
                            : NULL,
                        encode_cases[i].body);
      json_object_put (http.body);
      json_object_put (request.value);
      talloc_free (context);
    }
}

static void
test_store_responses (void)
{
  static const char list[]
      = "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":4},\"spec\":{\"x\":1}},"
        "{\"spec\":{}},17,{\"metadata\":{\"name\":\"b\",\"revision\":5},\"spec\":null}],"
        "\"has_more\":true,\"current_rev\":9}";
  static const char watch[]
      = "{\"events\":[{\"object\":{\"metadata\":{\"name\":\"a\",\"revision\":10},"
        "\"spec\":{}},\"deleted\":true}],\"current_rev\":11}";
  void *context = talloc_new (NULL);
  json_object *body = parse (list);
  DlObjectRequest request = { .action = DL_OBJECT_LIST, .kinds = "k" };
  DlObjectResult result = { 0 };

  CU_ASSERT_EQUAL (platform_store_protocol.decode (context, &request, body, &result), 0);
  CU_ASSERT_EQUAL (result.count, 2); /* malformed objects are skipped */
  unit_assert_text (result.objects[1].name, "b");
  CU_ASSERT_TRUE (result.more);
  CU_ASSERT_EQUAL (result.revision, 9);
  json_object_put (body);

  body = parse (watch);
  request.action = DL_OBJECT_WATCH;
  result = (DlObjectResult){ 0 };
  CU_ASSERT_EQUAL (platform_store_protocol.decode (context, &request, body, &result), 0);
  CU_ASSERT_TRUE (result.objects[0].deleted);
  CU_ASSERT_PTR_NULL (result.objects[0].value);
  CU_ASSERT_EQUAL (result.revision, 11);
  CU_ASSERT_EQUAL (platform_store_protocol.decode (context,
                                                   &(DlObjectRequest){ .kinds = "k" },
                                                   body, &result),
                   DL_ERR_MALFORMED);
  json_object_put (body);
  talloc_free (context);
}

/* -------- routing tables -------- */

static const char config[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"r1\",\"hostname\":\"h.example\",\"path_prefix\":\"/a/\","
      "\"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":400,"
      "\"priority\":1,\"backend\":\"m\",\"max_attempts\":2,\"public\":false,"
      "\"resumable\":true,\"target_gap_ms\":400},"
      "{\"name\":\"r2\",\"hostname\":\"h.example\",\"path_prefix\":\"/b/\","
      "\"kind\":\"unsafe\",\"weighted_backends\":[{\"backend\":\"p\",\"weight\":9},"
      "{\"backend\":\"q\",\"weight\":1}]},"
      "{\"name\":\"bad\",\"hostname\":\"h.example\",\"path_prefix\":\"/c/\","
      "\"kind\":\"new\"},{\"name\":4}],"
      "\"services\":[{\"name\":\"m\",\"max_connections\":434,\"engine\":{\"layers\":16,"
      "\"chunks\":64,\"chunk_bytes\":32768,\"read_per_s\":20700.0,"
      "\"models\":[{\"name\":\"big\"}],\"usual\":{\"prompt\":979,\"answer\":92}}},"
      "{\"name\":\"w\",\"origin\":\"9.9.9.9:1\",\"link_mbps\":9.9}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":3}]}";

static void
test_routing (void)
{
  json_object *value = parse (config);
  DlRouting *routing = NULL;
  const char *error = NULL;

  CU_ASSERT_EQUAL_FATAL (platform_read_routing (NULL, value, &routing, &error), 0);
  CU_ASSERT_EQUAL (routing->version, 7);
  CU_ASSERT_EQUAL (routing->route_count, 2); /* the other two are malformed */
  CU_ASSERT_EQUAL (routing->routes[0].kind, DL_ROUTE_STREAM);
  CU_ASSERT_TRUE (routing->routes[0].resumable);
  CU_ASSERT_EQUAL (routing->routes[0].attempts_max, 2);
  CU_ASSERT_EQUAL (routing->routes[1].kind, DL_ROUTE_ONCE);
  CU_ASSERT_EQUAL (routing->routes[1].target_count, 2);
  CU_ASSERT_EQUAL (routing->routes[1].attempts_max, 1);
  CU_ASSERT_EQUAL (routing->services[0].engine.usual_prompt_tokens, 979);
  unit_assert_text (routing->services[0].engine.model, "big");
  unit_assert_text (routing->services[1].origin, "9.9.9.9:1");
  CU_ASSERT_EQUAL (routing->limits.header_bytes_max, 16384);
  unit_assert_text (dl_routing_key_owner (routing, "k2")->name, "t");
  CU_ASSERT_PTR_NULL (dl_routing_key_owner (routing, "k3"));
  json_object_put (value);
  talloc_free (routing);
}

static void
test_malformed_routing (void)
{
  static const char *const texts[]
      = { "{}", "[]", "{\"version\":0,\"routes\":[],\"services\":[]}",
          "{\"version\":3,\"routes\":{},\"services\":[]}" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      json_object *value = parse (texts[i]);
      DlRouting *routing;
      const char *error = NULL;

      CU_ASSERT_EQUAL (platform_read_routing (NULL, value, &routing, &error),
                       DL_ERR_MALFORMED);
      CU_ASSERT_PTR_NOT_NULL (error);
      json_object_put (value);
    }
}

/* Guards against a confinement that is lost for the form of the list. */
static void
test_allowed_regions (void)
{
  static const struct
  {
    const char *list;
    bool is_confined;
    bool allows_north;
  } cases[] = {
    { "[]", false, true },
    { "[\"north\",\"south\"]", true, true },
    { "[\"south\"]", true, false },
    { "[\"North\"]", true, false },
    { "[7]", true, false },
    { "[7,\"north\"]", true, true },
    { "[[\"north\"]]", true, false },
    { "\"north\"", true, false },
    { "{}", true, false },
    { "false", true, false },
    { "0", true, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      void *context = talloc_new (NULL);
      json_object *value = parse (talloc_asprintf (
          context,
          "{\"version\":1,\"routes\":[{\"hostname\":\"a\",\"path_prefix\":\"/\","
          "\"kind\":\"unsafe\",\"backend\":\"m\",\"allowed_regions\":%s}],"
          "\"services\":[{\"name\":\"m\"}],"
          "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],\"allowed_regions\":%s}]}",
          cases[i].list, cases[i].list));
      DlRouting *routing = NULL;
      const char *error = NULL;

      CU_ASSERT_EQUAL_FATAL (platform_read_routing (context, value, &routing, &error), 0);
      CU_ASSERT_EQUAL_FATAL (routing->route_count, 1);
      CU_ASSERT_EQUAL_FATAL (routing->organisation_count, 1);
      CU_ASSERT_EQUAL (routing->routes[0].regions.is_confined, cases[i].is_confined);
      CU_ASSERT_EQUAL (dl_regions_allow (&routing->routes[0].regions, "north"),
                       cases[i].allows_north);
      CU_ASSERT_EQUAL (dl_regions_allow (&routing->organisations[0].regions, "north"),
                       cases[i].allows_north);
      json_object_put (value);
      talloc_free (context);
    }
}

/* Guards against a directory that passes a null pointer on for a question without a host,
 * which is undefined, and against one that is taken for a confined host. */
static void
test_host_regions (void)
{
  void *context = talloc_new (NULL);
  json_object *value
      = parse ("{\"version\":1,\"routes\":["
               "{\"hostname\":\"\",\"path_prefix\":\"/\",\"kind\":\"unsafe\","
               "\"backend\":\"m\",\"allowed_regions\":[\"south\"]},"
               "{\"hostname\":\"a\",\"path_prefix\":\"/\",\"kind\":\"unsafe\","
               "\"backend\":\"m\",\"allowed_regions\":[\"north\",\"south\"]},"
               "{\"hostname\":\"a\",\"path_prefix\":\"/x\",\"kind\":\"unsafe\","
               "\"backend\":\"m\",\"allowed_regions\":[\"south\"]},"
               "{\"hostname\":\"b\",\"path_prefix\":\"/\",\"kind\":\"unsafe\","
               "\"backend\":\"m\"}],\"services\":[{\"name\":\"m\"}]}");
  DlRouting *routing = NULL;
  const char *error = NULL;

  CU_ASSERT_EQUAL_FATAL (platform_read_routing (context, value, &routing, &error), 0);
  CU_ASSERT_FALSE (dl_routing_host_is_confined (routing, dl_str (NULL)));
  CU_ASSERT_TRUE (dl_routing_host_allows (routing, dl_str (NULL), "north"));
  CU_ASSERT_TRUE (dl_routing_host_is_confined (routing, dl_str ("A:80")));
  CU_ASSERT_TRUE (dl_routing_host_allows (routing, dl_str ("A:80"), "south"));
  CU_ASSERT_FALSE (dl_routing_host_allows (routing, dl_str ("A:80"), "north"));
  CU_ASSERT_FALSE (dl_routing_host_is_confined (routing, dl_str ("b")));
  CU_ASSERT_TRUE (dl_routing_host_allows (routing, dl_str ("b"), "east"));
  json_object_put (value);
  talloc_free (context);
}

/* -------- upstreams -------- */

typedef struct
{
  const char *text;
  int result;
  bool leaving;
  uint64_t version;
} EntryCase;

#define ENTRY_HEAD \
  "{\"backend\":\"m\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":16,"

static const EntryCase entry_cases[] = {
  { ENTRY_HEAD "\"state\":\"ready\",\"models\":[{\"name\":\"b\",\"version\":1}]}", 0,
    false, 1 },
  { ENTRY_HEAD "\"state\":\"draining\",\"models\":[]}", 0, true, 0 },
  { ENTRY_HEAD "\"state\":\"ready\",\"models\":[{\"name\":\"b\",\"version\":1}],"
               "\"layers\":{\"from\":0,\"target\":16,\"version\":3}}",
    0, false, 3 },
  { ENTRY_HEAD "\"state\":\"ready\",\"models\":[{\"name\":\"b\",\"version\":1}],"
               "\"layers\":{\"from\":4,\"target\":16,\"version\":3}}",
    0, false, 0 },
  { ENTRY_HEAD "\"state\":\"odd\"}", DL_ERR_MALFORMED, false, 0 },
  { ENTRY_HEAD "\"state\":5}", DL_ERR_MALFORMED, false, 0 },
  { "{\"state\":\"ready\"}", DL_ERR_MALFORMED, false, 0 },
  { "{\"backend\":\"m\",\"address\":\"there\",\"zone\":\"z\",\"slots\":16,\"state\":"
    "\"ready\"}",
    DL_ERR_MALFORMED, false, 0 },
  { "[]", DL_ERR_MALFORMED, false, 0 },
};

/* Entries of other writers, which name no upstream. */
static const struct
{
  const char *id; /* NULL for "i-1" */
  const char *backend;
  const char *address;
  const char *slots;
  const char *state;
} odd_entries[] = {
  { NULL, "\"m\"", "\"1.2.3.4:0\"", "4", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:65536\"", "4", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:99999999999999999999999\"", "4", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:-1\"", "4", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5:5\"", "4", "\"ready\"" },
  { NULL, "\"m\"", "\"0.0.0.0:5\"", "4", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\\u0000\"", "4", "\"ready\"" },
  { NULL, "\"m\"", "\"\"", "4", "\"ready\"" },
  { NULL, "\"m\"", "null", "4", "\"ready\"" },
  { NULL, "\"\"", "\"1.2.3.4:5\"", "4", "\"ready\"" },
  { NULL, "7", "\"1.2.3.4:5\"", "4", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "0", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "-1", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "4.5", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "\"4\"", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "1000001", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "4294967295", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "4294967300", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "9223372036854775807", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "18446744073709551616", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "1e400", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "NaN", "\"ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "4", "\"Ready\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "4", "\"ready\\u0000\"" },
  { NULL, "\"m\"", "\"1.2.3.4:5\"", "4", "\"\"" },
  { "", "\"m\"", "\"1.2.3.4:5\"", "4", "\"ready\"" },
  { "i 1", "\"m\"", "\"1.2.3.4:5\"", "4", "\"ready\"" },
  { "i-1\r\nX-Tenant-Id: other", "\"m\"", "\"1.2.3.4:5\"", "4", "\"ready\"" },
  { "i-1\xff", "\"m\"", "\"1.2.3.4:5\"", "4", "\"ready\"" },
};

static void
test_odd_entry_was_taken_for_upstream (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (odd_entries); i++)
    {
      void *context = talloc_new (NULL);
      const char *id = odd_entries[i].id != NULL ? odd_entries[i].id : "i-1";
      json_object *value = parse (talloc_asprintf (
          context,
          "{\"backend\":%s,\"address\":%s,\"zone\":\"z\",\"slots\":%s,\"state\":%s}",
          odd_entries[i].backend, odd_entries[i].address, odd_entries[i].slots,
          odd_entries[i].state));
      DlUpstreamEntry entry;

      if (platform_read_upstream (context, id, value, &entry) != DL_ERR_MALFORMED)
        {
          g_print ("entry %" G_GSIZE_FORMAT ": %s\n", i,
                   json_object_to_json_string (value));
          CU_FAIL ("an odd entry was accepted");
        }
      json_object_put (value);
      talloc_free (context);
    }
}

static void
test_upstream_entries (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (entry_cases); i++)
    {
      void *context = talloc_new (NULL);
      json_object *value = parse (entry_cases[i].text);
      DlUpstreamEntry entry;

      CU_ASSERT_EQUAL (platform_read_upstream (context, "i-1", value, &entry),
                       entry_cases[i].result);
      if (entry_cases[i].result == 0)
        {
          CU_ASSERT_EQUAL (entry.leaving, entry_cases[i].leaving);
          CU_ASSERT_EQUAL (entry.version, entry_cases[i].version);
        }
      json_object_put (value);
      talloc_free (context);
    }
}

/* Guards against a cold upstream that is taken for a warm one for the form of the number:
 * it would be filled at once. */
static void
test_cold_time_in_entries (void)
{
  static const struct
  {
    const char *text;
    bool has_cold;
    uint64_t cold_ms;
  } cases[] = {
    { "2500", true, 2500 },        { "2499.2", true, 2500 }, { "0", true, 0 },
    { "1e400", true, 3600000 },    { "-1", false, 0 },       { "-0.5", false, 0 },
    { "\"2500\"", false, 0 },      { "null", false, 0 },     { "[2500]", false, 0 },
    { "99999999", true, 3600000 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      void *context = talloc_new (NULL);
      json_object *value = parse (talloc_asprintf (context,
                                                   ENTRY_HEAD "\"state\":\"ready\","
                                                              "\"cold_remaining_ms\":%s}",
                                                   cases[i].text));
      DlUpstreamEntry entry;

      CU_ASSERT_EQUAL (platform_read_upstream (context, "i-1", value, &entry), 0);
      CU_ASSERT_EQUAL (entry.has_cold, cases[i].has_cold);
      CU_ASSERT_EQUAL (entry.cold_ms, cases[i].cold_ms);
      json_object_put (value);
      talloc_free (context);
    }
}

static void
test_engine_reports (void)
{
  void *context = talloc_new (NULL);
  DlEngineReport report;

  CU_ASSERT_EQUAL (
      platform_read_report (
          context,
          dl_str ("{\"models\":[{\"name\":\"b\",\"version\":2}],\"busy\":true,"
                  "\"layers\":{\"from\":0,\"target\":16,\"version\":2},\"sequence\":4,"
                  "\"waiting\":1,\"running\":12,\"pace\":1.5,\"born\":77}"),
          16, &report),
      0);
  CU_ASSERT_TRUE (report.busy);
  CU_ASSERT_EQUAL (report.version, 2);
  CU_ASSERT_EQUAL (report.running, 12);
  CU_ASSERT_EQUAL (report.pace, 1.5);
  CU_ASSERT_EQUAL (platform_read_report (context, dl_str ("not JSON"), 16, &report),
                   DL_ERR_MALFORMED);
  talloc_free (context);
}

/* Reports of weights of any version, complete or not. */
static void
test_reports_of_weights (void)
{
  static const struct
  {
    const char *text;
    bool has_weights;
    uint64_t version;
  } cases[] = {
    { "{\"models\":[{\"name\":\"b\",\"version\":2}]}", true, 2 },
    { "{\"models\":[{\"name\":\"b\",\"version\":2}],\"layers\":{\"from\":4,\"target\":16,"
      "\"version\":3}}",
      true, 0 },
    { "{\"models\":[{\"name\":\"b\",\"version\":2}],\"layers\":{\"from\":0,\"target\":8,"
      "\"version\":3}}",
      true, 0 },
    { "{\"models\":[],\"busy\":true}", false, 0 },
    { "{\"models\":[]}", false, 0 },
    { "{}", false, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      void *context = talloc_new (NULL);
      DlEngineReport report;

      CU_ASSERT_EQUAL (platform_read_report (context, dl_str (cases[i].text), 16,
                                             &report),
                       0);
      CU_ASSERT_EQUAL (report.has_weights, cases[i].has_weights);
      CU_ASSERT_EQUAL (report.version, cases[i].version);
      talloc_free (context);
    }
}

static void
test_load_outcomes (void)
{
  static const struct
  {
    DlHttpResult result;
    DlLoadOutcome outcome;
  } cases[] = {
    { { .status = 202 }, DL_LOAD_ACCEPTED },
    { { .status = 200 }, DL_LOAD_ALREADY_IN_EFFECT },
    { { .status = 409 }, DL_LOAD_CONFLICT },
    { { .status = 412 }, DL_LOAD_FENCED },
    { { .status = 400 }, DL_LOAD_INVALID },
    { { .status = 503 }, DL_LOAD_UNKNOWN },
    { { .status = 202, .error = DL_ERR_CLOSED }, DL_LOAD_UNKNOWN },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_EQUAL (platform_read_load_outcome (&cases[i].result), cases[i].outcome);
}

static void
test_manifests (void)
{
  void *context = talloc_new (NULL);
  const char **digests;
  uint64_t version = 0;
  static const char text[]
      = "{\"model\":\"b\",\"version\":2,\"digests\":[\"aa\",\"bb\"]}";

  CU_ASSERT_EQUAL (platform_read_manifest (context, dl_str (text), "b", &version,
                                           &digests),
                   2);
  CU_ASSERT_EQUAL (version, 2);
  unit_assert_text (digests[1], "bb");
  CU_ASSERT_EQUAL (platform_read_manifest (context, dl_str (text), "c", &version,
                                           &digests),
                   DL_ERR_MALFORMED);
  CU_ASSERT_EQUAL (platform_read_manifest (context,
                                           dl_str ("{\"model\":\"b\",\"version\":2}"),
                                           "b", &version, &digests),
                   DL_ERR_MALFORMED);
  talloc_free (context);
}

/* -------- responses -------- */

typedef struct
{
  const char *text;
  uint64_t ms;
} RetryCase;

static const RetryCase retry_cases[] = {
  { NULL, 0 },
  { "", 0 },
  { "0", 0 },
  { "2", 2000 },
  { "0.25", 250 },
  { "1.0001", 1001 },
  { ".5", 500 },
  { "-1", 0 },
  { "1.2.3", 0 },
  { "nan", 0 },
  { "inf", 0 },
  { "0x10", 0 },
  { "1e3", 0 },
  { "2 s", 0 },
  { "Fri, 04 Dec 2026 09:00:00 GMT", 0 },
  { "99999999999999999999", G_MAXUINT32 },
};

static void
test_retry_after (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (retry_cases); i++)
    CU_ASSERT_EQUAL (platform_read_retry_after (retry_cases[i].text), retry_cases[i].ms);
}

static const CU_TestInfo tests[] = {
  { "an odd value made a text unreadable", test_odd_value_made_text_unreadable },
  { "a nested value made a text unreadable", test_nested_value_made_text_unreadable },
  { "texts that are no object", test_text_that_is_no_object },
  { "requests to the store", test_store_requests },
  { "responses of the store", test_store_responses },
  { "routing tables", test_routing },
  { "malformed routing tables", test_malformed_routing },
  { "lists of allowed regions", test_allowed_regions },
  { "regions of hosts", test_host_regions },
  { "list entries of upstreams", test_upstream_entries },
  { "an odd entry was taken for an upstream", test_odd_entry_was_taken_for_upstream },
  { "cold time in list entries", test_cold_time_in_entries },
  { "reports of engines", test_engine_reports },
  { "reports of weights", test_reports_of_weights },
  { "outcomes of load commands", test_load_outcomes },
  { "manifests", test_manifests },
  { "when to retry", test_retry_after },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("platform", tests)
