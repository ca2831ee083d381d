/*
 * daisycheck: checks a routing configuration before it is sent.  It reads files and sends
 * nothing.
 */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kernel/program.h"
#include "kernel/settings.h"
#include "platform.h"
#include "policy/config_check.h"

/* Longer files are refused unread, which bounds the memory.  The parser has a lower limit
 * of its own. */
#define FILE_MAX_BYTES (16u << 20)
#define READ_BYTES     (64u << 10)
/* An empty route takes some 1,300 bytes in the check build, so that a few megabytes of
 * them would take gigabytes.  The largest known configurations have some thousand
 * objects. */
#define OBJECTS_MAX 250000

/* Command-line options as given, not yet checked. */
typedef struct
{
  gboolean json;
  gboolean version;
  char *against;
  char **evacuated;
  char **data_centers;
  char *upstreams;
} CommandLine;

static gboolean
parse_command_line (CommandLine *line, int *argc, char ***argv, GError **error)
{
  const GOptionEntry entries[] = {
    { "json", 'j', 0, G_OPTION_ARG_NONE, &line->json, "Print JSON", NULL },
    { "against", 'a', 0, G_OPTION_ARG_FILENAME, &line->against,
      "Compare with the configuration in force, which FILE holds", "FILE" },
    { "evacuated", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &line->evacuated,
      "The data centre is evacuated; may be repeated", "DATA_CENTER" },
    { "data-center", 'd', 0, G_OPTION_ARG_STRING_ARRAY, &line->data_centers,
      "A data centre and its region; may be repeated", "NAME=REGION" },
    { "upstreams", 'u', 0, G_OPTION_ARG_FILENAME, &line->upstreams,
      "Read the upstreams in use from FILE", "FILE" },
    { "version", 'V', 0, G_OPTION_ARG_NONE, &line->version, "Print the version and exit",
      NULL },
    { 0 },
  };
  GOptionContext *context = g_option_context_new ("FILE");
  gboolean ok;

  g_option_context_set_summary (
      context, "Checks a routing configuration before it is sent; sends nothing.");
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, argc, argv, error);
  g_option_context_free (context);
  return ok;
}

static void
clear_command_line (CommandLine *line)
{
  g_free (line->against);
  g_strfreev (line->evacuated);
  g_strfreev (line->data_centers);
  g_free (line->upstreams);
}

static int
usage_error (const char *message, const char *argument)
{
  fprintf (stderr, "daisycheck: %s: %s\n", message, argument);
  return DL_EXIT_USAGE;
}

/* -------- data centres -------- */

static int
read_data_centers (const void *context, char **items, DlConfigInput *input)
{
  size_t count = items != NULL ? g_strv_length (items) : 0;
  DlConfigDataCenter *centers
      = talloc_zero_array (context, DlConfigDataCenter, count + 1);
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < count; i++)
    {
      const char *equals = strchr (items[i], '=');

      if (equals == NULL || equals == items[i] || equals[1] == '\0')
        return usage_error ("data-center: not of the form NAME=REGION", items[i]);
      centers[i].name = talloc_strndup (context, items[i], (size_t)(equals - items[i]));
      centers[i].region = equals + 1;
      if (!g_hash_table_add (names, (gpointer)centers[i].name))
        return usage_error ("data-center: given twice", centers[i].name);
    }
  input->data_centers = centers;
  input->data_center_count = count;
  return DL_EXIT_OK;
}

static int
read_evacuated (char **items, DlConfigInput *input)
{
  DlConfigDataCenter *centers = (DlConfigDataCenter *)input->data_centers;

  for (size_t i = 0; items != NULL && items[i] != NULL; i++)
    {
      bool is_known = false;

      for (size_t c = 0; c < input->data_center_count; c++)
        if (strcmp (centers[c].name, items[i]) == 0)
          is_known = centers[c].is_evacuated = true;
      if (!is_known)
        return usage_error ("evacuated: not given with --data-center", items[i]);
    }
  return DL_EXIT_OK;
}

/* -------- files -------- */

/* Reads a file of at most FILE_MAX_BYTES.  Returns NULL after printing the reason. */
static GByteArray *
read_file (const char *path)
{
  FILE *file = fopen (path, "rb");
  GByteArray *bytes;
  guint8 piece[READ_BYTES];
  size_t length;
  int error;

  if (file == NULL)
    {
      usage_error (path, g_strerror (errno));
      return NULL;
    }
  bytes = g_byte_array_new ();
  errno = 0;
  while (bytes->len <= FILE_MAX_BYTES
         && (length = fread (piece, 1, READ_BYTES, file)) > 0)
    g_byte_array_append (bytes, piece, (guint)length);
  error = ferror (file) ? errno : 0;
  fclose (file);
  if (error == 0 && bytes->len <= FILE_MAX_BYTES)
    return bytes;
  usage_error (path, error != 0 ? g_strerror (error) : "longer than 16 MiB");
  g_byte_array_unref (bytes);
  return NULL;
}

/* Number of objects and arrays that TEXT has at most. */
static size_t
count_brackets (DlStr text)
{
  size_t count = 0;

  for (size_t i = 0; i < text.length; i++)
    count += text.data[i] == '{' || text.data[i] == '[';
  return count;
}

/* Reads JSON.  Returns DL_EXIT_OK, with *VALUE NULL and a finding when the text is
 * malformed, or DL_EXIT_USAGE when it cannot be read. */
static int
read_json (DlConfigFindings *findings, const char *path, json_object **value)
{
  static const char mark[] = "\xef\xbb\xbf";
  g_autoptr (GByteArray) bytes = read_file (path);
  DlJsonPlace place;
  char *error = NULL;
  DlStr text;

  *value = NULL;
  if (bytes == NULL)
    return DL_EXIT_USAGE;
  text = dl_str_bytes (bytes->data, bytes->len);
  if (dl_str_has_prefix (text, dl_str (mark)))
    dl_config_findings_add (findings, DL_CONFIG_ERROR, DL_CONFIG_MALFORMED,
                            DL_ROUTING_TABLE, path,
                            "line 1, column 1: a byte order mark, which JSON forbids");
  else if (count_brackets (text) > OBJECTS_MAX)
    dl_config_findings_add (findings, DL_CONFIG_ERROR, DL_CONFIG_MALFORMED,
                            DL_ROUTING_TABLE, path, "more than %u objects and arrays",
                            OBJECTS_MAX);
  else if (dl_json_parse_with_place (findings, "text", text, value, &place, &error) < 0)
    {
      g_autofree char *column
          = place.column > 0 ? g_strdup_printf (", column %zu", place.column) : NULL;
      g_autofree char *line
          = place.line > 0 ? g_strdup_printf ("line %zu", place.line) : NULL;

      dl_config_findings_add (findings, DL_CONFIG_ERROR, DL_CONFIG_MALFORMED,
                              DL_ROUTING_TABLE, path, "%s%s%s%s",
                              line != NULL ? line : "", column != NULL ? column : "",
                              line != NULL ? ": " : "", error + strlen ("text: "));
    }
  return DL_EXIT_OK;
}

/* Reads a configuration.  Returns as read_json does, with *ROUTING in place of *VALUE. */
static int
read_routing (DlConfigFindings *findings,
              const char *path,
              DlRouting **routing,
              DlRoutingFaults *faults)
{
  const char *error = NULL;
  json_object *value;
  int status = read_json (findings, path, &value);

  *routing = NULL;
  if (value != NULL
      && platform_read_routing_faults (findings, value, routing, faults, &error) < 0)
    dl_config_findings_add (findings, DL_CONFIG_ERROR, DL_CONFIG_MALFORMED,
                            DL_ROUTING_TABLE, path, "not a configuration: %s", error);
  json_object_put (value);
  return status;
}

/* Reads the upstreams from a list of objects, as the store sends it.  Those that cannot
 * be parsed or must get no requests are skipped, as the programs skip them. */
static int
read_upstreams (DlConfigFindings *findings, const char *path, DlConfigInput *input)
{
  DlObjectRequest request
      = { .action = DL_OBJECT_LIST, .kinds = platform_kind_upstreams };
  DlObjectResult result = { 0 };
  DlConfigUpstream *upstreams;
  json_object *value;
  int status = read_json (findings, path, &value);

  if (value == NULL)
    return status;
  if (platform_store_protocol.decode (findings, &request, value, &result) < 0)
    dl_config_findings_add (findings, DL_CONFIG_ERROR, DL_CONFIG_MALFORMED,
                            DL_ROUTING_TABLE, path, "not a list of upstreams");
  upstreams = talloc_zero_array (findings, DlConfigUpstream, result.count + 1);
  for (size_t i = 0; i < result.count; i++)
    {
      const DlObject *object = &result.objects[i];
      DlUpstreamEntry entry;

      if (platform_read_upstream (findings, object->name, object->value, &entry) == 0
          && !entry.leaving)
        upstreams[input->upstream_count++]
            = (DlConfigUpstream){ entry.service, entry.data_center };
    }
  input->upstreams = upstreams;
  input->has_upstreams = true;
  json_object_put (value);
  return DL_EXIT_OK;
}

/* -------- output -------- */

static size_t
count_unlisted (const DlConfigFindings *findings)
{
  size_t count = 0;

  for (size_t i = 0; i < DL_CONFIG_SEVERITIES; i++)
    count += findings->counts[i];
  return count - findings->listed;
}

static void
print_lines (const DlConfigFindings *findings)
{
  for (size_t i = 0; i < findings->listed; i++)
    {
      const DlConfigFinding *f = &findings->items[i];

      printf ("%s: %s: %s %s: %s\n", dl_config_severity_name (f->severity),
              dl_config_kind_name (f->kind), dl_routing_part_name (f->part), f->name,
              f->text);
    }
  if (count_unlisted (findings) > 0)
    printf ("%zu more findings are not listed\n", count_unlisted (findings));
}

static void
add_text (json_object *object, const char *key, const char *text)
{
  g_autofree char *valid = g_utf8_make_valid (text, -1);

  json_object_object_add (object, key, json_object_new_string (valid));
}

static void
print_json (const DlConfigFindings *findings, const DlRouting *routing)
{
  json_object *output = json_object_new_object ();
  json_object *list = json_object_new_array ();

  if (routing != NULL)
    json_object_object_add (output, "version", json_object_new_uint64 (routing->version));
  json_object_object_add (output, "errors",
                          json_object_new_uint64 (findings->counts[DL_CONFIG_ERROR]));
  json_object_object_add (output, "warnings",
                          json_object_new_uint64 (findings->counts[DL_CONFIG_WARNING]));
  json_object_object_add (output, "differences",
                          json_object_new_uint64 (
                              findings->counts[DL_CONFIG_DIFFERENCE]));
  json_object_object_add (output, "unlisted",
                          json_object_new_uint64 (count_unlisted (findings)));
  for (size_t i = 0; i < findings->listed; i++)
    {
      const DlConfigFinding *f = &findings->items[i];
      json_object *item = json_object_new_object ();

      add_text (item, "severity", dl_config_severity_name (f->severity));
      add_text (item, "kind", dl_config_kind_name (f->kind));
      add_text (item, "part", dl_routing_part_name (f->part));
      add_text (item, "name", f->name);
      add_text (item, "text", f->text);
      json_object_array_add (list, item);
    }
  json_object_object_add (output, "findings", list);
  printf ("%s\n", json_object_to_json_string_ext (output, JSON_C_TO_STRING_PLAIN));
  json_object_put (output);
}

static int
run (const CommandLine *line, const char *path)
{
  DlConfigFindings *findings = dl_config_findings_new (NULL);
  DlRoutingFaults faults = { 0 };
  DlConfigInput input = { .faults = &faults };
  DlRouting *routing = NULL;
  DlRouting *in_force = NULL;
  int status = read_data_centers (findings, line->data_centers, &input);

  if (status == DL_EXIT_OK)
    status = read_evacuated (line->evacuated, &input);
  if (status == DL_EXIT_OK && line->upstreams != NULL && input.data_center_count == 0)
    status = usage_error ("upstreams", "needs --data-center");
  if (status == DL_EXIT_OK)
    status = read_routing (findings, path, &routing, &faults);
  if (status == DL_EXIT_OK && line->against != NULL)
    status = read_routing (findings, line->against, &in_force, NULL);
  if (status == DL_EXIT_OK && line->upstreams != NULL)
    status = read_upstreams (findings, line->upstreams, &input);
  if (status == DL_EXIT_OK)
    {
      input.routing = routing;
      input.in_force = in_force;
      if (routing != NULL)
        dl_config_check (findings, &input);
      if (line->json)
        print_json (findings, routing);
      else
        print_lines (findings);
      status = findings->counts[DL_CONFIG_ERROR] > 0 ? DL_EXIT_FAILURE : DL_EXIT_OK;
      if (fflush (stdout) != 0)
        status = usage_error ("standard output", g_strerror (errno));
    }
  talloc_free (findings);
  return status;
}

int
main (int argc, char **argv)
{
  CommandLine line = { 0 };
  GError *error = NULL;
  int status;

  if (!parse_command_line (&line, &argc, &argv, &error))
    {
      status = usage_error ("options", error->message);
      g_error_free (error);
    }
  else if (line.version)
    {
      printf ("daisycheck %s\n", DL_VERSION);
      status = DL_EXIT_OK;
    }
  else if (argc != 2)
    status = usage_error ("usage", "daisycheck [OPTION ...] FILE");
  else
    status = run (&line, argv[1]);
  clear_command_line (&line);
  return status;
}
