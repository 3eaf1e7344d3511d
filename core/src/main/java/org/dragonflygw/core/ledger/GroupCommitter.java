package org.dragonflygw.core.ledger;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflygw.core.storage.CommitResult;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.StorageCode;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.storage.TableStore;

/**
 * Commits many independent writes in one transaction. A row in conflict is taken out and the others are sent again. A
 * transaction whose answer was lost is sent again unchanged: a row that then conflicts and already holds the value of
 * its write was written by the lost one. Throttled writes stay queued; while the service is unavailable new writes
 * fail at once. Any number of threads may call {@link #flush}.
 *
 * <p>Lock order: the monitor of this object guards the queue and is a leaf; no listener, and no call to the store, runs
 * under it.
 */
public final class GroupCommitter implements RowWriter {
    private final TableStore store;
    private final InstantSource clock;
    private final CommitLimits limits;
    private final Runnable wakeUp;
    private final ArrayDeque<PendingWrite> queue = new ArrayDeque<>();
    private long refusedUntilMillis;
    private long heldUntilMillis;
    private long sentTransactions;
    private long sentRows;

    /**
     * Makes a committer without writes.
     *
     * @param store the table service
     * @param clock the clock
     * @param limits bounds
     * @param wakeUp called when a write was queued
     */
    public GroupCommitter(TableStore store, InstantSource clock, CommitLimits limits, Runnable wakeUp) {
        this.store = store;
        this.clock = clock;
        this.limits = limits;
        this.wakeUp = wakeUp;
    }

    @Override
    public void write(Mutation mutation, WriteListener listener) {
        if (!enqueue(new PendingWrite(mutation, listener))) {
            listener.onFailed(StorageCode.UNAVAILABLE);
            return;
        }
        wakeUp.run();
    }

    /** Sends one transaction with the oldest writes; returns the number of writes that were settled. */
    public int flush() {
        List<PendingWrite> unwanted = new ArrayList<>();
        Map<String, PendingWrite> batch = drain(unwanted);
        for (PendingWrite write : unwanted) {
            write.listener().onFailed(StorageCode.UNAVAILABLE);
        }
        int taken = batch.size();
        if (taken > 0) {
            commit(batch);
        }
        return taken + unwanted.size();
    }

    /** Number of writes that wait. */
    public synchronized int queued() {
        return queue.size();
    }

    /** Number of transactions sent. */
    public synchronized long sentTransactions() {
        return sentTransactions;
    }

    /** Number of rows in the transactions sent. */
    public synchronized long sentRows() {
        return sentRows;
    }

    private synchronized boolean enqueue(PendingWrite write) {
        if (queue.size() >= limits.maxQueued() || clock.millis() < refusedUntilMillis) {
            return false;
        }
        queue.add(write);
        return true;
    }

    private synchronized Map<String, PendingWrite> drain(List<PendingWrite> unwanted) {
        Map<String, PendingWrite> batch = new LinkedHashMap<>();
        List<PendingWrite> sameRow = new ArrayList<>();
        if (clock.millis() < heldUntilMillis) {
            return batch;
        }
        while (batch.size() < limits.maxRows() && !queue.isEmpty()) {
            PendingWrite write = queue.poll();
            if (!write.listener().isWanted()) {
                unwanted.add(write);
            } else if (batch.putIfAbsent(write.mutation().key(), write) != null) {
                sameRow.add(write);
            }
        }
        for (int i = sameRow.size() - 1; i >= 0; i--) {
            queue.addFirst(sameRow.get(i));
        }
        return batch;
    }

    private void commit(Map<String, PendingWrite> batch) {
        int tries = 0;
        while (!batch.isEmpty()) {
            try {
                CommitResult result = send(batch);
                if (result.committed()) {
                    succeed(batch);
                    return;
                }
                if (!settleConflicts(batch, result.conflicts())) {
                    fail(batch, StorageCode.OUTCOME_UNKNOWN);
                    return;
                }
            } catch (RuntimeException e) {
                tries++;
                boolean unknown = !(e instanceof StorageException s) || s.outcomeUnknown();
                if (unknown && tries < limits.maxTries()) {
                    continue;
                }
                if (tries == 1 && e instanceof StorageException s && s.code() == StorageCode.THROTTLED) {
                    requeue(batch);
                    return;
                }
                refuseForAWhile();
                fail(batch, tries == 1 && !unknown ? StorageCode.UNAVAILABLE : StorageCode.OUTCOME_UNKNOWN);
                return;
            }
        }
    }

    private synchronized void requeue(Map<String, PendingWrite> batch) {
        List<PendingWrite> writes = new ArrayList<>(batch.values());
        for (int i = writes.size() - 1; i >= 0; i--) {
            queue.addFirst(writes.get(i));
        }
        heldUntilMillis = clock.millis() + limits.backoffMillis();
    }

    private synchronized void refuseForAWhile() {
        refusedUntilMillis = clock.millis() + limits.backoffMillis();
    }

    private CommitResult send(Map<String, PendingWrite> batch) {
        List<Mutation> mutations = new ArrayList<>(batch.size());
        for (PendingWrite write : batch.values()) {
            mutations.add(write.mutation());
        }
        synchronized (this) {
            sentTransactions++;
            sentRows += mutations.size();
        }
        return store.commit(mutations);
    }

    private static void succeed(Map<String, PendingWrite> batch) {
        for (PendingWrite write : batch.values()) {
            write.listener().onWritten(write.mutation().expectedVersion() + 1);
        }
    }

    private static boolean settleConflicts(Map<String, PendingWrite> batch, List<TableRow> conflicts) {
        boolean settled = false;
        for (TableRow row : conflicts) {
            PendingWrite write = batch.remove(row.key());
            if (write == null) {
                continue;
            }
            settled = true;
            if (write.mutation().value().equals(Optional.of(row.value()))) {
                write.listener().onWritten(row.version());
            } else {
                write.listener().onConflict(row);
            }
        }
        return settled;
    }

    private static void fail(Map<String, PendingWrite> batch, StorageCode code) {
        for (PendingWrite write : batch.values()) {
            write.listener().onFailed(code);
        }
    }

    private record PendingWrite(Mutation mutation, WriteListener listener) {}
}
