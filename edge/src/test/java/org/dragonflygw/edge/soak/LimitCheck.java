package org.dragonflygw.edge.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Checks that all hosts together keep to the limit that an endpoint names. Hosts that were disturbed meanwhile do not
 * count, nor do those that had not passed on a response with the limit.
 */
final class LimitCheck {
    /** Time after an endpoint first named a limit from which it must be kept, in the soak's settings. */
    private static final long CONTACT_MS = 3_000;

    /** Time after a host passed on a response with the limit from which it counts, in milliseconds. */
    private static final long PASSED_ON_MS = 500;

    private static final long WINDOW_MS = 4_000;
    private static final double ALLOWED_FACTOR = 1.5;
    private static final int ALLOWED_MORE = 5;

    private final SoakRecord record;
    private final Map<String, Outcome> outcomesById;

    private LimitCheck(SoakRecord record) {
        this.record = record;
        this.outcomesById =
                record.outcomes().stream().collect(Collectors.toMap(Outcome::id, Function.identity(), (a, b) -> a));
    }

    /** Returns one violation for each endpoint that got too many requests in some window. */
    static List<String> violations(SoakRecord record) {
        LimitCheck check = new LimitCheck(record);
        List<String> violations = new ArrayList<>();
        record.arrivals().stream()
                .collect(Collectors.groupingBy(Arrival::endpoint))
                .forEach((endpoint, arrivals) -> check.check(endpoint, arrivals, violations));
        return violations;
    }

    private void check(String endpoint, List<Arrival> arrivals, List<String> violations) {
        List<Arrival> inOrder = arrivals.stream()
                .sorted(Comparator.comparingLong(Arrival::atNanos))
                .toList();
        List<Arrival> counted = counted(inOrder);
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            while (ms(counted.get(last).atNanos() - counted.get(first).atNanos()) >= WINDOW_MS) {
                first++;
            }
            double allowed = ALLOWED_FACTOR * counted.get(last).limit() * WINDOW_MS / 1_000 + ALLOWED_MORE;
            if (last - first + 1 > allowed) {
                violations.add(endpoint + " named a limit of "
                        + counted.get(last).limit() + " a second and got " + (last - first + 1) + " requests in 4 s");
                return;
            }
        }
    }

    /** Returns the arrivals that must keep to a limit, in order. */
    private List<Arrival> counted(List<Arrival> inOrder) {
        List<Arrival> counted = new ArrayList<>();
        Map<Integer, Long> passedOnNanos = new HashMap<>();
        long namedNanos = 0;
        for (Arrival a : inOrder) {
            if (Double.isInfinite(a.limit())) {
                namedNanos = 0;
                passedOnNanos.clear();
                continue;
            }
            namedNanos = namedNanos == 0 ? a.atNanos() : namedNanos;
            Outcome o = outcomesById.get(a.id());
            if (o == null) {
                continue;
            }
            Long passedOn = passedOnNanos.get(o.host());
            boolean late = ms(a.atNanos() - namedNanos) >= CONTACT_MS;
            if (late && passedOn != null && ms(a.atNanos() - passedOn) >= PASSED_ON_MS && undisturbed(o, passedOn)) {
                counted.add(a);
            }
            if (o.status() > 0) {
                passedOnNanos.merge(o.host(), o.endNanos(), Math::min);
            }
        }
        return counted;
    }

    private boolean undisturbed(Outcome o, long sinceNanos) {
        return record.hostFaults().get(o.host()).noneWithin(sinceNanos, o.endNanos(), CONTACT_MS)
                && record.plannedStops().noneWithin(sinceNanos, o.endNanos(), CONTACT_MS);
    }

    private static long ms(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
