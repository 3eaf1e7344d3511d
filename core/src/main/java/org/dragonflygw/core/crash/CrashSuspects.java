package org.dragonflygw.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;

/**
 * Tracks requests that may crash the endpoints that run them. Requests are identified by fingerprint, since callers
 * resend them with new ids and through any host. Hosts report to each other the endpoints whose connection was lost
 * while they ran a request. A request is blocked once three different endpoints were lost, until no loss occurred for
 * ten minutes; a complete response clears it on all hosts. Not thread-safe; confined to one thread.
 */
public final class CrashSuspects {
    /** Number of different lost endpoints from which a request is blocked. */
    private static final int ENDPOINTS_TO_BLOCK = 3;

    /** Time after the last loss for which a request is blocked: a caller that repeats it has given up by then. */
    private static final long BLOCK_NANOS = 600_000_000_000L;

    /**
     * Time for which losses count, longer than a block, so that a request that ends one more endpoint after its block is
     * blocked again at once.
     */
    private static final long LOSS_RETENTION_NANOS = 6 * BLOCK_NANOS;

    /** Number of lost endpoints from which each host passes on what it knows of a request. */
    private static final int ENDPOINTS_TO_PASS_ON = 2;

    /** Maximum number of requests with several lost endpoints in one report. */
    private static final int MAX_SUSPECTS_REPORTED = 16;

    /** Maximum number of requests with one lost endpoint in one report: some 2 kB, four lost engines in each round. */
    private static final int MAX_LOSSES_REPORTED = 256;

    /** Maximum number of requests that wait to be reported. */
    private static final int MAX_WAITING = 4_096;

    /** Maximum number of cleared requests in one report. */
    private static final int MAX_CLEARED_REPORTED = 64;

    /** Number of reports to the same peer that name a request, so that one lost message does no harm. */
    private static final int REPORTS_PER_PEER = 2;

    /** Maximum number of requests with several lost endpoints, and of those with one, that a host stores. */
    private static final int MAX_STORED = 128;

    private static final long NANOS_PER_MS = 1_000_000;

    private final LossTable<RequestLosses> table =
            new LossTable<>(losses -> losses.endpoints().size());
    private final CompletedRequests completed = new CompletedRequests();
    private final ReportQueue clearedToReport = new ReportQueue(MAX_CLEARED_REPORTED, MAX_WAITING);
    private final ReportQueue lossesToReport = new ReportQueue(MAX_LOSSES_REPORTED, MAX_WAITING);
    private final ReportQueue suspectsToReport = new ReportQueue(MAX_SUSPECTS_REPORTED, MAX_WAITING);
    private final Set<Long> lastLostHere = new LinkedHashSet<>();
    private final UnfinishedAttempts<Long> unfinished = new UnfinishedAttempts<>();
    private final EventLog log;

    public CrashSuspects(EventLog log) {
        this.log = log;
    }

    /** Records that the connection to an endpoint was lost while the endpoint may have run the request. */
    public void onConnectionLost(long fingerprint, String endpoint, long nowNanos) {
        if (!completed.contains(fingerprint, nowNanos)) {
            log("lost", fingerprint, add(fingerprint, Set.of(endpoint), nowNanos), 0);
            lossesToReport.add(fingerprint);
            lastLostHere.add(fingerprint);
            if (lastLostHere.size() > MAX_WAITING) {
                lastLostHere.remove(lastLostHere.iterator().next());
            }
        }
    }

    /**
     * Records that an attempt ended without a complete response and without a lost connection. It counts as a loss if the
     * endpoint ends within seconds.
     */
    public void onUnfinished(long fingerprint, String endpoint, long nowNanos) {
        if (unfinished.add(fingerprint, endpoint, nowNanos)) {
            onConnectionLost(fingerprint, endpoint, nowNanos);
        }
    }

    /** Records that an endpoint refuses connections; its unfinished attempts count as losses. */
    public void onConnectionRefused(String endpoint, long nowNanos) {
        unfinished.take(endpoint, nowNanos).forEach(f -> onConnectionLost(f, endpoint, nowNanos));
    }

    /** Records that the entry of an endpoint that was not draining is gone; its unfinished attempts count as losses. */
    public void onEndpointEnded(String endpoint, long nowNanos) {
        unfinished.onEnded(endpoint);
        onConnectionRefused(endpoint, nowNanos);
    }

    /** Records that a request received a complete response, which clears it on all hosts. */
    public void onCompleted(long fingerprint, long nowNanos) {
        completed.add(fingerprint, nowNanos);
        if (clear(fingerprint, "cleared by a complete response")) {
            clearedToReport.add(fingerprint);
        }
    }

    private boolean clear(long fingerprint, String outcome) {
        RequestLosses cleared = table.remove(fingerprint);
        if (cleared == null) {
            return false;
        }
        log(outcome, fingerprint, cleared, 0);
        return true;
    }

    /** Applies what another host reported. */
    public void accept(CrashReport report, long nowNanos) {
        for (long fingerprint : report.cleared()) {
            completed.add(fingerprint, nowNanos);
            clear(fingerprint, "cleared by a complete response at a peer");
        }
        report.suspects().forEach(s -> accept(s, nowNanos));
        for (EndpointLosses l : report.losses()) {
            Set<String> endpoint = Set.of(l.endpoint());
            l.fingerprints().forEach(f -> accept(new CrashSuspect(f, endpoint, l.ageMs()), nowNanos));
        }
    }

    /** Adds the losses that another host reported; known losses do not extend the block. */
    public void accept(CrashSuspect suspect, long nowNanos) {
        if (completed.contains(suspect.fingerprint(), nowNanos)) {
            clearedToReport.add(suspect.fingerprint());
            return;
        }
        RequestLosses known = table.get(suspect.fingerprint());
        if (known == null || !known.covers(suspect.endpoints())) {
            long atNanos = nowNanos - suspect.ageMs() * NANOS_PER_MS;
            RequestLosses losses = add(suspect.fingerprint(), suspect.endpoints(), atNanos);
            lastLostHere.remove(suspect.fingerprint());
            if (known != null) {
                log("lost at a peer", suspect.fingerprint(), losses, suspect.ageMs());
            }
        }
    }

    /** Adds losses to a request; earlier ones that no longer count are dropped. */
    private RequestLosses add(long fingerprint, Set<String> endpoints, long atNanos) {
        RequestLosses before = table.get(fingerprint);
        boolean counts = before != null && atNanos - before.lastNanos() <= LOSS_RETENTION_NANOS;
        RequestLosses losses = counts ? before.with(endpoints, atNanos) : new RequestLosses(endpoints, atNanos);
        table.put(fingerprint, losses);
        if (losses.endpoints().size() >= ENDPOINTS_TO_PASS_ON) {
            suspectsToReport.add(fingerprint);
        }
        return losses;
    }

    private void log(String outcome, long fingerprint, RequestLosses losses, long ageMs) {
        log.line(LogTopic.CRASH_SUSPECT)
                .with("fingerprint", Long.toHexString(fingerprint))
                .with("outcome", outcome)
                .with("endpoints", String.join(" ", losses.endpoints()))
                .with("ageMs", ageMs)
                .with("blocked", losses.endpoints().size() >= ENDPOINTS_TO_BLOCK)
                .end();
    }

    /** Whether an endpoint was lost while it ran a request. */
    public boolean isSuspected(long fingerprint) {
        return table.get(fingerprint) != null;
    }

    /** Returns the number of requests that are suspected. */
    public int count() {
        return table.size();
    }

    /** Returns the number of suspected requests that are blocked. */
    public long blockedCount(long nowNanos) {
        return table.withAtLeast(ENDPOINTS_TO_BLOCK).values().stream()
                .filter(l -> remainingBlockNanos(l, nowNanos) > 0)
                .count();
    }

    /** Whether this host saw the last known loss of a request itself. */
    boolean sawLastLoss(long fingerprint) {
        return lastLostHere.contains(fingerprint);
    }

    /** Returns which of these requests are suspected of so many losses that they are blocked. */
    Set<Long> blockedAmong(List<CrashSuspect> suspects) {
        return suspects.stream()
                .filter(s -> s.endpoints().size() >= ENDPOINTS_TO_BLOCK)
                .map(CrashSuspect::fingerprint)
                .collect(Collectors.toSet());
    }

    /**
     * Returns what this host stores.
     *
     * @param all whether to include requests that are not blocked, the newest of those with one and with more losses
     */
    List<CrashSuspect> toStore(boolean all, long nowNanos) {
        List<CrashSuspect> stored = new ArrayList<>();
        addNewest(table.withAtLeast(ENDPOINTS_TO_BLOCK), stored, nowNanos);
        if (all) {
            addNewest(table.with(2), stored, nowNanos);
            addNewest(table.with(1), stored, nowNanos);
        }
        return stored;
    }

    private static void addNewest(Map<Long, RequestLosses> requests, List<CrashSuspect> to, long nowNanos) {
        requests.entrySet().stream()
                .skip(Math.max(0, requests.size() - MAX_STORED))
                .filter(e -> nowNanos - e.getValue().lastNanos() < BLOCK_NANOS)
                .forEach(e -> to.add(new CrashSuspect(
                        e.getKey(), e.getValue().endpoints(), e.getValue().ageMs(nowNanos))));
    }

    /** Remaining time for which a request is blocked, in nanoseconds; 0 if it may be sent. */
    public long remainingBlockNanos(long fingerprint, long nowNanos) {
        RequestLosses losses = table.get(fingerprint);
        return losses == null ? 0 : remainingBlockNanos(losses, nowNanos);
    }

    private static long remainingBlockNanos(RequestLosses losses, long nowNanos) {
        if (losses.endpoints().size() < ENDPOINTS_TO_BLOCK) {
            return 0;
        }
        return Math.max(0, losses.lastNanos() + BLOCK_NANOS - nowNanos);
    }

    /**
     * Returns the report of the next round.
     *
     * @param rounds number of reports until each peer has received one
     */
    public CrashReport nextReport(int rounds, long nowNanos) {
        int reports = rounds * REPORTS_PER_PEER;
        List<CrashSuspect> suspects = new ArrayList<>();
        for (long f : suspectsToReport.next(f -> suspectReports(f, reports, nowNanos))) {
            RequestLosses losses = table.get(f);
            suspects.add(new CrashSuspect(f, losses.endpoints(), losses.ageMs(nowNanos)));
        }
        List<Long> lost = lossesToReport.next(f -> hasOneLoss(f) ? reports : 0);
        List<Long> cleared = clearedToReport.next(f -> completed.contains(f, nowNanos) ? reports : 0);
        return new CrashReport(suspects, byEndpoint(lost, nowNanos), cleared);
    }

    /** A blocked request is reported as long as it is blocked, for hosts that have started since. */
    private int suspectReports(long fingerprint, int reports, long nowNanos) {
        if (table.get(fingerprint) == null) {
            return 0;
        }
        return remainingBlockNanos(fingerprint, nowNanos) > 0 ? Integer.MAX_VALUE : reports;
    }

    private boolean hasOneLoss(long fingerprint) {
        RequestLosses losses = table.get(fingerprint);
        return losses != null && losses.endpoints().size() < ENDPOINTS_TO_PASS_ON;
    }

    private List<EndpointLosses> byEndpoint(List<Long> fingerprints, long nowNanos) {
        Map<String, List<Long>> lost = new LinkedHashMap<>();
        Map<String, Long> agesMs = new HashMap<>();
        for (long f : fingerprints) {
            RequestLosses losses = table.get(f);
            String endpoint = losses.endpoints().iterator().next();
            lost.computeIfAbsent(endpoint, e -> new ArrayList<>()).add(f);
            agesMs.merge(endpoint, losses.ageMs(nowNanos), Math::min);
        }
        List<EndpointLosses> losses = new ArrayList<>();
        lost.forEach((endpoint, all) -> losses.add(new EndpointLosses(endpoint, all, agesMs.get(endpoint))));
        return losses;
    }
}
