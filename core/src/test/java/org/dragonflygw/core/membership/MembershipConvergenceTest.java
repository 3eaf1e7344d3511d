package org.dragonflygw.core.membership;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/** Runs cuts, pauses, restarts and stops of daemons; the oracle is the set of daemons that run. */
class MembershipConvergenceTest {
    private static final int DAEMONS = 6;
    private static final int ROUNDS_TO_HEAL = 90;

    @Property(seed = "20261203", tries = 150)
    void convergesOnTheRunningDaemons(@ForAll("runs") ActionChain<Fleet> runs) {
        Fleet fleet = runs.run();
        fleet.heal();
        assertWithMessage("running: %s", fleet.net.running())
                .that(fleet.net.converged())
                .isTrue();
    }

    @Provide
    Arbitrary<ActionChain<Fleet>> runs() {
        Arbitrary<Integer> daemon = Arbitraries.integers().between(0, DAEMONS - 1);
        return ActionChain.startWith(Fleet::new)
                .withAction(3, step(Arbitraries.integers().between(1, 40), (fleet, n) -> fleet.rounds(n)))
                .withAction(step(daemon, Fleet::isolate))
                .withAction(step(daemon, Fleet::cutOneWay))
                .withAction(step(daemon, (fleet, n) -> fleet.net.paused.add("d" + n)))
                .withAction(step(daemon, (fleet, n) -> fleet.net.paused.remove("d" + n)))
                .withAction(step(daemon, (fleet, n) -> fleet.net.start("d" + n, "r1")))
                .withAction(step(daemon, Fleet::stop))
                .withAction(step(daemon, Fleet::leave))
                .withMaxTransformations(40);
    }

    private static <T> Action.Independent<Fleet> step(Arbitrary<T> which, BiConsumer<Fleet, T> step) {
        return () -> which.map(value -> Transformer.mutate("step " + value, fleet -> step.accept(fleet, value)));
    }

    /** The system under test with its oracle. */
    static final class Fleet {
        private final GossipTestNetwork net = GossipTestNetwork.of(DAEMONS);
        private final Set<String> cut = new HashSet<>();

        Fleet() {
            net.connect((from, to) -> !cut.contains(from + to) && !cut.contains(from) && !cut.contains(to));
            net.rounds(8);
        }

        void rounds(int count) {
            net.seed();
            net.rounds(count);
            for (String id : net.running()) {
                boolean seesItself = net.nodes.get(id).protocol.members().stream()
                        .anyMatch(member -> member.daemonId().equals(id));
                assertWithMessage("%s sees itself", id).that(seesItself).isTrue();
            }
        }

        void isolate(int daemon) {
            toggle("d" + daemon);
        }

        void cutOneWay(int daemon) {
            toggle("d" + daemon + "d" + (daemon + 1) % DAEMONS);
        }

        void stop(int daemon) {
            if (net.running().size() > 2) {
                net.stop("d" + daemon);
            }
        }

        void leave(int daemon) {
            if (net.running().size() > 2 && net.running().contains("d" + daemon)) {
                net.nodes.get("d" + daemon).protocol.announceLeaving();
                net.rounds(1);
                net.stop("d" + daemon);
            }
        }

        void heal() {
            cut.clear();
            net.paused.clear();
            net.seed();
            net.rounds(ROUNDS_TO_HEAL);
        }

        private void toggle(String link) {
            if (!cut.remove(link)) {
                cut.add(link);
            }
        }
    }
}
