/* Clocks and timers. */
#include <glib.h>
#include <talloc.h>
#include <time.h>

#include "kernel/kernel_private.h"

#define NANOSECONDS_PER_MS 1000000
#define NANOSECONDS_PER_US 1000

struct DlTimer
{
  ev_timer watcher;
  struct ev_loop *loop;
  DlTimerFunc func;
  void *data;
};

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
  ev_timer_init (&timer->watcher, on_timer, (double)first_ms / DL_MS_PER_S,
                 (double)repeat_ms / DL_MS_PER_S);
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
  ev_timer_set (&timer->watcher, (double)first_ms / DL_MS_PER_S, repeat);
  ev_timer_start (timer->loop, &timer->watcher);
}

void
dl_timer_set (DlTimer **timer,
              DlTask *task,
              const void *owner,
              uint64_t delay_ms,
              DlTimerFunc func,
              void *data)
{
  if (*timer == NULL)
    *timer = dl_timer_subscribe (task, owner, delay_ms, 0, func, data);
  else
    dl_timer_restart (*timer, delay_ms);
}
