package org.dragonflygw.core.retry;

import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.AttemptOutcome;

/** Allows a fixed number of attempts, and a second run only of idempotent requests. */
public final class BoundedRetryPolicy implements RetryPolicy {
    private final int maxAttempts;

    public BoundedRetryPolicy(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    @Override
    public boolean tryRetry(RequestContext request, AttemptOutcome outcome, boolean certainlyNotRun, int attempt) {
        if (attempt >= maxAttempts || outcome == AttemptOutcome.COMPLETED || outcome == AttemptOutcome.CANCELLED) {
            return false;
        }
        return certainlyNotRun || !request.nonIdempotent();
    }
}
