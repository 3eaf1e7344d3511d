package org.dragonflygw.core.exchange;

import org.dragonflygw.core.catalog.CatalogRoute;

/** How many endpoints may run one request. */
final class RunLimit {
    private final int maxRuns;

    RunLimit(CatalogRoute route) {
        this.maxRuns = Math.max(1, route.maxAttempts());
    }

    /** Whether it may be given to one more endpoint after so many that may have run it. */
    boolean allows(int runsSoFar) {
        return runsSoFar < maxRuns;
    }
}
