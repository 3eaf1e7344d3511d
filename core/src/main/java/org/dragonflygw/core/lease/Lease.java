package org.dragonflygw.core.lease;

import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.storage.CommitResult;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.storage.TableStore;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/**
 * Distributed lease on one row of the table store, as seen by one daemon. The row changes by compare-and-swap only.
 *
 * <p>The holder counts the term from before its write is sent, on a clock that keeps running while the process is
 * paused, and stops acting a margin before the end of the term. Other daemons do not depend on the holder's clock: they
 * take the lease over once they have seen the row unchanged for the term plus a grace period on their own clock. Each
 * change of the holder raises the fencing token. After a write whose response is lost, the daemon does not hold the
 * lease until a later write shows whether the lost one took effect.
 *
 * <p>Thread-safe. Guarded by its own monitor, which stays locked during calls to the table store.
 */
public final class Lease {
    /** Table that stores one row for each lease. */
    public static final String TABLE = "leases";

    private final String key;
    private final String name;
    private final String daemonId;
    private final long incarnation;
    private final TableStore tables;
    private final MonotonicClock clock;
    private final LeaseSettings settings;
    private final EventRecorder events;
    private LeaseRow row = LeaseRow.NONE;
    private long version;
    private long rowObservedNanos;
    private boolean rowKnown;
    private boolean held;
    private long termStartNanos;

    /**
     * Creates a lease that this daemon does not hold yet.
     *
     * @param deployment deployment of the fleet; the first part of the row's key
     * @param name name of the lease; the second part of the row's key
     * @param daemonId id of this daemon
     * @param incarnation incarnation of this daemon; a restarted daemon does not continue the lease of its predecessor
     * @param clock clock that keeps running while the process is paused
     */
    public Lease(
            String deployment,
            String name,
            String daemonId,
            long incarnation,
            TableStore tables,
            MonotonicClock clock,
            LeaseSettings settings,
            EventRecorder events) {
        this.key = deployment + "/" + name;
        this.name = name;
        this.daemonId = daemonId;
        this.incarnation = incarnation;
        this.tables = tables;
        this.clock = clock;
        this.settings = settings;
        this.events = events;
    }

    public String name() {
        return name;
    }

    /** Whether this daemon holds the lease and may act under it now. Call before each protected action. */
    public synchronized boolean isHeldNow() {
        return held
                && elapsed(termStartNanos)
                        < settings.term().minus(settings.margin()).toNanos();
    }

    /**
     * Returns the fencing token for an action that is performed now.
     *
     * @throws LeaseException with {@link LeaseCode#NOT_HELD} if this daemon does not hold the lease
     */
    public synchronized long requireFencingToken() {
        if (!isHeldNow()) {
            throw new LeaseException(LeaseCode.NOT_HELD, "lease " + name + " is not held by daemon " + daemonId);
        }
        return row.fencing();
    }

    /** Whether this daemon holds the lease and {@link #acquireOrRenew} would renew it now. */
    public synchronized boolean needsRenewal() {
        return held
                && elapsed(termStartNanos)
                        >= settings.term().minus(settings.renewBefore()).toNanos();
    }

    /**
     * Renews the lease if it is due, or acquires it if it is free or its holder has not renewed it in time.
     *
     * @return whether this daemon holds the lease now
     * @throws StorageException if the table store could not be reached or its response was lost; a held lease stays
     *     valid until the end of its term
     */
    public synchronized boolean acquireOrRenew() {
        if (isHeldNow() && !needsRenewal()) {
            return true;
        }
        dropIfExpired();
        if (!held) {
            refreshRow();
        }
        if (!held && !mayAcquire()) {
            return false;
        }
        LeaseRow next = held
                ? new LeaseRow(daemonId, incarnation, row.fencing(), row.renewal() + 1)
                : new LeaseRow(daemonId, incarnation, row.fencing() + 1, 0);
        return writeRow(next);
    }

    /**
     * Releases the lease if this daemon holds it, so that another daemon can acquire it at once.
     *
     * @throws StorageException if the row could not be written or the outcome is unknown; the lease is no longer held
     */
    public synchronized void release() {
        if (!held) {
            return;
        }
        held = false;
        LeaseRow free = new LeaseRow("", 0, row.fencing(), 0);
        if (commit(free).committed()) {
            setRow(free, version + 1);
            events.record(EventType.LEASE_RELEASED, EventSubject.lease(name), "fencing " + free.fencing());
        }
    }

    private void dropIfExpired() {
        if (held && !isHeldNow()) {
            held = false;
            events.record(EventType.LEASE_LOST, EventSubject.lease(name), "fencing " + row.fencing() + ", lapsed");
        }
    }

    private void refreshRow() {
        Optional<TableRow> read = tables.read(TABLE, key);
        long readVersion = read.map(TableRow::version).orElse(0L);
        if (!rowKnown || readVersion > version) {
            setRow(read.map(found -> LeaseRow.decode(found.value())).orElse(LeaseRow.NONE), readVersion);
        }
    }

    private boolean mayAcquire() {
        return row.isFree()
                || elapsed(rowObservedNanos)
                        >= settings.term().plus(settings.grace()).toNanos();
    }

    private boolean writeRow(LeaseRow next) {
        long sentNanos = clock.nanos();
        boolean renewal = held;
        CommitResult result = commit(next);
        if (!result.committed()) {
            held = false;
            handleConflict(result.conflicts());
            return false;
        }
        setRow(next, version + 1);
        held = true;
        termStartNanos = sentNanos;
        events.record(
                renewal ? EventType.LEASE_RENEWED : EventType.LEASE_ACQUIRED,
                EventSubject.lease(name),
                "fencing " + next.fencing());
        return isHeldNow();
    }

    private CommitResult commit(LeaseRow next) {
        return tables.commit(List.of(Mutation.replace(TABLE, key, version, next.encode())));
    }

    /**
     * Takes over the current row from a conflict. The row may be an earlier write of this daemon whose response was
     * lost.
     */
    private void handleConflict(List<TableRow> conflicts) {
        for (TableRow conflict : conflicts) {
            LeaseRow found = conflict.version() == 0 ? LeaseRow.NONE : LeaseRow.decode(conflict.value());
            setRow(found, conflict.version());
        }
        if (!row.isHeldBy(daemonId, incarnation)) {
            events.record(EventType.LEASE_LOST, EventSubject.lease(name), "held by " + row.holder());
        }
    }

    private void setRow(LeaseRow found, long foundVersion) {
        row = found;
        version = foundVersion;
        rowObservedNanos = clock.nanos();
        rowKnown = true;
    }

    private long elapsed(long sinceNanos) {
        return clock.nanos() - sinceNanos;
    }
}
