package org.dragonflygw.core.ratelimit;

/**
 * What one host tells another about the rate of requests that an instance of an endpoint takes.
 *
 * @param endpoint id of the endpoint
 * @param startedMs Unix time at which the instance started, in milliseconds
 * @param notice what the endpoint said in the response that holds
 * @param sentAgeMs time since the request was sent that the response answers, in milliseconds
 * @param heardAgeMs time since the response was heard, in milliseconds
 */
public record RateReport(String endpoint, long startedMs, RateNotice notice, long sentAgeMs, long heardAgeMs) {
    /** Longest age that is told, in milliseconds. */
    private static final long MAX_AGE_MS = 3_600_000;

    /** Allowance for the time that a message takes, by which the time of sending is moved back, in milliseconds. */
    private static final long TRANSFER_MS = 100;

    private static final long NANOS_PER_MS = 1_000_000;

    static RateReport of(EndpointRate rate, RateStatement statement, long nowNanos) {
        return new RateReport(
                rate.endpoint(),
                rate.startedMs(),
                statement.notice(),
                ageMs(statement.sentNanos(), nowNanos),
                ageMs(statement.heardNanos(), nowNanos));
    }

    private static long ageMs(long atNanos, long nowNanos) {
        return Math.min(MAX_AGE_MS, Math.max(0, (nowNanos - atNanos) / NANOS_PER_MS));
    }

    /** Returns the statement on the clock of the receiving host. */
    RateStatement statement(long nowNanos) {
        return new RateStatement(
                notice,
                nowNanos - (Math.max(0, sentAgeMs) + TRANSFER_MS) * NANOS_PER_MS,
                nowNanos - Math.max(0, heardAgeMs) * NANOS_PER_MS);
    }
}
