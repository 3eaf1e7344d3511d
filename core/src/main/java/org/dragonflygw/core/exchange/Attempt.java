package org.dragonflygw.core.exchange;

/** Handle of a request that is being sent to an endpoint, or to another host, or answered by it. */
public interface Attempt {
    /**
     * Closes the connection soon, so that the endpoint stops its work. The listener gets no further events.
     *
     * @return whether the request may have been received
     */
    boolean cancel();

    /** Starts or stops reading the response; reading stops while the caller reads slowly (backpressure). */
    void setAutoRead(boolean enabled);
}
