package org.dragonflygw.core.dispatch;

/** Chooses the endpoint for a request. */
public interface EndpointChooser {
    /** Chooses an endpoint or says why there is none. */
    Choice choose(ChoiceRequest request, long nowNanos);
}
