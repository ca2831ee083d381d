/*
 * Command line of daisybench and main().
 */
#include "daisybench.h"

#include <stdio.h>
#include <string.h>

#include "kernel/address.h"
#include "kernel/program.h"

#define HASH_CHUNK_BYTES     65536
#define HASH_SECONDS         1.0
#define RATE_DEFAULT         10.0
#define DURATION_DEFAULT     10.0
#define STREAMS_DEFAULT      1000
#define STREAMS_MAX          100000
#define TOKENS_DEFAULT       32
#define TOKENS_MAX           100000
#define PROMPT_DEFAULT_BYTES 64
#define PROMPT_MAX_BYTES     (512 << 10)

/* Values of the command line, not checked yet. */
typedef struct
{
  char **entries;
  char *direct;
  char *service;
  char *organisation;
  char *priority;
  char *region;
  char *call;
  char *report;
  char *name;
  double rate;
  double duration;
  gint64 streams;
  gint64 tokens;
  gint64 prompt_bytes;
  gint64 prefixes;
  gint64 seed;
  gboolean fixed;
  gboolean keyed;
  gboolean version;
} CommandLine;

static gboolean
parse_command_line (CommandLine *line, int *argc, char ***argv, GError **error)
{
  const GOptionEntry entries[] = {
    { "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &line->entries,
      "Ask the entry at ADDRESS where to send requests", "ADDRESS" },
    { "fixed", 'f', 0, G_OPTION_ARG_NONE, &line->fixed,
      "Send requests to the given entries without asking them", NULL },
    { "direct", 'D', 0, G_OPTION_ARG_STRING, &line->direct,
      "Send requests straight to an engine or plain service", "ADDRESS" },
    { "service", 's', 0, G_OPTION_ARG_STRING, &line->service, "Service to call", "NAME" },
    { "organisation", 'o', 0, G_OPTION_ARG_STRING, &line->organisation,
      "Organisation of the requests", "NAME" },
    { "priority", 'p', 0, G_OPTION_ARG_STRING, &line->priority,
      "Priority of the requests", "NAME" },
    { "region", 'g', 0, G_OPTION_ARG_STRING, &line->region, "Region of the callers",
      "NAME" },
    { "call", 'c', 0, G_OPTION_ARG_STRING, &line->call,
      "Call a plain service instead of a model", "'METHOD /PATH'" },
    { "keyed", 'k', 0, G_OPTION_ARG_NONE, &line->keyed,
      "Send each request with its own Idempotency-Key", NULL },
    { "rate", 'r', 0, G_OPTION_ARG_DOUBLE, &line->rate, "Requests per second", "N" },
    { "duration", 'd', 0, G_OPTION_ARG_DOUBLE, &line->duration,
      "Duration of the arrivals in seconds", "S" },
    { "streams", 'n', 0, G_OPTION_ARG_INT64, &line->streams,
      "Maximum number of open requests", "N" },
    { "tokens", 't', 0, G_OPTION_ARG_INT64, &line->tokens, "Tokens per response", "N" },
    { "prompt-bytes", 'b', 0, G_OPTION_ARG_INT64, &line->prompt_bytes,
      "Minimum length of a prompt in bytes", "N" },
    { "prefixes", 'x', 0, G_OPTION_ARG_INT64, &line->prefixes,
      "Begin each prompt with one of N prefixes", "N" },
    { "seed", 'S', 0, G_OPTION_ARG_INT64, &line->seed, "Seed of arrivals and prompts",
      "N" },
    { "report", 'R', 0, G_OPTION_ARG_STRING, &line->report, "Format of the report",
      "text|json|figures" },
    { "name", 'N', 0, G_OPTION_ARG_STRING, &line->name, "Prefix of the names of figures",
      "NAME" },
    { "version", 'V', 0, G_OPTION_ARG_NONE, &line->version, "Print the version and exit",
      NULL },
    { 0 },
  };
  GOptionContext *context = g_option_context_new ("load|hash");
  gboolean parsed;

  g_option_context_set_summary (
      context, "Generates load for a daisyloft fleet and reports the results.");
  g_option_context_add_main_entries (context, entries, NULL);
  parsed = g_option_context_parse (context, argc, argv, error);
  g_option_context_free (context);
  return parsed;
}

static bool
is_address (const char *text)
{
  struct sockaddr_in address;

  return dl_address_parse (dl_str (text), &address) == 0;
}

static bool
is_call (const char *text)
{
  const char *space = strchr (text, ' ');

  return space != NULL && space > text && space[1] == '/';
}

static bool
addresses_are_valid (char **addresses)
{
  for (size_t i = 0; addresses != NULL && addresses[i] != NULL; i++)
    if (!is_address (addresses[i]))
      return false;
  return true;
}

/* Returns an error message, which is static, or NULL when the command line is valid. */
static const char *
check_command_line (const CommandLine *line)
{
  static const char *const reports[] = { "text", "json", "figures", NULL };

  if ((line->entries == NULL) == (line->direct == NULL))
    return "give either --entry or --direct";
  if (!addresses_are_valid (line->entries))
    return "--entry: not of the form IP:PORT";
  if (line->direct != NULL && !is_address (line->direct))
    return "--direct: not of the form IP:PORT";
  if (line->call != NULL && !is_call (line->call))
    return "--call: not of the form 'METHOD /PATH'";
  if (line->rate <= 0 || line->duration <= 0)
    return "--rate and --duration must be above 0";
  if (line->streams < 1 || line->streams > STREAMS_MAX)
    return "--streams: must be from 1 to 100000";
  if (line->tokens < 0 || line->tokens > TOKENS_MAX)
    return "--tokens: must be from 0 to 100000";
  if (line->prompt_bytes < 0 || line->prompt_bytes > PROMPT_MAX_BYTES)
    return "--prompt-bytes: must be from 0 to 524288";
  if (line->prefixes < 0 || line->seed < 0)
    return "--prefixes and --seed must not be negative";
  if (!g_strv_contains (reports, line->report))
    return "--report: must be text, json or figures";
  return NULL;
}

static LoadOptions
make_load_options (const CommandLine *line)
{
  return (LoadOptions){
    .entries = line->entries,
    .direct = line->direct,
    .fixed = line->fixed,
    .service = line->service,
    .organisation = line->organisation,
    .priority = line->priority,
    .region = line->region,
    .call = line->call,
    .keyed = line->keyed,
    .rate_per_s = line->rate,
    .duration_s = line->duration,
    .streams = (uint64_t)line->streams,
    .tokens = (uint64_t)line->tokens,
    .prompt_bytes = (uint64_t)line->prompt_bytes,
    .prefixes = (uint64_t)line->prefixes,
    .seed = (uint64_t)line->seed,
  };
}

static int
run (const CommandLine *line)
{
  const LoadOptions options = make_load_options (line);
  LoadResults results = {
    .first_us = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
    .total_us = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
    .refusal_us = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
  };
  int error = load_run (&options, &results);

  if (error == 0 && strcmp (line->report, "json") == 0)
    report_json (&options, &results);
  else if (error == 0 && strcmp (line->report, "figures") == 0)
    report_figures (line->name, &results);
  else if (error == 0)
    report_text (&options, &results);
  g_array_free (results.first_us, TRUE);
  g_array_free (results.total_us, TRUE);
  g_array_free (results.refusal_us, TRUE);
  return error < 0 ? DL_EXIT_FAILURE : DL_EXIT_OK;
}

static void
set_default (char **option, const char *value)
{
  if (*option == NULL)
    *option = g_strdup (value);
}

static void
free_command_line (CommandLine *line)
{
  g_strfreev (line->entries);
  g_free (line->direct);
  g_free (line->service);
  g_free (line->organisation);
  g_free (line->priority);
  g_free (line->region);
  g_free (line->call);
  g_free (line->report);
  g_free (line->name);
}

static int
run_hash (void)
{
  printf ("figure hash_cost %.3f ns/byte\n",
          hash_ns_per_byte (HASH_CHUNK_BYTES, HASH_SECONDS));
  return DL_EXIT_OK;
}

int
main (int argc, char **argv)
{
  CommandLine line = {
    .rate = RATE_DEFAULT,
    .duration = DURATION_DEFAULT,
    .streams = STREAMS_DEFAULT,
    .tokens = TOKENS_DEFAULT,
    .prompt_bytes = PROMPT_DEFAULT_BYTES,
    .seed = 1,
  };
  GError *error = NULL;
  const char *message = NULL;
  int status = DL_EXIT_USAGE;

  if (!parse_command_line (&line, &argc, &argv, &error))
    message = error->message;
  else if (line.version)
    {
      printf ("daisybench %s\n", DL_VERSION);
      status = DL_EXIT_OK;
    }
  else if (argc == 2 && strcmp (argv[1], "hash") == 0)
    status = run_hash ();
  else if (argc != 2 || strcmp (argv[1], "load") != 0)
    message = "the commands are \"load\" and \"hash\"";
  else
    {
      set_default (&line.service, "draft");
      set_default (&line.organisation, "bench");
      set_default (&line.report, "text");
      set_default (&line.name, "load");
      message = check_command_line (&line);
    }
  if (message != NULL)
    fprintf (stderr, "daisybench: %s\n", message);
  else if (status == DL_EXIT_USAGE)
    status = run (&line);
  g_clear_error (&error);
  free_command_line (&line);
  return status;
}
