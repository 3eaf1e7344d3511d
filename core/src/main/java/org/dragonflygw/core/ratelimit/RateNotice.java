package org.dragonflygw.core.ratelimit;

/**
 * What one response of an endpoint says about the requests that the endpoint takes from all hosts together.
 *
 * @param kind whether the response names a limit
 * @param requestsPerSecond the limit; {@link Double#POSITIVE_INFINITY} without one
 */
public record RateNotice(Kind kind, double requestsPerSecond) {
    /** The notice of a response that names no limit. */
    public static final RateNotice UNLIMITED = new RateNotice(Kind.UNLIMITED, Double.POSITIVE_INFINITY);

    /** The notice of a response that names a limit which cannot be read; what was known before still holds. */
    public static final RateNotice UNREADABLE = new RateNotice(Kind.UNREADABLE, Double.POSITIVE_INFINITY);

    /** Whether a response names a limit. */
    public enum Kind {
        /** No limit is named, which ends an earlier one. */
        UNLIMITED,
        /** A limit is named. */
        LIMITED,
        /** A limit is named that is not a number from 0 on. */
        UNREADABLE
    }

    /** Returns the notice of a limit in requests per second; one that is not a finite number from 0 on is unreadable. */
    public static RateNotice limited(double requestsPerSecond) {
        return Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0
                ? new RateNotice(Kind.LIMITED, requestsPerSecond)
                : UNREADABLE;
    }

    /** Returns whether a readable limit is named. */
    public boolean isLimited() {
        return kind == Kind.LIMITED;
    }
}
