/*
 * Responds with the addresses of the entries that callers should use.  Entries that are
 * not overloaded come first, then those in the caller's region; equal ones come in random
 * order to spread the callers.
 */
#include <string.h>
#include <talloc.h>

#include "callers.h"
#include "policy/route.h"

#define ADDRESSES_MAX     4
#define OVERLOAD_REQUESTS 512 /* another entry with more in progress is listed last */

/* An entry with the keys that it is sorted by. */
typedef struct
{
  const DlMember *member;
  DlDistance distance;
  bool overloaded; /* or leaving by its own status */
  uint64_t random;
} RankedEntry;

static gint
compare_entries (gconstpointer a, gconstpointer b)
{
  const RankedEntry *x = a;
  const RankedEntry *y = b;

  if (x->overloaded != y->overloaded)
    return x->overloaded ? 1 : -1;
  if (x->distance != y->distance)
    return x->distance < y->distance ? -1 : 1;
  if (x->random == y->random)
    return 0;
  return x->random < y->random ? -1 : 1;
}

/* Distance from the region that the caller gave, or else from this entry. */
static DlDistance
distance_to_caller (const CallersTask *t, const char *region, const DlMember *m)
{
  if (region != NULL && strcmp (region, t->settings->region) != 0)
    return strcmp (region, m->region) == 0 ? DL_DISTANCE_SAME_REGION
                                           : DL_DISTANCE_OTHER_REGION;
  return dl_route_distance (t->settings->region, t->settings->data_center, m->region,
                            m->data_center);
}

/* Returns true when the requests in progress exceed half of the caller connections that
 * this entry allows. */
static bool
is_overloaded_self (const CallersTask *t)
{
  return (uint64_t)dl_http_server_active_requests (t->server) * 2
         > t->settings->max_callers;
}

/* Ranks by region, not by data centre: all data centres of the caller's region serve it
 * about equally well.  The load of another entry is known only from its status. */
static RankedEntry
rank_entry (const CallersTask *t, const char *region, const DlMember *m)
{
  const EntryMessage *status = g_hash_table_lookup (t->entry_status, m->name);
  DlDistance distance = distance_to_caller (t, region, m);
  RankedEntry r = {
    .member = m,
    .distance = MAX (distance, DL_DISTANCE_SAME_REGION),
    .random = dl_random_uint64 (),
  };

  if (status != NULL)
    r.overloaded = status->entry_status.status->requests_running > OVERLOAD_REQUESTS
                   || status->entry_status.status->leaving;
  if (strcmp (m->name, t->settings->name) == 0)
    r.overloaded = is_overloaded_self (t);
  return r;
}

static GArray *
rank_entries (const CallersTask *t, const char *region)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (RankedEntry));
  const DlMembers *members = t->members != NULL ? t->members->members.members : NULL;

  for (size_t i = 0; members != NULL && i < members->count; i++)
    {
      const DlMember *m = &members->members[i];
      RankedEntry r;

      if (m->role != DAISYLOFT__WIRE__ROLE__ROLE_ENTRY || m->leaving || *m->http == '\0')
        continue;
      /* The list lags behind this entry's own state. */
      if (t->stopping && strcmp (m->name, t->settings->name) == 0)
        continue;
      r = rank_entry (t, region, m);
      g_array_append_val (ranked, r);
    }
  g_array_sort (ranked, compare_entries);
  return ranked;
}

/* Returns true when the caller gave a service that the fleet settings do not have. */
static bool
service_is_unknown (const CallersTask *t, const char *service)
{
  return service != NULL && t->fleet != NULL
         && dl_fleet_service (t->fleet->fleet.fleet, service) == NULL;
}

static void
reply_address (CallersTask *t, DlHttpRequest *http)
{
  GArray *ranked = rank_entries (t, dl_http_request_header (http, "X-Region"));
  json_object *response = json_object_new_object ();
  json_object *addresses = json_object_new_array ();
  uint64_t keep_s = t->fleet != NULL ? t->fleet->fleet.fleet->address_keep_s : 1;

  for (guint i = 0; i < ranked->len && i < ADDRESSES_MAX; i++)
    {
      const RankedEntry *r = &g_array_index (ranked, RankedEntry, i);

      json_object_array_add (addresses, json_object_new_string (r->member->http));
    }
  if (ranked->len == 0 && !t->stopping)
    json_object_array_add (addresses,
                           json_object_new_string (t->settings->callers_advertise));
  g_array_free (ranked, TRUE);
  json_object_object_add (response, "addresses", addresses);
  json_object_object_add (response, "keep_s", json_object_new_uint64 (keep_s));
  dl_http_reply_json (http, 200, response);
}

void
callers_reply_address (CallersTask *t, DlHttpRequest *http)
{
  const char *service = dl_http_request_query (http, "service");

  if (strcmp (dl_http_request_method (http), "GET") != 0)
    dl_http_reply_error (http, 405, 0, "/v1/address takes GET");
  else if (service_is_unknown (t, service))
    dl_http_reply_error (http, 404, 0, "there is no service %s", service);
  else
    reply_address (t, http);
}
