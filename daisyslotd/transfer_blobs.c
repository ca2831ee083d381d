/*
 * HTTP server for verified chunks and manifests.
 */
#include "transfer_blobs.h"

#include <string.h>

#define BLOBS_PATH      "/v1/blobs/"
#define CONTENT_TYPE    "application/octet-stream"
#define CONNECTIONS_MAX 64

static bool
find_blob (const TransferStore *store, const DlDigest *digest, DlStr *data)
{
  const DlManifest *manifest;

  if (transfer_store_get (store, digest, data))
    return true;
  manifest = transfer_store_manifest (store, digest);
  if (manifest != NULL)
    *data = manifest->text;
  return manifest != NULL;
}

static void
on_blob_request (DlHttpRequest *request, void *data)
{
  DlStr path = dl_str (dl_http_request_path (request));
  DlStr prefix = DL_STR_LITERAL (BLOBS_PATH);
  DlDigest digest;
  DlStr blob;

  if (strcmp (dl_http_request_method (request), "GET") != 0)
    dl_http_reply_error (request, 405, 0, "only GET");
  else if (!dl_str_has_prefix (path, prefix)
           || dl_digest_from_hex (dl_str_bytes (path.data + prefix.length,
                                                path.length - prefix.length),
                                  &digest)
                  < 0)
    dl_http_reply_error (request, 404, 0, "no such path");
  else if (!find_blob (data, &digest, &blob))
    dl_http_reply_error (request, 404, 0, "not in the replica");
  else
    dl_http_reply (request, 200, CONTENT_TYPE, blob, NULL);
}

int
transfer_blobs_serve (DlTask *task,
                      const void *owner,
                      DlStr address,
                      const TransferStore *store)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;
  DlHttpServer *server;

  limits.max_body_bytes = DL_HTTP_NO_BODY_BYTES;
  limits.max_connections = CONNECTIONS_MAX;
  return dl_http_server_new (task, owner, address, &limits, on_blob_request,
                             (void *)store, &server);
}
