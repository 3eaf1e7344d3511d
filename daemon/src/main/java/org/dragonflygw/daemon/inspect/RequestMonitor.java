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
 * Follows the requests of callers on this daemon through their events: which are open, and what became of those of
 * each team. Holds one entry for each open request and one for each team. Takes no locks of its own; safe from every
 * thread.
 */
@Singleton
public final class RequestMonitor {
    /** Most teams that are counted one by one; the requests of further ones are not counted. */
    static final int MAX_TEAMS = 4_096;

    private final Clock clock;
    private final ConcurrentMap<String, OpenRequest> open = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, TeamCounts> teams = new ConcurrentHashMap<>();

    @Inject
    public RequestMonitor(Clock clock) {
        this.clock = clock;
    }

    /** Takes in one event; others than those of callers' requests change nothing. */
    public void observe(EventType type, EventSubject subject, String detail) {
        switch (type) {
            case REQUEST_RECEIVED -> received(subject, detail);
            case DISPATCHED -> dispatched(subject);
            case FIRST_TOKEN -> firstToken(subject);
            case REQUEST_COMPLETED -> ended(subject, TeamCounts::completed);
            case REQUEST_REFUSED -> ended(subject, TeamCounts::refused);
            case REQUEST_FAILED -> ended(subject, TeamCounts::failed);
            case REQUEST_CANCELLED -> ended(subject, TeamCounts::cancelled);
            default -> {}
        }
    }

    /** The open requests in no order. */
    public List<RequestView> openRequests() {
        long now = clock.millis();
        return open.entrySet().stream()
                .map(entry -> entry.getValue().view(entry.getKey(), now))
                .toList();
    }

    /** Counts of a team. */
    TeamCounts counts(String team) {
        return teams.getOrDefault(team, TeamCounts.NONE);
    }

    private void received(EventSubject subject, String service) {
        open.put(subject.requestId(), new OpenRequest(subject.team(), service, subject.chatId(), clock.millis()));
        counting(subject.team()).accepted();
    }

    private void dispatched(EventSubject subject) {
        OpenRequest request = open.get(subject.requestId());
        if (request != null) {
            request.dispatched(subject.endpointId());
        }
    }

    private void firstToken(EventSubject subject) {
        OpenRequest request = open.get(subject.requestId());
        if (request != null) {
            counting(request.team()).firstToken(clock.millis() - request.arrivalMillis());
        }
    }

    private void ended(EventSubject subject, Ending ending) {
        OpenRequest request = open.remove(subject.requestId());
        if (request != null) {
            ending.count(counting(request.team()));
        }
    }

    private TeamCounts counting(String team) {
        TeamCounts counts = teams.get(team);
        if (counts != null) {
            return counts;
        }
        if (teams.size() >= MAX_TEAMS) {
            return new TeamCounts();
        }
        return teams.computeIfAbsent(team, name -> new TeamCounts());
    }

    /** One way for a request to end. */
    private interface Ending {
        void count(TeamCounts counts);
    }
}
