package org.dragonflygw.core.ratelimit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The rates of requests that instances of endpoints take. They are kept apart from the entries of the endpoints, which
 * may lapse and come back; another start under the same id is another instance. Not thread-safe.
 */
public final class EndpointRates {
    /** Maximum number of remembered instances, several times those of a large fleet; the oldest is dropped first. */
    private static final int MAX_REMEMBERED = 2_048;

    private final Map<String, EndpointRate> byInstance = new LinkedHashMap<>();

    /** Returns the rate of an instance, which all users of the instance share. */
    public EndpointRate of(String endpoint, long startedMs) {
        EndpointRate rate =
                byInstance.computeIfAbsent(endpoint + '#' + startedMs, k -> new EndpointRate(endpoint, startedMs));
        if (byInstance.size() > MAX_REMEMBERED) {
            byInstance.remove(byInstance.keySet().iterator().next());
        }
        return rate;
    }

    /** Returns the number of instances that name a limit. */
    public long limitedCount() {
        return byInstance.values().stream().filter(EndpointRate::isLimited).count();
    }
}
