package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflygw.core.routing.EndpointLoad;

/** Newest load statement of each endpoint and the queue to spread them. Not thread-safe. */
final class LoadTable {
    private static final int MAX_SENDS = 5;
    private static final Duration RETENTION = Duration.ofSeconds(60);

    private final Map<String, EndpointLoad> rows = new HashMap<>();
    private final DisseminationQueue<EndpointLoad> queue =
            new DisseminationQueue<>(rows::get, GossipMessageSizes::load);

    /** Takes a statement; says whether it is newer than the known one. */
    boolean accept(EndpointLoad row) {
        EndpointLoad known = rows.get(row.endpointId());
        if (known != null && !row.isNewerThan(known)) {
            return false;
        }
        rows.put(row.endpointId(), row);
        boolean closes = row.closed() && (known == null || !known.closed());
        if (closes) {
            queue.enqueueUrgent(row.endpointId());
        } else {
            queue.enqueue(row.endpointId());
        }
        return true;
    }

    List<EndpointLoad> takeUrgent(int maxBytes) {
        return queue.takeUrgent(maxBytes, MAX_SENDS);
    }

    List<EndpointLoad> take(int maxBytes) {
        return queue.take(maxBytes, MAX_SENDS);
    }

    /** Drops endpoints that nobody stated for a long time. */
    void removeExpired(Instant now) {
        rows.values().removeIf(row -> row.receivedAt().plus(RETENTION).isBefore(now));
    }

    Collection<EndpointLoad> all() {
        return rows.values();
    }
}
