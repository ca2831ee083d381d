#include "kernel/object_era.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"

/* Eras rise one at a time; more than this at once comes from a garbled answer, which
 * would make every later one look old. */
#define STEP_MAX 1000

DL_METRIC (metric_eras,
           DL_METRIC_COUNTER,
           "daisy_object_eras_total",
           "Times that the store came back from an older copy.")

typedef struct
{
  DlObjectEra *era; /* NULL once that is freed */
  void (*func) (void *data);
  void *data;
} Subscription;

struct DlObjectEra
{
  uint64_t current;
  bool observed; /* a response has arrived */
  GList *subscriptions;
};

uint64_t
dl_object_era_current (const DlObjectEra *era)
{
  return era->current;
}

static void
notify (const DlObjectEra *era)
{
  for (const GList *l = era->subscriptions; l != NULL; l = l->next)
    {
      const Subscription *s = l->data;

      s->func (s->data);
    }
}

bool
dl_object_era_observe (DlObjectEra *era, uint64_t number)
{
  bool is_first = !era->observed;

  era->observed = true;
  if (number <= era->current)
    return number == era->current;
  if (!is_first && number - era->current > STEP_MAX)
    {
      dl_log (DL_EVENT_OBJECT_ERA_REFUSED, DL_UINT ("era", era->current),
              DL_UINT ("told", number));
      return false;
    }
  era->current = number;
  if (is_first)
    return true;
  dl_metric_add (&metric_eras, 1);
  notify (era);
  return true;
}

static int
subscription_destroy (Subscription *s)
{
  if (s->era != NULL)
    s->era->subscriptions = g_list_remove (s->era->subscriptions, s);
  return 0;
}

void
dl_object_era_subscribe (DlObjectEra *era,
                         const void *owner,
                         void (*func) (void *data),
                         void *data)
{
  Subscription *s = talloc_zero (owner, Subscription);

  g_assert (s != NULL);
  s->era = era;
  s->func = func;
  s->data = data;
  era->subscriptions = g_list_append (era->subscriptions, s);
  talloc_set_destructor (s, subscription_destroy);
}

static int
era_destroy (DlObjectEra *era)
{
  for (GList *l = era->subscriptions; l != NULL; l = l->next)
    ((Subscription *)l->data)->era = NULL;
  g_list_free (era->subscriptions);
  return 0;
}

DlObjectEra *
dl_object_era_new (const void *owner)
{
  DlObjectEra *era = talloc_zero (owner, DlObjectEra);

  g_assert (era != NULL);
  talloc_set_destructor (era, era_destroy);
  return era;
}
