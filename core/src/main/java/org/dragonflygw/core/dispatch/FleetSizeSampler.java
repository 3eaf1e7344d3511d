package org.dragonflygw.core.dispatch;

import java.util.List;
import java.util.OptionalInt;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Compares all endpoints in a small fleet, where hosts learn each other's load quickly. In a larger fleet, load reports
 * are stale: if every host chose the least loaded endpoint, all of them would send to the same one until the next
 * reports. There, and while the size of the fleet is unknown, one endpoint is drawn at random, with a higher probability
 * for endpoints that have more slots, less load, shorter work and fewer failures.
 */
public final class FleetSizeSampler implements CandidateSampler {
    /** Largest number of hosts at which reports reach all peers within half a second. */
    private static final int MAX_SMALL_FLEET_HOSTS = 16;

    /** Failure score up to which an endpoint has no penalty, as single failures are usually caused by the request. */
    private static final double TOLERATED_FAILURE_SCORE = 0.2;

    /** Additional failure score that halves the weight of an endpoint. */
    private static final double HALVING_FAILURE_SCORE = 0.1;

    /** Factor on the weight of an endpoint to which connections fail. */
    private static final double BLOCKED_WEIGHT_FACTOR = 1e-6;

    private final Supplier<OptionalInt> hosts;
    private final RandomGenerator random;

    /**
     * Creates a sampler.
     *
     * @param hosts number of hosts in the fleet, empty while it is unknown
     */
    public FleetSizeSampler(Supplier<OptionalInt> hosts, RandomGenerator random) {
        this.hosts = hosts;
        this.random = random;
    }

    @Override
    public List<EndpointLoadState> sample(List<EndpointLoadState> usable, long nowNanos) {
        int n = usable.size();
        if (n <= 1 || isSmallFleet()) {
            return usable;
        }
        double[] weights = new double[n];
        double sum = 0;
        for (int i = 0; i < n; i++) {
            weights[i] = weight(usable.get(i), nowNanos);
            sum += weights[i];
        }
        double remaining = random.nextDouble() * sum;
        int drawn = 0;
        while (drawn < n - 1 && remaining >= weights[drawn]) {
            remaining -= weights[drawn++];
        }
        return List.of(usable.get(drawn));
    }

    private boolean isSmallFleet() {
        OptionalInt count = hosts.get();
        return count.isPresent() && count.getAsInt() <= MAX_SMALL_FLEET_HOSTS;
    }

    private static double weight(EndpointLoadState e, long nowNanos) {
        double excessFailureScore = Math.max(0, e.failureScore(nowNanos) - TOLERATED_FAILURE_SCORE);
        double weight = Math.max(1, e.entry().slots())
                / ((1 + e.load(nowNanos)) * e.speeds().factor(nowNanos))
                * Math.pow(0.5, excessFailureScore / HALVING_FAILURE_SCORE);
        return e.isBlocked(nowNanos) ? weight * BLOCKED_WEIGHT_FACTOR : weight;
    }
}
