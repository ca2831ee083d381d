/*
 * The live screen.
 *
 * The body is a function of one revision and the size of the display; the line below it
 * says which entry was asked and how old the revision is.
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
#include "kernel/kernel.h"
#include "query/json_get.h"
#include "query/screen.h"

#define REFRESH_MS     1000
#define OLD_MS         5000 /* from this age on the screen says that it is old */
#define WIDTH_DEFAULT  160
#define HEIGHT_DEFAULT 60
#define FRAME_TRIES    3 /* a revision can leave an entry's history in between */
#define HTTP_OK        200
#define CLEAR_SCREEN   "\033[H\033[2J"
#define REVERSE_VIDEO  "\033[7m"
#define NORMAL_VIDEO   "\033[0m"

/* What is on the display. */
typedef struct
{
  char *body;
  uint64_t revision;
  char *entry;
  uint64_t age_ms; /* when it was asked; UINT64_MAX: not known */
  uint64_t asked_ms;
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
    *height -= 1; /* the line about the age */
}

/* Asks one entry for all parts at one revision. */
static bool
ask_parts (const Options *options,
           uint64_t revision,
           json_object *answers[DL_SCREEN_QUERIES],
           Answer *first)
{
  for (int i = 0; i < DL_SCREEN_QUERIES; i++)
    {
      Answer answer = client_query (options, dl_screen_query (i), revision);

      if (answer.status != HTTP_OK)
        {
          *first = answer;
          return false;
        }
      answers[i] = answer.body;
      if (i == 0)
        {
          *first = answer;
          revision = dl_json_uint (answer.body, "revision");
        }
    }
  return true;
}

static void
clear_answers (json_object *answers[DL_SCREEN_QUERIES])
{
  for (int i = 0; i < DL_SCREEN_QUERIES; i++)
    json_object_put (answers[i]);
}

static void
set_frame (Frame *frame, json_object *answers[DL_SCREEN_QUERIES], const Answer *first)
{
  DlBuffer *buffer = dl_buffer_new (NULL, 0);
  json_object *age = NULL;
  unsigned width;
  unsigned height;

  display_size (&width, &height);
  dl_screen_body (buffer, answers, width, height);
  g_free (frame->body);
  g_free (frame->entry);
  json_object_object_get_ex (answers[0], "age_ms", &age);
  *frame = (Frame){
    .body = g_strndup (dl_buffer_view (buffer).data, dl_buffer_view (buffer).length),
    .revision = dl_json_uint (answers[0], "revision"),
    .entry = g_strdup (first->entry),
    .age_ms = age != NULL ? json_object_get_uint64 (age) : UINT64_MAX,
    .asked_ms = dl_clock_ms (),
  };
  talloc_free (buffer);
}

/* Returns EXIT_OK when FRAME was renewed. */
static ExitStatus
renew (const Options *options, Frame *frame, bool report)
{
  ExitStatus status = EXIT_UNREACHABLE;

  for (int i = 0; i < FRAME_TRIES && status != EXIT_OK; i++)
    {
      json_object *answers[DL_SCREEN_QUERIES] = { 0 };
      Answer first = { 0 };

      if (ask_parts (options, options->at, answers, &first))
        {
          /* An entry that lags behind the last one does not turn the screen back. */
          if (options->at > 0 || dl_json_uint (answers[0], "revision") >= frame->revision)
            {
              set_frame (frame, answers, &first);
              status = EXIT_OK;
            }
        }
      else
        {
          if (report && i + 1 == FRAME_TRIES)
            status = client_report_failure (&first);
          answer_clear (&first);
        }
      clear_answers (answers);
      if (status == EXIT_UNAUTHORIZED)
        break;
    }
  return status;
}

static void
print_age (FILE *out, const Frame *frame, bool terminal)
{
  uint64_t age = frame->age_ms == UINT64_MAX
                     ? UINT64_MAX
                     : frame->age_ms + (dl_clock_ms () - frame->asked_ms);
  bool old = age >= OLD_MS;

  if (old && terminal)
    fputs (REVERSE_VIDEO, out);
  if (frame->body == NULL)
    fputs ("OLD: no entry has answered yet", out);
  else if (age == UINT64_MAX)
    fprintf (out, "OLD: revision %" PRIu64 " from %s, of unknown age", frame->revision,
             frame->entry);
  else
    fprintf (out, "%srevision %" PRIu64 " from %s, %.1f s old", old ? "OLD: " : "",
             frame->revision, frame->entry, (double)age / 1000.0);
  if (old && terminal)
    fputs (NORMAL_VIDEO, out);
}

static ExitStatus
run_once (const Options *options)
{
  Frame frame = { 0 };
  ExitStatus status = renew (options, &frame, true);

  if (status == EXIT_OK)
    {
      fputs (frame.body, stdout);
      fflush (stdout);
      print_age (stderr, &frame, false);
      fputc ('\n', stderr);
    }
  g_free (frame.body);
  g_free (frame.entry);
  return status;
}

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
      status = renew (options, &frame, false);
      fputs (CLEAR_SCREEN, stdout);
      fputs (frame.body != NULL ? frame.body : "", stdout);
      print_age (stdout, &frame, true);
      fflush (stdout);
      if (status == EXIT_UNAUTHORIZED)
        break;
      g_usleep (REFRESH_MS * 1000);
    }
  putchar ('\n');
  g_free (frame.body);
  g_free (frame.entry);
  return status == EXIT_UNAUTHORIZED ? status : EXIT_OK;
}
