package org.dragonflygw.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointState;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.core.fleet.HostState;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.storage.HostListing;
import org.dragonflygw.core.timeline.EventRecorder;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

class EndpointDirectoryTest {
    private final MutableClock clock = MutableClock.of(Instant.ofEpochSecond(1000), ZoneOffset.UTC);
    private final EndpointDirectory directory = new EndpointDirectory(clock, EventRecorder.DISCARD);
    private long generation;

    private void list(String... ids) {
        generation++;
        directory.accept(listing(generation, HostState.LIVE, ids));
    }

    private static HostListing listing(long generation, HostState state, String... ids) {
        List<HostEntry> hosts = new ArrayList<>();
        for (String id : ids) {
            hosts.add(new HostEntry(id, HostRole.ENGINE, "10.0.0.1", 9000, "a", "r", "pool", state));
        }
        return new HostListing(generation, hosts);
    }

    private EndpointState state(String id) {
        return directory.endpoints("pool").stream()
                .filter(endpoint -> endpoint.id().equals(id))
                .map(Endpoint::state)
                .findFirst()
                .orElseThrow();
    }

    private void stateLoad(String id, long version, boolean closed) {
        directory.accept(new EndpointLoad(id, 1, version, 0, 0, closed, 0, clock.instant()));
    }

    @BeforeEach
    void listThreeEndpoints() {
        list("e1", "e2", "e3");
    }

    @Nested
    class ClosedEndpoints {
        @Test
        void closedEndpointStaysSuspendedWhileTheHostListLags() {
            stateLoad("e1", 1, true);
            assertThat(state("e1")).isEqualTo(EndpointState.SUSPENDED);
            list("e1", "e2", "e3");
            assertThat(state("e1")).isEqualTo(EndpointState.SUSPENDED);
            generation++;
            directory.accept(listing(generation, HostState.LEAVING, "e1"));
            assertThat(state("e1")).isEqualTo(EndpointState.LEAVING);
        }

        @Test
        void ignoresAnOlderLoadAndAnExpiredClosing() {
            stateLoad("e1", 2, true);
            stateLoad("e1", 1, false);
            assertThat(state("e1")).isEqualTo(EndpointState.SUSPENDED);
            clock.add(Duration.ofSeconds(61));
            assertThat(state("e1")).isEqualTo(EndpointState.LIVE);
        }

        @Test
        void ignoresAnOlderHostList() {
            directory.accept(listing(0, HostState.LEAVING, "e1"));
            assertThat(directory.endpoints("pool")).hasSize(3);
        }
    }

    @Nested
    class FlappingEndpoints {
        private void flap(int times, String... others) {
            for (int i = 0; i < times; i++) {
                list(others);
                clock.add(Duration.ofSeconds(1));
                list("e1", "e2", "e3");
                clock.add(Duration.ofSeconds(1));
            }
        }

        @Test
        void suspendsAfterThreeReturnsAndRestoresAfter30Seconds() {
            flap(2, "e2", "e3");
            assertThat(state("e1")).isEqualTo(EndpointState.LIVE);
            flap(1, "e2", "e3");
            assertThat(state("e1")).isEqualTo(EndpointState.SUSPENDED);
            clock.add(Duration.ofSeconds(30));
            assertThat(state("e1")).isEqualTo(EndpointState.LIVE);
        }

        @Test
        void suspensionEndsWithin46SecondsAfterAnyNumberOfReturns() {
            flap(100, "e2", "e3");
            clock.add(Duration.ofSeconds(46));
            assertThat(state("e1")).isEqualTo(EndpointState.LIVE);
        }

        @Test
        void doesNotSuspendMoreThanHalfOfAPool() {
            flap(5, "e3");
            assertThat(state("e1")).isEqualTo(EndpointState.LIVE);
            assertThat(state("e2")).isEqualTo(EndpointState.LIVE);
        }
    }
}
