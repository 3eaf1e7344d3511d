package org.dragonflygw.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;

/**
 * Tracks parts of prompts that may crash each endpoint that begins to write an answer on them, whatever else the prompt
 * holds.
 *
 * <p>A part is blamed for the end of an endpoint if a request that holds it was just beginning to be answered there. It is
 * cleared, on all hosts, by each answer on it that went on for a while or was completed since. It is blocked when
 * several endpoints have ended, most of them one after the other and not together, and nothing cleared it meanwhile
 * ({@link PartBlame}). A lost connection
 * alone is no evidence: the endpoint must have ended. Not thread-safe; confined to one thread.
 */
public final class CrashingParts {
    /** Maximum number of ends of endpoints that are remembered. */
    private static final int MAX_ENDS = 1_024;

    /** Time after the last loss for which a part is blocked, and for which losses count. */
    private static final long BLOCK_NANOS = 600_000_000_000L;

    /** Maximum number of parts with losses in one report: some 8 kB at worst, half of a report. */
    private static final int MAX_SUSPECTS_REPORTED = 24;

    /** Maximum number of cleared parts in one report. */
    private static final int MAX_SOUND_REPORTED = 64;

    /** Maximum number of parts that wait to be reported. */
    private static final int MAX_WAITING = 4_096;

    /** Maximum number of parts known to be sound: those that a busy host is sent in some ten seconds. */
    private static final int MAX_SOUND = 4_096;

    /** Maximum number of parts with several lost endpoints, and of those with one, that a host stores. */
    private static final int MAX_STORED = 64;

    /** Number of reports to the same peer that name a part, so that one lost message does no harm. */
    private static final int REPORTS_PER_PEER = 2;

    private static final long NANOS_PER_MS = 1_000_000;

    private final LossTable<PartLosses> table = new LossTable<>(PartLosses::endpoints);
    private final LatestTimes sound = new LatestTimes(MAX_SOUND);
    private final UnfinishedAttempts<BegunAttempt> unconfirmed = new UnfinishedAttempts<>();
    private final ReportQueue suspectsToReport = new ReportQueue(MAX_SUSPECTS_REPORTED, MAX_WAITING);
    private final ReportQueue soundToReport = new ReportQueue(MAX_SOUND_REPORTED, MAX_WAITING);

    private final Map<String, Long> endedNanos = new LinkedHashMap<>();
    private final Set<Long> lastLostHere = new LinkedHashSet<>();
    private final EventLog log;
    private PartBlame blame = PartBlame.NONE;

    private record BegunAttempt(List<Long> parts, PartLoss loss) {}

    public CrashingParts(EventLog log) {
        this.log = log;
    }

    /**
     * Records that the connection to an endpoint was lost while the endpoint was beginning to write an answer. It counts
     * once the endpoint is known to have ended.
     *
     * @param parts ids of the parts of the prompt that other prompts may share
     * @param endpoint instance of the endpoint
     * @param sentNanos when the request was sent
     */
    public void onLostAtBeginning(List<Long> parts, String endpoint, long sentNanos, long nowNanos) {
        BegunAttempt attempt = new BegunAttempt(List.copyOf(parts), new PartLoss(sentNanos, nowNanos));
        if (unconfirmed.add(attempt, endpoint, nowNanos)) {
            blame(attempt, endpoint);
        }
    }

    /** Records that an endpoint has ended. */
    public void onEndpointEnded(String endpoint, long nowNanos) {
        endedNanos.putIfAbsent(endpoint, nowNanos);
        if (endedNanos.size() > MAX_ENDS) {
            endedNanos.remove(endedNanos.keySet().iterator().next());
        }
        unconfirmed.onEnded(endpoint);
        unconfirmed.take(endpoint, nowNanos).forEach(a -> blame(a, endpoint));
    }

    /** Records that an endpoint is alive, so that connections lost before do not mean that it ended. */
    public void onEndpointAlive(String endpoint, long nowNanos) {
        unconfirmed.take(endpoint, nowNanos);
    }

    private void blame(BegunAttempt attempt, String endpoint) {
        for (long part : attempt.parts) {
            if (add(part, Map.of(endpoint, attempt.loss))) {
                suspectsToReport.add(part);
                lastLostHere.add(part);
                if (lastLostHere.size() > MAX_WAITING) {
                    lastLostHere.remove(lastLostHere.iterator().next());
                }
                log("lost", part, attempt.loss.lostNanos());
            }
        }
    }

    /** Adds losses to a part, unless it was sound since; returns whether there was something new. */
    private boolean add(long part, Map<String, PartLoss> losses) {
        Long soundNanos = sound.get(part);
        Optional<PartLosses> counted = new PartLosses(losses).after(soundNanos == null ? Long.MIN_VALUE : soundNanos);
        if (counted.isEmpty()) {
            return false;
        }
        PartLosses before = table.get(part);
        PartLosses after =
                before == null ? counted.get() : before.with(counted.get().byEndpoint());
        if (after.equals(before)) {
            return false;
        }
        table.put(part, after);
        updateBlame();
        return true;
    }

    /** Records that an answer to a prompt with these parts went on for a while, or was completed. */
    public void onSound(List<Long> parts, long nowNanos) {
        for (long part : parts) {
            sound.add(part, nowNanos);
            if (clear(part, nowNanos, "sound")) {
                soundToReport.add(part);
            }
        }
    }

    /** Drops the losses of a part up to a moment; returns whether there were any. */
    private boolean clear(long part, long soundNanos, String outcome) {
        PartLosses losses = table.get(part);
        if (losses == null) {
            return false;
        }
        Optional<PartLosses> later = losses.after(soundNanos);
        if (later.isPresent() && later.get().equals(losses)) {
            return false;
        }
        log(outcome, part, soundNanos);
        table.remove(part);
        later.ifPresent(l -> table.put(part, l));
        updateBlame();
        return true;
    }

    private void updateBlame() {
        blame = PartBlame.of(table.withAtLeast(PartBlame.MIN_ENDPOINTS), endedNanos);
    }

    /** Applies what another host reported, or what was stored, as of a moment on the monotonic clock. */
    public void accept(PartReport report, long asOfNanos) {
        for (SoundPart s : report.sound()) {
            long soundNanos = asOfNanos - s.ageMs() * NANOS_PER_MS;
            sound.add(s.part(), soundNanos);
            clear(s.part(), soundNanos, "sound at a peer");
        }
        for (PartSuspect s : report.suspects()) {
            accept(s, asOfNanos);
        }
    }

    private void accept(PartSuspect suspect, long asOfNanos) {
        Map<String, PartLoss> losses = new HashMap<>();
        suspect.losses()
                .forEach((endpoint, l) -> losses.put(
                        endpoint,
                        new PartLoss(
                                asOfNanos - l.sentAgeMs() * NANOS_PER_MS, asOfNanos - l.lostAgeMs() * NANOS_PER_MS)));
        if (losses.isEmpty()) {
            return;
        }
        Long soundNanos = sound.get(suspect.part());
        if (soundNanos != null && new PartLosses(losses).lastNanos() <= soundNanos) {
            soundToReport.add(suspect.part());
            return;
        }
        PartLosses before = table.get(suspect.part());
        if (before != null && before.byEndpoint().keySet().containsAll(losses.keySet())) {
            return; // The same losses, with ages that were rounded.
        }
        if (add(suspect.part(), losses)) {
            lastLostHere.remove(suspect.part());
            log("lost at a peer", suspect.part(), asOfNanos);
            if (table.get(suspect.part()).endpoints() > 1) {
                suspectsToReport.add(suspect.part());
            }
        }
    }

    /** Remaining time for which a prompt with these parts is blocked, in nanoseconds; 0 if it may be sent. */
    public long remainingBlockNanos(List<Long> parts, long nowNanos) {
        return blame.blocking(parts).stream()
                .mapToLong(p -> remainingBlockNanos(p, nowNanos))
                .max()
                .orElse(0);
    }

    /** Remaining time for which a part is blamed, alone or with others, in nanoseconds. */
    private long remainingBlockNanos(long part, long nowNanos) {
        PartLosses losses = table.get(part);
        return losses == null || !blame.names(part) ? 0 : Math.max(0, losses.lastNanos() + BLOCK_NANOS - nowNanos);
    }

    /** Whether this host saw the last known loss of a part itself. */
    boolean sawLastLoss(long part) {
        return lastLostHere.contains(part);
    }

    /** Returns the time since the last loss of a suspected part, in nanoseconds. */
    long sinceLastLossNanos(long part, long nowNanos) {
        PartLosses losses = table.get(part);
        return losses == null ? 0 : nowNanos - losses.lastNanos();
    }

    /** Returns which of these parts are blocked. */
    Set<Long> blockedAmong(List<PartSuspect> suspects, long nowNanos) {
        return suspects.stream()
                .map(PartSuspect::part)
                .filter(p -> remainingBlockNanos(p, nowNanos) > 0)
                .collect(Collectors.toSet());
    }

    /**
     * Returns what this host stores.
     *
     * @param all whether to include parts that are not blocked, the newest of those with one and with more losses
     */
    List<PartSuspect> toStore(boolean all, long nowNanos) {
        List<PartSuspect> stored = new ArrayList<>();
        table.withAtLeast(PartBlame.MIN_ENDPOINTS).forEach((part, losses) -> {
            if (all || blame.names(part)) {
                addCounting(part, losses, stored, nowNanos);
            }
        });
        if (all) {
            addNewest(table.with(2), stored, nowNanos);
            addNewest(table.with(1), stored, nowNanos);
        }
        return stored;
    }

    private static void addNewest(Map<Long, PartLosses> parts, List<PartSuspect> to, long nowNanos) {
        parts.entrySet().stream()
                .skip(Math.max(0, parts.size() - MAX_STORED))
                .forEach(e -> addCounting(e.getKey(), e.getValue(), to, nowNanos));
    }

    private static void addCounting(long part, PartLosses losses, List<PartSuspect> to, long nowNanos) {
        if (nowNanos - losses.lastNanos() < BLOCK_NANOS) {
            to.add(suspect(part, losses, nowNanos));
        }
    }

    /** Whether an endpoint ended as it began to answer a prompt with one of these parts. */
    public boolean isSuspected(List<Long> parts) {
        return parts.stream().anyMatch(p -> table.get(p) != null);
    }

    /** Returns the number of parts that are suspected. */
    public int count() {
        return table.size();
    }

    /** Returns the number of parts that are blocked, of those that cannot be told apart one. */
    public long blockedCount(long nowNanos) {
        return blame.parts().stream()
                .filter(p -> remainingBlockNanos(p, nowNanos) > 0)
                .count();
    }

    /**
     * Returns the report of the next round.
     *
     * @param rounds number of reports until each peer has received one
     */
    public PartReport nextReport(int rounds, long nowNanos) {
        int reports = rounds * REPORTS_PER_PEER;
        List<PartSuspect> suspects = suspectsToReport.next(p -> suspectReports(p, reports, nowNanos)).stream()
                .map(p -> suspect(p, table.get(p), nowNanos))
                .toList();
        List<SoundPart> cleared = soundToReport.next(p -> sound.get(p) == null ? 0 : reports).stream()
                .map(p -> new SoundPart(p, ageMs(sound.get(p), nowNanos)))
                .toList();
        return new PartReport(suspects, cleared);
    }

    /** A blocked part is reported as long as it is blocked, for hosts that have started since. */
    private int suspectReports(long part, int reports, long nowNanos) {
        if (table.get(part) == null) {
            return 0;
        }
        return remainingBlockNanos(part, nowNanos) > 0 ? Integer.MAX_VALUE : reports;
    }

    private static PartSuspect suspect(long part, PartLosses losses, long nowNanos) {
        Map<String, PartSuspect.Loss> ages = new HashMap<>();
        losses.byEndpoint()
                .forEach((endpoint, l) -> ages.put(
                        endpoint,
                        new PartSuspect.Loss(ageMs(l.sentNanos(), nowNanos), ageMs(l.lostNanos(), nowNanos))));
        return new PartSuspect(part, ages);
    }

    private static long ageMs(long nanos, long nowNanos) {
        return Math.max(0, (nowNanos - nanos) / NANOS_PER_MS);
    }

    private void log(String outcome, long part, long atNanos) {
        PartLosses losses = table.get(part);
        log.line(LogTopic.CRASHING_PART)
                .with("part", Long.toHexString(part))
                .with("outcome", outcome)
                .with(
                        "endpoints",
                        losses.byEndpoint().keySet().stream().sorted().collect(Collectors.joining(" ")))
                .with("trials", losses.trials())
                .with("sinceLastLossMs", (atNanos - losses.lastNanos()) / NANOS_PER_MS)
                .with("blocked", blame.names(part))
                .end();
    }
}
