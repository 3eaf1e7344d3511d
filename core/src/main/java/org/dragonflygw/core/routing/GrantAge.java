package org.dragonflygw.core.routing;

import java.util.concurrent.TimeUnit;

/**
 * Tells how old a grant may be at most. It is counted by the monotonic clock from the question to the steward, less the
 * time in the steward's queue, so that a router that was paused before or after the answer came does not send work to
 * an endpoint that may have left meanwhile.
 *
 * @param askedNanos reading of the monotonic clock before the question was sent, in nanoseconds
 * @param queuedMillis time that the request spent in the steward's queue, in milliseconds
 */
public record GrantAge(long askedNanos, long queuedMillis) {
    /** Age from which a grant must not be used for a dispatch any more. */
    public static final long MAX_DISPATCH_AGE_MILLIS = 1_000;

    /** Whether work may be sent under the grant now. */
    public boolean mayDispatch(long nowNanos) {
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - askedNanos) - queuedMillis;
        return ageMillis < MAX_DISPATCH_AGE_MILLIS;
    }
}
