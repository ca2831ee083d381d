/*
 * Selects the relays that an entry connects to.
 *
 * These are the relays of its own data centre.  An entry that reads from the platform
 * itself, because it is a relay or has no open link, also connects to one relay in each
 * of a few other data centres.  An entry without an open link also connects to the seeds.
 */
#include <string.h>
#include <talloc.h>

#include "policy/names.h"
#include "policy/rendezvous.h"
#include "relay.h"

/* A relay connects to one relay in each of this many other data centres. */
#define OTHER_DATA_CENTERS 3

/* Adds up to LIMIT relays of a data centre to SELECTED. */
static void
select_relays (const Relay *relay,
               void *scratch,
               const ControlDataCenter *dc,
               size_t limit,
               DlNames *selected)
{
  const DlMember *relays[DL_RELAYS];
  const char *self = entry_settings (relay->task)->name;
  size_t count = dl_members_relays (relay->members->members.members, dc->region,
                                    dc->data_center, relays);

  for (size_t i = 0; i < count && limit > 0; i++)
    if (strcmp (relays[i]->name, self) != 0)
      {
        dl_names_add (scratch, selected, relays[i]->address);
        limit--;
      }
}

/* Each process ranks the other data centres by its own hash, so that the links spread
 * over all of them. */
static void
select_other_data_centers (const Relay *relay, void *scratch, DlNames *selected)
{
  const EntrySettings *settings = entry_settings (relay->task);
  size_t count;
  ControlDataCenter *dcs
      = control_data_centers (scratch, relay->members->members.members, &count);

  for (size_t n = 0; n < OTHER_DATA_CENTERS; n++)
    {
      uint64_t best_score = 0;
      ControlDataCenter *best = NULL;

      for (size_t i = 0; i < count; i++)
        {
          uint64_t score;

          if (dcs[i].data_center == NULL
              || strcmp (dcs[i].data_center, settings->data_center) == 0)
            continue;
          score = dl_rendezvous_score (dl_str (settings->name),
                                       dl_str (dcs[i].data_center));
          if (best == NULL || score > best_score)
            {
              best = &dcs[i];
              best_score = score;
            }
        }
      if (best == NULL)
        return;
      select_relays (relay, scratch, best, 1, selected);
      best->data_center = NULL; /* selected */
    }
}

static void
select_seeds (const Relay *relay, void *scratch, DlNames *selected)
{
  const EntrySettings *settings = entry_settings (relay->task);
  const char **seeds = settings->seeds.items;

  for (size_t i = 0; i < settings->seeds.count; i++)
    if (strcmp (seeds[i], settings->advertise) != 0
        && strcmp (seeds[i], settings->listen) != 0)
      dl_names_add (scratch, selected, seeds[i]);
}

static void
select_links (const Relay *relay, void *scratch, DlNames *selected)
{
  const EntrySettings *settings = entry_settings (relay->task);
  const DlMembers *members
      = relay->members != NULL ? relay->members->members.members : NULL;
  const ControlDataCenter own
      = { .region = settings->region, .data_center = settings->data_center };

  if (members != NULL)
    {
      select_relays (relay, scratch, &own, DL_RELAYS, selected);
      if (control_reads_platform (relay->task, members, relay->open_links))
        select_other_data_centers (relay, scratch, selected);
    }
  if (relay->open_links == 0)
    select_seeds (relay, scratch, selected);
}

static bool
has_link (const Relay *relay, const char *address)
{
  for (guint i = 0; i < relay->links->len; i++)
    {
      const Link *link = g_ptr_array_index (relay->links, i);

      if (link->address != NULL && strcmp (link->address, address) == 0)
        return true;
    }
  return false;
}

static void
start_link (Relay *relay, const char *address)
{
  Link *link = relay_link_new (relay, NULL, address);

  link->conn = dl_conn_connect (relay->task, link, dl_str (link->address),
                                entry_identity (relay->task),
                                DAISYLOFT__WIRE__PURPOSE__PURPOSE_RELAY,
                                &relay_link_handler, link);
}

static bool
has_open_selected (const Relay *relay, const DlNames *selected)
{
  for (guint i = 0; i < relay->links->len; i++)
    {
      const Link *link = g_ptr_array_index (relay->links, i);

      if (link->address != NULL && link->open
          && dl_names_contains (selected, link->address))
        return true;
    }
  return false;
}

static void
drop_unselected (Relay *relay, const DlNames *selected)
{
  for (guint i = relay->links->len; i > 0; i--)
    {
      Link *link = g_ptr_array_index (relay->links, i - 1);

      if (link->address != NULL && !dl_names_contains (selected, link->address))
        relay_link_free (link);
    }
}

void
relay_links_update (Relay *relay)
{
  void *scratch = talloc_new (NULL);
  DlNames selected = { 0 };

  select_links (relay, scratch, &selected);
  /* Links that are no longer selected stay until a selected one is open. */
  if (relay->members != NULL && has_open_selected (relay, &selected))
    drop_unselected (relay, &selected);
  for (size_t i = 0; i < selected.count; i++)
    if (!has_link (relay, selected.names[i]))
      start_link (relay, selected.names[i]);
  talloc_free (scratch);
}
