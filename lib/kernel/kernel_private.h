/*
 * Internal types of the kernel: kernel.c runs the loop, the tasks and the messages,
 * kernel_stop.c the shutdown, kernel_time.c clocks and timers.
 */
#ifndef DL_KERNEL_PRIVATE_H
#define DL_KERNEL_PRIVATE_H

#include <glib.h>

#include "kernel/kernel.h"

#define DL_MS_PER_S 1000.0 /* milliseconds a second, for libev */

struct DlTask
{
  DlKernel *kernel;
  const DlPlugin *plugin;
  void *state;
  bool started;
  bool drained;
  DlTask *next;
};

/* A part of the end of the process; a talloc child of its owner. */
typedef struct DlEnd
{
  DlEndFunc func;
  void *data;
  struct DlEnd *next;
  struct DlEnd **link; /* the pointer to this one */
  DlKernel *kernel;
} DlEnd;

struct DlKernel
{
  struct ev_loop *loop;
  char *name;
  char *program;
  const void *settings;
  uint64_t incarnation;
  uint64_t drain_ms;
  DlTask *tasks; /* in the order of starting */
  GQueue mailbox;
  DlEnd *ends;
  DlEnd *next_end; /* that the shutdown calls next */
  DlEndStep end_step;
  uint64_t created_ms;
  bool stopping;
  uint64_t stop_began_ms;  /* or earlier; 0 while running */
  bool abandoned;          /* the shutdown's time is over; only last responses are sent */
  uint64_t looped_ms;      /* last run of the event loop; 0 before the first */
  uint64_t last_looped_ms; /* the run before it */
  uint64_t looked_ms;      /* the one before that: what is handled now came later, also a
                              signal that interrupted the wait of the last run */
  uint64_t paused_ms;      /* start of the last pause; 0 for none */
  uint64_t resumed_ms;     /* its end */
  ev_prepare prepare;
  ev_check check;
  ev_timer heartbeat;
  ev_idle idle;
  ev_signal sigterm, sigint, sighup, sigusr1;
  ev_timer drain_timer;
};

/* Sets up what a shutdown needs; before its signals are handled. */
void dl_kernel_init_stop (DlKernel *kernel);
/* For SIGTERM and SIGINT. */
void dl_kernel_on_stop_signal (struct ev_loop *loop, ev_signal *watcher, int events);
/* Ends the process once nothing is in progress and callers' connections are closed.  What
 * has arrived is handled before: a task may have drained long ago, or in the same run of
 * the loop in which a caller's request came. */
void dl_kernel_end_when_idle (DlKernel *kernel);

#endif
