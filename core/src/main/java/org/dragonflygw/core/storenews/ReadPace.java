package org.dragonflygw.core.storenews;

/**
 * When a table is read, given how old the knowledge of it is. The reader of a group reads at short intervals; the
 * others only when what they heard grows too old, each a little later than the one before.
 */
public final class ReadPace {
    private final ReadDuty duty;
    private final long readerMs;
    private final long waitMs;
    private final long followerMs;
    private final long staggerMs;

    /**
     * Makes a pace.
     *
     * @param duty says who reads
     * @param readerMs age at which the reader reads again, in milliseconds
     * @param waitMs how long the store waits for a change when the reader asks, in milliseconds
     * @param followerMs age at which the first of the others reads, in milliseconds
     * @param staggerMs how much later each further one does, in milliseconds
     */
    public ReadPace(ReadDuty duty, long readerMs, long waitMs, long followerMs, long staggerMs) {
        this.duty = duty;
        this.readerMs = readerMs;
        this.waitMs = waitMs;
        this.followerMs = followerMs;
        this.staggerMs = staggerMs;
    }

    /** Time until the next read in milliseconds; 0 or less for at once. */
    public long delayMs(long ageMs) {
        int rank = duty.rank();
        return rank == 0 ? readerMs - ageMs : followerMs + (rank - 1) * staggerMs - ageMs;
    }

    /** How long the store should wait for a change, in milliseconds. */
    public long waitMs() {
        return duty.reader() ? waitMs : 0;
    }
}
