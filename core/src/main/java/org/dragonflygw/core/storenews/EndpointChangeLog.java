package org.dragonflygw.core.storenews;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The latest changes of the list of endpoints, and from which version on they are complete. Changes are kept while some
 * hosts may not have heard of them; a host that missed them reads the list itself. Used by one thread.
 */
public final class EndpointChangeLog {
    /** Changes that are kept; they fit a datagram of two packets. */
    private static final int MAX_CHANGES = 32;

    /** How long a change is kept, in nanoseconds: each host of a large fleet is told three times in it. */
    private static final long RETENTION_NANOS = 5_000_000_000L;

    private final Deque<Kept> changes = new ArrayDeque<>();
    private long completeFrom;
    private boolean started;

    /** Begins anew after a listing, which does not tell what changed in between. */
    public void restart(long version) {
        changes.clear();
        completeFrom = version;
        started = true;
    }

    /** Adds a change that was read or heard now. */
    public void add(EndpointChange change, long nowNanos) {
        if (!started) {
            return;
        }
        changes.addLast(new Kept(change, nowNanos));
        if (changes.size() > MAX_CHANGES) {
            removeOldest();
        }
    }

    /** Drops changes that all hosts had time to hear of. */
    public void expire(long nowNanos) {
        while (!changes.isEmpty() && nowNanos - changes.peekFirst().atNanos > RETENTION_NANOS) {
            removeOldest();
        }
    }

    private void removeOldest() {
        completeFrom = Math.max(completeFrom, changes.removeFirst().change.version());
    }

    /** Version after which the changes are complete. */
    public long completeFrom() {
        return completeFrom;
    }

    /** The changes, oldest first. */
    public List<EndpointChange> changes() {
        return changes.stream().map(Kept::change).toList();
    }

    private record Kept(EndpointChange change, long atNanos) {}
}
