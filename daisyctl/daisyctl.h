/*
 * daisyctl: the operators' program.  What its source files share.
 */
#ifndef DAISYCTL_H
#define DAISYCTL_H

#include <json-c/json.h>

#include "kernel/str.h"
#include "query/statement.h"

/* Exit statuses, for scripts; daisyctl(1) lists them. */
typedef enum
{
  EXIT_OK = 0,
  EXIT_REFUSED = 1,      /* the command was refused, or a check found something */
  EXIT_USAGE = 2,        /* wrong options, or a statement that is not of the language */
  EXIT_UNREACHABLE = 3,  /* no entry answers, or the platform is away: nothing was run */
  EXIT_UNKNOWN = 4,      /* a command may or may not have run: ask by its id */
  EXIT_UNAUTHORIZED = 5, /* the operator key is wrong */
} ExitStatus;

/* The options. */
typedef struct
{
  char **entries; /* addresses of entries' operator listeners; ends with NULL */
  char *key;
  char *by;
  char *id; /* of the command, or NULL for a new one */
  uint64_t at;
  bool json;
  bool once; /* one frame of the screen */
  char *origin;
  char *model;
  uint64_t chunk_bytes;
} Options;

/* One HTTP answer. */
typedef struct
{
  bool sent;         /* the request may have reached the other side */
  unsigned status;   /* 0: no answer */
  json_object *body; /* NULL when it is not a JSON object; the caller puts it */
  const char *error; /* static text when there is no answer */
  const char *entry; /* the entry that answered */
} Answer;

/* -------- http.c -------- */

typedef struct
{
  const char *method;
  const char *address; /* "IP:PORT" */
  const char *path;
  const char *key; /* NULL: no authorization */
  DlStr body;
  long timeout_ms; /* of the whole call; 0 for the default, which suits commands */
} Request;

/* Makes one call and waits for its answer. */
Answer http_call (const Request *request);
void answer_clear (Answer *answer);

/* -------- client.c -------- */

/* Asks the entries in turn until one can answer. */
Answer client_query (const Options *options, const char *text, uint64_t revision);
/* The same for a command, under one id: an entry that was asked may have run it. */
Answer client_command (const Options *options,
                       const char *text,
                       const char *id,
                       json_object *value);
/* Asks for the outcome of a command that was given before. */
Answer client_ask (const Options *options, const char *id);
/* Says why there is no good answer; returns the exit status. */
ExitStatus client_report_failure (const Answer *answer);

/* -------- run.c -------- */

/* Runs one statement and prints what came of it. */
ExitStatus run_text (const Options *options, const char *text);
/* Posts a command and prints its outcome. */
ExitStatus run_command (const Options *options, const char *text, json_object *value);
/* Reads the settings file PATH and checks it; *SETTINGS may be NULL. */
ExitStatus read_settings_file (const char *path, json_object **settings);

/* -------- publish.c -------- */

/* Uploads the model in PATH (a folder, or a manifest) and publishes it as LABEL. */
ExitStatus publish_path (const Options *options, const char *path, const char *label);

/* -------- explain.c -------- */

/* Prints what the log files PATHS, ending with NULL, say of request ID. */
ExitStatus explain_run (const char *id, char *const *paths);

/* -------- prompt.c, screen.c -------- */

ExitStatus prompt_run (const Options *options);
ExitStatus screen_run (const Options *options);
/* Checks that all entries show the same of one revision. */
ExitStatus compare_run (const Options *options);

#endif
