package org.dragonflygw.bench.fuzz;

/** How the platform's store fails. */
public enum StoreFault {
    /** Not at all. */
    NONE,
    /** Every call is refused and does nothing. */
    OUTAGE,
    /** Every write is refused for its rate. */
    THROTTLED,
    /** Writes take effect and their answers are lost, in bursts. */
    ANSWER_LOST,
    /** Writes are lost before they take effect, in bursts. */
    REQUEST_LOST,
    /** Writes are answered by a broken connection and take effect much later, in bursts. */
    LATE_EFFECT,
    /** Reads answer from an old copy. */
    STALE_READS,
    /** Every call takes long. */
    SLOW
}
