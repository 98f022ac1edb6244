#ifndef UTIL_RESULT_H
#define UTIL_RESULT_H

/*
 * Result codes. Functions that can fail return one of these, negative on
 * failure, and their callers must check it. docs/RESULT-CODES.md has the table
 * for operators. The numbers appear in logs and never change their meaning.
 */
enum result {
	RESULT_OK = 0,
	RESULT_INVALID = -1, /* the input is malformed or out of range */
	RESULT_IO = -2, /* a file or socket could not be used */
	RESULT_UNKNOWN_FIELD = -3, /* settings or configuration name a field
				      that does not exist */
	RESULT_STALE = -4, /* the record's base is no longer in force */
	RESULT_DUPLICATE = -5, /* this record was applied before */
	RESULT_NO_SUCH = -6, /* the named thing does not exist */
	RESULT_GAP = -7, /* records are missing before this one */
	RESULT_NOT_OWNER = -8, /* this node may not serve the key */
	RESULT_OVERLOAD = -9, /* refused for overload before it was started */
	RESULT_TIMEOUT = -10, /* no answer within the time limit */
	RESULT_CONFLICT = -11, /* another change was made first */
	RESULT_UNREACHABLE = -12, /* the other side could not be reached */
	RESULT_CUT = -13, /* the answer was truncated */
	RESULT_CANCELLED = -14, /* the caller or the entry gave up */
	RESULT_TRIMMED = -15, /* the log no longer holds the offset */
	RESULT_MIXED = -16, /* the answer belongs to another request */
	RESULT_QUARANTINED = -17, /* servers have ended by this request */
};

const char *result_name(int code);

#endif
