package org.dragonflygw.core.peers;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The latest sums of each host that adds loads up. Not thread-safe. */
final class ReceivedLoads {
    /** Time for which sums are used, in nanoseconds; several messages must be lost to exceed it. */
    private static final long EXPIRY_NANOS = 2_500_000_000L;

    /** Fraction of the hosts of the largest sum from which a newer sum is preferred to it. */
    private static final double PREFERRED_COVERAGE = 0.9;

    private final Map<String, FleetSum> byRelay = new HashMap<>();

    /** Returns whether a sum is newer than those that were received of its relay. */
    boolean isNew(FleetLoad load, long nowNanos) {
        byRelay.values().removeIf(s -> nowNanos - s.arrivalNanos() >= EXPIRY_NANOS);
        FleetSum known = byRelay.get(load.relay());
        return known == null || load.sequence() > known.sequence();
    }

    void put(FleetSum sum) {
        byRelay.put(sum.relay(), sum);
    }

    /** Returns the newest of the sums that include nearly as many hosts as the largest one. */
    Optional<FleetSum> current(long nowNanos) {
        int most = byRelay.values().stream()
                .filter(s -> isFresh(s, nowNanos))
                .mapToInt(FleetSum::hosts)
                .max()
                .orElse(0);
        return byRelay.values().stream()
                .filter(s -> isFresh(s, nowNanos) && s.hosts() >= most * PREFERRED_COVERAGE)
                .max(Comparator.comparingLong(FleetSum::atNanos));
    }

    private static boolean isFresh(FleetSum sum, long nowNanos) {
        return nowNanos - sum.atNanos() < EXPIRY_NANOS;
    }

    /** Returns whether any usable sum fulfils a condition. */
    boolean any(Predicate<FleetSum> condition, long nowNanos) {
        return byRelay.values().stream().anyMatch(s -> isFresh(s, nowNanos) && condition.test(s));
    }
}
