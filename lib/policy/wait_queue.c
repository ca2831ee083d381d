#include "policy/wait_queue.h"

#include <glib.h>
#include <talloc.h>

#define RETRY_SPREAD_MS 1000
/* The rate of responses in a window that has just begun is taken over this time. */
#define RESPONSES_MIN_MS 100

typedef struct
{
  void *item;
  bool begun;        /* it may have run; before all that have not */
  uint64_t order_ms; /* arrival, shifted by priority */
  uint64_t expires_ms;
} WaitingItem;

struct DlWaitQueue
{
  GQueue items;             /* of WaitingItem, the next first */
  uint64_t window_ms;       /* start of the current window of the dispatch rate */
  unsigned dispatched;      /* in the current window */
  unsigned dispatched_last; /* in the window before it */
  unsigned responses;       /* in the current window */
  DlPriorityShare share;
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

/* Starts a new window when the current one is over. */
static void
advance_window (DlWaitQueue *queue, uint64_t now_ms)
{
  uint64_t passed_ms = now_ms - queue->window_ms;

  if (passed_ms < DL_WAIT_RATE_WINDOW_MS)
    return;
  queue->dispatched_last = passed_ms < 2 * DL_WAIT_RATE_WINDOW_MS ? queue->dispatched : 0;
  queue->dispatched = 0;
  queue->responses = 0;
  queue->window_ms = now_ms;
}

/* Request slots that responses make free in a whole window, at the rate so far. */
static uint64_t
response_rate (const DlWaitQueue *queue, uint64_t now_ms)
{
  return queue->responses * (uint64_t)DL_WAIT_RATE_WINDOW_MS
         / MAX (now_ms - queue->window_ms, RESPONSES_MIN_MS);
}

/* Time in which COUNT items are expected to leave. */
static uint64_t
expected_ms (const DlWaitQueue *queue, uint64_t count, uint64_t now_ms)
{
  uint64_t rate = MAX (MAX (queue->dispatched, queue->dispatched_last), 1);

  /* After a quiet time, the dispatches of a whole window are not known yet. */
  if (queue->dispatched_last == 0)
    rate = MAX (rate, response_rate (queue, now_ms));
  return count * (uint64_t)DL_WAIT_RATE_WINDOW_MS / rate;
}

uint64_t
dl_wait_queue_expected_ms (const DlWaitQueue *queue, uint64_t now_ms)
{
  return expected_ms (queue, queue->items.length, now_ms);
}

static gint
compare_order (gconstpointer a, gconstpointer b, gpointer data)
{
  const WaitingItem *x = a;
  const WaitingItem *y = b;

  if (x->begun != y->begun)
    return x->begun ? -1 : 1;
  return x->order_ms <= y->order_ms ? -1 : 1;
}

static uint64_t
order_ms (const DlWaitQueue *queue, const DlWaitClass *class, uint64_t now_ms)
{
  if (!class->is_ranked)
    return now_ms + MIN (class->priority, DL_WAIT_PRIORITY_MAX) * DL_WAIT_PRIORITY_MS;
  if (dl_priority_share_is_behind (&queue->share, class->rank))
    return now_ms;
  return now_ms + (uint64_t) class->priority * DL_WAIT_RANK_MS;
}

/* Number of items that go before one that is to be put at ORDER_MS, without those whose
 * time is over. */
static uint64_t
count_before (const DlWaitQueue *queue, uint64_t order, uint64_t now_ms)
{
  uint64_t count = 0;

  for (const GList *l = queue->items.head; l != NULL; l = l->next)
    {
      const WaitingItem *w = l->data;

      count += w->expires_ms > now_ms && (w->begun || w->order_ms <= order);
    }
  return count;
}

/* Ends the wait of those behind ITEM that cannot be served in their time any more. */
static void
expire_overtaken (DlWaitQueue *queue, const WaitingItem *item, uint64_t now_ms)
{
  uint64_t before = 0;
  bool is_behind = false;

  for (const GList *l = queue->items.head; l != NULL; l = l->next)
    {
      WaitingItem *w = l->data;

      if (is_behind && !w->begun
          && now_ms + expected_ms (queue, before, now_ms) > w->expires_ms)
        w->expires_ms = now_ms;
      is_behind = is_behind || w == item;
      before += w->expires_ms > now_ms;
    }
}

DlWaitDecision
dl_wait_queue_push (DlWaitQueue *queue,
                    void *item,
                    const DlWaitClass *class,
                    uint64_t now_ms)
{
  uint64_t max_wait_ms = class->target_ms / DL_WAIT_TARGET_DIVISOR;
  uint64_t order = order_ms (queue, class, now_ms);
  uint64_t before;
  WaitingItem *w;

  advance_window (queue, now_ms);
  before = class->is_ranked ? count_before (queue, order, now_ms) : queue->items.length;
  if (expected_ms (queue, before, now_ms) > max_wait_ms)
    return DL_WAIT_REFUSED;
  w = g_new0 (WaitingItem, 1);
  w->item = item;
  w->order_ms = order;
  w->expires_ms = now_ms + max_wait_ms;
  g_queue_insert_sorted (&queue->items, w, compare_order, NULL);
  if (class->is_ranked)
    expire_overtaken (queue, w, now_ms);
  return DL_WAIT_QUEUED;
}

void
dl_wait_queue_arrived (DlWaitQueue *queue, unsigned rank, uint64_t now_ms)
{
  dl_priority_share_arrived (&queue->share, rank, now_ms);
}

void
dl_wait_queue_sent (DlWaitQueue *queue, unsigned rank, uint64_t now_ms)
{
  dl_priority_share_sent (&queue->share, rank, now_ms);
}

void
dl_wait_queue_push_begun (DlWaitQueue *queue,
                          void *item,
                          uint64_t expires_ms,
                          uint64_t now_ms)
{
  WaitingItem *w = g_new0 (WaitingItem, 1);

  w->item = item;
  w->begun = true;
  w->order_ms = now_ms;
  w->expires_ms = expires_ms;
  g_queue_insert_sorted (&queue->items, w, compare_order, NULL);
}

/* The item of LINK; NULL for none. */
static void *
item_of (const GList *link)
{
  return link != NULL ? ((const WaitingItem *)link->data)->item : NULL;
}

void *
dl_wait_queue_after (const DlWaitQueue *queue, const void *item)
{
  const GList *l = queue->items.head;

  if (item == NULL)
    return item_of (l);
  while (l != NULL && item_of (l) != item)
    l = l->next;
  return l != NULL ? item_of (l->next) : NULL;
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
    if (((WaitingItem *)l->data)->item == item)
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
      WaitingItem *w = l->data;

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
  advance_window (queue, now_ms);
  queue->dispatched++;
}

void
dl_wait_queue_responded (DlWaitQueue *queue)
{
  queue->responses++;
}

size_t
dl_wait_queue_length (const DlWaitQueue *queue)
{
  return queue->items.length;
}

uint64_t
dl_wait_queue_retry_ms (const DlWaitQueue *queue, uint64_t random, uint64_t now_ms)
{
  uint64_t wait_ms = dl_wait_queue_expected_ms (queue, now_ms);

  wait_ms += DL_WAIT_RETRY_MIN_MS + random % RETRY_SPREAD_MS;
  return MIN (wait_ms, DL_WAIT_RETRY_MAX_MS);
}
