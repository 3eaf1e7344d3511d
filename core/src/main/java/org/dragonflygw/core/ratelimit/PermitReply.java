package org.dragonflygw.core.ratelimit;

/**
 * Answer of an owner of a limit.
 *
 * @param granted whether one request may be sent now
 * @param waitMs time after which the owner may have the next permit, in milliseconds; 0 if granted
 * @param rate the endpoint, and what the owner knows of its limit
 */
public record PermitReply(boolean granted, long waitMs, RateReport rate) {}
