package org.dragonflygw.core.exchange;

import java.util.HashSet;
import java.util.Set;
import org.dragonflygw.core.catalog.CatalogRoute;

/** What became of one request's attempts so far, and whether its route lets it be sent once more. */
final class AttemptCounts {
    /** Connections that may fail for one request before it is refused; each costs a connect timeout. */
    private static final int MAX_CONNECT_FAILURES = 3;

    /** Attempts that endpoints may reject without running them, for one request. */
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

    /** Number of the next attempt, from 1. */
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

    /** Whether one more endpoint may run it, if the attempts that are still open count as runs too. */
    boolean mayRunAgain(int open) {
        return route.repeatable() && runs + open < Math.max(1, route.maxAttempts());
    }
}
