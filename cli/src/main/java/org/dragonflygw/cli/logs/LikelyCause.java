package org.dragonflygw.cli.logs;

import java.util.List;
import java.util.Optional;

/** Says in one sentence why a request ended as it did, from its own lines and those around it. */
public final class LikelyCause {
    private LikelyCause() {}

    /** The sentence. */
    public static String describe(RequestHistory story) {
        Optional<LogEntry> end = lastRequestLine(story, "END");
        Optional<LogEntry> refusal = lastRequestLine(story, "REFUSE");
        if (end.isPresent() && end.get().text("outcome").equals("ok")) {
            return "it was answered after " + end.get().number("totalMs") + " ms, its first part after "
                    + end.get().number("firstPartMs") + " ms";
        }
        if (refusal.isPresent()) {
            return describeRefusal(story, refusal.get());
        }
        if (end.isEmpty()) {
            return "these logs hold no end of it: the process stopped, lines were dropped, or its log is not among them";
        }
        return describeFailure(story, end.get());
    }

    private static String describeRefusal(RequestHistory story, LogEntry refusal) {
        return switch (refusal.text("reason")) {
            case "KEYS_UNCONFIRMED" ->
                "the host had not confirmed keys with the store in time" + describeStoreOutage(story);
            case "UNKNOWN_KEY" -> "its key is not in configuration " + refusal.text("configVersion");
            case "NO_ROUTE" -> "configuration " + refusal.text("configVersion") + " has no route for it";
            case "NO_CONFIGURATION" -> "the host had read no configuration yet" + describeStoreOutage(story);
            case "NO_ENDPOINT" -> "no endpoint of its service took new work" + describeFailedAttempts(story);
            case "BUSY" -> "all places of its service were taken" + describeFailedAttempts(story);
            case "TOO_LATE" ->
                "its answer was expected after " + refusal.number("expectedMs") + " ms, but only "
                        + refusal.number("remainingMs") + " ms were left";
            case "ENDPOINT_REJECTED" -> "endpoints answered that they did not run it" + describeFailedAttempts(story);
            case "UNREACHABLE" -> "no connection could be made" + describeFailedAttempts(story);
            default -> "it was refused: " + refusal.text("reason");
        };
    }

    private static String describeFailure(RequestHistory story, LogEntry end) {
        String outcome = end.text("outcome");
        String after = " after " + end.number("totalMs") + " ms";
        String endpoint = end.text("endpoint");
        return switch (outcome) {
            case "TIMED_OUT" ->
                "its time ran out" + after + " while endpoint " + endpoint + " had it"
                        + describeOtherRequests(story, endpoint);
            case "ENDPOINT_FAILED", "cut" ->
                "endpoint " + endpoint + " broke off" + after + ", and it may have run"
                        + describeOtherRequests(story, endpoint);
            case "endpoint failed" ->
                "endpoint " + endpoint + " answered " + end.text("status") + after
                        + describeOtherRequests(story, endpoint);
            case "caller left" -> "its caller closed the connection" + after;
            default -> outcome + after;
        };
    }

    private static String describeOtherRequests(RequestHistory story, String endpoint) {
        int failed = story.otherFailedAttempts(endpoint).size();
        int good = story.otherSuccesses(endpoint).size();
        List<LogEntry> changes = story.endpointChanges(endpoint);
        String change = changes.isEmpty()
                ? ""
                : "; its entry became " + changes.get(changes.size() - 1).text("outcome");
        return "; near it " + failed + " other attempts failed there and " + good + " requests ended well" + change;
    }

    private static String describeFailedAttempts(RequestHistory story) {
        long count = story.requestLines().stream()
                .filter(e -> e.topic().equals("ATTEMPT_FAILED"))
                .count();
        return count == 0 ? "" : ", after " + count + " failed attempts";
    }

    private static String describeStoreOutage(RequestHistory story) {
        Optional<LogEntry> lost = lastHostLine(story, "DEPENDENCY_LOST");
        Optional<LogEntry> regained = lastHostLine(story, "DEPENDENCY_REGAINED");
        boolean out = lost.isPresent()
                && (regained.isEmpty()
                        || regained.get().time().isBefore(lost.get().time()));
        return out
                ? "; the store was lost at " + lost.get().time() + ": "
                        + lost.get().text("reason")
                : "; no loss of the store is on record, so look for a jump of the times on its host";
    }

    private static Optional<LogEntry> lastRequestLine(RequestHistory story, String topic) {
        return story.requestLines().stream()
                .filter(e -> e.topic().equals(topic))
                .reduce((a, b) -> b);
    }

    private static Optional<LogEntry> lastHostLine(RequestHistory story, String topic) {
        return story.hostLines().stream().filter(e -> e.topic().equals(topic)).reduce((a, b) -> b);
    }
}
