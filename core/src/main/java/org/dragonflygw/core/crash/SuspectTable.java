package org.dragonflygw.core.crash;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The losses of each request, kept apart by the number of lost endpoints. Requests with few losses, of which a crash
 * leaves hundreds, cannot evict those with more. Not thread-safe.
 */
final class SuspectTable {
    /**
     * Maximum number of requests with one lost endpoint, with two, and with more; of each, the one whose last loss was
     * recorded first is evicted first.
     */
    private static final int[] CAPACITIES = {16_384, 2_048, 1_024};

    private final List<Map<Long, RequestLosses>> byLostEndpoints = new ArrayList<>();

    SuspectTable() {
        for (int i = 0; i < CAPACITIES.length; i++) {
            byLostEndpoints.add(new LinkedHashMap<>());
        }
    }

    /** Returns the losses of a request, or null if there are none. */
    RequestLosses get(long fingerprint) {
        for (int i = CAPACITIES.length - 1; i >= 0; i--) {
            RequestLosses losses = byLostEndpoints.get(i).get(fingerprint);
            if (losses != null) {
                return losses;
            }
        }
        return null;
    }

    /** Removes and returns the losses of a request; null if there are none. */
    RequestLosses remove(long fingerprint) {
        for (Map<Long, RequestLosses> requests : byLostEndpoints) {
            RequestLosses losses = requests.remove(fingerprint);
            if (losses != null) {
                return losses;
            }
        }
        return null;
    }

    /** Adds lost endpoints to a request and returns all its losses. */
    RequestLosses add(long fingerprint, Set<String> endpoints, long atNanos) {
        RequestLosses before = remove(fingerprint);
        RequestLosses losses = before == null ? new RequestLosses(endpoints, atNanos) : before.with(endpoints, atNanos);
        int i = Math.min(losses.endpoints().size(), CAPACITIES.length) - 1;
        Map<Long, RequestLosses> requests = byLostEndpoints.get(i);
        requests.put(fingerprint, losses);
        if (requests.size() > CAPACITIES[i]) {
            requests.remove(requests.keySet().iterator().next());
        }
        return losses;
    }

    /** Returns the number of requests. */
    int size() {
        return byLostEndpoints.stream().mapToInt(Map::size).sum();
    }

    /** Returns the requests with just so many lost endpoints, fewer than three; the last change last. */
    Map<Long, RequestLosses> with(int lostEndpoints) {
        return byLostEndpoints.get(lostEndpoints - 1);
    }

    /** Returns the requests with at least so many lost endpoints, by fingerprint; the last change of each group last. */
    Map<Long, RequestLosses> withAtLeast(int lostEndpoints) {
        Map<Long, RequestLosses> requests = new LinkedHashMap<>();
        for (int i = lostEndpoints - 1; i < CAPACITIES.length; i++) {
            requests.putAll(byLostEndpoints.get(i));
        }
        return requests;
    }
}
