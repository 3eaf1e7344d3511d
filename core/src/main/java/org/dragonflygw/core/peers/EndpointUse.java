package org.dragonflygw.core.peers;

/**
 * What one host has at one endpoint.
 *
 * @param endpoint id of the endpoint
 * @param inFlight requests under way
 * @param unreadTokens prompt tokens that the endpoint has still to read for them
 * @param failureScore failure score of the endpoint at that host
 */
public record EndpointUse(String endpoint, int inFlight, long unreadTokens, double failureScore) {}
