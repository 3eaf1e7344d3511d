package org.dragonflygw.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Lets through as many requests to brittle endpoints as have room. All hosts see the same free room and fill it until the
 * next reports, so each lets a request through with a probability: the free room of all endpoints over what the hosts
 * together are expected to send within the age of their knowledge. Not thread-safe.
 */
final class BrittleAdmission {
    /** Expected requests per free place from which endpoints are sampled. */
    private static final double SAMPLED_PRESSURE = 0.25;

    /** Expected requests per free place that are let through. */
    private static final double MAX_PRESSURE = 1;

    /** Endpoints that are compared for one request under pressure. */
    private static final int SAMPLE = 2;

    private final RandomGenerator random;

    BrittleAdmission(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the endpoints to compare for one request.
     *
     * @param open endpoints that have room as far as this host knows
     * @return some of them; none if the request must be refused
     */
    List<EndpointLoadState> admit(List<EndpointLoadState> open, ServiceTraffic traffic, long nowNanos) {
        Brittleness brittleness = traffic.brittleness();
        double[] free = new double[open.size()];
        double total = 0;
        for (int i = 0; i < free.length; i++) {
            free[i] = brittleness.freePlaces(open.get(i), nowNanos);
            total += free[i];
        }
        double expected =
                traffic.sentSinceReports(nowNanos) * traffic.endpoints().size() / brittleness.admittedShare();
        double pressure = total > 0 ? expected / total : Double.POSITIVE_INFINITY;
        boolean admitted = !open.isEmpty() && random.nextDouble() * pressure < MAX_PRESSURE;
        brittleness.onDecided(admitted);
        if (!admitted) {
            return List.of();
        }
        return pressure < SAMPLED_PRESSURE ? open : sample(open, free, total);
    }

    private List<EndpointLoadState> sample(List<EndpointLoadState> open, double[] free, double total) {
        List<EndpointLoadState> sampled = new ArrayList<>(SAMPLE);
        for (int i = 0; i < SAMPLE; i++) {
            double remaining = random.nextDouble() * total;
            int drawn = 0;
            while (drawn < free.length - 1 && remaining >= free[drawn]) {
                remaining -= free[drawn++];
            }
            if (!sampled.contains(open.get(drawn))) {
                sampled.add(open.get(drawn));
            }
        }
        return sampled;
    }
}
