/* Tests of entries that read the store for others: what their copy claims to know. */
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "direct.h"

#define KIND_TARGET  "/v1/objects?kinds=servers"
#define SPARE_OBJECT "i-90"
#define GONE         410
#define UNAVAILABLE  503

/* Revision of the upstreams that the second entry gives out; 0 while it refuses. */
static uint64_t
relayed_revision (Testbed *tb)
{
  Response r = call (&(Call){ .address = tb->metrics[1], .target = KIND_TARGET });
  json_object *body = r.status == 200 ? json_tokener_parse (r.body) : NULL;
  uint64_t revision = json_object_get_uint64 (json_object_object_get (body, "revision"));

  if (body != NULL && strstr (r.body, "\"" SPARE_OBJECT "\"") == NULL)
    revision = 0;
  json_object_put (body);
  response_free (&r);
  return revision;
}

static bool
spare_is_relayed (Testbed *tb)
{
  return relayed_revision (tb) > 0;
}

static int
watch_status (Testbed *tb, uint64_t after)
{
  char *target
      = g_strdup_printf ("/v1/watch?kinds=servers&after=%" PRIu64 "&wait_ms=100", after);
  Response r = call (&(Call){ .address = tb->metrics[1], .target = target });
  int status = r.status;

  response_free (&r);
  g_free (target);
  return status;
}

static uint64_t watched_revision;

static bool
copy_is_fresh (Testbed *tb)
{
  int status = watch_status (tb, watched_revision);

  return status != 0 && status != UNAVAILABLE;
}

static void
test_reader_that_has_just_started_knows_no_removals (Testbed *tb)
{
  CHECK (testbed_put (tb, "servers", SPARE_OBJECT,
                      "{\"backend\":\"none\",\"address\":\"127.0.0.9:9\",\"zone\":\"d1\","
                      "\"slots\":1,\"state\":\"ready\"}"));
  CHECK (eventually (spare_is_relayed, tb));
  watched_revision = relayed_revision (tb);
  process_end (&tb->entry_process[1], SIGKILL);
  CHECK (testbed_delete (tb, "servers", SPARE_OBJECT));
  CHECK (process_start (&tb->entry_process[1]));
  CHECK (eventually (copy_is_fresh, tb));
  CHECK (watch_status (tb, watched_revision) == GONE);
}

const TestFunc reader_tests[] = {
  test_reader_that_has_just_started_knows_no_removals,
  NULL,
};
