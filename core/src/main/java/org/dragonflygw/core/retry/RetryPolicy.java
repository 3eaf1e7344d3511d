package org.dragonflygw.core.retry;

import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.AttemptOutcome;

/** Decides whether a request may be retried on another endpoint. Implementations are thread safe. */
public interface RetryPolicy {
    /**
     * Decides about one more attempt and takes it from the budget if it is allowed.
     *
     * @param request the request
     * @param outcome how the last attempt ended
     * @param certainlyNotRun whether the last attempt was certainly not run
     * @param attempt number of attempts made so far, from 1
     * @return whether the request may be retried now
     */
    boolean tryRetry(RequestContext request, AttemptOutcome outcome, boolean certainlyNotRun, int attempt);
}
