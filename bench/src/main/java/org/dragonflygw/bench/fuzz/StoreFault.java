package org.dragonflygw.bench.fuzz;

/** Fault of the platform's store. */
public enum StoreFault {
    /** No fault. */
    NONE,
    /** Every call is refused without effect. */
    OUTAGE,
    /** Every write is refused by the rate limit. */
    THROTTLED,
    /** Writes take effect and their answers are lost, in bursts. */
    ANSWER_LOST,
    /** Writes are lost before they take effect, in bursts. */
    REQUEST_LOST,
    /** Connections of writes break and the writes take effect much later, in bursts. */
    LATE_EFFECT,
    /** Reads return the rows as of the start of the fault. */
    STALE_READS,
    /** Every call is slow. */
    SLOW
}
