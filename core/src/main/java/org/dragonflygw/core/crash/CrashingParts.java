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
 * <p>The end of an endpoint is held against a part if a request that holds it was just beginning to be answered there, or
 * was there and nothing of its response was read. The part is cleared, on all hosts, by each answer on it that went on for a
 * while or was completed since. It is blocked when several endpoints have ended, most of them one after the other and not
 * together, nothing cleared it meanwhile, and chance does not explain it ({@link PartBlame}). A lost connection alone is no
 * evidence: the endpoint must have ended. Not thread-safe; confined to one thread.
 */
public final class CrashingParts {
    /** Maximum number of ends of endpoints that are remembered. */
    private static final int MAX_ENDS = 1_024;

    /** Time after the last loss for which a part is blocked, and for which losses count. */
    private static final long BLOCK_NANOS = 600_000_000_000L;

    /** Maximum number of parts with losses in one report: some 8 kB at worst, half of a report. */
    private static final int MAX_SUSPECTS_REPORTED = 24;

    /** Maximum number of parts in one report with losses of which nothing was read, when no response began. */
    private static final int MAX_UNREAD_REPORTED = 16;

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
    private final PromptAttempts attempts = new PromptAttempts();
    private final LossChances chances = new LossChances();
    private final ReportQueue suspectsToReport = new ReportQueue(MAX_SUSPECTS_REPORTED, MAX_WAITING);
    private final ReportQueue unreadToReport = new ReportQueue(MAX_UNREAD_REPORTED, MAX_WAITING);
    private final ReportQueue soundToReport = new ReportQueue(MAX_SOUND_REPORTED, MAX_WAITING);

    private final Map<String, Long> endedNanos = new LinkedHashMap<>();
    private final Set<Long> lastLostHere = new LinkedHashSet<>();
    private final EventLog log;
    private PartBlame blame = PartBlame.NONE;
    private long lostPrompts;

    public CrashingParts(EventLog log) {
        this.log = log;
    }

    /**
     * Records that a prompt is sent.
     *
     * @param parts ids of the parts of the prompt that other prompts may share
     * @param endpoint instance of the endpoint
     */
    public PromptAttempt onSent(List<Long> parts, String endpoint, long nowNanos) {
        return attempts.open(parts, endpoint, nowNanos);
    }

    /** Records that the connection of an attempt was lost. It counts once the endpoint is known to have ended. */
    public void onConnectionLost(PromptAttempt attempt, long nowNanos) {
        attempt.lose(nowNanos);
        keep(attempt, nowNanos);
    }

    /** Records that this host gave an attempt up before its response was complete. */
    public void onGivenUp(PromptAttempt attempt, long nowNanos) {
        attempt.giveUp(nowNanos);
        keep(attempt, nowNanos);
    }

    private void keep(PromptAttempt attempt, long nowNanos) {
        attempt.endpoint().keep(attempt);
        if (attempt.endpoint().ended()) {
            count(List.of(attempt), nowNanos);
        }
    }

    /** Records that an attempt ended in a way that tells nothing of its parts. */
    public void onClosed(PromptAttempt attempt) {
        attempt.endpoint().remove(attempt);
    }

    /** Records that an endpoint has ended. */
    public void onEndpointEnded(String endpoint, long nowNanos) {
        count(attempts.recent(endpoint, nowNanos), nowNanos);
        attempts.end(endpoint);
        addEnd(endpoint, nowNanos);
    }

    /**
     * Records that a response went silent midway, or that a peer holds an end of the endpoint against a part. An endpoint that
     * is silent to this host too counts as ended for the prompts there; answers that follow clear their parts.
     */
    public void onEndpointSilent(String endpoint, long nowNanos) {
        count(attempts.recent(endpoint, nowNanos), nowNanos);
    }

    /** Records that another endpoint has the address of one, which has ended. */
    public void onAddressTaken(String endpoint, long nowNanos) {
        attempts.onAddressTaken(endpoint);
        onEndpointEnded(endpoint, nowNanos);
    }

    /**
     * Records that the address of an endpoint accepts connections. Those that were reset before do not mean that the endpoint
     * ended; those that fell silent still may, as an address can accept for an endpoint that has ended.
     */
    public void onAddressAccepted(String endpoint) {
        attempts.onAddressAccepted(endpoint);
    }

    private void addEnd(String endpoint, long atNanos) {
        endedNanos.putIfAbsent(endpoint, atNanos);
        if (endedNanos.size() > MAX_ENDS) {
            endedNanos.remove(endedNanos.keySet().iterator().next());
        }
    }

    /** Holds the end of an endpoint against the parts of prompts that were lost with it. */
    private void count(List<PromptAttempt> ended, long nowNanos) {
        List<PromptAttempt> lost = ended.stream()
                .filter(a -> a.lossNanos(nowNanos).isPresent())
                .filter(PromptAttempt::count)
                .toList();
        lost.forEach(a -> chances.onLost(a.begun(), nowNanos));
        lostPrompts += lost.size();
        for (PromptAttempt a : lost) {
            PartLoss loss = new PartLoss(
                    a.sentNanos(), a.lossNanos(nowNanos).orElseThrow(), a.begun(), chances.chance(a.begun(), nowNanos));
            a.parts().forEach(part -> blame(part, a.endpoint().instance(), loss));
        }
    }

    private void blame(long part, String endpoint, PartLoss loss) {
        if (!add(part, Map.of(endpoint, loss))) {
            return;
        }
        queueReport(part);
        lastLostHere.add(part);
        if (lastLostHere.size() > MAX_WAITING) {
            lastLostHere.remove(lastLostHere.iterator().next());
        }
        log("lost", part, loss.lostNanos());
    }

    private void queueReport(long part) {
        PartLosses losses = table.get(part);
        boolean begun = losses.begun().isPresent();
        (begun || blame.names(part) ? suspectsToReport : unreadToReport).add(part);
    }

    /** Adds losses to a part, unless it was sound since; returns whether there was something new. */
    private boolean add(long part, Map<String, PartLoss> losses) {
        Long soundNanos = sound.get(part);
        Optional<PartLosses> counted = new PartLosses(losses).after(soundNanos == null ? Long.MIN_VALUE : soundNanos);
        if (counted.isEmpty()) {
            return false;
        }
        losses.forEach((endpoint, loss) -> addEnd(endpoint, loss.lostNanos()));
        PartLosses before = table.get(part);
        PartLosses after =
                before == null ? counted.get() : before.with(counted.get().byEndpoint());
        if (after.equals(before)) {
            return false;
        }
        table.put(part, after);
        if (after.endpoints() >= PartBlame.MIN_ENDPOINTS) {
            updateBlame();
        }
        return true;
    }

    /** Records that the answer of an attempt went on for a while, or was completed. */
    public void onSound(PromptAttempt attempt, long nowNanos) {
        attempt.endpoint().remove(attempt);
        if (attempt.parts().isEmpty()) {
            return;
        }
        chances.onAnswered(nowNanos);
        for (long part : attempt.parts()) {
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
        if (losses.endpoints() >= PartBlame.MIN_ENDPOINTS) {
            updateBlame();
        }
        return true;
    }

    private EndpointEnds ends() {
        return new EndpointEnds(endedNanos, attempts.endpoints());
    }

    private void updateBlame() {
        blame = PartBlame.of(table.withAtLeast(PartBlame.MIN_ENDPOINTS), ends());
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
        suspect.losses().forEach((endpoint, l) -> losses.put(endpoint, lossAsOf(l, asOfNanos)));
        if (losses.isEmpty()) {
            return;
        }
        Long soundNanos = sound.get(suspect.part());
        if (soundNanos != null && new PartLosses(losses).lastNanos() <= soundNanos) {
            soundToReport.add(suspect.part());
            return;
        }
        PartLosses before = table.get(suspect.part());
        if (before != null) {
            losses.keySet().removeIf(endpoint -> !before.isNews(endpoint, losses.get(endpoint)));
        }
        if (!losses.isEmpty() && add(suspect.part(), losses)) {
            lastLostHere.remove(suspect.part());
            log("lost at a peer", suspect.part(), asOfNanos);
            if (table.get(suspect.part()).endpoints() > 1) {
                queueReport(suspect.part());
            }
            losses.keySet().forEach(endpoint -> onEndpointSilent(endpoint, asOfNanos));
        }
    }

    private static PartLoss lossAsOf(PartSuspect.Loss loss, long asOfNanos) {
        return new PartLoss(
                asOfNanos - loss.sentAgeMs() * NANOS_PER_MS,
                asOfNanos - loss.lostAgeMs() * NANOS_PER_MS,
                loss.begun(),
                loss.chance());
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

    /** Whether an endpoint ended under a prompt with one of these parts. */
    public boolean isSuspected(List<Long> parts) {
        return parts.stream().anyMatch(p -> table.get(p) != null);
    }

    /** Returns how many prompts of this host were lost as their endpoints ended, and are held against their parts. */
    public long lostPromptCount() {
        return lostPrompts;
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
        List<Long> suspected = new ArrayList<>(suspectsToReport.next(p -> suspectReports(p, reports, nowNanos)));
        unreadToReport
                .next(p -> suspected.contains(p) ? 0 : suspectReports(p, reports, nowNanos))
                .forEach(suspected::add);
        List<PartSuspect> suspects =
                suspected.stream().map(p -> suspect(p, table.get(p), nowNanos)).toList();
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
                        new PartSuspect.Loss(
                                ageMs(l.sentNanos(), nowNanos),
                                ageMs(l.lostNanos(), nowNanos),
                                l.begun(),
                                l.chance())));
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
                .with("begun", losses.begun().map(PartLosses::endpoints).orElse(0))
                .with("trials", losses.trials())
                .with("chanceMillionths", Math.round(PartBlame.chance(losses, Set.of(), ends()) * 1e6))
                .with("sinceLastLossMs", (atNanos - losses.lastNanos()) / NANOS_PER_MS)
                .with("blocked", blame.names(part))
                .end();
    }
}
