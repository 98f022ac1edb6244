#include <string.h>
#include <msgpack.h>

#include "member/msg.h"
#include "util/result.h"

#define N_FIELDS 11

void member_msg_init(struct member_msg *msg, enum member_msg_type type)
{
	memset(msg, 0, sizeof(*msg));
	msg->type = type;
}

void member_msg_finish(struct member_msg *msg)
{
	if (msg->list)
		g_array_unref(msg->list);
	if (msg->ids)
		g_array_unref(msg->ids);
	if (msg->text)
		g_string_free(msg->text, TRUE);
	memset(msg, 0, sizeof(*msg));
}

static int write_bytes(void *user, const char *data, size_t len)
{
	g_byte_array_append(user, (const guint8 *)data, len);
	return 0;
}

static void pack_list(msgpack_packer *pk, const GArray *list)
{
	uint32_t i;

	msgpack_pack_array(pk, list ? list->len : 0);
	for (i = 0; list && i < list->len; i++)
		msgpack_pack_int64(pk, g_array_index(list, int64_t, i));
}

void member_msg_encode(const struct member_msg *msg, GByteArray *out)
{
	size_t len = msg->text ? msg->text->len : 0;
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, write_bytes);
	msgpack_pack_array(&pk, N_FIELDS);
	msgpack_pack_int(&pk, msg->type);
	msgpack_pack_int64(&pk, msg->from);
	msgpack_pack_int64(&pk, msg->to);
	msgpack_pack_int64(&pk, msg->subject);
	msgpack_pack_int64(&pk, msg->requested_at_ms);
	msgpack_pack_int64(&pk, msg->applied);
	msgpack_pack_int64(&pk, msg->offset);
	msgpack_pack_int64(&pk, msg->flags);
	pack_list(&pk, msg->list);
	pack_list(&pk, msg->ids);
	msgpack_pack_bin(&pk, len);
	if (len)
		msgpack_pack_bin_body(&pk, msg->text->str, len);
}

static int read_number(const msgpack_object *o, int64_t *out)
{
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*out = o->via.i64;
		return RESULT_OK;
	}
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > INT64_MAX)
		return RESULT_INVALID;
	*out = (int64_t)o->via.u64;
	return RESULT_OK;
}

static int read_list(const msgpack_object *o, uint32_t max, GArray **out)
{
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > max)
		return RESULT_INVALID;
	if (!o->via.array.size)
		return RESULT_OK;
	*out = g_array_sized_new(FALSE, FALSE, sizeof(int64_t),
				 o->via.array.size);
	for (i = 0; i < o->via.array.size; i++) {
		int64_t v;
		int err = read_number(&o->via.array.ptr[i], &v);

		if (err)
			return err;
		g_array_append_val(*out, v);
	}
	return RESULT_OK;
}

static int read_text(const msgpack_object *o, GString **out)
{
	if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size > MSG_MAX_TEXT)
		return RESULT_INVALID;
	if (o->via.bin.size)
		*out = g_string_new_len(o->via.bin.ptr, o->via.bin.size);
	return RESULT_OK;
}

static int read_fields(struct member_msg *msg, const msgpack_object *o)
{
	int64_t *numbers[] = { &msg->from,    &msg->to,
			       &msg->subject, &msg->requested_at_ms,
			       &msg->applied, &msg->offset,
			       &msg->flags };
	const msgpack_object *field;
	int64_t type;
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != N_FIELDS)
		return RESULT_INVALID;
	field = o->via.array.ptr;
	if (read_number(&field[0], &type) || type < MSG_VOUCH_REQUEST ||
	    type >= MSG_N_TYPES)
		return RESULT_INVALID;
	msg->type = type;
	for (i = 0; i < G_N_ELEMENTS(numbers); i++)
		if (read_number(&field[1 + i], numbers[i]))
			return RESULT_INVALID;
	if (read_list(&field[8], MSG_MAX_LIST, &msg->list) ||
	    read_list(&field[9], MSG_MAX_IDS, &msg->ids))
		return RESULT_INVALID;
	return read_text(&field[10], &msg->text);
}

int member_msg_decode(struct member_msg *msg, const void *data, size_t len)
{
	msgpack_unpacked u;
	int err = RESULT_INVALID;

	memset(msg, 0, sizeof(*msg));
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, data, len, NULL) == MSGPACK_UNPACK_SUCCESS)
		err = read_fields(msg, &u.data);
	msgpack_unpacked_destroy(&u);
	if (err)
		member_msg_finish(msg);
	return err;
}
