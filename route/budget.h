#ifndef ROUTE_BUDGET_H
#define ROUTE_BUDGET_H

#include <stdbool.h>

/*
 * Token bucket for retries and hedges. Each first attempt of a request deposits
 * a fraction of a token, and each retry or hedge costs one token. This bounds
 * the load that retries and hedges add, so that failures in an overload cannot
 * double the load and thereby prolong the overload.
 */
struct retry_budget {
	double tokens;
	double share; /* tokens deposited for each first attempt */
	double reserve; /* most tokens held */
};

/*
 * How many of the requests to a service entries may repeat, where share is what
 * all repeats together may be. Calls to the service count as repeats too where
 * the run that makes them is one, and no entry can tell these calls from other
 * requests. The rest of the share is enough for them as long as no more than
 * half of the requests are calls.
 */
double retry_share_of_entries(double share);

/* Starts with a full reserve. */
void retry_budget_init(struct retry_budget *b, double share, double reserve);

/* To be called for each first attempt. */
void retry_budget_deposit(struct retry_budget *b);

/* Takes a token for a retry or hedge; false if there is none. */
bool retry_budget_withdraw(struct retry_budget *b);

#endif
