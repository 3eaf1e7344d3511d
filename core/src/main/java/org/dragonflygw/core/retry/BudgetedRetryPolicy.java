package org.dragonflygw.core.retry;

import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.AttemptOutcome;

/**
 * Allows a fixed number of attempts for a request, a second run only of idempotent requests, and all retries of a
 * service only within its budget.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {
    private final RetryPolicy limits;
    private final RetryBudgets budgets;

    public BudgetedRetryPolicy(int maxAttempts, RetryBudgets budgets) {
        this.limits = new BoundedRetryPolicy(maxAttempts);
        this.budgets = budgets;
    }

    @Override
    public boolean tryRetry(RequestContext request, AttemptOutcome outcome, boolean certainlyNotRun, int attempt) {
        if (!limits.tryRetry(request, outcome, certainlyNotRun, attempt)) {
            return false;
        }
        return budgets.of(request.service()).tryRetry();
    }
}
