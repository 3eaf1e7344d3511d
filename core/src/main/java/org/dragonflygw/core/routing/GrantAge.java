package org.dragonflygw.core.routing;

import java.util.concurrent.TimeUnit;

/**
 * Age of a grant, which limits its use for a dispatch. The age is measured with the monotonic clock from the request to
 * the steward, less the time in the steward's queue. A router that was paused before or after the decision arrived thus
 * does not send work to an endpoint that may have left meanwhile.
 *
 * @param askedNanos reading of the monotonic clock before the request to the steward was sent, in nanoseconds
 * @param queuedMillis time that the request spent in the steward's queue, in milliseconds
 */
public record GrantAge(long askedNanos, long queuedMillis) {
    /** Age from which a grant must no longer be used for a dispatch, in milliseconds. */
    public static final long MAX_DISPATCH_AGE_MILLIS = 1_000;

    /** Whether a request may be dispatched under the grant at the given reading of the monotonic clock. */
    public boolean mayDispatch(long nowNanos) {
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - askedNanos) - queuedMillis;
        return ageMillis < MAX_DISPATCH_AGE_MILLIS;
    }
}
