package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.dragonflygw.core.exchange.ExchangeFixture.route;

import java.util.Set;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.crash.CrashSuspect;
import org.dragonflygw.core.exchange.CrashingRequestFleet.End;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A request ends each engine that begins to run it and comes again, through any host. After three engines have ended and
 * the hosts had time to hear of it, it may reach engines only three times more.
 */
final class CrashingRequestTest {
    private static final int HOSTS = 6;
    private static final int ENGINES = 13;
    private static final int MANY_HOSTS = 71;
    private static final int MANY_ENGINES = 80;
    private static final long MINUTE_MS = 60_000;
    private static final int INTERVAL_MS = 1_000;

    /** Number of late sends that the platform's rule bears. */
    private static final int MAX_LATE_SENDS = 3;

    private static void assertKept(CrashingRequestFleet fleet) {
        assertWithMessage("late sends; %s engines ended", fleet.ends())
                .that(fleet.lateSends())
                .isAtMost(MAX_LATE_SENDS);
        assertThat(fleet.ends()).isAtLeast(3);
    }

    /** Guards against reports between hosts that leave the crashing request out for the others lost beside it. */
    @Nested
    final class AmongOtherLostRequests {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void staysBlocked(long seed) {
            CrashingRequestFleet fleet = new CrashingRequestFleet(HOSTS, ENGINES, End.RESET, seed)
                    .nonIdempotent()
                    .othersLostPerHost(16);
            fleet.run(MINUTE_MS, INTERVAL_MS);
            assertKept(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void isReportedBesideManyLostWithIt(long seed) {
            CrashingRequestFleet fleet = new CrashingRequestFleet(HOSTS, ENGINES, End.RESET, seed)
                    .nonIdempotent()
                    .othersLostPerHost(64);
            fleet.run(MINUTE_MS, INTERVAL_MS);
            assertKept(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void isReportedBesideUnrelatedLosses(long seed) {
            CrashingRequestFleet fleet = new CrashingRequestFleet(HOSTS, ENGINES, End.RESET, seed)
                    .nonIdempotent()
                    .othersLostPerHost(31)
                    .unrelatedLossesPerRound(10);
            fleet.run(MINUTE_MS, INTERVAL_MS);
            assertKept(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2})
        void isReportedInALargeFleet(long seed) {
            CrashingRequestFleet fleet = new CrashingRequestFleet(MANY_HOSTS, MANY_ENGINES, End.RESET, seed)
                    .nonIdempotent()
                    .othersLostPerHost(2)
                    .unrelatedLossesPerRound(10);
            fleet.run(MINUTE_MS, INTERVAL_MS);
            assertKept(fleet);
        }

        @Test
        void isReportedThoughReportsAreLost() {
            CrashingRequestFleet fleet = new CrashingRequestFleet(HOSTS, ENGINES, End.RESET, 1).reportLoss(0.3);
            fleet.run(MINUTE_MS, INTERVAL_MS);
            assertKept(fleet);
        }
    }

    /** Guards against hosts that reach the store but not each other, so that each counts to three alone. */
    @Test
    void isBlockedThoughHostsDoNotHearOfEachOther() {
        CrashingRequestFleet fleet = new CrashingRequestFleet(HOSTS, ENGINES, End.RESET, 1)
                .nonIdempotent()
                .reportLoss(1);
        fleet.run(MINUTE_MS, INTERVAL_MS);
        assertKept(fleet);
    }

    /** Guards against hosts that forget what was blocked when all of them restart, so that three more engines end. */
    @Test
    void isBlockedAfterAllHostsRestart() {
        CrashingRequestFleet fleet = new CrashingRequestFleet(HOSTS, ENGINES, End.RESET, 1).nonIdempotent();
        fleet.run(MINUTE_MS / 4, INTERVAL_MS);
        int before = fleet.ends();
        fleet.restartAllHosts();
        fleet.run(MINUTE_MS / 4, INTERVAL_MS);
        assertThat(fleet.ends()).isEqualTo(before);
        assertKept(fleet);
    }

    /** Guards against an engine that ends without a lost connection, so that its end is not held against the request. */
    @Nested
    final class EndsWithoutALostConnection {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void engineThatFallsSilentCounts(long seed) {
            CrashingRequestFleet fleet = new CrashingRequestFleet(HOSTS, ENGINES, End.SILENT, seed);
            fleet.run(MINUTE_MS, INTERVAL_MS);
            assertKept(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void engineThatEndsInMalformedBytesCounts(long seed) {
            CrashingRequestFleet fleet = new CrashingRequestFleet(HOSTS, ENGINES, End.MALFORMED, seed);
            fleet.run(MINUTE_MS, INTERVAL_MS);
            assertKept(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void engineThatEndsAfterTheCallerLeftCounts(long seed) {
            CrashingRequestFleet fleet = new CrashingRequestFleet(HOSTS, ENGINES, End.RESET, seed).callersLeaveAtOnce();
            fleet.run(MINUTE_MS, INTERVAL_MS);
            assertKept(fleet);
        }
    }

    /** Guards against engines that start again under their id and are counted once, however often they end. */
    @Test
    void engineThatRestartsUnderItsIdCountsAgain() {
        CrashingRequestFleet fleet = new CrashingRequestFleet(HOSTS, 2, End.RESET, 1).restartsUnderSameId();
        fleet.run(MINUTE_MS, INTERVAL_MS);
        assertKept(fleet);
    }

    /** Guards against a block that ends while the request still comes, and costs three more engines each time. */
    @Test
    void isBlockedAsLongAsItComes() {
        CrashingRequestFleet fleet = new CrashingRequestFleet(HOSTS, ENGINES, End.RESET, 1);
        fleet.run(8 * MINUTE_MS, INTERVAL_MS);
        assertKept(fleet);
    }

    /** Guards against a request that waited for a connection, or for its next attempt, while others ended engines. */
    @Nested
    final class BlockedWhileItWaits {
        private static final long FINGERPRINT = 7;

        private final ExchangeFixture f = new ExchangeFixture();

        private StartedExchange waitingRequest() {
            f.fingerprint = FINGERPRINT;
            StartedExchange waiting = f.start(route(RouteKind.IDEMPOTENT, false));
            f.crashes.accept(new CrashSuspect(FINGERPRINT, Set.of("x1", "x2", "x3"), 0), f.clock.nanos());
            return waiting;
        }

        @Test
        void isNotSentOnANewConnection() {
            assertThat(waitingRequest().mayStillSend()).isFalse();
        }

        @Test
        void isNotSentElsewhereAfterAFailedConnection() {
            waitingRequest().onAttemptFailed(AttemptFailure.CONNECT_REFUSED);
            assertThat(f.sent).hasSize(1);
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.CRASHES_ENDPOINTS);
        }

        @Test
        void isNotSentElsewhereAfterARejection() {
            waitingRequest().onHead(ExchangeFixture.notExecutedHead(503));
            assertThat(f.sent).hasSize(1);
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.CRASHES_ENDPOINTS);
        }
    }
}
