package org.dragonflygw.core.config;

/**
 * A service that callers can reach.
 *
 * @param name unique name
 * @param kind model engines or plain services
 * @param pool pool of endpoints that serve it
 * @param model model name that callers give; empty for plain services
 * @param loadBound greatest load of one endpoint over the mean of the service, for example 1.25
 * @param maxInFlight greatest number of requests on one endpoint of capacity 1
 * @param maxQueue greatest number of requests waiting for one endpoint
 * @param deadlineMillis deadline of a request that names none, in milliseconds
 * @param tokenGapMillis expected longest time between two tokens, in milliseconds; longer silence means a lost connection
 * @param retryBudgetPercent retries allowed for each hundred requests
 * @param checksFencing whether the endpoints refuse orders with an old fencing number
 */
public record Service(
        String name,
        ServiceKind kind,
        String pool,
        String model,
        double loadBound,
        int maxInFlight,
        int maxQueue,
        long deadlineMillis,
        long tokenGapMillis,
        int retryBudgetPercent,
        boolean checksFencing) {}
