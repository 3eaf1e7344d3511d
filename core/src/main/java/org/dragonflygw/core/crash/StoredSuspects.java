package org.dragonflygw.core.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.dragonflygw.core.lease.MonotonicClock;

/**
 * Decides what this host keeps in the store about requests and parts of prompts that crash endpoints, in a row of its own.
 * What is blocked is stored, so that it stays blocked when all hosts have restarted. A host that is cut off from many of its peers also
 * stores what it would report to them. Not thread-safe.
 */
public final class StoredSuspects {
    /**
     * Time for which something blocked is expected in the row of another host before this host stores it too, in
     * nanoseconds. The host that saw the last of its losses stores it at once.
     */
    private static final long OTHER_HOST_STORES_NANOS = 3_000_000_000L;

    /** Least time between two writes, in nanoseconds. */
    private static final long MIN_WRITE_INTERVAL_NANOS = 500_000_000L;

    private static final long NANOS_PER_MS = 1_000_000;

    private final String host;
    private final CrashSuspects crashes;
    private final CrashingParts parts;
    private final BooleanSupplier hearsMostPeers;
    private final MonotonicClock clock;
    private final Map<String, Set<Long>> blockedByHost = new HashMap<>();
    private Map<Long, Set<String>> written = Map.of();
    private boolean read;
    private long lastWriteNanos;

    /**
     * Creates the state of a host that has not read the rows yet.
     *
     * @param host name of this host, the key of its row
     * @param hearsMostPeers whether reports arrive from most hosts that are listed in the store
     */
    public StoredSuspects(
            String host,
            CrashSuspects crashes,
            CrashingParts parts,
            BooleanSupplier hearsMostPeers,
            MonotonicClock clock) {
        this.host = host;
        this.crashes = crashes;
        this.parts = parts;
        this.hearsMostPeers = hearsMostPeers;
        this.clock = clock;
        this.lastWriteNanos = clock.nanos() - MIN_WRITE_INTERVAL_NANOS;
    }

    /**
     * Applies a row that was read; the row of this host counts only when its earlier process wrote it.
     *
     * @param owner host that wrote the row
     * @param content content of the row
     * @param ageMs time since the row was written, in milliseconds
     */
    public void onRow(String owner, StoredCrashes content, long ageMs) {
        if (owner.equals(host) && read) {
            return;
        }
        long asOfNanos = clock.nanos() - ageMs * NANOS_PER_MS;
        crashes.accept(new CrashReport(content.requests(), List.of(), List.of()), asOfNanos);
        parts.accept(new PartReport(content.parts(), List.of()), asOfNanos);
        Set<Long> blocked = new HashSet<>(crashes.blockedAmong(content.requests()));
        blocked.addAll(parts.blockedAmong(content.parts(), clock.nanos()));
        blockedByHost.put(owner, blocked);
    }

    /** Records that all rows were read once; this host may then replace its own. */
    public void onRowsRead() {
        read = true;
    }

    /** Returns the new content of this host's row, if it has to be written now. */
    public Optional<StoredCrashes> toWrite() {
        long now = clock.nanos();
        if (!read || now - lastWriteNanos < MIN_WRITE_INTERVAL_NANOS) {
            return Optional.empty();
        }
        boolean alone = !hearsMostPeers.getAsBoolean();
        StoredCrashes content = new StoredCrashes(crashes.toStore(alone, now), parts.toStore(alone, now));
        boolean outdated = !content.endpoints().keySet().containsAll(written.keySet());
        if (!outdated && !(alone ? hasNews(content) : lacksBlocked(content, now))) {
            return Optional.empty();
        }
        lastWriteNanos = now;
        return Optional.of(content);
    }

    /** Whether there is something that peers would be told and that no row names. */
    private boolean hasNews(StoredCrashes content) {
        return content.endpoints().entrySet().stream()
                .anyMatch(e -> !e.getValue().equals(written.get(e.getKey())) && !isBlockedElsewhere(e.getKey()));
    }

    /** Whether something is blocked that no row names, though it should by now. */
    private boolean lacksBlocked(StoredCrashes blocked, long now) {
        return blocked.requests().stream().anyMatch(r -> !isStored(r.fingerprint()) && isDue(r))
                || blocked.parts().stream().anyMatch(p -> !isStored(p.part()) && isDue(p.part(), now));
    }

    private boolean isStored(long subject) {
        return written.containsKey(subject) || isBlockedElsewhere(subject);
    }

    private boolean isBlockedElsewhere(long subject) {
        return blockedByHost.values().stream().anyMatch(stored -> stored.contains(subject));
    }

    private boolean isDue(CrashSuspect request) {
        return crashes.sawLastLoss(request.fingerprint()) || request.ageMs() * NANOS_PER_MS >= OTHER_HOST_STORES_NANOS;
    }

    private boolean isDue(long part, long now) {
        return parts.sawLastLoss(part) || parts.sinceLastLossNanos(part, now) >= OTHER_HOST_STORES_NANOS;
    }

    /** Records that the row was written with this content. */
    public void onWritten(StoredCrashes content) {
        written = content.endpoints();
    }

    /** Records that the store may have lost the row of this host, because it came back from a copy. */
    public void onRowLost() {
        written = Map.of();
        blockedByHost.clear();
    }
}
