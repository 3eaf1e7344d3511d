package org.dragonflygw.core.storenews;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The latest changes of the configuration, each joined on to the one before. Large changes are not kept: hosts read the
 * store for them. Used by one thread.
 */
public final class CatalogUpdateLog {
    /** Things that may differ in all kept changes together: their message stays within three packets. */
    private static final int MAX_SIZE = 24;

    /** How long a change is kept, in nanoseconds: each host of a large fleet is told once more in it. */
    private static final long RETENTION_NANOS = 2_000_000_000L;

    private final Deque<Kept> updates = new ArrayDeque<>();

    /** Adds a change that was read or heard now. */
    public void add(CatalogUpdate update, long nowNanos) {
        if (!updates.isEmpty() && updates.peekLast().update.rowVersion() != update.fromRowVersion()) {
            updates.clear();
        }
        updates.addLast(new Kept(update, nowNanos));
        while (size() > MAX_SIZE) {
            updates.removeFirst();
        }
    }

    /** Forgets all changes, as one is not known. */
    public void clear() {
        updates.clear();
    }

    /** Drops changes that all hosts had time to hear of. */
    public void expire(long nowNanos) {
        while (!updates.isEmpty() && nowNanos - updates.peekFirst().atNanos > RETENTION_NANOS) {
            updates.removeFirst();
        }
    }

    /** The changes, oldest first. */
    public List<CatalogUpdate> updates() {
        return updates.stream().map(Kept::update).toList();
    }

    private int size() {
        return updates.stream().mapToInt(k -> k.update.change().size()).sum();
    }

    private record Kept(CatalogUpdate update, long atNanos) {}
}
