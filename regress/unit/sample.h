/*
 * An in-memory object store with sample objects, for tests of queries and commands.
 */
#ifndef SAMPLE_H
#define SAMPLE_H

#include "query/query.h"

/* A store that tests read and write in place of the platform. */
typedef struct
{
  uint64_t revision;
  size_t count;
  DlObject *objects; /* sorted by kind, then name */
} Sample;

/* Creates a store of two data centres, five hosts, a rollout in progress, two versions
 * and fleet settings. */
Sample *sample_new (const void *context);
Sample *sample_empty (const void *context);
DlQuerySource sample_source (const Sample *sample);
/* Writes an object that is at revision BASE (0: does not exist).  VALUE is borrowed; NULL
 * deletes the object.  Returns 0, DL_ERR_CONFLICT or DL_ERR_NOT_FOUND. */
int sample_write (Sample *sample,
                  const char *kind,
                  const char *name,
                  uint64_t base,
                  json_object *value);
/* Writes the JSON in TEXT unconditionally. */
void sample_set (Sample *sample, const char *kind, const char *name, const char *text);

extern const char sample_digest_1[];
extern const char sample_digest_2[];

#endif
