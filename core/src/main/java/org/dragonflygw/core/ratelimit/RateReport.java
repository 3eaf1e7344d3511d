package org.dragonflygw.core.ratelimit;

import java.util.Optional;

/**
 * What one host tells another about the rate of requests that an instance of an endpoint takes.
 *
 * @param endpoint id of the endpoint
 * @param startedMs Unix time at which the instance started, in milliseconds
 * @param notice what the endpoint said in the response that holds
 * @param sentAgeMs time since the request was sent that the response answers, in milliseconds
 * @param heardAgeMs time since the response was heard, in milliseconds
 * @param coldLeftMs time for which the instance is still cold, in milliseconds; 0 if it is warm
 * @param coldPerSecond requests per second that the instance tolerates until then
 */
public record RateReport(
        String endpoint,
        long startedMs,
        RateNotice notice,
        long sentAgeMs,
        long heardAgeMs,
        long coldLeftMs,
        double coldPerSecond) {
    /** Longest age that is told, in milliseconds. */
    private static final long MAX_AGE_MS = 3_600_000;

    /** Allowance for the time that a message takes, by which the time of sending is moved back, in milliseconds. */
    private static final long TRANSFER_MS = 100;

    private static final long NANOS_PER_MS = 1_000_000;

    /** Creates a report of a warm instance. */
    public RateReport(String endpoint, long startedMs, RateNotice notice, long sentAgeMs, long heardAgeMs) {
        this(endpoint, startedMs, notice, sentAgeMs, heardAgeMs, 0, 0);
    }

    /** Returns what this host knows of an instance; if that named no limit yet, with a notice that changes nothing. */
    static RateReport of(EndpointRate rate, long nowNanos) {
        Optional<RateStatement> known = rate.statement();
        Optional<ColdPeriod> cold = rate.cold();
        return new RateReport(
                rate.endpoint(),
                rate.startedMs(),
                known.map(RateStatement::notice).orElse(RateNotice.UNREADABLE),
                known.map(s -> ageMs(s.sentNanos(), nowNanos)).orElse(MAX_AGE_MS),
                known.map(s -> ageMs(s.heardNanos(), nowNanos)).orElse(MAX_AGE_MS),
                cold.map(c -> c.leftMs(nowNanos)).orElse(0L),
                cold.map(ColdPeriod::perSecond).orElse(0.0));
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
