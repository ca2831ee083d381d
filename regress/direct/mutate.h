/* Changes bytes at random, as a faulty sender or link would. */
#ifndef DIRECT_MUTATE_H
#define DIRECT_MUTATE_H

#include <glib.h>

/* Makes one to four changes to BYTES, chosen by RAND: bits flipped, bytes replaced, spans
 * removed, repeated or swapped for odd text, numbers made extreme, or the end cut off. */
void mutate (GRand *rand, GByteArray *bytes);

#endif
