package org.dragonflygw.core.storenews;

/** Decides when this host reads a table of the store. */
public interface ReadSchedule {
    /**
     * Time until the next read of a table whose copy has the given age, in milliseconds; 0 or less means read at once.
     */
    long delayMs(long ageMs);

    /** Time for which the store should wait for a change before it answers a read, in milliseconds. */
    long longPollMs();
}
