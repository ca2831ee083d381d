/* Tests of the decision whether more of a response may be collected. */
#include <glib.h>

#include "policy/response_room.h"
#include "unit.h"

#define KIB       ((size_t)1 << 10)
#define MIB       ((size_t)1 << 20)
#define SHARE     (64 * KIB)
#define ALL       (32 * MIB)
#define MAX_BYTES (512 * KIB)

typedef struct
{
  const char *name;
  size_t held_bytes;
  size_t all_bytes;
  size_t extra_bytes;
  bool has_room;
} RoomCase;

static const RoomCase cases[] = {
  { "the first bytes", 0, 0, 1, true },
  { "a whole share at once", 0, 0, SHARE, true },
  { "up to its share, while all hold too much", SHARE - 1, 2 * ALL, 1, true },
  { "beyond its share, while all hold too much", SHARE, ALL, 1, false },
  { "beyond its share by the last piece", SHARE - 1, 2 * ALL, 2, false },
  { "beyond its share", SHARE, SHARE, 1, true },
  { "up to what all may hold", SHARE, ALL - 1, 1, true },
  { "beyond what all may hold", SHARE, ALL - 1, 2, false },
  { "up to the longest", MAX_BYTES - 1, MIB, 1, true },
  { "beyond the longest", MAX_BYTES - 1, MIB, 2, false },
  { "beyond the longest in one piece", 0, 0, MAX_BYTES + 1, false },
  { "no bytes, at the longest", MAX_BYTES, MIB, 0, true },
};

static void
test_room (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const RoomCase *c = &cases[i];
      const DlResponseRoom room = {
        .held_bytes = c->held_bytes,
        .max_bytes = MAX_BYTES,
        .all_bytes = c->all_bytes,
      };

      if (dl_response_room_has (&room, c->extra_bytes) != c->has_room)
        CU_FAIL_FATAL (c->name);
    }
}

static const CU_TestInfo tests[] = {
  { "how much of a response may be collected", test_room },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("response room", tests)
