package org.dragonflygw.core.exchange;

/** How an attempt at an endpoint ended without a whole answer. */
public enum AttemptFailure {
    /** No connection was made within its time. */
    CONNECT_TIMEOUT,
    /** The connection was refused or failed before anything was sent. */
    CONNECT_REFUSED,
    /** The connection was reset or closed before the answer was whole. */
    CONNECTION_LOST,
    /** What came is no answer in the protocol. */
    MALFORMED,
    /** No answer within the patience for it. */
    SILENT;

    /** Whether it is certain that the endpoint got nothing. */
    public boolean isBeforeSending() {
        return this == CONNECT_TIMEOUT || this == CONNECT_REFUSED;
    }
}
