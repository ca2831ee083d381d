/*
 * Signatures of a request: what it may have in common with other requests.
 *
 * One is of the whole request: the same again has the same one, whoever receives it and
 * whatever its request id is.  The others are the parts of its prompt that other requests
 * may have too.  A prompt is made of parts in order, each with an id; the last one
 * belongs to the request itself or to its session and has no signature.
 */
#ifndef DL_SIGNATURE_H
#define DL_SIGNATURE_H

#include <stdbool.h>

#include "kernel/str.h"

#define DL_SIGNATURE_BYTES 33 /* with the terminating NUL */
/* Further parts of a longer prompt are ignored. */
#define DL_SIGNATURE_PARTS_MAX 16
#define DL_SIGNATURES_MAX      (DL_SIGNATURE_PARTS_MAX + 1)

/* One signature as text. */
typedef struct
{
  char text[DL_SIGNATURE_BYTES];
} DlSignature;

/* Signatures of one request; those of parts in their order, then that of the whole. */
typedef struct
{
  size_t count;
  DlSignature ids[DL_SIGNATURES_MAX];
} DlSignatures;

/* What makes two requests the same. */
typedef struct
{
  DlStr host;
  DlStr path;   /* as sent, without the query */
  DlStr caller; /* name of the organisation, or the key; empty for neither */
  DlStr body;
} DlRequestIdentity;

/* Returns the signature of the part with the id TEXT: the id itself, or a digest of one
 * that is too long. */
DlSignature dl_part_signature (DlStr text);
/* Returns the signature of whole requests with IDENTITY, which no part has. */
DlSignature dl_request_signature (const DlRequestIdentity *identity);
/* Returns the signature with TEXT as another node wrote it; an empty one when TEXT is too
 * long. */
DlSignature dl_signature_from_text (DlStr text);
/* True for the signature of whole requests. */
bool dl_signature_is_whole (const DlSignature *signature);
/* The digest in the signature of whole requests, in hexadecimal; part of SIGNATURE. */
const char *dl_signature_digest (const DlSignature *signature);
/* Returns the signature of whole requests with DIGEST, of which it holds no more than
 * those of requests have. */
DlSignature dl_signature_of_digest (const char *digest);
/* 64 bits of the signature of whole requests; never 0. */
uint64_t dl_signature_key (const DlSignature *signature);
/* Adds the signature of whole requests.  To be called once, after all parts. */
void dl_signatures_add_whole (DlSignatures *signatures, DlSignature whole);
/* Adds the signature of the part with the id TEXT, unless there are too many or TEXT is
 * empty. */
void dl_signatures_add_part (DlSignatures *signatures, DlStr text);
/* Returns the signatures of parts, separated by commas, a talloc child of CONTEXT. */
char *dl_signatures_parts_text (const void *context, const DlSignatures *signatures);

#endif
