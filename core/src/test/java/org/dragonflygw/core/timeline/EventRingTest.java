package org.dragonflygw.core.timeline;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class EventRingTest {
    private final MutableClock time = MutableClock.of(Instant.ofEpochMilli(1_000_000), ZoneOffset.UTC);
    private final HybridClock clock = new HybridClock(time);

    private EventRing ring() {
        return new EventRing("r1", clock, EventRing.MIN_BYTES);
    }

    @Nested
    final class Reading {
        @Test
        void findsEventsByEachPartOfTheSubject() {
            EventRing ring = ring();
            EventSubject subject = new EventSubject("q1", "c1", "e1", "t1", "k1", "l1");
            ring.record(EventType.DISPATCHED, subject, "wait 3 ms");
            ring.record(EventType.DISPATCHED, EventSubject.NONE, "");
            for (EventKey key : EventKey.values()) {
                List<Event> found = ring.read(EventFilter.by(key, key.valueIn(subject)), 10);
                assertThat(found).hasSize(1);
                assertThat(found.get(0).subject()).isEqualTo(subject);
                assertThat(found.get(0).detail()).isEqualTo("wait 3 ms");
            }
        }

        @Test
        void keepsTheNewestUpToTheLimit() {
            EventRing ring = ring();
            for (int i = 0; i < 20; i++) {
                ring.record(EventType.FIRST_TOKEN, EventSubject.NONE, "n" + i);
            }
            List<Event> newest = ring.read(EventFilter.ALL, 2);
            assertThat(newest.stream().map(Event::detail))
                    .containsExactly("n18", "n19")
                    .inOrder();
        }

        @Test
        void cutsLongTextsAtACharacterBoundary() {
            EventRing ring = ring();
            ring.record(EventType.FIRST_TOKEN, EventSubject.NONE, "é".repeat(300));
            assertThat(ring.read(EventFilter.ALL, 1).get(0).detail()).isEqualTo("é".repeat(127));
        }
    }

    @Property(seed = "71", tries = 50)
    void holdsExactlyTheNewestEventsThatFit(
            @ForAll @Size(min = 200, max = 600) List<@StringLength(max = 400) String> details) {
        EventRing ring = ring();
        Deque<String> all = new ArrayDeque<>();
        for (String detail : details) {
            ring.record(EventType.RETRIED, EventSubject.endpoint("e"), detail);
            all.addLast(cut(detail));
        }
        List<Event> held = ring.read(EventFilter.ALL, Integer.MAX_VALUE);
        List<String> expected = new ArrayList<>(all).subList(all.size() - held.size(), all.size());
        assertThat(held.stream().map(Event::detail).toList()).isEqualTo(expected);
        RingUsage usage = ring.usage();
        assertThat(usage.usedBytes()).isAtMost(usage.capacityBytes());
        assertThat(usage.events()).isEqualTo(held.size());
        assertThat(usage.recorded()).isEqualTo(details.size());
    }

    private static String cut(String text) {
        byte[] scratch = new byte[EventEncoder.MAX_EVENT_BYTES];
        int length = EventEncoder.encode(0, EventType.RETRIED, EventSubject.NONE, text, scratch);
        byte[] exact = java.util.Arrays.copyOf(scratch, length);
        return new EventDecoder(exact, "").next().detail();
    }

    @Nested
    final class Clocks {
        @Test
        void readingsGrowWhilePhysicalTimeStandsStill() {
            HybridTimestamp first = clock.now();
            assertThat(clock.now()).isGreaterThan(first);
            time.setInstant(Instant.ofEpochMilli(999_000));
            assertThat(clock.now()).isGreaterThan(first);
        }

        @Test
        void anObservedReadingOrdersWhatFollows() {
            HybridTimestamp ahead = new HybridTimestamp(time.millis() + 500, 7);
            clock.observe(ahead);
            assertThat(clock.now()).isGreaterThan(ahead);
        }

        @Test
        void aReadingFarAheadIsIgnored() {
            clock.observe(new HybridTimestamp(time.millis() + HybridClock.MAX_SKEW_MILLIS + 1, 0));
            assertThat(clock.now().physicalMillis()).isEqualTo(time.millis());
        }

        @Test
        void mergeOrdersAcrossDaemonsAndDropsRepeats() {
            Event cause = new Event(new HybridTimestamp(5, 0), "b", EventType.GRANT_GIVEN, EventSubject.NONE, "");
            Event effect = new Event(new HybridTimestamp(5, 1), "a", EventType.DISPATCHED, EventSubject.NONE, "");
            List<Event> merged = TimelineMerger.merge(List.of(List.of(effect, cause), List.of(cause)), 10);
            assertThat(merged).containsExactly(cause, effect).inOrder();
        }
    }
}
