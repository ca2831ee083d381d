#include "kernel/manifest.h"

#include <errno.h>
#include <glib.h>
#include <json-c/json.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/settings.h"

/* The JSON members, as the settings parser stores them. */
typedef struct
{
  const char *name;
  uint64_t bytes;
} FileFields;

typedef struct
{
  const char *model;
  uint64_t chunk_bytes;
  DlSettingList files;
  DlSettingList chunks;
} ManifestFields;

static const DlSettingSpec file_specs[] = {
  {
      .key = "name",
      .type = DL_SETTING_STRING,
      .offset = offsetof (FileFields, name),
      .required = true,
  },
  {
      .key = "bytes",
      .type = DL_SETTING_UINT,
      .offset = offsetof (FileFields, bytes),
      .required = true,
      .minimum = 1,
  },
  { 0 },
};

static const DlSettingSpec manifest_specs[] = {
  {
      .key = "model",
      .type = DL_SETTING_STRING,
      .offset = offsetof (ManifestFields, model),
      .required = true,
  },
  {
      .key = "chunk_bytes",
      .type = DL_SETTING_UINT,
      .offset = offsetof (ManifestFields, chunk_bytes),
      .required = true,
      .minimum = DL_CHUNK_MIN_BYTES,
      .maximum = DL_CHUNK_MAX_BYTES,
  },
  {
      .key = "files",
      .type = DL_SETTING_OBJECTS,
      .offset = offsetof (ManifestFields, files),
      .required = true,
      .minimum = 1,
      .maximum = 10000,
      .fields = file_specs,
      .element_bytes = sizeof (FileFields),
  },
  {
      .key = "chunks",
      .type = DL_SETTING_STRINGS,
      .offset = offsetof (ManifestFields, chunks),
      .required = true,
      .minimum = 1,
      .maximum = DL_MANIFEST_MAX_CHUNKS,
  },
  { 0 },
};

static int
fail (const void *context, char **error, const char *reason)
{
  *error = talloc_asprintf (context, "manifest: %s", reason);
  return -EINVAL;
}

static int
read_files (DlManifest *manifest,
            const ManifestFields *fields,
            char **error,
            const void *context)
{
  uint64_t chunks = 0;

  manifest->file_count = (uint32_t)fields->files.count;
  manifest->files = talloc_zero_array (manifest, DlManifestFile, manifest->file_count);
  for (uint32_t i = 0; i < manifest->file_count; i++)
    {
      const FileFields *from = (const FileFields *)fields->files.items + i;
      uint64_t count = (from->bytes - 1) / manifest->chunk_bytes + 1;

      if (chunks + count > DL_MANIFEST_MAX_CHUNKS)
        return fail (context, error, "too many chunks");
      manifest->files[i] = (DlManifestFile){
        .name = talloc_strdup (manifest, from->name),
        .bytes = from->bytes,
        .first_chunk = (uint32_t)chunks,
        .chunk_count = (uint32_t)count,
      };
      chunks += count;
      manifest->total_bytes += from->bytes;
    }
  if (chunks != fields->chunks.count)
    return fail (context, error, "the chunks do not match the lengths of the files");
  return 0;
}

static int
read_chunks (DlManifest *manifest,
             const ManifestFields *fields,
             char **error,
             const void *context)
{
  manifest->chunk_count = (uint32_t)fields->chunks.count;
  manifest->chunks = talloc_array (manifest, DlDigest, manifest->chunk_count);
  for (uint32_t i = 0; i < manifest->chunk_count; i++)
    if (dl_digest_from_hex (dl_str (((const char **)fields->chunks.items)[i]),
                            &manifest->chunks[i])
        < 0)
      return fail (context, error, "a chunk's digest is not 64 hexadecimal digits");
  return 0;
}

int
dl_manifest_parse (const void *context, DlStr text, DlManifest **result, char **error)
{
  DlManifest *manifest;
  ManifestFields fields = { 0 };
  void *scratch;
  int status;

  if (text.length > DL_MANIFEST_MAX_BYTES)
    {
      fail (context, error, "too large");
      return DL_ERR_TOO_LARGE;
    }
  scratch = talloc_new (context);
  manifest = talloc_zero (context, DlManifest);
  g_assert (scratch != NULL && manifest != NULL);
  status = dl_settings_parse (scratch, "manifest", text, manifest_specs, &fields, error);
  if (status < 0)
    talloc_steal (context, *error);
  else
    {
      manifest->version = dl_digest (text);
      manifest->model = talloc_strdup (manifest, fields.model);
      manifest->chunk_bytes = (uint32_t)fields.chunk_bytes;
      manifest->text = dl_str_bytes (dl_str_dup (manifest, text), text.length);
      status = read_files (manifest, &fields, error, context);
    }
  if (status == 0)
    status = read_chunks (manifest, &fields, error, context);
  talloc_free (scratch);
  if (status < 0)
    {
      talloc_free (manifest);
      return status;
    }
  *result = manifest;
  return 0;
}

uint32_t
dl_manifest_chunk_length (const DlManifest *manifest, uint32_t index)
{
  for (uint32_t i = 0; i < manifest->file_count; i++)
    {
      const DlManifestFile *f = &manifest->files[i];

      if (index == f->first_chunk + f->chunk_count - 1)
        return (uint32_t)(f->bytes
                          - (uint64_t)(f->chunk_count - 1) * manifest->chunk_bytes);
      if (index < f->first_chunk + f->chunk_count)
        return manifest->chunk_bytes;
    }
  g_assert_not_reached ();
}

static void
add_chunks (json_object *chunks, DlStr content, uint32_t chunk_bytes)
{
  for (size_t at = 0; at < content.length; at += chunk_bytes)
    {
      size_t length = MIN (chunk_bytes, content.length - at);
      DlDigest digest = dl_digest (dl_str_bytes (content.data + at, length));
      char hex[DL_DIGEST_HEX_BYTES];

      dl_digest_to_hex (&digest, hex);
      json_object_array_add (chunks, json_object_new_string (hex));
    }
}

DlManifest *
dl_manifest_build (const void *context,
                   const char *model,
                   uint32_t chunk_bytes,
                   size_t input_count,
                   const DlManifestInput *inputs)
{
  json_object *object = json_object_new_object ();
  json_object *files = json_object_new_array ();
  json_object *chunks = json_object_new_array ();
  DlManifest *manifest = NULL;
  char *error = NULL;

  for (size_t i = 0; i < input_count; i++)
    {
      json_object *file = json_object_new_object ();

      json_object_object_add (file, "name", json_object_new_string (inputs[i].name));
      json_object_object_add (file, "bytes",
                              json_object_new_uint64 (inputs[i].content.length));
      json_object_array_add (files, file);
      add_chunks (chunks, inputs[i].content, chunk_bytes);
    }
  json_object_object_add (object, "model", json_object_new_string (model));
  json_object_object_add (object, "chunk_bytes", json_object_new_uint64 (chunk_bytes));
  json_object_object_add (object, "files", files);
  json_object_object_add (object, "chunks", chunks);
  if (dl_manifest_parse (context,
                         dl_str (json_object_to_json_string_ext (object,
                                                                 JSON_C_TO_STRING_PLAIN)),
                         &manifest, &error)
      < 0)
    manifest = NULL;
  json_object_put (object);
  return manifest;
}
