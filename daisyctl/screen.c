/*
 * The live screen, and the comparison of the screens of several entries.
 *
 * The body depends only on one revision and the size of the display; the line below it
 * names the entry that sent it and the revision's age.
 */
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <talloc.h>
#include <unistd.h>

#include "daisyctl.h"
#include "kernel/crypt.h"
#include "kernel/kernel.h"
#include "query/json_get.h"
#include "query/screen.h"

#define REFRESH_MS     1000
#define STALE_MS       5000 /* a revision of this age is marked as old */
#define WIDTH_DEFAULT  160
#define HEIGHT_DEFAULT 60
/* Attempts to fetch a frame: between its queries, an entry may drop the revision from its
 * history. */
#define FRAME_ATTEMPTS      3
#define COMPARE_TIMEOUT_MS  10000
#define COMPARE_INTERVAL_MS 100
#define HTTP_OK             200
#define HTTP_UNAUTHORIZED   401
#define HTTP_NOT_FOUND      404
#define HTTP_CONFLICT       409
#define HTTP_GONE           410
#define CLEAR_SCREEN        "\033[H\033[2J"
#define REVERSE_VIDEO       "\033[7m"
#define NORMAL_VIDEO        "\033[0m"

/* Contents of the display. */
typedef struct
{
  char *body;
  char digest[DL_DIGEST_HEX_BYTES]; /* of the body */
  uint64_t revision;
  char *entry;
  uint64_t age_ms; /* of the revision at fetched_ms; UINT64_MAX: not known */
  uint64_t fetched_ms;
} Frame;

static volatile sig_atomic_t stopped;

static void
on_signal (int number)
{
  stopped = 1;
}

static void
display_size (unsigned *width, unsigned *height)
{
  struct winsize size = { 0 };
  const char *columns = getenv ("COLUMNS");
  const char *lines = getenv ("LINES");

  *width = WIDTH_DEFAULT;
  *height = HEIGHT_DEFAULT;
  if (ioctl (STDOUT_FILENO, TIOCGWINSZ, &size) == 0 && size.ws_col > 0 && size.ws_row > 0)
    {
      *width = size.ws_col;
      *height = size.ws_row;
    }
  if (columns != NULL && atoi (columns) > 0)
    *width = (unsigned)atoi (columns);
  if (lines != NULL && atoi (lines) > 0)
    *height = (unsigned)atoi (lines);
  if (*height > 1)
    *height -= 1; /* for the line with the age */
}

/* Runs the screen's queries at one revision: REVISION, or that of the first response when
 * it is 0.  On success, FIRST is the first response and shares its body with
 * RESPONSES[0]; on failure, it is the one that failed. */
static bool
query_parts (const Options *options,
             uint64_t revision,
             json_object *responses[DL_SCREEN_QUERIES],
             Response *first)
{
  for (int i = 0; i < DL_SCREEN_QUERIES; i++)
    {
      Response response = client_query (options, dl_screen_query (i), revision);

      if (response.status != HTTP_OK)
        {
          *first = response;
          return false;
        }
      responses[i] = response.body;
      if (i == 0)
        {
          *first = response;
          revision = dl_json_uint (response.body, "revision");
        }
    }
  return true;
}

static void
clear_responses (json_object *responses[DL_SCREEN_QUERIES])
{
  for (int i = 0; i < DL_SCREEN_QUERIES; i++)
    json_object_put (responses[i]);
}

static void
clear_frame (Frame *frame)
{
  g_free (frame->body);
  g_free (frame->entry);
  *frame = (Frame){ 0 };
}

static void
set_frame (Frame *frame, json_object *responses[DL_SCREEN_QUERIES], const Response *first)
{
  DlBuffer *buffer = dl_buffer_new (NULL, 0);
  json_object *age = NULL;
  DlDigest digest;
  unsigned width;
  unsigned height;

  display_size (&width, &height);
  dl_screen_body (buffer, responses, width, height);
  clear_frame (frame);
  json_object_object_get_ex (responses[0], "age_ms", &age);
  *frame = (Frame){
    .body = g_strndup (dl_buffer_view (buffer).data, dl_buffer_view (buffer).length),
    .revision = dl_json_uint (responses[0], "revision"),
    .entry = g_strdup (first->entry),
    .age_ms = age != NULL ? json_object_get_uint64 (age) : UINT64_MAX,
    .fetched_ms = dl_clock_ms (),
  };
  digest = dl_digest (dl_buffer_view (buffer));
  dl_digest_to_hex (&digest, frame->digest);
  talloc_free (buffer);
}

/* Replaces FRAME by the screen at REVISION, or at the newest one when it is 0.  Returns
 * the HTTP status, 0 for no response, or HTTP_GONE when the entry's newest revision is
 * older than FRAME.  With REPORT, prints the error of a failed query. */
static unsigned
fetch_frame (const Options *options, uint64_t revision, Frame *frame, bool report)
{
  json_object *responses[DL_SCREEN_QUERIES] = { 0 };
  Response first = { 0 };
  bool ok = query_parts (options, revision, responses, &first);
  unsigned status = first.status;

  /* Don't go back to an older revision when this entry is behind the last one. */
  if (ok && (revision > 0 || dl_json_uint (responses[0], "revision") >= frame->revision))
    set_frame (frame, responses, &first);
  else if (ok)
    status = HTTP_GONE;
  else
    {
      if (report)
        client_report_failure (&first);
      response_clear (&first);
    }
  clear_responses (responses);
  return status;
}

static ExitStatus
frame_status (unsigned status)
{
  if (status == HTTP_OK)
    return EXIT_OK;
  if (status == HTTP_UNAUTHORIZED)
    return EXIT_UNAUTHORIZED;
  return status == HTTP_GONE || status == HTTP_NOT_FOUND ? EXIT_REFUSED
                                                         : EXIT_UNREACHABLE;
}

/* Fetches a new frame, with retries.  Returns EXIT_OK when FRAME was replaced. */
static ExitStatus
refresh (const Options *options, Frame *frame, bool report)
{
  unsigned status = 0;

  for (int i = 0; i < FRAME_ATTEMPTS && status != HTTP_OK && status != HTTP_UNAUTHORIZED;
       i++)
    status = fetch_frame (options, options->at, frame, report && i + 1 == FRAME_ATTEMPTS);
  return frame_status (status);
}

static void
print_age (FILE *out, const Frame *frame, bool terminal)
{
  uint64_t age = frame->age_ms == UINT64_MAX
                     ? UINT64_MAX
                     : frame->age_ms + (dl_clock_ms () - frame->fetched_ms);
  bool stale = age >= STALE_MS;

  if (stale && terminal)
    fputs (REVERSE_VIDEO, out);
  if (frame->body == NULL)
    fputs ("OLD: no entry has answered yet", out);
  else if (age == UINT64_MAX)
    fprintf (out, "OLD: revision %" PRIu64 " from %s, of unknown age", frame->revision,
             frame->entry);
  else
    fprintf (out, "%srevision %" PRIu64 " from %s, %.1f s old", stale ? "OLD: " : "",
             frame->revision, frame->entry, (double)age / 1000.0);
  if (stale && terminal)
    fputs (NORMAL_VIDEO, out);
}

static void
print_json_frame (const Frame *frame)
{
  json_object *object = json_object_new_object ();

  dl_json_add_uint (object, "revision", frame->revision);
  dl_json_add_text (object, "entry", frame->entry);
  json_object_object_add (object, "age_ms",
                          frame->age_ms != UINT64_MAX
                              ? json_object_new_uint64 (frame->age_ms)
                              : NULL);
  dl_json_add_text (object, "digest", frame->digest);
  dl_json_add_text (object, "body", frame->body);
  puts (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PRETTY
                                                    | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (object);
}

static ExitStatus
run_once (const Options *options)
{
  Frame frame = { 0 };
  ExitStatus status = refresh (options, &frame, true);

  if (status == EXIT_OK && options->json)
    print_json_frame (&frame);
  else if (status == EXIT_OK)
    {
      fputs (frame.body, stdout);
      fflush (stdout);
      print_age (stderr, &frame, false);
      fputc ('\n', stderr);
    }
  clear_frame (&frame);
  return status;
}

/* -------- compare -------- */

/* Fetches a frame from ENTRY only. */
static unsigned
fetch_frame_from (const Options *options, char *entry, uint64_t revision, Frame *frame)
{
  char *one[] = { entry, NULL };
  Options only = *options;

  only.entries = one;
  return fetch_frame (&only, revision, frame, false);
}

/* Fetches from all entries the revision that the first one holds.  Returns HTTP_OK when
 * all bodies are equal, HTTP_CONFLICT when one differs, or the status of the first entry
 * that failed. */
static unsigned
compare_round (const Options *options, Frame *first)
{
  unsigned status = fetch_frame_from (options, options->entries[0], options->at, first);

  for (char **e = options->entries + 1; *e != NULL && status == HTTP_OK; e++)
    {
      Frame other = { 0 };

      status = fetch_frame_from (options, *e, first->revision, &other);
      if (status == HTTP_OK && strcmp (first->digest, other.digest) != 0)
        {
          printf ("revision %" PRIu64 " differs\n-- %s\n%s-- %s\n%s", first->revision,
                  first->entry, first->body, other.entry, other.body);
          status = HTTP_CONFLICT;
        }
      clear_frame (&other);
    }
  return status;
}

static void
print_match (const Options *options, const Frame *frame)
{
  unsigned entries = g_strv_length (options->entries);
  json_object *object;

  if (!options->json)
    {
      printf ("revision %" PRIu64 ": %u entries show the same\n", frame->revision,
              entries);
      return;
    }
  object = json_object_new_object ();
  dl_json_add_uint (object, "revision", frame->revision);
  dl_json_add_uint (object, "entries", entries);
  dl_json_add_text (object, "digest", frame->digest);
  puts (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PRETTY));
  json_object_put (object);
}

ExitStatus
compare_run (const Options *options)
{
  uint64_t deadline_ms = dl_clock_ms () + COMPARE_TIMEOUT_MS;
  Frame frame = { 0 };
  unsigned status = HTTP_GONE;

  if (options->entries[0] == NULL || options->entries[1] == NULL)
    {
      fprintf (stderr, "daisyctl: compare needs at least two entries\n");
      return EXIT_USAGE;
    }
  /* Entries may briefly hold different revisions: retry until they have one in common. */
  while (dl_clock_ms () < deadline_ms)
    {
      clear_frame (&frame);
      status = compare_round (options, &frame);
      if (status == HTTP_OK || status == HTTP_CONFLICT || status == HTTP_UNAUTHORIZED)
        break;
      g_usleep (COMPARE_INTERVAL_MS * 1000);
    }
  if (status == HTTP_OK)
    print_match (options, &frame);
  clear_frame (&frame);
  if (status == HTTP_OK)
    return EXIT_OK;
  if (status == HTTP_GONE || status == HTTP_NOT_FOUND)
    {
      fprintf (stderr, "daisyctl: the entries have no revision in common\n");
      return EXIT_UNKNOWN;
    }
  if (status != HTTP_CONFLICT)
    fprintf (stderr, "daisyctl: an entry does not respond\n");
  return status == HTTP_CONFLICT ? EXIT_REFUSED : frame_status (status);
}

/* -------- live -------- */

ExitStatus
screen_run (const Options *options)
{
  Frame frame = { 0 };
  ExitStatus status = EXIT_OK;

  if (options->once)
    return run_once (options);
  signal (SIGINT, on_signal);
  signal (SIGTERM, on_signal);
  while (!stopped)
    {
      status = refresh (options, &frame, false);
      fputs (CLEAR_SCREEN, stdout);
      fputs (frame.body != NULL ? frame.body : "", stdout);
      print_age (stdout, &frame, true);
      fflush (stdout);
      if (status == EXIT_UNAUTHORIZED)
        break;
      g_usleep (REFRESH_MS * 1000);
    }
  putchar ('\n');
  clear_frame (&frame);
  return status == EXIT_UNAUTHORIZED ? status : EXIT_OK;
}
