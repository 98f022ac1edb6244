#ifndef NET_CLOCK_H
#define NET_CLOCK_H

#include <stdint.h>

/*
 * Milliseconds of CLOCK_BOOTTIME, which goes on while a host is suspended: a
 * lease must not survive a suspension unnoticed.
 */
int64_t clock_now_ms(void);

/* The same in microseconds, for latencies. */
int64_t clock_now_us(void);

#endif
