package org.dragonflygw.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import java.util.SplittableRandom;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EndpointSpeedsTest {
    private static final long START = 1_000_000_000_000L;
    private static final long MS = 1_000_000;
    private static final double REQUEST_NANOS = 68.0 * MS;

    private final ServiceSpeeds service = new ServiceSpeeds();
    private final EndpointSpeeds usual = new EndpointSpeeds(service);
    private final EndpointSpeeds other = new EndpointSpeeds(service);
    private final SplittableRandom random = new SplittableRandom(5);
    private long now = START;

    /** Feeds responses of an engine that reads 61.2 tokens per ms and adds 4 ms per running request. */
    private void firstTokens(EndpointSpeeds engine, double slowness, int count) {
        for (int i = 0; i < count; i++) {
            now += 100 * MS;
            double tokens = i % 2 == 0 ? 11_812 : 360;
            double running = 1 + random.nextInt(12);
            double noise = 0.8 + 0.4 * random.nextDouble();
            engine.onFirstToken((tokens / 61.2 + 4 * running) * slowness * noise, tokens, running, now);
        }
    }

    @Nested
    final class Learning {
        @Test
        void startsWithTheInitialSpeeds() {
            assertThat(usual.firstTokenMs(5_000, 4, now)).isWithin(1e-9).of(110);
            assertThat(usual.plainMs(now)).isWithin(1e-9).of(25);
            assertThat(usual.ageMs(now)).isEqualTo(-1);
        }

        @Test
        void findsReadSpeedAndDelayPerRunningRequest() {
            firstTokens(usual, 1, 600);
            assertThat(usual.readMs(10_000, now)).isWithin(25).of(163);
            assertThat(usual.firstTokenMs(0, 10, now)).isWithin(8).of(40);
            assertThat(usual.ageMs(now)).isEqualTo(0);
        }

        @Test
        void findsTheTimeOfPlainRequests() {
            for (int i = 0; i < 200; i++) {
                now += 50 * MS;
                usual.onPlainRequest(68.6 * (1 + i % 3), i % 3, now);
            }
            assertThat(usual.plainMs(now)).isWithin(7).of(68.6);
        }

        /** Guards against speeds that are learned for the service only. */
        @Test
        void tellsASlowEngineFromTheOthers() {
            for (int i = 0; i < 60; i++) {
                firstTokens(usual, 1, 5);
                firstTokens(other, 2, 1);
            }
            assertThat(other.factor(now) / usual.factor(now)).isWithin(0.5).of(2);
        }

        /** Guards against an engine whose delay grows with its load beyond what is usual. */
        @Test
        void followsAnEngineThatSlowsDownWhenNearlyFull() {
            firstTokens(usual, 1, 300);
            double before = usual.firstTokenMs(360, 10, now);
            for (int i = 0; i < 30; i++) {
                now += 100 * MS;
                usual.onFirstToken(4 * before, 360, 10, now);
            }
            assertThat(usual.firstTokenMs(360, 10, now)).isAtLeast(2.5 * before);
        }

        /** Guards against an engine that is never chosen again after some slow responses. */
        @Test
        void returnsToTheStartWithoutSamples() {
            firstTokens(usual, 6, 200);
            assertThat(usual.factor(now)).isGreaterThan(1.5);
            now += 600_000 * MS;
            assertThat(usual.firstTokenMs(5_000, 4, now)).isWithin(2).of(110);
        }
    }

    @Nested
    final class StatedPercentage {
        /** Guards against a choice that follows a number which changes many times while a request runs. */
        @Test
        void isSmoothedWhenItFlickers() {
            double lowest = Double.MAX_VALUE;
            double highest = 0;
            for (int i = 0; i < 400; i++) {
                now += 20 * MS;
                usual.onStated(i % 2 == 0 ? 50 : 350, REQUEST_NANOS, now);
                if (i > 100) {
                    lowest = Math.min(lowest, usual.factor(now));
                    highest = Math.max(highest, usual.factor(now));
                }
            }
            assertThat(lowest).isAtLeast(1.5);
            assertThat(highest).isAtMost(2.5);
        }

        @Test
        void losesItsEffectWithAge() {
            for (int i = 0; i < 20; i++) {
                usual.onStated(400, REQUEST_NANOS, now += 100 * MS);
            }
            assertThat(usual.factor(now)).isGreaterThan(3.0);
            assertThat(usual.factor(now + 100_000 * MS)).isLessThan(1.05);
        }

        @Test
        void isHarmlessIfMissingZeroNegativeOrHuge() {
            for (int percent : new int[] {LoadReport.NOT_STATED, LoadReport.UNREADABLE, Integer.MIN_VALUE}) {
                usual.onStated(percent, REQUEST_NANOS, now);
            }
            assertThat(usual.factor(now)).isEqualTo(1.0);
            usual.onStated(Integer.MAX_VALUE, REQUEST_NANOS, now);
            assertThat(usual.factor(now)).isAtMost(4.0);
        }
    }

    @Nested
    final class BadSamples {
        @Test
        void areIgnoredOrBounded() {
            for (double ms : new double[] {0, -5, Double.NaN, Double.POSITIVE_INFINITY}) {
                usual.onFirstToken(ms, 1_000, 1, now);
                usual.onPlainRequest(ms, 0, now);
            }
            assertThat(usual.firstTokenMs(5_000, 4, now)).isWithin(1e-9).of(110);
            for (int i = 0; i < 1_000; i++) {
                usual.onFirstToken(1e12, 1_000, 1, now);
            }
            assertThat(usual.firstTokenMs(5_000, 4, now)).isAtMost(110 * 80 + 1);
            assertThat(usual.firstTokenMs(5_000, 4, now)).isFinite();
        }

        /** Guards against a report whose sum overflows or empties an engine that is full. */
        @Test
        void implausibleLoadsAreIgnored() {
            EndpointLoads loads = new EndpointLoads();
            loads.onUpdated(new DiscoveredEndpoint("e", "llm", "h", 80, "a", 16, false, 0, 1, "v1"));
            EndpointLoadState e = loads.get("e").orElseThrow();
            e.onLoadReport(new LoadReport(Integer.MAX_VALUE, Integer.MAX_VALUE, 16), now);
            e.onLoadReport(new LoadReport(-7, 0, 16), now);
            assertThat(e.load(now)).isEqualTo(0.0);
        }
    }

    /** Guards against a fixed speed in the choice: the faster engine is preferred by what it showed. */
    @Test
    void choiceFollowsWhatWasLearned() {
        EndpointLoads loads = new EndpointLoads();
        for (String id : new String[] {"slow", "fast"}) {
            loads.onUpdated(new DiscoveredEndpoint(id, "app", "h", 80, "a", 6, false, 0, 1, "v1"));
        }
        for (int i = 0; i < 40; i++) {
            loads.get("slow").orElseThrow().speeds().onPlainRequest(200, 0, now);
            loads.get("fast").orElseThrow().speeds().onPlainRequest(50, 0, now);
        }
        ExpectedTimeChooser chooser =
                new ExpectedTimeChooser(loads, () -> new DispatchSettings("a", 2), (all, at) -> all);
        CatalogService plain = new CatalogService("app", "/", 96, 6, 0, 0);
        for (EndpointLoadState e : loads.all()) {
            loads.onSent(e, Prompt.NONE, 0, now);
        }
        Choice c = chooser.choose(new ChoiceRequest(plain, Prompt.NONE, 300, 4_000, Set.of()), now);
        assertThat(c.endpoint().orElseThrow().entry().id()).isEqualTo("fast");
    }
}
