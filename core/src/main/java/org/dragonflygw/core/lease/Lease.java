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
 * One lease as one daemon sees it: a row that is changed by compare-and-swap only. The holder counts its term from before
 * the write was sent, on a clock that goes on through pauses, and acts no more from a margin before the end. Others do not
 * read clocks of the holder: they take over when they have seen the row unchanged for the term and a grace on their own
 * clock. Each change of the holder raises the fencing number. A write with a lost answer holds nothing until a later write
 * shows what became of it. Guarded by its own monitor, which is held while the table service is called.
 */
public final class Lease {
    /** Table of the leases. */
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
    private long seenNanos;
    private boolean seen;
    private boolean granted;
    private long grantedNanos;

    /**
     * Makes a lease that is not held.
     *
     * @param deployment deployment, the first part of the row's key
     * @param name name of the lease
     * @param daemonId this daemon
     * @param incarnation incarnation of this daemon
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

    /** Name of the lease. */
    public String name() {
        return name;
    }

    /** Whether this daemon may act now; to be asked before each act. */
    public synchronized boolean isHeldNow() {
        return granted
                && elapsed(grantedNanos)
                        < settings.term().minus(settings.margin()).toNanos();
    }

    /** The fencing number, for an act now; throws {@link LeaseException} when the lease is not held. */
    public synchronized long requireFencingToken() {
        if (!isHeldNow()) {
            throw new LeaseException(LeaseCode.NOT_HELD, "lease " + name + " is not held");
        }
        return row.fencing();
    }

    /** Whether a call of {@link #acquireOrRenew} would do anything for the holder now. */
    public synchronized boolean needsRenewal() {
        return granted
                && elapsed(grantedNanos)
                        >= settings.term().minus(settings.renewBefore()).toNanos();
    }

    /**
     * Renews the lease, or takes it when it is free or its holder has not renewed it in time.
     *
     * @return whether this daemon holds it now
     * @throws StorageException when the table service gave no decision; a held lease goes on until its end
     */
    public synchronized boolean acquireOrRenew() {
        if (isHeldNow() && !needsRenewal()) {
            return true;
        }
        dropIfLapsed();
        if (!granted) {
            look();
        }
        if (!granted && !mayTake()) {
            return false;
        }
        LeaseRow next = granted
                ? new LeaseRow(daemonId, incarnation, row.fencing(), row.renewal() + 1)
                : new LeaseRow(daemonId, incarnation, row.fencing() + 1, 0);
        return write(next);
    }

    /** Gives the lease up, so that another daemon can take it at once; throws {@link StorageException}. */
    public synchronized void release() {
        if (!granted) {
            return;
        }
        granted = false;
        LeaseRow free = new LeaseRow("", 0, row.fencing(), 0);
        if (commit(free).committed()) {
            noteRow(free, version + 1);
            events.record(EventType.LEASE_RELEASED, EventSubject.lease(name), "fencing " + free.fencing());
        }
    }

    private void dropIfLapsed() {
        if (granted && !isHeldNow()) {
            granted = false;
            events.record(EventType.LEASE_LOST, EventSubject.lease(name), "fencing " + row.fencing() + ", lapsed");
        }
    }

    private void look() {
        Optional<TableRow> read = tables.read(TABLE, key);
        long readVersion = read.map(TableRow::version).orElse(0L);
        if (!seen || readVersion > version) {
            noteRow(read.map(found -> LeaseRow.decode(found.value())).orElse(LeaseRow.NONE), readVersion);
        }
    }

    private boolean mayTake() {
        return row.isFree()
                || elapsed(seenNanos) >= settings.term().plus(settings.grace()).toNanos();
    }

    private boolean write(LeaseRow next) {
        long sentNanos = clock.nanos();
        boolean renews = granted;
        CommitResult result = commit(next);
        if (!result.committed()) {
            granted = false;
            noteConflict(result.conflicts());
            return false;
        }
        noteRow(next, version + 1);
        granted = true;
        grantedNanos = sentNanos;
        events.record(
                renews ? EventType.LEASE_RENEWED : EventType.LEASE_ACQUIRED,
                EventSubject.lease(name),
                "fencing " + next.fencing());
        return isHeldNow();
    }

    private CommitResult commit(LeaseRow next) {
        return tables.commit(List.of(Mutation.replace(TABLE, key, version, next.encode())));
    }

    /** A conflict shows the row as it is; the row may be this daemon's own write whose answer was lost. */
    private void noteConflict(List<TableRow> conflicts) {
        for (TableRow conflict : conflicts) {
            LeaseRow found = conflict.version() == 0 ? LeaseRow.NONE : LeaseRow.decode(conflict.value());
            noteRow(found, conflict.version());
        }
        if (!row.isHeldBy(daemonId, incarnation)) {
            events.record(EventType.LEASE_LOST, EventSubject.lease(name), "held by " + row.holder());
        }
    }

    private void noteRow(LeaseRow found, long foundVersion) {
        row = found;
        version = foundVersion;
        seenNanos = clock.nanos();
        seen = true;
    }

    private long elapsed(long sinceNanos) {
        return clock.nanos() - sinceNanos;
    }
}
