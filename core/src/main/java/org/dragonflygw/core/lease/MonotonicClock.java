package org.dragonflygw.core.lease;

/** A clock that never goes back and goes on while the process is paused; only differences of its readings count. */
public interface MonotonicClock {
    /** Reading in nanoseconds. */
    long nanos();
}
