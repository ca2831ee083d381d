#include "kernel/members.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/settings.h"
#include "policy/rendezvous.h"

#define HOSTS_MAX 100000

typedef struct
{
  const char *name;
  int role; /* index into role_choices */
  const char *region;
  const char *data_center;
  const char *address;
  const char *http;
  const char *service;
  bool leaving;
} HostFields;

typedef struct
{
  uint64_t revision;
  DlSettingList hosts;
} ListFields;

static const char *const role_choices[] = { "entry", "slot", NULL };
static const Daisyloft__Wire__Role role_values[] = {
  DAISYLOFT__WIRE__ROLE__ROLE_ENTRY,
  DAISYLOFT__WIRE__ROLE__ROLE_SLOT,
};

static const DlSettingSpec host_specs[] = {
  {
      .key = "name",
      .type = DL_SETTING_STRING,
      .offset = offsetof (HostFields, name),
      .required = true,
  },
  {
      .key = "role",
      .type = DL_SETTING_CHOICE,
      .offset = offsetof (HostFields, role),
      .choices = role_choices,
      .required = true,
  },
  {
      .key = "region",
      .type = DL_SETTING_STRING,
      .offset = offsetof (HostFields, region),
      .required = true,
  },
  {
      .key = "data_center",
      .type = DL_SETTING_STRING,
      .offset = offsetof (HostFields, data_center),
      .required = true,
  },
  {
      .key = "address",
      .type = DL_SETTING_ADDRESS,
      .offset = offsetof (HostFields, address),
      .required = true,
  },
  {
      .key = "http",
      .type = DL_SETTING_STRING,
      .offset = offsetof (HostFields, http),
      .fallback_text = "",
  },
  {
      .key = "service",
      .type = DL_SETTING_STRING,
      .offset = offsetof (HostFields, service),
      .fallback_text = "",
  },
  {
      .key = "leaving",
      .type = DL_SETTING_BOOL,
      .offset = offsetof (HostFields, leaving),
  },
  { 0 },
};

static const DlSettingSpec list_specs[] = {
  {
      .key = "revision",
      .type = DL_SETTING_UINT,
      .offset = offsetof (ListFields, revision),
      .required = true,
  },
  {
      .key = "hosts",
      .type = DL_SETTING_OBJECTS,
      .offset = offsetof (ListFields, hosts),
      .required = true,
      .maximum = HOSTS_MAX,
      .fields = host_specs,
      .element_bytes = sizeof (HostFields),
  },
  { 0 },
};

static int
compare_names (const void *a, const void *b)
{
  return strcmp (((const DlMember *)a)->name, ((const DlMember *)b)->name);
}

/* Sorts by name and drops duplicate names. */
static void
members_sort (DlMembers *members)
{
  size_t kept = 0;

  qsort (members->members, members->count, sizeof (DlMember), compare_names);
  for (size_t i = 0; i < members->count; i++)
    if (kept == 0
        || strcmp (members->members[kept - 1].name, members->members[i].name) != 0)
      members->members[kept++] = members->members[i];
  members->count = kept;
}

static DlMembers *
members_new (const void *context, uint64_t revision, size_t count)
{
  DlMembers *members = talloc_zero (context, DlMembers);

  g_assert (members != NULL);
  members->revision = revision;
  members->count = count;
  members->members = talloc_zero_array (members, DlMember, MAX (count, 1));
  return members;
}

int
dl_members_from_json (const void *context, DlStr text, DlMembers **result, char **error)
{
  ListFields list = { 0 };
  void *scratch = talloc_new (context);
  int status = dl_settings_parse (scratch, "host list", text, list_specs, &list, error);
  DlMembers *members;

  if (status < 0)
    {
      talloc_steal (context, *error);
      talloc_free (scratch);
      return status;
    }
  members = members_new (context, list.revision, list.hosts.count);
  for (size_t i = 0; i < members->count; i++)
    {
      const HostFields *h = (const HostFields *)list.hosts.items + i;

      members->members[i] = (DlMember){
        .name = talloc_strdup (members, h->name),
        .role = role_values[h->role],
        .region = talloc_strdup (members, h->region),
        .data_center = talloc_strdup (members, h->data_center),
        .address = talloc_strdup (members, h->address),
        .http = talloc_strdup (members, h->http),
        .service = talloc_strdup (members, h->service),
        .leaving = h->leaving,
      };
    }
  talloc_free (scratch);
  members_sort (members);
  *result = members;
  return 0;
}

int
dl_members_from_wire (const void *context,
                      const Daisyloft__Wire__Members *wire,
                      DlMembers **result)
{
  DlMembers *members;

  if (wire->n_members > HOSTS_MAX)
    return DL_ERR_MALFORMED;
  members = members_new (context, wire->revision, wire->n_members);
  for (size_t i = 0; i < members->count; i++)
    {
      const Daisyloft__Wire__Member *m = wire->members[i];

      members->members[i] = (DlMember){
        .name = talloc_strdup (members, m->name),
        .role = m->role,
        .region = talloc_strdup (members, m->region),
        .data_center = talloc_strdup (members, m->data_center),
        .address = talloc_strdup (members, m->address),
        .http = talloc_strdup (members, m->http_address),
        .service = talloc_strdup (members, m->service),
        .leaving = m->leaving,
      };
    }
  members_sort (members);
  *result = members;
  return 0;
}

Daisyloft__Wire__Members *
dl_members_to_wire (const void *context, const DlMembers *members)
{
  Daisyloft__Wire__Members *wire = talloc (context, Daisyloft__Wire__Members);

  g_assert (wire != NULL);
  daisyloft__wire__members__init (wire);
  wire->revision = members->revision;
  wire->n_members = members->count;
  wire->members = talloc_array (wire, Daisyloft__Wire__Member *, MAX (members->count, 1));
  for (size_t i = 0; i < members->count; i++)
    {
      const DlMember *from = &members->members[i];
      Daisyloft__Wire__Member *m = talloc (wire, Daisyloft__Wire__Member);

      daisyloft__wire__member__init (m);
      m->name = from->name;
      m->role = from->role;
      m->region = from->region;
      m->data_center = from->data_center;
      m->address = from->address;
      m->http_address = from->http;
      m->service = from->service;
      m->leaving = from->leaving;
      wire->members[i] = m;
    }
  return wire;
}

const DlMember *
dl_members_find (const DlMembers *members, const char *name)
{
  DlMember key = { .name = (char *)name };

  return bsearch (&key, members->members, members->count, sizeof (DlMember),
                  compare_names);
}

typedef enum
{
  SCOPE_DATA_CENTER,
  SCOPE_REGION,
  SCOPE_ALL,
} Scope;

static bool
in_scope (const DlMember *m, Scope scope, const char *region, const char *data_center)
{
  switch (scope)
    {
    case SCOPE_DATA_CENTER:
      return strcmp (m->data_center, data_center) == 0;
    case SCOPE_REGION:
      return strcmp (m->region, region) == 0;
    case SCOPE_ALL:
      return true;
    }
  return false;
}

/* Inserts M into RELAYS, sorted by descending score.  Returns the new count. */
static size_t
insert_relay (const DlMember *relays[DL_RELAYS],
              uint64_t scores[DL_RELAYS],
              size_t count,
              const DlMember *m,
              uint64_t score)
{
  size_t at = count;

  while (at > 0 && scores[at - 1] < score)
    at--;
  if (at >= DL_RELAYS)
    return count;
  if (count < DL_RELAYS)
    count++;
  for (size_t i = count - 1; i > at; i--)
    {
      relays[i] = relays[i - 1];
      scores[i] = scores[i - 1];
    }
  relays[at] = m;
  scores[at] = score;
  return count;
}

size_t
dl_members_relays (const DlMembers *members,
                   const char *region,
                   const char *data_center,
                   const DlMember *relays[DL_RELAYS])
{
  uint64_t scores[DL_RELAYS] = { 0 };
  size_t count = 0;

  for (Scope scope = SCOPE_DATA_CENTER; scope <= SCOPE_ALL && count == 0; scope++)
    for (size_t i = 0; i < members->count; i++)
      {
        const DlMember *m = &members->members[i];

        if (m->role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY && !m->leaving
            && in_scope (m, scope, region, data_center))
          count = insert_relay (relays, scores, count, m,
                                dl_rendezvous_score (dl_str (data_center),
                                                     dl_str (m->name)));
      }
  return count;
}
