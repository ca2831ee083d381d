#include "policy/wait_queue.h"

#include <glib.h>
#include <talloc.h>

#define RETRY_SPREAD_MS 1000

typedef struct
{
  void *item;
  uint64_t order_ms; /* arrival, moved by priority */
  uint64_t expires_ms;
} Waiting;

struct DlWaitQueue
{
  GQueue items;         /* of Waiting, the next first */
  uint64_t window_ms;   /* when the present window of the rate began */
  unsigned placed;      /* in the present window */
  unsigned placed_last; /* in the one before it */
};

static int
queue_destroy (DlWaitQueue *queue)
{
  g_queue_clear_full (&queue->items, g_free);
  return 0;
}

DlWaitQueue *
dl_wait_queue_new (const void *context)
{
  DlWaitQueue *queue = talloc_zero (context, DlWaitQueue);

  g_assert (queue != NULL);
  g_queue_init (&queue->items);
  talloc_set_destructor (queue, queue_destroy);
  return queue;
}

static void
turn_window (DlWaitQueue *queue, uint64_t now_ms)
{
  uint64_t passed_ms = now_ms - queue->window_ms;

  if (passed_ms < DL_WAIT_RATE_WINDOW_MS)
    return;
  queue->placed_last = passed_ms < 2 * DL_WAIT_RATE_WINDOW_MS ? queue->placed : 0;
  queue->placed = 0;
  queue->window_ms = now_ms;
}

/* Expected time until LENGTH requests have been placed. */
static uint64_t
expected_wait_ms (const DlWaitQueue *queue, size_t length)
{
  unsigned rate = MAX (MAX (queue->placed, queue->placed_last), 1);

  return (uint64_t)length * DL_WAIT_RATE_WINDOW_MS / rate;
}

static gint
compare_order (gconstpointer a, gconstpointer b, gpointer data)
{
  const Waiting *x = a;
  const Waiting *y = b;

  return x->order_ms <= y->order_ms ? -1 : 1;
}

DlWaitDecision
dl_wait_queue_push (DlWaitQueue *queue,
                    void *item,
                    unsigned priority,
                    uint64_t target_ms,
                    uint64_t now_ms)
{
  uint64_t patience_ms = target_ms / DL_WAIT_TARGET_DIVISOR;
  size_t length = g_queue_get_length (&queue->items);
  Waiting *w;

  turn_window (queue, now_ms);
  if (length > 0 && expected_wait_ms (queue, length) > patience_ms)
    return DL_WAIT_REFUSED;
  w = g_new0 (Waiting, 1);
  w->item = item;
  w->order_ms = now_ms + MIN (priority, DL_WAIT_PRIORITY_MAX) * DL_WAIT_PRIORITY_MS;
  w->expires_ms = now_ms + patience_ms;
  g_queue_insert_sorted (&queue->items, w, compare_order, NULL);
  return DL_WAIT_QUEUED;
}

void *
dl_wait_queue_peek (const DlWaitQueue *queue)
{
  const Waiting *w = queue->items.head != NULL ? queue->items.head->data : NULL;

  return w != NULL ? w->item : NULL;
}

static void
remove_link (DlWaitQueue *queue, GList *link)
{
  g_free (link->data);
  g_queue_delete_link (&queue->items, link);
}

void
dl_wait_queue_remove (DlWaitQueue *queue, void *item)
{
  for (GList *l = queue->items.head; l != NULL; l = l->next)
    if (((Waiting *)l->data)->item == item)
      {
        remove_link (queue, l);
        return;
      }
}

void *
dl_wait_queue_expired (DlWaitQueue *queue, uint64_t now_ms)
{
  for (GList *l = queue->items.head; l != NULL; l = l->next)
    {
      Waiting *w = l->data;

      if (w->expires_ms <= now_ms)
        {
          void *item = w->item;

          remove_link (queue, l);
          return item;
        }
    }
  return NULL;
}

void
dl_wait_queue_dispatched (DlWaitQueue *queue, uint64_t now_ms)
{
  turn_window (queue, now_ms);
  queue->placed++;
}

size_t
dl_wait_queue_length (const DlWaitQueue *queue)
{
  return queue->items.length;
}

uint64_t
dl_wait_queue_retry_ms (const DlWaitQueue *queue, uint64_t random, uint64_t now_ms)
{
  uint64_t wait_ms = expected_wait_ms (queue, queue->items.length);

  wait_ms += DL_WAIT_RETRY_MIN_MS + random % RETRY_SPREAD_MS;
  return MIN (wait_ms, DL_WAIT_RETRY_MAX_MS);
}
