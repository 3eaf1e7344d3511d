package org.dragonflygw.core.routing;

/** Result of ending a grant at a steward. */
public enum GrantEndResult {
    /** The grant was ended. */
    ENDED,
    /** The grant was ended, and its outcome made the steward suspend the engine. */
    ENDED_AND_SUSPENDED,
    /** The grant is unknown: it expired, was ended before, or belongs to another epoch. */
    UNKNOWN
}
