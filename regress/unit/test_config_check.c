/* Checks of a routing configuration before it is sent. */
#include <errno.h>
#include <glib.h>
#include <talloc.h>

#include "kernel/settings.h"
#include "platform.h"
#include "policy/config_check.h"
#include "unit.h"

#define ROUTE_AT(name, prefix, rest)                                            \
  "{\"name\":\"" name "\",\"hostname\":\"h.example\",\"path_prefix\":\"" prefix \
  "\",\"kind\":\"safe\",\"timeout_ms\":1000," rest "}"
#define ROUTE(rest) ROUTE_AT ("a", "/a/", rest)
#define TO_S        "\"backend\":\"s\""
#define SERVICE     "{\"name\":\"s\"}"
#define ORGANISATION(name, key, rest) \
  "{\"name\":\"" name "\",\"api_keys\":[\"" key "\"]" rest "}"
#define REGIONS(names) "\"allowed_regions\":[" names "]"

#define TWO_ROUTES       ROUTE (TO_S) "," ROUTE_AT ("b", "/b/", TO_S)
#define WITH_ORIGIN      SERVICE ",{\"name\":\"o\",\"origin\":\"9.9.9.9:1\"}"
#define ONE_ORGANISATION "[" ORGANISATION ("t", "k", "") "]"

/* The lists of a configuration; NULL: the usual one. */
typedef struct Config
{
  const char *routes;
  const char *services;
  const char *organisations; /* NULL: no member */
  unsigned version;          /* 0: 2 */
  const struct Config *in_force;
} Config;

/* The only finding of a configuration: its severity, kind, part and name. */
typedef struct
{
  const char *finding;
  Config config;
} Case;

static const Config usual = { .version = 1 };
static const Config two_routes = { .routes = TWO_ROUTES, .version = 1 };
static const Config with_origin = { .services = WITH_ORIGIN, .version = 1 };
static const Config no_organisations = { .organisations = "[]", .version = 1 };
static const Config keyed = { .organisations = ONE_ORGANISATION, .version = 1 };

static const Case cases[] = {
  { "error left-out route b",
    { .routes = ROUTE (TO_S) ",{\"name\":\"b\",\"hostname\":\"h\"}" } },
  { "error left-out service #2", { .services = SERVICE ",{\"nam\":\"x\"}" } },
  { "error left-out organisation #1", { .organisations = "[{}]" } },
  /* Its routes would need no key. */
  { "error left-out organisation #0", { .organisations = "{}" } },
  { "error shared-key organisation u",
    { .organisations
      = "[" ORGANISATION ("t", "k", "") "," ORGANISATION ("u", "k", "") "]" } },
  { "error version configuration version", { .version = 1, .in_force = &usual } },
  { "error unknown-service route b",
    { .routes = ROUTE (TO_S) "," ROUTE_AT ("b", "/b/", "\"backend\":\"x\"") } },
  { "error no-weight route a",
    { .routes = ROUTE ("\"weighted_backends\":[{\"backend\":\"s\",\"weight\":0}]") } },
  { "error no-weight route b",
    { .routes = ROUTE (TO_S) "," ROUTE_AT ("b", "/b/", "\"backend\":1") } },
  { "warning never-matches route b",
    { .routes = ROUTE (TO_S) ",{\"name\":\"b\",\"hostname\":\"H.EXAMPLE\","
                             "\"path_prefix\":\"/a/\",\"kind\":\"safe\"," TO_S "}" } },
  { "warning never-matches route h:80/a/",
    { .routes
      = "{\"hostname\":\"h:80\",\"path_prefix\":\"/a/\",\"kind\":\"safe\"," TO_S "}" } },
  { "warning never-matches route b", { .routes = ROUTE_AT ("b", "b/", TO_S) } },
  { "warning duplicate-name route a",
    { .routes = ROUTE (TO_S) "," ROUTE_AT ("a", "/b/", TO_S) } },
  { "warning duplicate-name service s", { .services = SERVICE "," SERVICE } },
  { "warning duplicate-name organisation t",
    { .organisations
      = "[" ORGANISATION ("t", "k", "") "," ORGANISATION ("t", "l", "") "]" } },
  { "warning unused-service service x",
    { .services
      = SERVICE ",{\"name\":\"x\"},{\"name\":\"o\",\"origin\":\"9.9.9.9:1\"}" } },
  { "warning target-over-timeout route a",
    { .routes = ROUTE (TO_S ",\"target_latency_ms\":1001") } },
  { "warning attempts route a",
    { .routes = "{\"name\":\"a\",\"hostname\":\"h\",\"path_prefix\":\"/a/\","
                "\"kind\":\"unsafe\",\"max_attempts\":2," TO_S "}" } },
  { "warning regions-disjoint organisation t",
    { .routes = ROUTE (TO_S "," REGIONS ("\"r1\"")),
      .organisations = "[" ORGANISATION ("t", "k", "," REGIONS ("\"r2\"")) "]" } },
  /* One of two regions exists. */
  { "warning unknown-region route a",
    { .routes = ROUTE (TO_S "," REGIONS ("\"r1\",\"r9\"")) } },
  { "error unknown-region organisation t",
    { .organisations = "[" ORGANISATION ("t", "k", ",\"allowed_regions\":\"r1\"") "]" } },
  { "error evacuation route a", { .routes = ROUTE (TO_S "," REGIONS ("\"r3\"")) } },
  { "difference added route b", { .routes = TWO_ROUTES, .in_force = &usual } },
  { "difference removed route b", { .in_force = &two_routes } },
  { "difference changed route a",
    { .routes = ROUTE (TO_S ",\"priority\":1"), .in_force = &usual } },
  { "difference removed service o", { .in_force = &with_origin } },
  { "difference added organisation t",
    { .organisations = ONE_ORGANISATION, .in_force = &no_organisations } },
  { "difference added service o", { .services = WITH_ORIGIN, .in_force = &usual } },
  { "difference changed service s",
    { .services = "{\"name\":\"s\",\"cold_start_s\":3,\"cold_per_s\":0.5}",
      .in_force = &usual } },
  { "difference changed organisation t",
    { .organisations = "[" ORGANISATION ("t", "l", "") "]", .in_force = &keyed } },
  { "difference removed organisation t", { .organisations = "[]", .in_force = &keyed } },
  { "difference changed configuration limits",
    { .organisations = "[]", .in_force = &usual } },
};

static DlRouting *
read_config (const void *context, const Config *c, DlRoutingFaults *faults)
{
  g_autofree char *text
      = g_strdup_printf ("{\"version\":%u,\"routes\":[%s],\"services\":[%s]%s%s}",
                         c->version > 0 ? c->version : 2,
                         c->routes != NULL ? c->routes : ROUTE (TO_S),
                         c->services != NULL ? c->services : SERVICE,
                         c->organisations != NULL ? ",\"tenants\":" : "",
                         c->organisations != NULL ? c->organisations : "");
  DlRouting *routing = NULL;
  json_object *value;
  char *error = NULL;
  const char *reason;

  CU_ASSERT_EQUAL_FATAL (dl_json_parse (context, "t", dl_str (text), &value, &error), 0);
  CU_ASSERT_EQUAL_FATAL (platform_read_routing_faults (context, value, &routing, faults,
                                                       &reason),
                         0);
  json_object_put (value);
  return routing;
}

/* The data centre in r3 is evacuated.  That in r4 has no upstream. */
static const DlConfigDataCenter centers[] = { { .name = "d1", .region = "r1" },
                                              { .name = "d2", .region = "r2" },
                                              { "d3", "r3", true },
                                              { .name = "d4", .region = "r4" } };
static const DlConfigUpstream upstreams[] = { { "s", "d1" }, { "s", "d3" } };

static void
test_findings (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Config *c = &cases[i].config;
      DlConfigFindings *findings = dl_config_findings_new (NULL);
      g_autoptr (GString) found = g_string_new ("");
      DlRoutingFaults faults;
      DlConfigInput input = {
        .routing = read_config (findings, c, &faults),
        .faults = &faults,
        .in_force
        = c->in_force != NULL ? read_config (findings, c->in_force, NULL) : NULL,
        .data_centers = centers,
        .data_center_count = G_N_ELEMENTS (centers),
      };

      dl_config_check (findings, &input);
      for (size_t k = 0; k < findings->listed; k++)
        {
          const DlConfigFinding *f = &findings->items[k];

          g_string_append_printf (found, "%s%s %s %s %s", k > 0 ? "; " : "",
                                  dl_config_severity_name (f->severity),
                                  dl_config_kind_name (f->kind),
                                  dl_routing_part_name (f->part), f->name);
        }
      unit_assert_text (found->str, cases[i].finding);
      talloc_free (findings);
    }
}

/* With a list of upstreams, data centres without any do not count as a place for a
 * confined route, and a route that had none before is not the evacuation's fault. */
static void
test_evacuation_with_upstreams (void)
{
  static const struct
  {
    const char *regions;
    size_t errors;
  } routes[] = { { "\"r3\",\"r4\"", 1 }, { "\"r1\",\"r3\"", 0 }, { "\"r4\"", 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      DlConfigFindings *findings = dl_config_findings_new (NULL);
      g_autofree char *list
          = g_strdup_printf (ROUTE (TO_S "," REGIONS ("%s")), routes[i].regions);
      DlConfigInput input = {
        .routing = read_config (findings, &(Config){ .routes = list }, NULL),
        .data_centers = centers,
        .data_center_count = G_N_ELEMENTS (centers),
        .has_upstreams = true,
        .upstreams = upstreams,
        .upstream_count = G_N_ELEMENTS (upstreams),
      };

      dl_config_check (findings, &input);
      CU_ASSERT_EQUAL (findings->counts[DL_CONFIG_ERROR], routes[i].errors);
      talloc_free (findings);
    }
}

/* A finding in a sound configuration of the largest known size would be ignored next
 * time. */
static void
test_many_routes_without_finding (void)
{
  DlConfigFindings *findings = dl_config_findings_new (NULL);
  g_autoptr (GString) routes = g_string_new ("");
  DlRoutingFaults faults;
  DlConfigInput input = { .faults = &faults, .data_centers = centers };

  for (unsigned i = 0; i < 1600; i++)
    g_string_append_printf (routes,
                            "%s" ROUTE_AT ("n%u", "/p%u/", TO_S "," REGIONS ("\"r1\"")),
                            i > 0 ? "," : "", i, i);
  input.routing = read_config (findings, &(Config){ .routes = routes->str }, &faults);
  input.in_force = read_config (findings, &(Config){ routes->str, .version = 1 }, NULL);
  input.data_center_count = G_N_ELEMENTS (centers);
  CU_ASSERT_EQUAL (input.routing->route_count, 1600);
  dl_config_check (findings, &input);
  CU_ASSERT_EQUAL (findings->listed, 0);
  talloc_free (findings);
}

/* A configuration that consists of faults must not fill the memory, nor pass. */
static void
test_findings_are_bounded_and_counted (void)
{
  DlConfigFindings *findings = dl_config_findings_new (NULL);
  g_autoptr (GString) routes = g_string_new ("{}");
  DlRoutingFaults faults;
  DlConfigInput input = { .faults = &faults };

  for (unsigned i = 1; i < DL_ROUTING_FAULTS_MAX + 5; i++)
    g_string_append (routes, ",{}");
  input.routing
      = read_config (findings, &(Config){ routes->str, "{\"name\":\"o\"}" }, &faults);
  dl_config_check (findings, &input);
  CU_ASSERT_EQUAL (faults.listed, DL_ROUTING_FAULTS_MAX);
  CU_ASSERT_EQUAL (findings->counts[DL_CONFIG_ERROR], DL_ROUTING_FAULTS_MAX + 5);
  CU_ASSERT_EQUAL (findings->listed, DL_ROUTING_FAULTS_MAX + 1); /* and the service */
  talloc_free (findings);
}

/* An error message without the place is of little use in a file of megabytes. */
static void
test_place_of_syntax_error (void)
{
  static const struct
  {
    const char *text;
    size_t line;
    size_t column;
  } texts[] = { { "{\"a\":1,\n \"b\":?}", 2, 6 },
                { "{\"a\":[1,\n2", 2, 2 },
                { "{}\n\n x", 3, 2 },
                { "{\"a\":0.5,\n// a\n\"a\":2}", 3, 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      void *context = talloc_new (NULL);
      json_object *value;
      DlJsonPlace place;
      char *error = NULL;

      CU_ASSERT_EQUAL (dl_json_parse_with_place (context, "t", dl_str (texts[i].text),
                                                 &value, &place, &error),
                       -EINVAL);
      CU_ASSERT_EQUAL (place.line, texts[i].line);
      CU_ASSERT_EQUAL (place.column, texts[i].column);
      talloc_free (context);
    }
}

static const CU_TestInfo tests[] = {
  { "each finding alone", test_findings },
  { "evacuation with a list of upstreams", test_evacuation_with_upstreams },
  { "many routes without a finding", test_many_routes_without_finding },
  { "findings are bounded and counted", test_findings_are_bounded_and_counted },
  { "place of a syntax error", test_place_of_syntax_error },
  CU_TEST_INFO_NULL,
};

UNIT_SUITE ("config check", tests)
