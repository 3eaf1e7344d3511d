package org.dragonflygw.core.inspect;

/**
 * One endpoint as one daemon sees it: element of the answer of {@code GET /v1/engines}.
 *
 * @param endpointId name
 * @param pool name of the pool of the endpoint
 * @param address IP address and port
 * @param availabilityZone availability zone
 * @param region region that the availability zone belongs to
 * @param state live, suspended or leaving
 * @param steward id of the daemon that grants its slots; empty if unknown
 * @param inFlight requests on the endpoint
 * @param queued requests waiting for a slot
 * @param waitMillis expected wait of a new request, in milliseconds
 * @param reportAgeMillis age of the load figures, in milliseconds; -1 if none was received yet
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
