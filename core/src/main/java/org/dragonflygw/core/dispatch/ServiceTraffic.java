package org.dragonflygw.core.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.dragonflygw.core.routing.HotPrefixTracker;

/**
 * What this host knows of the requests of all hosts to one service: how many the others have in flight per endpoint, how
 * old that knowledge is, and how long requests take. From these follows, by Little's law, what the others are expected
 * to have sent since their reports. Not thread-safe.
 */
public final class ServiceTraffic {
    /** Time for which the means over all endpoints are used, in nanoseconds; a fraction of the time between reports. */
    private static final long MEANS_EXPIRY_NANOS = 20_000_000;

    /** Weight of one request in the mean request time. */
    private static final double REQUEST_WEIGHT = 1 / 32.0;

    /** Largest request time, as a multiple of the mean so far, so that single long requests move the mean little. */
    private static final double MAX_REQUEST_FACTOR = 8;

    /**
     * Time over which the level of an endpoint is averaged, as a multiple of the time after which a choice shows in the
     * reports; a shorter one lets the load swing.
     */
    private static final double LEVEL_TIMES = 6;

    private static final double MIN_REQUEST_NANOS = 1e6;
    private static final double MAX_REQUEST_NANOS = 120e9;
    private static final long NANOS_PER_MS = 1_000_000;

    /** Number of tracked prompt prefixes; no more of them can be hot at once. */
    private static final int TRACKED_PREFIXES = 128;

    /** Number of requests after which earlier ones count half when the share of a prefix is estimated. */
    private static final int PREFIX_WINDOW_REQUESTS = 2_048;

    /** Number of requests to other prefixes that are assumed before any is seen, so that first ones are not hot. */
    private static final double ASSUMED_REQUESTS = 64;

    private final HotPrefixTracker prefixes = new HotPrefixTracker(TRACKED_PREFIXES, PREFIX_WINDOW_REQUESTS);
    /** Assumed memory of an engine before a request has named its service's configuration, in tokens. */
    private static final long INITIAL_MEMORY_TOKENS = 300_000;

    private final ServiceSpeeds speeds = new ServiceSpeeds();
    private final Brittleness brittleness = new Brittleness();
    private final List<EndpointLoadState> endpoints = new ArrayList<>();
    private double meanRequestNanos;
    private double meanSquaredRequestNanos;
    private double tokensPerRequest;
    private long memoryTokens = INITIAL_MEMORY_TOKENS;
    private long meansNanos = Long.MIN_VALUE;
    private double othersPerEndpoint;
    private double unreadPerEndpoint;
    private double ownPerEndpoint;
    private double othersPerOwn;
    private boolean hearsPeers;
    private double meanAgeNanos;

    /**
     * Creates the traffic of a service without endpoints.
     *
     * @param initialRequestMs request time that is assumed before any request has ended, in milliseconds
     */
    ServiceTraffic(double initialRequestMs) {
        meanRequestNanos = initialRequestMs * NANOS_PER_MS;
        meanSquaredRequestNanos = meanRequestNanos * meanRequestNanos;
    }

    /** Returns the endpoints of the service, including draining ones. */
    List<EndpointLoadState> endpoints() {
        return Collections.unmodifiableList(endpoints);
    }

    /** Returns the number of known endpoints of the service, including draining ones. */
    public int endpointCount() {
        return endpoints.size();
    }

    void add(EndpointLoadState e) {
        endpoints.add(e);
        meansNanos = Long.MIN_VALUE;
    }

    void remove(EndpointLoadState e) {
        endpoints.remove(e);
        meansNanos = Long.MIN_VALUE;
    }

    /** Returns whether the endpoints of the service are brittle. */
    public Brittleness brittleness() {
        return brittleness;
    }

    /** Returns how fast the endpoints of the service usually work. */
    ServiceSpeeds speeds() {
        return speeds;
    }

    /** Sets the memory of one engine as configured, in tokens; 0 for plain services. */
    void memoryTokens(long tokens) {
        memoryTokens = tokens;
    }

    /** Returns the memory of one engine, in tokens. */
    long memoryTokens() {
        return memoryTokens;
    }

    /** Returns the tokens that a request may occupy in an engine's memory; not more than the engine has. */
    long tokensOf(Prompt prompt) {
        return Math.min(memoryTokens, (long) prompt.inputTokens() + prompt.maxOutputTokens());
    }

    /** Records the tokens that a request of this host may occupy. */
    void onTokens(long tokens) {
        tokensPerRequest += REQUEST_WEIGHT * (tokens - tokensPerRequest);
    }

    /** Returns the mean number of tokens that a request may occupy. */
    double tokensPerRequest() {
        return tokensPerRequest;
    }

    /** Returns the mean time of a request, in nanoseconds. */
    double requestNanos() {
        return meanRequestNanos;
    }

    /** Records how long a request of this host took. */
    void onRequestTime(long nanos) {
        double bounded = Math.max(
                MIN_REQUEST_NANOS,
                Math.min(Math.min(MAX_REQUEST_NANOS, meanRequestNanos * MAX_REQUEST_FACTOR), (double) nanos));
        meanRequestNanos += REQUEST_WEIGHT * (bounded - meanRequestNanos);
        meanSquaredRequestNanos += REQUEST_WEIGHT * (bounded * bounded - meanSquaredRequestNanos);
    }

    /**
     * Records a request with a shared prompt prefix.
     *
     * @param sharedKey key of the prefix
     * @return the share of the prefix in all requests seen
     */
    double onPrefix(long sharedKey) {
        double seen = prefixes.observedRequests();
        return prefixes.record(sharedKey) * seen / (seen + ASSUMED_REQUESTS);
    }

    /** Returns the time over which the level of an endpoint's load is averaged, in nanoseconds. */
    double levelNanos() {
        return LEVEL_TIMES * (meanAgeNanos + meanRequestNanos);
    }

    /** Returns the share of the requests in flight at a time that are still in flight after an age. */
    double remainingShare(double ageNanos) {
        // Requests in flight are longer than the mean, because long ones are in flight for longer.
        return Math.exp(-ageNanos * meanRequestNanos / meanSquaredRequestNanos);
    }

    /** Returns the mean number of requests that the other hosts have in flight at an endpoint. */
    double othersPerEndpoint(long nowNanos) {
        refresh(nowNanos);
        return othersPerEndpoint;
    }

    /** Returns the mean number of requests that this host has in flight at an endpoint. */
    double ownPerEndpoint(long nowNanos) {
        refresh(nowNanos);
        return ownPerEndpoint;
    }

    /** Returns the requests of the other hosts for each of this host's, at all known endpoints; 0 if this host has none. */
    double othersPerOwn(long nowNanos) {
        refresh(nowNanos);
        return othersPerOwn;
    }

    /** Returns whether the load that peers put on some endpoint was heard recently. */
    boolean hearsPeers(long nowNanos) {
        refresh(nowNanos);
        return hearsPeers;
    }

    /** Returns the mean number of prompt tokens of other hosts that an endpoint has not read yet. */
    double unreadPerEndpoint(long nowNanos) {
        refresh(nowNanos);
        return unreadPerEndpoint;
    }

    /** Returns the number of requests that the other hosts are expected to have sent to an endpoint since their reports. */
    double sentSinceReports(long nowNanos) {
        refresh(nowNanos);
        return othersPerEndpoint * meanAgeNanos / meanRequestNanos;
    }

    /** Returns the mean age of what is known of the endpoints' loads, in milliseconds. */
    public long ageMs(long nowNanos) {
        refresh(nowNanos);
        return (long) (meanAgeNanos / NANOS_PER_MS);
    }

    /**
     * Returns the largest estimated load of an endpoint as a multiple of the mean, in percent; 100 if there is no load.
     */
    public long spreadPercent(long nowNanos) {
        double[] estimates = endpoints.stream()
                .filter(ServiceTraffic::isOpen)
                .mapToDouble(e -> e.load(nowNanos))
                .toArray();
        double mean = Arrays.stream(estimates).average().orElse(0);
        return mean > 0 ? Math.round(Arrays.stream(estimates).max().orElse(0) / mean * 100) : 100;
    }

    private void refresh(long nowNanos) {
        if (meansNanos != Long.MIN_VALUE && nowNanos - meansNanos < MEANS_EXPIRY_NANOS) {
            return;
        }
        meansNanos = nowNanos;
        double others = 0;
        double unread = 0;
        double ages = 0;
        int own = 0;
        int open = 0;
        double othersOfAll = 0;
        int ownOfAll = 0;
        hearsPeers = false;
        for (EndpointLoadState e : endpoints) {
            if (!e.isKnown(nowNanos)) {
                continue;
            }
            hearsPeers |= e.hasPeerLoad(nowNanos);
            othersOfAll += e.othersReported(nowNanos);
            ownOfAll += e.inFlight();
            if (isOpen(e)) {
                open++;
                others += e.othersReported(nowNanos);
                unread += e.othersUnreadTokens(nowNanos);
                ages += e.ageNanos(nowNanos);
                own += e.inFlight();
            }
        }
        othersPerOwn = ownOfAll == 0 ? 0 : othersOfAll / ownOfAll;
        othersPerEndpoint = open == 0 ? 0 : others / open;
        unreadPerEndpoint = open == 0 ? 0 : unread / open;
        ownPerEndpoint = open == 0 ? 0 : own / (double) open;
        meanAgeNanos = open == 0 ? 0 : ages / open;
    }

    private static boolean isOpen(EndpointLoadState e) {
        return !e.entry().draining() && !e.isLeaving();
    }
}
