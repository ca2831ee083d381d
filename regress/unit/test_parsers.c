/*
 * Fuzzes the parsers with truncated, altered, duplicated and random input.  Each must
 * return an error or a value and stay within bounds, which the sanitizers check.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/address.h"
#include "kernel/error.h"
#include "kernel/fleet.h"
#include "kernel/manifest.h"
#include "kernel/members.h"
#include "kernel/wire.pb-c.h"
#include "unit.h"

#define SEED   20261203
#define ROUNDS 3000

typedef void (*ParseFunc) (const void *context, DlStr text);

static const char fleet_text[] = "{\"services\":[{\"name\":\"draft\",\"kind\":\"model\"},"
                                 "{\"name\":\"ledger\",\"kind\":"
                                 "\"plain\",\"non_idempotent\":[\"POST /book\"]}],/* c "
                                 "*/\"organisations\":[{\"name\":"
                                 "\"o1\",\"weight\":2,\"max_requests_per_s\":100}],"
                                 "\"priorities\":[\"summary\",\"letter\"]"
                                 ",\"home_region\":\"bratislava\"}";
static const char members_text[]
    = "{\"revision\":7,\"hosts\":[{\"name\":\"s1\",\"role\":\"slot\",\"region\":\"r\","
      "\"data_center\":\"d\",\"address\":\"127.0.0.1:80\",\"service\":\"draft\"}]}";
static const char manifest_text[]
    = "{\"model\":\"m\",\"chunk_bytes\":1024,\"files\":[{\"name\":\"base\",\"bytes\":"
      "1500}],"
      "\"chunks\":[\"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\","
      "\"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\"]}";

static void
check_status (int status, const char *error)
{
  CU_ASSERT (status == 0
             || (status < 0 && error != NULL && strchr (error, '\n') == NULL));
}

static void
parse_fleet (const void *context, DlStr text)
{
  DlFleet *fleet = NULL;
  char *error = NULL;
  int status = dl_fleet_parse (context, "fuzz", text, &fleet, &error);

  check_status (status, error);
}

static void
parse_members (const void *context, DlStr text)
{
  DlMembers *members = NULL;
  char *error = NULL;
  int status = dl_members_from_json (context, text, &members, &error);

  check_status (status, error);
}

static void
parse_manifest (const void *context, DlStr text)
{
  DlManifest *manifest = NULL;
  char *error = NULL;
  int status = dl_manifest_parse (context, text, &manifest, &error);

  check_status (status, error);
}

static void
parse_envelope (const void *context, DlStr text)
{
  Daisyloft__Wire__Envelope *envelope
      = daisyloft__wire__envelope__unpack (NULL, text.length, (const uint8_t *)text.data);

  if (envelope != NULL)
    daisyloft__wire__envelope__free_unpacked (envelope, NULL);
}

static void
parse_address (const void *context, DlStr text)
{
  struct sockaddr_in address;
  int status = dl_address_parse (text, &address);

  CU_ASSERT (status == 0 || status == -EINVAL);
}

/* Returns TEXT truncated, with bytes overwritten, with a part repeated, or as random
 * bytes. */
static GString *
mutate (GRand *rand, DlStr text)
{
  GString *s = g_string_new_len (text.data, (gssize)text.length);
  gsize at = s->len > 0 ? (gsize)g_rand_int_range (rand, 0, (gint32)s->len) : 0;

  switch (g_rand_int_range (rand, 0, 4))
    {
    case 0:
      g_string_truncate (s, at);
      break;
    case 1:
      for (int i = g_rand_int_range (rand, 1, 5); i > 0 && s->len > 0; i--)
        s->str[g_rand_int_range (rand, 0, (gint32)s->len)]
            = (char)g_rand_int_range (rand, 0, 256);
      break;
    case 2:
      {
        char *tail = g_strndup (s->str + at, s->len - at);

        g_string_append_len (s, tail, (gssize)(s->len - at));
        g_free (tail);
      }
      break;
    default:
      g_string_set_size (s, at);
      for (gsize i = 0; i < s->len; i++)
        s->str[i] = (char)g_rand_int_range (rand, 0, 256);
      break;
    }
  return s;
}

static void
run_rounds (ParseFunc parse, DlStr text)
{
  GRand *rand = g_rand_new_with_seed (unit_first_seed ("changed input", SEED));

  for (int i = 0; i < ROUNDS; i++)
    {
      void *context = talloc_new (NULL);
      GString *changed = mutate (rand, text);

      parse (context, dl_str_bytes (changed->str, changed->len));
      g_string_free (changed, TRUE);
      talloc_free (context);
    }
  g_rand_free (rand);
}

static void
test_json_parsers (void)
{
  run_rounds (parse_fleet, dl_str (fleet_text));
  run_rounds (parse_members, dl_str (members_text));
  run_rounds (parse_manifest, dl_str (manifest_text));
  run_rounds (parse_address, DL_STR_LITERAL ("127.0.0.1:65535"));
}

static void
test_frames (void)
{
  Daisyloft__Wire__Hello hello = DAISYLOFT__WIRE__HELLO__INIT;
  Daisyloft__Wire__Envelope envelope = DAISYLOFT__WIRE__ENVELOPE__INIT;
  uint8_t packed[512];
  size_t size;

  hello.name = (char *)"slot-1";
  hello.region = (char *)"zilina";
  envelope.body_case = DAISYLOFT__WIRE__ENVELOPE__BODY_HELLO;
  envelope.hello = &hello;
  size = daisyloft__wire__envelope__pack (&envelope, packed);
  run_rounds (parse_envelope, dl_str_bytes (packed, size));
}

static void
test_manifest_round_trip (void)
{
  void *context = talloc_new (NULL);
  char content[5000];
  DlManifestInput inputs[] = {
    { .name = "base", .content = { .data = content, .length = sizeof content } },
    { .name = "tokenizer", .content = DL_STR_LITERAL ("words") },
  };
  DlManifest *manifest;
  DlManifest *again = NULL;
  char *error = NULL;

  memset (content, 'x', sizeof content);
  manifest = dl_manifest_build (context, "draft", 2048, 2, inputs);
  CU_ASSERT_PTR_NOT_NULL_FATAL (manifest);
  CU_ASSERT_EQUAL (manifest->chunk_count, 4);
  CU_ASSERT_EQUAL (dl_manifest_chunk_length (manifest, 2), 5000 - 4096);
  CU_ASSERT_EQUAL (dl_manifest_chunk_length (manifest, 3), 5);
  CU_ASSERT_EQUAL (dl_manifest_parse (context, manifest->text, &again, &error), 0);
  CU_ASSERT (again != NULL && dl_digest_equal (&again->version, &manifest->version));
  CU_ASSERT_EQUAL (dl_manifest_parse (context, dl_str (manifest_text), &again, &error),
                   0);
  talloc_free (context);
}

static const CU_TestInfo parser_tests[] = {
  { "JSON parsers", test_json_parsers },
  { "frames", test_frames },
  { "manifest round trip", test_manifest_round_trip },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("parsers", parser_tests)
