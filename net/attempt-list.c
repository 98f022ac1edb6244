#include <stdbool.h>
#include <msgpack.h>

#include "net/attempt-list.h"

#define N_FIELDS 5

static int write_bytes(void *user, const char *data, size_t len)
{
	g_byte_array_append(user, (const guint8 *)data, len);
	return 0;
}

void attempt_list_encode(const GArray *list, GByteArray *out)
{
	msgpack_packer pk;
	uint32_t i;

	msgpack_packer_init(&pk, out, write_bytes);
	msgpack_pack_array(&pk, list->len);
	for (i = 0; i < list->len; i++) {
		const struct listed_attempt *a =
			&g_array_index(list, struct listed_attempt, i);

		msgpack_pack_array(&pk, N_FIELDS);
		msgpack_pack_uint64(&pk, a->id);
		msgpack_pack_int64(&pk, a->process);
		msgpack_pack_uint64(&pk, a->connection);
		msgpack_pack_int64(&pk, a->bytes);
		msgpack_pack_int64(&pk, a->state);
	}
}

static bool read_attempt(const msgpack_object *o, struct listed_attempt *a)
{
	const msgpack_object *f = o->via.array.ptr;
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != N_FIELDS)
		return false;
	/* None of the numbers is ever negative. */
	for (i = 0; i < N_FIELDS; i++)
		if (f[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
		    f[i].via.u64 > INT64_MAX)
			return false;
	*a = (struct listed_attempt){
		.id = f[0].via.u64,
		.process = (int64_t)f[1].via.u64,
		.connection = f[2].via.u64,
		.bytes = (int64_t)f[3].via.u64,
		.state = (int64_t)f[4].via.u64,
	};
	return true;
}

static GArray *read_list(const msgpack_object *o)
{
	GArray *list;
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return NULL;
	list = g_array_new(FALSE, FALSE, sizeof(struct listed_attempt));
	for (i = 0; i < o->via.array.size; i++) {
		struct listed_attempt a;

		if (!read_attempt(&o->via.array.ptr[i], &a)) {
			g_array_unref(list);
			return NULL;
		}
		g_array_append_val(list, a);
	}
	return list;
}

GArray *attempt_list_decode(const void *data, size_t len)
{
	GArray *list = NULL;
	msgpack_unpacked u;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, data, len, NULL) == MSGPACK_UNPACK_SUCCESS)
		list = read_list(&u.data);
	msgpack_unpacked_destroy(&u);
	return list;
}
