package org.dragonflygw.core.inspect;

/**
 * One team on one daemon: element of the answer of {@code GET /v1/teams}. Counts are since the start of the daemon.
 *
 * @param name team
 * @param weight share under contention
 * @param requestsPerSecond rate limit of the whole fleet, in requests per second; 0 for none
 * @param open requests open now
 * @param accepted requests accepted
 * @param refused requests refused without being run
 * @param failed requests that ended without a complete answer after dispatch
 * @param firstTokenP95Millis time to the first token, 95th percentile, in milliseconds
 */
public record TeamView(
        String name,
        int weight,
        int requestsPerSecond,
        long open,
        long accepted,
        long refused,
        long failed,
        double firstTokenP95Millis) {}
