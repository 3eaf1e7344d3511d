package org.dragonflygw.core.peers;

/**
 * The load that one host puts on one endpoint.
 *
 * @param endpoint id of the endpoint
 * @param inFlight number of requests of the host with which the endpoint may be busy: in flight, or given up lately
 * @param unreadTokens prompt tokens of these requests that the endpoint has not read (prefilled) yet
 * @param failureScore failure score that the host gives the endpoint
 */
public record EndpointUse(String endpoint, int inFlight, long unreadTokens, double failureScore) {}
