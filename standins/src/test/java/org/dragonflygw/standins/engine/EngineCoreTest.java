package org.dragonflygw.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class EngineCoreTest {
    private static final long MILLI = 1_000_000;
    private static final Duration EVENT_LAG = Duration.ofMillis(100);

    private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
    private final CacheEventLog events = new CacheEventLog(clock, EVENT_LAG, 3);
    private final EngineCore core = new EngineCore(
            EngineConfig.builder("e")
                    .maxBatch(2)
                    .tokenGapMicros(1000, 500)
                    .prefillTokensPerSecond(1000)
                    .cacheTokens(100)
                    .resumeMillis(50)
                    .build(),
            events);

    @Nested
    final class Batching {
        @Test
        void tokenGapGrowsWithTheBatch() {
            EngineStream alone = submit("a", 0, "", 0);
            core.advance(MILLI);
            assertThat(alone.emitted()).isEqualTo(1);

            submit("b", 0, "", 0);
            core.advance(2 * MILLI);
            long second = alone.dueNanos();
            core.advance(second);

            assertThat(alone.emitted()).isEqualTo(3);
            assertThat(alone.dueNanos() - second).isEqualTo(3 * MILLI / 2);
            assertThat(core.tokensPerSecond()).isEqualTo(1333);
        }

        @Test
        void waitingStreamsStartByPriority() {
            submit("a", 0, "", 0);
            submit("b", 0, "", 0);
            EngineStream low = submit("low", 1, "", 0);
            EngineStream high = submit("high", 9, "", 0);
            assertThat(core.waitingCount()).isEqualTo(2);

            core.cancel("a", 0);
            core.advance(3 * MILLI);

            assertThat(high.emitted()).isGreaterThan(0);
            assertThat(low.emitted()).isEqualTo(0);
        }

        @Test
        void endOfAStreamAdmitsAWaitingStream() {
            submit("a", 0, "", 0);
            submit("b", 0, "", 0);
            EngineStream waiting = submit("c", 0, "", 0);

            for (long now = 0; now < 1000 * MILLI; now += MILLI) {
                core.advance(now);
            }

            assertThat(waiting.finished()).isTrue();
            assertThat(core.nextDueNanos().isPresent()).isFalse();
        }

        @Test
        void endedStreamCanBeFoundForALimitedTime() {
            EngineStream stream = submit("a", 0, "", 0);
            core.advance(1000 * MILLI);

            assertThat(stream.finished()).isTrue();
            assertThat(core.find("a", 1000 * MILLI).isPresent()).isTrue();
            assertThat(core.find("a", 1060 * MILLI).isPresent()).isFalse();
        }

        @Test
        void streamWithoutAConnectionIsCancelledAfterResumeTime() {
            EngineStream stream = core.submit(request("a", 0, "", 0), 0);

            core.advance(60 * MILLI);

            assertThat(stream.cancelled()).isTrue();
            assertThat(core.runningCount()).isEqualTo(0);
        }

        @Test
        void sameRequestIdReplacesTheRun() {
            EngineStream first = submit("a", 0, "", 0);
            submit("a", 0, "", 0);

            assertThat(first.cancelled()).isTrue();
            assertThat(core.runningCount()).isEqualTo(1);
        }
    }

    @Nested
    final class PrefixCaching {
        @Test
        void cachedPrefixNeedsNoPrefill() {
            assertThat(firstTokenNanos("a", "p")).isEqualTo(41 * MILLI);
            core.reset();
            assertThat(firstTokenNanos("b", "p")).isEqualTo(41 * MILLI);
            core.cancel("b", 0);

            EngineStream warm = core.submit(request("c", 0, "p", 40), 100 * MILLI);

            assertThat(warm.dueNanos()).isEqualTo(101 * MILLI);
        }

        @Test
        void prefillsRunOneAtATime() {
            submit("a", 0, "p", 40);
            assertThat(core.waitMillis(0)).isEqualTo(40);

            assertThat(submit("b", 0, "q", 40).dueNanos()).isEqualTo(81 * MILLI + MILLI / 2);
        }

        @Test
        void leastRecentlyUsedPrefixIsEvicted() {
            core.storePrefix("p", 50);
            core.storePrefix("q", 40);
            submit("a", 0, "p", 50);

            core.storePrefix("r", 40);

            assertThat(core.cachedTokens("p").isPresent()).isTrue();
            assertThat(core.cachedTokens("q").isPresent()).isFalse();
        }

        @Test
        void eventsAreDelayedAndHaveGaps() {
            core.storePrefix("p", 1);
            core.storePrefix("q", 1);
            core.storePrefix("r", 1);
            assertThat(events.after(0).events()).isEmpty();

            clock.add(EVENT_LAG);
            CacheEventLog.Page page = events.after(0);

            assertThat(page.events())
                    .containsExactly(new CacheEvent(1, "stored", "p"), new CacheEvent(2, "stored", "q"))
                    .inOrder();
            assertThat(page.gap()).isTrue();
            assertThat(page.last()).isEqualTo(3);
            assertThat(events.after(3)).isEqualTo(new CacheEventLog.Page(4, 3, false, List.of()));
        }

        private long firstTokenNanos(String id, String prefix) {
            return submit(id, 0, prefix, 40).dueNanos();
        }
    }

    private EngineStream submit(String id, int priority, String prefix, long promptTokens) {
        EngineStream stream = core.submit(request(id, priority, prefix, promptTokens), 0);
        ResponseSender sender = () -> {};
        ResponseSender previous = stream.attach(sender);
        assertThat(previous).isNotSameInstanceAs(sender);
        return stream;
    }

    private static RunRequest request(String id, int priority, String prefix, long promptTokens) {
        byte[] body = "{\"messages\":[],\"max_tokens\":20}".getBytes(StandardCharsets.UTF_8);
        return new RunRequest(id, "m", ResponseText.ofBody(body), priority, prefix, promptTokens);
    }
}
