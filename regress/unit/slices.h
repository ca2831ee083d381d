/*
 * Slices without processor: the process stands still between two of its system calls, as
 * one does that shares a processor.  The calls of this program and of its libraries are
 * intercepted and counted on the thread that began.
 */
#ifndef SLICES_H
#define SLICES_H

#include <stdint.h>

/* Counts this thread's calls from now on.  Before call AT, counted from 1, ON_SLICE is
 * called and the thread sleeps for MS; 0: before none. */
void slices_begin (uint64_t at, unsigned ms, void (*on_slice) (void));
/* Counts a step that is no system call. */
void slices_step (void);
/* Stops counting; returns the number of calls. */
uint64_t slices_end (void);

#endif
