package org.dragonflygw.core.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;

/**
 * The quiet times that instances of endpoints asked for. They are kept apart from the entries of the endpoints, which may
 * lapse and come back. Not thread-safe.
 */
final class QuietTimes {
    /** Maximum number of remembered instances, several times those of a large fleet; the oldest is dropped first. */
    private static final int MAX_REMEMBERED = 2_048;

    private final Map<String, QuietTime> byInstance = new LinkedHashMap<>();

    /** Returns the quiet time of an instance, which all users of the instance share. */
    QuietTime of(DiscoveredEndpoint endpoint) {
        QuietTime quiet = byInstance.computeIfAbsent(endpoint.instanceKey(), k -> new QuietTime());
        if (byInstance.size() > MAX_REMEMBERED) {
            byInstance.remove(byInstance.keySet().iterator().next());
        }
        return quiet;
    }
}
