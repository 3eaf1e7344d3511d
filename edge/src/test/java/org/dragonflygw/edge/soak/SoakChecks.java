package org.dragonflygw.edge.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Checks the guarantees to callers and endpoints against the record of a soak. */
final class SoakChecks {
    /** Time without faults after which time bounds hold again, in milliseconds. */
    private static final long FAULT_RECOVERY_MS = 3_000;

    /** Time to drain an endpoint in the soak's settings plus a tolerance for a busy machine, in milliseconds. */
    private static final long DRAIN_MS = 2_000 + 500;

    /** Time within which a key must be revoked in the soak's settings, in milliseconds. */
    private static final long REVOKE_MS = 5_000;

    /** Maximum number of endpoints that may execute one attempt, set by its route. */
    private static final int MAX_EXECUTIONS = 2;

    /**
     * Minimum ratio of requests that succeed after the last fault; the rest may reach a draining endpoint or be late
     * on a busy machine.
     */
    private static final double MIN_FINAL_SUCCESS_RATIO = 0.95;

    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_GATEWAY = 502;

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

    /** Returns the violations of guarantees that hold however slow the machine is, each with the request. */
    static List<String> safetyViolations(SoakRecord record) {
        SoakChecks checks = new SoakChecks(record);
        record.outcomes().forEach(checks::checkOutcome);
        record.executions().forEach(checks::checkExecution);
        checks.violations.addAll(StreamVersionCheck.violations(record));
        return checks.violations;
    }

    /** Returns the violations of guarantees with a time bound, which an overloaded machine can cause too. */
    static List<String> timingViolations(SoakRecord record) {
        SoakChecks checks = new SoakChecks(record);
        record.outcomes().forEach(checks::checkAnswered);
        record.executions().forEach(checks::checkDrained);
        checks.violations.addAll(RetryBudgetCheck.violations(record));
        checks.violations.addAll(CrashingRequestCheck.violations(record));
        checks.violations.addAll(NoticeCheck.violations(record));
        checks.violations.addAll(LimitCheck.violations(record));
        checks.checkFaultFreeEnd();
        return checks.violations;
    }

    private void checkOutcome(Outcome o) {
        int executions = executionsById.getOrDefault(o.id(), List.of()).size();
        if (o.kind() == RequestKind.ONCE && executions > 1) {
            violations.add("executed " + executions + " times: " + o);
        }
        if (executions > MAX_EXECUTIONS) {
            violations.add("executed at more endpoints than allowed: " + o);
        }
        boolean impliesNotExecuted = o.status() == 429 || o.status() == 503;
        if (o.kind() == RequestKind.ONCE && impliesNotExecuted && executions > 0) {
            violations.add("rejected as not executed, but executed: " + o);
        }
        if (o.success() && (!o.signed() || !o.body().equals(expectedBody(o)))) {
            violations.add("successful response with a wrong body or without a signature: " + o);
        }
    }

    private void checkAnswered(Outcome o) {
        boolean cut = o.status() == 0 || (o.status() == STATUS_OK && !o.whole()) || o.status() == STATUS_BAD_GATEWAY;
        if (executionsById.containsKey(o.id()) && cut && hasNoFaults(o)) {
            violations.add("executed but not answered in whole: " + o);
        }
    }

    private static String expectedBody(Outcome o) {
        if (o.kind() != RequestKind.STREAM) {
            return SoakEndpoint.answerTo(o.id());
        }
        StringBuilder all = new StringBuilder();
        String version = StreamVersionCheck.versions(o).stream().findFirst().orElse("");
        for (int i = o.lastEvent() + 1; i <= SoakEndpoint.EVENTS; i++) {
            all.append(SoakEndpoint.event(o.id(), i, version));
        }
        return all.toString();
    }

    /** Returns whether no fault affected the attempt. Planned stops do not count as faults. */
    private boolean hasNoFaults(Outcome o) {
        return record.hostFaults().get(o.host()).noneWithin(o.sentNanos(), o.endNanos(), FAULT_RECOVERY_MS)
                && record.endpointFaults().noneWithin(o.sentNanos(), o.endNanos(), FAULT_RECOVERY_MS);
    }

    private void checkExecution(Execution execution) {
        Outcome o = outcomesById.get(execution.id());
        if (o == null) {
            violations.add("executed a request that no caller sent: " + execution);
            return;
        }
        if (!execution.target().equals(o.kind().target(o.path()))
                || !execution.body().equals(o.kind().body(o.path()))) {
            violations.add("executed with a wrong path or body: " + execution);
        }
        if (!execution.team().equals(TEAM) || execution.keyPassed()) {
            violations.add("executed for a wrong team or with the caller's key: " + execution);
        }
        Long revoked = record.revokedNanos().get(o.key());
        if (revoked != null && o.sentNanos() > revoked + TimeUnit.MILLISECONDS.toNanos(REVOKE_MS)) {
            violations.add("executed with a revoked key: " + o);
        }
    }

    private void checkDrained(Execution execution) {
        Outcome o = outcomesById.get(execution.id());
        Long drained = record.drainedNanos().get(execution.endpoint());
        boolean tooLate =
                o != null && drained != null && execution.atNanos() > drained + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS);
        if (tooLate && record.hostFaults().get(o.host()).noneWithin(drained, execution.atNanos(), FAULT_RECOVERY_MS)) {
            violations.add("executed at a draining endpoint: " + execution);
        }
    }

    private void checkFaultFreeEnd() {
        List<Outcome> last = record.outcomes().stream()
                .filter(o -> o.sentNanos() > record.faultFreeFromNanos())
                .filter(o -> !record.revokedNanos().containsKey(o.key()))
                .filter(o -> !o.kind().endsEndpoints())
                .toList();
        long good = last.stream().filter(Outcome::success).count();
        if (last.isEmpty() || good < MIN_FINAL_SUCCESS_RATIO * last.size()) {
            violations.add("after the last fault only " + good + " of " + last.size() + " requests succeeded");
        }
    }
}
