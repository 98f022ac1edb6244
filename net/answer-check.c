#include <string.h>
#include <strings.h>

#include "net/answer-check.h"

#define HTTP_NO_CONTENT 204
#define HTTP_NOT_MODIFIED 304

#ifdef RULE_SWITCHES
bool answer_check_disabled;
#else
#define answer_check_disabled false
#endif

/*
 * Whether all headers of a name have this value. A head that has several with
 * different values may be made of the heads of two answers.
 */
static bool all_are(const GPtrArray *headers, const char *name,
		    const char *value)
{
	guint i;

	for (i = 0; headers && i + 1 < headers->len; i += 2)
		if (!strcasecmp(g_ptr_array_index(headers, i), name) &&
		    strcmp(g_ptr_array_index(headers, i + 1), value))
			return false;
	return true;
}

bool answer_is_for(const GPtrArray *headers, const struct header_names *names,
		   const char *attempt_id)
{
	const char *echo = header_find(headers, names->attempt_id);

	if (answer_check_disabled)
		return true;
	if (!echo)
		return !attempt_id;
	return all_are(headers, names->attempt_id,
		       attempt_id ? attempt_id : "");
}

bool answer_is_signed(const GPtrArray *headers,
		      const struct header_names *names, long status)
{
	const char *signature = header_find(headers, names->signature);

	if (!names->signature || status >= 300)
		return true;
	return signature && *signature &&
	       all_are(headers, names->signature, signature) &&
	       !header_find(headers, "Content-Encoding");
}

enum answer_fault answer_check_head(const GPtrArray *headers,
				    const struct header_names *names,
				    const char *attempt_id, long status)
{
	if (!answer_is_for(headers, names, attempt_id))
		return ANSWER_FAULT_other;
	if (!answer_is_signed(headers, names, status))
		return ANSWER_FAULT_unsigned;
	return ANSWER_FAULT_none;
}

int64_t answer_length(const GPtrArray *headers)
{
	const char *text = header_find(headers, "Content-Length");
	guint64 length;

	if (!text)
		return ANSWER_LENGTH_NONE;
	if (!all_are(headers, "Content-Length", text) ||
	    !g_ascii_string_to_unsigned(text, 10, 0, INT64_MAX, &length, NULL))
		return ANSWER_LENGTH_IN_DOUBT;
	return (int64_t)length;
}

bool answer_has_body(bool is_head, long status)
{
	return !is_head && status != HTTP_NO_CONTENT &&
	       status != HTTP_NOT_MODIFIED;
}
