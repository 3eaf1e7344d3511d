package org.dragonflygw.core.exchange;

/**
 * Actions of an {@link Exchange} on the network and the timer. Calls return without waiting; what follows from them is
 * reported to the exchange through its {@code on...} methods, and to the listener of an attempt.
 */
public interface ExchangeOutput {
    /** Starts an attempt: sends the request to an endpoint. The listener gets the events of the attempt. */
    Attempt send(Dispatch dispatch, AttemptListener listener);

    /** Starts the response to the caller. */
    void forwardHead(ResponseHead head);

    /** Forwards a part of the body to the caller. */
    void forwardBody(byte[] body);

    /** Completes the response to the caller. */
    void finish();

    /** Breaks the response off in such a way that the caller cannot mistake it for a complete one. */
    void abort();

    /** Sends a response of this host in place of an endpoint's. */
    void reject(Rejection rejection);

    /** Requests a call of {@link Exchange#onTimer} at a time of the monotonic clock; replaces the previous request. */
    void wakeAt(long nanos);
}
