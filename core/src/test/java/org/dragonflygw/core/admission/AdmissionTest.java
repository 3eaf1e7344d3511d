package org.dragonflygw.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.ManualMonotonicClock;
import org.dragonflygw.core.catalog.CatalogService;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** One host without peers and a service with ten slots, all of which are taken at first. */
final class AdmissionTest {
    private static final CatalogService SERVICE = new CatalogService("s", "/", 100, 10, 0, 0);
    private static final long OBJECTIVE_MS = 800;

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private long suspendedMs;
    private final InstantSource wallClock =
            () -> Instant.ofEpochMilli(TimeUnit.NANOSECONDS.toMillis(clock.nanos()) + suspendedMs);
    private int taken = 10;
    private boolean poolGone;
    private final Admission admission = new Admission(
            () -> true,
            (service, now) -> new Room(10, taken, taken),
            new FleetShare(() -> OptionalInt.of(1)),
            new SplittableRandom(1),
            new NoOpEventLog(),
            clock,
            wallClock);
    private final List<String> served = new ArrayList<>();
    private long requests;

    private final class Caller implements Waiter {
        private final String name;
        private Optional<Wait> wait = Optional.empty();
        private long wakeNanos = Long.MAX_VALUE;
        private long retryMs = -1;
        private boolean unservable;

        Caller(String name) {
            this.name = name;
        }

        @Override
        public Outlook look(long nowNanos) {
            if (poolGone) {
                return Outlook.UNSERVABLE;
            }
            return taken < 10 ? Outlook.ROOM : Outlook.BUSY;
        }

        @Override
        public void proceed() {
            if (poolGone) {
                unservable = true;
                return;
            }
            taken++;
            served.add(name);
        }

        @Override
        public void refuse(long expectedMs) {
            retryMs = expectedMs;
        }

        @Override
        public void wakeAt(long nanos) {
            wakeNanos = nanos;
        }

        boolean refused() {
            return retryMs >= 0;
        }

        boolean waits() {
            return wait.isPresent() && !served.contains(name) && !refused() && !unservable;
        }
    }

    private final List<Caller> callers = new ArrayList<>();
    private final List<Caller> waiting = new ArrayList<>();

    /** Requests end at a rate of 50 per second, each after 200 ms. */
    @BeforeEach
    void serveForAWhile() {
        for (int i = 0; i < 200; i++) {
            clock.advanceMs(20);
            admission.onEnded(SERVICE, "r", TimeUnit.MILLISECONDS.toNanos(50), TimeUnit.MILLISECONDS.toNanos(200));
        }
    }

    private WaitRequest request(String name, String team, int priority, long deadlineMs, long fingerprint) {
        long now = clock.nanos();
        return new WaitRequest(
                name,
                SERVICE,
                "r",
                team,
                priority,
                now,
                now + TimeUnit.MILLISECONDS.toNanos(deadlineMs),
                OBJECTIVE_MS,
                deadlineMs,
                100,
                1,
                fingerprint,
                false);
    }

    private Caller arrive(String name, String team, int priority) {
        return arrive(name, request(name, team, priority, 8_000, ++requests));
    }

    private Caller arrive(String name, WaitRequest request) {
        Caller c = new Caller(name);
        callers.add(c);
        c.wait = admission.join(request, c);
        waiting.add(c);
        clock.advanceMs(1);
        return c;
    }

    private void endOne() {
        taken--;
        admission.onEnded(SERVICE, "r", TimeUnit.MILLISECONDS.toNanos(50), TimeUnit.MILLISECONDS.toNanos(200));
        advance(0);
    }

    /** Advances the clock and fires the timers that are due. */
    private void advance(long ms) {
        for (long i = 0; i <= ms; i++) {
            clock.advanceMs(i == 0 ? 0 : 1);
            for (Caller c : List.copyOf(waiting)) {
                if (!c.waits()) {
                    waiting.remove(c);
                } else if (c.wakeNanos <= clock.nanos()) {
                    admission.onWake(c.wait.orElseThrow());
                }
            }
        }
    }

    @Test
    void aFreedSlotGoesToTheRequestThatWaits() {
        Caller c = arrive("a", "t", 1);
        assertThat(c.waits()).isTrue();
        endOne();
        assertThat(served).containsExactly("a");
        assertThat(admission.waitingCount()).isEqualTo(0);
    }

    @Nested
    final class TheOrderOfService {
        @Test
        void isByPriorityThenArrival() {
            arrive("late", "t", 2);
            arrive("first", "t", 0);
            arrive("second", "t", 0);
            endOne();
            endOne();
            endOne();
            assertThat(served).containsExactly("first", "second", "late").inOrder();
        }

        /** Guards against a team that sends most of the requests and gets most of the slots. */
        @Test
        void prefersTheTeamThatWasServedLessLately() {
            arrive("big1", "big", 1);
            arrive("big2", "big", 1);
            arrive("small", "small", 1);
            endOne();
            endOne();
            endOne();
            assertThat(served).containsExactly("big1", "small", "big2").inOrder();
        }

        @Test
        void prefersARequestThatThisHostRefusedBefore() {
            arrive("x", "t", 1);
            taken = 30;
            advance(2_000);
            assertThat(callers.get(0).refused()).isTrue();
            taken = 10;
            serveForAWhile();
            arrive("new", "t", 1);
            arrive("again", request("again", "t", 1, 8_000, 1));
            endOne();
            assertThat(served).containsExactly("again");
        }

        /** A caller that was refused by another host has a shorter time left than is usual. */
        @Test
        void prefersAnUnusuallyShortDeadline() {
            arrive("new", "t", 1);
            arrive("again", request("again", "t", 1, 7_000, ++requests));
            endOne();
            assertThat(served).containsExactly("again");
        }
    }

    @Nested
    final class Refusals {
        /** Guards against requests that are held although no slot was freed for a long time. */
        @Test
        void comeAtOnceWhenNoRoomIsExpected() {
            clock.advanceMs(60_000);
            assertThat(arrive("a", "t", 1).refused()).isTrue();
        }

        @Test
        void comeAtOnceWhenTheDeadlineIsNear() {
            assertThat(arrive("a", request("a", "t", 1, 150, ++requests)).refused())
                    .isTrue();
        }

        @Test
        void comeWhenHalfOfTheObjectiveHasPassedAtTheLatest() {
            Caller c = arrive("a", "t", 1);
            advance(OBJECTIVE_MS / 2);
            assertThat(c.refused()).isTrue();
            assertThat(c.retryMs).isGreaterThan(0);
        }

        /** The least urgent request leaves a full queue, not the newest one. */
        @Test
        void areForTheLeastUrgentWhenTheQueueIsFull() {
            for (int i = 0; i < 200; i++) {
                admission.onEnded(SERVICE, "r", 1_000_000, 1_000_000);
            }
            Caller least = arrive("least", "t", 1);
            while (!least.refused() && callers.size() < 100) {
                Caller c = new Caller("u" + callers.size());
                callers.add(c);
                c.wait = admission.join(request(c.name, "t", 0, 8_000, ++requests), c);
            }
            assertThat(least.refused()).isTrue();
            assertThat(admission.waitingCount()).isAtMost(64);
            assertThat(admission.waitingCount()).isAtLeast(2);
        }
    }

    @Nested
    final class Disturbances {
        @Test
        void aCallerThatLeavesFreesItsPlaceAtOnce() {
            Caller gone = arrive("gone", "t", 0);
            arrive("stays", "t", 1);
            admission.leave(gone.wait.orElseThrow());
            assertThat(admission.waitingCount()).isEqualTo(1);
            endOne();
            assertThat(served).containsExactly("stays");
            assertThat(admission.counts().left()).isEqualTo(1);
        }

        @Test
        void aPoolThatVanishesEndsTheWaitWithinOneCheck() {
            Caller c = arrive("a", "t", 1);
            poolGone = true;
            advance(51);
            assertThat(c.unservable).isTrue();
            assertThat(admission.waitingCount()).isEqualTo(0);
        }

        @Test
        void aPlannedStopEndsAllWaitsWithinAQuarterOfASecond() {
            Caller c = arrive("a", "t", 1);
            admission.beginStop();
            Caller later = arrive("b", "t", 1);
            advance(260);
            assertThat(c.refused()).isTrue();
            assertThat(later.refused()).isTrue();
        }

        /** The monotonic clock stands still while the host is suspended, the caller's patience does not. */
        @Test
        void aSuspensionCountsAsWaiting() {
            Caller c = arrive("a", "t", 1);
            suspendedMs = 3_000;
            advance(51);
            assertThat(c.refused()).isTrue();
        }
    }

    /** Guards against priorities that starve the least urgent kind when the urgent ones alone fill the service. */
    @Test
    void theLeastUrgentKindIsServedAtLeastAQuarterAsOftenAsAll() {
        int all = 0;
        int least = 0;
        for (int i = 0; i < 3_000; i++) {
            int priority = i % 3 == 0 ? 1 : 0;
            all++;
            least += priority;
            arrive((priority == 1 ? "least" : "urgent") + i, "t", priority);
            advance(4);
            if (i % 3 == 0) {
                endOne();
            }
        }
        double share = served.size() / (double) all;
        double leastShare = served.stream().filter(n -> n.startsWith("least")).count() / (double) least;
        assertThat(leastShare).isAtLeast(share / 4);
        assertThat(leastShare).isAtMost(share);
    }
}
