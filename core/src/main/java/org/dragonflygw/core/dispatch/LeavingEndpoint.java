package org.dragonflygw.core.dispatch;

/**
 * An instance of an endpoint that said in a response that it is leaving.
 *
 * @param id id of the endpoint
 * @param startedMs Unix time of the instance's start in milliseconds, or 0 if unknown
 * @param ageMs time since a host first heard it, in milliseconds
 */
public record LeavingEndpoint(String id, long startedMs, long ageMs) {}
