package org.dragonflygw.core.storenews;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The latest changes of the list of endpoints, and from which version on they are complete. Used by one thread. */
public final class EndpointChangeLog {
    /** Changes that are kept; they fit a datagram of two packets. */
    private static final int MAX_CHANGES = 32;

    private final Deque<EndpointChange> changes = new ArrayDeque<>();
    private long completeFrom;
    private boolean started;

    /** Begins anew after a listing, which does not tell what changed in between. */
    public void restart(long version) {
        changes.clear();
        completeFrom = version;
        started = true;
    }

    /** Adds a change. */
    public void add(EndpointChange change) {
        if (!started) {
            return;
        }
        changes.addLast(change);
        if (changes.size() > MAX_CHANGES) {
            completeFrom = Math.max(completeFrom, changes.removeFirst().version());
        }
    }

    /** Version after which the changes are complete. */
    public long completeFrom() {
        return completeFrom;
    }

    /** The changes, oldest first. */
    public List<EndpointChange> changes() {
        return List.copyOf(changes);
    }
}
