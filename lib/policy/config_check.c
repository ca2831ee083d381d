#include "policy/config_check.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

DlConfigFindings *
dl_config_findings_new (const void *context)
{
  DlConfigFindings *findings = talloc_zero (context, DlConfigFindings);

  g_assert (findings != NULL);
  return findings;
}

void
dl_config_findings_add (DlConfigFindings *findings,
                        DlConfigSeverity severity,
                        DlConfigKind kind,
                        DlRoutingPart part,
                        const char *name,
                        const char *format,
                        ...)
{
  DlConfigFinding *finding;
  char *text;
  char *name_copy;
  va_list args;

  findings->counts[severity]++;
  if (findings->listed >= DL_CONFIG_LISTED_MAX)
    return;
  if (findings->items == NULL)
    findings->items = talloc_array (findings, DlConfigFinding, DL_CONFIG_LISTED_MAX);
  va_start (args, format);
  text = talloc_vasprintf (findings, format, args);
  va_end (args);
  dl_text_make_printable (text);
  name_copy = talloc_strdup (findings, name);
  dl_text_make_printable (name_copy);
  finding = &findings->items[findings->listed++];
  *finding = (DlConfigFinding){ severity, kind, part, name_copy, text };
}

const char *
dl_config_severity_name (DlConfigSeverity severity)
{
  static const char *const names[] = { "error", "warning", "difference" };

  return names[severity];
}

const char *
dl_config_kind_name (DlConfigKind kind)
{
  static const char *const names[] = {
    [DL_CONFIG_MALFORMED] = "malformed",
    [DL_CONFIG_LEFT_OUT] = "left-out",
    [DL_CONFIG_SHARED_KEY] = "shared-key",
    [DL_CONFIG_VERSION] = "version",
    [DL_CONFIG_UNKNOWN_SERVICE] = "unknown-service",
    [DL_CONFIG_NO_WEIGHT] = "no-weight",
    [DL_CONFIG_NEVER_MATCHES] = "never-matches",
    [DL_CONFIG_DUPLICATE_NAME] = "duplicate-name",
    [DL_CONFIG_UNUSED_SERVICE] = "unused-service",
    [DL_CONFIG_TARGET_OVER_TIMEOUT] = "target-over-timeout",
    [DL_CONFIG_ATTEMPTS] = "attempts",
    [DL_CONFIG_REGIONS_DISJOINT] = "regions-disjoint",
    [DL_CONFIG_UNKNOWN_REGION] = "unknown-region",
    [DL_CONFIG_EVACUATION] = "evacuation",
    [DL_CONFIG_ADDED] = "added",
    [DL_CONFIG_REMOVED] = "removed",
    [DL_CONFIG_CHANGED] = "changed",
  };

  return names[kind];
}

const char *
dl_routing_part_name (DlRoutingPart part)
{
  static const char *const names[]
      = { "configuration", "route", "service", "organisation" };

  return names[part];
}

#define ADD(severity, kind, part, ...)                                      \
  dl_config_findings_add (findings, DL_CONFIG_##severity, DL_CONFIG_##kind, \
                          DL_ROUTING_##part, __VA_ARGS__)

/* Returns the name of a route, or else its host and prefix, a talloc child of CONTEXT. */
static const char *
route_label (const void *context, const DlRouteEntry *route)
{
  return route->name != NULL
             ? route->name
             : talloc_asprintf (context, "%.*s%.*s", DL_STR_ARG (route->host),
                                DL_STR_ARG (route->prefix));
}

/* Text that is the same for routes that match the same requests. */
static char *
match_key (const DlRouteEntry *route)
{
  g_autofree char *host = g_ascii_strdown (route->host.data, (gssize)route->host.length);

  return g_strdup_printf ("%zu:%s%.*s", route->host.length, host,
                          DL_STR_ARG (route->prefix));
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Text that is the same for equal sets. */
static char *
regions_key (const DlRegions *regions)
{
  g_autofree const char **names = g_new0 (const char *, regions->count + 1);
  GString *key = g_string_new (regions->is_confined ? "confined" : "");

  for (size_t i = 0; i < regions->count; i++)
    names[i] = regions->names[i];
  qsort (names, regions->count, sizeof *names, compare_names);
  for (size_t i = 0; i < regions->count; i++)
    if (i == 0 || strcmp (names[i - 1], names[i]) != 0)
      g_string_append_printf (key, ",%zu:%s", strlen (names[i]), names[i]);
  return g_string_free (key, FALSE);
}

/* -------- what the parser found -------- */

static void
check_faults (DlConfigFindings *findings, const DlRoutingFaults *faults)
{
  for (size_t i = 0; i < faults->listed; i++)
    {
      const DlRoutingFault *f = &faults->items[i];
      g_autofree char *position = g_strdup_printf ("#%zu", f->position);

      if (f->key_sharer != NULL)
        ADD (ERROR, SHARED_KEY, ORGANISATION, f->name,
             "it has a key of %s; requests with that key count as those of %s",
             f->key_sharer, f->name);
      else
        dl_config_findings_add (findings, DL_CONFIG_ERROR, DL_CONFIG_LEFT_OUT, f->part,
                                f->name != NULL ? f->name : position, "left out: %s",
                                f->reason);
    }
  findings->counts[DL_CONFIG_ERROR] += faults->count - faults->listed;
}

/* -------- names and targets -------- */

/* Returns false when SEEN contains NAME, which it does then. */
static bool
is_first (GHashTable *seen, const char *name)
{
  return name == NULL || g_hash_table_add (seen, (gpointer)name);
}

static void
check_names (DlConfigFindings *findings, const DlRouting *routing)
{
  g_autoptr (GHashTable) routes = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) services = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) organisations = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < routing->route_count; i++)
    if (!is_first (routes, routing->routes[i].name))
      ADD (WARNING, DUPLICATE_NAME, ROUTE, routing->routes[i].name,
           "an earlier route has the same name");
  for (size_t i = 0; i < routing->service_count; i++)
    if (!is_first (services, routing->services[i].name))
      ADD (WARNING, DUPLICATE_NAME, SERVICE, routing->services[i].name,
           "an earlier service has the same name; this one is never used");
  for (size_t i = 0; i < routing->organisation_count; i++)
    if (!is_first (organisations, routing->organisations[i].name))
      ADD (WARNING, DUPLICATE_NAME, ORGANISATION, routing->organisations[i].name,
           "an earlier organisation has the same name");
}

static void
check_targets (DlConfigFindings *findings, const DlRouting *routing)
{
  g_autoptr (GHashTable) services = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) used = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < routing->service_count; i++)
    g_hash_table_add (services, (gpointer)routing->services[i].name);
  for (size_t i = 0; i < routing->route_count; i++)
    {
      const DlRouteEntry *route = &routing->routes[i];

      for (size_t t = 0; t < route->target_count; t++)
        {
          g_hash_table_add (used, (gpointer)route->targets[t].service);
          if (!g_hash_table_contains (services, route->targets[t].service))
            ADD (ERROR, UNKNOWN_SERVICE, ROUTE, route_label (findings, route),
                 "it leads to the service %s, which does not exist",
                 route->targets[t].service);
        }
      if (dl_routing_pick_target (route, 0) == NULL)
        ADD (ERROR, NO_WEIGHT, ROUTE, route_label (findings, route),
             route->target_count == 0 ? "it leads to no service"
                                      : "the weights of its services add up to 0");
    }
  for (size_t i = 0; i < routing->service_count; i++)
    if (routing->services[i].origin == NULL
        && !g_hash_table_contains (used, routing->services[i].name))
      ADD (WARNING, UNUSED_SERVICE, SERVICE, routing->services[i].name,
           "no route leads to it, and it has no origin");
}

/* -------- matching and limits of routes -------- */

/* True when the host or the prefix is such that no request matches. */
static bool
never_matches (const DlRouteEntry *route)
{
  DlRouting alone = { .routes = (DlRouteEntry *)route, .route_count = 1 };
  bool has_path = route->prefix.length == 0 || route->prefix.data[0] == '/';

  return !has_path || dl_routing_match (&alone, route->host, route->prefix) == NULL;
}

static void
check_routes (DlConfigFindings *findings, const DlRouting *routing)
{
  g_autoptr (GHashTable) earlier
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (size_t i = 0; i < routing->route_count; i++)
    {
      const DlRouteEntry *route = &routing->routes[i];
      const char *label = route_label (findings, route);
      char *key = match_key (route);
      const DlRouteEntry *same = g_hash_table_lookup (earlier, key);

      if (never_matches (route))
        ADD (WARNING, NEVER_MATCHES, ROUTE, label,
             "no request has its host and prefix: \"%.*s\" \"%.*s\"",
             DL_STR_ARG (route->host), DL_STR_ARG (route->prefix));
      if (same != NULL)
        ADD (WARNING, NEVER_MATCHES, ROUTE, label,
             "the earlier route %s has the same host and prefix",
             route_label (findings, same));
      if (same == NULL)
        g_hash_table_insert (earlier, key, (gpointer)route);
      else
        g_free (key);
      if (route->target_ms > route->timeout_ms)
        ADD (WARNING, TARGET_OVER_TIMEOUT, ROUTE, label,
             "its latency target of %" PRIu64 " ms is over its timeout of %" PRIu64 " ms",
             route->target_ms, route->timeout_ms);
      if (route->attempts_max > 1 && !dl_routing_may_retry (route))
        ADD (WARNING, ATTEMPTS, ROUTE, label,
             "it has %u attempts, but its requests may run only once; another attempt "
             "follows only when the one before is certain not to have run",
             route->attempts_max);
    }
}

/* -------- regions -------- */

/* A set of regions that some routes have. */
typedef struct
{
  const DlRegions *regions;
  const DlRouteEntry *first; /* of these routes */
  size_t count;              /* of these routes */
} RouteSet;

/* Returns the distinct sets of the confined routes that need a key. */
static GPtrArray *
collect_route_sets (const DlRouting *routing)
{
  GPtrArray *sets = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GHashTable) by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (size_t i = 0; i < routing->route_count; i++)
    {
      const DlRouteEntry *route = &routing->routes[i];
      g_autofree char *key = regions_key (&route->regions);
      RouteSet *set = g_hash_table_lookup (by_key, key);

      if (!route->regions.is_confined || route->regions.count == 0 || route->open)
        continue;
      if (set == NULL)
        {
          set = g_new0 (RouteSet, 1);
          set->regions = &route->regions;
          set->first = route;
          g_ptr_array_add (sets, set);
          g_hash_table_insert (by_key, g_steal_pointer (&key), set);
        }
      set->count++;
    }
  return sets;
}

static bool
are_disjoint (const DlRegions *a, const DlRegions *b)
{
  for (size_t i = 0; i < a->count; i++)
    if (dl_regions_allow (b, a->names[i]))
      return false;
  return true;
}

static void
check_disjoint_regions (DlConfigFindings *findings, const DlRouting *routing)
{
  g_autoptr (GPtrArray) sets = collect_route_sets (routing);

  for (size_t i = 0; i < routing->organisation_count; i++)
    {
      const DlOrganisation *organisation = &routing->organisations[i];
      const RouteSet *first = NULL;
      size_t count = 0;

      if (!organisation->regions.is_confined || organisation->regions.count == 0)
        continue;
      for (guint s = 0; s < sets->len; s++)
        {
          const RouteSet *set = g_ptr_array_index (sets, s);

          if (!are_disjoint (set->regions, &organisation->regions))
            continue;
          first = first != NULL ? first : set;
          count += set->count;
        }
      if (count > 0)
        ADD (WARNING, REGIONS_DISJOINT, ORGANISATION, organisation->name,
             "it has no region in common with %zu route(s), the first of them %s", count,
             route_label (findings, first->first));
    }
}

static void
check_known_regions (DlConfigFindings *findings,
                     GHashTable *known,
                     DlRoutingPart part,
                     const char *name,
                     const DlRegions *regions)
{
  size_t unknown = 0;

  for (size_t i = 0; known != NULL && i < regions->count; i++)
    if (!g_hash_table_contains (known, regions->names[i]))
      {
        unknown++;
        dl_config_findings_add (findings, DL_CONFIG_WARNING, DL_CONFIG_UNKNOWN_REGION,
                                part, name, "no data centre is in its region %s",
                                regions->names[i]);
      }
  if (regions->is_confined && unknown == regions->count)
    dl_config_findings_add (findings, DL_CONFIG_ERROR, DL_CONFIG_UNKNOWN_REGION, part,
                            name, "it is confined to no region that exists");
}

static void
check_regions (DlConfigFindings *findings, const DlConfigInput *input)
{
  const DlRouting *routing = input->routing;
  g_autoptr (GHashTable) known
      = input->data_center_count > 0 ? g_hash_table_new (g_str_hash, g_str_equal) : NULL;

  for (size_t i = 0; i < input->data_center_count; i++)
    g_hash_table_add (known, (gpointer)input->data_centers[i].region);
  for (size_t i = 0; i < routing->route_count; i++)
    check_known_regions (findings, known, DL_ROUTING_ROUTE,
                         route_label (findings, &routing->routes[i]),
                         &routing->routes[i].regions);
  for (size_t i = 0; i < routing->organisation_count; i++)
    check_known_regions (findings, known, DL_ROUTING_ORGANISATION,
                         routing->organisations[i].name,
                         &routing->organisations[i].regions);
  check_disjoint_regions (findings, routing);
}

/* -------- evacuations -------- */

/* Returns a table from services to their data centres: tables from name to data centre.
 */
static GHashTable *
collect_places (const DlConfigInput *input)
{
  g_autoptr (GHashTable) centers = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *places = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              (GDestroyNotify)g_hash_table_unref);

  for (size_t i = 0; i < input->data_center_count; i++)
    g_hash_table_insert (centers, (gpointer)input->data_centers[i].name,
                         (gpointer)&input->data_centers[i]);
  for (size_t i = 0; i < input->upstream_count; i++)
    {
      const DlConfigUpstream *u = &input->upstreams[i];
      gpointer center = g_hash_table_lookup (centers, u->data_center);
      GHashTable *of_service = g_hash_table_lookup (places, u->service);

      if (center == NULL)
        continue;
      if (of_service == NULL)
        {
          of_service = g_hash_table_new (g_str_hash, g_str_equal);
          g_hash_table_insert (places, (gpointer)u->service, of_service);
        }
      g_hash_table_insert (of_service, (gpointer)u->data_center, center);
    }
  if (!input->has_upstreams)
    for (size_t i = 0; i < input->routing->service_count; i++)
      g_hash_table_insert (places, (gpointer)input->routing->services[i].name,
                           g_hash_table_ref (centers));
  return places;
}

/* True when a service of the route has a data centre in its regions, without those that
 * are evacuated unless WITH_EVACUATED is set. */
static bool
has_place (const DlRouteEntry *route, GHashTable *places, bool with_evacuated)
{
  for (size_t t = 0; t < route->target_count; t++)
    {
      GHashTable *centers = g_hash_table_lookup (places, route->targets[t].service);
      const DlConfigDataCenter *center;
      GHashTableIter iter;

      if (centers == NULL || route->targets[t].weight == 0)
        continue;
      g_hash_table_iter_init (&iter, centers);
      while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&center))
        if ((with_evacuated || !center->is_evacuated)
            && dl_regions_allow (&route->regions, center->region))
          return true;
    }
  return false;
}

static void
check_evacuations (DlConfigFindings *findings, const DlConfigInput *input)
{
  g_autoptr (GHashTable) places = collect_places (input);

  for (size_t i = 0; i < input->routing->route_count; i++)
    {
      const DlRouteEntry *route = &input->routing->routes[i];

      if (route->regions.is_confined && has_place (route, places, true)
          && !has_place (route, places, false))
        ADD (ERROR, EVACUATION, ROUTE, route_label (findings, route),
             "the evacuation leaves no upstream of its services in its regions");
    }
}

/* -------- differences -------- */

static void
note_uint (GString *changes, const char *what, uint64_t old, uint64_t new)
{
  if (old != new)
    g_string_append_printf (changes, ", %s %" PRIu64 " to %" PRIu64, what, old, new);
}

static void
note (GString *changes, const char *what, bool is_changed)
{
  if (is_changed)
    g_string_append_printf (changes, ", %s", what);
}

static void
note_regions (GString *changes, const DlRegions *old, const DlRegions *new)
{
  g_autofree char *old_key = regions_key (old);
  g_autofree char *new_key = regions_key (new);

  note (changes, "regions", strcmp (old_key, new_key) != 0);
}

static bool
are_targets_equal (const DlRouteEntry *a, const DlRouteEntry *b)
{
  if (a->target_count != b->target_count)
    return false;
  for (size_t t = 0; t < a->target_count; t++)
    if (a->targets[t].weight != b->targets[t].weight
        || strcmp (a->targets[t].service, b->targets[t].service) != 0)
      return false;
  return true;
}

static void
compare_routes (GString *changes, const void *old, const void *new)
{
  const DlRouteEntry *a = old;
  const DlRouteEntry *b = new;

  note (changes, "host", !dl_str_equal (a->host, b->host));
  note (changes, "prefix", !dl_str_equal (a->prefix, b->prefix));
  note (changes, "kind", a->kind != b->kind);
  note (changes, "resumable", a->resumable != b->resumable);
  note (changes, b->open ? "needs no key any more" : "needs a key", a->open != b->open);
  note_uint (changes, "timeout in ms", a->timeout_ms, b->timeout_ms);
  note_uint (changes, "target in ms", a->target_ms, b->target_ms);
  note_uint (changes, "target of the gap in ms", a->target_gap_ms, b->target_gap_ms);
  note_uint (changes, "priority", a->priority, b->priority);
  note_uint (changes, "attempts", a->attempts_max, b->attempts_max);
  note (changes, "services", !are_targets_equal (a, b));
  note_regions (changes, &a->regions, &b->regions);
}

static void
compare_services (GString *changes, const void *old, const void *new)
{
  const DlServiceEntry *a = old;
  const DlServiceEntry *b = new;

  note (changes, "has an engine", a->has_engine != b->has_engine);
  note_uint (changes, "usual prompt in tokens", a->engine.usual_prompt_tokens,
             b->engine.usual_prompt_tokens);
  note_uint (changes, "layers", a->engine.layers, b->engine.layers);
  note_uint (changes, "chunks", a->engine.chunks, b->engine.chunks);
  note_uint (changes, "chunk bytes", a->engine.chunk_bytes, b->engine.chunk_bytes);
  note (changes, "model", g_strcmp0 (a->engine.model, b->engine.model) != 0);
  note (changes, "origin", g_strcmp0 (a->origin, b->origin) != 0);
  note (changes, "rate of the origin's link", a->origin_mbps != b->origin_mbps);
  note_uint (changes, "cold start in ms", a->cold.start_ms, b->cold.start_ms);
  note (changes, "rate during a cold start", a->cold.per_s != b->cold.per_s);
}

static void
compare_organisations (GString *changes, const void *old, const void *new)
{
  const DlOrganisation *a = old;
  const DlOrganisation *b = new;

  note (changes, "priority",
        a->has_priority != b->has_priority || a->priority != b->priority);
  note_regions (changes, &a->regions, &b->regions);
}

/* One entry of a table. */
typedef struct
{
  const char *name;
  const void *entry;
} Entry;

static Entry
entry_at (const void *context, const DlRouting *routing, DlRoutingPart part, size_t i)
{
  if (part == DL_ROUTING_ROUTE)
    return (Entry){ route_label (context, &routing->routes[i]), &routing->routes[i] };
  if (part == DL_ROUTING_SERVICE)
    return (Entry){ routing->services[i].name, &routing->services[i] };
  return (Entry){ routing->organisations[i].name, &routing->organisations[i] };
}

static size_t
entry_count (const DlRouting *routing, DlRoutingPart part)
{
  return part == DL_ROUTING_ROUTE     ? routing->route_count
         : part == DL_ROUTING_SERVICE ? routing->service_count
                                      : routing->organisation_count;
}

/* Returns a table from names to entries.  Of equal names, the first entry is in it. */
static GHashTable *
entries_by_name (const void *context, const DlRouting *routing, DlRoutingPart part)
{
  GHashTable *entries = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = entry_count (routing, part); i > 0; i--)
    {
      Entry e = entry_at (context, routing, part, i - 1);

      g_hash_table_replace (entries, (gpointer)e.name, (gpointer)e.entry);
    }
  return entries;
}

/* Adds to NAMES the owners in A of keys that have another owner in B. */
static void
collect_key_changes (GHashTable *names, const DlRouting *a, const DlRouting *b)
{
  const DlOrganisation *owner;
  const char *key;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, a->keys);
  while (g_hash_table_iter_next (&iter, (gpointer *)&key, (gpointer *)&owner))
    {
      const DlOrganisation *other = dl_routing_key_owner (b, key);

      if (other == NULL || strcmp (other->name, owner->name) != 0)
        g_hash_table_add (names, (gpointer)owner->name);
    }
}

static void
check_part (DlConfigFindings *findings,
            const DlConfigInput *input,
            DlRoutingPart part,
            void (*compare) (GString *changes, const void *old, const void *new),
            GHashTable *key_changes)
{
  g_autoptr (GHashTable) old = entries_by_name (findings, input->in_force, part);
  g_autoptr (GHashTable) new = entries_by_name (findings, input->routing, part);

  for (size_t i = 0; i < entry_count (input->routing, part); i++)
    {
      Entry e = entry_at (findings, input->routing, part, i);
      const void *before = g_hash_table_lookup (old, e.name);
      g_autoptr (GString) changes = g_string_new ("");

      if (g_hash_table_lookup (new, e.name) != e.entry)
        continue;
      if (before != NULL)
        compare (changes, before, e.entry);
      if (before != NULL && part == DL_ROUTING_ORGANISATION)
        note (changes, "keys", g_hash_table_contains (key_changes, e.name));
      if (before == NULL)
        dl_config_findings_add (findings, DL_CONFIG_DIFFERENCE, DL_CONFIG_ADDED, part,
                                e.name, "added");
      else if (changes->len > 0)
        dl_config_findings_add (findings, DL_CONFIG_DIFFERENCE, DL_CONFIG_CHANGED, part,
                                e.name, "changed: %s", changes->str + 2);
    }
  for (size_t i = 0; i < entry_count (input->in_force, part); i++)
    {
      Entry e = entry_at (findings, input->in_force, part, i);

      if (g_hash_table_lookup (old, e.name) == e.entry
          && !g_hash_table_contains (new, e.name))
        dl_config_findings_add (findings, DL_CONFIG_DIFFERENCE, DL_CONFIG_REMOVED, part,
                                e.name, "removed");
    }
}

static void
check_differences (DlConfigFindings *findings, const DlConfigInput *input)
{
  const DlRouting *old = input->in_force;
  const DlRouting *new = input->routing;
  g_autoptr (GHashTable) key_changes = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GString) changes = g_string_new ("");

  collect_key_changes (key_changes, old, new);
  collect_key_changes (key_changes, new, old);
  note_uint (changes, "header bytes", old->limits.header_bytes_max,
             new->limits.header_bytes_max);
  note_uint (changes, "body bytes", old->limits.body_bytes_max,
             new->limits.body_bytes_max);
  note (changes, new->has_organisations ? "routes need a key" : "no route needs a key",
        old->has_organisations != new->has_organisations);
  if (changes->len > 0)
    ADD (DIFFERENCE, CHANGED, TABLE, "limits", "changed: %s", changes->str + 2);
  check_part (findings, input, DL_ROUTING_ROUTE, compare_routes, key_changes);
  check_part (findings, input, DL_ROUTING_SERVICE, compare_services, key_changes);
  check_part (findings, input, DL_ROUTING_ORGANISATION, compare_organisations,
              key_changes);
}

void
dl_config_check (DlConfigFindings *findings, const DlConfigInput *input)
{
  if (input->faults != NULL)
    check_faults (findings, input->faults);
  if (input->in_force != NULL && input->routing->version <= input->in_force->version)
    ADD (ERROR, VERSION, TABLE, "version",
         "%" PRIu64 " is not higher than %" PRIu64 ", which is in force",
         input->routing->version, input->in_force->version);
  check_targets (findings, input->routing);
  check_evacuations (findings, input);
  check_regions (findings, input);
  check_routes (findings, input->routing);
  check_names (findings, input->routing);
  if (input->in_force != NULL)
    check_differences (findings, input);
}
