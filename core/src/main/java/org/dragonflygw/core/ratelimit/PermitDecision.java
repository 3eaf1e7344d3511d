package org.dragonflygw.core.ratelimit;

/**
 * Whether a request may be sent to an endpoint that names a limit, with what decided it.
 *
 * @param granted whether the request may be sent
 * @param owner name of the host that decided; empty if none was asked
 * @param waitMs time until the next permit may be had, in milliseconds; 0 if granted
 * @param requestsPerSecond the limit; infinity if there is none any more
 */
public record PermitDecision(boolean granted, String owner, long waitMs, double requestsPerSecond) {}
