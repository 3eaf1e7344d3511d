package org.dragonflygw.bench.capacity;

/**
 * Fleet size and peak load for which the costs are computed.
 *
 * @param name name of the scenario
 * @param daemons live daemons
 * @param engines live engines
 * @param requestsPerSecond requests per second at the peak
 * @param tokensPerSecond tokens generated per second at the peak
 */
record Scenario(String name, int daemons, int engines, double requestsPerSecond, double tokensPerSecond) {
    private static final double MAX_TOKEN_GAP_SECONDS = 0.062;

    /** All daemons and engines of both regions are live. */
    static final Scenario WHOLE = new Scenario("both regions", 400, 600, 6_100, 1_500_000);

    /** One of four availability zones is lost; the others carry all the load. */
    static final Scenario ZONE_LOST = new Scenario("a zone lost", 300, 450, 6_100, 1_500_000);

    double requestsPerDaemon() {
        return requestsPerSecond / daemons;
    }

    double tokensPerDaemon() {
        return tokensPerSecond / daemons;
    }

    double enginesPerDaemon() {
        return (double) engines / daemons;
    }

    /** Open streams on one daemon if every token takes the maximum allowed gap. */
    double openStreamsPerDaemon() {
        return tokensPerDaemon() * MAX_TOKEN_GAP_SECONDS;
    }
}
