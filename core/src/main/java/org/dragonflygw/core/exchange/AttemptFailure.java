package org.dragonflygw.core.exchange;

/** Why an attempt at an endpoint ended without a complete response. */
public enum AttemptFailure {
    /** No connection was made within the connect timeout. */
    CONNECT_TIMEOUT,
    /** The connection was refused or failed before anything was sent. */
    CONNECT_REFUSED,
    /** The endpoint asked for no more requests while the connection was being opened; nothing was sent. */
    WITHDRAWN,
    /** The connection was reset or closed before the response was complete. */
    CONNECTION_LOST,
    /** The endpoint sent something that is not a valid response. */
    MALFORMED,
    /** Nothing was received within the silence timeout. */
    SILENT;

    /** Whether it is certain that the endpoint received nothing of the request. */
    public boolean isBeforeSending() {
        return this == CONNECT_TIMEOUT || this == CONNECT_REFUSED || this == WITHDRAWN;
    }
}
