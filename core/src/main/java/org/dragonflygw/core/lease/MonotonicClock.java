package org.dragonflygw.core.lease;

/**
 * Clock that never goes back and keeps running while the process is paused. Only differences of readings have a
 * meaning.
 */
public interface MonotonicClock {
    /** Current reading, in nanoseconds. */
    long nanos();
}
