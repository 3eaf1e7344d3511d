package org.dragonflygw.core.exchange;

/** The request that a response on a connection belongs to. */
public enum ResponseOwner {
    /** The request that is open on the connection. */
    OPEN_REQUEST,
    /** Another request, whose response was late or came twice. */
    OTHER_REQUEST,
    /** The response does not say it, or contradicts itself. */
    UNKNOWN
}
