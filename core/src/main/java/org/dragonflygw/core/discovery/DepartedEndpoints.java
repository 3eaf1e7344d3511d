package org.dragonflygw.core.discovery;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last endpoints whose entries were removed, so that an old copy of their entries is not taken for their return. Not
 * thread-safe.
 */
final class DepartedEndpoints {
    /** Maximum number of remembered endpoints; more than leave in the seconds that a copy of the store is old. */
    private static final int MAX_REMEMBERED = 1_000;

    private final Map<String, DiscoveredEndpoint> byId = new LinkedHashMap<>();

    /** Records that an endpoint's entry was removed. */
    void add(DiscoveredEndpoint endpoint) {
        byId.remove(endpoint.id());
        byId.put(endpoint.id(), endpoint);
        if (byId.size() > MAX_REMEMBERED) {
            byId.remove(byId.keySet().iterator().next());
        }
    }

    /** Returns whether the entry of this instance was removed. */
    boolean contains(DiscoveredEndpoint endpoint) {
        DiscoveredEndpoint departed = byId.get(endpoint.id());
        return departed != null && departed.sameIncarnation(endpoint);
    }
}
