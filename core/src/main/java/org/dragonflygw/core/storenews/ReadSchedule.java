package org.dragonflygw.core.storenews;

import java.util.function.Supplier;

/**
 * When a table is read, given how old the knowledge of it is. The reader of a group reads at short intervals; the
 * others only when what they heard grows too old, each a little later than the one before.
 */
public final class ReadSchedule {
    private final ReaderSelection duty;
    private final Supplier<ReadIntervals> times;

    /**
     * Makes a pace.
     *
     * @param duty says who reads
     * @param times the ages in force
     */
    public ReadSchedule(ReaderSelection duty, Supplier<ReadIntervals> times) {
        this.duty = duty;
        this.times = times;
    }

    /** Time until the next read in milliseconds; 0 or less for at once. */
    public long delayMs(long ageMs) {
        int rank = duty.rank();
        ReadIntervals t = times.get();
        return rank == 0 ? t.readerMaxAgeMs() - ageMs : t.followerMaxAgeMs() + (rank - 1) * t.staggerMs() - ageMs;
    }

    /** How long the store should wait for a change, in milliseconds. */
    public long longPollMs() {
        return duty.isReader() ? times.get().longPollMs() : 0;
    }
}
