#include "kernel/kernel.h"

#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#define DRAIN_DEFAULT_MS        30000
#define MESSAGES_PER_ITERATION  256
#define MESSAGE_TYPES           64
#define NANOSECONDS_PER_MS      1000000
#define NANOSECONDS_PER_US      1000
#define MICROSECONDS_PER_MS     1000
#define MILLISECONDS_PER_SECOND 1000.0
/* At the end of a shutdown's time: one to read a request, one to send its refusal. */
#define FINAL_READS 2
/* The event loop runs at least this often. */
#define HEARTBEAT_MS 100
/* A process whose event loop did not run for this long was paused. */
#define PAUSE_MIN_MS 200

struct DlTask
{
  DlKernel *kernel;
  const DlPlugin *plugin;
  void *state;
  bool started;
  bool drained;
  DlTask *next;
};

typedef struct
{
  DlTask *task;
  DlMessage *message;
} Delivery;

/* A part of the end of the process; a talloc child of its owner. */
typedef struct End
{
  DlEndFunc func;
  void *data;
  struct End *next;
  struct End **link; /* the pointer to this one */
} End;

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
  End *ends;
  DlEndStep end_step;
  uint64_t created_ms;
  bool stopping;
  uint64_t stop_began_ms;  /* or earlier; 0 while running */
  bool abandoned;          /* the shutdown's time is over; only last responses are sent */
  uint64_t looped_ms;      /* last run of the event loop; 0 before the first */
  uint64_t last_looped_ms; /* the run before it */
  uint64_t looked_ms;      /* the one before that: what is handled now came later, also a
                              signal      that interrupted the wait of the last run */
  uint64_t paused_ms;      /* start of the last pause; 0 for none */
  uint64_t resumed_ms;     /* its end */
  ev_prepare prepare;
  ev_check check;
  ev_timer heartbeat;
  ev_idle idle;
  ev_signal sigterm, sigint, sighup, sigusr1;
  ev_timer drain_timer;
};

struct DlTimer
{
  ev_timer watcher;
  struct ev_loop *loop;
  DlTimerFunc func;
  void *data;
};

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

/* -------- clocks -------- */

static uint64_t
clock_ns (clockid_t id)
{
  struct timespec ts;

  g_assert (clock_gettime (id, &ts) == 0);
  return (uint64_t)ts.tv_sec * 1000 * NANOSECONDS_PER_MS + (uint64_t)ts.tv_nsec;
}

uint64_t
dl_clock_ms (void)
{
  return clock_ns (CLOCK_BOOTTIME) / NANOSECONDS_PER_MS;
}

uint64_t
dl_clock_us (void)
{
  return clock_ns (CLOCK_BOOTTIME) / NANOSECONDS_PER_US;
}

uint64_t
dl_wall_clock_ms (void)
{
  return clock_ns (CLOCK_REALTIME) / NANOSECONDS_PER_MS;
}

static void end_when_idle (DlKernel *kernel);

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
  end_when_idle (kernel);
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
  ev_timer_init (&kernel->heartbeat, on_heartbeat, 0.0,
                 HEARTBEAT_MS / MILLISECONDS_PER_SECOND);
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

/* -------- shutdown -------- */

static bool
have_tasks_drained (const DlKernel *kernel)
{
  for (const DlTask *t = kernel->tasks; t != NULL; t = t->next)
    if (!t->drained)
      return false;
  return true;
}

/* Asks every task, so that each reads what has arrived for it. */
static bool
are_tasks_idle (DlKernel *kernel)
{
  bool idle = true;

  for (DlTask *t = kernel->tasks; t != NULL; t = t->next)
    if (t->plugin->is_idle != NULL && t->started && !t->plugin->is_idle (t))
      idle = false;
  return idle;
}

static int
end_destroy (End *e)
{
  *e->link = e->next;
  if (e->next != NULL)
    e->next->link = e->link;
  return 0;
}

void
dl_kernel_on_end (DlKernel *kernel, const void *owner, DlEndFunc func, void *data)
{
  End *e = talloc_zero (owner, End);

  g_assert (e != NULL);
  *e = (End){ .func = func, .data = data, .next = kernel->ends, .link = &kernel->ends };
  if (e->next != NULL)
    e->next->link = &e->next;
  kernel->ends = e;
  talloc_set_destructor (e, end_destroy);
}

/* Returns true once all parts have done STEP. */
static bool
take_end_step (DlKernel *kernel, DlEndStep step)
{
  bool done = true;

  for (End *e = kernel->ends; e != NULL; e = e->next)
    if (!e->func (step, e->data))
      done = false;
  return done;
}

/* Returns true once all connections are closed. */
static bool
close_connections (DlKernel *kernel)
{
  if (kernel->end_step == DL_END_KEPT && take_end_step (kernel, DL_END_KEPT))
    kernel->end_step = DL_END_ALL;
  return kernel->end_step == DL_END_ALL && take_end_step (kernel, DL_END_ALL);
}

/* Ends the process once nothing is in progress and callers' connections are closed.  What
 * has arrived is handled before: a task may have drained long ago, or in the same run of
 * the loop in which a caller's request came. */
static void
end_when_idle (DlKernel *kernel)
{
  if (kernel->stopping && have_tasks_drained (kernel) && are_tasks_idle (kernel)
      && g_queue_is_empty (&kernel->mailbox) && close_connections (kernel)
      && g_queue_is_empty (&kernel->mailbox))
    ev_break (kernel->loop, EVBREAK_ALL);
}

/* Ends the process as its time is over; what has arrived unread is refused first. */
static void
end_now (DlKernel *kernel)
{
  for (int i = 0; i < FINAL_READS && !are_tasks_idle (kernel); i++)
    ;
  take_end_step (kernel, DL_END_NOW);
  ev_break (kernel->loop, EVBREAK_ALL);
}

/* Time from the start of a shutdown until what is still in progress is abandoned. */
static uint64_t
working_ms (const DlKernel *kernel)
{
  return kernel->drain_ms - MIN (kernel->drain_ms / 2, DL_STOP_FINAL_MS);
}

/* Time until the shutdown is AFTER_MS old. */
static uint64_t
remaining_ms (const DlKernel *kernel, uint64_t after_ms)
{
  uint64_t due_ms = kernel->stop_began_ms + after_ms;
  uint64_t now_ms = dl_clock_ms ();

  return due_ms > now_ms ? due_ms - now_ms : 0;
}

static void
restart_drain_timer (DlKernel *kernel, uint64_t after_ms)
{
  ev_timer_set (&kernel->drain_timer, (double)after_ms / MILLISECONDS_PER_SECOND, 0.0);
  ev_timer_start (kernel->loop, &kernel->drain_timer);
}

static void
abandon_work (DlKernel *kernel)
{
  kernel->abandoned = true;
  dl_log (DL_EVENT_DRAIN_TIMEOUT);
  for (DlTask *t = kernel->tasks; t != NULL; t = t->next)
    if (t->started && t->plugin->abandon != NULL)
      t->plugin->abandon (t);
  restart_drain_timer (kernel, MAX (remaining_ms (kernel, kernel->drain_ms),
                                    kernel->drain_ms - working_ms (kernel)));
}

static void
on_drain_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  DlKernel *kernel = watcher->data;

  if (kernel->abandoned)
    end_now (kernel);
  else
    abandon_work (kernel);
}

/* LATE_MS: the stop may have been asked for so long ago.  Its time counts from then, as
 * the supervisor's does. */
static void
begin_stop (DlKernel *kernel, uint64_t late_ms)
{
  if (kernel->stopping)
    return;
  kernel->stopping = true;
  kernel->stop_began_ms = dl_clock_ms () - late_ms;
  dl_log (DL_EVENT_STOPPING, DL_UINT ("late_ms", late_ms));
  restart_drain_timer (kernel, remaining_ms (kernel, working_ms (kernel)));
  for (DlTask *t = kernel->tasks; t != NULL; t = t->next)
    {
      if (t->plugin->drain != NULL)
        t->plugin->drain (t);
      else
        t->drained = true;
    }
}

void
dl_kernel_stop (DlKernel *kernel)
{
  begin_stop (kernel, 0);
}

/* Time for which a signal that is handled now may have been pending. */
static uint64_t
signal_late_ms (const DlKernel *kernel)
{
  uint64_t since_ms = kernel->looked_ms != 0 ? kernel->looked_ms : kernel->created_ms;

  return dl_clock_ms () - since_ms;
}

void
dl_task_drained (DlTask *task)
{
  if (task->kernel->stopping)
    task->drained = true;
}

static void
on_stop_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  DlKernel *kernel = watcher->data;

  if (!kernel->stopping)
    {
      begin_stop (kernel, signal_late_ms (kernel));
      return;
    }
  dl_log (DL_EVENT_STOP_SIGNAL_REPEATED, DL_INT ("signal", watcher->signum),
          DL_UINT ("stopping_ms", dl_clock_ms () - kernel->stop_began_ms));
  /* Supervisors may repeat SIGTERM; only a person at a terminal asks twice on purpose. */
  if (watcher->signum == SIGINT)
    ev_break (loop, EVBREAK_ALL);
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
start_tasks (DlKernel *kernel)
{
  DlTask **end = &kernel->tasks;

  for (const DlPlugin *p = registered_plugins; p != NULL; p = p->next)
    {
      DlTask *task = talloc_zero (kernel, DlTask);

      g_assert (task != NULL);
      task->kernel = kernel;
      task->plugin = p;
      *end = task;
      end = &task->next;
    }
  for (DlTask *t = kernel->tasks; t != NULL; t = t->next)
    {
      int error = t->plugin->start != NULL ? t->plugin->start (t) : 0;

      if (error < 0)
        {
          dl_log (DL_EVENT_START_FAILED, DL_TEXT ("plugin", t->plugin->name),
                  DL_ERRNO (error));
          return error;
        }
      t->started = true;
    }
  return 0;
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
  start_signal (kernel, &kernel->sigterm, SIGTERM, on_stop_signal);
  start_signal (kernel, &kernel->sigint, SIGINT, on_stop_signal);
  start_signal (kernel, &kernel->sighup, SIGHUP, on_reload_signal);
  start_signal (kernel, &kernel->sigusr1, SIGUSR1, on_dump_signal);
  block_signals (false);
  ev_init (&kernel->drain_timer, on_drain_timer);
  ev_set_priority (&kernel->drain_timer, DL_TIMER_PRIORITY);
  kernel->drain_timer.data = kernel;
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

void
dl_kernel_set_drain_ms (DlKernel *kernel, uint64_t drain_ms)
{
  kernel->drain_ms = drain_ms;
}

uint64_t
dl_kernel_abandon_ms (const DlKernel *kernel)
{
  return kernel->stopping ? kernel->stop_began_ms + working_ms (kernel) : 0;
}

bool
dl_kernel_stopping (const DlKernel *kernel)
{
  return kernel->stopping;
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

/* -------- timers -------- */

static int
timer_destroy (DlTimer *timer)
{
  ev_timer_stop (timer->loop, &timer->watcher);
  return 0;
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  DlTimer *timer = watcher->data;

  timer->func (timer, timer->data);
}

DlTimer *
dl_timer_subscribe (DlTask *task,
                    const void *owner,
                    uint64_t first_ms,
                    uint64_t repeat_ms,
                    DlTimerFunc func,
                    void *data)
{
  DlTimer *timer = talloc_zero (owner, DlTimer);

  g_assert (timer != NULL);
  timer->loop = task->kernel->loop;
  timer->func = func;
  timer->data = data;
  ev_timer_init (&timer->watcher, on_timer, (double)first_ms / MILLISECONDS_PER_SECOND,
                 (double)repeat_ms / MILLISECONDS_PER_SECOND);
  ev_set_priority (&timer->watcher, DL_TIMER_PRIORITY);
  timer->watcher.data = timer;
  ev_timer_start (timer->loop, &timer->watcher);
  talloc_set_destructor (timer, timer_destroy);
  return timer;
}

void
dl_timer_restart (DlTimer *timer, uint64_t first_ms)
{
  double repeat = timer->watcher.repeat;

  ev_timer_stop (timer->loop, &timer->watcher);
  ev_timer_set (&timer->watcher, (double)first_ms / MILLISECONDS_PER_SECOND, repeat);
  ev_timer_start (timer->loop, &timer->watcher);
}
