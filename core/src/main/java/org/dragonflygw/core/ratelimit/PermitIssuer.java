package org.dragonflygw.core.ratelimit;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dragonflygw.core.lease.MonotonicClock;
import org.dragonflygw.core.limits.TokenBucket;

/**
 * Gives out this host's share of the limits of which it is an owner, to itself and to other hosts. A share begins empty,
 * so that a process that has just started adds nothing to what its predecessor or another owner gave out. Not
 * thread-safe.
 */
public final class PermitIssuer {
    /** Lowest rate at which all owners together let requests through, in requests per second: an endpoint that takes
     * none is asked now and then, as only a response can end the limit. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.2;

    /** Time over which unused permits of a share are kept, in seconds. */
    private static final double BURST_S = 0.25;

    /**
     * Unused permits of a cold endpoint that are kept over all owners. The platform tolerates 5 requests above the rate in
     * one second; the rest is for permits that are used late and for owners that change.
     */
    private static final double COLD_BURST = 3.6;

    /** Wait that is told to a host which takes this one for an owner, in milliseconds. */
    private static final long NOT_OWNER_WAIT_MS = 500;

    /** Time after its start in which a process may have a predecessor whose permits are still being used, in nanoseconds. */
    private static final long MIN_RUNNING_NANOS = 3_000_000_000L;

    private static final long MAX_WAIT_MS = 60_000;
    private static final int MAX_SHARES = 2_048;

    private final String self;
    private final EndpointRates rates;
    private final PermitOwners owners;
    private final MonotonicClock clock;
    private final Map<EndpointRate, TokenBucket> shares = new LinkedHashMap<>();
    private final long startNanos;
    private long granted;
    private long denied;

    /**
     * Creates an issuer.
     *
     * @param self name of this host
     */
    public PermitIssuer(String self, EndpointRates rates, PermitOwners owners, MonotonicClock clock) {
        this.self = self;
        this.rates = rates;
        this.owners = owners;
        this.clock = clock;
        this.startNanos = clock.nanos();
    }

    /** Decides on the request of another host or of this one. */
    public PermitReply issue(PermitRequest request) {
        long now = clock.nanos();
        rates.accept(request.rate(), now);
        EndpointRate rate = rates.of(request.rate().endpoint(), request.rate().startedMs());
        long waitMs = waitMs(rate);
        if (waitMs == 0) {
            granted++;
        } else {
            denied++;
        }
        return new PermitReply(waitMs == 0, waitMs, RateReport.of(rate, now));
    }

    /** Takes a permit and returns 0, or returns the time until the next one, in milliseconds. */
    private long waitMs(EndpointRate rate) {
        if (!rate.isLimited()) {
            shares.remove(rate);
            return 0;
        }
        List<String> all = owners.of(rate);
        if (!all.contains(self)) {
            shares.remove(rate);
            return NOT_OWNER_WAIT_MS;
        }
        double part = rate.isCold() ? owners.coldShare(all) : owners.share(all);
        double perSecond = Math.max(MIN_REQUESTS_PER_SECOND, rate.requestsPerSecond()) * part;
        double capacity = rate.isCold() ? Math.max(1, COLD_BURST * part) : 1 + perSecond * BURST_S;
        Instant now = Instant.ofEpochSecond(0, clock.nanos());
        TokenBucket share = shares.computeIfAbsent(rate, r -> newBucket(rate, perSecond, now));
        if (shares.size() > MAX_SHARES) {
            shares.remove(shares.keySet().iterator().next());
        }
        share.configure(perSecond, capacity, now);
        return share.take(1, now) == 1 ? 0 : Math.max(1, Math.min(MAX_WAIT_MS, share.millisToNext(now)));
    }

    /**
     * Returns an empty bucket, or one with a single permit for an endpoint that turned cold while this process was running:
     * nobody has given out permits of this cold period for it.
     */
    private TokenBucket newBucket(EndpointRate rate, double perSecond, Instant now) {
        TokenBucket bucket = new TokenBucket(perSecond, 1, now);
        if (!rate.isCold() || rate.coldSinceNanos() - startNanos < MIN_RUNNING_NANOS) {
            bucket.take(1, now);
        }
        return bucket;
    }

    /** Returns the number of permits that were given out. */
    public long grantedCount() {
        return granted;
    }

    /** Returns the number of requests for a permit that were denied. */
    public long deniedCount() {
        return denied;
    }
}
