/*
 * Versions of generated weights, and objects written directly to the platform's stand-in.
 */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/manifest.h"
#include "scenario.h"

#define PUT_TIMEOUT_MS 30000
#define WRITE_ATTEMPTS 20
#define RETRY_MS       100
#define MODEL          "draft"

Version *
version_find (Scenario *s, const char *name)
{
  for (unsigned i = 0; i < s->versions->len; i++)
    {
      Version *v = g_ptr_array_index (s->versions, i);

      if (strcmp (v->name, name) == 0)
        return v;
    }
  return NULL;
}

void
version_free (gpointer data)
{
  Version *v = data;

  g_free (v->name);
  g_free (v->hex);
  g_bytes_unref (v->content);
  g_free (v);
}

/* Returns LENGTH random bytes, of which the first SHARED are copied from
 * OTHER, if given. */
static GBytes *
make_content (Scenario *s, size_t length, const Version *other, size_t shared)
{
  uint8_t *bytes = g_malloc (length + sizeof (guint32));
  gsize other_length = 0;
  const uint8_t *from
      = other != NULL ? g_bytes_get_data (other->content, &other_length) : NULL;

  for (size_t i = 0; i < length; i += sizeof (guint32))
    {
      guint32 word = g_rand_int (s->random);

      memcpy (bytes + i, &word, sizeof word);
    }
  if (from != NULL)
    memcpy (bytes, from, MIN (MIN (shared, length), other_length));
  return g_bytes_new_take (bytes, length);
}

static bool
put_blob (Scenario *s, const Process *origin, const DlDigest *digest, DlStr bytes)
{
  char hex[DL_DIGEST_HEX_BYTES];
  char *url;
  HttpCall *call;
  bool ok;

  dl_digest_to_hex (digest, hex);
  url = g_strdup_printf ("http://%s/v1/blobs/%s", origin->address, hex);
  call = http_wait (s, "PUT", url, NULL, bytes.data, bytes.length, PUT_TIMEOUT_MS);
  ok = call->status == 200;
  http_free (s, call);
  g_free (url);
  return ok || scn_fail (s, "%s refused a blob", origin->name);
}

static bool
put_blobs (Scenario *s, const Process *origin, const DlManifest *m, const Version *v)
{
  const char *bytes = g_bytes_get_data (v->content, NULL);
  uint64_t at = 0;

  for (uint32_t i = 0; i < m->chunk_count; i++)
    {
      uint32_t length = dl_manifest_chunk_length (m, i);

      if (!put_blob (s, origin, &m->chunks[i], dl_str_bytes (bytes + at, length)))
        return false;
      at += length;
    }
  return put_blob (s, origin, &m->version, m->text);
}

static bool
publish_blobs (Scenario *s, const DlManifest *m, const Version *v)
{
  Process *store = process_find (s, "store");

  if (!put_blobs (s, process_find (s, "origin"), m, v))
    return false;
  return store == NULL || put_blobs (s, store, m, v);
}

/* version NAME BYTES CHUNK_BYTES [shares OTHER PERCENT]: makes weights and uploads them
 * to the origin and the weight store.  Sets $NAME to the digest and writes the manifest
 * to $folder/NAME.manifest and the weights to $folder/NAME.weights. */
bool
statement_version (Scenario *s, char **words, unsigned count)
{
  Version *v;
  Version *other = NULL;
  DlManifest *m;
  uint64_t bytes = 0;
  uint64_t chunk = 0;
  uint64_t percent = 0;
  char hex[DL_DIGEST_HEX_BYTES];
  char *path;
  bool ok;

  if (!scn_parse_uint (words[2], &bytes) || !scn_parse_uint (words[3], &chunk)
      || (count == 7 && !scn_parse_uint (words[6], &percent)))
    return scn_fail (s, "version NAME BYTES CHUNK_BYTES [shares OTHER PERCENT]");
  if (count == 7 && (other = version_find (s, words[5])) == NULL)
    return scn_fail (s, "no version is named %s", words[5]);
  v = g_new0 (Version, 1);
  v->name = g_strdup (words[1]);
  v->bytes = bytes;
  v->content = make_content (s, bytes, other, bytes * percent / 100 / chunk * chunk);
  m = dl_manifest_build (NULL, MODEL, (uint32_t)chunk, 1,
                         &(DlManifestInput){
                             .name = "base",
                             .content
                             = dl_str_bytes (g_bytes_get_data (v->content, NULL), bytes),
                         });
  dl_digest_to_hex (&m->version, hex);
  v->hex = g_strdup (hex);
  g_ptr_array_add (s->versions, v);
  g_hash_table_replace (s->variables, g_strdup (v->name), g_strdup (hex));
  path = g_strdup_printf ("%s/%s.manifest", s->folder, v->name);
  g_file_set_contents (path, m->text.data, (gssize)m->text.length, NULL);
  g_free (path);
  path = g_strdup_printf ("%s/%s.weights", s->folder, v->name);
  g_file_set_contents (path, g_bytes_get_data (v->content, NULL), (gssize)bytes, NULL);
  g_free (path);
  ok = publish_blobs (s, m, v);
  talloc_free (m);
  return ok;
}

/* -------- objects -------- */

/* Makes one write conditional on the object's current revision.  Returns the HTTP status,
 * or 0 when there was none. */
static long
write_once (Scenario *s, const char *url, const char *json)
{
  json_object *old = http_json (s, url);
  char *headers[] = { NULL, NULL };
  HttpCall *call;
  long status;

  headers[0] = old == NULL
                   ? g_strdup ("If-None-Match: *")
                   : g_strdup_printf ("If-Match: %s",
                                      json_object_get_string (json_at (old, "revision")));
  call = http_wait (s, "PUT", url, headers, json, strlen (json), PUT_TIMEOUT_MS);
  status = call->status;
  http_free (s, call);
  json_object_put (old);
  g_free (headers[0]);
  return status;
}

bool
object_write (Scenario *s, const char *path, const char *json)
{
  Process *platform = process_find (s, "platform");
  char *url = g_strdup_printf ("http://%s/v1/objects/%s", platform->address, path);
  long status = 0;

  for (unsigned i = 0; i < WRITE_ATTEMPTS && status != 200; i++)
    {
      status = write_once (s, url, json);
      if (status != 200 && !scn_sleep (s, RETRY_MS))
        break;
    }
  g_free (url);
  return status == 200 || scn_fail (s, "cannot write %s: status %ld", path, status);
}

/* put KIND/NAME JSON */
bool
statement_put (Scenario *s, char **words, unsigned count)
{
  return object_write (s, words[1], words[2]);
}

/* publish NAME: writes the version object as an operator command would. */
bool
statement_publish (Scenario *s, char **words, unsigned count)
{
  Version *v = version_find (s, words[1]);
  DlManifest *m = NULL;
  char *file;
  char *text = NULL;
  gsize length;
  char *path;
  char *json;
  char *error;
  bool ok;

  if (v == NULL)
    return scn_fail (s, "no version is named %s", words[1]);
  file = g_strdup_printf ("%s/%s.manifest", s->folder, v->name);
  g_file_get_contents (file, &text, &length, NULL);
  dl_manifest_parse (NULL, dl_str_bytes (text, length), &m, &error);
  path = g_strdup_printf ("version/%s", v->hex);
  json = g_strdup_printf ("{\"model\": \"%s\", \"manifest_bytes\": %zu, \"total_bytes\": "
                          "%" PRIu64 ", \"chunk_count\": %u, \"label\": \"%s\"}",
                          m->model, length, m->total_bytes, m->chunk_count, v->name);
  ok = object_write (s, path, json);
  talloc_free (m);
  g_free (file);
  g_free (text);
  g_free (path);
  g_free (json);
  return ok;
}

static bool
in_regions (json_object *regions, const char *region)
{
  size_t length = regions != NULL ? json_object_array_length (regions) : 0;

  for (size_t i = 0; i < length; i++)
    if (strcmp (json_object_get_string (json_object_array_get_idx (regions, i)), region)
        == 0)
      return true;
  return length == 0;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (json_object_get_string (*(json_object *const *)a),
                 json_object_get_string (*(json_object *const *)b));
}

/* rollout NAME VERSION SERVICE [KEY=VALUE]...: writes a rollout object as an operator
 * command would. */
bool
statement_rollout (Scenario *s, char **words, unsigned count)
{
  Version *v = version_find (s, words[2]);
  json_object *o = json_object_new_object ();
  json_object *targets = json_object_new_array ();
  json_object *regions;
  char *path = g_strdup_printf ("rollout/%s", words[1]);
  bool ok = v != NULL || scn_fail (s, "no version is named %s", words[2]);

  json_object_object_add (o, "version", json_object_new_string (v != NULL ? v->hex : ""));
  json_object_object_add (o, "label", json_object_new_string (words[2]));
  json_object_object_add (o, "service", json_object_new_string (words[3]));
  json_object_object_add (o, "regions", json_object_new_array ());
  json_object_object_add (o, "weigh", json_object_new_string ("time"));
  json_object_object_add (o, "wave_percent", json_object_new_int (34));
  json_object_object_add (o, "state", json_object_new_string ("distributing"));
  json_object_object_add (o, "paused_from", json_object_new_string (""));
  json_object_object_add (o, "reason", json_object_new_string (""));
  json_object_object_add (o, "fence", json_object_new_int (0));
  json_object_object_add (o, "wave", json_object_new_array ());
  json_object_object_add (o, "loaded", json_object_new_array ());
  json_object_object_add (o, "failures", json_object_new_object ());
  json_object_object_add (o, "history", json_object_new_array ());
  for (unsigned i = 4; i < count && ok; i++)
    ok = scn_parse_member (s, o, words[i]);
  json_object_object_get_ex (o, "regions", &regions);
  for (unsigned i = 0; i < s->processes->len; i++)
    {
      const Process *p = g_ptr_array_index (s->processes, i);

      if (p->kind == PROCESS_SLOT && strcmp (p->service, words[3]) == 0
          && in_regions (regions, p->region))
        json_object_array_add (targets, json_object_new_string (p->name));
    }
  json_object_array_sort (targets, compare_names);
  json_object_object_add (o, "targets", targets);
  ok = ok && object_write (s, path, json_object_to_json_string_ext (o, 0));
  json_object_put (o);
  g_free (path);
  return ok;
}
