package org.dragonflygw.core.exchange;

/** Why an attempt at an endpoint ended without a complete response. */
public enum AttemptFailure {
    /** No connection was made within the connect timeout. */
    CONNECT_TIMEOUT(1),
    /** The connection was refused or failed before anything was sent. */
    CONNECT_REFUSED(1),
    /** While the connection was opened, the endpoint or the request was found to be unusable; nothing was sent. */
    WITHDRAWN(0),
    /** The connection was reset or closed before the response was complete. */
    CONNECTION_LOST(1),
    /** The endpoint sent something that is not a valid response. */
    MALFORMED(1),
    /** Nothing was received within the silence timeout. The endpoint may only be slow, so it weighs less. */
    SILENT(0.7);

    private final double weight;

    AttemptFailure(double weight) {
        this.weight = weight;
    }

    /** What the failure adds to the endpoint's failure score. */
    public double weight() {
        return weight;
    }

    /** Whether it is certain that the endpoint received nothing of the request. */
    public boolean isBeforeSending() {
        return this == CONNECT_TIMEOUT || this == CONNECT_REFUSED || this == WITHDRAWN;
    }
}
