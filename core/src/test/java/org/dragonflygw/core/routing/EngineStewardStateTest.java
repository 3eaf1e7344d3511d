package org.dragonflygw.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.threeten.extra.MutableClock;

/**
 * Model-based test: runs random sequences of actions on a steward and compares its grants with the list of grants that
 * must be open. Guards against lost or leaked grants, grants above the bound and requests without a decision.
 */
final class EngineStewardStateTest {
    private static final int SLOTS = 6;
    private static final int QUEUE = 5;
    private static final long EPOCH = 3;

    @Property(tries = 1_000, seed = "20261203")
    void staysWithinBoundAndAnswersEveryRequest(@ForAll("actionChains") ActionChain<Model> chain) {
        Model model = chain.run();
        model.drain();
    }

    @Provide
    Arbitrary<ActionChain<Model>> actionChains() {
        return ActionChain.startWith(Model::new)
                .withAction(6, action(Arbitraries.integers().between(0, 2), Model::acquire))
                .withAction(4, action(Arbitraries.integers().between(0, 9), Model::end))
                .withAction(1, action(Arbitraries.integers().between(0, 9), Model::endWithOldEpoch))
                .withAction(2, action(Arbitraries.integers().between(0, 9), Model::renew))
                .withAction(3, action(Arbitraries.integers().between(100, 6_000), Model::advanceTime))
                .withAction(2, action(Arbitraries.integers().between(1, SLOTS), Model::setBound))
                .withAction(1, action(Arbitraries.integers().between(0, SLOTS), Model::report))
                .withMaxTransformations(60);
    }

    private static Action.Independent<Model> action(Arbitrary<Integer> values, ModelStep step) {
        return () -> values.map(value -> Transformer.mutate("step " + value, model -> {
            step.run(model, value);
            model.check();
        }));
    }

    @FunctionalInterface
    private interface ModelStep {
        void run(Model model, int value);
    }

    private record Open(long grantId, int team, Instant expiry) {}

    private static final class Model {
        private final MutableClock clock = MutableClock.of(Instant.ofEpochSecond(1_000), ZoneOffset.UTC);
        private int bound = SLOTS;
        private final EngineSteward steward =
                new EngineSteward("e1", EPOCH, StewardSettings.of(SLOTS, QUEUE), (own, millis) -> bound, 0, clock);
        private final List<Open> open = new ArrayList<>();
        private final Set<Long> grantIds = new HashSet<>();
        private int requested;
        private int decided;

        private void acquire(int team) {
            requested++;
            int boundBefore = bound;
            int openBefore = open.size();
            SlotRequest request = new SlotRequest(
                    "r" + requested, "t" + team, team + 1, requested, 1, requested, 30_000, 5_000, false, false, false);
            steward.acquire(request, decision -> onDecision(decision, team));
            assertWithMessage("grants above the bound")
                    .that(open.size() <= Math.max(openBefore, boundBefore))
                    .isTrue();
        }

        private void onDecision(SlotDecision decision, int team) {
            decided++;
            if (decision.isGranted()) {
                assertThat(grantIds.add(decision.grantId())).isTrue();
                open.add(new Open(decision.grantId(), team, clock.instant().plusMillis(decision.leaseMillis())));
                assertThat(open.size()).isAtMost(Math.min(bound, SLOTS));
            }
        }

        private void end(int index) {
            if (index < open.size()) {
                Open grant = open.remove(index);
                assertThat(steward.end(grant.grantId(), EPOCH, AttemptOutcome.COMPLETED))
                        .isEqualTo(GrantEndResult.ENDED);
            }
        }

        private void endWithOldEpoch(int index) {
            if (index < open.size()) {
                assertThat(steward.end(open.get(index).grantId(), EPOCH - 1, AttemptOutcome.COMPLETED))
                        .isEqualTo(GrantEndResult.UNKNOWN);
            }
        }

        private void renew(int index) {
            if (index < open.size()) {
                Open grant = open.get(index);
                assertThat(steward.renew(grant.grantId(), EPOCH)).isTrue();
                open.set(
                        index,
                        new Open(grant.grantId(), grant.team(), clock.instant().plusSeconds(20)));
            }
        }

        private void advanceTime(int millis) {
            clock.add(Duration.ofMillis(millis));
            open.removeIf(grant -> !grant.expiry().isAfter(clock.instant()));
            steward.expire();
        }

        private void setBound(int newBound) {
            bound = newBound;
        }

        private void report(int inFlight) {
            steward.onReport(inFlight, false);
        }

        private void check() {
            assertWithMessage("own grants").that(steward.openGrants()).isEqualTo(open.size());
            for (int team = 0; team <= 2; team++) {
                int currentTeam = team;
                long held = open.stream()
                        .filter(grant -> grant.team() == currentTeam)
                        .count();
                assertThat((long) steward.slots("t" + team)).isEqualTo(held);
            }
            assertThat(requested - decided).isAtMost(QUEUE);
        }

        private void drain() {
            bound = SLOTS;
            for (int round = 0; round < 20 && (decided < requested || !open.isEmpty()); round++) {
                advanceTime(6_000);
                while (!open.isEmpty()) {
                    end(0);
                }
            }
            assertWithMessage("requests answered").that(decided).isEqualTo(requested);
        }
    }
}
