/*
 * Rankings of the hosts for each chunk, and neighbours on the rings.
 */
#include <string.h>
#include <talloc.h>

#include "policy/rendezvous.h"
#include "policy/swarm_private.h"

/* When time is minimised, the region at position 0 of a group's tree, see
 * tree_position(), fetches the chunks of one group in this many from the origin too. */
#define SECOND_COPY_GROUPS 4

/* -------- rankings -------- */

static void
insert_ranked (Host *ranked[SWARM_RANKED],
               uint64_t scores[SWARM_RANKED],
               Host *host,
               uint64_t score)
{
  int at = SWARM_RANKED;

  while (at > 0 && (ranked[at - 1] == NULL || scores[at - 1] < score))
    at--;
  if (at == SWARM_RANKED)
    return;
  for (int i = SWARM_RANKED - 1; i > at; i--)
    {
      ranked[i] = ranked[i - 1];
      scores[i] = scores[i - 1];
    }
  ranked[at] = host;
  scores[at] = score;
}

static int
compare_texts (const void *a, const void *b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* Chooses the root region, lists the other regions with live hosts, and counts the live
 * hosts of this host's region. */
static void
list_regions (DlSwarm *swarm)
{
  GPtrArray *regions = swarm->regions;
  bool home_has_hosts = false;

  g_ptr_array_set_size (regions, 0);
  swarm->region_hosts = 0;
  for (guint i = 0; i < swarm->hosts->len; i++)
    {
      Host *host = g_ptr_array_index (swarm->hosts, i);

      swarm->region_hosts += host->live && host->same_region ? 1 : 0;
      if (host->live && strcmp (host->region, swarm->options.home_region) != 0)
        g_ptr_array_add (regions, host->region);
      else if (host->live)
        home_has_hosts = true;
    }
  g_ptr_array_sort (regions, compare_texts);
  for (guint i = regions->len; i > 1; i--)
    if (strcmp (g_ptr_array_index (regions, i - 1), g_ptr_array_index (regions, i - 2))
        == 0)
      g_ptr_array_remove_index (regions, i - 1);
  swarm->root = swarm->options.home_region;
  if (!home_has_hosts && regions->len > 0)
    swarm->root = g_ptr_array_remove_index (regions, 0);
  swarm->is_root = strcmp (swarm->options.region, swarm->root) == 0;
}

/*
 * A group's chunks spread from the root region to the others along a binary tree.  The
 * order of the regions in the tree rotates by one from group to group, so that all of
 * them send equally much.  Returns this region's position in the tree, and its parent in
 * *SOURCE.
 */
static guint
tree_position (const DlSwarm *swarm, uint32_t group, const char **source)
{
  guint n = swarm->regions->len;
  guint at = 0;

  *source = swarm->root;
  if (swarm->is_root || n == 0)
    return 0;
  while (at < n - 1
         && strcmp (g_ptr_array_index (swarm->regions, (at + group) % n),
                    swarm->options.region)
                != 0)
    at++;
  if (at > 0)
    *source = g_ptr_array_index (swarm->regions, ((at - 1) / 2 + group) % n);
  return at;
}

static void
rank_group (DlSwarm *swarm, uint32_t group)
{
  Ranking *ranking = &swarm->rankings[group];
  uint64_t own_scores[SWARM_RANKED] = { 0 };
  uint64_t source_scores[SWARM_RANKED] = { 0 };
  uint64_t root_scores[SWARM_RANKED] = { 0 };
  const char *source;
  char key[64];
  int length = g_snprintf (key, sizeof key, "chunk %u", group);

  *ranking = (Ranking){ 0 };
  ranking->from_origin
      = tree_position (swarm, group, &source) == 0
        && group / MAX (swarm->regions->len, 1) % SECOND_COPY_GROUPS == 0;
  for (guint i = 0; i < swarm->hosts->len; i++)
    {
      Host *host = g_ptr_array_index (swarm->hosts, i);
      uint64_t score;

      if (!host->live)
        continue;
      score
          = dl_rendezvous_score (dl_str_bytes (key, (size_t)length), dl_str (host->name));
      if (host->same_region)
        insert_ranked (ranking->own, own_scores, host, score);
      if (strcmp (host->region, source) == 0)
        insert_ranked (ranking->source, source_scores, host, score);
      if (strcmp (host->region, swarm->root) == 0)
        insert_ranked (ranking->root, root_scores, host, score);
    }
}

void
swarm_rank_groups (DlSwarm *swarm, uint32_t first)
{
  list_regions (swarm);
  swarm->ranking_count = MIN (swarm->count, SWARM_GROUPS);
  swarm->rankings
      = talloc_realloc (swarm, swarm->rankings, Ranking, swarm->ranking_count);
  for (uint32_t group = first; group < swarm->ranking_count; group++)
    rank_group (swarm, group);
}

Host *
swarm_first_available (DlSwarm *swarm,
                       Host *const ranking[SWARM_RANKED],
                       uint64_t now_us,
                       int *rank)
{
  Host *first = NULL;
  int at = 0;

  if (rank != NULL)
    *rank = SWARM_RANKED;
  for (int i = 0; i < SWARM_RANKED && ranking[i] != NULL; i++)
    {
      Host *host = ranking[i];

      if (!host->live || host_avoided (host)
          || (host != swarm->self && host->down_until_us > now_us))
        continue;
      if (first == NULL)
        first = host;
      if (host == swarm->self && rank != NULL)
        *rank = at;
      at++;
    }
  return first;
}

/* -------- rings -------- */

typedef struct
{
  Host *host;
  uint64_t score;
} RingMember;

static int
compare_members (const void *a, const void *b)
{
  const RingMember *x = a;
  const RingMember *y = b;

  if (x->score != y->score)
    return x->score < y->score ? -1 : 1;
  return strcmp (x->host->name, y->host->name);
}

static void
mark_ring_neighbours (DlSwarm *swarm, GArray *members, unsigned ring)
{
  char key[32];
  int length = g_snprintf (key, sizeof key, "ring %u", ring);
  guint n = members->len;

  for (guint i = 0; i < n; i++)
    {
      RingMember *member = &g_array_index (members, RingMember, i);

      member->score = dl_rendezvous_score (dl_str_bytes (key, (size_t)length),
                                           dl_str (member->host->name));
    }
  g_array_sort (members, compare_members);
  for (guint i = 0; i < n; i++)
    {
      if (g_array_index (members, RingMember, i).host != swarm->self)
        continue;
      g_array_index (members, RingMember, (i + 1) % n).host->neighbour = true;
      g_array_index (members, RingMember, (i + n - 1) % n).host->neighbour = true;
    }
}

void
swarm_choose_neighbours (DlSwarm *swarm)
{
  GArray *members = g_array_new (FALSE, FALSE, sizeof (RingMember));
  Host *self = swarm->self;

  for (guint i = 0; i < swarm->hosts->len; i++)
    {
      Host *host = g_ptr_array_index (swarm->hosts, i);

      host->neighbour = false;
      if (host->same_region && (host->live || host == self))
        {
          RingMember member = { .host = host };

          g_array_append_val (members, member);
        }
    }
  for (unsigned ring = 0; ring < SWARM_RINGS; ring++)
    mark_ring_neighbours (swarm, members, ring);
  self->neighbour = false;
  g_array_free (members, TRUE);
}
