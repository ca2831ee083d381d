/* The shutdown of a process, from its signal to the end of the loop. */
#include <glib.h>
#include <talloc.h>

#include "kernel/kernel_private.h"
#include "kernel/log.h"

/* At the end of a shutdown's time: one to read a request, one to send its refusal. */
#define FINAL_READS 2

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
end_destroy (DlEnd *e)
{
  if (e->kernel->next_end == e)
    e->kernel->next_end = e->next;
  *e->link = e->next;
  if (e->next != NULL)
    e->next->link = e->link;
  return 0;
}

void
dl_kernel_on_end (DlKernel *kernel, const void *owner, DlEndFunc func, void *data)
{
  DlEnd *e = talloc_zero (owner, DlEnd);

  g_assert (e != NULL);
  *e = (DlEnd){ .func = func,
                .data = data,
                .next = kernel->ends,
                .link = &kernel->ends,
                .kernel = kernel };
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

  for (DlEnd *e = kernel->ends; e != NULL; e = kernel->next_end)
    {
      kernel->next_end = e->next; /* FUNC may free any part */
      if (!e->func (step, e->data))
        done = false;
    }
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

void
dl_kernel_end_when_idle (DlKernel *kernel)
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
  ev_timer_set (&kernel->drain_timer, (double)after_ms / DL_MS_PER_S, 0.0);
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

void
dl_kernel_on_stop_signal (struct ev_loop *loop, ev_signal *watcher, int events)
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

void
dl_kernel_init_stop (DlKernel *kernel)
{
  ev_init (&kernel->drain_timer, on_drain_timer);
  ev_set_priority (&kernel->drain_timer, DL_TIMER_PRIORITY);
  kernel->drain_timer.data = kernel;
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
