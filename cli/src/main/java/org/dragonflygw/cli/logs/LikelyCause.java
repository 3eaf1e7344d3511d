package org.dragonflygw.cli.logs;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Derives the likely cause of a request's end from the log lines in its {@link RequestHistory}. */
public final class LikelyCause {
    private static final String NO_HOST_LEFT = "no host left";

    /** Outcomes of lines about a relayed request that ended it. */
    private static final Set<String> RELAY_ENDS = Set.of(NO_HOST_LEFT, "connection lost", "timeout", "process exits");

    private LikelyCause() {}

    /** Returns the likely cause as one sentence for operators. */
    public static String describe(RequestHistory history) {
        Optional<LogEntry> end = lastRequestLine(history, "END");
        Optional<LogEntry> refusal = lastRequestLine(history, "REFUSE");
        if (end.isPresent() && end.get().text("outcome").equals("ok")) {
            return "it was answered after " + end.get().number("totalMs") + " ms, its first part after "
                    + end.get().number("firstPartMs") + " ms";
        }
        Optional<LogEntry> relay = lastRequestLine(history, "RELAY").filter(LikelyCause::endedInRelay);
        if (relay.isPresent()) {
            return describeRelay(relay.get());
        }
        if (refusal.isPresent()) {
            return describeRefusal(history, refusal.get());
        }
        if (end.isEmpty()) {
            return "these logs hold no end of it: the process stopped, lines were dropped, or its log is not among them";
        }
        return describeFailure(history, end.get());
    }

    /** Whether the request ended while it was passed to other hosts, and not by the answer of one. */
    private static boolean endedInRelay(LogEntry relay) {
        return RELAY_ENDS.contains(relay.text("outcome"));
    }

    private static String describeRelay(LogEntry relay) {
        if (relay.text("outcome").equals(NO_HOST_LEFT)) {
            return "its host reached no endpoint, and " + relay.number("tries")
                    + " other hosts that were asked neither";
        }
        return "its host reached no endpoint and passed it to " + relay.text("peer") + ", which may have run it: "
                + relay.text("outcome");
    }

    private static String describeRefusal(RequestHistory history, LogEntry refusal) {
        return switch (refusal.text("reason")) {
            case "KEYS_UNCONFIRMED" ->
                "the host had not confirmed keys with the store in time" + describeStoreOutage(history);
            case "UNKNOWN_KEY" -> "its key is not in configuration " + refusal.text("configVersion");
            case "NO_ROUTE" -> "configuration " + refusal.text("configVersion") + " has no route for it";
            case "NO_CONFIGURATION" -> "the host had read no configuration yet" + describeStoreOutage(history);
            case "NO_ENDPOINT" -> "no endpoint of its service took new work" + describeFailedAttempts(history);
            case "BUSY" -> "all places of its service were taken" + describeFailedAttempts(history);
            case "TOO_LATE" ->
                "its answer was expected after " + refusal.number("expectedMs") + " ms, but only "
                        + refusal.number("remainingMs") + " ms were left";
            case "ENDPOINT_REJECTED" -> "endpoints answered that they did not run it" + describeFailedAttempts(history);
            case "UNREACHABLE" -> "no connection could be made" + describeFailedAttempts(history);
            default -> "it was refused: " + refusal.text("reason");
        };
    }

    private static String describeFailure(RequestHistory history, LogEntry end) {
        String outcome = end.text("outcome");
        String after = " after " + end.number("totalMs") + " ms";
        String endpoint = end.text("endpoint");
        return switch (outcome) {
            case "TIMED_OUT" ->
                "its time ran out" + after + " while endpoint " + endpoint + " had it"
                        + describeSilence(history)
                        + describeOtherRequests(history, endpoint);
            case "ENDPOINT_FAILED", "cut" ->
                "endpoint " + endpoint + " broke off" + after + ", and it may have run"
                        + describeSilence(history)
                        + describeDeniedRetry(history)
                        + describeOtherRequests(history, endpoint);
            case "endpoint failed" ->
                "endpoint " + endpoint + " answered " + end.text("status") + after
                        + describeDeniedRetry(history)
                        + describeOtherRequests(history, endpoint);
            case "caller left" -> "its caller closed the connection" + after;
            default -> outcome + after;
        };
    }

    private static String describeSilence(RequestHistory history) {
        return lastRequestLine(history, "SILENCE")
                .map(e -> "; endpoint " + e.text("endpoint") + " had been silent for " + e.number("silentMs") + " ms"
                        + describeSilenceOutcome(e))
                .orElse("");
    }

    private static String describeSilenceOutcome(LogEntry silence) {
        return silence.text("reason").isEmpty()
                ? ": " + silence.text("outcome")
                : ", and nobody else could take over: " + silence.text("reason");
    }

    private static String describeDeniedRetry(RequestHistory history) {
        return lastRequestLine(history, "RETRY")
                .filter(e -> e.text("granted").equals("false"))
                .map(e -> "; the retry budget of its service was used up on this host (" + e.text("retries")
                        + " retries, " + e.text("requests") + " requests)")
                .orElse("");
    }

    private static String describeOtherRequests(RequestHistory history, String endpoint) {
        int failed = history.otherFailedAttempts(endpoint).size();
        int succeeded = history.otherSuccesses(endpoint).size();
        List<LogEntry> changes = history.endpointChanges(endpoint);
        String change = changes.isEmpty()
                ? ""
                : "; its entry became " + changes.get(changes.size() - 1).text("outcome");
        return "; near it " + failed + " other attempts failed there and " + succeeded + " requests ended well"
                + change;
    }

    private static String describeFailedAttempts(RequestHistory history) {
        long count = history.requestLines().stream()
                .filter(e -> e.topic().equals("ATTEMPT_FAILED"))
                .count();
        return count == 0 ? "" : ", after " + count + " failed attempts";
    }

    private static String describeStoreOutage(RequestHistory history) {
        Optional<LogEntry> lost = lastHostLine(history, "DEPENDENCY_LOST");
        Optional<LogEntry> regained = lastHostLine(history, "DEPENDENCY_REGAINED");
        boolean storeIsLost = lost.isPresent()
                && (regained.isEmpty()
                        || regained.get().time().isBefore(lost.get().time()));
        return storeIsLost
                ? "; the store was lost at " + lost.get().time() + ": "
                        + lost.get().text("reason")
                : "; no loss of the store is on record, so look for a jump of the times on its host";
    }

    private static Optional<LogEntry> lastRequestLine(RequestHistory history, String topic) {
        return history.requestLines().stream()
                .filter(e -> e.topic().equals(topic))
                .reduce((a, b) -> b);
    }

    private static Optional<LogEntry> lastHostLine(RequestHistory history, String topic) {
        return history.hostLines().stream().filter(e -> e.topic().equals(topic)).reduce((a, b) -> b);
    }
}
