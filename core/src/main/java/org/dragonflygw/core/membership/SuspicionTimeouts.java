package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When suspects become dead. The time grows with the logarithm of the fleet, so that a refutation can travel, and with
 * the share of recent exchanges that failed here, so that a daemon whose own network or processor is at fault does not
 * declare the others dead. Not thread-safe.
 */
final class SuspicionTimeouts {
    private static final int INTERVALS = 4;
    private static final int MAX_STRETCH = 4;
    private static final double OUTCOME_WEIGHT = 0.25;
    private static final double HEALTHY_FAILURE_SHARE = 0.4;

    private final Duration interval;
    private final Map<String, Instant> deadlines = new HashMap<>();
    private double failureShare;

    SuspicionTimeouts(Duration interval) {
        this.interval = interval;
    }

    void recordExchange(boolean failed) {
        failureShare += OUTCOME_WEIGHT * ((failed ? 1 : 0) - failureShare);
    }

    /** Starts the time of a suspect; has no effect when it runs already. */
    void start(String daemonId, Instant now, int fleetSize) {
        deadlines.putIfAbsent(daemonId, now.plus(timeout(fleetSize)));
    }

    void stop(String daemonId) {
        deadlines.remove(daemonId);
    }

    /** Gives all suspects more time, after this daemon itself was paused. */
    void extend(Duration pause) {
        deadlines.replaceAll((id, deadline) -> deadline.plus(pause));
    }

    /** Takes out the suspects whose time is over. */
    List<String> takeExpired(Instant now) {
        List<String> expired = new ArrayList<>();
        deadlines.forEach((id, deadline) -> {
            if (!now.isBefore(deadline)) {
                expired.add(id);
            }
        });
        expired.forEach(deadlines::remove);
        return expired;
    }

    Duration timeout(int fleetSize) {
        double scale = INTERVALS * Math.max(1, Math.log10(fleetSize + 1.0));
        double stretch = failureShare > HEALTHY_FAILURE_SHARE ? 1 + (MAX_STRETCH - 1) * failureShare : 1;
        return Duration.ofMillis((long) (interval.toMillis() * scale * stretch));
    }
}
