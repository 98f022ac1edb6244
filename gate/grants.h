#ifndef GATE_GRANTS_H
#define GATE_GRANTS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * What a backend server that checks grants has been given to hold. It reports
 * in each heartbeat what it holds and what it let go, and each answer names all
 * that it is to hold and for how long; what an answer leaves out it lets go. A
 * shard may go to another server only when this one is known not to hold it,
 * so for each shard this keeps the latest moment until which it may. Times are
 * the node's own clock, passed in.
 */

#define HANDOVER_MAX_LEN 63

/* Keys [from, to] as a backend server names them. */
struct grant_row {
	int64_t from;
	int64_t to;
	int64_t fence;
	char handover[HANDOVER_MAX_LEN + 1]; /* "" none */
};

struct grant {
	int64_t fence; /* of the last grant by this process, 0 none */
	int64_t until_ms; /* the server may hold the shard until then */
	int64_t beat; /* number of the heartbeat whose answer granted it */
	bool confirmed; /* reported as held under this fence since */
	bool held; /* reported as held, under any, in the last heartbeat */
	char *handover_in; /* from the last holder, to go with the grant */
	char *handover_out; /* from our server when it let go */
};

struct grants {
	struct grant *shards;
	uint32_t n_shards;
	uint32_t n_keys;
	bool heard; /* a heartbeat has told what the server holds */
};

void grants_init(struct grants *g);
void grants_finish(struct grants *g);

/* Follow the configuration; a change of shape forgets everything. */
void grants_resize(struct grants *g, uint32_t n_shards, uint32_t n_keys);

/*
 * A heartbeat of number beat. hold_max_ms bounds how long a grant that a
 * process before this one gave can last.
 */
void grants_on_beat(struct grants *g, int64_t beat, const GArray *holds,
		    const GArray *released, int64_t hold_max_ms,
		    int64_t now_ms);

/* Another life of the backend server: it holds nothing yet. */
void grants_forget_server(struct grants *g);

/*
 * Note that the answer to heartbeat number beat grants a shard under fence for
 * hold_ms on the server's clock, and add its row to the answer, joined to the
 * last one where they fit together.
 */
void grants_give(struct grants *g, uint32_t shard, int64_t fence, int64_t beat,
		 int64_t hold_ms, GArray *rows, int64_t now_ms);

/* Whether the server may hold a shard, by any grant it was ever given. */
bool grants_may_hold(const struct grants *g, uint32_t shard, int64_t now_ms);

/*
 * Whether the server holds a shard that is ours under fence: granted so, or
 * still held by a grant of the process before this one.
 */
bool grants_granted(const struct grants *g, uint32_t shard, int64_t fence,
		    int64_t now_ms);

/* The longest hold_ms after which a slow server clock ends before end_ms. */
int64_t grants_hold_ms(int64_t end_ms, int64_t max_ms, int64_t now_ms);

/*
 * The handover that our server gave for a shard, for its next owner: added to
 * out as numbers, GRANTS_NUMBERS an entry, among those of seen ids.
 */
#define GRANTS_NUMBERS 4
void grants_export(const struct grants *g, uint32_t shard, GArray *out);

/* Take such an entry; false when it is not one. */
bool grants_import(struct grants *g, const int64_t *entry);

#endif
