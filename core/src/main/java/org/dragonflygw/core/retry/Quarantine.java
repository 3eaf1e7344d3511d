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
 * Fingerprints of requests that were in flight on lost engines. After one lost engine a fingerprint is a suspect: one
 * attempt at a time (a solo attempt) is allowed, and a complete answer clears it. After two different lost engines it
 * is quarantined. Each daemon has one instance; the daemon that owns a fingerprint by hashing decides about attempts,
 * the others learn of the fingerprint by gossip. Bounded: the least recently changed fingerprint is evicted first.
 * Thread safe; the monitor is a leaf of the lock order.
 */
public final class Quarantine {
    private static final int ENGINES_TO_QUARANTINE = 2;
    private static final Duration SUSPECT_DURATION = Duration.ofMinutes(2);
    private static final Duration QUARANTINE_DURATION = Duration.ofMinutes(10);
    private static final Duration SOLO_LEASE = Duration.ofSeconds(30);

    private final int capacity;
    private final InstantSource clock;
    private final LinkedHashMap<Long, Suspect> suspects = new LinkedHashMap<>();

    /**
     * @param capacity maximum number of fingerprints
     * @param clock time
     */
    public Quarantine(int capacity, InstantSource clock) {
        this.capacity = capacity;
        this.clock = clock;
    }

    /**
     * Records that an engine was lost while it ran the request. Several attempts on the same engine count once.
     *
     * @return number of different engines lost so far
     */
    public synchronized int onEngineLost(long fingerprint, String endpointId, String requestId) {
        Instant now = clock.instant();
        Suspect suspect = findLive(fingerprint, now);
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

    /** Decides whether a request may be attempted. A solo attempt is held until it ends or its lease expires. */
    public synchronized SuspectVerdict requestAttempt(long fingerprint, String requestId) {
        Instant now = clock.instant();
        Suspect suspect = findLive(fingerprint, now);
        if (suspect == null) {
            return SuspectVerdict.CLEAR;
        }
        if (suspect.crashes >= ENGINES_TO_QUARANTINE) {
            return new SuspectVerdict(SuspectVerdict.Kind.QUARANTINED, millisBetween(now, suspect.until));
        }
        boolean held = !suspect.soloHolder.isEmpty() && now.isBefore(suspect.soloUntil);
        if (held && !suspect.soloHolder.equals(requestId)) {
            return new SuspectVerdict(SuspectVerdict.Kind.BUSY, millisBetween(now, suspect.soloUntil));
        }
        suspect.soloHolder = requestId;
        suspect.soloUntil = now.plus(SOLO_LEASE);
        return SuspectVerdict.SOLO;
    }

    /** Renews the lease of a solo attempt; returns false if the request no longer holds it. */
    public synchronized boolean renewSolo(long fingerprint, String requestId) {
        Instant now = clock.instant();
        Suspect suspect = findLive(fingerprint, now);
        if (suspect == null || !suspect.soloHolder.equals(requestId)) {
            return false;
        }
        suspect.soloUntil = now.plus(SOLO_LEASE);
        return true;
    }

    /** Ends a solo attempt. A complete answer clears the request; otherwise the next attempt is allowed. */
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

    /** Number of engines known to be lost while they ran this request. */
    public synchronized int crashes(long fingerprint) {
        Suspect suspect = findLive(fingerprint, clock.instant());
        return suspect == null ? 0 : suspect.crashes;
    }

    /** Whether this daemon knows the request as quarantined. */
    public synchronized boolean isQuarantined(long fingerprint) {
        return crashes(fingerprint) >= ENGINES_TO_QUARANTINE;
    }

    /** Time until the suspicion or quarantine of a request ends, in milliseconds; 0 if the request is not known. */
    public synchronized long remainingMillis(long fingerprint) {
        Instant now = clock.instant();
        Suspect suspect = findLive(fingerprint, now);
        return suspect == null ? 0 : millisBetween(now, suspect.until);
    }

    /**
     * Merges an entry of another daemon. The later end and the higher count win; the end is limited to the quarantine
     * duration from now, in case the other clock is wrong.
     */
    public synchronized void accept(QuarantineEntry entry) {
        Instant now = clock.instant();
        Instant until = Instant.ofEpochMilli(
                Math.min(entry.untilMillis(), now.plus(QUARANTINE_DURATION).toEpochMilli()));
        if (!until.isAfter(now)) {
            return;
        }
        Suspect suspect = findLive(entry.fingerprint(), now);
        if (suspect == null) {
            suspect = new Suspect();
            put(entry.fingerprint(), suspect);
        }
        suspect.crashes = Math.max(suspect.crashes, entry.crashes());
        suspect.until = suspect.until.isAfter(until) ? suspect.until : until;
    }

    /** Returns the live entries, newest last. */
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

    /** Removes the entries that ended; returns their number. */
    public synchronized int expire() {
        Instant now = clock.instant();
        int before = suspects.size();
        suspects.values().removeIf(suspect -> !suspect.until.isAfter(now));
        return before - suspects.size();
    }

    private Suspect findLive(long fingerprint, Instant now) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect != null && !suspect.until.isAfter(now)) {
            suspects.remove(fingerprint);
            return null;
        }
        return suspect;
    }

    private void extend(long fingerprint, Suspect suspect, Instant now) {
        Duration duration = suspect.crashes >= ENGINES_TO_QUARANTINE ? QUARANTINE_DURATION : SUSPECT_DURATION;
        suspect.until = now.plus(duration);
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

    private static long millisBetween(Instant from, Instant until) {
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
