#ifndef ROUTE_BUDGET_H
#define ROUTE_BUDGET_H

#include <stdbool.h>

/*
 * A budget for extra attempts: each first attempt earns a share of one, up to
 * a reserve. It bounds what retries and hedges can add to the load, so that a
 * bad minute does not double it and keep itself going.
 */
struct retry_budget {
	double tokens;
	double share;
	double reserve;
};

void retry_budget_init(struct retry_budget *b, double share, double reserve);
void retry_budget_deposit(struct retry_budget *b);
bool retry_budget_withdraw(struct retry_budget *b);

#endif
