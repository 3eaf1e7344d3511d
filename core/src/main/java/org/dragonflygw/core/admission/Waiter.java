package org.dragonflygw.core.admission;

/** A request that waits for room, as {@link Admission} handles it. */
public interface Waiter {
    /** Searches for an endpoint without sending anything. */
    Outlook look(long nowNanos);

    /** Acts on the result of the last {@link #look}. The request no longer waits when this is called. */
    void proceed();

    /**
     * Refuses the request, which no longer waits when this is called and has not been sent.
     *
     * @param expectedMs time after which room is expected, in milliseconds; 0 if unknown
     */
    void refuse(long expectedMs);

    /** Requests a call of {@link Admission#onWake} at a time of the monotonic clock, not within this call. */
    void wakeAt(long nanos);
}
