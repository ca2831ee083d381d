/* Settings errors name the source, the key and the reason; choice of relays. */
#include <string.h>
#include <talloc.h>

#include "kernel/fleet.h"
#include "kernel/members.h"
#include "unit.h"

typedef struct
{
  const char *text;
  const char *error; /* NULL: accepted */
} FleetCase;

#define HEAD "{\"services\":[],\"organisations\":[],\"priorities\":[\"a\"],"

static const FleetCase fleet_cases[] = {
  { HEAD "\"home_region\":\"r\"}", NULL },
  { "// comment\n" HEAD "/* \"home_region\": 1 */ \"home_region\":\"r//x\"}", NULL },
  { HEAD "\"home_region\":\"r\",\"home_region\":\"s\"}",
    "t: home_region: the key stands twice" },
  { HEAD "\"home_region\":7}", "t: home_region: must be a string" },
  { HEAD "\"home_regio\":\"r\"}", "t: home_regio: unknown key" },
  { HEAD "\"weigh\":\"both\",\"home_region\":\"r\"}",
    "t: weigh: must be one of: time, origin-bytes" },
  { HEAD "\"wave_percent\":0,\"home_region\":\"r\"}",
    "t: wave_percent: must be from 1 to 100" },
  { HEAD "\"wave_percent\":-1,\"home_region\":\"r\"}",
    "t: wave_percent: must be from 1 to 100" },
  { "{\"organisations\":[],\"priorities\":[\"a\"],\"home_region\":\"r\"}",
    "t: services: required, but missing" },
  { "{\"services\":[{\"name\":\"a\",\"kind\":\"plain\"},{\"name\":\"a\",\"kind\":"
    "\"plain\"}],"
    "\"organisations\":[],\"priorities\":[\"a\"],\"home_region\":\"r\"}",
    "t: services: \"a\" stands twice" },
  { "{\"services\":[{\"name\":\"a\",\"kind\":\"plain\",\"non_idempotent\":[\"POST\"]}],"
    "\"organisations\":[],\"priorities\":[\"a\"],\"home_region\":\"r\"}",
    "t: non_idempotent: \"POST\" is not of the form \"METHOD /path\"" },
  { "[]", "t: must be a JSON object" },
  { "", "t: not JSON: empty or with a NUL byte" },
  { "{\"services\":[", "t: not JSON: unexpected end of data" },
  { HEAD "\"home_region\":\"r\"} x", "t: not JSON: unexpected character" },
};

static void
test_fleet_cases (void)
{
  for (size_t i = 0; i < sizeof fleet_cases / sizeof fleet_cases[0]; i++)
    {
      const FleetCase *c = &fleet_cases[i];
      void *context = talloc_new (NULL);
      DlFleet *fleet = NULL;
      char *error = NULL;
      int status = dl_fleet_parse (context, "t", dl_str (c->text), &fleet, &error);

      CU_ASSERT_EQUAL (status == 0, c->error == NULL);
      unit_assert_text (error, c->error);
      talloc_free (context);
    }
}

static void
test_relay_choice (void)
{
  void *context = talloc_new (NULL);
  DlMembers *members = NULL;
  char *error = NULL;
  const DlMember *relays[DL_RELAYS];
  const char *text
      = "{\"revision\":1,\"hosts\":["
        "{\"name\":\"e1\",\"role\":\"entry\",\"region\":\"a\",\"data_center\":\"a1\","
        "\"address\":\"127.0.0.1:1\"},"
        "{\"name\":\"e2\",\"role\":\"entry\",\"region\":\"a\",\"data_center\":\"a1\","
        "\"address\":\"127.0.0.1:2\",\"leaving\":true},"
        "{\"name\":\"e3\",\"role\":\"entry\",\"region\":\"b\",\"data_center\":\"b1\","
        "\"address\":\"127.0.0.1:3\"}]}";

  CU_ASSERT_EQUAL_FATAL (dl_members_from_json (context, dl_str (text), &members, &error),
                         0);
  CU_ASSERT_EQUAL (dl_members_relays (members, "a", "a1", relays), 1);
  unit_assert_text (relays[0]->name, "e1");
  CU_ASSERT_EQUAL (dl_members_relays (members, "a", "a2", relays), 1);
  unit_assert_text (relays[0]->name, "e1");
  CU_ASSERT_EQUAL (dl_members_relays (members, "c", "c1", relays), 2);
  CU_ASSERT_PTR_NULL (dl_members_find (members, "e9"));
  talloc_free (context);
}

static const CU_TestInfo settings_tests[] = {
  { "fleet settings", test_fleet_cases },
  { "relays", test_relay_choice },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("settings", settings_tests)
