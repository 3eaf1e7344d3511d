package org.dragonflygw.core.config;

/**
 * Service row of a sheet: a service that callers can reach.
 *
 * @param name unique name
 * @param kind whether model engines or plain endpoints serve it
 * @param pool pool of endpoints that serve it
 * @param model model name in the requests of callers; empty for plain services
 * @param loadBound maximum load of one endpoint relative to the mean load of the service, for example 1.25
 * @param maxInFlight maximum number of requests in flight on one endpoint of capacity 1
 * @param maxQueue maximum number of requests that wait for one endpoint
 * @param deadlineMillis default deadline of a request without its own, in milliseconds
 * @param tokenGapMillis maximum time between two tokens of a stream, in milliseconds; after a longer silence the
 *     connection counts as lost
 * @param retryBudgetPercent maximum number of retries for each hundred requests
 * @param checksFencing whether the endpoints reject orders with an outdated fencing token
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
