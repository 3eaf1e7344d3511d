package org.dragonflygw.core.crash;

import java.util.Set;

/**
 * A request during whose execution connections to endpoints were lost.
 *
 * @param fingerprint hash of the request's method, target, body and team
 * @param endpoints instances of the lost endpoints, each by its key
 * @param ageMs time since the last loss, in milliseconds
 */
public record CrashSuspect(long fingerprint, Set<String> endpoints, long ageMs) {
    public CrashSuspect {
        endpoints = Set.copyOf(endpoints);
    }
}
