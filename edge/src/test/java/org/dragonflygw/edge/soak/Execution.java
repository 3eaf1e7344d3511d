package org.dragonflygw.edge.soak;

/**
 * One request that reached an endpoint and was run there.
 *
 * @param id id of the caller's attempt
 * @param endpoint the endpoint
 * @param atNanos when it was read
 * @param target its path
 * @param body its body
 * @param team team that the head names
 * @param keyPassed whether the caller's key was passed on
 */
record Execution(
        String id, String endpoint, long atNanos, String target, String body, String team, boolean keyPassed) {}
