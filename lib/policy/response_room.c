#include "policy/response_room.h"

bool
dl_response_room_has (const DlResponseRoom *room, size_t extra_bytes)
{
  size_t length = room->held_bytes + extra_bytes;

  return length <= DL_RESPONSE_SHARE_BYTES
         || (length <= room->max_bytes
             && room->all_bytes + extra_bytes <= DL_RESPONSES_MAX_BYTES);
}
