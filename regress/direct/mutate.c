#include "mutate.h"

#include <string.h>

#define CHANGES_MAX    4
#define SPAN_BYTES_MAX 64
#define BITS_PER_BYTE  8
#define BYTE_VALUES    256

/* What parsers tend to get wrong. */
static const char *const odd_texts[] = {
  "",
  "-1",
  "0",
  "4294967296",
  "18446744073709551616",
  "1e999",
  "null",
  "[]",
  "{",
  "}",
  "\"",
  "\\u0000",
  "%00",
  "\r\n",
  "\n\n",
  ":",
  ",",
  "\xff\xff\xff\xff\x0f",
};

typedef enum
{
  CHANGE_BIT,
  CHANGE_BYTE,
  CHANGE_REMOVED,
  CHANGE_REPEATED,
  CHANGE_ODD_TEXT,
  CHANGE_NUMBER,
  CHANGE_CUT_OFF,
  CHANGES,
} Change;

/* A random number below LIMIT, which must not be 0. */
static guint
below (GRand *rand, guint limit)
{
  return (guint)g_rand_int_range (rand, 0, (gint32)limit);
}

static void
insert (GByteArray *bytes, guint at, const void *data, guint length)
{
  guint tail = bytes->len - at;

  g_byte_array_set_size (bytes, bytes->len + length);
  memmove (bytes->data + at + length, bytes->data + at, tail);
  memcpy (bytes->data + at, data, length);
}

/* A span from AT on that ends within the bytes. */
static guint
span_at (GRand *rand, const GByteArray *bytes, guint at)
{
  guint length = 1 + below (rand, SPAN_BYTES_MAX);

  return MIN (length, bytes->len - at);
}

static void
repeat_span (GRand *rand, GByteArray *bytes, guint at)
{
  guint length = span_at (rand, bytes, at);
  g_autofree guint8 *copy = g_memdup2 (bytes->data + at, length);

  insert (bytes, at, copy, length);
}

/* Replaces the LENGTH bytes from AT on by an odd text. */
static void
replace_span (GRand *rand, GByteArray *bytes, guint at, guint length)
{
  const char *text = odd_texts[below (rand, G_N_ELEMENTS (odd_texts))];

  g_byte_array_remove_range (bytes, at, length);
  insert (bytes, at, text, (guint)strlen (text));
}

/* Replaces the first number that follows AT. */
static void
replace_number (GRand *rand, GByteArray *bytes, guint at)
{
  guint end;

  while (at < bytes->len && !g_ascii_isdigit (bytes->data[at]))
    at++;
  for (end = at; end < bytes->len && g_ascii_isdigit (bytes->data[end]); end++)
    ;
  if (end > at)
    replace_span (rand, bytes, at, end - at);
}

static void
change (GRand *rand, GByteArray *bytes)
{
  guint at = below (rand, bytes->len);

  switch ((Change)below (rand, CHANGES))
    {
    case CHANGE_BIT:
      bytes->data[at] ^= (guint8)(1u << below (rand, BITS_PER_BYTE));
      break;
    case CHANGE_BYTE:
      bytes->data[at] = (guint8)below (rand, BYTE_VALUES);
      break;
    case CHANGE_REMOVED:
      g_byte_array_remove_range (bytes, at, span_at (rand, bytes, at));
      break;
    case CHANGE_REPEATED:
      repeat_span (rand, bytes, at);
      break;
    case CHANGE_ODD_TEXT:
      replace_span (rand, bytes, at, span_at (rand, bytes, at));
      break;
    case CHANGE_NUMBER:
      replace_number (rand, bytes, at);
      break;
    case CHANGE_CUT_OFF:
      g_byte_array_set_size (bytes, at);
      break;
    case CHANGES:
      g_assert_not_reached ();
    }
}

void
mutate (GRand *rand, GByteArray *bytes)
{
  guint count = 1 + below (rand, CHANGES_MAX);

  for (guint i = 0; i < count && bytes->len > 0; i++)
    change (rand, bytes);
}
