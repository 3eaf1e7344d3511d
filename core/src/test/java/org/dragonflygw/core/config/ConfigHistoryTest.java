package org.dragonflygw.core.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.dragonflygw.core.timeline.EventRecorder;

/** Runs operators and daemons against a faulty store; the oracle is the list of accepted digests by number. */
class ConfigHistoryTest {
    private static final int DAEMONS = 4;
    private static final int OPERATORS = 3;
    private static final int FAULTY_CALLS = 5;

    @Property(seed = "20261203", tries = 300)
    void neverGoesBackAndKeepsOneHistory(@ForAll("runs") ActionChain<Fleet> runs) {
        Fleet fleet = runs.run();
        fleet.heal();
        fleet.checkEnd();
    }

    @Provide
    Arbitrary<ActionChain<Fleet>> runs() {
        return ActionChain.startWith(Fleet::new)
                .withAction(step(Arbitraries.integers().between(0, OPERATORS - 1), Fleet::apply))
                .withAction(step(Arbitraries.integers().between(0, DAEMONS - 1), Fleet::poll))
                .withAction(step(Arbitraries.integers().between(0, DAEMONS - 1), Fleet::gossip))
                .withAction(step(Arbitraries.integers().between(0, DAEMONS - 1), Fleet::restart))
                .withAction(step(Arbitraries.of(Fault.class), Fleet::fault))
                .withMaxTransformations(60);
    }

    private static <T> Action.Independent<Fleet> step(Arbitrary<T> which, BiConsumer<Fleet, T> step) {
        return () -> which.map(value -> Transformer.mutate("step " + value, fleet -> step.accept(fleet, value)));
    }

    /** The system under test with its oracle. */
    static final class Fleet {
        private final FaultyStore storage = new FaultyStore();
        private final ConfigStore store = new ConfigStore(storage, storage, "test");
        private final ConfigPublisher publisher = new ConfigPublisher(
                store, new SheetReader(), InstantSource.fixed(Instant.EPOCH), EventRecorder.DISCARD);
        private final List<ActiveSheetHolder> daemons = new ArrayList<>();
        private final long[] seen = new long[OPERATORS];
        private final String[] pendingToken = new String[OPERATORS];
        private final Map<Long, String> accepted = new HashMap<>();
        private int applies;

        Fleet() {
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(newDaemon());
            }
        }

        void apply(int operator) {
            String token = pendingToken[operator];
            if (token == null) {
                applies++;
                token = operator + ":" + applies;
            }
            byte[] sheet = new SheetWriter().write(Sheets.sheet(1, 1 + token.hashCode() % 7 + 7));
            try {
                finish(operator, publisher.apply(sheet, seen[operator], token, "operator-" + operator));
                pendingToken[operator] = null;
            } catch (ConfigException e) {
                boolean undecided = pendingToken[operator] != null || e.code() == ConfigCode.OUTCOME_UNKNOWN;
                pendingToken[operator] = undecided ? token : null;
            }
        }

        private void finish(int operator, ApplyResult result) {
            if (result instanceof ApplyResult.Accepted ok) {
                String other =
                        accepted.putIfAbsent(ok.version().number(), ok.version().digest());
                assertThat(other).isAnyOf(null, ok.version().digest());
                seen[operator] = Math.max(seen[operator], ok.version().number());
                daemons.get(operator).observeVersion(ok.version().version());
            } else if (result instanceof ApplyResult.Conflict conflict) {
                long winner = conflict.winner().map(AppliedVersion::number).orElse(0L);
                assertWithMessage("a conflict names another version")
                        .that(winner)
                        .isNotEqualTo(seen[operator]);
                seen[operator] = winner;
            }
        }

        void poll(int daemon) {
            observe(daemon, () -> {
                Optional<AppliedVersion> version = store.readVersion();
                version.ifPresent(row -> daemons.get(daemon).observeVersion(row.version()));
                fetch(daemon);
            });
        }

        void gossip(int daemon) {
            ActiveSheetHolder peer = daemons.get((daemon + 1) % DAEMONS);
            observe(daemon, () -> {
                daemons.get(daemon).observeVersion(peer.newestVersion());
                fetch(daemon);
            });
        }

        void restart(int daemon) {
            daemons.set(daemon, newDaemon());
        }

        void fault(Fault fault) {
            if (fault == Fault.STALE_READS) {
                storage.takeSnapshot();
            }
            storage.deliverDelayed();
            storage.failNext(fault, FAULTY_CALLS);
        }

        void heal() {
            storage.failNext(Fault.NONE, 0);
            storage.deliverDelayed();
            for (int operator = 0; operator < OPERATORS; operator++) {
                if (pendingToken[operator] != null) {
                    apply(operator);
                }
            }
        }

        void checkEnd() {
            long newest =
                    accepted.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
            assertThat(accepted).hasSize((int) newest);
            for (int i = 0; i < DAEMONS; i++) {
                poll(i);
                SheetVersion version = daemons.get(i).current().version();
                assertThat(version.number()).isEqualTo(newest);
                assertThat(version.digest()).isEqualTo(accepted.getOrDefault(newest, ""));
            }
        }

        private void observe(int daemon, Runnable step) {
            long before = daemons.get(daemon).current().version().number();
            try {
                step.run();
            } catch (ConfigException e) {
                assertThat(e.code()).isEqualTo(ConfigCode.STORE_UNAVAILABLE);
            }
            assertThat(daemons.get(daemon).current().version().number()).isAtLeast(before);
        }

        private void fetch(int daemon) {
            ActiveSheetHolder holder = daemons.get(daemon);
            holder.pendingVersion().ifPresent(version -> holder.offer(version, store.readContent(version.digest())));
        }

        private static ActiveSheetHolder newDaemon() {
            return new ActiveSheetHolder(new SheetReader(), EventRecorder.DISCARD);
        }
    }
}
