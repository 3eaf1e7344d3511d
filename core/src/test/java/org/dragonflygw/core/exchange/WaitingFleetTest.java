package org.dragonflygw.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.dragonflygw.core.exchange.WaitingFleet.Caller;
import org.dragonflygw.core.exchange.WaitingFleet.Kind;
import org.dragonflygw.core.exchange.WaitingFleet.Outcomes;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Fleets that are short of slots: requests that wait a bounded time against requests that are refused at once. */
final class WaitingFleetTest {
    private static final int ENGINES = 24;
    private static final int SLOTS = 16;
    private static final int FREED_SLOTS = 2;
    private static final long LOAD_MS = 8_000;

    /** Callers that came earlier are counted; the retries of the others come after the end of the load. */
    private static final long COUNTED_MS = 5_500;

    private static final long END_MS = 14_000;

    /** Longest wait that does not harm a refused caller, as a share of the objective, with one check as a margin. */
    private static final double HARMLESS_SHARE = 0.15;

    /** Least share of the served requests of a group, as a part of the share of all; rule 6. */
    private static final double STARVING_PART = 0.25;

    private static WaitingFleet fleet(int hosts, boolean waiting) {
        WaitingFleet f = new WaitingFleet(hosts, ENGINES, SLOTS, waiting, 5);
        f.outcomes.countedUntilMs = COUNTED_MS;
        return f;
    }

    private static Outcomes run(WaitingFleet f, List<Kind> kinds, double multipleOfCapacity) {
        f.loadOf(kinds, multipleOfCapacity, LOAD_MS);
        f.runUntil(END_MS);
        return f.outcomes;
    }

    private static void print(String load, boolean waiting, Outcomes o, Map<?, Double> groups) {
        System.out.printf(
                "%s, %s: served %.3f, on time %.3f, by group %s, %d refused, held %.3f of the objective, %.3f longer than harmless%n",
                load,
                waiting ? "bounded wait" : "refused at once",
                o.servedShare(),
                o.onTimeShare(),
                groups,
                o.refusals(),
                o.heldShareOfRefused(),
                o.longHeldShare());
    }

    /** Twice the capacity for 8 s, three priorities in equal parts. */
    @Nested
    final class WithThreePriorities {
        private static final List<Kind> KINDS = List.of(
                new Kind("p0", 0, 400, 10_000, 700, 1_200),
                new Kind("p1", 1, 500, 4_000, 700, 1_200),
                new Kind("p2", 2, 1_500, 12_000, 700, 1_200));

        private static Outcomes outcomes(int hosts, boolean waiting) {
            Outcomes o = run(fleet(hosts, waiting), KINDS, 2);
            print(
                    "twice the capacity, three priorities, " + hosts + " hosts",
                    waiting,
                    o,
                    o.servedShares(c -> c.kind.name()));
            return o;
        }

        @Test
        void theMostUrgentAreServedMoreOftenAndNoneStarves() {
            for (int hosts : new int[] {1, 6}) {
                Outcomes atOnce = outcomes(hosts, false);
                Outcomes o = outcomes(hosts, true);
                Map<String, Double> shares = o.servedShares(c -> c.kind.name());
                double p0Before = atOnce.servedShares(c -> c.kind.name()).get("p0");
                assertThat(shares.get("p0")).isAtLeast(p0Before * 1.25);
                assertThat(shares.get("p0")).isGreaterThan(shares.get("p1"));
                assertThat(shares.get("p2")).isAtLeast(STARVING_PART * o.servedShare());
                assertThat(o.onTimeShare()).isAtLeast(0.93 * atOnce.onTimeShare());
            }
        }

        /** Guards against waits that end with a refusal after a time in which the caller could have done something else. */
        @Test
        void refusedRequestsAreHeldBriefly() {
            Outcomes o = outcomes(6, true);
            assertThat(o.heldShareOfRefused()).isAtMost(HARMLESS_SHARE);
            assertThat(o.longHeldShare()).isAtMost(0.15);
        }
    }

    /** One team sends 8 times the load of each of the 23 others; all together 1.3 times the capacity. */
    @Test
    void oneTeamWithEightTimesItsLoadDoesNotPushOutTheOthers() {
        List<Kind> kinds = List.of(new Kind("chat", 1, 508, 12_191, 829, 1_200));
        Outcomes[] outcomes = new Outcomes[2];
        for (int i = 0; i < 2; i++) {
            WaitingFleet f = fleet(6, i == 1);
            f.firstTeamWeight = 8;
            outcomes[i] = run(f, kinds, 1.3);
            print(
                    "one team at 8 times its load",
                    i == 1,
                    outcomes[i],
                    outcomes[i].servedShares(c -> c.team.equals("t0") ? "the team" : "others"));
        }
        Predicate<Caller> others = c -> !c.team.equals("t0");
        assertThat(outcomes[1].onTimeShare(others)).isGreaterThan(outcomes[0].onTimeShare(others));
        assertThat(outcomes[1].servedShare(others.negate())).isAtLeast(STARVING_PART * outcomes[1].servedShare());
    }

    /** 1.6 times the capacity of prompts of 11,812 and 829 tokens on 40 subjects; long ones need more time. */
    @Test
    void longAndShortPromptsOnAllSubjectsAreServed() {
        List<Kind> kinds =
                List.of(new Kind("long", 1, 1_019, 15_292, 11_812, 1_600), new Kind("chat", 1, 508, 12_191, 829, 800));
        for (boolean waiting : new boolean[] {false, true}) {
            Outcomes o = run(fleet(6, waiting), kinds, 1.6);
            print("long and short prompts", waiting, o, o.servedShares(c -> c.kind.name()));
            if (waiting) {
                double least = STARVING_PART * o.servedShare();
                o.servedShares(c -> c.kind.name())
                        .values()
                        .forEach(s -> assertThat(s).isAtLeast(least));
                o.servedShares(c -> c.subject)
                        .values()
                        .forEach(s -> assertThat(s).isAtLeast(least));
            }
        }
    }

    /**
     * 98 engines whose slots are all taken, 300 requests per second in vain, and two freed slots, 12 s apart, the
     * first after 10 s of this load. Guards against
     * hosts that all send when the late reports show a free slot.
     */
    @Test
    void aFreedSlotDrawsAboutOneRequest() {
        Kind chat = new Kind("chat", 1, 1_000, 60_000, 829, 1e9);
        for (int hosts : new int[] {6, 65, 128, 401}) {
            double[] sends = new double[2];
            for (int i = 0; i < 2; i++) {
                WaitingFleet f = new WaitingFleet(hosts, 98, 4, i == 1, 5);
                f.callersRetry = false;
                f.fillAllSlots();
                f.runUntil(11_000);
                f.load(chat, 300, 46_000);
                f.runUntil(22_000);
                int before = f.sent;
                for (int slot = 0; slot < FREED_SLOTS; slot++) {
                    f.endOneRequest();
                    f.runUntil(f.nowMs() + 12_000);
                }
                sends[i] = (f.sent - before) / (double) FREED_SLOTS;
            }
            System.out.printf(
                    "%d hosts, one freed slot: %.1f sends with refusals at once, %.1f with a bounded wait%n",
                    hosts, sends[0], sends[1]);
            assertWithMessage("sends per freed slot of %s hosts", hosts)
                    .that(sends[1])
                    .isAtMost(4);
        }
    }

    /** Twice the capacity, and each caller leaves within 100 ms. */
    @Test
    void nothingWaitsAfterEverybodyHasLeft() {
        WaitingFleet f = fleet(6, true);
        f.leavingShare = 1;
        f.loadOf(WithThreePriorities.KINDS, 40, 2_000);
        f.runUntil(1_500);
        long left = 0;
        f.runUntil(2_150);
        for (WaitingFleet.Host h : f.hosts) {
            left += h.admission.counts().left();
        }
        assertThat(left).isGreaterThan(0);
        f.callersRetry = false;
        f.runUntil(END_MS);
        assertThat(f.totalWaiting()).isEqualTo(0);
        assertThat(f.busy()).isEqualTo(0);
    }

    /** At 0.6 of the capacity nothing waits, and all is served as with refusals at once. */
    @Test
    void nothingChangesWhileThereIsRoom() {
        Outcomes[] o = new Outcomes[2];
        for (int i = 0; i < 2; i++) {
            WaitingFleet f = fleet(6, i == 1);
            o[i] = run(f, WithThreePriorities.KINDS, 0.6);
            assertThat(f.hosts.get(0).admission.counts().started()).isEqualTo(0);
        }
        assertThat(o[1].servedCallers.size()).isEqualTo(o[0].servedCallers.size());
        assertThat(o[1].onTimeShare()).isEqualTo(o[0].onTimeShare());
    }
}
