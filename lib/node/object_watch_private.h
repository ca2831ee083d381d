/*
 * Declarations shared by the files that follow the objects of one kind: object_watch.c
 * sends the watches, chooses the server and notifies the owner, object_watch_list.c reads
 * the lists.
 */
#ifndef DL_OBJECT_WATCH_PRIVATE_H
#define DL_OBJECT_WATCH_PRIVATE_H

#include "node/hedged_watch.h"
#include "node/known_objects.h"
#include "node/object_watch.h"

/* While a reader is waited for, it is looked for this often. */
#define DL_OBJECT_WATCH_POLL_MS 50

struct DlObjectWatch
{
  DlTask *task;
  DlObjectClient *client; /* of the store */
  DlObjectWatchOptions options;
  DlKnownObjects *known;
  char *list_after;       /* name after which the next page starts; NULL at the first */
  uint64_t list_revision; /* of the first page of the list in progress */
  bool list_failed;       /* the last call for a list at the store did */
  bool reader_is_ahead;   /* a reader no longer knows the changes since this revision */
  uint64_t list_wait_ms;  /* of the next one, see policy/list_wait.h */
  uint64_t revision;      /* all changes up to it are known */
  uint64_t sent_wait_ms;  /* wait of the watch request in progress */
  uint64_t sent_ms; /* of the watch that was last answered, or of the list's first page */
  uint64_t synced_ms;    /* 0 before the first list is complete */
  uint64_t retry_ms;     /* backoff; 0 while requests succeed */
  bool is_refreshing;    /* the next watch request does not wait */
  bool lost;             /* the store did not answer last time */
  bool after_outage;     /* the same, until what it shows now has been handled */
  uint64_t unchanged_ms; /* the store had no news before this, see note_unchanged */
  uint64_t answered_ms;  /* last answer of the store itself; 0: failed, or was a reader */
  bool via_relay;        /* the request in progress goes to a reader */
  bool is_reader;        /* this process reads the store for others */
  bool is_behind;        /* the last reader's copy was too old */
  DlObjectClient *server; /* that the request in progress was sent to */
  DlObjectOrigin origin;  /* of the last answer */
  uint64_t number;       /* of the last list; the responses to earlier ones are ignored */
  DlHedgedWatch *hedged; /* sends the watches, also those without a wait */
  bool is_relisting;     /* the list in progress is the first of a new era */
  uint64_t era;          /* of the store when the revisions were read */
  uint64_t revision_before; /* the last one known of the era before */
  DlTimer *timer;
  DlTimer *direct_timer; /* when the store is asked in the place of a reader that does not
                            answer; NULL for none */
};

/* -------- object_watch.c -------- */

/* The store did not answer (ERROR below 0), or answers. */
void dl_object_watch_set_contact (DlObjectWatch *watch, int error);
/* The request in progress was answered; if by a reader, that had last heard the store
 * AGE_MS before it was asked. */
void dl_object_watch_note_origin (DlObjectWatch *watch, uint64_t age_ms);
/* The known objects were current AGE_MS before the request was sent, or later. */
void dl_object_watch_set_synced (DlObjectWatch *watch, uint64_t age_ms);
/* Logs that a list or a watch that was sent at SENT_MS failed with RESULT. */
void dl_object_watch_log_failure (const DlObjectWatch *watch,
                                  DlObjectAction action,
                                  uint64_t sent_ms,
                                  const DlObjectResult *result);
/* Sends the next list or watch after DELAY_MS. */
void dl_object_watch_run_after (DlObjectWatch *watch, uint64_t delay_ms);
/* The store answered with RESULT, a failure: tries again after a backoff. */
void dl_object_watch_retry_later (DlObjectWatch *watch, const DlObjectResult *result);
/* The reader does not answer, or its copy is stale: tries another one, or the store. */
void dl_object_watch_retry_without_relay (DlObjectWatch *watch,
                                          const DlObjectResult *result);
/* The reader that was asked is reading the objects itself.  Returns the backoff before
 * the next watch. */
uint64_t dl_object_watch_report_reading (DlObjectWatch *watch);
/* Chooses between the store and a reader for the next request. */
void dl_object_watch_choose_server (DlObjectWatch *watch);
/* Sends the next watch. */
void dl_object_watch_continue_watch (DlObjectWatch *watch);

/* -------- object_watch_list.c -------- */

/* The next list starts at its first page. */
void dl_object_watch_restart_list (DlObjectWatch *watch);
/* Requests the next page of the list. */
void dl_object_watch_send_list (DlObjectWatch *watch);

#endif
