/*
 * Cases of direct operation, one after the other in one world; or, with a seed, a soak.
 *
 * Results are read from what callers got and from what the stand-ins recorded.  Nothing
 * is asserted about time but the order of things; waits end when what they wait for is
 * there.
 */
#include "direct.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

static unsigned failures;
static unsigned checks;

void
check (bool holds, const char *text, const char *where, int line)
{
  checks++;
  if (holds)
    return;
  failures++;
  g_print ("direct: %s:%d: does not hold: %s\n", where, line, text);
}

Call
request (const World *w, const char *target, const char *id)
{
  return (Call){
    .address = w->entry[0],
    .target = target,
    .host = "x.example",
    .id = id,
    .key = "key1",
    .deadline_ms = 3500,
  };
}

uint64_t
runs_of (World *w, const char *id)
{
  char *path = g_strdup_printf ("runs.%s", id);
  uint64_t runs = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    runs += recorded (w->server[i], path);
  g_free (path);
  return runs;
}

void
set_both (World *w, const char *knob, uint64_t value)
{
  for (unsigned i = 0; i < SERVERS - 1; i++)
    CHECK (set_fault (w->server[i], knob, value));
}

char *
events_text (unsigned first, unsigned last)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = first; i <= last; i++)
    g_string_append_printf (text, "id: %u\ndata: event %u\n\n", i, i);
  return g_string_free (text, FALSE);
}

bool
has_events (const char *body, unsigned first, unsigned last)
{
  char *expected = events_text (first, last);
  bool equal = strcmp (body, expected) == 0;

  g_free (expected);
  return equal;
}

bool
has_text (const char *address, const char *member, const char *text)
{
  json_object *object = records (address);
  const char *value = json_object_get_string (json_object_object_get (object, member));
  bool equal = value != NULL && strcmp (value, text) == 0;

  json_object_put (object);
  return equal;
}

/* -------- running -------- */

static void
run_until_failure (World *world, const TestFunc *tests)
{
  for (; *tests != NULL && failures == 0; tests++)
    (*tests) (world);
}

static void
run_cases (const char *bin)
{
  World world = { 0 };

  CHECK (world_start (&world, bin, false));
  run_until_failure (&world, request_tests);
  run_until_failure (&world, explain_tests);
  run_until_failure (&world, change_tests);
  world_stop (&world, failures > 0);
  g_print ("direct: %u checks, %u failed\n", checks, failures);
}

static void
run_soak (const char *bin, uint32_t seed, unsigned seconds)
{
  World world = { 0 };
  unsigned broken = 1;

  if (world_start (&world, bin, true))
    broken = soak_run (&world, seed, seconds);
  failures += broken;
  world_stop (&world, broken > 0);
  g_print ("soak: seed %u: %u broken\n", seed, broken);
}

int
main (int argc, char **argv)
{
  if (argc != 2 && argc != 4)
    {
      g_printerr ("usage: direct BIN [SEED SECONDS]\n");
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (argc == 2)
    run_cases (argv[1]);
  else
    run_soak (argv[1], (uint32_t)g_ascii_strtoull (argv[2], NULL, 10),
              (unsigned)g_ascii_strtoull (argv[3], NULL, 10));
  return failures > 0;
}
