package org.dragonflygw.core.admission;

/** What a search for an endpoint found for a waiting request. */
public enum Outlook {
    /** An endpoint has room for the request. */
    ROOM,
    /** All endpoints that could serve the request are at capacity. */
    BUSY,
    /** The request cannot be served for another reason, so that waiting for room is useless. */
    UNSERVABLE
}
