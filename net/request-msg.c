#include <string.h>
#include <msgpack.h>

#include "net/request-msg.h"
#include "util/result.h"

#define N_NUMBERS 17
#define N_STRINGS 5
#define N_FIELDS (1 + N_NUMBERS + N_STRINGS + 2)
#define MAX_HEADERS 256
#define STRING_CHUNK 512

static int write_bytes(void *user, const char *data, size_t len)
{
	g_byte_array_append(user, (const guint8 *)data, len);
	return 0;
}

static void pack_string(msgpack_packer *pk, const char *s)
{
	size_t len = s ? strlen(s) : 0;

	msgpack_pack_str(pk, len);
	if (len)
		msgpack_pack_str_body(pk, s, len);
}

void request_msg_encode(const struct request_msg *m, GByteArray *out)
{
	const int64_t numbers[N_NUMBERS] = {
		(int64_t)m->origin,
		(int64_t)m->id,
		m->gate_member,
		m->shard,
		m->target_ms,
		m->priority,
		m->resend_window_ms,
		m->sent_at_ms,
		m->deadline_ms,
		m->flags,
		m->status,
		m->number,
		m->wait_ms,
		m->body_length,
		(int64_t)m->body_digest,
		m->load,
		m->limit,
	};
	const char *strings[N_STRINGS] = { m->method, m->url, m->class_name,
					   m->key, m->idempotency_key };
	msgpack_packer pk;
	uint32_t i;

	msgpack_packer_init(&pk, out, write_bytes);
	msgpack_pack_array(&pk, N_FIELDS);
	msgpack_pack_int(&pk, m->type);
	for (i = 0; i < N_NUMBERS; i++)
		msgpack_pack_int64(&pk, numbers[i]);
	for (i = 0; i < N_STRINGS; i++)
		pack_string(&pk, strings[i]);
	msgpack_pack_array(&pk, m->headers ? m->headers->len : 0);
	for (i = 0; m->headers && i < m->headers->len; i++)
		pack_string(&pk, g_ptr_array_index(m->headers, i));
	msgpack_pack_bin(&pk, m->len);
	if (m->len)
		msgpack_pack_bin_body(&pk, m->data, m->len);
}

static int read_number(const msgpack_object *o, int64_t *out)
{
	if (o->type != MSGPACK_OBJECT_NEGATIVE_INTEGER &&
	    o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return RESULT_INVALID;
	*out = o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER ? o->via.i64
							  : (int64_t)o->via.u64;
	return RESULT_OK;
}

static const char *read_string(struct request_msg *m, const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_STR ||
	    memchr(o->via.str.ptr, 0, o->via.str.size))
		return NULL;
	return g_string_chunk_insert_len(m->strings, o->via.str.ptr,
					 o->via.str.size);
}

static int read_headers(struct request_msg *m, const msgpack_object *o)
{
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size > 2 * MAX_HEADERS || o->via.array.size % 2)
		return RESULT_INVALID;
	m->headers = g_ptr_array_sized_new(o->via.array.size);
	for (i = 0; i < o->via.array.size; i++) {
		const char *s = read_string(m, &o->via.array.ptr[i]);

		if (!s)
			return RESULT_INVALID;
		g_ptr_array_add(m->headers, (char *)s);
	}
	return RESULT_OK;
}

static int read_numbers(struct request_msg *m, const msgpack_object *f)
{
	int64_t *numbers[N_NUMBERS] = {
		(int64_t *)&m->origin,
		(int64_t *)&m->id,
		&m->gate_member,
		&m->shard,
		&m->target_ms,
		&m->priority,
		&m->resend_window_ms,
		&m->sent_at_ms,
		&m->deadline_ms,
		&m->flags,
		&m->status,
		&m->number,
		&m->wait_ms,
		&m->body_length,
		(int64_t *)&m->body_digest,
		&m->load,
		&m->limit,
	};
	uint32_t i;

	for (i = 0; i < N_NUMBERS; i++)
		if (read_number(&f[i], numbers[i]))
			return RESULT_INVALID;
	return RESULT_OK;
}

static int read_fields(struct request_msg *m, const msgpack_object *o)
{
	const char **strings[N_STRINGS] = { &m->method, &m->url, &m->class_name,
					    &m->key, &m->idempotency_key };
	const msgpack_object *f;
	int64_t type;
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != N_FIELDS)
		return RESULT_INVALID;
	f = o->via.array.ptr;
	if (read_number(&f[0], &type) || type < REQ_SUBMIT ||
	    type >= REQ_N_TYPES)
		return RESULT_INVALID;
	m->type = type;
	if (read_numbers(m, f + 1))
		return RESULT_INVALID;
	for (i = 0; i < N_STRINGS; i++) {
		*strings[i] = read_string(m, &f[1 + N_NUMBERS + i]);
		if (!*strings[i])
			return RESULT_INVALID;
	}
	if (read_headers(m, &f[N_FIELDS - 2]))
		return RESULT_INVALID;
	if (f[N_FIELDS - 1].type != MSGPACK_OBJECT_BIN)
		return RESULT_INVALID;
	m->data = f[N_FIELDS - 1].via.bin.ptr;
	m->len = f[N_FIELDS - 1].via.bin.size;
	return RESULT_OK;
}

int request_msg_decode(struct request_msg *m, const void *data, size_t len)
{
	msgpack_unpacked u;
	int err = RESULT_INVALID;

	memset(m, 0, sizeof(*m));
	m->strings = g_string_chunk_new(STRING_CHUNK);
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, data, len, NULL) == MSGPACK_UNPACK_SUCCESS)
		err = read_fields(m, &u.data);
	msgpack_unpacked_destroy(&u);
	if (err)
		request_msg_finish(m);
	return err;
}

void request_msg_finish(struct request_msg *m)
{
	if (m->headers)
		g_ptr_array_unref(m->headers);
	if (m->strings)
		g_string_chunk_free(m->strings);
	memset(m, 0, sizeof(*m));
}
