/* What the tasks replica, members, relay and steer share. */
#include "control.h"

#include <string.h>
#include <talloc.h>

ControlMessage *
control_message_new (ControlMessageType type)
{
  return dl_message_new ((int)type, sizeof (ControlMessage));
}

bool
control_is_relay_of (const DlMembers *members,
                     const char *name,
                     const char *region,
                     const char *data_center)
{
  const DlMember *relays[DL_RELAYS];
  size_t count = dl_members_relays (members, region, data_center, relays);

  for (size_t i = 0; i < count; i++)
    if (strcmp (relays[i]->name, name) == 0)
      return true;
  return false;
}

static bool
has_place (const ControlDataCenter *places, size_t count, const char *data_center)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (places[i].data_center, data_center) == 0)
      return true;
  return false;
}

ControlDataCenter *
control_data_centers (const void *context, const DlMembers *members, size_t *count)
{
  ControlDataCenter *places = talloc_array (context, ControlDataCenter, 1);

  *count = 0;
  for (size_t i = 0; i < members->count; i++)
    {
      const DlMember *m = &members->members[i];

      if (has_place (places, *count, m->data_center))
        continue;
      places = talloc_realloc (context, places, ControlDataCenter, *count + 1);
      places[(*count)++]
          = (ControlDataCenter){ .region = m->region, .data_center = m->data_center };
    }
  return places;
}

bool
control_reads_platform (DlTask *task, const DlMembers *members, size_t open_links)
{
  const EntrySettings *settings = entry_settings (task);
  ControlDataCenter *places;
  bool relay = false;
  size_t count;

  if (members == NULL || open_links == 0)
    return true;
  places = control_data_centers (NULL, members, &count);
  for (size_t i = 0; i < count && !relay; i++)
    relay = control_is_relay_of (members, settings->name, places[i].region,
                                 places[i].data_center);
  talloc_free (places);
  return relay;
}
