package org.dragonflygw.edge.soak;

/**
 * One execution of a request by an endpoint.
 *
 * @param id id of the caller's attempt
 * @param endpoint id of the endpoint
 * @param atNanos time when the request was read, from {@link System#nanoTime()}
 * @param target path of the request
 * @param body body of the request
 * @param team team named in the request header
 * @param keyPassed whether the request still had the caller's key
 */
record Execution(
        String id, String endpoint, long atNanos, String target, String body, String team, boolean keyPassed) {}
