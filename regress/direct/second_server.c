/* What the first entry knows of the model servers, and whether the second one is free. */
#include <glib.h>
#include <string.h>

#include "direct.h"

#define OTHERS 8 /* requests of others: more than a server has slots */

static json_object *
fetch_dump (const Testbed *tb)
{
  Response r = call (&(Call){ .address = tb->metrics[0], .target = "/dump" });
  json_object *dump = r.status == 200 ? json_tokener_parse (r.body) : NULL;

  response_free (&r);
  return dump;
}

uint64_t
upstream_number (const Testbed *tb, const char *id, const char *member)
{
  json_object *dump = fetch_dump (tb);
  json_object *tasks = json_object_object_get (dump, "tasks");
  json_object *list
      = json_object_object_get (json_object_object_get (tasks, "requests"), "upstreams");
  uint64_t value = 0;

  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *u = json_object_array_get_idx (list, i);

      if (strcmp (json_object_get_string (json_object_object_get (u, "id")), id) == 0
          && !json_object_get_boolean (json_object_object_get (u, "gone")))
        value = json_object_get_uint64 (json_object_object_get (u, member));
    }
  json_object_put (dump);
  return value;
}

static bool
second_is_full (Testbed *tb)
{
  return upstream_number (tb, "i-2", "reported") >= OTHERS;
}

bool
second_is_leaving (Testbed *tb)
{
  return upstream_number (tb, "i-2", "leaving") == 1;
}

bool
second_takes_requests (Testbed *tb)
{
  return !second_is_leaving (tb) && !second_is_full (tb);
}

void
fill_second (Testbed *tb)
{
  CHECK (set_fault (tb->server[1], "others", OTHERS));
  CHECK (eventually (second_is_full, tb));
}

void
free_second (Testbed *tb)
{
  CHECK (set_fault (tb->server[1], "others", 0));
  CHECK (eventually (second_takes_requests, tb));
}
