package org.dragonflygw.bench.ledger;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.ledger.AnswerStore;
import org.dragonflygw.core.ledger.ClaimOwner;
import org.dragonflygw.core.ledger.LedgerDependencies;
import org.dragonflygw.core.ledger.LedgerLimits;
import org.dragonflygw.core.ledger.OwnerLiveness;
import org.dragonflygw.core.ledger.RowWriter;
import org.dragonflygw.core.ledger.Submission;
import org.dragonflygw.core.ledger.SubmissionLedger;
import org.dragonflygw.core.storage.CommitResult;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.ObjectStore;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.storage.TableStore;
import org.dragonflygw.core.timeline.EventRecorder;

/** Measures the heap retained by an open claim and the size of its row in the table service. */
final class ClaimMemory {
    private static final int CLAIMS = 20_000;
    private static final int GC_RUNS = 4;
    private static final long DEADLINE_SECONDS = 30;

    private long rowBytes;

    private ClaimMemory() {}

    /** Opens {@value #CLAIMS} claims and returns the mean size of one. */
    static ClaimSize measure() {
        ClaimMemory memory = new ClaimMemory();
        SubmissionLedger ledger = memory.ledger();
        List<Object> held = new ArrayList<>(CLAIMS);
        long before = usedBytes();
        for (int i = 0; i < CLAIMS; i++) {
            held.add(ledger.claim(new Submission(
                    "req-" + i, "clerks", "fees", "key-" + i, i, Instant.now().plusSeconds(DEADLINE_SECONDS))));
        }
        long heapBytes = (usedBytes() - before) / CLAIMS;
        return new ClaimSize(heapBytes, memory.rowBytes / CLAIMS, ledger.openClaims() + held.size() - CLAIMS);
    }

    private SubmissionLedger ledger() {
        RowWriter writer = (mutation, listener) -> {
            rowBytes += mutation.key().length() + mutation.value().orElse("").length();
            listener.onWritten(1);
        };
        return new SubmissionLedger(new LedgerDependencies(
                "peachtree",
                new ClaimOwner("router-1", 1),
                writer,
                EmptyStore.INSTANCE,
                new AnswerStore(EmptyStore.INSTANCE, "peachtree"),
                (delay, task) -> {},
                InstantSource.system(),
                System::nanoTime,
                OwnerLiveness.ASSUME_LIVE,
                EventRecorder.DISCARD,
                LedgerLimits.DEFAULT));
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Size of one open claim.
     *
     * @param heapBytes heap of the daemon, in bytes
     * @param rowBytes key and value of the row in the table service, counted in characters
     * @param claims number of claims open during the measurement
     */
    record ClaimSize(long heapBytes, long rowBytes, int claims) {}

    private enum EmptyStore implements TableStore, ObjectStore {
        INSTANCE;

        @Override
        public Optional<TableRow> read(String table, String key) {
            return Optional.empty();
        }

        @Override
        public List<TableRow> scan(String table, String prefix, String afterKey, int limit) {
            return List.of();
        }

        @Override
        public CommitResult commit(List<Mutation> mutations) {
            return CommitResult.success();
        }

        @Override
        public void put(String key, byte[] content) {}

        @Override
        public byte[] get(String key) {
            return new byte[0];
        }
    }
}
