/*
 * Messages of the wire as JSON, for objects of the platform that people read.
 *
 * Field names are those of the message.  Enumerations are written by their names in lower
 * case, without the prefix, and digests in hexadecimal.
 */
#ifndef ENTRY_WIRE_JSON_H
#define ENTRY_WIRE_JSON_H

#include <json-c/json.h>
#include <protobuf-c/protobuf-c.h>

/* Returns MESSAGE, of which no field is a list or a message, as an object without the
 * fields that have their default value. */
json_object *wire_json_new (const ProtobufCMessage *message);

#endif
