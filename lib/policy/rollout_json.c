/*
 * Decodes and encodes the JSON values of rollout objects.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "policy/rollout.h"

static const char *const state_names[] = {
  [DL_ROLLOUT_DISTRIBUTING] = "distributing",
  [DL_ROLLOUT_LOADING] = "loading",
  [DL_ROLLOUT_COMPLETE] = "complete",
  [DL_ROLLOUT_PAUSED] = "paused",
  [DL_ROLLOUT_CALLED_OFF] = "called-off",
  [DL_ROLLOUT_REPLACED] = "replaced",
  [DL_ROLLOUT_FAILED] = "failed",
};
#define STATE_COUNT (sizeof state_names / sizeof state_names[0])

static const char *const known_keys[]
    = { "version", "label",  "service", "regions", "weigh",    "wave_percent",
        "state",   "reason", "fence",   "targets", "wave",     "paused_from",
        "loaded",  "tries",  "since",   "history", "failures", NULL };

const char *
dl_rollout_state_name (DlRolloutState state)
{
  return state_names[state];
}

int
dl_rollout_state_parse (const char *text, DlRolloutState *state)
{
  for (size_t i = 0; i < STATE_COUNT; i++)
    if (strcmp (text, state_names[i]) == 0)
      {
        *state = (DlRolloutState)i;
        return 0;
      }
  return -EINVAL;
}

/* -------- reading -------- */

static int
fail (const void *context, const char *name, const char *key, char **error)
{
  *error = talloc_asprintf (context, "rollout %s: %s: missing or malformed", name, key);
  return -EINVAL;
}

static json_object *
get (json_object *value, const char *key, json_type type)
{
  json_object *found;

  if (!json_object_object_get_ex (value, key, &found)
      || !json_object_is_type (found, type))
    return NULL;
  return found;
}

static char *
get_text (const void *context, json_object *value, const char *key)
{
  json_object *found = get (value, key, json_type_string);

  return talloc_strdup (context, found != NULL ? json_object_get_string (found) : "");
}

static uint64_t
get_uint (json_object *value, const char *key)
{
  json_object *found = get (value, key, json_type_int);

  return found != NULL ? json_object_get_uint64 (found) : 0;
}

static void
read_records (DlRollout *r, json_object *value)
{
  json_object *failures = get (value, "failures", json_type_object);
  json_object *tries = get (value, "tries", json_type_object);
  json_object *since = get (value, "since", json_type_object);

  if (failures != NULL)
    {
      json_object_object_foreach (failures, host, reason)
        dl_rollout_record (r, host)->failure
            = talloc_strdup (r, json_object_get_string (reason));
    }
  if (tries != NULL)
    {
      json_object_object_foreach (tries, host, count)
        dl_rollout_record (r, host)->tries = json_object_get_uint64 (count);
    }
  if (since != NULL)
    {
      json_object_object_foreach (since, host, at)
        dl_rollout_record (r, host)->since = json_object_get_uint64 (at);
    }
}

static bool
is_known (const char *key)
{
  for (size_t i = 0; known_keys[i] != NULL; i++)
    if (strcmp (known_keys[i], key) == 0)
      return true;
  return false;
}

/* Keeps keys that other writers added as they are. */
static json_object *
read_unknown (json_object *value)
{
  json_object *unknown = json_object_new_object ();

  json_object_object_foreach (value, key, item)
    {
      if (!is_known (key))
        json_object_object_add (unknown, key, json_object_get (item));
    }
  return unknown;
}

static json_object *
read_history (json_object *value)
{
  json_object *from = get (value, "history", json_type_array);
  json_object *history = json_object_new_array ();

  for (size_t i = 0; from != NULL && i < json_object_array_length (from); i++)
    json_object_array_add (history,
                           json_object_get (json_object_array_get_idx (from, i)));
  return history;
}

static int
rollout_destroy (DlRollout *rollout)
{
  json_object_put (rollout->history);
  json_object_put (rollout->unknown);
  return 0;
}

static int
read_sets (DlRollout *r, json_object *value, const char **key)
{
  const struct
  {
    const char *key;
    DlNames *set;
  } sets[] = {
    { "regions", &r->regions },
    { "targets", &r->targets },
    { "wave", &r->wave },
    { "loaded", &r->loaded },
  };

  for (size_t i = 0; i < sizeof sets / sizeof sets[0]; i++)
    {
      json_object *list = NULL;

      json_object_object_get_ex (value, sets[i].key, &list);
      *key = sets[i].key;
      if (!dl_names_from_json (r, list, sets[i].set))
        return -EINVAL;
    }
  return 0;
}

static int
read_states (DlRollout *r, json_object *value, const char **key)
{
  char *state = get_text (r, value, "state");
  char *paused_from = get_text (r, value, "paused_from");

  *key = "state";
  if (dl_rollout_state_parse (state, &r->state) < 0)
    return -EINVAL;
  *key = "paused_from";
  if (paused_from[0] != '\0' && dl_rollout_state_parse (paused_from, &r->paused_from) < 0)
    return -EINVAL;
  return 0;
}

int
dl_rollout_from_json (const void *context,
                      const char *name,
                      uint64_t revision,
                      uint64_t created,
                      json_object *value,
                      DlRollout **rollout,
                      char **error)
{
  DlRollout *r;
  const char *key;

  if (!json_object_is_type (value, json_type_object))
    return fail (context, name, "value", error);
  r = talloc_zero (context, DlRollout);
  talloc_set_destructor (r, rollout_destroy);
  r->name = talloc_strdup (r, name);
  r->revision = revision;
  r->created = created;
  r->version = get_text (r, value, "version");
  r->label = get_text (r, value, "label");
  r->service = get_text (r, value, "service");
  r->weigh = get_text (r, value, "weigh");
  r->reason = get_text (r, value, "reason");
  r->wave_percent = get_uint (value, "wave_percent");
  r->fence = get_uint (value, "fence");
  read_records (r, value);
  r->history = read_history (value);
  r->unknown = read_unknown (value);
  if (r->version[0] == '\0')
    key = "version";
  else if (r->service[0] == '\0')
    key = "service";
  else if (read_states (r, value, &key) == 0 && read_sets (r, value, &key) == 0)
    {
      *rollout = r;
      return 0;
    }
  talloc_free (r);
  return fail (context, name, key, error);
}

/* -------- writing -------- */

static void
add_text (json_object *value, const char *key, const char *text)
{
  json_object_object_add (value, key, json_object_new_string (text));
}

static void
add_records (json_object *value, const DlRollout *r)
{
  json_object *failures = json_object_new_object ();
  json_object *tries = json_object_new_object ();
  json_object *since = json_object_new_object ();

  for (size_t i = 0; i < r->record_count; i++)
    {
      const DlRolloutRecord *record = &r->records[i];

      if (record->failure != NULL)
        add_text (failures, record->host, record->failure);
      if (record->tries > 0)
        json_object_object_add (tries, record->host,
                                json_object_new_uint64 (record->tries));
      if (record->since > 0)
        json_object_object_add (since, record->host,
                                json_object_new_uint64 (record->since));
    }
  json_object_object_add (value, "failures", failures);
  json_object_object_add (value, "tries", tries);
  json_object_object_add (value, "since", since);
}

json_object *
dl_rollout_to_json (const DlRollout *r)
{
  json_object *value = json_object_new_object ();

  add_text (value, "version", r->version);
  add_text (value, "label", r->label);
  add_text (value, "service", r->service);
  json_object_object_add (value, "regions", dl_names_to_json (&r->regions));
  if (r->weigh[0] != '\0')
    add_text (value, "weigh", r->weigh);
  if (r->wave_percent > 0)
    json_object_object_add (value, "wave_percent",
                            json_object_new_uint64 (r->wave_percent));
  add_text (value, "state", dl_rollout_state_name (r->state));
  if (r->state == DL_ROLLOUT_PAUSED)
    add_text (value, "paused_from", dl_rollout_state_name (r->paused_from));
  add_text (value, "reason", r->reason);
  json_object_object_add (value, "fence", json_object_new_uint64 (r->fence));
  json_object_object_add (value, "targets", dl_names_to_json (&r->targets));
  json_object_object_add (value, "wave", dl_names_to_json (&r->wave));
  json_object_object_add (value, "loaded", dl_names_to_json (&r->loaded));
  add_records (value, r);
  json_object_object_add (value, "history", json_object_get (r->history));
  json_object_object_foreach (r->unknown, key, item)
    {
      json_object_object_add (value, key, json_object_get (item));
    }
  return value;
}
