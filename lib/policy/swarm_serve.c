/*
 * Requests from other hosts: the upload queue, and the announcements of this host.
 */
#include "policy/swarm_private.h"

#define REFUSE_RETRY_MS 50

static void
refuse (DlSwarm *swarm, const Host *host, uint32_t position, uint32_t retry_ms)
{
  swarm_emit (swarm, (DlSwarmAction){ .type = DL_SWARM_REFUSE,
                                      .host = host->name,
                                      .refuse = { .index = index_of (position),
                                                  .retry_ms = retry_ms } });
}

/* Removes the host's request for the position from the list; true if it was there. */
static bool
remove_request (GArray *list, const Host *host, uint32_t position)
{
  for (guint i = 0; i < list->len; i++)
    {
      const Upload *upload = &g_array_index (list, Upload, i);

      if (upload->host != host || upload->position != position)
        continue;
      g_array_remove_index (list, i);
      return true;
    }
  return false;
}

/* True when A is to be sent before B.  Uploads to other regions come first, then chunks
 * that fewer hosts hold, then the host that holds fewer chunks, so that none falls
 * behind, then the older request. */
static bool
upload_before (const DlSwarm *swarm, const Upload *a, const Upload *b)
{
  bool a_is_remote = !a->host->same_region;
  bool b_is_remote = !b->host->same_region;
  uint32_t a_copies = swarm->chunks[a->position].copies;
  uint32_t b_copies = swarm->chunks[b->position].copies;

  if (a_is_remote != b_is_remote)
    return a_is_remote;
  if (a_copies != b_copies)
    return a_copies < b_copies;
  if (a->host->have_count != b->host->have_count)
    return a->host->have_count < b->host->have_count;
  return a->since_us < b->since_us;
}

/* Queues the request.  If the queue is too long, refuses the one that would be sent last,
 * unless its host waited for the chunk. */
static void
queue_upload (DlSwarm *swarm, const Upload *upload)
{
  guint last = 0;

  g_array_append_vals (swarm->uploads, upload, 1);
  if (swarm->uploads->len <= QUEUE_MAX)
    return;
  for (guint i = 1; i < swarm->uploads->len; i++)
    if (!upload_before (swarm, &g_array_index (swarm->uploads, Upload, i),
                        &g_array_index (swarm->uploads, Upload, last)))
      last = i;
  if (g_array_index (swarm->uploads, Upload, last).wait)
    return;
  refuse (swarm, g_array_index (swarm->uploads, Upload, last).host,
          g_array_index (swarm->uploads, Upload, last).position, REFUSE_RETRY_MS);
  g_array_remove_index (swarm->uploads, last);
}

void
dl_swarm_peer_wants (
    DlSwarm *swarm, const char *name, uint32_t index, bool wait, uint64_t now_us)
{
  Host *host = swarm_get_host (swarm, name);
  uint32_t position = position_of (index);
  Upload upload
      = { .host = host, .position = position, .wait = wait, .since_us = now_us };

  host->message_us = now_us;
  if (!host->connected)
    return;
  if (swarm->has_manifest && position >= swarm->count)
    {
      refuse (swarm, host, position, 0);
      return;
    }
  remove_request (swarm->uploads, host, position);
  remove_request (swarm->waiters, host, position);
  if (dl_swarm_holds (swarm, index))
    queue_upload (swarm, &upload);
  else if (wait && !swarm->unreachable)
    g_array_append_val (swarm->waiters, upload);
  else
    refuse (swarm, host, position, 0);
}

void
dl_swarm_peer_cancels (DlSwarm *swarm, const char *name, uint32_t index)
{
  Host *host = swarm_get_host (swarm, name);

  remove_request (swarm->uploads, host, position_of (index));
  remove_request (swarm->waiters, host, position_of (index));
}

void
swarm_drop_requests (DlSwarm *swarm, const Host *host)
{
  for (guint i = swarm->uploads->len; i > 0; i--)
    if (g_array_index (swarm->uploads, Upload, i - 1).host == host)
      g_array_remove_index (swarm->uploads, i - 1);
  for (guint i = swarm->waiters->len; i > 0; i--)
    if (g_array_index (swarm->waiters, Upload, i - 1).host == host)
      g_array_remove_index (swarm->waiters, i - 1);
}

void
swarm_queue_waiters (DlSwarm *swarm, uint32_t position)
{
  for (guint i = 0; i < swarm->waiters->len;)
    {
      Upload upload = g_array_index (swarm->waiters, Upload, i);

      if (upload.position != position)
        {
          i++;
          continue;
        }
      g_array_remove_index (swarm->waiters, i);
      g_array_append_val (swarm->uploads, upload);
    }
}

void
swarm_refuse_waiters (DlSwarm *swarm, uint32_t retry_ms)
{
  for (guint i = 0; i < swarm->waiters->len; i++)
    {
      const Upload *upload = &g_array_index (swarm->waiters, Upload, i);

      refuse (swarm, upload->host, upload->position, retry_ms);
    }
  g_array_set_size (swarm->waiters, 0);
}

/* Index of the next upload that the budget between regions allows, or the length of the
 * queue. */
static guint
choose_upload (DlSwarm *swarm, uint64_t now_us)
{
  bool may_send_remote = dl_budget_ready (swarm->options.budgets.region_up, now_us);
  guint best = swarm->uploads->len;

  for (guint i = 0; i < swarm->uploads->len; i++)
    {
      const Upload *upload = &g_array_index (swarm->uploads, Upload, i);

      if (!upload->host->same_region && !may_send_remote)
        continue;
      if (best == swarm->uploads->len
          || upload_before (swarm, upload, &g_array_index (swarm->uploads, Upload, best)))
        best = i;
    }
  return best;
}

static void
send_upload (DlSwarm *swarm, guint at, uint64_t now_us)
{
  Upload upload = g_array_index (swarm->uploads, Upload, at);
  uint32_t bytes = swarm->chunks[upload.position].bytes;

  g_array_remove_index (swarm->uploads, at);
  dl_budget_charge (swarm->options.budgets.up, bytes, now_us);
  if (!upload.host->same_region)
    dl_budget_charge (swarm->options.budgets.region_up, bytes, now_us);
  swarm_emit (swarm, (DlSwarmAction){ .type = DL_SWARM_SEND,
                                      .host = upload.host->name,
                                      .send = { .index = index_of (upload.position),
                                                .queue = swarm->uploads->len } });
  /* The receiver will hold the chunk: it needs no announcement of it, and counts as a
   * copy. */
  dl_swarm_peer_has (swarm, upload.host->name, index_of (upload.position));
}

uint64_t
swarm_run_uploads (DlSwarm *swarm, uint64_t now_us)
{
  while (swarm->uploads->len > 0 && dl_budget_ready (swarm->options.budgets.up, now_us))
    {
      guint at = choose_upload (swarm, now_us);

      if (at == swarm->uploads->len)
        return now_us + dl_budget_wait_us (swarm->options.budgets.region_up, now_us);
      send_upload (swarm, at, now_us);
    }
  if (swarm->uploads->len == 0)
    return SWARM_NEVER;
  return now_us + dl_budget_wait_us (swarm->options.budgets.up, now_us);
}

/* Announces to every connected host the chunks verified since the last announcement.  A
 * host of another region gets one announcement without chunks per connection, which says
 * that this host has switched to the version. */
void
swarm_run_announcements (DlSwarm *swarm)
{
  for (guint h = 0; h < swarm->hosts->len; h++)
    {
      Host *host = g_ptr_array_index (swarm->hosts, h);

      if (!host->connected || (host->have_sent && host->unannounced->len == 0))
        continue;
      for (uint32_t i = 0; i < swarm->count && host->same_region && !host->have_sent; i++)
        {
          uint32_t index = index_of (i);

          if (swarm->chunks[i].state == CHUNK_HELD)
            g_array_append_val (host->unannounced, index);
        }
      host->have_sent = true;
      swarm_emit (swarm, (DlSwarmAction){ .type = DL_SWARM_HAVE, .host = host->name });
    }
}
