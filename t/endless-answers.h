#ifndef T_ENDLESS_ANSWERS_H
#define T_ENDLESS_ANSWERS_H

/* Answers without end, for t/faulty-server.c. */
struct endless_answer {
	const char *name; /* at the end of the request's path */
	const char *head; /* how it begins */
	const char *named; /* a header that follows the attempt's id, or NULL */
	const char *more; /* what follows these */
	const char *repeated; /* what then goes on */
};

/* Returns the answer that the path names, or NULL. */
const struct endless_answer *endless_answer_find(const char *path);

#endif
