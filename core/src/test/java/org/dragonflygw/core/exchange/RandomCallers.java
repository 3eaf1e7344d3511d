package org.dragonflygw.core.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;

/** Callers who come at random times to the hosts of a simulated network, to some more often than to others. */
final class RandomCallers {
    private static final double MEAN_WEIGHT = 0.8;

    private final SimulatedNetwork network;
    private final List<Double> hostWeights = new ArrayList<>();

    RandomCallers(SimulatedNetwork network) {
        this.network = network;
    }

    /** Adds a host to which more or fewer callers come than to others. */
    void addUneven() {
        hostWeights.add(MEAN_WEIGHT - 0.5 + network.random.nextDouble());
    }

    /** Adds a host to which the mean number of callers come. */
    void addMean() {
        hostWeights.add(MEAN_WEIGHT);
    }

    /** Lets no more callers come to a host. */
    void remove(int host) {
        hostWeights.set(host, 0.0);
    }

    /** Lets callers come at a mean rate from now on. */
    void schedule(long millis, double requestsPerSecond, IntConsumer receiver) {
        double at = network.nowMs();
        long until = network.nowMs() + millis;
        while (true) {
            at += -Math.log(1 - network.random.nextDouble()) * 1_000 / requestsPerSecond;
            if (at >= until) {
                return;
            }
            int host = drawHost();
            network.after((long) at - network.nowMs(), () -> receiver.accept(host));
        }
    }

    private int drawHost() {
        double sum = hostWeights.stream().mapToDouble(w -> w).sum();
        double draw = network.random.nextDouble() * sum;
        for (int i = 0; i < hostWeights.size(); i++) {
            draw -= hostWeights.get(i);
            if (draw <= 0) {
                return i;
            }
        }
        return 0;
    }
}
