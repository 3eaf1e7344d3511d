package org.dragonflygw.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Deadlines at which suspects become dead. The timeout grows with the logarithm of the fleet size, so that a refutation
 * has time to arrive, and with the share of recent exchanges that failed at this daemon, so that a daemon whose own
 * network or processor is at fault does not declare the others dead. Not thread-safe.
 */
final class SuspicionTimeouts {
    private static final int BASE_TIMEOUT_INTERVALS = 4;
    private static final int MAX_STRETCH_FACTOR = 4;
    private static final double FAILURE_SMOOTHING_FACTOR = 0.25;
    private static final double MAX_HEALTHY_FAILURE_SHARE = 0.4;

    private final Duration interval;
    private final Map<String, Instant> deadlines = new HashMap<>();
    private double failureShare;

    SuspicionTimeouts(Duration interval) {
        this.interval = interval;
    }

    void recordExchange(boolean failed) {
        failureShare += FAILURE_SMOOTHING_FACTOR * ((failed ? 1 : 0) - failureShare);
    }

    /** Starts the timeout of a suspect; no effect if it is running. */
    void start(String daemonId, Instant now, int fleetSize) {
        deadlines.putIfAbsent(daemonId, now.plus(timeout(fleetSize)));
    }

    void stop(String daemonId) {
        deadlines.remove(daemonId);
    }

    /** Extends the deadlines of all suspects after a pause of this daemon. */
    void extend(Duration pause) {
        deadlines.replaceAll((id, deadline) -> deadline.plus(pause));
    }

    /** Removes and returns the suspects whose timeout has expired. */
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

    /** Timeout of a suspicion that starts now. */
    Duration timeout(int fleetSize) {
        double scale = BASE_TIMEOUT_INTERVALS * Math.max(1, Math.log10(fleetSize + 1.0));
        double stretch = failureShare > MAX_HEALTHY_FAILURE_SHARE ? 1 + (MAX_STRETCH_FACTOR - 1) * failureShare : 1;
        return Duration.ofMillis((long) (interval.toMillis() * scale * stretch));
    }
}
