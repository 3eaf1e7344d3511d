package org.dragonflygw.edge.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Checks that hosts follow what endpoints say of themselves: few requests in the time for which an endpoint asked for none,
 * and none a while after it said that it is leaving. Hosts that were disturbed meanwhile do not count.
 */
final class NoticeCheck {
    /** Time after a rejection in which requests that were on their way may still arrive, in milliseconds. */
    private static final long QUIET_GRACE_MS = 500;

    private static final int MAX_QUIET_ARRIVALS = 2;

    /** Time after which a leaving endpoint gets no more requests, with a tolerance for a busy machine, in milliseconds. */
    private static final long LEAVING_GRACE_MS = 2_000 + 500;

    private final SoakRecord record;
    private final Map<String, Outcome> outcomesById;

    private NoticeCheck(SoakRecord record) {
        this.record = record;
        this.outcomesById =
                record.outcomes().stream().collect(Collectors.toMap(Outcome::id, Function.identity(), (a, b) -> a));
    }

    /** Returns the violations, each with the arrival whose response was not followed. */
    static List<String> violations(SoakRecord record) {
        NoticeCheck check = new NoticeCheck(record);
        List<String> violations = new ArrayList<>();
        for (Arrival a : record.arrivals()) {
            if (a.quietMs() > 0 && check.countAfter(a, QUIET_GRACE_MS, a.quietMs()) > MAX_QUIET_ARRIVALS) {
                violations.add("requests in the time for which an endpoint asked for none: " + a);
            }
            if (a.leaving() && check.countAfter(a, LEAVING_GRACE_MS, Long.MAX_VALUE) > 0) {
                violations.add("request to an endpoint that said it is leaving: " + a);
            }
        }
        return violations;
    }

    /** Returns how many requests of the same host reached the endpoint in a period after an arrival. */
    private long countAfter(Arrival first, long fromMs, long untilMs) {
        Outcome answered = outcomesById.get(first.id());
        if (answered == null) {
            return 0;
        }
        return record.arrivals().stream()
                .filter(a -> a.endpoint().equals(first.endpoint()))
                .filter(a -> isBetween(a.atNanos() - first.atNanos(), fromMs, untilMs))
                .filter(a -> outcomesById.containsKey(a.id()))
                .filter(a -> outcomesById.get(a.id()).host() == answered.host())
                .filter(a -> hostKeptRunning(answered.host(), first.atNanos(), a.atNanos()))
                .count();
    }

    /** A host that has started again since may have forgotten what it was told. */
    private boolean hostKeptRunning(int host, long fromNanos, long untilNanos) {
        return record.hostFaults().get(host).noneWithin(fromNanos, untilNanos, 0)
                && record.plannedStops().noneWithin(fromNanos, untilNanos, 0);
    }

    private static boolean isBetween(long nanos, long fromMs, long untilMs) {
        long ms = TimeUnit.NANOSECONDS.toMillis(nanos);
        return ms > fromMs && ms < untilMs;
    }
}
