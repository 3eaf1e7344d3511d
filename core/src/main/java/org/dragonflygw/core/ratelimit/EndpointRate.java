package org.dragonflygw.core.ratelimit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What this host knows of the rate of requests that one instance of an endpoint takes, and when it may ask for the next
 * permit. Not thread-safe.
 */
public final class EndpointRate {
    /** Longest cold time that is taken from another host, in milliseconds. */
    private static final long MAX_COLD_TOLD_MS = 3_600_000;

    /** Least extension of a cold period that is taken from another host, in nanoseconds. Ends grow by the time that each
     * message takes, so hosts that pass them on would else extend them for ever. */
    private static final long MIN_TOLD_EXTENSION_NANOS = 1_000_000_000L;

    private static final long NANOS_PER_MS = 1_000_000;

    private final String endpoint;
    private final long startedMs;
    private final Map<String, Long> ownerWaits = new HashMap<>();
    private RateStatement statement;
    private long changedNanos;
    private ColdPeriod cold;
    private boolean isCold;
    private long coldSinceNanos;
    private long permitFromNanos = Long.MIN_VALUE;

    EndpointRate(String endpoint, long startedMs) {
        this.endpoint = endpoint;
        this.startedMs = startedMs;
    }

    /** Returns the id of the endpoint. */
    public String endpoint() {
        return endpoint;
    }

    /** Returns the Unix time at which the instance started, in milliseconds. */
    public long startedMs() {
        return startedMs;
    }

    /** Returns the statement that holds; empty if no limit was ever named. */
    public Optional<RateStatement> statement() {
        return Optional.ofNullable(statement);
    }

    /** Returns whether the instance takes a limited rate of requests, because it names a limit or is cold. */
    public boolean isLimited() {
        return isCold || namesLimit();
    }

    /** Returns whether the instance names a limit. */
    public boolean namesLimit() {
        return statement != null && statement.notice().isLimited();
    }

    /** Returns the lower of the named limit and the limit of a cold instance in requests per second, or infinity. */
    public double requestsPerSecond() {
        return isCold ? Math.min(namedPerSecond(), cold.perSecond()) : namedPerSecond();
    }

    /** Returns the limit that the instance names in requests per second, infinity without one. */
    public double namedPerSecond() {
        return statement == null ? Double.POSITIVE_INFINITY : statement.notice().requestsPerSecond();
    }

    /** Returns whether the instance is cold. */
    public boolean isCold() {
        return isCold;
    }

    /** Returns the cold period; empty if the instance is warm. */
    public Optional<ColdPeriod> cold() {
        return isCold ? Optional.of(cold) : Optional.empty();
    }

    /** Returns when the instance became cold, on the monotonic clock. */
    long coldSinceNanos() {
        return coldSinceNanos;
    }

    /** Makes the instance cold, or extends its cold period; an end that is not later than the known one changes nothing. */
    public void extendCold(ColdPeriod period, long nowNanos) {
        boolean isLater = cold == null || period.untilNanos() - cold.untilNanos() > 0;
        if (!isLater || period.untilNanos() - nowNanos <= 0) {
            return;
        }
        cold = period;
        if (!isCold) {
            isCold = true;
            coldSinceNanos = nowNanos;
        }
    }

    /** Applies what another host told of the cold period. */
    void onColdTold(long leftMs, double perSecond, long nowNanos) {
        if (leftMs <= 0 || leftMs > MAX_COLD_TOLD_MS || !(perSecond > 0)) {
            return;
        }
        long untilNanos = nowNanos + leftMs * NANOS_PER_MS;
        if (cold == null || untilNanos - cold.untilNanos() > MIN_TOLD_EXTENSION_NANOS) {
            extendCold(new ColdPeriod(untilNanos, perSecond, ColdSource.PEER), nowNanos);
        }
    }

    /** Sets the rate that a cold instance tolerates. */
    public void coldPerSecond(double perSecond) {
        if (isCold) {
            cold = new ColdPeriod(cold.untilNanos(), perSecond, cold.source());
        }
    }

    /** Ends the cold period if its time is over; returns whether it ended now. */
    public boolean endCold(long nowNanos) {
        boolean ends = isCold && cold.untilNanos() - nowNanos <= 0;
        isCold &= !ends;
        return ends;
    }

    /** Returns when the limit last changed, on the monotonic clock. */
    long changedNanos() {
        return changedNanos;
    }

    /** Applies a statement; returns whether the limit changed. */
    public boolean accept(RateStatement next, long nowNanos) {
        if (next.notice().kind() == RateNotice.Kind.UNREADABLE
                || (statement == null && !next.notice().isLimited())) {
            return false;
        }
        RateNotice before = statement == null ? RateNotice.UNLIMITED : statement.notice();
        statement = statement == null ? next : statement.merge(next);
        boolean changed = !statement.notice().equals(before);
        if (changed) {
            changedNanos = nowNanos;
        }
        return changed;
    }

    /** Returns the time until a permit to send a request may be had, in nanoseconds; 0 if the rate is not limited. */
    public long permitWaitNanos(long nowNanos) {
        boolean waits = isLimited() && permitFromNanos != Long.MIN_VALUE;
        return waits ? Math.max(0, permitFromNanos - nowNanos) : 0;
    }

    /** Records that no host has a permit before a time of the monotonic clock. */
    void noPermitUntil(long untilNanos) {
        permitFromNanos = untilNanos;
    }

    /** Records that an owner of the limit has no permit before a time of the monotonic clock. */
    void ownerHasNoneUntil(String owner, long untilNanos) {
        ownerWaits.put(owner, untilNanos);
    }

    /** Returns from when on an owner of the limit may have a permit, on the monotonic clock. */
    long ownerHasPermitFrom(String owner) {
        return ownerWaits.getOrDefault(owner, Long.MIN_VALUE);
    }
}
