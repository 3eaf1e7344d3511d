package org.dragonflygw.core.routing;

/** Outcome of a request for a slot. Every status except {@link #GRANTED} means that no slot is held. */
public enum SlotStatus {
    /** The slot is held under a lease. */
    GRANTED,
    /** The engine is at its bound, and the queue is full or would outlast the wait limit. */
    OVERLOADED,
    /** The answer could not be complete before the deadline. */
    DEADLINE,
    /** The engine takes no new work: it is leaving, or suspended after failures. */
    UNAVAILABLE,
    /** The receiver is not the steward of the engine. */
    NOT_STEWARD,
    /** The request fingerprint is quarantined. */
    QUARANTINED,
    /** The team exceeds its rate limit. */
    TEAM_RATE,
    /** The chat was moved to another engine, which holds the chat's cache. */
    REDIRECTED,
    /** The request was in flight on an engine that was lost, and another such request already runs on this engine. */
    SUSPECT_BUSY
}
