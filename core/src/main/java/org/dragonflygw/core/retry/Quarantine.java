package org.dragonflygw.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Fingerprints of requests that were in flight on engines that were lost. After one lost engine a fingerprint is a
 * suspect: one attempt at a time is allowed, and a whole answer clears it. After two different engines it is
 * quarantined. Each daemon has one; the daemon that owns a fingerprint by hashing decides about attempts, the others
 * learn from gossip. Bounded: the fingerprint changed longest ago goes first. Guarded by its own monitor, which is a
 * leaf of the lock order.
 */
public final class Quarantine {
    private static final int ENGINES_TO_QUARANTINE = 2;
    private static final Duration SUSPECT_FOR = Duration.ofMinutes(2);
    private static final Duration QUARANTINE_FOR = Duration.ofMinutes(10);
    private static final Duration SOLO_LEASE = Duration.ofSeconds(30);

    private final int capacity;
    private final InstantSource clock;
    private final LinkedHashMap<Long, Suspect> suspects = new LinkedHashMap<>();

    /**
     * Makes an empty quarantine.
     *
     * @param capacity greatest number of fingerprints kept
     * @param clock time
     */
    public Quarantine(int capacity, InstantSource clock) {
        this.capacity = capacity;
        this.clock = clock;
    }

    /**
     * Notes that an engine was lost while it ran the request. Several attempts on the same engine count once.
     *
     * @return number of different engines lost so far
     */
    public synchronized int onEngineLost(long fingerprint, String endpointId, String requestId) {
        Instant now = clock.instant();
        Suspect suspect = live(fingerprint, now);
        if (suspect == null) {
            suspect = new Suspect();
        }
        suspect.endpoints.add(endpointId);
        suspect.crashes = Math.max(suspect.crashes, suspect.endpoints.size());
        if (suspect.soloHolder.equals(requestId)) {
            suspect.soloHolder = "";
        }
        extend(fingerprint, suspect, now);
        return suspect.crashes;
    }

    /** Asks whether a request may be attempted; a solo attempt is held until its end or a timeout. */
    public synchronized SuspectVerdict requestAttempt(long fingerprint, String requestId) {
        Instant now = clock.instant();
        Suspect suspect = live(fingerprint, now);
        if (suspect == null) {
            return SuspectVerdict.CLEAR;
        }
        if (suspect.crashes >= ENGINES_TO_QUARANTINE) {
            return new SuspectVerdict(SuspectVerdict.Kind.QUARANTINED, millis(now, suspect.until));
        }
        boolean held = !suspect.soloHolder.isEmpty() && now.isBefore(suspect.soloUntil);
        if (held && !suspect.soloHolder.equals(requestId)) {
            return new SuspectVerdict(SuspectVerdict.Kind.BUSY, millis(now, suspect.soloUntil));
        }
        suspect.soloHolder = requestId;
        suspect.soloUntil = now.plus(SOLO_LEASE);
        return SuspectVerdict.SOLO;
    }

    /** Keeps a solo attempt that is still in flight; returns false when it is not the holder's any more. */
    public synchronized boolean renewSolo(long fingerprint, String requestId) {
        Instant now = clock.instant();
        Suspect suspect = live(fingerprint, now);
        if (suspect == null || !suspect.soloHolder.equals(requestId)) {
            return false;
        }
        suspect.soloUntil = now.plus(SOLO_LEASE);
        return true;
    }

    /** Ends a solo attempt. A whole answer clears the request; anything else lets the next attempt go. */
    public synchronized void onSoloEnd(long fingerprint, String requestId, boolean completed) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || !suspect.soloHolder.equals(requestId)) {
            return;
        }
        suspect.soloHolder = "";
        if (completed && suspect.crashes < ENGINES_TO_QUARANTINE) {
            suspects.remove(fingerprint);
        }
    }

    /** Number of engines that were lost with this request, as far as this daemon knows; 0 for none. */
    public synchronized int crashes(long fingerprint) {
        Suspect suspect = live(fingerprint, clock.instant());
        return suspect == null ? 0 : suspect.crashes;
    }

    /** Whether the request is quarantined, as far as this daemon knows. */
    public synchronized boolean isQuarantined(long fingerprint) {
        return crashes(fingerprint) >= ENGINES_TO_QUARANTINE;
    }

    /** Time until the quarantine of a request ends, in milliseconds; 0 when nothing is known of it. */
    public synchronized long remainingMillis(long fingerprint) {
        Instant now = clock.instant();
        Suspect suspect = live(fingerprint, now);
        return suspect == null ? 0 : millis(now, suspect.until);
    }

    /** Takes what another daemon knows. A longer time or a higher count wins. */
    public synchronized void accept(QuarantineEntry entry) {
        Instant now = clock.instant();
        Instant until = Instant.ofEpochMilli(
                Math.min(entry.untilMillis(), now.plus(QUARANTINE_FOR).toEpochMilli()));
        if (!until.isAfter(now)) {
            return;
        }
        Suspect suspect = live(entry.fingerprint(), now);
        if (suspect == null) {
            suspect = new Suspect();
            put(entry.fingerprint(), suspect);
        }
        suspect.crashes = Math.max(suspect.crashes, entry.crashes());
        suspect.until = suspect.until.isAfter(until) ? suspect.until : until;
    }

    /** What this daemon knows, newest last. */
    public synchronized List<QuarantineEntry> entries() {
        Instant now = clock.instant();
        List<QuarantineEntry> entries = new ArrayList<>();
        suspects.forEach((fingerprint, suspect) -> {
            if (suspect.until.isAfter(now)) {
                entries.add(new QuarantineEntry(fingerprint, suspect.crashes, suspect.until.toEpochMilli()));
            }
        });
        return entries;
    }

    /** Forgets what is over; returns how many quarantines ended. */
    public synchronized int expire() {
        Instant now = clock.instant();
        int before = suspects.size();
        suspects.values().removeIf(suspect -> !suspect.until.isAfter(now));
        return before - suspects.size();
    }

    private Suspect live(long fingerprint, Instant now) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect != null && !suspect.until.isAfter(now)) {
            suspects.remove(fingerprint);
            return null;
        }
        return suspect;
    }

    private void extend(long fingerprint, Suspect suspect, Instant now) {
        Duration keep = suspect.crashes >= ENGINES_TO_QUARANTINE ? QUARANTINE_FOR : SUSPECT_FOR;
        suspect.until = now.plus(keep);
        put(fingerprint, suspect);
    }

    private void put(long fingerprint, Suspect suspect) {
        suspects.remove(fingerprint);
        suspects.put(fingerprint, suspect);
        if (suspects.size() > capacity) {
            Map.Entry<Long, Suspect> eldest = suspects.entrySet().iterator().next();
            suspects.remove(eldest.getKey());
        }
    }

    private static long millis(Instant from, Instant until) {
        return Math.max(1, Duration.between(from, until).toMillis());
    }

    private static final class Suspect {
        private final Set<String> endpoints = new HashSet<>();
        private int crashes;
        private Instant until = Instant.EPOCH;
        private String soloHolder = "";
        private Instant soloUntil = Instant.EPOCH;
    }
}
