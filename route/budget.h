#ifndef ROUTE_BUDGET_H
#define ROUTE_BUDGET_H

#include <stdbool.h>

/*
 * A budget for extra attempts: each first attempt earns a share of one, up to
 * a reserve. It bounds what retries and hedges can add to the load, so that a
 * bad minute does not double it and keep itself going.
 */
struct budget {
	double tokens;
	double share;
	double reserve;
};

void budget_init(struct budget *b, double share, double reserve);
void budget_earn(struct budget *b);
bool budget_spend(struct budget *b);

#endif
