package org.dragonflygw.core.settings;

/**
 * Bounds of a deployment.
 *
 * @param drainMs time after which a leaving endpoint gets no new work, in milliseconds
 * @param graceMs time from the request to stop until the process is killed, in milliseconds
 * @param configApplyMs time in which a configuration comes into force, in milliseconds
 * @param revokeMs time after which a revoked key is no longer served, in milliseconds
 * @param heartbeatMs interval at which endpoints renew their entries, in milliseconds
 * @param retryRatio repeats that a service may get for each of its requests, over all hosts
 * @param retrySlack further repeats in a window, over all hosts
 * @param retryWindowMs length of that window in milliseconds
 * @param capFactor most load of an endpoint as a multiple of its service's mean
 */
public record HostBounds(
        long drainMs,
        long graceMs,
        long configApplyMs,
        long revokeMs,
        long heartbeatMs,
        double retryRatio,
        double retrySlack,
        long retryWindowMs,
        double capFactor) {}
