package org.dragonflygw.cli.logs;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What the logs of several hosts say about one request: its own lines in order, what its hosts last learned before it,
 * and what else happened at its endpoints at that time. Two passes: {@link #addIfOfRequest} sees every line first, then
 * {@link #addIfContext} sees every line again.
 */
public final class RequestHistory {
    /** Time around an endpoint's failure in which other lines about it are counted. */
    private static final Duration CONTEXT_WINDOW = Duration.ofSeconds(2);

    private static final Set<String> HOST_TOPICS =
            Set.of("START", "STOP", "RELOAD", "READINESS", "CONFIGURATION", "DEPENDENCY_LOST", "DEPENDENCY_REGAINED");

    private final String request;
    private final List<LogEntry> requestLines = new ArrayList<>();
    private final Set<String> hosts = new LinkedHashSet<>();
    private final Set<String> endpoints = new LinkedHashSet<>();
    private final List<LogEntry> hostLines = new ArrayList<>();
    private final List<LogEntry> endpointLines = new ArrayList<>();

    /** Makes an empty story of a request. */
    public RequestHistory(String request) {
        this.request = request;
    }

    /** First pass: takes the request's own lines. */
    public void addIfOfRequest(LogEntry entry) {
        if (!entry.isAbout(request)) {
            return;
        }
        requestLines.add(entry);
        requestLines.sort(Comparator.comparing(LogEntry::time));
        hosts.add(entry.host());
        if (!entry.text("endpoint").isEmpty()) {
            endpoints.add(entry.text("endpoint"));
        }
    }

    /** Second pass: takes lines of its hosts and endpoints. */
    public void addIfContext(LogEntry entry) {
        if (requestLines.isEmpty() || entry.isAbout(request)) {
            return;
        }
        if (hosts.contains(entry.host()) && HOST_TOPICS.contains(entry.topic())) {
            addHostLine(entry);
        }
        boolean near = !entry.time().isBefore(start().minus(CONTEXT_WINDOW))
                && !entry.time().isAfter(end().plus(CONTEXT_WINDOW));
        if (near && endpoints.contains(entry.text("endpoint"))) {
            endpointLines.add(entry);
        }
    }

    private void addHostLine(LogEntry entry) {
        if (entry.time().isAfter(end())) {
            return;
        }
        hostLines.removeIf(e -> e.topic().equals(entry.topic())
                && e.host().equals(entry.host())
                && !e.time().isAfter(entry.time()));
        hostLines.add(entry);
    }

    /** Whether any line is about the request. */
    public boolean isFound() {
        return !requestLines.isEmpty();
    }

    /** The request's own lines, by time. */
    public List<LogEntry> requestLines() {
        return List.copyOf(requestLines);
    }

    /** The last line of each kind that its hosts logged about themselves before its end, by time. */
    public List<LogEntry> hostLines() {
        return hostLines.stream().sorted(Comparator.comparing(LogEntry::time)).toList();
    }

    /** Ids of the endpoints it was sent to. */
    public Set<String> endpoints() {
        return Set.copyOf(endpoints);
    }

    /** Changes of an endpoint's entry near the request. */
    public List<LogEntry> endpointChanges(String endpoint) {
        return selectEndpointLines(endpoint, e -> e.topic().equals("ENDPOINT"));
    }

    /** Other requests' attempts that failed at an endpoint near the request. */
    public List<LogEntry> otherFailedAttempts(String endpoint) {
        return selectEndpointLines(endpoint, e -> e.topic().equals("ATTEMPT_FAILED"));
    }

    /** Other requests that ended well at an endpoint near the request. */
    public List<LogEntry> otherSuccesses(String endpoint) {
        return selectEndpointLines(
                endpoint, e -> e.topic().equals("END") && e.text("outcome").equals("ok"));
    }

    private List<LogEntry> selectEndpointLines(String endpoint, Predicate<LogEntry> which) {
        return endpointLines.stream()
                .filter(e -> e.text("endpoint").equals(endpoint))
                .filter(which)
                .sorted(Comparator.comparing(LogEntry::time))
                .toList();
    }

    private Instant start() {
        return requestLines.get(0).time();
    }

    private Instant end() {
        return requestLines.get(requestLines.size() - 1).time();
    }
}
