/*
 * Seals of frames: the header of a frame with a keyed tag over it, and a keyed digest of
 * the body, so that a frame that was garbled, repeated, left out or made by somebody
 * without the fleet's key is refused.  Each direction of a connection has a seal of its
 * own on both sides, which count the frames.
 *
 * A header is two big-endian 32-bit lengths, of the envelope and of the payload, the
 * digest of the body and the tag.  The tag is checked as soon as the header is there: a
 * wrong length is not waited for.
 */
#ifndef DL_FRAME_AUTH_H
#define DL_FRAME_AUTH_H

#include <stdint.h>

#include "kernel/str.h"

#define DL_FRAME_HEADER_BYTES   24
#define DL_FRAME_AUTH_KEY_BYTES 16

typedef struct
{
  uint8_t key[DL_FRAME_AUTH_KEY_BYTES]; /* zero until the handshake has named the peers */
  uint64_t sequence;                    /* frames sealed or checked so far */
} DlFrameAuth;

/* Derives the key from the fleet's key, the connection's nonce and LABEL. */
void dl_frame_auth_set_key (DlFrameAuth *seal,
                            DlStr fleet_key,
                            DlStr nonce,
                            const char *label);
/* Writes the header of the next frame; BODY is what its digest covers. */
void dl_frame_auth_write_header (DlFrameAuth *seal,
                                 uint32_t envelope_bytes,
                                 uint32_t payload_bytes,
                                 DlStr body,
                                 uint8_t *header);
/* Reads the lengths of the next frame.  Returns 0 or DL_ERR_MALFORMED. */
int dl_frame_auth_check_header (const DlFrameAuth *seal,
                                const uint8_t *header,
                                uint32_t *envelope_bytes,
                                uint32_t *payload_bytes);
/* Checks the frame's body and counts it.  Returns 0 or DL_ERR_MALFORMED. */
int dl_frame_auth_check_body (DlFrameAuth *seal, const uint8_t *header, DlStr body);

#endif
