package org.dragonflygw.core.lease;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.dragonflygw.core.storage.FaultyStore;
import org.dragonflygw.core.storage.FaultyStore.Fault;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.timeline.EventRecorder;

/**
 * Runs daemons that compete for one lease. The oracle is an engine that keeps the highest fencing number and the daemon
 * that used it: a number never belongs to two daemons, and at most one daemon holds the lease at a time.
 */
class LeaseHistoryTest {
    private static final int DAEMONS = 3;

    @Property(seed = "20261203", tries = 500)
    void hasOneHolderAndRisingNumbers(@ForAll("runs") ActionChain<Fleet> runs) {
        runs.run();
    }

    @Provide
    Arbitrary<ActionChain<Fleet>> runs() {
        Arbitrary<Integer> daemon = Arbitraries.integers().between(0, DAEMONS - 1);
        return ActionChain.startWith(Fleet::new)
                .withAction(4, step(daemon, Fleet::tryHold))
                .withAction(2, step(daemon, Fleet::act))
                .withAction(3, step(Arbitraries.integers().between(1, 20), Fleet::pass))
                .withAction(step(daemon, Fleet::restart))
                .withAction(step(daemon, Fleet::release))
                .withAction(2, step(Arbitraries.of(Fault.class), Fleet::fault))
                .withMaxTransformations(80);
    }

    private static <T> Action.Independent<Fleet> step(Arbitrary<T> which, BiConsumer<Fleet, T> step) {
        return () -> which.map(value -> Transformer.mutate("step " + value, fleet -> step.accept(fleet, value)));
    }

    /** The system under test with its oracle. */
    static final class Fleet {
        private final FaultyStore store = new FaultyStore();
        private final List<Lease> leases = new ArrayList<>();
        private final List<Long> incarnations = new ArrayList<>();
        private long nanos;
        private long highest;
        private String highestUser = "";

        Fleet() {
            for (int i = 0; i < DAEMONS; i++) {
                incarnations.add(1L);
                leases.add(newLease(i));
            }
        }

        void tryHold(int daemon) {
            try {
                leases.get(daemon).acquireOrRenew();
            } catch (StorageException e) {
                assertWithMessage("code").that(e.code()).isNotNull();
            }
            checkOneHolder();
        }

        void act(int daemon) {
            Lease lease = leases.get(daemon);
            if (!lease.isHeldNow()) {
                return;
            }
            long fencing = lease.requireFencingToken();
            String user = daemon + "/" + incarnations.get(daemon);
            assertWithMessage("fencing of %s", user).that(fencing).isAtLeast(highest);
            if (fencing == highest) {
                assertWithMessage("user of %s", fencing).that(user).isEqualTo(highestUser);
            }
            highest = fencing;
            highestUser = user;
        }

        void pass(int seconds) {
            nanos += Duration.ofSeconds(seconds).toNanos();
            checkOneHolder();
        }

        void restart(int daemon) {
            incarnations.set(daemon, incarnations.get(daemon) + 1);
            leases.set(daemon, newLease(daemon));
        }

        void release(int daemon) {
            try {
                leases.get(daemon).release();
            } catch (StorageException e) {
                assertWithMessage("held after a release")
                        .that(leases.get(daemon).isHeldNow())
                        .isFalse();
            }
        }

        void fault(Fault fault) {
            if (fault == Fault.STALE_READS) {
                store.takeSnapshot();
            }
            store.deliverDelayed();
            store.failNext(fault, 3);
        }

        private void checkOneHolder() {
            long holders = leases.stream().filter(Lease::isHeldNow).count();
            assertWithMessage("holders").that(holders).isAtMost(1);
        }

        private Lease newLease(int daemon) {
            return new Lease(
                    "test",
                    "pool",
                    "d" + daemon,
                    incarnations.get(daemon),
                    store,
                    () -> nanos,
                    LeaseSettings.DEFAULT,
                    EventRecorder.DISCARD);
        }
    }
}
