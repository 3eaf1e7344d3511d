package org.dragonflygw.core.settings;

/**
 * Time limits and load limits of a deployment, which may change while a process runs.
 *
 * @param drainMs time within which a leaving endpoint must stop getting new requests, in milliseconds
 * @param graceMs time from the signal to stop until the process is killed, in milliseconds
 * @param configApplyMs time within which a new configuration must be active, in milliseconds
 * @param revokeMs time after which requests with a revoked key are no longer accepted, in milliseconds
 * @param retries retry budget
 * @param capFactor maximum load of an endpoint, as a multiple of the mean load of its service
 * @param heartbeatMs interval at which endpoints renew their entries in the store, in milliseconds
 * @param evacuationMs time after which endpoints of an evacuated zone get no more requests, in milliseconds; 0 if the
 *     deployment names none
 * @param boundedWait whether requests that find all endpoints at capacity may wait for room
 */
public record HostBounds(
        long drainMs,
        long graceMs,
        long configApplyMs,
        long revokeMs,
        RetryBounds retries,
        double capFactor,
        long heartbeatMs,
        long evacuationMs,
        boolean boundedWait) {}
