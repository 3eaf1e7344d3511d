package org.dragonflygw.core.ratelimit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What this host knows of the rate of requests that one instance of an endpoint takes, and when it may ask for the next
 * permit. Not thread-safe.
 */
public final class EndpointRate {
    private final String endpoint;
    private final long startedMs;
    private final Map<String, Long> ownerWaits = new HashMap<>();
    private RateStatement statement;
    private long changedNanos;
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

    /** Returns whether the instance takes a limited rate of requests. */
    public boolean isLimited() {
        return statement != null && statement.notice().isLimited();
    }

    /** Returns the limit in requests per second, infinity without one. */
    public double requestsPerSecond() {
        return statement == null ? Double.POSITIVE_INFINITY : statement.notice().requestsPerSecond();
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
