package org.dragonflygw.core.exchange;

import java.util.HashSet;
import java.util.Set;
import org.dragonflygw.core.catalog.CatalogRoute;

/** Counts the failed attempts of one request by their kind, and decides whether one more attempt is allowed. */
final class AttemptCounts {
    /** Failed connections after which a request is rejected; each may cost a connect timeout. */
    private static final int MAX_CONNECT_FAILURES = 3;

    /** Rejections by endpoints, which did not run the request, after which the request is rejected. */
    private static final int MAX_REJECTIONS = 2;

    private final CatalogRoute route;
    private final Set<String> failedEndpoints = new HashSet<>();
    private int runs;
    private int connectFailures;
    private int rejections;

    AttemptCounts(CatalogRoute route) {
        this.route = route;
    }

    /** Ids of the endpoints at which an attempt failed. */
    Set<String> failedEndpoints() {
        return failedEndpoints;
    }

    /** Number of the next attempt, starting at 1. */
    int nextAttempt() {
        return runs + rejections + connectFailures + 1;
    }

    void onConnectFailure(String endpoint) {
        failedEndpoints.add(endpoint);
        connectFailures++;
    }

    void onRejection(String endpoint) {
        failedEndpoints.add(endpoint);
        rejections++;
    }

    void onExecuted(String endpoint) {
        failedEndpoints.add(endpoint);
        runs++;
    }

    boolean mayRetryConnect() {
        return connectFailures < MAX_CONNECT_FAILURES;
    }

    boolean mayRetryRejected() {
        return rejections < MAX_REJECTIONS;
    }

    /** Whether one more endpoint may run the request, where {@code open} attempts that have not ended count as runs. */
    boolean mayRunAgain(int open) {
        return route.repeatable() && runs + open < Math.max(1, route.maxAttempts());
    }
}
