/*
 * Publishes a model version: builds the manifest of a directory, uploads its chunks to
 * the origin, and records the version through an entry.
 */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "daisyctl.h"
#include "kernel/error.h"
#include "kernel/manifest.h"
#include "kernel/object_client.h"

#define UPLOAD_ATTEMPTS   5
#define UPLOAD_BACKOFF_US 500000
#define HTTP_SUCCESS_MIN  200
#define HTTP_SUCCESS_MAX  299

/* A model to publish: the manifest and, for a directory, the contents of its files. */
typedef struct
{
  DlManifest *manifest;
  size_t input_count;
  DlManifestInput *inputs;
  GPtrArray *mapped; /* of GMappedFile */
} Model;

static void
model_clear (Model *model)
{
  if (model->mapped != NULL)
    g_ptr_array_unref (model->mapped);
}

static int
compare_inputs (const void *a, const void *b)
{
  return strcmp (((const DlManifestInput *)a)->name, ((const DlManifestInput *)b)->name);
}

/* Maps the regular files of a directory, sorted by name. */
static ExitStatus
map_folder (const void *context, const char *path, Model *model)
{
  GError *error = NULL;
  GDir *dir = g_dir_open (path, 0, &error);
  const char *name;

  model->mapped = g_ptr_array_new_with_free_func ((GDestroyNotify)g_mapped_file_unref);
  while (dir != NULL && error == NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *file = g_build_filename (path, name, NULL);
      GMappedFile *mapped = g_file_test (file, G_FILE_TEST_IS_REGULAR)
                                ? g_mapped_file_new (file, FALSE, &error)
                                : NULL;

      g_free (file);
      if (mapped == NULL)
        continue;
      g_ptr_array_add (model->mapped, mapped);
      model->inputs = talloc_realloc (context, model->inputs, DlManifestInput,
                                      model->input_count + 1);
      model->inputs[model->input_count++] = (DlManifestInput){
        .name = talloc_strdup (context, name),
        .content = dl_str_bytes (g_mapped_file_get_contents (mapped),
                                 g_mapped_file_get_length (mapped)),
      };
    }
  if (dir != NULL)
    g_dir_close (dir);
  if (error != NULL)
    {
      fprintf (stderr, "daisyctl: %s\n", error->message);
      g_error_free (error);
      return EXIT_REFUSED;
    }
  if (model->input_count > 1)
    qsort (model->inputs, model->input_count, sizeof *model->inputs, compare_inputs);
  return EXIT_OK;
}

static ExitStatus
build_from_folder (const Options *options,
                   const void *context,
                   const char *path,
                   Model *model)
{
  char *base = g_path_get_basename (path);
  ExitStatus status = map_folder (context, path, model);

  if (status == EXIT_OK)
    {
      model->manifest
          = dl_manifest_build (context, options->model != NULL ? options->model : base,
                               (uint32_t)options->chunk_bytes, model->input_count,
                               model->inputs);
      if (model->manifest == NULL)
        {
          fprintf (stderr,
                   "daisyctl: %s: cannot build a valid manifest; check its files and "
                   "the chunk size\n",
                   path);
          status = EXIT_REFUSED;
        }
    }
  g_free (base);
  return status;
}

/* Reads a manifest whose chunks are at the origin already. */
static ExitStatus
read_manifest (const void *context, const char *path, Model *model)
{
  char *text = NULL;
  gsize length = 0;
  GError *failure = NULL;
  char *error = NULL;
  ExitStatus status = EXIT_OK;

  if (!g_file_get_contents (path, &text, &length, &failure))
    {
      fprintf (stderr, "daisyctl: %s\n", failure->message);
      g_error_free (failure);
      return EXIT_REFUSED;
    }
  if (dl_manifest_parse (context, dl_str_bytes (text, length), &model->manifest, &error)
      < 0)
    {
      fprintf (stderr, "daisyctl: %s: %s\n", path,
               error != NULL ? error : "not a manifest");
      status = EXIT_REFUSED;
    }
  g_free (text);
  return status;
}

/* -------- upload -------- */

static ExitStatus
upload_blob (const Options *options, const DlDigest *digest, DlStr content)
{
  char hex[DL_DIGEST_HEX_BYTES];
  char path[DL_DIGEST_HEX_BYTES + 16];
  unsigned status = 0;

  dl_digest_to_hex (digest, hex);
  g_snprintf (path, sizeof path, "/v1/blobs/%s", hex);
  /* The blob's name is its digest, so uploading it again changes nothing. */
  for (int i = 0; i < UPLOAD_ATTEMPTS; i++)
    {
      Response response = http_call (&(Request){
          .method = "PUT",
          .address = options->origin,
          .path = path,
          .body = content,
      });

      status = response.status;
      response_clear (&response);
      if (status >= HTTP_SUCCESS_MIN && status <= HTTP_SUCCESS_MAX)
        return EXIT_OK;
      g_usleep (UPLOAD_BACKOFF_US);
    }
  fprintf (stderr, "daisyctl: upload of %s to the origin failed (status %u)\n", hex,
           status);
  return EXIT_UNREACHABLE;
}

static ExitStatus
upload_chunks (const Options *options, const Model *model)
{
  const DlManifest *m = model->manifest;
  uint32_t index = 0;

  for (size_t i = 0; i < model->input_count; i++)
    for (size_t offset = 0; offset < model->inputs[i].content.length;
         offset += m->chunk_bytes)
      {
        size_t length = MIN (m->chunk_bytes, model->inputs[i].content.length - offset);
        ExitStatus status
            = upload_blob (options, &m->chunks[index],
                           dl_str_bytes (model->inputs[i].content.data + offset, length));

        if (status != EXIT_OK)
          return status;
        index++;
      }
  return EXIT_OK;
}

/* -------- record -------- */

static ExitStatus
record_version (const Options *options, const DlManifest *m, const char *label)
{
  char hex[DL_DIGEST_HEX_BYTES];
  char *text;
  ExitStatus status;

  dl_digest_to_hex (&m->version, hex);
  text = g_strdup_printf ("publish %s as %s model %s manifest-bytes %zu total-bytes "
                          "%" PRIu64 " chunks %u",
                          hex, label, m->model, m->text.length, m->total_bytes,
                          m->chunk_count);
  status = run_text (options, text);
  g_free (text);
  return status;
}

ExitStatus
publish_path (const Options *options, const char *path, const char *label)
{
  void *context = talloc_new (NULL);
  Model model = { 0 };
  ExitStatus status;

  if (options->origin == NULL)
    {
      fprintf (stderr, "daisyctl: publishing from files needs --origin\n");
      talloc_free (context);
      return EXIT_USAGE;
    }
  if (g_file_test (path, G_FILE_TEST_IS_DIR))
    status = build_from_folder (options, context, path, &model);
  else
    status = read_manifest (context, path, &model);
  if (status == EXIT_OK)
    status = upload_chunks (options, &model);
  if (status == EXIT_OK)
    status = upload_blob (options, &model.manifest->version, model.manifest->text);
  if (status == EXIT_OK)
    status = record_version (options, model.manifest, label);
  model_clear (&model);
  talloc_free (context);
  return status;
}
