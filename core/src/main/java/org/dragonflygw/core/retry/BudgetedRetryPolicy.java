package org.dragonflygw.core.retry;

import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.AttemptOutcome;

/**
 * Limits the number of attempts, retries requests that may have run only if they are idempotent, and limits all retries
 * of a service to its budget.
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
