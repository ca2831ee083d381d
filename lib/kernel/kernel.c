#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/kernel_private.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#define DRAIN_DEFAULT_MS       30000
#define MESSAGES_PER_ITERATION 256
#define MESSAGE_TYPES          64
/* The event loop runs at least this often. */
#define HEARTBEAT_MS 100
/* A process whose event loop did not run for this long was paused. */
#define PAUSE_MIN_MS 200

typedef struct
{
  DlTask *task;
  DlMessage *message;
} Delivery;

static DlPlugin *registered_plugins;

void
dl_plugin_register (DlPlugin *plugin)
{
  DlPlugin **at = &registered_plugins;

  while (*at != NULL && (*at)->order <= plugin->order)
    at = &(*at)->next;
  plugin->next = *at;
  *at = plugin;
}

/* -------- messages -------- */

void *
dl_message_new (int type, size_t size)
{
  DlMessage *message = talloc_zero_size (NULL, size);

  g_assert (message != NULL && size >= sizeof *message);
  g_assert (type >= 0 && type < MESSAGE_TYPES);
  message->type = type;
  message->references = 1;
  return message;
}

void *
dl_message_ref (void *message)
{
  ((DlMessage *)message)->references++;
  return message;
}

void
dl_message_unref (void *message)
{
  DlMessage *m = message;

  g_assert (m->references > 0);
  if (--m->references == 0)
    talloc_free (m);
}

void
dl_task_post (DlTask *task, void *message)
{
  Delivery *d = g_new (Delivery, 1);

  *d = (Delivery){ .task = task, .message = message };
  g_queue_push_tail (&task->kernel->mailbox, d);
}

void
dl_kernel_publish (DlKernel *kernel, void *message)
{
  DlMessage *m = message;

  for (DlTask *t = kernel->tasks; t != NULL; t = t->next)
    if ((t->plugin->subscriptions & (UINT64_C (1) << m->type)) != 0)
      dl_task_post (t, dl_message_ref (m));
  dl_message_unref (m);
}

static void
deliver_messages (DlKernel *kernel)
{
  for (int i = 0; i < MESSAGES_PER_ITERATION; i++)
    {
      Delivery *d = g_queue_pop_head (&kernel->mailbox);

      if (d == NULL)
        return;
      if (d->task->started && d->task->plugin->handle != NULL)
        d->task->plugin->handle (d->task, d->message);
      dl_message_unref (d->message);
      g_free (d);
    }
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  DlKernel *kernel = watcher->data;

  deliver_messages (kernel);
  dl_kernel_end_when_idle (kernel);
  if (g_queue_is_empty (&kernel->mailbox))
    ev_idle_stop (loop, &kernel->idle);
  else
    ev_idle_start (loop, &kernel->idle); /* keeps the loop from blocking */
}

static void
on_idle (struct ev_loop *loop, ev_idle *watcher, int events)
{
}

/* -------- pauses -------- */

/* Runs after the event loop has waited, before anything that arrived is handled. */
static void
on_check (struct ev_loop *loop, ev_check *watcher, int events)
{
  DlKernel *kernel = watcher->data;
  uint64_t now_ms = dl_clock_ms ();

  if (kernel->looped_ms != 0 && now_ms >= kernel->looped_ms + PAUSE_MIN_MS)
    {
      kernel->paused_ms = kernel->looped_ms;
      kernel->resumed_ms = now_ms;
      dl_log (DL_EVENT_RESUMED, DL_UINT ("paused_ms", now_ms - kernel->looped_ms));
    }
  kernel->looked_ms = kernel->last_looped_ms;
  kernel->last_looped_ms = kernel->looped_ms;
  kernel->looped_ms = now_ms;
}

static void
on_heartbeat (struct ev_loop *loop, ev_timer *watcher, int events)
{
}

static void
start_pause_detection (DlKernel *kernel)
{
  ev_check_init (&kernel->check, on_check);
  ev_set_priority (&kernel->check, EV_MAXPRI);
  kernel->check.data = kernel;
  ev_check_start (kernel->loop, &kernel->check);
  ev_timer_init (&kernel->heartbeat, on_heartbeat, 0.0, HEARTBEAT_MS / DL_MS_PER_S);
  ev_timer_again (kernel->loop, &kernel->heartbeat);
}

uint64_t
dl_kernel_resumed_ms (const DlKernel *kernel)
{
  return kernel->resumed_ms;
}

uint64_t
dl_kernel_paused_ms (const DlKernel *kernel)
{
  return kernel->paused_ms;
}

static void
on_dump_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  json_object *dump = dl_kernel_dump (watcher->data);

  dl_log (DL_EVENT_DUMP);
  fprintf (stderr, "%s\n",
           json_object_to_json_string_ext (dump, JSON_C_TO_STRING_PRETTY));
  json_object_put (dump);
}

static void
on_reload_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  DlKernel *kernel = watcher->data;

  dl_log (DL_EVENT_RELOADED);
  for (DlTask *t = kernel->tasks; t != NULL; t = t->next)
    if (t->plugin->reload != NULL && t->started)
      t->plugin->reload (t);
}

/* -------- the kernel -------- */

DlKernel *
dl_kernel_new (const char *program, const char *name, const void *settings)
{
  DlKernel *kernel = talloc_zero (NULL, DlKernel);

  g_assert (kernel != NULL && sodium_init () >= 0);
  kernel->loop = ev_default_loop (EVFLAG_AUTO);
  g_assert (kernel->loop != NULL);
  kernel->program = talloc_strdup (kernel, program);
  kernel->name = talloc_strdup (kernel, name);
  kernel->settings = settings;
  kernel->drain_ms = DRAIN_DEFAULT_MS;
  kernel->created_ms = dl_clock_ms ();
  randombytes_buf (&kernel->incarnation, sizeof kernel->incarnation);
  g_queue_init (&kernel->mailbox);
  return kernel;
}

static int
start_task (DlTask *task)
{
  int error = task->plugin->start != NULL ? task->plugin->start (task) : 0;

  task->started = error == 0;
  return error;
}

static int
open_task (DlTask *task)
{
  return task->plugin->open != NULL ? task->plugin->open (task) : 0;
}

/* Calls FUNC for TASK; logs its error. */
static int
begin_task (DlTask *task, int (*func) (DlTask *task))
{
  int error = func (task);

  if (error < 0)
    dl_log (DL_EVENT_START_FAILED, DL_TEXT ("plugin", task->plugin->name),
            DL_ERRNO (error));
  return error;
}

/* The last started first. */
static int
open_tasks (DlTask *first)
{
  int error = first->next != NULL ? open_tasks (first->next) : 0;

  return error < 0 ? error : begin_task (first, open_task);
}

static int
start_tasks (DlKernel *kernel)
{
  DlTask **end = &kernel->tasks;
  int error = 0;

  for (const DlPlugin *p = registered_plugins; p != NULL; p = p->next)
    {
      DlTask *task = talloc_zero (kernel, DlTask);

      g_assert (task != NULL);
      task->kernel = kernel;
      task->plugin = p;
      *end = task;
      end = &task->next;
    }
  for (DlTask *t = kernel->tasks; t != NULL && error == 0; t = t->next)
    error = begin_task (t, start_task);
  if (error == 0 && kernel->tasks != NULL)
    error = open_tasks (kernel->tasks);
  return error;
}

static void
start_signal (DlKernel *kernel,
              ev_signal *watcher,
              int signum,
              void (*func) (struct ev_loop *, ev_signal *, int))
{
  ev_signal_init (watcher, func, signum);
  watcher->data = kernel;
  ev_signal_start (kernel->loop, watcher);
}

static void
drop_mailbox (DlKernel *kernel)
{
  Delivery *d;

  while ((d = g_queue_pop_head (&kernel->mailbox)) != NULL)
    {
      dl_message_unref (d->message);
      g_free (d);
    }
}

/* Frees the tasks' states, the last started first. */
static void
stop_tasks (DlKernel *kernel)
{
  GPtrArray *tasks = g_ptr_array_new ();

  for (DlTask *t = kernel->tasks; t != NULL; t = t->next)
    g_ptr_array_add (tasks, t);
  for (guint i = tasks->len; i > 0; i--)
    {
      DlTask *t = g_ptr_array_index (tasks, i - 1);

      t->started = false;
      talloc_free (t->state);
      t->state = NULL;
    }
  g_ptr_array_free (tasks, TRUE);
}

/* Signals that come while no kernel runs wait, so that none ends the process on its way
 * in or out. */
static void
block_signals (bool block)
{
  static const int signals[] = { SIGTERM, SIGINT, SIGHUP, SIGUSR1 };
  sigset_t set;

  sigemptyset (&set);
  for (size_t i = 0; i < G_N_ELEMENTS (signals); i++)
    sigaddset (&set, signals[i]);
  g_assert (sigprocmask (block ? SIG_BLOCK : SIG_UNBLOCK, &set, NULL) == 0);
}

void
dl_kernel_hold_signals (void)
{
  block_signals (true);
}

static void
start_watchers (DlKernel *kernel)
{
  start_signal (kernel, &kernel->sigterm, SIGTERM, dl_kernel_on_stop_signal);
  start_signal (kernel, &kernel->sigint, SIGINT, dl_kernel_on_stop_signal);
  start_signal (kernel, &kernel->sighup, SIGHUP, on_reload_signal);
  start_signal (kernel, &kernel->sigusr1, SIGUSR1, on_dump_signal);
  block_signals (false);
  dl_kernel_init_stop (kernel);
  ev_prepare_init (&kernel->prepare, on_prepare);
  kernel->prepare.data = kernel;
  ev_prepare_start (kernel->loop, &kernel->prepare);
  ev_idle_init (&kernel->idle, on_idle);
  start_pause_detection (kernel);
}

static void
stop_watchers (DlKernel *kernel)
{
  block_signals (true);
  ev_signal_stop (kernel->loop, &kernel->sigterm);
  ev_signal_stop (kernel->loop, &kernel->sigint);
  ev_signal_stop (kernel->loop, &kernel->sighup);
  ev_signal_stop (kernel->loop, &kernel->sigusr1);
  ev_timer_stop (kernel->loop, &kernel->drain_timer);
  ev_prepare_stop (kernel->loop, &kernel->prepare);
  ev_idle_stop (kernel->loop, &kernel->idle);
  ev_check_stop (kernel->loop, &kernel->check);
  ev_timer_stop (kernel->loop, &kernel->heartbeat);
}

/* True if the process was told to stop before it has begun. */
static bool
is_stop_pending (void)
{
  sigset_t pending;

  g_assert (sigpending (&pending) == 0);
  return sigismember (&pending, SIGTERM) == 1 || sigismember (&pending, SIGINT) == 1;
}

int
dl_kernel_run (DlKernel *kernel)
{
  int error;

  signal (SIGPIPE, SIG_IGN);
  if (is_stop_pending ())
    {
      dl_log (DL_EVENT_STOPPED_BEFORE_START);
      return 0;
    }
  ev_now_update (kernel->loop);
  start_watchers (kernel);
  error = start_tasks (kernel);
  if (error == 0)
    {
      dl_log (DL_EVENT_STARTED);
      ev_run (kernel->loop, 0);
    }
  stop_tasks (kernel);
  drop_mailbox (kernel);
  stop_watchers (kernel);
  if (error == 0)
    dl_log (DL_EVENT_STOPPED);
  return error;
}

struct ev_loop *
dl_kernel_loop (DlKernel *kernel)
{
  return kernel->loop;
}

const void *
dl_kernel_settings (const DlKernel *kernel)
{
  return kernel->settings;
}

const char *
dl_kernel_name (const DlKernel *kernel)
{
  return kernel->name;
}

uint64_t
dl_kernel_incarnation (const DlKernel *kernel)
{
  return kernel->incarnation;
}

json_object *
dl_kernel_dump (DlKernel *kernel)
{
  json_object *dump = json_object_new_object ();
  json_object *tasks = json_object_new_object ();

  json_object_object_add (dump, "program", json_object_new_string (kernel->program));
  json_object_object_add (dump, "name", json_object_new_string (kernel->name));
  json_object_object_add (dump, "incarnation",
                          json_object_new_uint64 (kernel->incarnation));
  json_object_object_add (dump, "stopping", json_object_new_boolean (kernel->stopping));
  json_object_object_add (dump, "mailbox_length",
                          json_object_new_int64 (g_queue_get_length (&kernel->mailbox)));
  for (DlTask *t = kernel->tasks; t != NULL; t = t->next)
    if (t->plugin->dump != NULL && t->started)
      json_object_object_add (tasks, t->plugin->name, t->plugin->dump (t));
  json_object_object_add (dump, "tasks", tasks);
  json_object_object_add (dump, "metrics", dl_metrics_dump ());
  return dump;
}

DlTask *
dl_kernel_task (DlKernel *kernel, const char *plugin_name)
{
  for (DlTask *t = kernel->tasks; t != NULL; t = t->next)
    if (strcmp (t->plugin->name, plugin_name) == 0)
      return t;
  return NULL;
}

DlKernel *
dl_task_kernel (DlTask *task)
{
  return task->kernel;
}

void
dl_task_set_state (DlTask *task, void *state)
{
  task->state = state;
}

void *
dl_task_state (DlTask *task)
{
  return task->state;
}
