/*
 * Whether an entry that has just started waits for word of further engines before it is
 * ready.
 *
 * It uses an engine only when the engine's stager has told of it.  An entry that is ready
 * before it has heard of most would refuse requests beside idle engines.  Of the engines
 * that are listed some may be gone for good, many after a loss of power, so that the word
 * of all of them does not come.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_ENGINES_WAIT_H
#define DL_ENGINES_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/* Longest wait after the start. */
#define DL_ENGINES_WAIT_MAX_MS 3000
/* The wait ends when no further engine was heard of for this long. */
#define DL_ENGINES_WAIT_QUIET_MS 600

/* What the entry knows. */
typedef struct
{
  uint64_t started_ms; /* of the entry */
  uint64_t heard_ms;   /* when an engine was first heard of last; 0: none was */
  bool has_unheard;    /* an engine is listed that was not heard of */
} DlEnginesHeard;

bool dl_engines_are_awaited (const DlEnginesHeard *heard, uint64_t now_ms);

#endif
