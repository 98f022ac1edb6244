#include "route/budget.h"

#define MOST_CALLS 0.5 /* of the requests to a service */

double retry_share_of_entries(double share)
{
	return share / (1 + MOST_CALLS);
}

void retry_budget_init(struct retry_budget *b, double share, double reserve)
{
	b->share = share;
	b->reserve = reserve;
	b->tokens = reserve;
}

void retry_budget_deposit(struct retry_budget *b)
{
	b->tokens += b->share;
	if (b->tokens > b->reserve)
		b->tokens = b->reserve;
}

bool retry_budget_withdraw(struct retry_budget *b)
{
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}
