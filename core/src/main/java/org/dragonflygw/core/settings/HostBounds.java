package org.dragonflygw.core.settings;

/**
 * Bounds of a deployment.
 *
 * @param drainMs time after which a leaving endpoint gets no new work, in milliseconds
 * @param graceMs time from the request to stop until the process is killed, in milliseconds
 * @param configApplyMs time in which a configuration comes into force, in milliseconds
 * @param revokeMs time after which a revoked key is no longer served, in milliseconds
 * @param retries how often requests may be sent again
 * @param capFactor most load of an endpoint as a multiple of its service's mean
 */
public record HostBounds(
        long drainMs, long graceMs, long configApplyMs, long revokeMs, RetryBounds retries, double capFactor) {}
