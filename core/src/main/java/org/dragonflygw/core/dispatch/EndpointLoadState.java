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
    private static final double NANOS_PER_MS = 1e6;

    /** Half-life of the failure score, in nanoseconds. Faults of endpoints typically last a few seconds. */
    private static final double FAILURE_HALF_LIFE_NANOS = 2.5e9;

    private static final double MAX_FAILURE_SCORE = 8;

    /** Time for which a report of load from other hosts is used, in nanoseconds; about the duration of a stream. */
    private static final long REPORT_EXPIRY_NANOS = 2_500_000_000L;

    /** Time for which the endpoint's own report may be ahead of the peers' reports, in nanoseconds. */
    private static final long RECENT_REPORT_NANOS = 500_000_000L;

    /** Time for which a prompt typically stays unread, in nanoseconds. */
    private static final double UNREAD_NANOS = 3e8;

    /** Largest level of an endpoint that is believed, as a multiple of the mean load of its service. */
    private static final double MAX_LEVEL = 4;

    /** Mean number of requests of other hosts at an endpoint from which the level of an endpoint can be told. */
    private static final double MIN_MEAN_LOAD = 0.5;

    /** Share of an engine's memory that requests may occupy, since the load of other hosts is an estimate. */
    private static final double MEMORY_SHARE = 0.9;

    /** Estimated load of other hosts below which an engine counts as idle. */
    private static final double MAX_IDLE_LOAD = 0.5;

    /**
     * Weight of the mean of the service beside this host's own requests, in requests, when the other hosts' latest requests
     * to an endpoint are estimated.
     */
    private static final double MEAN_WEIGHT_REQUESTS = 0.05;

    /** Longest time for which an endpoint is expected to go on with a request that was given up, in nanoseconds. */
    private static final double MAX_LINGER_NANOS = 1.5e9;

    private static final LoadReport NO_REPORT = new LoadReport(0, 0, 0);

    private final ServiceTraffic traffic;
    private final EndpointSpeeds speeds;
    private final CachedParts cached;
    private final RecentTimes sends = new RecentTimes();
    private final RecentTimes abandoned = new RecentTimes();
    private final RestartDoubt restartDoubt = new RestartDoubt();
    private final QuietTime quiet;
    private final EndpointRate rate;
    private final long idHash;
    private DiscoveredEndpoint entry;
    private int inFlight;
    private long ownTokens;
    private long unreadTokens;
    private LoadReport lastReport = NO_REPORT;
    private int otherRequestsAtReport;
    private long reportNanos = Long.MIN_VALUE;
    private PeerLoad peerLoad = PeerLoad.NONE;
    private long peerLoadNanos = Long.MIN_VALUE;
    private double level = 1;
    private long estimateNanos = Long.MIN_VALUE;
    private double estimatedOthers;
    private double othersDeviation;
    private double failureScore;
    private long failureScoreNanos;
    private long blockedUntilNanos = Long.MIN_VALUE;
    private boolean leaving;

    EndpointLoadState(DiscoveredEndpoint entry, ServiceTraffic traffic, QuietTime quiet, EndpointRate rate) {
        this.entry = entry;
        this.traffic = traffic;
        this.speeds = new EndpointSpeeds(traffic.speeds());
        this.quiet = quiet;
        this.rate = rate;
        this.cached = new CachedParts(traffic::memoryTokens);
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
        sends.add(nowNanos);
        ownTokens += traffic.tokensOf(prompt);
        traffic.onTokens(traffic.tokensOf(prompt));
        unreadTokens += uncachedTokens;
        cached.add(prompt.parts(), readNanos(nowNanos));
    }

    /** Records a prompt prefix that another host sent to the endpoint. */
    public void onPromptSentByPeer(List<PromptPart> parts, long nowNanos) {
        cached.add(parts, readNanos(nowNanos));
        if (!parts.isEmpty()) {
            traffic.onPrefix(parts.get(parts.size() - 1).id());
        }
    }

    private long readNanos(long nowNanos) {
        return nowNanos + (long) (speeds.readMs(estimatedUnreadTokens(nowNanos), nowNanos) * NANOS_PER_MS);
    }

    /** Records that the prompt of a request was read, or that the request ended before. */
    public void onPromptRead(long uncachedTokens) {
        unreadTokens -= uncachedTokens;
    }

    /** Records that a request of this host without a prompt ended. */
    public void onRequestEnded() {
        onRequestEnded(Prompt.NONE);
    }

    /** Records that a request of this host ended. */
    public void onRequestEnded(Prompt prompt) {
        inFlight--;
        ownTokens = inFlight == 0 ? 0 : Math.max(0, ownTokens - traffic.tokensOf(prompt));
    }

    /** Records that this host gives up a request that has not ended; the endpoint may go on with it for a while. */
    public void onAbandoned(long nowNanos) {
        abandoned.add(nowNanos);
    }

    /** Returns the number of this host's requests with which the endpoint may be busy: in flight, or given up lately. */
    public int held(long nowNanos) {
        long lingerNanos = (long) Math.min(MAX_LINGER_NANOS, traffic.requestNanos());
        return inFlight + abandoned.countAfter(nowNanos - lingerNanos);
    }

    /**
     * Returns whether the memory of the engine is expected to hold one more request beside those of all hosts. An engine
     * without requests takes any, so that long prompts are not starved.
     */
    boolean hasMemoryFor(Prompt prompt, long nowNanos) {
        double others = load(nowNanos) - inFlight;
        if (inFlight == 0 && others < MAX_IDLE_LOAD) {
            return true;
        }
        double occupied = ownTokens + others * traffic.tokensPerRequest();
        return occupied + traffic.tokensOf(prompt) <= MEMORY_SHARE * traffic.memoryTokens();
    }

    /** Records how long a request of this host took that was answered in whole, in nanoseconds from its sending. */
    public void onRequestTime(long nanos) {
        traffic.onRequestTime(nanos);
    }

    /** Records the load that the endpoint reported in a response; numbers that cannot be true are ignored. */
    public void onLoadReport(LoadReport report, long nowNanos) {
        speeds.onStated(report.workPercent(), traffic.requestNanos(), nowNanos);
        if (!report.isPlausible()) {
            return;
        }
        lastReport = report;
        otherRequestsAtReport = Math.max(0, report.running() + report.waiting() - held(nowNanos));
        reportNanos = nowNanos;
        estimateNanos = Long.MIN_VALUE;
    }

    /** Returns the latest load report, or one without requests if there is none since a time. */
    LoadReport reportSince(long sinceNanos) {
        return reportNanos != Long.MIN_VALUE && reportNanos >= sinceNanos ? lastReport : NO_REPORT;
    }

    /** Returns how fast the endpoint works. */
    EndpointSpeeds speeds() {
        return speeds;
    }

    /** Returns the age of what was learned of the endpoint's speed, in milliseconds; -1 if nothing was. */
    public long speedAgeMs(long nowNanos) {
        return speeds.ageMs(nowNanos);
    }

    /** Returns how long work is expected to take on the endpoint, as a percentage of the usual time of its service. */
    public long workPercent(long nowNanos) {
        return Math.round(speeds.factor(nowNanos) * 100);
    }

    /** Records the load that other hosts put on the endpoint, as known at a time. */
    public void onPeerLoad(PeerLoad load, long nowNanos) {
        updateLevel(load, nowNanos);
        peerLoad = load;
        peerLoadNanos = nowNanos;
    }

    /**
     * Returns the estimated number of requests of all hosts at the endpoint: those of this host, and those of the others.
     * What is known of the others is the newer one of the peers' reports and the endpoint's own. Of the requests that it
     * shows some have ended since, and others were sent; with its age the estimate moves to the mean of the service.
     */
    public double load(long nowNanos) {
        estimate(nowNanos);
        return held(nowNanos) + estimatedOthers;
    }

    /** Returns the standard deviation of the load about its estimate, as requests arrived and ended since the report. */
    double loadDeviation(long nowNanos) {
        estimate(nowNanos);
        return othersDeviation;
    }

    private void estimate(long nowNanos) {
        if (estimateNanos == nowNanos) {
            return;
        }
        double expected = level * traffic.othersPerEndpoint(nowNanos);
        double remaining = isKnown(nowNanos) ? traffic.remainingShare(ageNanos(nowNanos)) : 0;
        estimatedOthers = remaining * othersReported(nowNanos) + (1 - remaining) * expected;
        othersDeviation = Math.sqrt(expected * (1 - remaining * remaining));
        estimateNanos = nowNanos;
    }

    /** Returns whether there is a recent report of the endpoint's load. */
    boolean isKnown(long nowNanos) {
        return isFresh(peerLoadNanos, nowNanos) || isFresh(reportNanos, nowNanos);
    }

    /** Returns the number of requests of other hosts at the endpoint by the newest report. */
    public double othersReported(long nowNanos) {
        return isOwnReportNewer(nowNanos) ? otherRequestsAtReport : peerLoad.inFlight();
    }

    /** Returns the prompt tokens of other hosts that the endpoint had not read by the peers' reports. */
    double othersUnreadTokens(long nowNanos) {
        return isFresh(peerLoadNanos, nowNanos) ? peerLoad.unreadTokens() : 0;
    }

    /** Returns the age of the newest report of the endpoint's load, in nanoseconds. */
    double ageNanos(long nowNanos) {
        return isOwnReportNewer(nowNanos) ? nowNanos - reportNanos : peerLoadAgeNanos(nowNanos);
    }

    /** Returns the age of the newest report of the endpoint's load in milliseconds; -1 if there is no recent one. */
    public long loadAgeMs(long nowNanos) {
        return isKnown(nowNanos) ? (long) (ageNanos(nowNanos) / NANOS_PER_MS) : -1;
    }

    private boolean isOwnReportNewer(long nowNanos) {
        boolean known = isFresh(reportNanos, nowNanos) || isFresh(peerLoadNanos, nowNanos);
        if (!known || reportNanos == Long.MIN_VALUE) {
            return false;
        }
        return !isFresh(peerLoadNanos, nowNanos) || nowNanos - reportNanos < peerLoadAgeNanos(nowNanos);
    }

    private double peerLoadAgeNanos(long nowNanos) {
        return nowNanos - peerLoadNanos + peerLoad.ageMs() * NANOS_PER_MS;
    }

    /** Returns what is known of all requests to the service of the endpoint. */
    public ServiceTraffic traffic() {
        return traffic;
    }

    private void updateLevel(PeerLoad load, long nowNanos) {
        double mean = traffic.othersPerEndpoint(nowNanos);
        estimateNanos = Long.MIN_VALUE;
        if (peerLoadNanos == Long.MIN_VALUE || mean < MIN_MEAN_LOAD) {
            return;
        }
        double weight = 1 - Math.exp(-(nowNanos - peerLoadNanos) / traffic.levelNanos());
        level += weight * (Math.min(MAX_LEVEL, load.inFlight() / mean) - level);
    }

    /**
     * Returns the higher of {@link #load} and the load that the endpoint itself reported a moment ago. Its report holds
     * what all hosts have sent since the last reports of the peers.
     */
    double highestLoad(long nowNanos) {
        boolean recent = reportNanos != Long.MIN_VALUE && nowNanos - reportNanos < RECENT_REPORT_NANOS;
        return Math.max(load(nowNanos), recent ? held(nowNanos) + otherRequestsAtReport : 0);
    }

    /**
     * Returns the load that counts for the load bound: the highest one that is known, and what the others are expected to
     * have sent since the newest report beyond their usual share. They choose by the same reports as this host, so an
     * endpoint that this host prefers gets more of their requests, too.
     */
    double boundedLoad(long nowNanos) {
        return isNew(nowNanos) ? loadIfNew(nowNanos) : highestLoad(nowNanos) + unusualArrivals(nowNanos);
    }

    private double unusualArrivals(long nowNanos) {
        if (!isKnown(nowNanos)) {
            return 0;
        }
        double ageNanos = ageNanos(nowNanos);
        double arrivingShare = level * (1 - traffic.remainingShare(ageNanos));
        double ownExpected = arrivingShare * traffic.ownPerEndpoint(nowNanos);
        double ownUnusual = Math.max(0, sends.countAfter(nowNanos - (long) ageNanos) - ownExpected);
        double othersExpected = arrivingShare * traffic.othersPerEndpoint(nowNanos);
        return othersExpected * ownUnusual / (MEAN_WEIGHT_REQUESTS + ownExpected);
    }

    /** Returns the load that counts in the mean of the service for the load bound. */
    double meanedLoad(long nowNanos) {
        return isNew(nowNanos) ? loadIfNew(nowNanos) : load(nowNanos);
    }

    /** Returns whether the endpoint has appeared since the last reports of the peers. */
    boolean isNew(long nowNanos) {
        return peerLoadNanos == Long.MIN_VALUE && reportNanos == Long.MIN_VALUE && traffic.hearsPeers(nowNanos);
    }

    /** The others are taken to have sent as many requests to a new endpoint as this host, each in proportion to its traffic. */
    private double loadIfNew(long nowNanos) {
        return inFlight * (1 + traffic.othersPerOwn(nowNanos));
    }

    /** Returns whether the load that peers put on the endpoint was heard recently. */
    boolean hasPeerLoad(long nowNanos) {
        return isFresh(peerLoadNanos, nowNanos);
    }

    /** Returns the estimated number of prompt tokens of all hosts that the endpoint has not read yet. */
    public double estimatedUnreadTokens(long nowNanos) {
        double remaining = Math.exp(-peerLoadAgeNanos(nowNanos) / UNREAD_NANOS);
        return unreadTokens
                + (isFresh(peerLoadNanos, nowNanos)
                        ? remaining * peerLoad.unreadTokens() + (1 - remaining) * traffic.unreadPerEndpoint(nowNanos)
                        : 0);
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

    /** Forgets failures of this host that were no fault of the endpoint. */
    void forgetFailures() {
        failureScore = 0;
        blockedUntilNanos = Long.MIN_VALUE;
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

    /** Records that the endpoint ended or refused a connection. */
    void onConnectionLost(long nowNanos) {
        restartDoubt.onConnectionLost(nowNanos);
    }

    /** Records bytes of the endpoint on a connection that was opened at a time. */
    void onHeard(long openedNanos) {
        restartDoubt.onHeard(openedNanos);
    }

    /** Returns whether the endpoint may have restarted, perhaps with other software, since its entry was written. */
    public boolean mayHaveRestarted(long nowNanos) {
        return restartDoubt.exists(nowNanos);
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
