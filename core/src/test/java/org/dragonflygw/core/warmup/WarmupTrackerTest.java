package org.dragonflygw.core.warmup;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.catalog.CallerLimits;
import org.dragonflygw.core.catalog.Catalog;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogLine;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.ratelimit.EndpointRate;
import org.dragonflygw.core.ratelimit.EndpointRates;
import org.dragonflygw.core.ratelimit.RateNotice;
import org.dragonflygw.core.ratelimit.RateReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** From when and until when endpoints are cold, and at which rate. */
final class WarmupTrackerTest {
    private static final long WARMUP_MS = 20_000;
    private static final double PER_SECOND = 4;

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final EndpointRates rates = new EndpointRates();
    private final Lines log = new Lines();
    private Optional<Catalog> catalog = Optional.of(catalog(PER_SECOND));
    private boolean listed = true;
    private final WarmupTracker tracker = new WarmupTracker(rates, () -> catalog, () -> listed, clock, clock, log);
    private final long startedMs = clock.millis() - 300_000;

    private static Catalog catalog(double perSecond) {
        CatalogService cold = new CatalogService("s", "/", 10, 16, 1_000, 0, WARMUP_MS, perSecond);
        CatalogService plain = new CatalogService("plain", "/", 10, 16, 0, 0);
        return new Catalog(1, CallerLimits.DEFAULT, List.of(), List.of(cold, plain), Optional.empty());
    }

    private static DiscoveredEndpoint endpoint(String service, long startedMs, long leftMs) {
        return new DiscoveredEndpoint("e", service, "10.0.0.1", 80, "a", 16, false, leftMs, startedMs, "v1");
    }

    private void read(long leftMs) {
        tracker.onUpdated(endpoint("s", startedMs, leftMs));
    }

    private EndpointRate rate() {
        return rates.of("e", startedMs);
    }

    private boolean isColdAfter(long ms) {
        clock.advanceMs(ms);
        tracker.refresh();
        return rate().isCold();
    }

    @Nested
    final class FromEntries {
        @Test
        void anEndpointIsColdForTheTimeThatIsLeft() {
            read(5_000);
            assertThat(rate().requestsPerSecond()).isEqualTo(PER_SECOND);
            assertThat(isColdAfter(4_999)).isTrue();
            assertThat(isColdAfter(1)).isFalse();
            assertThat(rate().requestsPerSecond()).isEqualTo(Double.POSITIVE_INFINITY);
        }

        @Test
        void theLatestEndHolds() {
            read(5_000);
            read(9_000);
            read(2_000);
            assertThat(isColdAfter(8_900)).isTrue();
            assertThat(isColdAfter(200)).isFalse();
        }

        @Test
        void anEndpointMayBecomeColdAgain() {
            read(5_000);
            assertThat(isColdAfter(6_000)).isFalse();
            read(7_000);
            assertThat(isColdAfter(6_900)).isTrue();
        }

        /** Guards against an engine that is never used again because of one wrong number. */
        @Test
        void noEndIsLaterThanTheConfiguredTime() {
            read(3_000_000);
            assertThat(isColdAfter(WARMUP_MS - 1)).isTrue();
            assertThat(isColdAfter(1)).isFalse();
        }

        @Test
        void implausibleTimesAreLoggedOnceAndIgnored() {
            read(-1);
            read(Long.MAX_VALUE);
            tracker.onResponse(endpoint("s", startedMs, 0), Long.MIN_VALUE);
            assertThat(rate().isCold()).isFalse();
            assertThat(log.outcomes).containsExactly("implausible warm-up ignored");
        }

        @Test
        void endpointsOfServicesWithoutWarmupAreNeverCold() {
            tracker.onUpdated(endpoint("plain", startedMs, 5_000));
            tracker.onUpdated(endpoint("unknown", startedMs, 5_000));
            assertThat(rate().isCold()).isFalse();
            assertThat(log.outcomes).isEmpty();
        }

        @Test
        void aNamedLimitHoldsIfItIsLower() {
            read(5_000);
            RateReport told = new RateReport("e", startedMs, RateNotice.limited(1.5), 20, 10);
            rates.accept(told, clock.nanos());
            assertThat(rate().requestsPerSecond()).isEqualTo(1.5);
            assertThat(isColdAfter(5_000)).isFalse();
            assertThat(rate().isLimited()).isTrue();
        }
    }

    @Nested
    final class FromTheStart {
        private void appear(long ageMs) {
            tracker.onUpdated(endpoint("s", clock.millis() - ageMs, 0));
        }

        private boolean isCold() {
            return rates.coldCount() > 0;
        }

        /** Guards against an engine that has just started and whose entry does not say that it is cold. */
        @Test
        void anEndpointThatAppearsWhileServingIsCold() {
            appear(3_000);
            clock.advanceMs(16_900);
            tracker.refresh();
            assertThat(isCold()).isTrue();
            clock.advanceMs(100);
            tracker.refresh();
            assertThat(isCold()).isFalse();
        }

        @Test
        void anEndpointOfTheFirstListIsNot() {
            listed = false;
            appear(3_000);
            listed = true;
            tracker.onUpdated(endpoint("s", clock.millis() - 3_000, 0));
            assertThat(isCold()).isFalse();
        }

        /** Guards against engines whose entries lapsed while the store was away and that are taken for new ones. */
        @Test
        void anEndpointThatComesBackAfterItsTimeIsNot() {
            appear(WARMUP_MS);
            assertThat(isCold()).isFalse();
        }

        /** Guards against a clock of an engine that is ahead. */
        @Test
        void aStartInTheFutureIsColdForTheConfiguredTimeAtMost() {
            appear(-500_000);
            clock.advanceMs(WARMUP_MS);
            tracker.refresh();
            assertThat(isCold()).isFalse();
        }
    }

    @Nested
    final class FromOthers {
        private void tell(long leftMs) {
            rates.accept(
                    new RateReport("e", startedMs, RateNotice.UNREADABLE, 0, 0, leftMs, PER_SECOND), clock.nanos());
        }

        @Test
        void aResponseMakesColdAtOnce() {
            tracker.onResponse(endpoint("s", startedMs, 0), 5_000);
            assertThat(rate().isCold()).isTrue();
            assertThat(rates.nextReports(clock.nanos()).get(0).coldLeftMs()).isEqualTo(5_000);
        }

        @Test
        void whatAPeerTellsMakesColdAndIsLogged() {
            tell(5_000);
            assertThat(isColdAfter(100)).isTrue();
            assertThat(isColdAfter(4_900)).isFalse();
            assertThat(log.outcomes).containsExactly("cold", "warm").inOrder();
        }

        /** Guards against hosts that tell each other for ever that an endpoint is cold, as each message takes a moment. */
        @Test
        void whatPeersTellLateDoesNotExtendACold() {
            read(5_000);
            clock.advanceMs(4_500);
            tell(1_400);
            assertThat(isColdAfter(500)).isFalse();
            tell(600);
            assertThat(rate().isCold()).isFalse();
        }

        /** Guards against a message that says nothing of a limit and ends one. */
        @Test
        void aReportOfAColdEndpointDoesNotEndANamedLimit() {
            rates.accept(new RateReport("e", startedMs, RateNotice.limited(2), 900, 800), clock.nanos());
            tell(5_000);
            assertThat(rate().namesLimit()).isTrue();
        }

        /** Guards against reports that grow with all engines of a scale-out, which all hosts read from the store. */
        @Test
        void whatTheEntrySaysIsNotReported() {
            read(5_000);
            assertThat(rates.nextReports(clock.nanos())).isEmpty();
        }
    }

    @Nested
    final class Configurations {
        /** Guards against a list of endpoints that is read before the configuration. */
        @Test
        void thatArriveLateApplyToWhatWasHeardBefore() {
            catalog = Optional.empty();
            read(5_000);
            assertThat(rate().isCold()).isFalse();
            catalog = Optional.of(catalog(PER_SECOND));
            assertThat(isColdAfter(1_000)).isTrue();
            assertThat(isColdAfter(4_000)).isFalse();
        }

        @Test
        void thatChangeTheRateApplyToColdEndpoints() {
            read(5_000);
            catalog = Optional.of(catalog(2));
            tracker.refresh();
            assertThat(rate().requestsPerSecond()).isEqualTo(2);
        }
    }

    /** The outcomes of the lines of a log. */
    private static final class Lines implements EventLog {
        private final List<String> outcomes = new ArrayList<>();

        @Override
        public LogLine line(LogTopic topic) {
            return new LogLine() {
                @Override
                public LogLine with(String field, String value) {
                    if (field.equals("outcome")) {
                        outcomes.add(value);
                    }
                    return this;
                }

                @Override
                public LogLine with(String field, long value) {
                    return this;
                }

                @Override
                public LogLine with(String field, boolean value) {
                    return this;
                }

                @Override
                public void end() {}
            };
        }
    }
}
