/*
 * A sender that never stops: whenever this thread is about to read, more has come.
 */
#ifndef UNIT_ENDLESS_H
#define UNIT_ENDLESS_H

#include <stddef.h>

/* It gives up after so much, so that a reader without a bound ends as well. */
#define ENDLESS_GIVE_UP_BYTES (64u << 20)

/* Creates a pair of connected sockets, fills what the sender's side takes, and sends more
 * before each recv() of this thread.  Returns the reader's socket, which does not block.
 */
int endless_begin (void);
/* Returns how many bytes have been read. */
size_t endless_read_bytes (void);
/* Returns how many bytes have arrived that were not read. */
size_t endless_unread_bytes (void);
/* Sends nothing more.  The reader's socket stays open. */
void endless_stop (void);
/* Closes the sender's side. */
void endless_end (void);

#endif
