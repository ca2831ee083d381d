#include "kernel/fleet.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#define SERVICES_MAX      256
#define ORGANISATIONS_MAX 10000
#define PRIORITIES_MAX    16
#define REQUESTS_MAX      1000000 /* of settings that count requests, also per second */
#define HISTORY_MAX       64      /* records of changes */

static const char *const service_kinds[] = { "model", "plain", NULL };
static const char *const weigh_choices[] = { "time", "origin-bytes", NULL };

static const DlSettingSpec service_specs[] = {
  {
      .key = "name",
      .type = DL_SETTING_STRING,
      .offset = offsetof (DlService, name),
      .required = true,
  },
  {
      .key = "kind",
      .type = DL_SETTING_CHOICE,
      .offset = offsetof (DlService, kind),
      .choices = service_kinds,
      .required = true,
  },
  {
      .key = "non_idempotent",
      .type = DL_SETTING_STRINGS,
      .offset = offsetof (DlService, non_idempotent),
      .maximum = 1000,
  },
  {
      .key = "capacity",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlService, capacity),
      .maximum = REQUESTS_MAX,
  },
  {
      .key = "queue",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlService, queue),
      .maximum = REQUESTS_MAX,
      .fallback = 4,
  },
  {
      .key = "route_by_prefix",
      .type = DL_SETTING_BOOL,
      .offset = offsetof (DlService, route_by_prefix),
      .fallback = true,
  },
  { 0 },
};

static const DlSettingSpec organisation_specs[] = {
  {
      .key = "name",
      .type = DL_SETTING_STRING,
      .offset = offsetof (DlOrganisation, name),
      .required = true,
  },
  {
      .key = "weight",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlOrganisation, weight),
      .minimum = 1,
      .maximum = 1000,
      .fallback = 1,
  },
  {
      .key = "max_requests_per_s",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlOrganisation, max_requests_per_s),
      .minimum = 1,
      .maximum = REQUESTS_MAX,
      .required = true,
  },
  {
      .key = "burst",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlOrganisation, burst),
      .minimum = 1,
      .maximum = REQUESTS_MAX,
      .fallback = 100,
  },
  { 0 },
};

static const DlSettingSpec change_specs[] = {
  {
      .key = "at_ms",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlSettingsChange, at_ms),
      .required = true,
  },
  {
      .key = "by",
      .type = DL_SETTING_STRING,
      .offset = offsetof (DlSettingsChange, by),
      .required = true,
  },
  {
      .key = "command",
      .type = DL_SETTING_STRING,
      .offset = offsetof (DlSettingsChange, command),
      .required = true,
  },
  {
      .key = "what",
      .type = DL_SETTING_STRING,
      .offset = offsetof (DlSettingsChange, what),
      .required = true,
  },
  { 0 },
};

static const DlSettingSpec fleet_specs[] = {
  {
      .key = "services",
      .type = DL_SETTING_OBJECTS,
      .offset = offsetof (DlFleet, services),
      .required = true,
      .maximum = SERVICES_MAX,
      .fields = service_specs,
      .element_bytes = sizeof (DlService),
  },
  {
      .key = "organisations",
      .type = DL_SETTING_OBJECTS,
      .offset = offsetof (DlFleet, organisations),
      .required = true,
      .maximum = ORGANISATIONS_MAX,
      .fields = organisation_specs,
      .element_bytes = sizeof (DlOrganisation),
  },
  {
      .key = "priorities",
      .type = DL_SETTING_STRINGS,
      .offset = offsetof (DlFleet, priorities),
      .required = true,
      .minimum = 1,
      .maximum = PRIORITIES_MAX,
  },
  {
      .key = "retry_percent",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlFleet, retry_percent),
      .maximum = 100,
      .fallback = 10,
  },
  {
      .key = "address_keep_s",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlFleet, address_keep_s),
      .minimum = 1,
      .maximum = 3600,
      .fallback = 10,
  },
  {
      .key = "weigh",
      .type = DL_SETTING_CHOICE,
      .offset = offsetof (DlFleet, weigh),
      .choices = weigh_choices,
  },
  {
      .key = "wave_percent",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlFleet, wave_percent),
      .minimum = 1,
      .maximum = 100,
      .fallback = 34,
  },
  {
      .key = "home_region",
      .type = DL_SETTING_STRING,
      .offset = offsetof (DlFleet, home_region),
      .required = true,
  },
  {
      .key = "history",
      .type = DL_SETTING_OBJECTS,
      .offset = offsetof (DlFleet, history),
      .maximum = HISTORY_MAX,
      .fields = change_specs,
      .element_bytes = sizeof (DlSettingsChange),
  },
  { 0 },
};

static int
fail (const void *context,
      const char *source,
      const char *key,
      const char *value,
      const char *reason,
      char **error)
{
  *error = talloc_asprintf (context, "%s: %s: \"%s\" %s", source, key, value, reason);
  dl_text_make_printable (*error);
  return -EINVAL;
}

/* Returns a name that two elements have, or NULL.  The name must be the first member of
 * the elements. */
static const char *
find_duplicate_name (const DlSettingList *list, size_t element_bytes)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  const char *duplicate = NULL;

  for (size_t i = 0; i < list->count && duplicate == NULL; i++)
    {
      char *name = *(char **)((char *)list->items + i * element_bytes);

      if (!g_hash_table_add (names, name))
        duplicate = name;
    }
  g_hash_table_destroy (names);
  return duplicate;
}

static bool
call_is_well_formed (const char *call)
{
  const char *space = strchr (call, ' ');

  return space != NULL && space > call && space[1] == '/';
}

static int
check_services (const void *context,
                const char *source,
                const DlFleet *fleet,
                char **error)
{
  for (size_t i = 0; i < fleet->services.count; i++)
    {
      const DlService *s = (const DlService *)fleet->services.items + i;

      if (s->kind == DL_SERVICE_MODEL && s->non_idempotent.count > 0)
        return fail (context, source, "non_idempotent", s->name,
                     "is a model service, whose calls are idempotent", error);
      for (size_t j = 0; j < s->non_idempotent.count; j++)
        {
          const char *call = ((const char **)s->non_idempotent.items)[j];

          if (!call_is_well_formed (call))
            return fail (context, source, "non_idempotent", call,
                         "is not of the form \"METHOD /path\"", error);
        }
    }
  return 0;
}

static int
check_fleet (const void *context, const char *source, const DlFleet *fleet, char **error)
{
  const char *duplicate;

  if ((duplicate = find_duplicate_name (&fleet->services, sizeof (DlService))) != NULL)
    return fail (context, source, "services", duplicate, "stands twice", error);
  if ((duplicate = find_duplicate_name (&fleet->organisations, sizeof (DlOrganisation)))
      != NULL)
    return fail (context, source, "organisations", duplicate, "stands twice", error);
  if ((duplicate = find_duplicate_name (&fleet->priorities, sizeof (char *))) != NULL)
    return fail (context, source, "priorities", duplicate, "stands twice", error);
  return check_services (context, source, fleet, error);
}

int
dl_fleet_parse (
    const void *context, const char *source, DlStr text, DlFleet **result, char **error)
{
  DlFleet *fleet = talloc_zero (context, DlFleet);
  int status = dl_settings_parse (fleet, source, text, fleet_specs, fleet, error);

  if (status == 0)
    status = check_fleet (fleet, source, fleet, error);
  if (status < 0)
    {
      talloc_steal (context, *error);
      talloc_free (fleet);
      return status;
    }
  *result = fleet;
  return 0;
}

DlFleet *
dl_fleet_default (const void *context)
{
  DlFleet *fleet = NULL;
  char *error = NULL;

  dl_fleet_parse (context, "default",
                  DL_STR_LITERAL (
                      "{\"services\":[],\"organisations\":[],"
                      "\"priorities\":[\"normal\"],\"home_region\":\"none\"}"),
                  &fleet, &error);
  g_assert (fleet != NULL);
  return fleet;
}

const DlService *
dl_fleet_service (const DlFleet *fleet, const char *name)
{
  for (size_t i = 0; i < fleet->services.count; i++)
    {
      const DlService *s = (const DlService *)fleet->services.items + i;

      if (strcmp (s->name, name) == 0)
        return s;
    }
  return NULL;
}

const DlOrganisation *
dl_fleet_organisation (const DlFleet *fleet, const char *name)
{
  for (size_t i = 0; i < fleet->organisations.count; i++)
    {
      const DlOrganisation *o = (const DlOrganisation *)fleet->organisations.items + i;

      if (strcmp (o->name, name) == 0)
        return o;
    }
  return NULL;
}

int
dl_fleet_priority (const DlFleet *fleet, const char *name)
{
  const char **names = fleet->priorities.items;

  if (name == NULL)
    return (int)fleet->priorities.count - 1;
  for (size_t i = 0; i < fleet->priorities.count; i++)
    if (strcmp (names[i], name) == 0)
      return (int)i;
  return -ENOENT;
}

bool
dl_service_call_is_non_idempotent (const DlService *service,
                                   const char *method,
                                   const char *path)
{
  size_t method_length = strlen (method);

  for (size_t i = 0; i < service->non_idempotent.count; i++)
    {
      const char *call = ((const char **)service->non_idempotent.items)[i];

      if (strncmp (call, method, method_length) == 0 && call[method_length] == ' '
          && g_str_has_prefix (path, call + method_length + 1))
        return true;
    }
  return false;
}
