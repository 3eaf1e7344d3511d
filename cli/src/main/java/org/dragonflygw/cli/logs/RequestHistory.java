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
 * Collects the log lines of several hosts that explain one request: the lines of the request, the last lines that its
 * hosts logged about themselves, and the lines about its endpoints at that time. The logs are read twice: every line is
 * first passed to {@link #addIfOfRequest}, then every line again to {@link #addIfContext}.
 */
public final class RequestHistory {
    /** Time before the first and after the last line of the request in which other lines about its endpoints count. */
    private static final Duration CONTEXT_WINDOW = Duration.ofSeconds(2);

    /** Topics of lines that a host logs about itself. */
    private static final Set<String> HOST_TOPICS = Set.of(
            "START", "STOP", "RELOAD", "READINESS", "CONFIGURATION", "DEPENDENCY_LOST", "DEPENDENCY_REGAINED", "PATHS");

    private final String requestId;
    private final List<LogEntry> requestLines = new ArrayList<>();
    private final Set<String> hosts = new LinkedHashSet<>();
    private final Set<String> endpoints = new LinkedHashSet<>();
    private final List<LogEntry> hostLines = new ArrayList<>();
    private final List<LogEntry> endpointLines = new ArrayList<>();

    /** Creates an empty history of the request with this id. */
    public RequestHistory(String requestId) {
        this.requestId = requestId;
    }

    /** First pass: adds the line if the line is about the request. */
    public void addIfOfRequest(LogEntry entry) {
        if (!entry.isAbout(requestId)) {
            return;
        }
        requestLines.add(entry);
        requestLines.sort(Comparator.comparing(LogEntry::time));
        hosts.add(entry.host());
        if (!entry.text("endpoint").isEmpty()) {
            endpoints.add(entry.text("endpoint"));
        }
    }

    /** Second pass: adds the line if the line is about a host or an endpoint of the request. */
    public void addIfContext(LogEntry entry) {
        if (requestLines.isEmpty() || entry.isAbout(requestId)) {
            return;
        }
        if (hosts.contains(entry.host()) && HOST_TOPICS.contains(entry.topic())) {
            addHostLine(entry);
        }
        boolean inWindow = !entry.time().isBefore(start().minus(CONTEXT_WINDOW))
                && !entry.time().isAfter(end().plus(CONTEXT_WINDOW));
        if (inWindow && endpoints.contains(entry.text("endpoint"))) {
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

    /** Whether the first pass found a line about the request. */
    public boolean isFound() {
        return !requestLines.isEmpty();
    }

    /** Lines about the request, ordered by time. */
    public List<LogEntry> requestLines() {
        return List.copyOf(requestLines);
    }

    /** The last line of each host and topic before the end of the request, ordered by time. */
    public List<LogEntry> hostLines() {
        return hostLines.stream().sorted(Comparator.comparing(LogEntry::time)).toList();
    }

    /** Ids of the endpoints that the lines of the request name. */
    public Set<String> endpoints() {
        return Set.copyOf(endpoints);
    }

    /** Changes of an endpoint's registry entry around the time of the request. */
    public List<LogEntry> endpointChanges(String endpoint) {
        return selectEndpointLines(endpoint, e -> e.topic().equals("ENDPOINT"));
    }

    /** Attempts of other requests that failed at an endpoint around the time of the request. */
    public List<LogEntry> otherFailedAttempts(String endpoint) {
        return selectEndpointLines(endpoint, e -> e.topic().equals("ATTEMPT_FAILED"));
    }

    /** Other requests that succeeded at an endpoint around the time of the request. */
    public List<LogEntry> otherSuccesses(String endpoint) {
        return selectEndpointLines(
                endpoint, e -> e.topic().equals("END") && e.text("outcome").equals("ok"));
    }

    private List<LogEntry> selectEndpointLines(String endpoint, Predicate<LogEntry> filter) {
        return endpointLines.stream()
                .filter(e -> e.text("endpoint").equals(endpoint))
                .filter(filter)
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
