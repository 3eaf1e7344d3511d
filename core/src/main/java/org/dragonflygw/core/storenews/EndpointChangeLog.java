package org.dragonflygw.core.storenews;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Log of the latest changes of the list of endpoints, with the version from which the log is complete. Changes are kept
 * while some hosts may not have received them; a host that missed a dropped change reads the list from the store. Not
 * thread-safe.
 */
public final class EndpointChangeLog {
    /** Maximum number of kept changes; they fit in a datagram of two packets. */
    private static final int MAX_CHANGES = 32;

    /** Time for which a change is kept, in nanoseconds; in it, each host of a large fleet receives it three times. */
    private static final long RETENTION_NANOS = 5_000_000_000L;

    private final Deque<LoggedChange> changes = new ArrayDeque<>();
    private long completeFrom;
    private boolean started;

    /**
     * Clears the log after a full listing at the given version, since a listing does not show the changes before it.
     */
    public void restart(long version) {
        changes.clear();
        completeFrom = version;
        started = true;
    }

    /**
     * Appends a change that was read from the store or received from another host at {@code nowNanos}. Ignored before
     * the first {@link #restart}.
     */
    public void add(EndpointChange change, long nowNanos) {
        if (!started) {
            return;
        }
        changes.addLast(new LoggedChange(change, nowNanos));
        if (changes.size() > MAX_CHANGES) {
            removeOldest();
        }
    }

    /** Drops changes that are old enough for all hosts to have received them. */
    public void expire(long nowNanos) {
        while (!changes.isEmpty() && nowNanos - changes.peekFirst().addedNanos > RETENTION_NANOS) {
            removeOldest();
        }
    }

    private void removeOldest() {
        completeFrom = Math.max(completeFrom, changes.removeFirst().change.version());
    }

    /** Version after which the log holds every change. */
    public long completeFrom() {
        return completeFrom;
    }

    /** The kept changes, oldest first. */
    public List<EndpointChange> changes() {
        return changes.stream().map(LoggedChange::change).toList();
    }

    private record LoggedChange(EndpointChange change, long addedNanos) {}
}
