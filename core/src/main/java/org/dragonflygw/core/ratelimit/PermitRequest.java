package org.dragonflygw.core.ratelimit;

/**
 * Question of a host to an owner of a limit: whether it may send one request to the endpoint now.
 *
 * @param rate the endpoint, and what the asking host knows of its limit
 */
public record PermitRequest(RateReport rate) {}
