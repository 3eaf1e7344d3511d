package org.dragonflygw.core.crash;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * Decides what this host keeps in the store about requests that crash endpoints, in a row of its own. Blocked requests are
 * stored, so that they stay blocked when all hosts have restarted. A host that does not hear from some of its peers also
 * stores what it would report to them. Not thread-safe.
 */
public final class StoredSuspects {
    /**
     * Time for which a blocked request is expected in the row of another host before this host stores it too, in
     * nanoseconds. The host that saw the last of its losses stores it at once.
     */
    private static final long OTHER_HOST_STORES_NANOS = 3_000_000_000L;

    /** Least time between two writes, in nanoseconds. */
    private static final long MIN_WRITE_INTERVAL_NANOS = 500_000_000L;

    private static final long NANOS_PER_MS = 1_000_000;

    private final String host;
    private final CrashSuspects crashes;
    private final BooleanSupplier hearsAllPeers;
    private final MonotonicClock clock;
    private final Map<String, Set<Long>> blockedByHost = new HashMap<>();
    private Map<Long, Set<String>> written = Map.of();
    private boolean read;
    private long lastWriteNanos;

    /**
     * Creates the state of a host that has not read the rows yet.
     *
     * @param host name of this host, the key of its row
     * @param hearsAllPeers whether reports arrive from all hosts that are listed in the store
     */
    public StoredSuspects(String host, CrashSuspects crashes, BooleanSupplier hearsAllPeers, MonotonicClock clock) {
        this.host = host;
        this.crashes = crashes;
        this.hearsAllPeers = hearsAllPeers;
        this.clock = clock;
        this.lastWriteNanos = clock.nanos() - MIN_WRITE_INTERVAL_NANOS;
    }

    /**
     * Applies a row that was read; the row of this host counts only when its earlier process wrote it.
     *
     * @param owner host that wrote the row
     * @param suspects content of the row
     * @param ageMs time since the row was written, in milliseconds
     */
    public void onRow(String owner, List<CrashSuspect> suspects, long ageMs) {
        if (owner.equals(host) && read) {
            return;
        }
        long asOfNanos = clock.nanos() - ageMs * NANOS_PER_MS;
        crashes.accept(new CrashReport(suspects, List.of(), List.of()), asOfNanos);
        blockedByHost.put(owner, crashes.blockedAmong(suspects));
    }

    /** Records that all rows were read once; this host may then replace its own. */
    public void onRowsRead() {
        read = true;
    }

    /** Returns the new content of this host's row, if it has to be written now. */
    public Optional<List<CrashSuspect>> toWrite() {
        long now = clock.nanos();
        if (!read || now - lastWriteNanos < MIN_WRITE_INTERVAL_NANOS) {
            return Optional.empty();
        }
        boolean alone = !hearsAllPeers.getAsBoolean();
        List<CrashSuspect> content = crashes.toStore(alone, now);
        if (endpoints(content).equals(written) || (!alone && !mustWrite(content))) {
            return Optional.empty();
        }
        lastWriteNanos = now;
        return Optional.of(content);
    }

    /** Whether the row names requests that are no longer blocked, or lacks one that no other row names. */
    private boolean mustWrite(List<CrashSuspect> blocked) {
        Map<Long, Set<String>> current = endpoints(blocked);
        if (!current.keySet().containsAll(written.keySet())) {
            return true;
        }
        return blocked.stream().anyMatch(s -> !isStored(s.fingerprint()) && isDue(s));
    }

    private boolean isStored(long fingerprint) {
        return written.containsKey(fingerprint)
                || blockedByHost.values().stream().anyMatch(stored -> stored.contains(fingerprint));
    }

    private boolean isDue(CrashSuspect suspect) {
        return crashes.sawLastLoss(suspect.fingerprint()) || suspect.ageMs() * NANOS_PER_MS >= OTHER_HOST_STORES_NANOS;
    }

    /** Records that the row was written with this content. */
    public void onWritten(List<CrashSuspect> content) {
        written = endpoints(content);
    }

    /** Records that the store may have lost the row of this host, because it came back from a copy. */
    public void onRowLost() {
        written = Map.of();
        blockedByHost.clear();
    }

    private static Map<Long, Set<String>> endpoints(List<CrashSuspect> suspects) {
        Map<Long, Set<String>> endpoints = new HashMap<>();
        suspects.forEach(s -> endpoints.put(s.fingerprint(), s.endpoints()));
        return endpoints;
    }
}
