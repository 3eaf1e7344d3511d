package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static org.dragonflygw.core.exchange.ExchangeFixture.route;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.dragonflygw.core.catalog.CatalogRoute;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.Prompt;
import org.dragonflygw.core.evacuation.Evacuations;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.ratelimit.ColdPeriod;
import org.dragonflygw.core.ratelimit.ColdSource;
import org.dragonflygw.core.ratelimit.PermitDecision;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.RateStatement;
import org.dragonflygw.core.resume.StreamOrigin;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** How the endpoint of an attempt is found while other hosts are asked. */
final class EndpointSearchTest {
    private static final CatalogRoute PLAIN = route(RouteKind.IDEMPOTENT, false);
    private static final CatalogRoute STREAM = route(RouteKind.STREAMING, true);

    private final ExchangeFixture f = new ExchangeFixture();

    private String sentTo() {
        return f.sent.get(f.sent.size() - 1).endpoint().id();
    }

    private static DiscoveredEndpoint endpoint(String id, String version) {
        return new DiscoveredEndpoint(id, ExchangeFixture.SERVICE, "10.0.0.1", 80, "a", 4, false, 0, 1, version);
    }

    @Nested
    final class InAnEvacuatedZone {
        private final Evacuations evacuations =
                new Evacuations(f.loads.evacuated(), zone -> 0, new NoOpEventLog(), f.clock);

        private void evacuate() {
            evacuations.onListing(List.of("a"), 1);
        }

        /** Guards against a request that waits for its connection while the evacuation begins. */
        @Test
        void aRequestIsNotSentOnAConnectionThatOpensLater() {
            StartedExchange x = f.start(PLAIN);
            assertThat(x.mayStillSend()).isTrue();
            evacuate();
            assertThat(x.mayStillSend()).isFalse();
            x.onAttemptFailed(AttemptFailure.WITHDRAWN);
            assertThat(f.sent).hasSize(1);
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.ZONE_EVACUATED);
        }

        @Test
        void aPermitThatArrivesLaterIsNotUsed() {
            List<Consumer<PermitDecision>> waiting = new ArrayList<>();
            f.permits = (endpoint, listener) -> waiting.add(listener);
            long now = f.clock.nanos();
            for (EndpointLoadState e : f.loads.all()) {
                e.rate().accept(new RateStatement(RateNotice.limited(3), now, now), now);
            }
            f.start(PLAIN);
            evacuate();
            waiting.get(0).accept(new PermitDecision(true, "h", 0, 3));
            assertThat(f.sent).isEmpty();
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.ZONE_EVACUATED);
        }

        @Test
        void aRequestThatNobodyElseCanServeIsRefusedAtOnceWithATimeToReturn() {
            evacuate();
            f.start(PLAIN);
            assertThat(f.sent).isEmpty();
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.ZONE_EVACUATED);
            assertThat(f.rejections.get(0).retryAfterMs()).isAtLeast(1_000);
            assertThat(f.rejections.get(0).retryAfterMs()).isAtMost(2_000);
        }
    }

    @Nested
    final class WithLimits {
        private final List<Consumer<PermitDecision>> waiting = new ArrayList<>();
        private final List<String> asked = new ArrayList<>();

        private void limitAll() {
            for (EndpointLoadState e : f.loads.all()) {
                limit(e);
            }
            f.permits = (endpoint, listener) -> {
                asked.add(endpoint.id());
                waiting.add(listener);
            };
        }

        private void limit(EndpointLoadState e) {
            long now = f.clock.nanos();
            e.rate().accept(new RateStatement(RateNotice.limited(3), now, now), now);
        }

        private void decide(boolean granted) {
            waiting.remove(0).accept(new PermitDecision(granted, "h", granted ? 0 : 300, 3));
        }

        @Test
        void nothingIsSentBeforeThePermit() {
            limitAll();
            f.start(PLAIN);
            assertThat(f.sent).isEmpty();
            decide(true);
            assertThat(sentTo()).isEqualTo(asked.get(0));
        }

        /** Guards against a request that asks one endpoint after the other until its deadline. */
        @Test
        void aRequestIsRefusedAfterThreeDenials() {
            limitAll();
            f.start(PLAIN);
            decide(false);
            decide(false);
            decide(false);
            assertThat(waiting).isEmpty();
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.ENDPOINTS_LIMITED);
            assertThat(f.rejections.get(0).retryAfterMs()).isAtLeast(100);
        }

        /** Guards against a whole service of cold endpoints that refuses requests while permits are left. */
        @Test
        void coldEndpointsAreAskedOneAfterTheOther() {
            for (int i = 0; i < 5; i++) {
                f.loads.onUpdated(endpoint("cold-" + i, "v1"));
            }
            limitAll();
            long now = f.clock.nanos();
            f.loads
                    .all()
                    .forEach(e -> e.rate().extendCold(new ColdPeriod(now + 5_000_000_000L, 3, ColdSource.ENTRY), now));
            f.start(PLAIN);
            for (int i = 0; i < 4; i++) {
                decide(false);
            }
            decide(true);
            assertThat(f.sent).hasSize(1);
        }

        /** Guards against a permit that is used seconds later, when its connection is open at last. */
        @Test
        void aPermitIsVoidAfterAMoment() {
            limitAll();
            StartedExchange x = f.start(PLAIN);
            decide(true);
            f.clock.advanceMs(200);
            assertThat(x.mayStillSend()).isTrue();
            f.clock.advanceMs(100);
            assertThat(x.mayStillSend()).isFalse();
        }

        /** Guards against a permit that is used after the endpoint said that it leaves. */
        @Test
        void aPermitOfAnEndpointThatHasSaidSinceThatItLeavesIsNotUsed() {
            limitAll();
            f.start(PLAIN);
            f.loads.onLeaving(asked.get(0), 1, f.clock.nanos());
            decide(true);
            decide(true);
            assertThat(sentTo()).isNotEqualTo(asked.get(0));
        }

        @Test
        void aPermitForACallerWhoLeftIsNotUsed() {
            limitAll();
            StartedExchange x = f.start(PLAIN);
            x.onCallerDisconnected();
            decide(true);
            assertThat(f.sent).isEmpty();
            assertThat(f.totalInFlight()).isEqualTo(0);
        }

        /** Guards against a request on a connection that was being opened when the endpoint named its limit. */
        @Test
        void aRequestWithoutAPermitIsNotSentToAnEndpointThatHasNamedALimitSince() {
            StartedExchange x = f.start(PLAIN);
            assertThat(x.mayStillSend()).isTrue();
            limit(f.loads.get(sentTo()).orElseThrow());
            assertThat(x.mayStillSend()).isFalse();
        }

        @Test
        void aTimerThatFiresWhileAHostIsAskedChangesNothing() {
            limitAll();
            StartedExchange x = f.start(PLAIN);
            f.clock.advanceMs(200);
            x.onTimer();
            decide(true);
            assertThat(f.sent).hasSize(1);
            assertThat(f.totalInFlight()).isEqualTo(1);
        }
    }

    @Nested
    final class WithVersions {
        private void takeUp(String origin) {
            f.resumption = Optional.of(new Resumption(origin, "7"));
        }

        @Test
        void aStreamIsTakenUpOnlyAtItsVersion() {
            f.loads.onUpdated(endpoint("other", "v2"));
            f.origins.onTold("first", new StreamOrigin(ExchangeFixture.SERVICE, "v2"));
            takeUp("first");
            f.start(STREAM);
            assertThat(sentTo()).isEqualTo("other");
        }

        @Test
        void aStreamOfUnknownOriginIsRefusedForGood() {
            takeUp("first");
            f.start(STREAM);
            assertThat(f.sent).isEmpty();
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.STREAM_ORIGIN_UNKNOWN);
            assertThat(f.rejections.get(0).retryAfterMs()).isEqualTo(0);
        }

        @Test
        void aStreamOfAVersionThatServesNoMoreIsRefusedForNow() {
            f.origins.onTold("first", new StreamOrigin(ExchangeFixture.SERVICE, "v0"));
            takeUp("first");
            f.start(STREAM);
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.NO_ENDPOINT_OF_VERSION);
            assertThat(f.rejections.get(0).retryAfterMs()).isGreaterThan(0);
        }

        @Test
        void aStreamOfAnotherServiceIsNotTakenUp() {
            f.origins.onTold("first", new StreamOrigin("other-service", "v1"));
            takeUp("first");
            f.start(STREAM);
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.NO_ENDPOINT_OF_VERSION);
        }

        private void addUnnamedVersion() {
            f.loads.all().forEach(e -> f.versions.onUpdated(e.entry()));
            f.clock.advanceMs(10_000);
            f.loads.onUpdated(endpoint("new", "v2"));
            f.versions.onUpdated(endpoint("new", "v2"));
        }

        /** Guards against streams of a version of which nobody knows once all hosts are lost. */
        @Test
        void aStreamBeginsAtAVersionThatTheStoreNames() {
            addUnnamedVersion();
            for (int i = 0; i < 12; i++) {
                f.start(STREAM);
                assertThat(sentTo()).isNotEqualTo("new");
            }
        }

        /** Guards against requests that are refused while a release goes on. */
        @Test
        void aStreamBeginsAtAnotherVersionIfNothingElseCanServe() {
            addUnnamedVersion();
            for (int i = 1; i <= 3; i++) {
                f.loads.onRemoved(ExchangeFixture.endpoint("e" + i));
            }
            f.start(STREAM);
            assertThat(sentTo()).isEqualTo("new");
        }

        /** Guards against many streams at the last endpoint of a version that the store names, beside idle ones. */
        @Test
        void aStreamBeginsAtAnotherVersionRatherThanAboveTheLoadBound() {
            addUnnamedVersion();
            f.loads.onUpdated(endpoint("new-2", "v2"));
            f.versions.onUpdated(endpoint("new-2", "v2"));
            f.loads.onRemoved(ExchangeFixture.endpoint("e2"));
            f.loads.onRemoved(ExchangeFixture.endpoint("e3"));
            EndpointLoadState last = f.loads.get("e1").orElseThrow();
            for (int i = 0; i < 9; i++) {
                f.loads.onSent(last, Prompt.NONE, 0, f.clock.nanos());
            }
            f.start(STREAM);
            assertThat(sentTo()).startsWith("new");
        }

        /** Guards against callers who name the attempt that took the stream up, not the one that began it. */
        @Test
        void anAttemptThatTookAStreamUpIsAnOriginToo() {
            f.origins.onTold("first", new StreamOrigin(ExchangeFixture.SERVICE, "v1"));
            takeUp("first");
            StartedExchange x = f.start(STREAM);
            x.onHead(ExchangeFixture.signedHead(200));
            x.onBody("id: 8\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
            assertThat(f.origins.reply("id", ExchangeFixture.SERVICE).origin())
                    .hasValue(new StreamOrigin(ExchangeFixture.SERVICE, "v1"));
        }

        /** Guards against an address that another version takes over while a connection to it is opened. */
        @Test
        void aStreamIsNotSentToAnInstanceThatHasBeenReplaced() {
            f.origins.onTold("first", new StreamOrigin(ExchangeFixture.SERVICE, "v1"));
            takeUp("first");
            StartedExchange x = f.start(STREAM);
            assertThat(x.mayStillSend()).isTrue();
            f.loads.onRemoved(endpoint(sentTo(), "v1"));
            f.loads.onUpdated(endpoint(sentTo(), "v2"));
            assertThat(x.mayStillSend()).isFalse();
        }

        @Test
        void anErrorIsNoBeginningOfAStream() {
            StartedExchange x = f.start(STREAM);
            x.onHead(ExchangeFixture.signedHead(400));
            x.onBody(new byte[] {1});
            x.onComplete();
            assertThat(f.origins.size()).isEqualTo(0);
        }
    }

    /** Three endpoints with room for ten requests each. */
    @Nested
    final class WithWaiting {
        private static final int ROOM = 30;

        private final List<StartedExchange> running = new ArrayList<>();

        private void fill() {
            f.admission = ExchangeFixture.admission(() -> true, f.loads, f.clock);
            for (int i = 0; i < 60; i++) {
                StartedExchange x = f.start(PLAIN);
                f.clock.advanceMs(10);
                x.onHead(ExchangeFixture.signedHead(200));
                x.onBody(new byte[] {1});
                x.onComplete();
            }
            for (int i = 0; i < ROOM; i++) {
                running.add(f.start(PLAIN));
            }
            f.sent.clear();
        }

        @Test
        void aFreedSlotIsGivenToTheRequestThatWaits() {
            fill();
            StartedExchange waiting = f.start(PLAIN);
            assertThat(f.sent).isEmpty();
            assertThat(f.rejections).isEmpty();
            running.get(0).onHead(ExchangeFixture.signedHead(200));
            running.get(0).onBody(new byte[] {1});
            running.get(0).onComplete();
            waiting.onTimer();
            assertThat(f.sent).hasSize(1);
        }

        @Test
        void nothingIsSentAfterTheCallerHasLeft() {
            fill();
            StartedExchange waiting = f.start(PLAIN);
            waiting.onCallerDisconnected();
            running.get(0).onHead(ExchangeFixture.signedHead(200));
            running.get(0).onBody(new byte[] {1});
            running.get(0).onComplete();
            waiting.onTimer();
            assertThat(f.sent).isEmpty();
            assertThat(f.admission.waitingCount()).isEqualTo(0);
        }

        /** Guards against a request that waits for room at endpoints that are gone. */
        @Test
        void aPoolThatVanishesEndsTheWait() {
            fill();
            StartedExchange waiting = f.start(PLAIN);
            for (int i = 1; i <= 3; i++) {
                f.loads.onRemoved(f.loads.get("e" + i).orElseThrow().entry());
            }
            f.clock.advanceMs(50);
            waiting.onTimer();
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.NO_ENDPOINT);
        }

        @Test
        void withoutBoundedWaitTheRequestIsRefusedAtOnce() {
            fill();
            f.admission = ExchangeFixture.noAdmission(f.loads, f.clock);
            f.start(PLAIN);
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.BUSY);
        }
    }
}
