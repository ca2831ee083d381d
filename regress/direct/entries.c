/*
 * Tests of odd objects that another writer left among sound ones in the store: the sound
 * ones hold, changes of them are followed, and no process ends by itself.
 */
#include <glib.h>
#include <string.h>
#include <sys/wait.h>

#include "direct.h"

/* Changes are followed within this time. */
#define FOLLOW_MS    3000
#define POLL_MS      50
#define PAGE_OBJECTS 2 /* on a page of a list, so that odd names end pages */
#define PLAIN        (SERVERS - 1)
#define REJECTED_MS  300 /* deadline of requests that no server may be there for */
#define ODD_ADDRESS  "127.0.0.1:1"
#define FIELDS(slots, state, address)                                       \
  "{\"backend\":\"m\",\"zone\":\"d1\",\"slots\":" slots ",\"state\":" state \
  ",\"address\":" address ",\"born\":5}"

typedef struct
{
  const char *name; /* of the object */
  const char *spec; /* as the store sends it; NULL: nested DEPTH deep */
  unsigned depth;
} OddObject;

static const OddObject odd_objects[] = {
  { "o-null", "null" },
  { "o-number", "17" },
  { "o-text", "\"text\"" },
  { "o-list", "[]" },
  { "o-empty", "{}" },
  { "o-port-65536", FIELDS ("4", "\"ready\"", "\"127.0.0.1:65536\"") },
  { "o-port-99999", FIELDS ("4", "\"ready\"", "\"127.0.0.1:99999\"") },
  { "o-port-0", FIELDS ("4", "\"ready\"", "\"127.0.0.1:0\"") },
  { "o-port-minus", FIELDS ("4", "\"ready\"", "\"127.0.0.1:-1\"") },
  { "o-port-long", FIELDS ("4", "\"ready\"", "\"127.0.0.1:99999999999999999999999\"") },
  { "o-port-twice", FIELDS ("4", "\"ready\"", "\"127.0.0.1:80:80\"") },
  { "o-slots-0", FIELDS ("0", "\"ready\"", "\"" ODD_ADDRESS "\"") },
  { "o-slots-minus", FIELDS ("-1", "\"ready\"", "\"" ODD_ADDRESS "\"") },
  { "o-slots-2^32", FIELDS ("4294967296", "\"ready\"", "\"" ODD_ADDRESS "\"") },
  { "o-slots-2^32-1", FIELDS ("4294967295", "\"ready\"", "\"" ODD_ADDRESS "\"") },
  { "o-slots-2^63", FIELDS ("9223372036854775808", "\"ready\"", "\"" ODD_ADDRESS "\"") },
  { "o-slots-2^64", FIELDS ("18446744073709551616", "\"ready\"", "\"" ODD_ADDRESS "\"") },
  { "o-slots-1e400", FIELDS ("1e400", "\"ready\"", "\"" ODD_ADDRESS "\"") },
  { "o-slots-long", FIELDS ("1000000000000000000000000000000000000000",
                            "\"ready\"",
                            "\"" ODD_ADDRESS "\"") },
  { "o-slots-nan", FIELDS ("NaN", "\"ready\"", "\"" ODD_ADDRESS "\"") },
  { "o-slots-infinity", FIELDS ("-Infinity", "\"ready\"", "\"" ODD_ADDRESS "\"") },
  { "o-state", FIELDS ("4", "\"resting\"", "\"" ODD_ADDRESS "\"") },
  { "o-state-list", FIELDS ("4", "[\"ready\"]", "\"" ODD_ADDRESS "\"") },
  { "o-bytes", FIELDS ("4", "\"\xff\xfe\xc0\x80\"", "\"" ODD_ADDRESS "\"") },
  { "o-surrogate", FIELDS ("4", "\"\\ud800\"", "\"" ODD_ADDRESS "\"") },
  { "o-nul", FIELDS ("4", "\"rea\\u0000dy\"", "\"127.0.0.1\\u0000:1\"") },
  { "o-control", FIELDS ("4", "\"\x01\x1f\"", "\"127.0.0.1:1\\r\\nX: y\"") },
  { "o-name with spaces", "{}" },
  { "o-name\"quoted\"", "{}" },
  { "o-name\\backslash", "{}" },
  { "o-name&after=z#%zz%00", "{}" },
  { "o-name\r\nX: y", "{}" },
  { "o-name\xff", "{}" },
  { "o-depth-20", NULL, 20 },
  { "o-depth-40", NULL, 40 },
  { "o-depth-1000", NULL, 1000 },
  { "o-depth-50000", NULL, 50000 },
};

/* -------- writing objects -------- */

static char *
nested_text (unsigned depth)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; i < depth; i++)
    g_string_append (text, i % 2 == 0 ? "{\"a\":" : "[");
  g_string_append (text, "1");
  for (unsigned i = depth; i > 0; i--)
    g_string_append_c (text, i % 2 == 1 ? '}' : ']');
  return g_string_free (text, FALSE);
}

/* Creates OBJECT; the store sends its spec byte for byte. */
static bool
put_odd (Testbed *tb, const char *kind, const OddObject *odd)
{
  g_autofree char *target = g_strdup_printf ("/-/objects/%s", kind);
  g_autofree char *nested = odd->spec == NULL ? nested_text (odd->depth) : NULL;
  json_object *body = json_object_new_object ();
  json_object *metadata = json_object_new_object ();
  json_object *spec = json_object_new_object ();
  Response r;
  bool done;

  json_object_object_add (metadata, "name", json_object_new_string (odd->name));
  json_object_object_add (spec, "raw_bytes",
                          json_object_new_string (nested != NULL ? nested : odd->spec));
  json_object_object_add (body, "metadata", metadata);
  json_object_object_add (body, "spec", spec);
  r = call (&(Call){ .address = tb->store,
                     .target = target,
                     .body = json_object_to_json_string (body) });
  done = r.status == 200;
  response_free (&r);
  json_object_put (body);
  return done;
}

static void
delete_odd (Testbed *tb, const char *kind, const OddObject *odd)
{
  g_autofree char *name
      = g_uri_escape_bytes ((const guint8 *)odd->name, strlen (odd->name), NULL);

  check (testbed_delete (tb, kind, name), "deleted", odd->name, __LINE__);
}

/* -------- what is seen of the sound ones -------- */

static bool
plain_is_used (const Testbed *tb, unsigned entry)
{
  Call c = default_call (tb, "/p/x", "plain");
  Response r;
  bool used;

  c.address = tb->entry[entry];
  c.deadline_ms = REJECTED_MS;
  r = call (&c);
  used = r.status == 200;
  response_free (&r);
  return used;
}

static bool
use_follows (const Testbed *tb, bool expected)
{
  for (unsigned ms = 0; ms < FOLLOW_MS; ms += POLL_MS)
    {
      bool follows = true;

      for (unsigned i = 0; i < ENTRIES; i++)
        follows = follows && plain_is_used (tb, i) == expected;
      if (follows)
        return true;
      g_usleep (POLL_MS * 1000);
    }
  return false;
}

static bool
is_running (Process *process)
{
  if (process->pid != 0 && waitpid (process->pid, NULL, WNOHANG) == 0)
    return true;
  g_print ("%s ended by itself\n", process->name);
  process->pid = 0;
  return false;
}

static void
check_all_hold (Testbed *tb, const char *where)
{
  check (testbed_unlist_server (tb, PLAIN), "unlisted", where, __LINE__);
  check (use_follows (tb, false), "a server that was removed is not used", where,
         __LINE__);
  check (testbed_restart_server (tb, PLAIN), "listed", where, __LINE__);
  check (use_follows (tb, true), "a server that was added is used", where, __LINE__);
  check (requests_are_served (tb), "requests are served", where, __LINE__);
  for (unsigned i = 0; i < ENTRIES; i++)
    check (is_running (&tb->entry_process[i]), "the entry runs", where, __LINE__);
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    check (is_running (&tb->stager_process[i]), "the stager runs", where, __LINE__);
}

/* -------- tests -------- */

static void
test_odd_entry_hid_later_changes_of_others (Testbed *tb)
{
  for (size_t i = 0; i < G_N_ELEMENTS (odd_objects); i++)
    {
      const OddObject *odd = &odd_objects[i];

      check (put_odd (tb, "servers", odd), "created", odd->name, __LINE__);
      check_all_hold (tb, odd->name);
      delete_odd (tb, "servers", odd);
      CHECK (eventually (requests_are_served, tb));
    }
}

/* True if the copy of the servers that entry INDEX gives out is JSON. */
static bool
copy_is_readable (const Testbed *tb, unsigned index)
{
  Response r = call (
      &(Call){ .address = tb->metrics[index], .target = "/v1/objects?kinds=servers" });
  json_object *body = r.status == 200 ? json_tokener_parse (r.body) : NULL;
  json_object *objects = body != NULL ? json_object_object_get (body, "objects") : NULL;
  bool whole = objects != NULL
               && json_object_array_length (objects) >= G_N_ELEMENTS (odd_objects);

  json_object_put (body);
  response_free (&r);
  return whole;
}

static bool
copies_are_readable (Testbed *tb)
{
  return copy_is_readable (tb, 0) || copy_is_readable (tb, 1);
}

/* True if PROCESS has given up a reader as what it sent could not be parsed. */
static bool
has_malformed_copy (const Process *process)
{
  g_autofree char *text = NULL;

  return g_file_get_contents (process->log, &text, NULL, NULL)
         && strstr (text, "\"error\":\"malformed") != NULL;
}

static void
test_odd_entries_spoiled_the_copy_of_a_reader (Testbed *tb)
{
  CHECK (eventually (copies_are_readable, tb));
  for (unsigned i = 0; i < ENTRIES; i++)
    CHECK (!has_malformed_copy (&tb->entry_process[i]));
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    CHECK (!has_malformed_copy (&tb->stager_process[i]));
}

static void
test_odd_entries_hid_others_from_processes_that_start (Testbed *tb)
{
  CHECK (set_fault (tb->store, "page", PAGE_OBJECTS));
  for (size_t i = 0; i < G_N_ELEMENTS (odd_objects); i++)
    CHECK (put_odd (tb, "servers", &odd_objects[i]));
  end_nodes (tb);
  start_nodes (tb);
  CHECK (eventually (requests_are_served, tb));
  check_all_hold (tb, "all odd entries in the list");
}

static void
test_odd_objects_of_other_kinds_hid_others (Testbed *tb)
{
  static const char *const kinds[]
      = { "config", "versions", "daisyloft-nodes", "daisyloft-held" };

  for (size_t k = 0; k < G_N_ELEMENTS (kinds); k++)
    for (size_t i = 0; i < G_N_ELEMENTS (odd_objects); i++)
      CHECK (put_odd (tb, kinds[k], &odd_objects[i]));
  check_all_hold (tb, "odd objects of all kinds");
  CHECK (testbed_configure (tb, true));
  end_nodes (tb);
  start_nodes (tb);
  CHECK (eventually (requests_are_served, tb));
  CHECK (status_with_key (tb, 0, "key2") == 401);
  check_all_hold (tb, "odd objects of all kinds, listed");
}

/* Versions of models whose names are too long for a datagram, or no names. */
static void
test_odd_model_of_version_ended_processes (Testbed *tb)
{
  static const unsigned lengths[] = { 0, 129, 1000, 1400, 5000 };

  for (size_t i = 0; i < G_N_ELEMENTS (lengths); i++)
    {
      g_autofree char *model = g_strnfill (lengths[i], 'm');
      g_autofree char *spec = g_strdup_printf ("{\"model\":\"%s\",\"version\":1}", model);

      CHECK (testbed_put (tb, "versions", "odd", spec));
      check_all_hold (tb, "the model of a version");
    }
  CHECK (testbed_delete (tb, "versions", "odd"));
}

const TestFunc entry_tests[] = {
  test_odd_model_of_version_ended_processes,
  test_odd_entry_hid_later_changes_of_others,
  test_odd_entries_hid_others_from_processes_that_start,
  test_odd_entries_spoiled_the_copy_of_a_reader,
  test_odd_objects_of_other_kinds_hid_others,
  NULL,
};
