package org.dragonflygw.core.exchange;

import java.util.HashSet;
import java.util.Set;
import org.dragonflygw.core.catalog.CatalogRoute;

/** Counts the attempts of one request by how they ended, and decides whether one more is allowed. */
final class AttemptCounts {
    /** Failed connections after which a request is rejected; each may cost a connect timeout. */
    private static final int MAX_CONNECT_FAILURES = 3;

    /** Rejections by endpoints, which did not run the request, after which the request is rejected. */
    private static final int MAX_REJECTIONS = 2;

    private final CatalogRoute route;
    private final Set<String> triedEndpoints = new HashSet<>();
    private int sent;
    private int runs;
    private int connectFailures;
    private int rejections;

    AttemptCounts(CatalogRoute route) {
        this.route = route;
    }

    /** Ids of the endpoints that attempts were sent to. */
    Set<String> triedEndpoints() {
        return triedEndpoints;
    }

    /** Counts an attempt that is sent; returns its number, starting at 1. */
    int onSent(String endpoint) {
        triedEndpoints.add(endpoint);
        return ++sent;
    }

    void onConnectFailure() {
        connectFailures++;
    }

    void onRejection() {
        rejections++;
    }

    /** Counts an attempt that has ended and may have run. */
    void onExecuted() {
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
