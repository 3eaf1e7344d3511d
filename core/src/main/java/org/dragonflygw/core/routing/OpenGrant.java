package org.dragonflygw.core.routing;

import java.time.Instant;

/**
 * An open grant of a steward.
 *
 * @param team team that holds the slot
 * @param fingerprint hash of the whole request
 * @param suspect whether the request was in flight on an engine that was lost
 * @param since time of the grant
 * @param expiry time at which the grant expires unless renewed
 */
record OpenGrant(String team, long fingerprint, boolean suspect, Instant since, Instant expiry) {
    OpenGrant renewed(Instant newExpiry) {
        return new OpenGrant(team, fingerprint, suspect, since, newExpiry);
    }
}
