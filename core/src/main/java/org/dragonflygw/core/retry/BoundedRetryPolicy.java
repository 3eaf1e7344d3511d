package org.dragonflygw.core.retry;

import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.AttemptOutcome;

/** Limits the number of attempts, and retries requests that may have run only if they are idempotent. */
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
