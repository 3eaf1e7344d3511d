package org.dragonflygw.bench.capacity;

/**
 * Size of the fleet and its load.
 *
 * @param name name for the page
 * @param daemons daemons that work
 * @param engines engines that work
 * @param requestsPerSecond requests at the peak, in one second
 * @param tokensPerSecond tokens generated at the peak, in one second
 */
record Scenario(String name, int daemons, int engines, double requestsPerSecond, double tokensPerSecond) {
    private static final double TOKEN_GAP_SECONDS = 0.062;

    /** Everything at work, in both regions. */
    static final Scenario WHOLE = new Scenario("both regions", 400, 600, 6_100, 1_500_000);

    /** One of four availability zones lost, with all the load on the others. */
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

    /** Streams open on one daemon, when each token takes the greatest allowed gap. */
    double openStreamsPerDaemon() {
        return tokensPerDaemon() * TOKEN_GAP_SECONDS;
    }
}
