/*
 * The kernel: one libev loop, tasks with mailboxes, plug-ins and the timer service.
 *
 * A program is a set of plug-ins.  Each registers itself before main runs, and the kernel
 * makes one task of each.  A task owns its sockets and its state, and other tasks reach
 * it only by messages, which arrive in the order they were posted, each in a turn of its
 * own. Everything runs on one thread.
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
 * Head of every message.  A program's own message type starts with it and goes on with a
 * union, chosen by TYPE (the program's enum, 0 to 63).  Messages are talloc blocks made
 * by dl_message_new; the kernel frees one after its last receiver has handled it, so that
 * a receiver keeps what it needs by dl_message_ref or talloc_reference.
 */
typedef struct
{
  int type;
  unsigned references;
} DlMessage;

/* Allocates a message of SIZE bytes, zeroed but for its head. */
void *dl_message_new (int type, size_t size);
void *dl_message_ref (void *message);
void dl_message_unref (void *message);

/* One kind of work in a program. */
typedef struct DlPlugin
{
  const char *name;
  int order;              /* lower ones start earlier and stop later */
  uint64_t subscriptions; /* bit T set: receives published messages of type T */
  /* Starts the task; returns 0 or a negative error, which ends the program. */
  int (*start) (DlTask *task);
  void (*handle) (DlTask *task, const DlMessage *message);
  /* A planned stop began; the task calls dl_task_drained when nothing is in progress.
   * NULL: nothing to wait for. */
  void (*drain) (DlTask *task);
  /* SIGHUP arrived: the settings file may have changed.  May be NULL. */
  void (*reload) (DlTask *task);
  /* The state, for the dump; the caller owns it.  May be NULL. */
  json_object *(*dump) (DlTask *task);
  struct DlPlugin *next;
} DlPlugin;

void dl_plugin_register (DlPlugin *plugin);

/* Registers PLUGIN, a static DlPlugin, before main runs. */
#define DL_PLUGIN_REGISTER(plugin)                                   \
  static void __attribute__ ((constructor)) plugin##_register (void) \
  {                                                                  \
    dl_plugin_register (&(plugin));                                  \
  }

/* SETTINGS is the program's settings structure; plug-ins get it by dl_kernel_settings. */
DlKernel *dl_kernel_new (const char *program, const char *name, const void *settings);
/* Starts the plug-ins and runs until a planned stop has ended.  Returns 0 or the negative
 * error of a plug-in that could not start.  SIGTERM and SIGINT begin a planned stop, a
 * second one ends it at once; SIGHUP tells the plug-ins to reload; SIGUSR1 writes the
 * dump to standard error. */
int dl_kernel_run (DlKernel *kernel);
/* Begins a planned stop; work in progress has DRAIN_MS to finish. */
void dl_kernel_stop (DlKernel *kernel);
void dl_kernel_set_drain_ms (DlKernel *kernel, uint64_t drain_ms);
bool dl_kernel_stopping (const DlKernel *kernel);
struct ev_loop *dl_kernel_loop (DlKernel *kernel);
const void *dl_kernel_settings (const DlKernel *kernel);
const char *dl_kernel_name (const DlKernel *kernel);
uint64_t dl_kernel_incarnation (const DlKernel *kernel);
/* The whole state of the process as JSON; the caller owns it. */
json_object *dl_kernel_dump (DlKernel *kernel);
/* Gives the message to every task that subscribes to its type, and drops the caller's
 * reference. */
void dl_kernel_publish (DlKernel *kernel, void *message);
DlTask *dl_kernel_task (DlKernel *kernel, const char *plugin_name);

/* Puts the message into the task's mailbox, and drops the caller's reference. */
void dl_task_post (DlTask *task, void *message);
DlKernel *dl_task_kernel (DlTask *task);
void dl_task_set_state (DlTask *task, void *state);
void *dl_task_state (DlTask *task);
/* The task has nothing in progress any more; see DlPlugin.drain. */
void dl_task_drained (DlTask *task);

/* Milliseconds of a clock that never goes back and counts while the host sleeps. */
uint64_t dl_clock_ms (void);
uint64_t dl_clock_us (void);
/* Milliseconds since 1970, for people only; no decision hangs on it. */
uint64_t dl_wall_clock_ms (void);

/*
 * Subscribes to the timer service: FUNC is called after FIRST_MS and then every REPEAT_MS
 * (0: once).  The subscription is a talloc child of OWNER and ends with it, or by
 * talloc_free of the timer, also from inside FUNC.
 */
typedef void (*DlTimerFunc) (DlTimer *timer, void *data);
DlTimer *dl_timer_subscribe (DlTask *task,
                             const void *owner,
                             uint64_t first_ms,
                             uint64_t repeat_ms,
                             DlTimerFunc func,
                             void *data);
/* Sets a new first delay, in force also for a timer that has fired. */
void dl_timer_restart (DlTimer *timer, uint64_t first_ms);

#endif
