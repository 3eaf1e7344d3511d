package org.dragonflygw.core.dispatch;

/** Strategy for choosing the endpoint of a request. */
public interface EndpointChooser {
    /**
     * Chooses an endpoint. If none can serve the request, the result contains the reason.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     */
    Choice choose(ChoiceRequest request, long nowNanos);
}
