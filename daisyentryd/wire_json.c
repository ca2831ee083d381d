#include "wire_json.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "kernel/crypt.h"
#include "kernel/frame.h"

static json_object *
enum_to_json (const ProtobufCFieldDescriptor *field, int value)
{
  const ProtobufCEnumValue *v
      = protobuf_c_enum_descriptor_get_value (field->descriptor, value);
  const char *name = v != NULL ? strchr (v->name, '_') : NULL;
  char *lower = g_ascii_strdown (name != NULL ? name + 1 : "", -1);
  json_object *json = json_object_new_string (lower);

  g_free (lower);
  return json;
}

static json_object *
bytes_to_json (const ProtobufCBinaryData *bytes)
{
  char hex[DL_DIGEST_HEX_BYTES] = "";
  DlDigest digest;

  if (dl_digest_from_bytes (DL_BYTES_STR (*bytes), &digest) == 0)
    dl_digest_to_hex (&digest, hex);
  return json_object_new_string (hex);
}

static json_object *
field_to_json (const ProtobufCMessage *message, const ProtobufCFieldDescriptor *field)
{
  const void *at = (const char *)message + field->offset;

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_STRING:
      return json_object_new_string (*(char *const *)at);
    case PROTOBUF_C_TYPE_BYTES:
      return bytes_to_json (at);
    case PROTOBUF_C_TYPE_ENUM:
      return enum_to_json (field, *(const int *)at);
    case PROTOBUF_C_TYPE_BOOL:
      return json_object_new_boolean (*(const protobuf_c_boolean *)at);
    case PROTOBUF_C_TYPE_UINT32:
      return json_object_new_uint64 (*(const uint32_t *)at);
    case PROTOBUF_C_TYPE_UINT64:
      return json_object_new_uint64 (*(const uint64_t *)at);
    default:
      return NULL;
    }
}

/* Returns false for fields with the default value, which most have.  They are omitted. */
static bool
has_value (const ProtobufCMessage *message, const ProtobufCFieldDescriptor *field)
{
  const void *at = (const char *)message + field->offset;

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_STRING:
      return (*(char *const *)at)[0] != '\0';
    case PROTOBUF_C_TYPE_BYTES:
      return ((const ProtobufCBinaryData *)at)->len > 0;
    case PROTOBUF_C_TYPE_BOOL:
      return *(const protobuf_c_boolean *)at;
    case PROTOBUF_C_TYPE_UINT32:
      return *(const uint32_t *)at != 0;
    case PROTOBUF_C_TYPE_UINT64:
      return *(const uint64_t *)at != 0;
    default:
      return true;
    }
}

json_object *
wire_json_new (const ProtobufCMessage *message)
{
  const ProtobufCMessageDescriptor *d = message->descriptor;
  json_object *row = json_object_new_object ();

  for (unsigned i = 0; i < d->n_fields; i++)
    if (has_value (message, &d->fields[i]))
      json_object_object_add (row, d->fields[i].name,
                              field_to_json (message, &d->fields[i]));
  return row;
}
