#include "route/budget.h"

/* Begin with a full reserve. */
void budget_init(struct budget *b, double share, double reserve)
{
	b->share = share;
	b->reserve = reserve;
	b->tokens = reserve;
}

/* Count a first attempt. */
void budget_earn(struct budget *b)
{
	b->tokens += b->share;
	if (b->tokens > b->reserve)
		b->tokens = b->reserve;
}

/* Ask for one extra attempt. */
bool budget_spend(struct budget *b)
{
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}
