package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.catalog.RouteKind;
import org.dragonflygw.core.dispatch.EndpointLoadState;
import org.dragonflygw.core.dispatch.LoadReport;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against brittle engines that end because the hosts of a fleet together send them more than they have room for. */
final class BrittleEndpointsTest {
    private static final double CALM = 0.5;
    private static final double CROWDED = 0.9;
    private static final double OVERLOADED = 1.6;

    private static void assertFewFalls(BrittleFleet fleet, int engines) {
        assertWithMessage("engines that ended").that(fleet.falls()).isAtMost(2 + engines / 10);
    }

    /** Columns: hosts, engines, slots, rejections borne in a second, milliseconds between reports, seed. */
    @Nested
    final class Fleets {
        @ParameterizedTest
        @CsvSource({"6, 13, 64, 5, 200, 1", "6, 13, 16, 2, 200, 2", "95, 98, 16, 5, 660, 3", "401, 98, 8, 5, 1200, 4"})
        void serveACalmLoad(int hosts, int engines, int slots, int borne, int reportMs, long seed) {
            BrittleFleet fleet = new BrittleFleet(hosts, engines, slots, borne, reportMs, seed).run(CALM);
            assertFewFalls(fleet, engines);
            assertThat(fleet.servedShare()).isAtLeast(0.95);
        }

        @ParameterizedTest
        @CsvSource({"6, 13, 64, 5, 200, 1", "6, 13, 16, 2, 200, 2", "95, 98, 16, 5, 660, 3", "401, 98, 8, 5, 1200, 4"})
        void fillTheEnginesNearly(int hosts, int engines, int slots, int borne, int reportMs, long seed) {
            BrittleFleet fleet = new BrittleFleet(hosts, engines, slots, borne, reportMs, seed).run(CROWDED);
            assertFewFalls(fleet, engines);
        }

        @ParameterizedTest
        @CsvSource({"6, 13, 64, 5, 200, 1", "6, 13, 16, 2, 200, 2", "95, 98, 16, 5, 660, 3", "401, 98, 8, 5, 1200, 4"})
        void withstandAnOverload(int hosts, int engines, int slots, int borne, int reportMs, long seed) {
            BrittleFleet fleet = new BrittleFleet(hosts, engines, slots, borne, reportMs, seed).run(OVERLOADED);
            assertFewFalls(fleet, engines);
            assertThat(fleet.servedShare()).isAtLeast(0.3);
        }
    }

    @Nested
    final class Statements {
        private static final long HOLD_MS = 10_000;
        private static final int BORNE = 5;

        private final ExchangeFixture f = new ExchangeFixture();

        private ResponseHead head(boolean rejection, int brittle) {
            EndpointNotice notice = new EndpointNotice(false, 0, RateNotice.UNLIMITED, 0, brittle);
            return new ResponseHead(
                    rejection ? 503 : 200, true, rejection, false, 2, false, Optional.empty(), notice, List.of());
        }

        private boolean isBrittle() {
            return f.loads.isBrittle(ExchangeFixture.SERVICE, f.clock.nanos());
        }

        private StartedExchange started() {
            return f.start(ExchangeFixture.route(RouteKind.IDEMPOTENT, false));
        }

        @Test
        void holdForAllEndpointsOfTheServiceForAWhile() {
            started().onHead(head(false, BORNE));
            assertThat(isBrittle()).isTrue();
            f.clock.advanceMs(HOLD_MS + 1);
            assertThat(isBrittle()).isFalse();
        }

        /** The next endpoint may be full as well, and would have to reject the request too. */
        @Test
        void keepARejectedRequestFromTheOtherEndpoints() {
            started().onHead(head(true, BORNE));
            assertThat(f.sent).hasSize(1);
            assertThat(f.rejections.get(0).reason()).isEqualTo(RejectReason.ENDPOINT_REJECTED);
        }

        @Test
        void spareTheEndpointThatRejected() {
            started().onHead(head(true, BORNE));
            EndpointLoadState rejecting =
                    f.loads.get(f.sent.get(0).endpoint().id()).orElseThrow();
            assertThat(rejecting.quietNanos(f.clock.nanos())).isAtLeast(1_000_000_000L);
        }

        /** Endpoints also reject for other reasons than want of room. */
        @Test
        void leaveTheServiceOpenAfterARejectionByAnIdleEndpoint() {
            LoadReport idle = new LoadReport(0, 0, 4);
            EndpointNotice notice = new EndpointNotice(false, 0, RateNotice.UNLIMITED, 0, BORNE);
            started().onHead(new ResponseHead(503, true, true, false, 2, false, Optional.of(idle), notice, List.of()));
            for (int i = 0; i < 4; i++) {
                started();
            }
            assertThat(f.sent).hasSize(5);
        }

        @Test
        void areNotAssumedOfEndpointsThatMakeNone() {
            started().onHead(head(true, EndpointNotice.STURDY));
            assertThat(isBrittle()).isFalse();
            assertThat(f.sent).hasSize(2);
        }
    }
}
