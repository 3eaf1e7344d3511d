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
 * and what else happened at its endpoints at that time. Two passes: {@link #noteRequest} sees every line first, then
 * {@link #noteContext} sees every line again.
 */
public final class RequestStory {
    /** Time around an endpoint's failure in which other lines about it are counted. */
    private static final Duration NEIGHBOURHOOD = Duration.ofSeconds(2);

    private static final Set<String> HOST_TOPICS =
            Set.of("START", "STOP", "RELOAD", "READINESS", "CONFIGURATION", "DEPENDENCY_LOST", "DEPENDENCY_REGAINED");

    private final String request;
    private final List<LogEntry> own = new ArrayList<>();
    private final Set<String> hosts = new LinkedHashSet<>();
    private final Set<String> endpoints = new LinkedHashSet<>();
    private final List<LogEntry> hostContext = new ArrayList<>();
    private final List<LogEntry> endpointContext = new ArrayList<>();

    /** Makes an empty story of a request. */
    public RequestStory(String request) {
        this.request = request;
    }

    /** First pass: takes the request's own lines. */
    public void noteRequest(LogEntry entry) {
        if (!entry.isAbout(request)) {
            return;
        }
        own.add(entry);
        own.sort(Comparator.comparing(LogEntry::time));
        hosts.add(entry.host());
        if (!entry.text("endpoint").isEmpty()) {
            endpoints.add(entry.text("endpoint"));
        }
    }

    /** Second pass: takes lines of its hosts and endpoints. */
    public void noteContext(LogEntry entry) {
        if (own.isEmpty() || entry.isAbout(request)) {
            return;
        }
        if (hosts.contains(entry.host()) && HOST_TOPICS.contains(entry.topic())) {
            noteHost(entry);
        }
        boolean near = !entry.time().isBefore(start().minus(NEIGHBOURHOOD))
                && !entry.time().isAfter(end().plus(NEIGHBOURHOOD));
        if (near && endpoints.contains(entry.text("endpoint"))) {
            endpointContext.add(entry);
        }
    }

    private void noteHost(LogEntry entry) {
        if (entry.time().isAfter(end())) {
            return;
        }
        hostContext.removeIf(e -> e.topic().equals(entry.topic())
                && e.host().equals(entry.host())
                && !e.time().isAfter(entry.time()));
        hostContext.add(entry);
    }

    /** Whether any line is about the request. */
    public boolean found() {
        return !own.isEmpty();
    }

    /** The request's own lines, by time. */
    public List<LogEntry> own() {
        return List.copyOf(own);
    }

    /** The last line of each kind that its hosts logged about themselves before its end, by time. */
    public List<LogEntry> hostContext() {
        return hostContext.stream().sorted(Comparator.comparing(LogEntry::time)).toList();
    }

    /** Ids of the endpoints it was sent to. */
    public Set<String> endpoints() {
        return Set.copyOf(endpoints);
    }

    /** Changes of an endpoint's entry near the request. */
    public List<LogEntry> changesOf(String endpoint) {
        return endpointLines(endpoint, e -> e.topic().equals("ENDPOINT"));
    }

    /** Other requests' attempts that failed at an endpoint near the request. */
    public List<LogEntry> otherFailuresAt(String endpoint) {
        return endpointLines(endpoint, e -> e.topic().equals("ATTEMPT_FAILED"));
    }

    /** Other requests that ended well at an endpoint near the request. */
    public List<LogEntry> otherSuccessesAt(String endpoint) {
        return endpointLines(
                endpoint, e -> e.topic().equals("END") && e.text("outcome").equals("ok"));
    }

    private List<LogEntry> endpointLines(String endpoint, Predicate<LogEntry> which) {
        return endpointContext.stream()
                .filter(e -> e.text("endpoint").equals(endpoint))
                .filter(which)
                .sorted(Comparator.comparing(LogEntry::time))
                .toList();
    }

    private Instant start() {
        return own.get(0).time();
    }

    private Instant end() {
        return own.get(own.size() - 1).time();
    }
}
