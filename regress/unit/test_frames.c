/*
 * Tests that framed connections handle what has arrived before they are closed, and that
 * a peer that never stops sending does not hold the loop.  Both ends are in one process,
 * each test runs a kernel of its own.
 */
#include <glib.h>
#include <stdio.h>
#include <talloc.h>
#include <unistd.h>

#include "endless.h"
#include "kernel/frame_private.h"
#include "kernel/log.h"
#include "unit.h"

#define DIALLERS    100 /* more than libev takes from epoll in one call */
#define STEP_MS     30  /* until the other side has done its part */
#define STANDING_MS (DL_FRAME_IDLE_MS + 500)
#define US_PER_MS   1000
#define DRAIN_MS    3000
/* Of one connection, in a run of the loop: what an open one reads. */
#define RUN_MAX_BYTES  (256u * 1024)
#define LAST_MAX_BYTES (8u << 20) /* as its process ends */

typedef enum
{
  CASE_NONE, /* other tests run */
  CASE_STANDS_STILL,
  CASE_WRITE_FAILS,
  CASE_ENDLESS,
} FrameCase;

typedef struct
{
  FrameCase running;
  DlTask *task;
  DlIdentity identity;
  char address[32];
  DlListener *listener;
  DlConn *accepted[DIALLERS];
  DlConn *dialled[DIALLERS];
  unsigned accepted_count;
  unsigned open_count;
  unsigned frames;   /* that the dialling sides received */
  unsigned closed;   /* dialling sides that were closed */
  DlConn *ending;    /* its peer never stops sending */
  size_t run_bytes;  /* read of it when a timer that was due was served */
  size_t last_bytes; /* read of another one as it was closed */
} Frames;

static Frames frames;

static void next_step (void);

static void
send_frame (DlConn *conn)
{
  Daisyloft__Wire__ResponseCredit credit = DAISYLOFT__WIRE__RESPONSE_CREDIT__INIT;
  DlEnvelope envelope = DL_ENVELOPE (RESPONSE_CREDIT, response_credit, &credit);

  dl_conn_send (conn, &envelope, dl_str_bytes (NULL, 0));
}

/* -------- the two ends -------- */

static void
on_accepted_closed (DlConn *conn, int error, void *data)
{
}

static void
on_accept (DlConn *conn, void *data)
{
  static const DlConnHandler handler = { .on_closed = on_accepted_closed };

  dl_conn_set_handler (conn, &handler, NULL);
  frames.accepted[frames.accepted_count++] = conn;
}

static void
on_frame (DlConn *conn, const DlEnvelope *envelope, DlStr payload, void *data)
{
  frames.frames++;
}

static void
on_closed (DlConn *conn, int error, void *data)
{
  frames.closed++;
}

static void on_open (DlConn *conn, void *data);

static const DlConnHandler dialled_handler
    = { .on_open = on_open, .on_frame = on_frame, .on_closed = on_closed };

static void
dial_next (void)
{
  frames.dialled[frames.open_count]
      = dl_conn_connect (frames.task, frames.listener, dl_str (frames.address),
                         &frames.identity, DAISYLOFT__WIRE__PURPOSE__PURPOSE_PEER,
                         &dialled_handler, NULL);
}

/* Connects one at a time, so that epoll's list of events stays short. */
static void
on_open (DlConn *conn, void *data)
{
  dl_conn_detach (conn);
  if (++frames.open_count < (frames.running == CASE_STANDS_STILL ? DIALLERS : 1))
    dial_next ();
  else
    next_step ();
}

/* -------- steps -------- */

static void
on_stop (DlTimer *timer, void *data)
{
  dl_kernel_stop (dl_task_kernel (frames.task));
}

static void
after_step (DlTimerFunc func)
{
  dl_timer_subscribe (frames.task, frames.listener, STEP_MS, 0, func, NULL);
}

static void
resume_all (void)
{
  for (unsigned i = 0; i < frames.open_count; i++)
    dl_conn_set_handler (frames.dialled[i], &dialled_handler, NULL);
}

static void
on_stand_still (DlTimer *timer, void *data)
{
  resume_all ();
  g_usleep (STANDING_MS * US_PER_MS);
  after_step (on_stop);
}

/* Sends on one connection in each run of the loop. */
static void
on_send_next (DlTimer *timer, void *data)
{
  static unsigned sent;

  send_frame (frames.accepted[sent++]);
  if (sent < frames.accepted_count)
    dl_timer_subscribe (frames.task, frames.listener, 0, 0, on_send_next, NULL);
  else
    after_step (on_stand_still);
}

static void
on_resume (DlTimer *timer, void *data)
{
  resume_all ();
  after_step (on_stop);
}

/* The peer has reset the connection, so that this write fails. */
static void
on_write_again (DlTimer *timer, void *data)
{
  send_frame (frames.dialled[0]);
  after_step (on_resume);
}

static void
on_write (DlTimer *timer, void *data)
{
  dl_conn_close (frames.accepted[0]);
  send_frame (frames.dialled[0]);
  after_step (on_write_again);
}

static void
on_send (DlTimer *timer, void *data)
{
  send_frame (frames.accepted[0]);
  after_step (on_write);
}

static void
next_step (void)
{
  after_step (frames.running == CASE_STANDS_STILL ? on_send_next : on_send);
}

/* -------- a connection that ends, and a peer that never stops -------- */

static void
on_endless_timer (DlTimer *timer, void *data)
{
  frames.run_bytes = endless_read_bytes ();
  CU_ASSERT_FALSE (dl_conn_end (DL_END_ALL, frames.ending));
  endless_end ();
  dl_kernel_stop (data);
}

static void
endless_connect (DlTask *task)
{
  frames.ending
      = dl_conn_new (task, dl_task_state (task), endless_begin (), &frames.identity);
  frames.ending->state = CONN_ENDING;
  ev_io_start (frames.ending->loop, &frames.ending->reader);
}

static int
endless_start (DlTask *task)
{
  dl_task_set_state (task, talloc_new (NULL));
  endless_connect (task);
  CU_ASSERT_TRUE (dl_conn_end (DL_END_NOW, frames.ending));
  frames.last_bytes = endless_read_bytes ();
  endless_end ();
  endless_connect (task);
  dl_timer_subscribe (task, dl_task_state (task), 0, 0, on_endless_timer,
                      dl_task_kernel (task));
  return 0;
}

/* -------- the task -------- */

static int
frames_start (DlTask *task)
{
  static const char *const nowhere = "";
  int error = -1;

  if (frames.running == CASE_NONE)
    return 0;
  if (frames.running == CASE_ENDLESS)
    return endless_start (task);
  frames.task = task;
  frames.identity = (DlIdentity){
    .name = "frames",
    .role = DAISYLOFT__WIRE__ROLE__ROLE_SLOT,
    .region = nowhere,
    .data_center = nowhere,
    .address = frames.address,
    .key = "a key of the fleet",
    .incarnation = 1,
  };
  for (unsigned port = 20000 + (unsigned)getpid () % 20000, i = 0; error < 0 && i < 64;
       i++)
    {
      snprintf (frames.address, sizeof frames.address, "127.0.0.1:%u", port + i);
      error = dl_listener_new (task, NULL, dl_str (frames.address), &frames.identity,
                               DIALLERS, on_accept, NULL, &frames.listener);
    }
  if (error < 0)
    return error;
  dl_task_set_state (task, frames.listener);
  dial_next ();
  return 0;
}

static DlPlugin frames_plugin = {
  .name = "frames-test",
  .order = 10,
  .start = frames_start,
};
DL_PLUGIN_REGISTER (frames_plugin)

static void
run (FrameCase running)
{
  DlKernel *kernel = dl_kernel_new ("unit", "frames", NULL);

  dl_log_open ("unit", "unit", true);
  frames = (Frames){ .running = running };
  dl_kernel_set_drain_ms (kernel, DRAIN_MS);
  CU_ASSERT_EQUAL (dl_kernel_run (kernel), 0);
  talloc_free (kernel);
  frames.running = CASE_NONE;
}

static void
test_frames_that_arrived_as_a_process_stood_still_are_handled (void)
{
  run (CASE_STANDS_STILL);
  CU_ASSERT_EQUAL (frames.frames, DIALLERS);
}

static void
test_frames_that_arrived_before_a_write_failed_are_handled (void)
{
  run (CASE_WRITE_FAILS);
  CU_ASSERT_EQUAL (frames.frames, 1);
  CU_ASSERT_EQUAL (frames.closed, 1);
}

static void
test_peer_that_never_stops_holds_nothing (void)
{
  run (CASE_ENDLESS);
  CU_ASSERT_TRUE (frames.run_bytes > 0);
  CU_ASSERT_TRUE (frames.run_bytes <= RUN_MAX_BYTES);
  CU_ASSERT_TRUE (frames.last_bytes > 0);
  CU_ASSERT_TRUE (frames.last_bytes <= LAST_MAX_BYTES);
}

static const CU_TestInfo tests[] = {
  { "frames that arrived as a process stood still are handled",
    test_frames_that_arrived_as_a_process_stood_still_are_handled },
  { "frames that arrived before a write failed are handled",
    test_frames_that_arrived_before_a_write_failed_are_handled },
  { "a peer that never stops sending to a connection that ends holds nothing else",
    test_peer_that_never_stops_holds_nothing },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("frames", tests)
