package org.dragonflygw.edge.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Checks that the request that ends endpoints, and requests with the part that does, reach only a few more once some have
 * ended and the hosts had time to hear of it. Requests through a host that was disturbed shortly before do not count.
 */
final class CrashingRequestCheck {
    private static final int ENDS_TO_KNOW_REQUEST = 3;
    private static final int ENDS_TO_KNOW_PART = 5;
    private static final int MAX_LATE_EXECUTIONS = 3;

    /** Time for all hosts to hear of the last of these ends, and time without faults after which a host must know, in milliseconds. */
    private static final long CONTACT_MS = 3_000;

    private CrashingRequestCheck() {}

    /** Returns the violations. */
    static List<String> violations(SoakRecord record) {
        List<String> violations = new ArrayList<>();
        violations.addAll(violations(record, RequestKind.CRASHING, ENDS_TO_KNOW_REQUEST));
        violations.addAll(violations(record, RequestKind.CRASHING_PART, ENDS_TO_KNOW_PART));
        return violations;
    }

    private static List<String> violations(SoakRecord record, RequestKind kind, int endsToKnow) {
        Map<String, Outcome> sent = record.outcomes().stream()
                .filter(o -> o.kind() == kind)
                .collect(Collectors.toMap(Outcome::id, Function.identity()));
        List<Execution> executions = record.executions().stream()
                .filter(e -> sent.containsKey(e.id()))
                .sorted((a, b) -> Long.compare(a.atNanos(), b.atNanos()))
                .toList();
        if (executions.size() <= endsToKnow) {
            return List.of();
        }
        long from = executions.get(endsToKnow - 1).atNanos() + TimeUnit.MILLISECONDS.toNanos(CONTACT_MS);
        long late = executions.stream()
                .filter(e -> e.atNanos() > from)
                .filter(e -> isUndisturbed(record, sent.get(e.id())))
                .count();
        return late <= MAX_LATE_EXECUTIONS
                ? List.of()
                : List.of(kind + " reached " + executions.size() + " endpoints, " + late + " of them late");
    }

    private static boolean isUndisturbed(SoakRecord record, Outcome o) {
        return record.hostFaults().get(o.host()).noneWithin(o.sentNanos(), o.endNanos(), CONTACT_MS);
    }
}
