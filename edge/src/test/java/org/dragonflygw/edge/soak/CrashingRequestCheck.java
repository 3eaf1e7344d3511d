package org.dragonflygw.edge.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Checks that the request that ends endpoints reaches only a few more once three have ended and the hosts had time to hear
 * of it. Requests through a host that was disturbed shortly before do not count.
 */
final class CrashingRequestCheck {
    private static final int ENDS_TO_KNOW = 3;
    private static final int MAX_LATE_EXECUTIONS = 3;

    /** Time for all hosts to hear of the third end, and time without faults after which a host must know, in milliseconds. */
    private static final long CONTACT_MS = 3_000;

    private CrashingRequestCheck() {}

    /** Returns the violation, if there is one. */
    static List<String> violations(SoakRecord record) {
        Map<String, Outcome> sent = record.outcomes().stream()
                .filter(o -> o.kind() == RequestKind.CRASHING)
                .collect(Collectors.toMap(Outcome::id, Function.identity()));
        List<Execution> executions = record.executions().stream()
                .filter(e -> sent.containsKey(e.id()))
                .sorted((a, b) -> Long.compare(a.atNanos(), b.atNanos()))
                .toList();
        if (executions.size() <= ENDS_TO_KNOW) {
            return List.of();
        }
        long from = executions.get(ENDS_TO_KNOW - 1).atNanos() + TimeUnit.MILLISECONDS.toNanos(CONTACT_MS);
        long late = executions.stream()
                .filter(e -> e.atNanos() > from)
                .filter(e -> isUndisturbed(record, sent.get(e.id())))
                .count();
        return late <= MAX_LATE_EXECUTIONS
                ? List.of()
                : List.of(
                        "the crashing request reached " + executions.size() + " endpoints, " + late + " of them late");
    }

    private static boolean isUndisturbed(SoakRecord record, Outcome o) {
        return record.hostFaults().get(o.host()).noneWithin(o.sentNanos(), o.endNanos(), CONTACT_MS);
    }
}
