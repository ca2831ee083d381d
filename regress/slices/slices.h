/*
 * Slices without processor: the process stands still between two of its system calls, as
 * one does that shares a processor.  The calls of this program and of its libraries are
 * intercepted and counted on the thread that began.  The calls that the C library makes
 * for itself are not: those of standard output streams, for example.
 */
#ifndef SLICES_H
#define SLICES_H

#include <stddef.h>
#include <stdint.h>

/* Counts this thread's calls from now on.  Before call AT, counted from 1, ON_SLICE is
 * called and the thread sleeps for MS; 0: before none. */
void slices_begin (uint64_t at, unsigned ms, void (*on_slice) (void));
/* Counts the calls NAME alone on this thread; NULL: all. */
void slices_count_only (const char *name);
/* The name of the last call; "" for a step that is none. */
const char *slices_call (void);
/* Counts a step that is no system call. */
void slices_step (void);
/* Called before each call, and with the bytes written to standard output, after they were
 * written; both do nothing in a program that has none of its own. */
void slices_before_call (void);
void slices_on_output (const char *bytes, size_t length);
/* Stops counting; returns the number of calls. */
uint64_t slices_end (void);

#endif
