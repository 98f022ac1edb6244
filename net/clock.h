#ifndef NET_CLOCK_H
#define NET_CLOCK_H

#include <stdint.h>

/*
 * Milliseconds of CLOCK_BOOTTIME. Unlike CLOCK_MONOTONIC it also counts while
 * the host is suspended: otherwise a lease that expires during a suspension
 * would still look valid after it.
 */
int64_t clock_now_ms(void);

/* Microseconds of the same clock, for latencies. */
int64_t clock_now_us(void);

#endif
