#include <time.h>

#include "net/clock.h"

int64_t clock_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t clock_now_ms(void)
{
	return clock_now_us() / 1000;
}
