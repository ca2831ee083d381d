/*
 * The kernel: a libev event loop, tasks that exchange messages, plug-ins and timers.
 *
 * A program is a set of plug-ins.  Each registers itself before main runs, and the kernel
 * creates one task for each.  A task owns its sockets and its state.  Other tasks
 * communicate with it only by messages, which are delivered one at a time, in the order
 * in which they were posted.  Everything runs on one thread.
 */
#ifndef DL_KERNEL_H
#define DL_KERNEL_H

#include <ev.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct DlKernel DlKernel;
typedef struct DlTask DlTask;
typedef struct DlTimer DlTimer;

/*
 * Header of every message.  A program's message structure starts with it, followed by a
 * union selected by TYPE (an enum of the program, 0 to 63).  Messages are talloc blocks
 * allocated by dl_message_new.  The kernel drops its reference after the last receiver
 * has handled the message, so a receiver that needs it for longer calls dl_message_ref,
 * or talloc_reference for a part of it.
 */
typedef struct
{
  int type;
  unsigned references;
} DlMessage;

/* Allocates a message of SIZE bytes, zeroed after its header, with one reference. */
void *dl_message_new (int type, size_t size);
/* Adds a reference; returns MESSAGE. */
void *dl_message_ref (void *message);
/* Drops a reference; the last one frees the message. */
void dl_message_unref (void *message);

/* Priority of timers in the event loop: below that of sockets, so that what has arrived
 * is handled before a timer decides that it did not come. */
#define DL_TIMER_PRIORITY EV_MINPRI

/* Time at the end of a graceful shutdown for sending the last responses. */
#define DL_STOP_FINAL_MS 200

/* A part of a program, run as one task. */
typedef struct DlPlugin
{
  const char *name;
  int order;              /* plug-ins of lower order start earlier and stop later */
  uint64_t subscriptions; /* bit T set: receives published messages of type T */
  /* Starts the task.  Returns 0 or a negative error, which ends the program. */
  int (*start) (DlTask *task);
  /* Begins to serve callers, after all tasks have started, those of lower order last: a
   * process whose start fails takes no connections.  Returns 0 or a negative error, which
   * ends the program.  May be NULL. */
  int (*open) (DlTask *task);
  /* Handles a message that was posted to the task.  May be NULL. */
  void (*handle) (DlTask *task, const DlMessage *message);
  /* A graceful shutdown began.  The task calls dl_task_drained once it has nothing in
   * progress, and goes on until the process ends.  NULL: the shutdown does not wait for
   * this task. */
  void (*drain) (DlTask *task);
  /* The shutdown's time is over.  The task ends what is still in progress, also if it has
   * drained, and sends its final responses, for which it has DL_STOP_FINAL_MS.  May be
   * NULL. */
  void (*abandon) (DlTask *task);
  /* Asked once all tasks have drained, before the process ends, and again until each task
   * is idle.  Reads what has arrived for the task; returns true if it has nothing in
   * progress.  NULL: the task is always idle. */
  bool (*is_idle) (DlTask *task);
  /* SIGHUP arrived: the settings file may have changed.  May be NULL. */
  void (*reload) (DlTask *task);
  /* Returns the task's state for the dump; the result belongs to the kernel.  May be
   * NULL. */
  json_object *(*dump) (DlTask *task);
  struct DlPlugin *next;
} DlPlugin;

/* Adds PLUGIN, which must stay valid, to those that dl_kernel_run starts. */
void dl_plugin_register (DlPlugin *plugin);

/* Registers PLUGIN, a static DlPlugin, before main runs. */
#define DL_PLUGIN_REGISTER(plugin)                                   \
  static void __attribute__ ((constructor)) plugin##_register (void) \
  {                                                                  \
    dl_plugin_register (&(plugin));                                  \
  }

/* Steps of the end of a process, in order; DL_END_NOW alone when its time is over. */
typedef enum
{
  DL_END_KEPT, /* kept connections are closed, new ones still accepted */
  DL_END_ALL,  /* nothing is accepted any more, and all connections are closed */
  DL_END_NOW,  /* what can be closed is closed at once */
} DlEndStep;

/* Part of the end of a process.  Called while nothing is in progress, and again until all
 * parts have returned true: STEP is done.  The result of DL_END_NOW is not used. */
typedef bool (*DlEndFunc) (DlEndStep step, void *data);
/* Has FUNC called at the end of the process, as long as OWNER, a talloc block, lives. */
void dl_kernel_on_end (DlKernel *kernel, const void *owner, DlEndFunc func, void *data);

/* Makes the signals that a kernel handles wait from now on, until dl_kernel_run handles
 * them. */
void dl_kernel_hold_signals (void);

/* Creates the kernel of a process.  NAME is the instance's name; SETTINGS, the program's
 * settings structure, is borrowed for dl_kernel_settings.  Free it with talloc_free. */
DlKernel *dl_kernel_new (const char *program, const char *name, const void *settings);
/* Starts the plug-ins and runs until a shutdown has ended.  Returns 0, or the negative
 * error of a plug-in that could not start.  SIGTERM and SIGINT begin a graceful shutdown;
 * a further SIGTERM changes nothing, a further SIGINT ends it at once.  SIGHUP makes the
 * plug-ins reload their settings. SIGUSR1 writes the state dump to standard error. */
int dl_kernel_run (DlKernel *kernel);
/* Begins a graceful shutdown: work in progress has the time set by dl_kernel_set_drain_ms
 * (30 s by default) to finish. */
void dl_kernel_stop (DlKernel *kernel);
/* Sets the longest time of a graceful shutdown. */
void dl_kernel_set_drain_ms (DlKernel *kernel, uint64_t drain_ms);
/* Time (dl_clock_ms) at which work that is still in progress is abandoned; 0 before a
 * shutdown has begun. */
uint64_t dl_kernel_abandon_ms (const DlKernel *kernel);
/* True once a shutdown has begun. */
bool dl_kernel_stopping (const DlKernel *kernel);
/* The loop, the settings and the name live as long as the kernel. */
struct ev_loop *dl_kernel_loop (DlKernel *kernel);
const void *dl_kernel_settings (const DlKernel *kernel);
const char *dl_kernel_name (const DlKernel *kernel);
/* A random number, chosen at each start of the process. */
uint64_t dl_kernel_incarnation (const DlKernel *kernel);
/* Returns the state of all tasks and the metrics as JSON; the caller owns the result. */
json_object *dl_kernel_dump (DlKernel *kernel);
/* Posts MESSAGE to every task that subscribes to its type.  Takes over the caller's
 * reference. */
void dl_kernel_publish (DlKernel *kernel, void *message);
/* Returns the task of a plug-in, or NULL. */
DlTask *dl_kernel_task (DlKernel *kernel, const char *plugin_name);

/* Queues MESSAGE for the task.  Takes over the caller's reference. */
void dl_task_post (DlTask *task, void *message);
DlKernel *dl_task_kernel (DlTask *task);
/* The task's own data: a talloc block, which the kernel frees when the task stops. */
void dl_task_set_state (DlTask *task, void *state);
/* Returns what dl_task_set_state set, or NULL. */
void *dl_task_state (DlTask *task);
/* Reports that the task has nothing in progress any more; see DlPlugin.drain. */
void dl_task_drained (DlTask *task);

/* Time (dl_clock_ms) at which the process last went on after a pause, in which it neither
 * read nor sent anything; 0 for none.  Known before any task handles what arrived
 * meanwhile. */
uint64_t dl_kernel_resumed_ms (const DlKernel *kernel);
/* Time at which that pause began, or earlier; 0 for none. */
uint64_t dl_kernel_paused_ms (const DlKernel *kernel);
/* A monotonic clock that also runs while the host is suspended. */
uint64_t dl_clock_ms (void);
uint64_t dl_clock_us (void);
/* Milliseconds since 1970, for display only; no decision depends on it. */
uint64_t dl_wall_clock_ms (void);

/*
 * Starts a timer: FUNC is called after FIRST_MS and then every REPEAT_MS (0: only once).
 * The timer is a talloc child of OWNER.  It is cancelled by talloc_free, also from inside
 * FUNC.
 */
typedef void (*DlTimerFunc) (DlTimer *timer, void *data);
DlTimer *dl_timer_subscribe (DlTask *task,
                             const void *owner,
                             uint64_t first_ms,
                             uint64_t repeat_ms,
                             DlTimerFunc func,
                             void *data);
/* Restarts the timer with a new first delay, also when it has expired already. */
void dl_timer_restart (DlTimer *timer, uint64_t first_ms);
/* Has FUNC called once, after DELAY_MS and not earlier: restarts *TIMER, or starts it
 * when it is NULL. */
void dl_timer_set (DlTimer **timer,
                   DlTask *task,
                   const void *owner,
                   uint64_t delay_ms,
                   DlTimerFunc func,
                   void *data);

#endif
