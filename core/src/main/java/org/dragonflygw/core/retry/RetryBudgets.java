package org.dragonflygw.core.retry;

import java.time.InstantSource;
import java.util.concurrent.ConcurrentHashMap;
import org.dragonflygw.core.config.Service;

/** The retry budgets of this daemon, one for each service. Thread safe. */
public final class RetryBudgets {
    private final InstantSource clock;
    private final ConcurrentHashMap<BudgetKey, RetryBudget> budgets = new ConcurrentHashMap<>();

    public RetryBudgets(InstantSource clock) {
        this.clock = clock;
    }

    /** Returns the budget of a service; replaced by a new one when the percentage of the service changes. */
    public RetryBudget of(Service service) {
        BudgetKey key = new BudgetKey(service.name(), service.retryBudgetPercent());
        RetryBudget budget = budgets.get(key);
        if (budget != null) {
            return budget;
        }
        budgets.keySet().removeIf(other -> other.service().equals(service.name()));
        return budgets.computeIfAbsent(key, created -> new RetryBudget(created.percent(), clock));
    }

    private record BudgetKey(String service, int percent) {}
}
