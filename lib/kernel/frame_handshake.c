/*
 * The handshake of framed connections, see frame.h.
 */
#include <glib.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/frame_private.h"
#include "kernel/log.h"

static DlDigest
hello_mac (const DlIdentity *identity,
           const uint8_t *nonce,
           const char *name,
           int purpose)
{
  char *text = g_strdup_printf ("%d:%s", purpose, name);
  GString *data = g_string_new_len ((const char *)nonce, DL_NONCE_BYTES);
  DlDigest mac;

  g_string_append (data, text);
  mac = dl_mac (dl_str (identity->key), dl_str_bytes (data->str, data->len));
  g_string_free (data, TRUE);
  g_free (text);
  return mac;
}

/* Sets the keys that authenticate the two directions of this connection from here on. */
static void
set_auth_keys (DlConn *conn,
               const uint8_t *nonce,
               const char *initiator,
               bool is_initiator)
{
  DlStr key = dl_str (conn->identity->key);
  DlStr salt = dl_str_bytes (nonce, DL_NONCE_BYTES);
  char *from_initiator = g_strdup_printf ("from-dialler:%s", initiator);
  char *to_initiator = g_strdup_printf ("to-dialler:%s", initiator);

  dl_frame_auth_set_key (&conn->out_auth, key, salt,
                         is_initiator ? from_initiator : to_initiator);
  dl_frame_auth_set_key (&conn->in_auth, key, salt,
                         is_initiator ? to_initiator : from_initiator);
  g_free (from_initiator);
  g_free (to_initiator);
}

void
dl_conn_send_challenge (DlConn *conn)
{
  Daisyloft__Wire__Challenge challenge = DAISYLOFT__WIRE__CHALLENGE__INIT;
  DlEnvelope envelope = DL_ENVELOPE (CHALLENGE, challenge, &challenge);

  dl_random_bytes (conn->nonce, sizeof conn->nonce);
  challenge.protocol = DL_FRAME_PROTOCOL;
  challenge.nonce = DL_BYTES (dl_str_bytes (conn->nonce, sizeof conn->nonce));
  dl_conn_send (conn, &envelope, dl_str_bytes (NULL, 0));
}

int
dl_conn_handle_challenge (DlConn *conn, const DlEnvelope *envelope)
{
  const DlIdentity *id = conn->identity;
  Daisyloft__Wire__Hello hello = DAISYLOFT__WIRE__HELLO__INIT;
  DlEnvelope reply = DL_ENVELOPE (HELLO, hello, &hello);
  DlDigest mac;
  int error;

  if (envelope->body_case != DAISYLOFT__WIRE__ENVELOPE__BODY_CHALLENGE
      || envelope->challenge->protocol != DL_FRAME_PROTOCOL
      || envelope->challenge->nonce.len != DL_NONCE_BYTES)
    return DL_ERR_MALFORMED;
  mac = hello_mac (id, envelope->challenge->nonce.data, id->name, (int)conn->purpose);
  hello.name = (char *)id->name;
  hello.role = id->role;
  hello.purpose = conn->purpose;
  hello.region = (char *)id->region;
  hello.data_center = (char *)id->data_center;
  hello.address = (char *)id->address;
  hello.incarnation = id->incarnation;
  hello.mac = DL_BYTES (dl_str_bytes (mac.bytes, sizeof mac.bytes));
  conn->state = CONN_AWAIT_WELCOME;
  error = dl_conn_send (conn, &reply, dl_str_bytes (NULL, 0));
  set_auth_keys (conn, envelope->challenge->nonce.data, id->name, true);
  return error;
}

int
dl_conn_handle_hello (DlConn *conn, const DlEnvelope *envelope)
{
  const Daisyloft__Wire__Hello *hello = envelope->hello;
  Daisyloft__Wire__Welcome welcome = DAISYLOFT__WIRE__WELCOME__INIT;
  DlEnvelope reply = DL_ENVELOPE (WELCOME, welcome, &welcome);
  DlDigest mac;

  if (envelope->body_case != DAISYLOFT__WIRE__ENVELOPE__BODY_HELLO)
    return DL_ERR_MALFORMED;
  mac = hello_mac (conn->identity, conn->nonce, hello->name, (int)hello->purpose);
  if (!dl_secret_equal (dl_str_bytes (mac.bytes, sizeof mac.bytes),
                        DL_BYTES_STR (hello->mac)))
    {
      dl_log (DL_EVENT_CONNECTION_REFUSED, DL_TEXT ("peer", hello->name));
      return DL_ERR_UNAUTHORIZED;
    }
  conn->peer = (DlPeer){
    .name = talloc_strdup (conn, hello->name),
    .role = hello->role,
    .purpose = hello->purpose,
    .region = talloc_strdup (conn, hello->region),
    .data_center = talloc_strdup (conn, hello->data_center),
    .address = talloc_strdup (conn, hello->address),
    .incarnation = hello->incarnation,
  };
  conn->state = CONN_OPEN;
  set_auth_keys (conn, conn->nonce, hello->name, false);
  welcome.name = (char *)conn->identity->name;
  welcome.incarnation = conn->identity->incarnation;
  return dl_conn_send (conn, &reply, dl_str_bytes (NULL, 0));
}
