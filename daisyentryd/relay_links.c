/*
 * Which relays an entry dials: those of its data centre; a relay, or an entry that hears
 * none, also one of a few other data centres; and the seeds while nobody is heard.
 */
#include <string.h>
#include <talloc.h>

#include "policy/names.h"
#include "policy/rendezvous.h"
#include "relay.h"

/* Other data centres of which a relay hears one relay. */
#define OTHER_PLACES 3

static void
want_relays (const Relay *relay,
             void *scratch,
             const ControlDataCenter *place,
             size_t limit,
             DlNames *wanted)
{
  const DlMember *relays[DL_RELAYS];
  const char *self = entry_settings (relay->task)->name;
  size_t count = dl_members_relays (relay->members->members.members, place->region,
                                    place->data_center, relays);

  for (size_t i = 0; i < count && limit > 0; i++)
    if (strcmp (relays[i]->name, self) != 0)
      {
        dl_names_add (scratch, wanted, relays[i]->address);
        limit--;
      }
}

/* Each process ranks the other data centres for itself, so that all are connected. */
static void
want_other_places (const Relay *relay, void *scratch, DlNames *wanted)
{
  const EntrySettings *settings = entry_settings (relay->task);
  size_t count;
  ControlDataCenter *places
      = control_data_centers (scratch, relay->members->members.members, &count);

  for (size_t n = 0; n < OTHER_PLACES; n++)
    {
      uint64_t best_score = 0;
      ControlDataCenter *best = NULL;

      for (size_t i = 0; i < count; i++)
        {
          uint64_t score;

          if (places[i].data_center == NULL
              || strcmp (places[i].data_center, settings->data_center) == 0)
            continue;
          score = dl_rendezvous_score (dl_str (settings->name),
                                       dl_str (places[i].data_center));
          if (best == NULL || score > best_score)
            {
              best = &places[i];
              best_score = score;
            }
        }
      if (best == NULL)
        return;
      want_relays (relay, scratch, best, 1, wanted);
      best->data_center = NULL; /* taken */
    }
}

static void
want_seeds (const Relay *relay, void *scratch, DlNames *wanted)
{
  const EntrySettings *settings = entry_settings (relay->task);
  const char **seeds = settings->seeds.items;

  for (size_t i = 0; i < settings->seeds.count; i++)
    if (strcmp (seeds[i], settings->advertise) != 0
        && strcmp (seeds[i], settings->listen) != 0)
      dl_names_add (scratch, wanted, seeds[i]);
}

static void
want_links (const Relay *relay, void *scratch, DlNames *wanted)
{
  const EntrySettings *settings = entry_settings (relay->task);
  const DlMembers *members
      = relay->members != NULL ? relay->members->members.members : NULL;
  const ControlDataCenter own
      = { .region = settings->region, .data_center = settings->data_center };

  if (members != NULL)
    {
      want_relays (relay, scratch, &own, DL_RELAYS, wanted);
      if (control_reads_platform (relay->task, members, relay->open_links))
        want_other_places (relay, scratch, wanted);
    }
  if (relay->open_links == 0)
    want_seeds (relay, scratch, wanted);
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
dial (Relay *relay, const char *address)
{
  Link *link = relay_link_new (relay, NULL, address);

  link->conn = dl_conn_connect (relay->task, link, dl_str (link->address),
                                entry_identity (relay->task),
                                DAISYLOFT__WIRE__PURPOSE__PURPOSE_RELAY,
                                &relay_link_handler, link);
}

static bool
hears_wanted (const Relay *relay, const DlNames *wanted)
{
  for (guint i = 0; i < relay->links->len; i++)
    {
      const Link *link = g_ptr_array_index (relay->links, i);

      if (link->address != NULL && link->open
          && dl_names_contains (wanted, link->address))
        return true;
    }
  return false;
}

static void
drop_unwanted (Relay *relay, const DlNames *wanted)
{
  for (guint i = relay->links->len; i > 0; i--)
    {
      Link *link = g_ptr_array_index (relay->links, i - 1);

      if (link->address != NULL && !dl_names_contains (wanted, link->address))
        relay_link_free (link);
    }
}

void
relay_links_update (Relay *relay)
{
  void *scratch = talloc_new (NULL);
  DlNames wanted = { 0 };

  want_links (relay, scratch, &wanted);
  /* A link that is not wanted any more serves until a wanted one is open. */
  if (relay->members != NULL && hears_wanted (relay, &wanted))
    drop_unwanted (relay, &wanted);
  for (size_t i = 0; i < wanted.count; i++)
    if (!has_link (relay, wanted.names[i]))
      dial (relay, wanted.names[i]);
  talloc_free (scratch);
}
