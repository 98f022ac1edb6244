#ifndef NET_ANSWER_DELAY_H
#define NET_ANSWER_DELAY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How late the answers of the log have been, and from when on a missing one is
 * taken for lost. A connection can be dead without a reset: what was asked on
 * it is never answered, while other connections work. No input or output.
 */
struct answer_delay {
	int64_t late_ms; /* beyond the time that the log was allowed to wait */
};

/*
 * Records an answer: it came took_ms after the request, which allowed the log
 * to wait wait_ms for records. has_records: it need not have waited.
 */
void answer_delay_on_answer(struct answer_delay *d, int64_t wait_ms,
			    int64_t took_ms, bool has_records);

/*
 * How long after the time that the log may wait an answer is overdue: the
 * request should then be sent again on another connection.
 */
int64_t answer_delay_overdue_ms(const struct answer_delay *d);

#endif
