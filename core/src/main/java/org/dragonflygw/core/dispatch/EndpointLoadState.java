package org.dragonflygw.core.dispatch;

import java.util.List;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.routing.RoutingHash;

/** What this host knows of one endpoint beside its entry: its load, its failures, and what it caches. */
public final class EndpointLoadState {
    /** Speed at which an engine reads prompts, in tokens a millisecond: typical of the engines in use. */
    static final double READ_TOKENS_PER_MS = 50;

    private static final double NANOS_PER_MS = 1e6;

    /** Half-life of the failure score, in nanoseconds: a few seconds, as faults of endpoints last some seconds. */
    private static final double FAILURE_HALF_LIFE_NANOS = 2.5e9;

    private static final double MAX_FAILURE_SCORE = 8;

    /** How long a report of others' load is used, in nanoseconds: about the length of a stream. */
    private static final long REPORT_LIFE_NANOS = 2_500_000_000L;

    private final CachedParts cached;
    private final long idHash;
    private DiscoveredEndpoint entry;
    private int inFlight;
    private long unreadTokens;
    private int othersAtReport;
    private long reportNanos = Long.MIN_VALUE;
    private PeerLoad others = PeerLoad.NONE;
    private long othersNanos = Long.MIN_VALUE;
    private double failureScore;
    private long failuresNanos;
    private long blockedUntilNanos = Long.MIN_VALUE;

    EndpointLoadState(DiscoveredEndpoint entry, long cacheTokens) {
        this.entry = entry;
        this.cached = new CachedParts(cacheTokens);
        this.idHash = RoutingHash.of(entry.id());
    }

    /** Hash of the endpoint's id. */
    long idHash() {
        return idHash;
    }

    /** The endpoint's entry. */
    public DiscoveredEndpoint entry() {
        return entry;
    }

    void entry(DiscoveredEndpoint e) {
        this.entry = e;
    }

    /** Requests of this host that it works on. */
    public int inFlight() {
        return inFlight;
    }

    /** Prompt tokens of this host's requests that it has still to read. */
    public long unreadTokens() {
        return unreadTokens;
    }

    CachedParts cached() {
        return cached;
    }

    void onSent(Prompt prompt, long uncachedTokens, long nowNanos) {
        inFlight++;
        unreadTokens += uncachedTokens;
        cached.add(prompt.parts(), readNanos(nowNanos));
    }

    /** Notes the start of a prompt that another host sent to the endpoint. */
    public void onPromptSentByPeer(List<PromptPart> parts, long nowNanos) {
        cached.add(parts, readNanos(nowNanos));
    }

    private long readNanos(long nowNanos) {
        return nowNanos + (long) (estimatedUnreadTokens(nowNanos) / READ_TOKENS_PER_MS * NANOS_PER_MS);
    }

    /** Notes that a request's prompt was read, or that the request ended before. */
    public void onPromptRead(long uncachedTokens) {
        unreadTokens -= uncachedTokens;
    }

    /** Notes that a request ended. */
    public void onRequestEnded() {
        inFlight--;
    }

    /** Notes the load that the endpoint reports. */
    public void onLoadReport(LoadReport report, long nowNanos) {
        othersAtReport = Math.max(0, report.running() + report.waiting() - inFlight);
        reportNanos = nowNanos;
    }

    /** Notes what other hosts have at this endpoint. */
    public void onPeerLoad(PeerLoad use, long nowNanos) {
        others = use;
        othersNanos = nowNanos;
    }

    /** Estimated requests of all hosts at the endpoint. */
    public double load(long nowNanos) {
        if (fresh(othersNanos, nowNanos)) {
            return inFlight + others.inFlight();
        }
        return inFlight + (fresh(reportNanos, nowNanos) ? othersAtReport : 0);
    }

    /** Estimated prompt tokens that the endpoint has still to read. */
    public double estimatedUnreadTokens(long nowNanos) {
        return unreadTokens + (fresh(othersNanos, nowNanos) ? others.unreadTokens() : 0);
    }

    private static boolean fresh(long atNanos, long nowNanos) {
        return atNanos != Long.MIN_VALUE && nowNanos - atNanos < REPORT_LIFE_NANOS;
    }

    /** Notes a failed attempt. */
    public void onFailure(double weight, long nowNanos) {
        failureScore = Math.min(MAX_FAILURE_SCORE, ownFailureScore(nowNanos) + weight);
        failuresNanos = nowNanos;
    }

    /** Notes a good answer. */
    public void onSuccess(long nowNanos) {
        failureScore = ownFailureScore(nowNanos) * 0.7;
        failuresNanos = nowNanos;
        blockedUntilNanos = Long.MIN_VALUE;
    }

    /** Failure score: that of this host, or of the others if they have seen it fail more. */
    public double failureScore(long nowNanos) {
        double own = ownFailureScore(nowNanos);
        return fresh(othersNanos, nowNanos) ? Math.max(own, others.failureScore()) : own;
    }

    /** Failure score of this host, which halves every few seconds. */
    public double ownFailureScore(long nowNanos) {
        return failureScore == 0
                ? 0
                : failureScore * Math.pow(0.5, (nowNanos - failuresNanos) / FAILURE_HALF_LIFE_NANOS);
    }

    /** Notes that no connection can be made; the endpoint is left alone until then. */
    public void blockUntil(long untilNanos) {
        blockedUntilNanos = untilNanos;
    }

    boolean isBlocked(long nowNanos) {
        return blockedUntilNanos != Long.MIN_VALUE && nowNanos < blockedUntilNanos;
    }
}
