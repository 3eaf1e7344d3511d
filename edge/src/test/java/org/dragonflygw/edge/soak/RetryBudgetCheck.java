package org.dragonflygw.edge.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Checks that in no window the endpoints of a service executed more requests again than the budget in the soak's
 * settings allows, over all hosts and all restarts.
 */
final class RetryBudgetCheck {
    private static final double RATIO = 0.2;
    private static final double SLACK = 52;
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    private RetryBudgetCheck() {}

    /** Returns the worst window of each service that exceeds the budget. */
    static List<String> violations(SoakRecord record) {
        Map<String, List<Long>> requests = new HashMap<>();
        Map<String, String> serviceById = new HashMap<>();
        for (Outcome o : record.outcomes()) {
            serviceById.put(o.id(), o.kind().service());
            requests.computeIfAbsent(o.kind().service(), s -> new ArrayList<>()).add(o.sentNanos());
        }
        List<String> violations = new ArrayList<>();
        repeats(record, serviceById).forEach((service, repeats) -> {
            long worst = worstStart(repeats, requests.get(service));
            int count = count(repeats, worst);
            double allowed = allowed(requests.get(service), worst);
            if (count > allowed) {
                violations.add(count + " repeats of requests to " + service + " in one window, allowed " + allowed);
            }
        });
        return violations;
    }

    private static Map<String, List<Long>> repeats(SoakRecord record, Map<String, String> serviceById) {
        Map<String, List<Long>> repeats = new HashMap<>();
        Set<String> seen = new HashSet<>();
        record.executions().stream()
                .filter(e -> serviceById.containsKey(e.id()))
                .sorted(Comparator.comparingLong(Execution::atNanos))
                .filter(e -> !seen.add(e.id()))
                .forEach(e -> repeats.computeIfAbsent(serviceById.get(e.id()), s -> new ArrayList<>())
                        .add(e.atNanos()));
        return repeats;
    }

    private static long worstStart(List<Long> repeats, List<Long> requests) {
        long worst = repeats.get(0);
        for (long start : repeats) {
            if (count(repeats, start) - allowed(requests, start) > count(repeats, worst) - allowed(requests, worst)) {
                worst = start;
            }
        }
        return worst;
    }

    /** The budget counts the requests of the window, of the one before or of the one half a window before. */
    private static double allowed(List<Long> requests, long start) {
        int before = Math.max(count(requests, start - WINDOW_NANOS), count(requests, start - WINDOW_NANOS / 2));
        return RATIO * Math.max(count(requests, start), before) + SLACK;
    }

    private static int count(List<Long> times, long start) {
        return (int) times.stream()
                .filter(t -> t - start >= 0 && t - start < WINDOW_NANOS)
                .count();
    }
}
