package org.dragonflygw.core.dispatch;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Compares all endpoints while hosts are few and know each other's loads at once. In a larger fleet loads are known
 * late, and hosts that all chose the least loaded endpoint would send to the same one until they hear of it. There one
 * endpoint is drawn, with more chance for those that have more places, are less loaded and do not fail.
 */
public final class FleetSizeSampler implements CandidateSampler {
    /** Hosts up to which reports reach all others within half a second. */
    private static final int SMALL_FLEET = 16;

    /** Failure score up to which an endpoint is as good as any: single failures of requests are the requests' own. */
    private static final double USUAL_FAILURES = 0.2;

    /** Failure score beyond it that halves the chance of an endpoint. */
    private static final double HALVING_FAILURES = 0.1;

    /** Chance of an endpoint to which no connection could be made, beside one that is well. */
    private static final double BLOCKED_CHANCE = 1e-6;

    private final IntSupplier hosts;
    private final RandomGenerator random;

    /**
     * Makes a sampling.
     *
     * @param hosts number of hosts
     */
    public FleetSizeSampler(IntSupplier hosts, RandomGenerator random) {
        this.hosts = hosts;
        this.random = random;
    }

    @Override
    public List<EndpointLoadState> sample(List<EndpointLoadState> usable, long nowNanos) {
        int n = usable.size();
        if (n <= 1 || hosts.getAsInt() <= SMALL_FLEET) {
            return usable;
        }
        double[] chances = new double[n];
        double sum = 0;
        for (int i = 0; i < n; i++) {
            chances[i] = chance(usable.get(i), nowNanos);
            sum += chances[i];
        }
        double left = random.nextDouble() * sum;
        int drawn = 0;
        while (drawn < n - 1 && left >= chances[drawn]) {
            left -= chances[drawn++];
        }
        return List.of(usable.get(drawn));
    }

    private static double chance(EndpointLoadState e, long nowNanos) {
        double failures = Math.max(0, e.failureScore(nowNanos) - USUAL_FAILURES);
        double chance =
                Math.max(1, e.entry().slots()) / (1 + e.load(nowNanos)) * Math.pow(0.5, failures / HALVING_FAILURES);
        return e.isBlocked(nowNanos) ? chance * BLOCKED_CHANCE : chance;
    }
}
