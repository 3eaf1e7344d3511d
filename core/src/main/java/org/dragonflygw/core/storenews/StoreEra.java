package org.dragonflygw.core.storenews;

import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;

/**
 * The era of the store, which rises each time the store comes back from a copy and has lost its last changes. Versions
 * are given out again in each era, so versions of two eras cannot be compared. Not thread-safe.
 */
public final class StoreEra {
    /** Era of a response or report that names none; lower than every era, which may begin at 0. */
    public static final long UNKNOWN = -1;

    private final EventLog log;
    private final Runnable onNewEra;
    private long current = UNKNOWN;

    /**
     * Creates an era that is unknown until the first response names one.
     *
     * @param onNewEra called when a later era than the first is seen, to read everything again
     */
    public StoreEra(EventLog log, Runnable onNewEra) {
        this.log = log;
        this.onNewEra = onNewEra;
    }

    /** Returns the highest era seen, or {@link #UNKNOWN}. */
    public long current() {
        return current;
    }

    /**
     * Records the era that a response of the store or a report of another host names.
     *
     * @param source where it was seen, for the log
     * @return whether what it came with is of the current era
     */
    public boolean onSeen(long era, String source) {
        if (era <= current) {
            return era == current || era == UNKNOWN;
        }
        long before = current;
        current = era;
        if (before != UNKNOWN) {
            log.line(LogTopic.STORE_ERA)
                    .with("era", era)
                    .with("before", before)
                    .with("source", source)
                    .end();
            onNewEra.run();
        }
        return true;
    }
}
