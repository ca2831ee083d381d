#include "node/named.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* Names that two nodes saw differ by less than this. */
#define SAME_MS 300

DlNamedHow
dl_named_how (const DlObjectWatch *watch)
{
  if (dl_object_watch_proven_ms (watch) == 0)
    return DL_NAMED_AT_START;
  return dl_object_watch_is_unbroken (watch) ? DL_NAMED_SEEN : DL_NAMED_AFTER_GAP;
}

static uint64_t
before (uint64_t now_ms, uint64_t age_ms)
{
  return now_ms > age_ms ? now_ms - age_ms : 1;
}

static bool
is_newer (const DlNamed *named, const char *model, uint64_t version)
{
  return named->model == NULL || strcmp (named->model, model) != 0
         || version > named->version;
}

static void
adopt (const void *owner, DlNamed *named, const char *model, uint64_t version)
{
  talloc_free (named->model);
  named->model = talloc_strdup (owner, model);
  named->version = version;
}

bool
dl_named_by_store (const void *owner,
                   DlNamed *named,
                   const char *model,
                   uint64_t version,
                   DlNamedHow how,
                   uint64_t now_ms)
{
  if (!is_newer (named, model, version))
    return false;
  adopt (owner, named, model, version);
  named->witnessed = how == DL_NAMED_SEEN;
  named->named_ms
      = how == DL_NAMED_AT_START ? before (now_ms, DL_NAMED_ASSUMED_AGE_MS) : now_ms;
  return true;
}

bool
dl_named_by_node (const void *owner,
                  DlNamed *named,
                  const Daisyloft__Wire__Named *told,
                  uint64_t now_ms)
{
  uint64_t named_ms = before (now_ms, told->age_ms);

  if (is_newer (named, told->model, told->version))
    adopt (owner, named, told->model, told->version);
  else if (told->version < named->version || !told->witnessed
           || (named->witnessed && named_ms + SAME_MS >= named->named_ms))
    return false;
  named->witnessed = told->witnessed;
  named->named_ms = named_ms;
  return true;
}

bool
dl_named_write (const DlNamed *named, Daisyloft__Wire__Named *told, uint64_t now_ms)
{
  if (named->model == NULL)
    return false;
  daisyloft__wire__named__init (told);
  told->model = named->model;
  told->version = named->version;
  told->age_ms = now_ms - named->named_ms;
  told->witnessed = named->witnessed;
  return true;
}
