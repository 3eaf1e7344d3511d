package org.dragonflygw.core.storenews;

import java.util.function.Supplier;

/**
 * Decides when this host reads a table, from the age of its copy. The reader of a group reads at short intervals; the
 * other hosts read only when the news they receive become too old, each a little later than the host before it.
 */
public final class GroupReadSchedule implements ReadSchedule {
    private final ReaderSelection selection;
    private final Supplier<ReadIntervals> intervals;

    /**
     * Creates a schedule.
     *
     * @param selection tells whether this host is the reader of its group
     * @param intervals supplies the current intervals; called for each decision
     */
    public GroupReadSchedule(ReaderSelection selection, Supplier<ReadIntervals> intervals) {
        this.selection = selection;
        this.intervals = intervals;
    }

    @Override
    public long delayMs(long ageMs) {
        int rank = selection.rank();
        ReadIntervals current = intervals.get();
        return rank == 0
                ? current.readerMaxAgeMs() - ageMs
                : current.followerMaxAgeMs() + (rank - 1) * current.staggerMs() - ageMs;
    }

    @Override
    public long longPollMs() {
        return selection.isReader() ? intervals.get().longPollMs() : 0;
    }
}
