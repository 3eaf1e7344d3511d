package org.dragonflygw.core.retry;

import java.util.Set;

/**
 * A request at whose work connections to endpoints were lost.
 *
 * @param fingerprint hash of the request's method, path, key and body
 * @param endpoints ids of the endpoints
 */
public record CrashSuspect(long fingerprint, Set<String> endpoints) {
    public CrashSuspect {
        endpoints = Set.copyOf(endpoints);
    }
}
