/* What the first entry knows of the model servers, and which of them are full. */
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

static unsigned awaited; /* index of the server that a test waits for */

static uint64_t
awaited_number (const Testbed *tb, const char *member)
{
  char *id = g_strdup_printf ("i-%u", awaited + 1);
  uint64_t value = upstream_number (tb, id, member);

  g_free (id);
  return value;
}

static bool
is_full (Testbed *tb)
{
  return awaited_number (tb, "reported") >= OTHERS;
}

static bool
takes_requests (Testbed *tb)
{
  return awaited_number (tb, "leaving") == 0 && !is_full (tb);
}

bool
server_takes_requests (Testbed *tb, unsigned index)
{
  awaited = index;
  return eventually (takes_requests, tb);
}

void
fill_server (Testbed *tb, unsigned index)
{
  CHECK (set_fault (tb->server[index], "others", OTHERS));
  awaited = index;
  CHECK (eventually (is_full, tb));
}

void
free_server (Testbed *tb, unsigned index)
{
  CHECK (set_fault (tb->server[index], "others", 0));
  CHECK (server_takes_requests (tb, index));
}
