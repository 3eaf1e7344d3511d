package org.dragonflygw.edge.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The promises to callers and endpoints, checked against what a soak recorded. */
final class SoakChecks {
    /** Time without disturbance after which time bounds hold again, in milliseconds. */
    private static final long FAULT_RECOVERY_MS = 3_000;

    /** Time for a leaving endpoint in the settings of the soak, and what the machine may be late, in milliseconds. */
    private static final long DRAIN_MS = 2_000 + 500;

    /** Time for a revoked key in the settings of the soak, in milliseconds. */
    private static final long REVOKE_MS = 5_000;

    /** Endpoints that may run one attempt, by its route. */
    private static final int MAX_EXECUTIONS = 2;

    /** Least share of requests that succeed once all is calm; the rest may meet a leaving endpoint or a busy machine. */
    private static final double MIN_FINAL_SUCCESS_RATIO = 0.95;

    private static final String TEAM = "team-1";

    private final SoakRecord record;
    private final Map<String, List<Execution>> executionsById = new HashMap<>();
    private final Map<String, Outcome> outcomesById = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    private SoakChecks(SoakRecord record) {
        this.record = record;
        record.executions()
                .forEach(r -> executionsById
                        .computeIfAbsent(r.id(), i -> new ArrayList<>())
                        .add(r));
        record.outcomes().forEach(o -> outcomesById.put(o.id(), o));
    }

    /** What was broken of the promises that hold however slow the machine is, each with the request. */
    static List<String> safetyViolations(SoakRecord record) {
        SoakChecks checks = new SoakChecks(record);
        record.outcomes().forEach(checks::checkOutcome);
        record.executions().forEach(checks::checkExecution);
        return checks.violations;
    }

    /** What was broken of the promises with a time bound, which a machine that is too busy can break too. */
    static List<String> timingViolations(SoakRecord record) {
        SoakChecks checks = new SoakChecks(record);
        record.outcomes().forEach(checks::checkAnswered);
        record.executions().forEach(checks::checkDrained);
        checks.checkFaultFreeEnd();
        return checks.violations;
    }

    private void checkOutcome(Outcome o) {
        int runs = executionsById.getOrDefault(o.id(), List.of()).size();
        if (o.kind() == RequestKind.ONCE && runs > 1) {
            violations.add("ran " + runs + " times: " + o);
        }
        if (runs > MAX_EXECUTIONS) {
            violations.add("ran at more endpoints than allowed: " + o);
        }
        boolean promisesNotRun = o.status() == 429 || o.status() == 503;
        if (o.kind() == RequestKind.ONCE && promisesNotRun && runs > 0) {
            violations.add("refused as not run, but ran: " + o);
        }
        if (o.success() && (!o.signed() || !o.body().equals(expectedBody(o)))) {
            violations.add("a success with another body or without a signature: " + o);
        }
    }

    private void checkAnswered(Outcome o) {
        if (executionsById.containsKey(o.id()) && o.status() == 0 && hasNoFaults(o)) {
            violations.add("passed on and never answered: " + o);
        }
    }

    private static String expectedBody(Outcome o) {
        if (o.kind() != RequestKind.STREAM) {
            return SoakEndpoint.answerTo(o.id());
        }
        StringBuilder all = new StringBuilder();
        for (int i = 1; i <= SoakEndpoint.EVENTS; i++) {
            all.append(SoakEndpoint.event(o.id(), i));
        }
        return all.toString();
    }

    /** Planned stops excuse nothing. */
    private boolean hasNoFaults(Outcome o) {
        return record.hostFaults().get(o.host()).noneWithin(o.sentNanos(), o.endNanos(), FAULT_RECOVERY_MS)
                && record.endpointFaults().noneWithin(o.sentNanos(), o.endNanos(), FAULT_RECOVERY_MS);
    }

    private void checkExecution(Execution run) {
        Outcome o = outcomesById.get(run.id());
        if (o == null) {
            violations.add("ran a request that no caller sent: " + run);
            return;
        }
        if (!run.target().equals(o.kind().target(o.id())) || !run.body().equals("body of " + o.id())) {
            violations.add("ran with another path or body: " + run);
        }
        if (!run.team().equals(TEAM) || run.keyPassed()) {
            violations.add("ran for another team or with the caller's key: " + run);
        }
        Long revoked = record.revokedNanos().get(o.key());
        if (revoked != null && o.sentNanos() > revoked + TimeUnit.MILLISECONDS.toNanos(REVOKE_MS)) {
            violations.add("ran with a key that was taken away: " + o);
        }
    }

    private void checkDrained(Execution run) {
        Outcome o = outcomesById.get(run.id());
        Long drained = record.drainedNanos().get(run.endpoint());
        boolean tooLate =
                o != null && drained != null && run.atNanos() > drained + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS);
        if (tooLate && record.hostFaults().get(o.host()).noneWithin(drained, run.atNanos(), FAULT_RECOVERY_MS)) {
            violations.add("ran at an endpoint that was leaving: " + run);
        }
    }

    private void checkFaultFreeEnd() {
        List<Outcome> last = record.outcomes().stream()
                .filter(o -> o.sentNanos() > record.faultFreeFromNanos())
                .filter(o -> !record.revokedNanos().containsKey(o.key()))
                .toList();
        long good = last.stream().filter(Outcome::success).count();
        if (last.isEmpty() || good < MIN_FINAL_SUCCESS_RATIO * last.size()) {
            violations.add("after all disturbances only " + good + " of " + last.size() + " requests succeeded");
        }
    }
}
