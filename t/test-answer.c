#include <glib.h>
#include <string.h>

#include "net/answer.h"
#include "net/headers.h"

/* Which bytes are an answer, by the lines and body parts that are received. */

#define OK "HTTP/1.1 200 OK\r\nId: 1\r\nSig: a\r\n"
#define LENGTH OK "Content-Length: 5\r\n\r\n"
#define EMPTY OK "Content-Length: 0\r\n\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
#define FULL "HTTP/1.1 503 Full\r\n"
#define OTHER "HTTP/1.1 200 OK\r\nId: 2\r\nSig: b\r\nContent-Length: 5\r\n\r\n"

#define NONE ANSWER_FAULT_none
#define FOREIGN ANSWER_FAULT_other
#define UNSIGNED ANSWER_FAULT_unsigned
#define HEAD_CUT ANSWER_FAULT_head_cut
#define BODY_CUT ANSWER_FAULT_body_cut
#define PROTOCOL ANSWER_FAULT_protocol
#define ENDLESS ANSWER_FAULT_endless

/* How the connection ended. */
enum end {
	BROKEN,
	IN_ORDER
};

struct row {
	const char *method;
	const char *head; /* a line without its end is not fed */
	const char *framed; /* what follows the head */
	enum end end;
	enum answer_fault fault; /* NONE: the answer is whole */
	long status;
	const char *body;
	bool surplus;
};

static const struct row whole[] = {
	{ "GET", LENGTH, "hello", BROKEN, NONE, 200, "hello", false },
	{ "GET", LENGTH, "hello", IN_ORDER, NONE, 200, "hello", false },
	{ "GET", EMPTY, "", BROKEN, NONE, 200, "", false },
	{ "HEAD", LENGTH, "", BROKEN, NONE, 200, "", false },
	{ "HEAD", CHUNKED, "", BROKEN, NONE, 200, "", false },
	{ "HEAD", OK "\r\n", "", BROKEN, NONE, 200, "", false },
	{ "GET", "HTTP/1.1 204 Done\r\nId: 1\r\nSig: a\r\n\r\n", "", BROKEN,
	  NONE, 204, "", false },
	{ "GET", "HTTP/1.1 304 Same\r\nId: 1\r\nContent-Length: 5\r\n\r\n", "",
	  BROKEN, NONE, 304, "", false },
	{ "GET", "HTTP/1.1 204\r\nId: 1\r\nSig: a\r\n\r\n", "", BROKEN, NONE,
	  204, "", false },
	{ "GET", FULL "Id: 1\r\nContent-Length: 4\r\n\r\n", "full", BROKEN,
	  NONE, 503, "full", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n3\r\n yo\r\n0\r\n\r\n", BROKEN, NONE,
	  200, "hello yo", false },
	{ "GET", CHUNKED, "5;a=b\r\nhello\r\n0;c\r\nId: 2\r\n\r\n", BROKEN,
	  NONE, 200, "hello", false },
	{ "GET", CHUNKED, "00005\r\nhello\r\n000\r\n\r\n", BROKEN, NONE, 200,
	  "hello", false },
	{ "GET", CHUNKED, "0\r\n\r\n", BROKEN, NONE, 200, "", false },
	{ "GET", "HTTP/1.1 100 Go\r\n\r\n" LENGTH, "hello", BROKEN, NONE, 200,
	  "hello", false },
	{ "GET",
	  "HTTP/1.1 103 Early\r\nId: 2\r\n\r\nHTTP/1.1 100 Go\r\n\r\n" LENGTH,
	  "hello", BROKEN, NONE, 200, "hello", false },
	{ "GET", OK "\r\n", "all that comes", IN_ORDER, NONE, 200,
	  "all that comes", false },
	{ "GET", OK "\r\n", "", IN_ORDER, NONE, 200, "", false },
	{ "GET", "HTTP/1.0 200 OK\r\nId: 1\r\nSig: a\r\n\r\n", "hello",
	  IN_ORDER, NONE, 200, "hello", false },
	{ "GET",
	  "HTTP/1.0 200 OK\r\nId: 1\r\nSig: a\r\nContent-Length: 5\r\n"
	  "\r\n",
	  "hello", BROKEN, NONE, 200, "hello", false },
	{ "GET", LENGTH, "HTTP/", BROKEN, NONE, 200, "HTTP/", false },
	{ "GET", CHUNKED, "e\r\nHTTP/1.1 200 O\r\n0\r\n\r\n", BROKEN, NONE, 200,
	  "HTTP/1.1 200 O", false },
	{ "GET", CHUNKED,
	  "4\r\nHTTP\r\n5;a=H\r\n/1.1 \r\n0\r\nA: HTTP/1\r\n\r\n", BROKEN, NONE,
	  200, "HTTP/1.1 ", false },
	{ "GET", OK "Transfer-Encoding: CHUNKED\r\n\r\n",
	  "2\r\nhi\r\n0\r\n\r\n", IN_ORDER, NONE, 200, "hi", false },
	{ "GET", OK "Transfer-Encoding:chunked\r\n\r\n", "2\r\nhi\r\n0\r\n\r\n",
	  IN_ORDER, NONE, 200, "hi", false },
	{ "GET", OK "Transfer-Encoding:\tchunked\r\n\r\n",
	  "2\r\nhi\r\n0\r\n\r\n", IN_ORDER, NONE, 200, "hi", false },
	{ "GET", OK "Transfer-Encoding: chunked \r\n\r\n",
	  "2\r\nhi\r\n0\r\n\r\n", IN_ORDER, NONE, 200, "hi", false },
	{ "GET", OK "transfer-encoding:  \t chunked\r\n\r\n",
	  "2\r\nhi\r\n0\r\n\r\n", IN_ORDER, NONE, 200, "hi", false },
	{ "GET", OK "content-length:\t5 \r\n\r\n", "hello", BROKEN, NONE, 200,
	  "hello", false },
	{ "GET", OK "Content-Length:  005\r\n\r\n", "hello", BROKEN, NONE, 200,
	  "hello", false },
};

/* A whole answer, and bytes that belong to none. */
static const struct row surplus[] = {
	{ "GET", LENGTH, "helloH", BROKEN, NONE, 200, "hello", true },
	{ "GET", LENGTH, "hello\r\n", BROKEN, NONE, 200, "hello", true },
	{ "GET", LENGTH, "hello" OTHER "other", BROKEN, NONE, 200, "hello",
	  true },
	{ "GET", LENGTH, "hello" OTHER, IN_ORDER, NONE, 200, "hello", true },
	{ "GET", EMPTY, "x", BROKEN, NONE, 200, "", true },
	{ "GET", EMPTY, OTHER "other", BROKEN, NONE, 200, "", true },
	{ "GET", EMPTY OTHER, "other", BROKEN, NONE, 200, "", true },
	{ "HEAD", LENGTH, "hello", BROKEN, NONE, 200, "", true },
	{ "HEAD", LENGTH OTHER, "", BROKEN, NONE, 200, "", true },
	{ "HEAD", LENGTH FULL "Id: 1\r\n\r\n", "", BROKEN, NONE, 200, "",
	  true },
	{ "GET", "HTTP/1.1 204 Done\r\nId: 1\r\nSig: a\r\n\r\n" OTHER, "",
	  BROKEN, NONE, 204, "", true },
	{ "GET", CHUNKED, "2\r\nhi\r\n0\r\n\r\n\r\n", BROKEN, NONE, 200, "hi",
	  true },
	{ "GET", CHUNKED, "2\r\nhi\r\n0\r\n\r\n2\r\nho\r\n0\r\n\r\n", BROKEN,
	  NONE, 200, "hi", true },
	{ "GET", CHUNKED, "2\r\nhi\r\n0\r\n\r\n" OTHER "other", BROKEN, NONE,
	  200, "hi", true },
};

static const struct row broken_off[] = {
	{ "GET", "", "", IN_ORDER, HEAD_CUT, 0, "", false },
	{ "GET", "HTTP/1.1 200 O", "", IN_ORDER, HEAD_CUT, 0, "", false },
	{ "GET", "HTTP/1.1 200 OK\r\n", "", IN_ORDER, HEAD_CUT, 0, "", false },
	{ "GET", FULL "Not-Run: 1\r\n", "", IN_ORDER, HEAD_CUT, 0, "", false },
	{ "GET", OK, "", IN_ORDER, HEAD_CUT, 0, "", false },
	{ "GET", OK "Content-Le", "", IN_ORDER, HEAD_CUT, 0, "", false },
	{ "GET", OK "Content-Length: 5\r\n", "", IN_ORDER, HEAD_CUT, 0, "",
	  false },
	{ "GET", OK "\r", "", IN_ORDER, HEAD_CUT, 0, "", false },
	{ "HEAD", OK, "", IN_ORDER, HEAD_CUT, 0, "", false },
	{ "GET", OK, "", BROKEN, HEAD_CUT, 0, "", false },
	{ "GET", "HTTP/1.1 100 Go\r\n\r\n", "", IN_ORDER, HEAD_CUT, 0, "",
	  false },
	{ "GET", "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\n", "", IN_ORDER,
	  HEAD_CUT, 0, "", false },
	{ "GET", OK "\r\n", "", BROKEN, BODY_CUT, 200, "", false },
	{ "GET", OK "\r\n", "part", BROKEN, BODY_CUT, 200, "part", false },
	{ "GET", LENGTH, "", IN_ORDER, BODY_CUT, 200, "", false },
	{ "GET", LENGTH, "hell", IN_ORDER, BODY_CUT, 200, "hell", false },
	{ "GET", LENGTH, "hell", BROKEN, BODY_CUT, 200, "hell", false },
	{ "GET", FULL "Id: 1\r\nContent-Length: 5\r\n\r\n", "hell", IN_ORDER,
	  BODY_CUT, 503, "hell", false },
	{ "GET", CHUNKED, "", IN_ORDER, BODY_CUT, 200, "", false },
	{ "GET", CHUNKED, "5", IN_ORDER, BODY_CUT, 200, "", false },
	{ "GET", CHUNKED, "5\r", IN_ORDER, BODY_CUT, 200, "", false },
	{ "GET", CHUNKED, "5\r\nhello", IN_ORDER, BODY_CUT, 200, "hello",
	  false },
	{ "GET", CHUNKED, "5\r\nhello\r\n", IN_ORDER, BODY_CUT, 200, "hello",
	  false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0", IN_ORDER, BODY_CUT, 200, "hello",
	  false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0\r\n", IN_ORDER, BODY_CUT, 200,
	  "hello", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0\r\nA: b\r\n", IN_ORDER, BODY_CUT,
	  200, "hello", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0\r\n\r", BROKEN, BODY_CUT, 200,
	  "hello", false },
};

static const struct row refused[] = {
	/* to another request, or not the server's */
	{ "GET", OTHER, "other", BROKEN, FOREIGN, 200, "", false },
	{ "GET", FULL "Id: 2\r\nContent-Length: 0\r\n\r\n", "", BROKEN, FOREIGN,
	  503, "", false },
	{ "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", BROKEN,
	  FOREIGN, 200, "", false },
	{ "GET", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "",
	  BROKEN, UNSIGNED, 200, "", false },
	{ "GET", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "", IN_ORDER, UNSIGNED,
	  200, "", false },
	/* the signature of an interim answer or of a trailer */
	{ "GET",
	  "HTTP/1.1 103 Early\r\nId: 1\r\nSig: a\r\n\r\n"
	  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
	  "", BROKEN, UNSIGNED, 200, "", false },
	{ "GET",
	  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	  "0\r\nSig: a\r\n\r\n", BROKEN, UNSIGNED, 200, "", false },
	/* lines that end with LF or CR alone */
	{ "GET", "HTTP/1.1 200 OK\nId: 1\nSig: a\nContent-Length: 5\n\n",
	  "hello", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", OK "Content-Length: 5\r\n\n", "hello", BROKEN, PROTOCOL, 0, "",
	  false },
	{ "GET", OK "Content-Length: 5\n\r\n", "hello", BROKEN, PROTOCOL, 0, "",
	  false },
	{ "GET", OK "A: b\rC: d\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "",
	  false },
	{ "GET", OK "\r" FULL "\r\n", "", IN_ORDER, PROTOCOL, 0, "", false },
	{ "GET", OK "\rX\n", "", IN_ORDER, PROTOCOL, 0, "", false },
	{ "GET", OK "A: b\r\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "", false },
	/* a head that broke off, and another one */
	{ "GET", FULL LENGTH, "hello", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", "HTTP/1.1 503" LENGTH, "hello", BROKEN, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/1.1 503 " LENGTH, "hello", BROKEN, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/1.1 503 Fu" LENGTH, "hello", BROKEN, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/1.1 503 Full\r" LENGTH, "hello", BROKEN, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/1.1 " LENGTH, "hello", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", "HTTP/1.1 5" LENGTH, "hello", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", "HTTP/1." LENGTH, "hello", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", "HTTP" LENGTH, "hello", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", "H" LENGTH, "hello", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", FULL "Content-Le" LENGTH, "hello", BROKEN, PROTOCOL, 0, "",
	  false },
	{ "GET", FULL "Date: Fri" LENGTH, "hello", BROKEN, PROTOCOL, 0, "",
	  false },
	{ "GET", FULL "Date:" LENGTH, "hello", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", FULL "Date: HTTP/1.0 404 No\r\n\r\n", "", IN_ORDER, PROTOCOL,
	  0, "", false },
	{ "GET", FULL "Not-Run: 1\r\nId: 1\r\n" LENGTH, "hello", BROKEN,
	  PROTOCOL, 0, "", false },
	{ "GET", "HTTP/1.1 100 Go\r\nA" LENGTH, "hello", BROKEN, PROTOCOL, 0,
	  "", false },
	{ "GET", "HTTP/1.1 100 Go\r\n" LENGTH, "hello", BROKEN, PROTOCOL, 0, "",
	  false },
	/* bytes before a head */
	{ "GET", "\r\n" LENGTH, "hello", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", "hello\r\n" LENGTH, "hello", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", "Id: 1\r\n" LENGTH, "hello", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", "HTTP/1.1 100 Go\r\n\r\nlo\r\n" LENGTH, "hello", BROKEN,
	  PROTOCOL, 0, "", false },
	{ "GET", "", "hello", IN_ORDER, PROTOCOL, 0, "", false },
	/* no status lines */
	{ "GET", "HTTP/1.1 20 OK\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/1.1 2000 OK\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/1.1 600 OK\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/1.1 099 OK\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/1.1 000 OK\r\nId: 1\r\nSig: a\r\n\r\n", "", IN_ORDER,
	  PROTOCOL, 0, "", false },
	{ "GET", "HTTP/1.1 000\r\nId: 1\r\nSig: a\r\n\r\n", "", IN_ORDER,
	  PROTOCOL, 0, "", false },
	{ "GET", "HTTP/1.1 000 Full\r\nId: 1\r\nNot-Run: 1\r\n\r\n", "",
	  IN_ORDER, PROTOCOL, 0, "", false },
	{ "GET",
	  "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 000 OK\r\nId: 1\r\nSig: a\r\n"
	  "Content-Length: 5\r\n\r\n",
	  "hello", IN_ORDER, PROTOCOL, 0, "", false },
	{ "GET", "HTTP/1.1 999 OK\r\nId: 1\r\nSig: a\r\n\r\n", "", IN_ORDER,
	  PROTOCOL, 0, "", false },
	{ "GET", "HTTP/1.1 -20 OK\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/1.1 +20 OK\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/1.1  200 OK\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/1.1\t200 OK\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "",
	  false },
	{ "GET", "http/1.1 200 OK\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/2.0 200 OK\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "",
	  false },
	{ "GET", "HTTP/2 200\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "", false },
	{ "GET", "HTTP/1.1 101 Go\r\nId: 1\r\n\r\n", "hello", IN_ORDER,
	  PROTOCOL, 0, "", false },
	/* no headers */
	{ "GET", OK " folded\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "", false },
	{ "GET", OK "\tfolded\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "", false },
	{ "GET", OK "no header\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "", false },
	{ "GET", OK "none\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "", false },
	{ "GET", OK ": none\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "", false },
	{ "GET", OK "A b: c\r\n\r\n", "", IN_ORDER, PROTOCOL, 0, "", false },
	/* a length in doubt */
	{ "GET", OK "Content-Length : 5\r\n\r\n", "hello", BROKEN, PROTOCOL, 0,
	  "", false },
	{ "GET", OK "Content-Length: 5\r\nContent-Length: 3\r\n\r\n", "hello",
	  BROKEN, PROTOCOL, 0, "", false },
	{ "GET", OK "Content-Length: 5, 3\r\n\r\n", "hello", BROKEN, PROTOCOL,
	  0, "", false },
	{ "GET", OK "Content-Length: 0x5\r\n\r\n", "hello", BROKEN, PROTOCOL, 0,
	  "", false },
	{ "GET", OK "Content-Length: -5\r\n\r\n", "hello", BROKEN, PROTOCOL, 0,
	  "", false },
	{ "GET", OK "Content-Length: +5\r\n\r\n", "hello", BROKEN, PROTOCOL, 0,
	  "", false },
	{ "GET", OK "Content-Length: 5 5\r\n\r\n", "hello", BROKEN, PROTOCOL, 0,
	  "", false },
	{ "GET", OK "Content-Length:\r\n\r\n", "hello", IN_ORDER, PROTOCOL, 0,
	  "", false },
	{ "GET", OK "Content-Length: 99999999999999999999\r\n\r\n", "hello",
	  BROKEN, PROTOCOL, 0, "", false },
	{ "GET", OK "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
	  "5\r\nhello\r\n0\r\n\r\n", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", OK "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
	  "5\r\nhello\r\n0\r\n\r\n", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", OK "Transfer-Encoding: gzip, chunked\r\n\r\n", "0\r\n\r\n",
	  BROKEN, PROTOCOL, 0, "", false },
	{ "GET", OK "Transfer-Encoding: identity\r\n\r\n", "hello", IN_ORDER,
	  PROTOCOL, 0, "", false },
	{ "GET",
	  OK "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"
	     "\r\n",
	  "0\r\n\r\n", BROKEN, PROTOCOL, 0, "", false },
	{ "GET",
	  "HTTP/1.0 200 OK\r\nId: 1\r\nSig: a\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n",
	  "0\r\n\r\n", BROKEN, PROTOCOL, 0, "", false },
	{ "GET", OK "Transfer-Encoding: chunked\t\r\n\r\n",
	  "2\r\nhi\r\n0\r\n\r\n", IN_ORDER, PROTOCOL, 0, "", false },
	{ "GET", OK "Content-Length: 5\t\r\n\r\n", "hello", IN_ORDER, PROTOCOL,
	  0, "", false },
	/* chunks */
	{ "GET", CHUNKED, OTHER, BROKEN, PROTOCOL, 200, "", false },
	{ "GET", CHUNKED, "5" OTHER, BROKEN, PROTOCOL, 200, "", false },
	{ "GET", CHUNKED, "5;a" OTHER, BROKEN, PROTOCOL, 200, "", false },
	{ "GET", CHUNKED, "5;" OTHER, BROKEN, PROTOCOL, 200, "", false },
	{ "GET", CHUNKED, "5\r\nhello" OTHER, BROKEN, PROTOCOL, 200, "hello",
	  false },
	{ "GET", CHUNKED, "5\r\nhello\r\n" OTHER, BROKEN, PROTOCOL, 200,
	  "hello", false },
	{ "GET", CHUNKED, "5\nhello\r\n0\r\n\r\n", BROKEN, PROTOCOL, 200, "",
	  false },
	{ "GET", CHUNKED, "5\r\nhello\n0\r\n\r\n", BROKEN, PROTOCOL, 200,
	  "hello", false },
	{ "GET", CHUNKED, "-5\r\nhello\r\n0\r\n\r\n", BROKEN, PROTOCOL, 200, "",
	  false },
	{ "GET", CHUNKED, "fffffffffffffffff\r\nhello", BROKEN, PROTOCOL, 200,
	  "", false },
	{ "GET", CHUNKED, "\r\n0\r\n\r\n", BROKEN, PROTOCOL, 200, "", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n\r\n", BROKEN, PROTOCOL, 200, "hello",
	  false },
	{ "GET", CHUNKED, "5\r\nhelloXX0\r\n\r\n", BROKEN, PROTOCOL, 200,
	  "hello", false },
	{ "GET", CHUNKED, "5\r\nhello\rX0\r\n\r\n", BROKEN, PROTOCOL, 200,
	  "hello", false },
	{ "GET", CHUNKED, "5\r\nhelloX\n0\r\n\r\n", BROKEN, PROTOCOL, 200,
	  "hello", false },
	{ "GET", CHUNKED, "5\rXhello\r\n0\r\n\r\n", BROKEN, PROTOCOL, 200, "",
	  false },
	{ "GET", CHUNKED, "5;a\rXhello\r\n0\r\n\r\n", BROKEN, PROTOCOL, 200, "",
	  false },
	{ "GET", CHUNKED, "5;a\nhello\r\n0\r\n\r\n\r\n0\r\n\r\n", BROKEN,
	  PROTOCOL, 200, "", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0\r\n\rX", BROKEN, PROTOCOL, 200,
	  "hello", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0\r\nA: b\n\r\n", BROKEN, PROTOCOL,
	  200, "hello", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0\r\nA: b\rX: d\r\n\r\n", BROKEN,
	  PROTOCOL, 200, "hello", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0\r\n\n", BROKEN, PROTOCOL, 200,
	  "hello", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0\n\r\n", BROKEN, PROTOCOL, 200,
	  "hello", false },
	/* trailers */
	{ "GET", CHUNKED, "5\r\nhello\r\n0\r\n" OTHER, BROKEN, PROTOCOL, 200,
	  "hello", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0\r\nA: b\r\n" OTHER, BROKEN, PROTOCOL,
	  200, "hello", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0\r\nA: " OTHER, BROKEN, PROTOCOL, 200,
	  "hello", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0;" OTHER, BROKEN, PROTOCOL, 200,
	  "hello", false },
	{ "GET", CHUNKED, "5\r\nhello\r\n0\r\nno trailer\r\n\r\n", BROKEN,
	  PROTOCOL, 200, "hello", false },
};

struct reading {
	struct answer answer;
	GString *body;
	bool open; /* the connection has not been closed */
};

static enum answer_fault check_head(struct answer *a)
{
	if (g_strcmp0(header_find(a->headers, "Id"), "1"))
		return ANSWER_FAULT_other;
	if (a->status < 300 && !header_find(a->headers, "Sig"))
		return ANSWER_FAULT_unsigned;
	return ANSWER_FAULT_none;
}

static enum answer_fault on_body(struct answer *a, const char *data, size_t len)
{
	struct reading *r = a->user;

	g_string_append_len(r->body, data, (gssize)len);
	return ANSWER_FAULT_none;
}

static const struct answer_ops ops = {
	.check_head = check_head,
	.on_body = on_body,
};

static void reading_init(struct reading *r, const char *method)
{
	r->body = g_string_new(NULL);
	r->open = true;
	answer_init(&r->answer, method, &ops, r);
}

static void reading_finish(struct reading *r)
{
	answer_finish(&r->answer);
	g_string_free(r->body, TRUE);
}

static void add_lines(struct reading *r, const char *text)
{
	const char *end;

	while (r->open && (end = strchr(text, '\n'))) {
		r->open = answer_add_line(&r->answer, text, end + 1 - text);
		text = end + 1;
	}
}

static void add_bytes(struct reading *r, const char *data, size_t len)
{
	if (len && r->open)
		r->open = answer_add_body(&r->answer, data, len);
}

/*
 * Feeds the bytes after the head in parts: the first one has n bytes, the
 * further ones have part_len each.
 */
static void read_row(struct reading *r, const struct row *row, size_t n,
		     size_t part_len)
{
	const char *data = row->framed;
	size_t len = strlen(data);

	reading_init(r, row->method);
	add_lines(r, row->head);
	while (len) {
		add_bytes(r, data, n);
		data += n;
		len -= n;
		n = MIN(part_len, len);
	}
	answer_end(&r->answer, r->open && row->end == IN_ORDER);
}

static bool is_expected(const struct reading *r, const struct row *row)
{
	const struct answer *a = &r->answer;

	return a->state == (row->fault ? ANSWER_REFUSED : ANSWER_WHOLE) &&
	       a->fault == row->fault && a->status == row->status &&
	       !strcmp(r->body->str, row->body) && a->surplus == row->surplus &&
	       a->body_bytes == (int64_t)r->body->len;
}

/* Returns whether the row is read as expected. */
static bool check_parts(const struct row *row, size_t n, size_t part_len)
{
	struct reading r;
	bool ok;

	read_row(&r, row, n, part_len);
	ok = is_expected(&r, row);
	if (!ok)
		g_printerr("state %d, %s, %ld, \"%s\"%s; parts of %zu, %zu, "
			   "%s: %s %s|%s\n",
			   r.answer.state, answer_fault_text(r.answer.fault),
			   r.answer.status, r.body->str,
			   r.answer.surplus ? ", surplus" : "", n, part_len,
			   row->end == IN_ORDER ? "FIN" : "reset", row->method,
			   row->head, row->framed);
	reading_finish(&r);
	return ok;
}

static uint32_t check_row(const struct row *row)
{
	size_t len = strlen(row->framed);
	uint32_t n_wrong = 0;
	size_t n;

	n_wrong += !check_parts(row, len, len);
	n_wrong += !check_parts(row, MIN(len, 1), 1);
	for (n = 1; n < len; n++)
		n_wrong += !check_parts(row, n, len - n);
	return n_wrong;
}

static void check_rows(const struct row *rows, size_t n)
{
	uint32_t n_wrong = 0;
	size_t i;

	for (i = 0; i < n; i++)
		n_wrong += check_row(&rows[i]);
	g_assert_cmpuint(n_wrong, ==, 0);
}

static void test_whole(void)
{
	check_rows(whole, G_N_ELEMENTS(whole));
}

static void test_surplus(void)
{
	check_rows(surplus, G_N_ELEMENTS(surplus));
}

static void test_broken_off(void)
{
	check_rows(broken_off, G_N_ELEMENTS(broken_off));
}

static void test_refused(void)
{
	check_rows(refused, G_N_ELEMENTS(refused));
}

/* How an answer with this head and an empty body is read. */
static enum answer_fault fault_of(const GString *head)
{
	enum answer_fault fault;
	struct reading r;

	reading_init(&r, "GET");
	add_lines(&r, head->str);
	answer_end(&r.answer, false);
	fault = r.answer.fault;
	reading_finish(&r);
	return fault;
}

static GString *head_with_headers(uint32_t n)
{
	GString *head = g_string_new(OK "Content-Length: 0\r\n");

	while (n-- > 3)
		g_string_append_printf(head, "A%u: b\r\n", n);
	return g_string_append(head, "\r\n");
}

static void test_too_many_headers(void)
{
	static const uint32_t refused_numbers[] = { 129, 300 };
	GString *head = head_with_headers(ANSWER_MAX_HEADERS);
	uint32_t i;

	g_assert_cmpint(fault_of(head), ==, NONE);
	g_string_free(head, TRUE);
	for (i = 0; i < G_N_ELEMENTS(refused_numbers); i++) {
		head = head_with_headers(refused_numbers[i]);
		g_assert_cmpint(fault_of(head), ==, PROTOCOL);
		g_string_free(head, TRUE);
	}
}

/* A head of this many bytes. */
static GString *head_of_bytes(size_t n)
{
	GString *head = g_string_new(EMPTY);
	size_t missing = n - head->len - strlen("A: \r\n");
	g_autofree char *value = g_strnfill(missing, 'x');

	g_string_truncate(head, head->len - 2);
	g_string_append_printf(head, "A: %s\r\n\r\n", value);
	g_assert_cmpuint(head->len, ==, n);
	return head;
}

static void test_long_heads(void)
{
	GString *head = head_of_bytes(ANSWER_MAX_HEAD_BYTES);

	g_assert_cmpint(fault_of(head), ==, NONE);
	g_string_free(head, TRUE);
	head = head_of_bytes(ANSWER_MAX_HEAD_BYTES + 1);
	g_assert_cmpint(fault_of(head), ==, ENDLESS);
	g_string_free(head, TRUE);
}

/* Interim answers without end never are an answer. */
static void test_endless_interim_answers(void)
{
	GString *head = g_string_new(NULL);

	while (head->len <= ANSWER_MAX_HEAD_BYTES)
		g_string_append(head, "HTTP/1.1 100 Go\r\n\r\n");
	g_string_append(head, EMPTY);
	g_assert_cmpint(fault_of(head), ==, ENDLESS);
	g_string_free(head, TRUE);
}

static void check_endless(const char *begin, const char *repeated,
			  enum answer_fault fault)
{
	int64_t n = ANSWER_MAX_FRAMING_BYTES / ((int64_t)strlen(repeated) - 1);
	struct reading r;

	reading_init(&r, "GET");
	add_lines(&r, CHUNKED);
	add_bytes(&r, begin, strlen(begin));
	while (n-- >= 0 && r.open)
		add_bytes(&r, repeated, strlen(repeated));
	answer_end(&r.answer, true);
	g_assert_false(r.open);
	g_assert_cmpint(r.answer.fault, ==, fault);
	reading_finish(&r);
}

static void test_endless_framing(void)
{
	/* The parser's own limit for one field is lower. */
	check_endless("0\r\n", "Trailer: b\r\n", PROTOCOL);
	check_endless("5;", "extension", PROTOCOL);
	check_endless("", "1;extension\r\nx\r\n", ENDLESS);
}

/* A zero byte would end a header's name or value. */
static void test_zero_byte_in_head(void)
{
	static const char text[] = OK "Content-Length: 5\r\n\r\n";
	size_t i, len = sizeof(text) - 1;

	for (i = 0; i < len; i++) {
		g_autofree char *head = g_memdup2(text, len);
		struct reading r;
		const char *line = head, *end;

		head[i] = '\0';
		reading_init(&r, "GET");
		while (r.open &&
		       (end = memchr(line, '\n', head + len - line))) {
			r.open = answer_add_line(&r.answer, line,
						 end + 1 - line);
			line = end + 1;
		}
		add_bytes(&r, "hello", 5);
		answer_end(&r.answer, true);
		g_assert_cmpint(r.answer.state, ==, ANSWER_REFUSED);
		reading_finish(&r);
	}
}

/* With the rules disabled, rows that say "no answer" must be read as answers. */
static void test_rules_are_needed(void)
{
	uint32_t i, n_whole = 0;

	answer_rules_disabled = true;
	for (i = 0; i < G_N_ELEMENTS(broken_off); i++) {
		size_t len = strlen(broken_off[i].framed);
		struct reading r;

		read_row(&r, &broken_off[i], len, len);
		n_whole += r.answer.state == ANSWER_WHOLE;
		reading_finish(&r);
	}
	answer_rules_disabled = false;
	g_assert_cmpuint(n_whole, >, 0);
}

/* What the HTTP client takes for an answer may have any status, also 000. */
static void test_status_rule_is_needed(void)
{
	static const struct row row = { "GET",
					"HTTP/1.1 000 OK\r\nId: 1\r\nSig: "
					"a\r\nContent-Length: 5\r\n\r\n",
					"hello",
					IN_ORDER,
					NONE,
					0,
					"",
					false };
	size_t len = strlen(row.framed);
	struct reading r;

	answer_rules_disabled = true;
	read_row(&r, &row, len, len);
	g_assert_cmpint(r.answer.state, ==, ANSWER_WHOLE);
	reading_finish(&r);
	answer_rules_disabled = false;
	read_row(&r, &row, len, len);
	g_assert_cmpint(r.answer.state, ==, ANSWER_REFUSED);
	g_assert_cmpint(r.answer.fault, ==, PROTOCOL);
	reading_finish(&r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/answer/whole", test_whole);
	g_test_add_func("/answer/surplus", test_surplus);
	g_test_add_func("/answer/broken-off", test_broken_off);
	g_test_add_func("/answer/refused", test_refused);
	g_test_add_func("/answer/too-many-headers", test_too_many_headers);
	g_test_add_func("/answer/long-heads", test_long_heads);
	g_test_add_func("/answer/endless-interim-answers",
			test_endless_interim_answers);
	g_test_add_func("/answer/endless-framing", test_endless_framing);
	g_test_add_func("/answer/zero-byte-in-head", test_zero_byte_in_head);
	g_test_add_func("/answer/rules-are-needed", test_rules_are_needed);
	g_test_add_func("/answer/status-rule-is-needed",
			test_status_rule_is_needed);
	return g_test_run();
}
