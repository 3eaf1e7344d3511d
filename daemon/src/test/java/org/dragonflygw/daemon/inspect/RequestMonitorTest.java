package org.dragonflygw.daemon.inspect;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import org.dragonflygw.core.inspect.RequestView;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

/** Open requests and team counts that the request monitor derives from events. */
final class RequestMonitorTest {
    private final MutableClock clock = MutableClock.of(Instant.ofEpochMilli(1_000), ZoneOffset.UTC);
    private final RequestMonitor monitor = new RequestMonitor(clock);

    private void event(EventType type, String request, String endpoint, String detail) {
        monitor.observe(type, EventSubject.request(request, "c1", endpoint, "clerks"), detail);
    }

    @Test
    void openRequestShowsItsEndpointAttemptAndAge() {
        event(EventType.REQUEST_RECEIVED, "q1", "", "reviewer");
        event(EventType.DISPATCHED, "q1", "e1", "");
        event(EventType.DISPATCHED, "q1", "e2", "");
        clock.add(Duration.ofMillis(70));
        assertThat(monitor.openRequests())
                .isEqualTo(List.of(new RequestView("q1", "clerks", "reviewer", "c1", "e2", 2, 70)));
    }

    @Test
    void endOfARequestIsCountedOnceForItsTeam() {
        for (String request : List.of("q1", "q2", "q3", "q4", "q5")) {
            event(EventType.REQUEST_RECEIVED, request, "", "reviewer");
        }
        clock.add(Duration.ofMillis(40));
        event(EventType.FIRST_TOKEN, "q1", "e1", "");
        event(EventType.REQUEST_COMPLETED, "q1", "", "");
        event(EventType.REQUEST_FAILED, "q1", "", "");
        event(EventType.REQUEST_REFUSED, "q2", "", "");
        event(EventType.REQUEST_FAILED, "q3", "", "");
        event(EventType.REQUEST_CANCELLED, "q4", "", "");
        TeamCounts counts = monitor.counts("clerks");
        assertThat(counts.acceptedCount()).isEqualTo(5);
        assertThat(counts.refusedCount()).isEqualTo(1);
        assertThat(counts.failedCount()).isEqualTo(1);
        assertThat(counts.openCount()).isEqualTo(1);
        assertThat(counts.firstTokenP95Millis()).isEqualTo(40.0);
    }

    @Test
    void eventsOfUnknownRequestsAreIgnored() {
        event(EventType.DISPATCHED, "q9", "e1", "");
        event(EventType.REQUEST_COMPLETED, "q9", "", "");
        assertThat(monitor.openRequests()).isEmpty();
        assertThat(monitor.counts("clerks").openCount()).isEqualTo(0);
    }

    @Test
    void teamsAboveTheMaximumAreNotCounted() {
        for (int i = 0; i <= RequestMonitor.MAX_TEAMS; i++) {
            EventSubject subject = EventSubject.request("q" + i, "", "", "team-" + i);
            monitor.observe(EventType.REQUEST_RECEIVED, subject, "reviewer");
        }
        assertThat(monitor.counts("team-" + RequestMonitor.MAX_TEAMS)).isSameInstanceAs(TeamCounts.NONE);
    }
}
