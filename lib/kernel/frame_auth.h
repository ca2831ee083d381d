/*
 * Frame authentication: the header of each frame holds a keyed digest of the body and a
 * keyed tag over the header and the frame's number.  Frames that were corrupted,
 * replayed, left out or forged without the fleet key are rejected.  Both sides keep one
 * DlFrameAuth per direction, which counts the frames.
 *
 * The header consists of the lengths of envelope and payload, as 32-bit big-endian
 * numbers, the digest of the body and the tag.  The tag is checked as soon as the header
 * has arrived, so that a receiver never waits for the bytes of a corrupted length.
 */
#ifndef DL_FRAME_AUTH_H
#define DL_FRAME_AUTH_H

#include <stdint.h>

#include "kernel/str.h"

#define DL_FRAME_HEADER_BYTES   24
#define DL_FRAME_AUTH_KEY_BYTES 16

/* The state of one direction of a connection; starts zeroed. */
typedef struct
{
  uint8_t key[DL_FRAME_AUTH_KEY_BYTES]; /* zero until the handshake has derived a key */
  uint64_t sequence;                    /* frames written or checked so far */
} DlFrameAuth;

/* Derives the key from the fleet key, the connection's nonce and LABEL, which names the
 * direction. */
void dl_frame_auth_set_key (DlFrameAuth *auth,
                            DlStr fleet_key,
                            DlStr nonce,
                            const char *label);
/* Writes the header of the next frame, DL_FRAME_HEADER_BYTES long.  BODY is the part of
 * envelope and payload that the digest covers. */
void dl_frame_auth_write_header (DlFrameAuth *auth,
                                 uint32_t envelope_bytes,
                                 uint32_t payload_bytes,
                                 DlStr body,
                                 uint8_t *header);
/* Checks the tag of the next frame's header and reads the lengths.  Returns 0 or
 * DL_ERR_MALFORMED. */
int dl_frame_auth_check_header (const DlFrameAuth *auth,
                                const uint8_t *header,
                                uint32_t *envelope_bytes,
                                uint32_t *payload_bytes);
/* Checks BODY against the digest in HEADER and counts the frame.  Returns 0 or
 * DL_ERR_MALFORMED. */
int dl_frame_auth_check_body (DlFrameAuth *auth, const uint8_t *header, DlStr body);

#endif
