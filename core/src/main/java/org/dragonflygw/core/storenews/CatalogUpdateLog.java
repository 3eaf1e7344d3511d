package org.dragonflygw.core.storenews;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Log of the latest changes of the configuration, sent to other hosts so that they need not read the store. Each change
 * continues from the row version of the one before. Large changes are not kept; hosts read them from the store. Not
 * thread-safe.
 */
public final class CatalogUpdateLog {
    /** Maximum number of differences in all kept changes together; their message stays within three packets. */
    private static final int MAX_SIZE = 24;

    /** Time for which a change is kept, in nanoseconds; in it, each host of a large fleet receives it once more. */
    private static final long RETENTION_NANOS = 2_000_000_000L;

    private final Deque<LoggedUpdate> updates = new ArrayDeque<>();

    /**
     * Appends a change that was read from the store or received from another host at {@code nowNanos}. The earlier
     * changes are dropped if it does not continue from the last one.
     */
    public void add(CatalogUpdate update, long nowNanos) {
        if (!updates.isEmpty() && updates.peekLast().update.rowVersion() != update.fromRowVersion()) {
            updates.clear();
        }
        updates.addLast(new LoggedUpdate(update, nowNanos));
        while (size() > MAX_SIZE) {
            updates.removeFirst();
        }
    }

    /** Drops all changes, for use when the latest change is unknown. */
    public void clear() {
        updates.clear();
    }

    /** Drops changes that are old enough for all hosts to have received them. */
    public void expire(long nowNanos) {
        while (!updates.isEmpty() && nowNanos - updates.peekFirst().addedNanos > RETENTION_NANOS) {
            updates.removeFirst();
        }
    }

    /** The kept changes, oldest first. */
    public List<CatalogUpdate> updates() {
        return updates.stream().map(LoggedUpdate::update).toList();
    }

    private int size() {
        return updates.stream().mapToInt(u -> u.update.change().size()).sum();
    }

    private record LoggedUpdate(CatalogUpdate update, long addedNanos) {}
}
