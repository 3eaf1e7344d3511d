package org.dragonflygw.core.inspect;

/**
 * One endpoint as one daemon sees it: element of the answer of {@code GET /v1/engines}.
 *
 * @param endpointId name
 * @param pool pool
 * @param address IP address and port
 * @param availabilityZone availability zone
 * @param region region
 * @param state live, suspended or leaving
 * @param steward daemon that gives grants for it; empty when unknown
 * @param inFlight requests on it
 * @param queued requests that wait for it
 * @param waitMillis expected wait of a new request, in milliseconds
 * @param reportAgeMillis age of these figures, in milliseconds; -1 when none came yet
 */
public record EngineView(
        String endpointId,
        String pool,
        String address,
        String availabilityZone,
        String region,
        String state,
        String steward,
        int inFlight,
        int queued,
        long waitMillis,
        long reportAgeMillis) {}
