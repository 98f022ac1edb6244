#ifndef NODE_ENTRY_REQUEST_H
#define NODE_ENTRY_REQUEST_H

#include <stdbool.h>
#include <stdint.h>
#define XXH_STATIC_LINKING_ONLY /* the state has a size */
#include <xxhash.h>

#include "node/entry.h"
#include "settings/configuration.h"

/* A caller's request and the attempts made for it; only for node/entry*.c. */

#define MAX_ATTEMPTS 2

struct attempt {
	uint64_t id;
	struct entry_request *request; /* NULL once it does not matter */
	int64_t member;
	char address[64];
	int64_t sent_us;
	bool hedge;
};

struct entry_request {
	struct entry *entry;
	struct httpd_request *http;
	const struct class_settings *class; /* valid for this version only */
	int64_t version;
	bool repeatable;
	bool keyed;
	bool streaming;
	bool hedged;
	bool done;
	char *key;
	const char *id_header;
	char service[NAME_MAX_LEN + 1];
	uint32_t shard;
	GPtrArray *headers;
	int64_t received_ms;
	int64_t deadline_ms;
	int64_t target_ms;
	int64_t resume_ms; /* when to try again, 0 not waiting */
	uint32_t tries;
	uint32_t rounds; /* of all candidates, without one that serves */
	uint32_t refusals; /* of the candidates in this round */
	int64_t last_member;
	int64_t refused_wait_ms;
	struct attempt *attempts[MAX_ATTEMPTS];
	struct attempt *winner;
	int64_t received_bytes;
	int64_t credited_bytes;
	XXH64_state_t digest;
};

/*
 * Find class, key and shard of a request. Returns false once the request has
 * been answered because there are none.
 */
bool entry_classify(struct entry_request *r);

void entry_reply_not_run(struct entry_request *r, const char *text);
void entry_reject(struct entry_request *r, uint32_t status, const char *text);

#endif
