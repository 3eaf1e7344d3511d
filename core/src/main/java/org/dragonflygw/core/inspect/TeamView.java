package org.dragonflygw.core.inspect;

/**
 * One team on one daemon: element of the answer of {@code GET /v1/teams}. Counts are since the start of the daemon.
 *
 * @param name team
 * @param weight share under contention
 * @param requestsPerSecond fleet-wide rate limit; 0 for none
 * @param open requests open now
 * @param accepted requests accepted
 * @param refused requests refused as not run
 * @param failed requests that ended without a whole answer after dispatch
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
