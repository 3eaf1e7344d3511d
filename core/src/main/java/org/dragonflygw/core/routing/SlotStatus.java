package org.dragonflygw.core.routing;

/** What a steward decided about a request for a slot. Every status but {@link #GRANTED} means that no slot is held. */
public enum SlotStatus {
    /** The slot is held under a lease. */
    GRANTED,
    /** The engine is at its bound, and the queue is full or would outlast the wait limit. */
    OVERLOADED,
    /** The answer could not arrive before the deadline. */
    DEADLINE,
    /** The engine takes no new work: it is leaving, or suspended after failures. */
    UNAVAILABLE,
    /** The receiver is not steward of the engine. */
    NOT_STEWARD,
    /** The request fingerprint is quarantined. */
    QUARANTINED,
    /** The team is over its rate. */
    TEAM_RATE,
    /** The chat was moved to another engine, which holds its cache. */
    REDIRECTED,
    /** The request was in flight on a crashing engine, and another such request already runs here. */
    SUSPECT_BUSY
}
