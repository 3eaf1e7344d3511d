package org.dragonflygw.core.dispatch;

import java.util.List;
import org.dragonflygw.core.discovery.DiscoveredEndpoint;
import org.dragonflygw.core.ratelimit.EndpointRate;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * The state of one endpoint as seen by this host: registry entry, load, failure score and cached prompts. Not
 * thread-safe.
 */
public final class EndpointLoadState {
    /** Speed at which an engine reads (prefills) prompts, in tokens per millisecond; typical of the engines in use. */
    static final double READ_TOKENS_PER_MS = 50;

    private static final double NANOS_PER_MS = 1e6;

    /** Half-life of the failure score, in nanoseconds. Faults of endpoints typically last a few seconds. */
    private static final double FAILURE_HALF_LIFE_NANOS = 2.5e9;

    private static final double MAX_FAILURE_SCORE = 8;

    /** Time for which a report of load from other hosts is used, in nanoseconds; about the duration of a stream. */
    private static final long REPORT_EXPIRY_NANOS = 2_500_000_000L;

    /** Time for which the endpoint's own report may be ahead of the peers' reports, in nanoseconds. */
    private static final long RECENT_REPORT_NANOS = 500_000_000L;

    private final CachedParts cached;
    private final QuietTime quiet;
    private final EndpointRate rate;
    private final long idHash;
    private DiscoveredEndpoint entry;
    private int inFlight;
    private long unreadTokens;
    private int otherRequestsAtReport;
    private long reportNanos = Long.MIN_VALUE;
    private PeerLoad peerLoad = PeerLoad.NONE;
    private long peerLoadNanos = Long.MIN_VALUE;
    private double failureScore;
    private long failureScoreNanos;
    private long blockedUntilNanos = Long.MIN_VALUE;
    private boolean leaving;

    EndpointLoadState(DiscoveredEndpoint entry, QuietTime quiet, EndpointRate rate, long cacheTokens) {
        this.entry = entry;
        this.quiet = quiet;
        this.rate = rate;
        this.cached = new CachedParts(cacheTokens);
        this.idHash = RoutingHash.of(entry.id());
    }

    /** Returns the hash of the endpoint's id. */
    public long idHash() {
        return idHash;
    }

    /** Returns the latest registry entry of the endpoint. */
    public DiscoveredEndpoint entry() {
        return entry;
    }

    void entry(DiscoveredEndpoint e) {
        this.entry = e;
    }

    /** Returns the number of this host's requests in flight at the endpoint. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the number of prompt tokens of this host's requests that the endpoint has not read (prefilled) yet. */
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

    /** Records a prompt prefix that another host sent to the endpoint. */
    public void onPromptSentByPeer(List<PromptPart> parts, long nowNanos) {
        cached.add(parts, readNanos(nowNanos));
    }

    private long readNanos(long nowNanos) {
        return nowNanos + (long) (estimatedUnreadTokens(nowNanos) / READ_TOKENS_PER_MS * NANOS_PER_MS);
    }

    /** Records that the prompt of a request was read, or that the request ended before. */
    public void onPromptRead(long uncachedTokens) {
        unreadTokens -= uncachedTokens;
    }

    /** Records that a request of this host ended. */
    public void onRequestEnded() {
        inFlight--;
    }

    /** Records the load that the endpoint reported in a response. */
    public void onLoadReport(LoadReport report, long nowNanos) {
        otherRequestsAtReport = Math.max(0, report.running() + report.waiting() - inFlight);
        reportNanos = nowNanos;
    }

    /** Records the load that other hosts put on the endpoint. */
    public void onPeerLoad(PeerLoad load, long nowNanos) {
        peerLoad = load;
        peerLoadNanos = nowNanos;
    }

    /**
     * Returns the estimated number of requests of all hosts at the endpoint. Reports of peers take precedence over the
     * endpoint's own reports.
     */
    public double load(long nowNanos) {
        if (isFresh(peerLoadNanos, nowNanos)) {
            return inFlight + peerLoad.inFlight();
        }
        return inFlight + (isFresh(reportNanos, nowNanos) ? otherRequestsAtReport : 0);
    }

    /**
     * Returns the higher of {@link #load} and the load that the endpoint itself reported a moment ago. Its report holds
     * what all hosts have sent since the last reports of the peers.
     */
    double highestLoad(long nowNanos) {
        boolean recent = reportNanos != Long.MIN_VALUE && nowNanos - reportNanos < RECENT_REPORT_NANOS;
        return Math.max(load(nowNanos), recent ? inFlight + otherRequestsAtReport : 0);
    }

    /** Returns the estimated number of prompt tokens of all hosts that the endpoint has not read yet. */
    public double estimatedUnreadTokens(long nowNanos) {
        return unreadTokens + (isFresh(peerLoadNanos, nowNanos) ? peerLoad.unreadTokens() : 0);
    }

    private static boolean isFresh(long atNanos, long nowNanos) {
        return atNanos != Long.MIN_VALUE && nowNanos - atNanos < REPORT_EXPIRY_NANOS;
    }

    /**
     * Records a failed attempt.
     *
     * @param weight amount added to the failure score
     */
    public void onFailure(double weight, long nowNanos) {
        failureScore = Math.min(MAX_FAILURE_SCORE, ownFailureScore(nowNanos) + weight);
        failureScoreNanos = nowNanos;
    }

    /** Records a successful response, which lowers the failure score and unblocks the endpoint. */
    public void onSuccess(long nowNanos) {
        failureScore = ownFailureScore(nowNanos) * 0.7;
        failureScoreNanos = nowNanos;
        blockedUntilNanos = Long.MIN_VALUE;
    }

    /** Returns the failure score, which is the larger of this host's score and the mean score of its peers. */
    public double failureScore(long nowNanos) {
        double own = ownFailureScore(nowNanos);
        return isFresh(peerLoadNanos, nowNanos) ? Math.max(own, peerLoad.failureScore()) : own;
    }

    /** Returns this host's failure score, which decays exponentially with a half-life of a few seconds. */
    public double ownFailureScore(long nowNanos) {
        return failureScore == 0
                ? 0
                : failureScore * Math.pow(0.5, (nowNanos - failureScoreNanos) / FAILURE_HALF_LIFE_NANOS);
    }

    /** Records that connections to the endpoint fail; the endpoint is avoided until the given monotonic time. */
    public void blockUntil(long untilNanos) {
        blockedUntilNanos = untilNanos;
    }

    /** Returns for how long the endpoint wants no requests of this host, in nanoseconds; 0 if it takes them. */
    public long quietNanos(long nowNanos) {
        return quiet.remainingNanos(nowNanos);
    }

    /** Returns what this host knows of the rate of requests that the endpoint takes from all hosts. */
    public EndpointRate rate() {
        return rate;
    }

    /** Returns whether this host has as many requests in flight as the endpoint takes shortly after a quiet time. */
    boolean isRampFull(long nowNanos) {
        return inFlight >= quiet.maxInFlight(nowNanos);
    }

    void markLeaving() {
        leaving = true;
    }

    /** Returns whether the endpoint said in a response to any host that it is leaving. */
    public boolean isLeaving() {
        return leaving;
    }

    boolean isBlocked(long nowNanos) {
        return blockedUntilNanos != Long.MIN_VALUE && nowNanos < blockedUntilNanos;
    }
}
