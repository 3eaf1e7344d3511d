package org.dragonflygw.core.routing;

/** What became of the end of a grant. */
public enum GrantEndResult {
    /** The grant is over. */
    ENDED,
    /** The grant is over, and its outcome made the steward suspend the engine. */
    ENDED_AND_SUSPENDED,
    /** The grant is unknown: it expired, ended before, or is of another epoch. */
    UNKNOWN
}
