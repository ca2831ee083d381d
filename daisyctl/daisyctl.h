/*
 * daisyctl, the operators' command-line program: declarations shared by its source files.
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
  EXIT_REFUSED = 1, /* the command was refused, or a check found something */
  EXIT_USAGE = 2,   /* wrong options, or a syntax error in a statement */
  EXIT_UNREACHABLE
  = 3,              /* no entry responds, or the platform is unavailable: nothing ran */
  EXIT_UNKNOWN = 4, /* a command may or may not have run: query it by its id */
  EXIT_UNAUTHORIZED = 5, /* the operator key is wrong */
} ExitStatus;

/* Checked command-line options. */
typedef struct
{
  char **entries; /* addresses of the entries' operator listeners; NULL-terminated */
  char *key;      /* operator key; NULL when none is given */
  char *by;       /* the operator's name */
  char *id;       /* of the command; NULL for a new one */
  uint64_t at;    /* revision to query, or precondition of a command; 0: none */
  bool json;
  bool once;            /* print the screen once */
  char *origin;         /* "IP:PORT" to upload to */
  char *model;          /* of a version to publish; NULL: the directory's name */
  uint64_t chunk_bytes; /* of a version to publish */
} Options;

/* An HTTP response.  Release with response_clear(). */
typedef struct
{
  bool sent;         /* the request may have reached the server */
  unsigned status;   /* HTTP status; 0: no response */
  json_object *body; /* NULL when it is not a JSON object */
  const char *error; /* static text when there is no response */
  const char *entry; /* address that the request was sent to; not owned */
} Response;

/* -------- http.c -------- */

/* An HTTP request; it owns nothing. */
typedef struct
{
  const char *method;
  const char *address; /* "IP:PORT" */
  const char *path;
  const char *key; /* NULL: no authorization */
  DlStr body;
  long timeout_ms; /* of the whole request; 0 for the default, which suits commands */
} Request;

/* Sends one request and waits for the response. */
Response http_call (const Request *request);
/* Releases the body. */
void response_clear (Response *response);

/* -------- client.c -------- */

/* Sends the query TEXT to the entries in turn until one answers it.  REVISION 0 is the
 * newest. */
Response client_query (const Options *options, const char *text, uint64_t revision);
/* Sends the command TEXT to the entries in turn until one reports its outcome.  All get
 * the same ID, so that it takes effect once even if an earlier entry has run it.  VALUE
 * is the object that goes with the command, or NULL. */
Response client_command (const Options *options,
                         const char *text,
                         const char *id,
                         json_object *value);
/* Queries the outcome of an earlier command. */
Response client_outcome (const Options *options, const char *id);
/* Prints why a request failed; returns the exit status. */
ExitStatus client_report_failure (const Response *response);

/* -------- run.c -------- */

/* Runs one statement and prints its result. */
ExitStatus run_text (const Options *options, const char *text);
/* Runs a command through an entry and prints its outcome. */
ExitStatus run_command (const Options *options, const char *text, json_object *value);
/* Reads and checks the settings file PATH.  SETTINGS may be NULL; else the caller owns
 * *SETTINGS on success. */
ExitStatus read_settings_file (const char *path, json_object **settings);

/* -------- publish.c -------- */

/* Publishes the model in PATH as LABEL.  A directory is uploaded to the origin first; of
 * a manifest, the chunks must be there already. */
ExitStatus publish_path (const Options *options, const char *path, const char *label);

/* -------- explain.c -------- */

/* Prints the events of request ID from the log files PATHS, which end with NULL. */
ExitStatus explain_run (const char *id, char *const *paths);

/* -------- prompt.c, screen.c -------- */

/* Runs the interactive prompt; returns the status of the last statement. */
ExitStatus prompt_run (const Options *options);
/* Shows the live screen until a signal, or once with --once. */
ExitStatus screen_run (const Options *options);
/* Checks that all entries show the same screen at one revision. */
ExitStatus compare_run (const Options *options);

#endif
