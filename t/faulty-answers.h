#ifndef T_FAULTY_ANSWERS_H
#define T_FAULTY_ANSWERS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * Answers that break off, come in parts, twice or late. Without I/O: an answer
 * is a list of parts, which t/faulty-server.c sends. The form follows from the
 * last segment of the request's path, whose words are joined by "-":
 *
 *   break KIND PLACE END   the answer ends at a place
 *   ends LINE_END WHOSE    lines do not end with CRLF
 *   trailers KIND PART     trailers are another answer's head, or its headers
 *   twice KIND HOW WHEN    a whole answer, then another one to the same request
 *   stray KIND PLACE       part of another answer comes before the next one
 *   status CODE KIND       the status line has this code; with an "n" after it,
 *                          no phrase
 *   stutter SEED           one of these at random, at any byte, or none
 *
 * KIND      200 and 404 have run, 503 and 421 have not; chunks and unframed are
 *           a 200 with a body in chunks or without a length
 * PLACE     line (after the status line), header (within one), headers (after
 *           the last one), head (after the head), body
 * END       fin, reset
 * PART      head, headers
 * LINE_END  lf, lastlf, cr, lastcr: all lines, or the last one of the head
 * WHOSE     own, other (another request's answer), unsigned
 * HOW       whole, cut, parts
 * WHEN      now, late (1 to 50 ms), next (right before the next answer)
 */

enum part_end {
	PART_CONTINUES,
	PART_FIN,
	PART_RESET,
};

struct part {
	uint32_t delay_ms; /* before it is sent */
	GString *bytes;
	enum part_end end; /* of the connection, after it */
};

void part_free(struct part *p);
void parts_add(GQueue *parts, uint32_t delay_ms, GString *bytes,
	       enum part_end end);

/*
 * Adds the parts of an answer in the form that the path names, and to
 * before_next what is to come right before the next answer of the connection.
 * Sets *ran to whether the request runs. Returns false if the path names no
 * form.
 */
bool faulty_answer_add(GQueue *parts, GString *before_next, const char *path,
		       const char *id, bool *ran);

#endif
