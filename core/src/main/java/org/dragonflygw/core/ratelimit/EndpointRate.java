package org.dragonflygw.core.ratelimit;

import java.util.Optional;

/** What this host knows of the rate of requests that one instance of an endpoint takes. Not thread-safe. */
public final class EndpointRate {
    private final String endpoint;
    private final long startedMs;
    private RateStatement statement;
    private long changedNanos;

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
}
