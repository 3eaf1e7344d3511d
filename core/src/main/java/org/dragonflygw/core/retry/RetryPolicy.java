package org.dragonflygw.core.retry;

import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.routing.AttemptOutcome;

/** Decides whether a request may be tried again on another endpoint. Safe from every thread. */
public interface RetryPolicy {
    /**
     * Asks for one more attempt and takes it from the budget when it is allowed.
     *
     * @param request the request
     * @param outcome how the last attempt ended
     * @param certainlyNotRun whether it is certain that the last attempt was not run
     * @param attempt number of attempts made so far, from 1
     * @return whether the request may be tried again now
     */
    boolean tryRetry(RequestContext request, AttemptOutcome outcome, boolean certainlyNotRun, int attempt);
}
