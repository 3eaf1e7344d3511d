package org.dragonflygw.daemon.inspect;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.dragonflygw.core.inspect.RequestView;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/**
 * Tracks the requests of callers on this daemon by their events: the open requests, and counts per team of how requests
 * ended. Holds one entry for each open request and one for each team. Thread-safe; takes no locks of its own.
 */
@Singleton
public final class RequestMonitor {
    /** Maximum number of teams with counts; requests of further teams are not counted. */
    static final int MAX_TEAMS = 4_096;

    private final Clock clock;
    private final ConcurrentMap<String, OpenRequest> open = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, TeamCounts> teams = new ConcurrentHashMap<>();

    @Inject
    public RequestMonitor(Clock clock) {
        this.clock = clock;
    }

    /** Updates the counts for an event; ignores events that do not concern requests of callers. */
    public void observe(EventType type, EventSubject subject, String detail) {
        switch (type) {
            case REQUEST_RECEIVED -> onReceived(subject, detail);
            case DISPATCHED -> onDispatched(subject);
            case FIRST_TOKEN -> onFirstToken(subject);
            case REQUEST_COMPLETED -> onEnded(subject, TeamCounts::completed);
            case REQUEST_REFUSED -> onEnded(subject, TeamCounts::refused);
            case REQUEST_FAILED -> onEnded(subject, TeamCounts::failed);
            case REQUEST_CANCELLED -> onEnded(subject, TeamCounts::cancelled);
            default -> {}
        }
    }

    /** The open requests, in no particular order. */
    public List<RequestView> openRequests() {
        long now = clock.millis();
        return open.entrySet().stream()
                .map(entry -> entry.getValue().toView(entry.getKey(), now))
                .toList();
    }

    /** The counts of a team; all zero for a team without requests. */
    TeamCounts counts(String team) {
        return teams.getOrDefault(team, TeamCounts.NONE);
    }

    private void onReceived(EventSubject subject, String service) {
        open.put(subject.requestId(), new OpenRequest(subject.team(), service, subject.chatId(), clock.millis()));
        countsFor(subject.team()).accepted();
    }

    private void onDispatched(EventSubject subject) {
        OpenRequest request = open.get(subject.requestId());
        if (request != null) {
            request.onDispatched(subject.endpointId());
        }
    }

    private void onFirstToken(EventSubject subject) {
        OpenRequest request = open.get(subject.requestId());
        if (request != null) {
            countsFor(request.team()).firstToken(clock.millis() - request.arrivalMillis());
        }
    }

    private void onEnded(EventSubject subject, OutcomeCounter outcome) {
        OpenRequest request = open.remove(subject.requestId());
        if (request != null) {
            outcome.count(countsFor(request.team()));
        }
    }

    private TeamCounts countsFor(String team) {
        TeamCounts counts = teams.get(team);
        if (counts != null) {
            return counts;
        }
        if (teams.size() >= MAX_TEAMS) {
            return new TeamCounts();
        }
        return teams.computeIfAbsent(team, name -> new TeamCounts());
    }

    /** Records the outcome of a request in the counts of its team. */
    private interface OutcomeCounter {
        void count(TeamCounts counts);
    }
}
