#include <string.h>

#include "state/quarantine.h"
#include "util/result.h"

#ifdef RULE_SWITCHES
uint32_t quarantine_disabled_rules;
#define rule_enabled(rule) (!(quarantine_disabled_rules & (rule)))
#else
#define rule_enabled(rule) true
#endif

/* Numbers of a request in a snapshot. */
#define N_NUMBERS 4

static struct quarantined_request *find(struct quarantine *q,
					uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < q->n; i++)
		if (q->requests[i].fingerprint == fingerprint)
			return &q->requests[i];
	return NULL;
}

const struct quarantined_request *quarantine_find(const struct quarantine *q,
						  uint64_t fingerprint)
{
	return find((struct quarantine *)q, fingerprint);
}

bool quarantine_has_instance(const struct quarantine *q, uint64_t instance_hash)
{
	uint32_t i;

	for (i = 0; i < q->n_instances && i < QUARANTINE_INSTANCES; i++)
		if (q->instances[i] == instance_hash)
			return true;
	return false;
}

static void add_instance(struct quarantine *q, uint64_t instance_hash)
{
	q->instances[q->n_instances++ % QUARANTINE_INSTANCES] = instance_hash;
}

/*
 * The entry to replace when the table is full: with the fewest endings, so that
 * suspects do not displace blocked requests, and among those the oldest.
 */
static struct quarantined_request *least_important(struct quarantine *q)
{
	struct quarantined_request *least = &q->requests[0];
	uint32_t i;

	for (i = 1; i < q->n; i++) {
		struct quarantined_request *r = &q->requests[i];

		if (r->endings < least->endings ||
		    (r->endings == least->endings && r->offset < least->offset))
			least = r;
	}
	return least;
}

static struct quarantined_request *add(struct quarantine *q,
				       uint64_t fingerprint)
{
	struct quarantined_request *r = q->n < QUARANTINE_MAX
						? &q->requests[q->n++]
						: least_important(q);

	memset(r, 0, sizeof(*r));
	r->fingerprint = fingerprint;
	return r;
}

static uint32_t count_suspects(struct quarantine *q,
			       const uint64_t *fingerprints, uint32_t n)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < n; i++)
		count += find(q, fingerprints[i]) != NULL;
	return count;
}

int quarantine_add_ending(
	struct quarantine *q, uint64_t instance_hash,
	const uint64_t *fingerprints, uint32_t n, int64_t offset,
	void (*on_counted)(void *user, const struct quarantined_request *r),
	void *user)
{
	bool counts_for_suspects = count_suspects(q, fingerprints, n) <= 1 ||
				   !rule_enabled(QUARANTINE_RULE_ONE_SUSPECT);
	uint32_t i;

	if (quarantine_has_instance(q, instance_hash) &&
	    rule_enabled(QUARANTINE_RULE_ONCE))
		return RESULT_DUPLICATE;
	add_instance(q, instance_hash);
	for (i = 0; i < n; i++) {
		struct quarantined_request *r = find(q, fingerprints[i]);
		bool is_suspect = r;

		if (!r)
			r = add(q, fingerprints[i]);
		r->n_instances++;
		r->offset = offset;
		if (is_suspect && !counts_for_suspects)
			continue;
		r->endings++;
		if (on_counted)
			on_counted(user, r);
	}
	return RESULT_OK;
}

uint32_t quarantine_clear(struct quarantine *q, uint64_t fingerprint)
{
	struct quarantined_request *r = find(q, fingerprint);
	uint32_t endings;

	if (!r)
		return 0;
	endings = r->endings;
	*r = q->requests[--q->n];
	return endings;
}

json_t *quarantine_to_json(const struct quarantine *q)
{
	json_t *requests = json_array();
	json_t *instances = json_array();
	uint32_t first = q->n_instances > QUARANTINE_INSTANCES
				 ? q->n_instances - QUARANTINE_INSTANCES
				 : 0;
	uint32_t i;

	for (i = 0; i < q->n; i++) {
		const struct quarantined_request *r = &q->requests[i];

		json_array_append_new(
			requests,
			json_pack("[I,I,I,I]", (json_int_t)r->fingerprint,
				  (json_int_t)r->offset, (json_int_t)r->endings,
				  (json_int_t)r->n_instances));
	}
	for (i = first; i < q->n_instances; i++)
		json_array_append_new(
			instances,
			json_integer(
				(int64_t)q
					->instances[i % QUARANTINE_INSTANCES]));
	return json_pack("{s:o,s:o}", "requests", requests, "lives", instances);
}

static int64_t number_at(const json_t *list, uint32_t i)
{
	return json_integer_value(json_array_get(list, i));
}

static int read_request(struct quarantine *q, const json_t *list)
{
	struct quarantined_request *r;

	if (json_array_size(list) != N_NUMBERS)
		return RESULT_INVALID;
	r = add(q, (uint64_t)number_at(list, 0));
	r->offset = number_at(list, 1);
	r->endings = (uint32_t)number_at(list, 2);
	r->n_instances = (uint32_t)number_at(list, 3);
	return RESULT_OK;
}

int quarantine_from_json(struct quarantine *q, const json_t *o)
{
	const json_t *requests = json_object_get(o, "requests");
	const json_t *instances = json_object_get(o, "lives");
	const json_t *v;
	size_t i;
	int err;

	memset(q, 0, sizeof(*q));
	if (json_array_size(requests) > QUARANTINE_MAX ||
	    json_array_size(instances) > QUARANTINE_INSTANCES)
		return RESULT_INVALID;
	json_array_foreach(requests, i, v)
	{
		err = read_request(q, v);
		if (err)
			return err;
	}
	json_array_foreach(instances, i, v)
	{
		add_instance(q, (uint64_t)json_integer_value(v));
	}
	return RESULT_OK;
}
