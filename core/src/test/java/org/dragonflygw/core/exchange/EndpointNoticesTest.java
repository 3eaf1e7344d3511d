package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.core.exchange.ExchangeFixture.headWithNotice;
import static org.dragonflygw.core.exchange.ExchangeFixture.route;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.LoadReport;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What endpoints say about themselves in their responses decides where the next requests go. */
final class EndpointNoticesTest {
    private static final EndpointNotice LEAVING = new EndpointNotice(true, 0, RateNotice.UNLIMITED);
    private static final int MANY = 60;

    private final ExchangeFixture f = new ExchangeFixture();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static EndpointNotice quiet(long ms) {
        return new EndpointNotice(false, ms, RateNotice.UNLIMITED);
    }

    private String lastSentTo() {
        return f.sent.get(f.sent.size() - 1).endpoint().id();
    }

    /** Starts many requests at the same time, ends them, and returns the endpoints that got them. */
    private Set<String> endpointsOfManyRequests() {
        int before = f.sent.size();
        List<StartedExchange> started = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            started.add(f.start(route(RouteKind.NON_IDEMPOTENT, false)));
        }
        started.forEach(StartedExchange::onCallerDisconnected);
        return f.sent.subList(before, f.sent.size()).stream()
                .map(d -> d.endpoint().id())
                .collect(Collectors.toSet());
    }

    /** Guards against a line for each response of an endpoint whose fourth load number is always wrong. */
    @Test
    void unreadableWorkTimeIsLoggedOncePerInstance() {
        List<LogTopic> lines = new ArrayList<>();
        EventLog log = topic -> {
            lines.add(topic);
            return new NoOpEventLog().line(topic);
        };
        EndpointNotices notices = new EndpointNotices(f.loads, log, () -> 1);
        EndpointNotice none = new EndpointNotice(false, 0, RateNotice.UNLIMITED);
        LoadReport bad = new LoadReport(1, 0, 8, LoadReport.UNREADABLE);
        ResponseHead head = new ResponseHead(200, true, false, false, -1, false, Optional.of(bad), none, List.of());
        for (int i = 0; i < 5; i++) {
            notices.accept(ExchangeFixture.endpoint("a"), head, "r", 0);
            notices.accept(ExchangeFixture.endpoint("b"), head, "r", 0);
        }
        assertThat(lines).hasSize(2);
    }

    @Nested
    final class Leaving {
        private String leavingEndpoint(int status) {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            String id = lastSentTo();
            x.onHead(headWithNotice(status, false, LEAVING));
            x.onBody(bytes("body"));
            x.onComplete();
            return id;
        }

        @Test
        void endpointGetsNoFurtherRequests() {
            String id = leavingEndpoint(200);
            assertThat(endpointsOfManyRequests()).doesNotContain(id);
        }

        @Test
        void errorResponseCountsToo() {
            String id = leavingEndpoint(500);
            assertThat(endpointsOfManyRequests()).doesNotContain(id);
        }

        @Test
        void streamThatRunsThereGoesOnToItsEnd() {
            StartedExchange x = f.start(route(RouteKind.STREAMING, false));
            x.onHead(headWithNotice(200, false, LEAVING));
            x.onBody(bytes("id: 1\n\n"));
            x.onBody(bytes("id: 2\n\n"));
            x.onComplete();
            assertThat(f.finished).isTrue();
            assertThat(f.body.toString()).isEqualTo("id: 1\n\nid: 2\n\n");
        }

        /** Guards against an entry that is older than the response, or that expires and comes back. */
        @Test
        void isNotUndoneByTheEntryInTheStore() {
            DiscoveredEndpoint entry = ExchangeFixture.endpoint(leavingEndpoint(200));
            f.loads.onUpdated(entry);
            f.loads.onRemoved(entry);
            f.loads.onUpdated(entry);
            assertThat(endpointsOfManyRequests()).doesNotContain(entry.id());
        }

        /** Guards against an address that another instance has taken over, whose word is not the endpoint's. */
        @Test
        void ofAnotherInstanceAtTheAddressDoesNotCount() {
            f.start(route(RouteKind.NON_IDEMPOTENT, false)).onHead(headWithNotice(421, true, LEAVING));
            assertThat(f.loads.recentLeaves(f.clock.nanos())).isEmpty();
        }

        @Test
        void endsWithANewInstance() {
            DiscoveredEndpoint old = ExchangeFixture.endpoint(leavingEndpoint(200));
            f.loads.onRemoved(old);
            f.loads.onUpdated(new DiscoveredEndpoint(
                    old.id(), old.service(), old.host(), old.port(), old.zone(), old.slots(), false, 0, 2, "v1"));
            f.clock.advanceMs(60_000);
            assertThat(endpointsOfManyRequests()).contains(old.id());
        }

        @Test
        void isToldToOtherHostsWithItsAge() {
            String id = leavingEndpoint(200);
            f.clock.advanceMs(1_500);
            var leave = f.loads.recentLeaves(f.clock.nanos()).get(0);
            assertThat(leave.id()).isEqualTo(id);
            assertThat(leave.ageMs()).isEqualTo(1_500);
        }
    }

    @Nested
    final class Quiet {
        private String quietEndpoint(long ms) {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            String id = lastSentTo();
            x.onHead(headWithNotice(503, true, quiet(ms)));
            x.onCallerDisconnected();
            return id;
        }

        @Test
        void endpointGetsNoRequestsUntilTheEnd() {
            String id = quietEndpoint(4_000);
            f.clock.advanceMs(3_999);
            assertThat(endpointsOfManyRequests()).doesNotContain(id);
            f.clock.advanceMs(1);
            assertThat(endpointsOfManyRequests()).contains(id);
        }

        /** Guards against an entry that lapses and comes back, with which the endpoint's word was forgotten. */
        @Test
        void isKeptWhenTheEntryIsRemovedAndComesBack() {
            DiscoveredEndpoint entry = ExchangeFixture.endpoint(quietEndpoint(4_000));
            f.loads.onRemoved(entry);
            f.loads.onUpdated(entry);
            assertThat(endpointsOfManyRequests()).doesNotContain(entry.id());
            f.clock.advanceMs(4_000);
            assertThat(endpointsOfManyRequests()).contains(entry.id());
        }

        /** Guards against a response that arrives while the entry is away, for an exchange that holds the older state. */
        @Test
        void isHeardWhileTheEntryIsAway() {
            StartedExchange x = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            DiscoveredEndpoint entry = ExchangeFixture.endpoint(lastSentTo());
            f.loads.onRemoved(entry);
            f.loads.onUpdated(entry);
            x.onHead(headWithNotice(503, true, quiet(4_000)));
            assertThat(endpointsOfManyRequests()).doesNotContain(entry.id());
        }

        @Test
        void doesNotHoldForAnotherInstance() {
            DiscoveredEndpoint old = ExchangeFixture.endpoint(quietEndpoint(4_000));
            f.loads.onRemoved(old);
            f.loads.onUpdated(new DiscoveredEndpoint(
                    old.id(), old.service(), old.host(), old.port(), old.zone(), old.slots(), false, 0, 2, "v1"));
            f.clock.advanceMs(1_500);
            assertThat(endpointsOfManyRequests()).contains(old.id());
        }

        /** Guards against all waiting requests that come together at the end of the time. */
        @Test
        void endpointGetsMoreRequestsGraduallyAfterTheEnd() {
            for (int i = 0; i < 3; i++) {
                quietEndpoint(2_000);
            }
            f.clock.advanceMs(2_000);
            for (int i = 0; i < MANY; i++) {
                f.start(route(RouteKind.NON_IDEMPOTENT, false));
            }
            assertThat(f.totalInFlight()).isEqualTo(3);
            f.clock.advanceMs(300);
            for (int i = 0; i < MANY; i++) {
                f.start(route(RouteKind.NON_IDEMPOTENT, false));
            }
            assertThat(f.totalInFlight()).isEqualTo(12);
        }

        @Test
        void callersAreRefusedAtOnceWhileAllEndpointsAreQuiet() {
            for (int i = 0; i < 3; i++) {
                quietEndpoint(5_000 + 100 * i);
            }
            int sent = f.sent.size();
            f.rejections.clear();
            Set<Long> delays = new HashSet<>();
            for (int i = 0; i < MANY; i++) {
                f.start(route(RouteKind.NON_IDEMPOTENT, false));
                Rejection r = f.rejections.get(i);
                assertThat(r.reason()).isEqualTo(RejectReason.ENDPOINTS_QUIET);
                assertThat(r.retryAfterMs()).isAtLeast(5_000L);
                assertThat(r.retryAfterMs()).isAtMost(6_500L);
                delays.add(r.retryAfterMs());
            }
            assertThat(f.sent).hasSize(sent);
            assertThat(delays.size()).isAtLeast(MANY / 2);
        }

        @Test
        void endpointIsNotTakenForAFailingOne() {
            String id = quietEndpoint(500);
            assertThat(f.loads.get(id).orElseThrow().ownFailureScore(f.clock.nanos()))
                    .isEqualTo(0.0);
        }

        /** Guards against a request that was chosen before the response and is sent after it, on a new connection. */
        @Test
        void requestThatWaitsForItsConnectionGoesElsewhere() {
            StartedExchange waiting = f.start(route(RouteKind.NON_IDEMPOTENT, false));
            String id = lastSentTo();
            assertThat(waiting.mayStillSend()).isTrue();
            f.loads.onQuiet(ExchangeFixture.endpoint(id), f.clock.nanos() + 1_000_000_000L);
            assertThat(waiting.mayStillSend()).isFalse();
            waiting.onAttemptFailed(AttemptFailure.WITHDRAWN);
            assertThat(lastSentTo()).isNotEqualTo(id);
            assertThat(f.loads.get(id).orElseThrow().ownFailureScore(f.clock.nanos()))
                    .isEqualTo(0.0);
        }
    }
}
