#include "sample.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"

#define DIGEST_1 "1111111111111111111111111111111111111111111111111111111111111111"
#define DIGEST_2 "2222222222222222222222222222222222222222222222222222222222222222"

const char sample_digest_1[] = DIGEST_1;
const char sample_digest_2[] = DIGEST_2;

#define HOST(name, region, state, serving, target, verified, more)             \
  "{\"host\":\"" name "\",\"service\":\"draft\",\"region\":\"" region          \
  "\",\"state\":\"" state "\",\"serving_version\":\"" serving                  \
  "\",\"target_version\":\"" target                                            \
  "\",\"rollout\":\"r1\",\"chunks_verified\":" verified ",\"chunks_total\":10" \
  ",\"settings_revision\":2,\"accepts_requests\":true" more "}"

static const char *const sample_objects[][3] = {
  { "settings", "fleet",
    "{\"services\":[{\"name\":\"draft\",\"kind\":\"model\"},"
    "{\"name\":\"ledger\",\"kind\":\"plain\"}],\"organisations\":[],"
    "\"priorities\":[\"normal\"],\"home_region\":\"zilina\"}" },
  { "settings", "fleet",
    "{\"services\":[{\"name\":\"draft\",\"kind\":\"model\"},"
    "{\"name\":\"ledger\",\"kind\":\"plain\"}],\"organisations\":[],"
    "\"priorities\":[\"normal\",\"low\"],\"home_region\":\"zilina\"}" },
  { "version", DIGEST_1,
    "{\"model\":\"m\",\"label\":\"v1\",\"manifest_bytes\":700,\"total_bytes\":1000,"
    "\"chunk_count\":10,\"by\":\"ana\",\"at_ms\":1700000000000}" },
  { "version", DIGEST_2,
    "{\"model\":\"m\",\"label\":\"v2\",\"manifest_bytes\":700,\"total_bytes\":1000,"
    "\"chunk_count\":10,\"by\":\"ana\",\"at_ms\":1700000001000}" },
  { "rollout", "r1",
    "{\"version\":\"" DIGEST_2 "\",\"label\":\"v2\",\"service\":\"draft\","
    "\"regions\":[\"zilina\"],\"weigh\":\"time\",\"wave_percent\":34,"
    "\"state\":\"distributing\",\"paused_from\":\"\",\"reason\":\"\",\"fence\":3,"
    "\"targets\":[\"h1\",\"h2\",\"h3\"],\"wave\":[],\"loaded\":[],"
    "\"failures\":{\"h3\":\"digest mismatch\"},\"history\":[{\"at_ms\":1700000002000,"
    "\"by\":\"ana\",\"command\":\"c1\",\"what\":\"started\"}]}" },
  { "lease", "r1", "{\"holder\":\"e1\",\"nonce\":\"n\",\"fence\":3,\"ttl_ms\":5000}" },
  { "drain", "h2",
    "{\"state\":\"drained\",\"by\":\"bob\",\"at_ms\":1700000003000,"
    "\"history\":[{\"at_ms\":1700000003000,\"by\":\"bob\",\"command\":\"c2\","
    "\"what\":\"drained\"}]}" },
  { "command", "c2",
    "{\"text\":\"drain h2\",\"by\":\"bob\",\"at_ms\":1700000003000,"
    "\"outcome\":\"applied\",\"detail\":\"host h2 takes no new requests\","
    "\"revision\":7}" },
  { "status", "za1",
    "{\"writer\":\"e1\",\"at_ms\":1700000012000,\"hosts\":[" HOST (
        "h1",
        "zilina",
        "whole",
        DIGEST_1,
        DIGEST_2,
        "10",
        ",\"origin_bytes\":1250") "," HOST ("h2",
                                            "zilina",
                                            "fetching",
                                            DIGEST_1,
                                            DIGEST_2,
                                            "5",
                                            "") "," HOST ("h3",
                                                          "zilina",
                                                          "failed",
                                                          DIGEST_1,
                                                          DIGEST_2,
                                                          "1",
                                                          ",\"failure\":\"engine "
                                                          "refused\"") "],"
                                                                       "\"entries\":[{"
                                                                       "\"host\":\"e1\","
                                                                       "\"region\":"
                                                                       "\"zilina\","
                                                                       "\"settings_"
                                                                       "revision\":2}]"
                                                                       "}" },
  { "status", "ka1",
    "{\"writer\":\"e2\",\"hosts\":[" HOST (
        "h4",
        "kosice",
        "serving",
        DIGEST_1,
        "",
        "0",
        "") "," HOST ("h5",
                      "kosice",
                      "serving",
                      DIGEST_1,
                      "",
                      "0",
                      ",\"lost\":true") "],"
                                        "\"entries\":[{\"host\":\"e2\",\"region\":"
                                        "\"kosice\",\"settings_revision\":1}]}" },
};

static int
sample_destroy (Sample *sample)
{
  for (size_t i = 0; i < sample->count; i++)
    json_object_put (sample->objects[i].value);
  return 0;
}

Sample *
sample_empty (const void *context)
{
  Sample *sample = talloc_zero (context, Sample);

  talloc_set_destructor (sample, sample_destroy);
  return sample;
}

Sample *
sample_new (const void *context)
{
  Sample *sample = sample_empty (context);

  for (size_t i = 0; i < G_N_ELEMENTS (sample_objects); i++)
    sample_set (sample, sample_objects[i][0], sample_objects[i][1], sample_objects[i][2]);
  return sample;
}

DlQuerySource
sample_source (const Sample *sample)
{
  return (DlQuerySource){
    .revision = sample->revision,
    .count = sample->count,
    .objects = sample->objects,
  };
}

static size_t
find_place (const Sample *sample, const char *kind, const char *name, bool *found)
{
  size_t i;

  *found = false;
  for (i = 0; i < sample->count; i++)
    {
      int order = strcmp (sample->objects[i].kind, kind);

      if (order == 0)
        order = strcmp (sample->objects[i].name, name);
      if (order >= 0)
        {
          *found = order == 0;
          break;
        }
    }
  return i;
}

static void
insert (Sample *sample, size_t place, const char *kind, const char *name)
{
  sample->objects = talloc_realloc (sample, sample->objects, DlObject, sample->count + 1);
  memmove (&sample->objects[place + 1], &sample->objects[place],
           (sample->count - place) * sizeof (DlObject));
  sample->count++;
  sample->objects[place] = (DlObject){
    .kind = talloc_strdup (sample, kind),
    .name = talloc_strdup (sample, name),
    .created = sample->revision,
  };
}

static void
erase (Sample *sample, size_t place)
{
  json_object_put (sample->objects[place].value);
  sample->count--;
  memmove (&sample->objects[place], &sample->objects[place + 1],
           (sample->count - place) * sizeof (DlObject));
}

int
sample_write (
    Sample *sample, const char *kind, const char *name, uint64_t base, json_object *value)
{
  bool found;
  size_t place = find_place (sample, kind, name, &found);

  if (value == NULL && !found)
    return DL_ERR_NOT_FOUND;
  if (found ? sample->objects[place].revision != base : base != 0)
    return DL_ERR_CONFLICT;
  sample->revision++;
  if (value == NULL)
    {
      erase (sample, place);
      return 0;
    }
  if (!found)
    insert (sample, place, kind, name);
  else
    json_object_put (sample->objects[place].value);
  sample->objects[place].revision = sample->revision;
  sample->objects[place].value = json_object_get (value);
  return 0;
}

void
sample_set (Sample *sample, const char *kind, const char *name, const char *text)
{
  json_object *value = json_tokener_parse (text);
  bool found;
  size_t place = find_place (sample, kind, name, &found);

  g_assert (value != NULL);
  sample_write (sample, kind, name, found ? sample->objects[place].revision : 0, value);
  json_object_put (value);
}
