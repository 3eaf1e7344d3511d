package org.dragonflygw.core.ratelimit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The rates of requests that instances of endpoints take. They are kept apart from the entries of the endpoints, which
 * may lapse and come back; another start under the same id is another instance. Not thread-safe.
 */
public final class EndpointRates {
    /** Maximum number of remembered instances, several times those of a large fleet; the oldest is dropped first. */
    private static final int MAX_REMEMBERED = 2_048;

    /** Time for which a changed limit is in each report, in nanoseconds; hosts that were told pass it on. */
    private static final long REPORT_CHANGED_NANOS = 3_000_000_000L;

    private static final int MAX_CHANGED_PER_REPORT = 64;

    /** Number of other limits in a report, which are named in turn for hosts that started since they changed. */
    private static final int MAX_OTHERS_PER_REPORT = 16;

    private final Map<String, EndpointRate> byInstance = new LinkedHashMap<>();
    private int nextOther;

    /** Returns the rate of an instance, which all users of the instance share. */
    public EndpointRate of(String endpoint, long startedMs) {
        EndpointRate rate =
                byInstance.computeIfAbsent(endpoint + '#' + startedMs, k -> new EndpointRate(endpoint, startedMs));
        if (byInstance.size() > MAX_REMEMBERED) {
            byInstance.remove(byInstance.keySet().iterator().next());
        }
        return rate;
    }

    /** Applies what another host told of an instance; returns whether the limit changed. */
    public boolean accept(RateReport report, long nowNanos) {
        EndpointRate rate = of(report.endpoint(), report.startedMs());
        rate.onColdTold(report.coldLeftMs(), report.coldPerSecond(), nowNanos);
        return rate.accept(report.statement(nowNanos), nowNanos);
    }

    /** Returns what the next report to other hosts says about limits; most when they have just changed. */
    public List<RateReport> nextReports(long nowNanos) {
        List<RateReport> reports = new ArrayList<>();
        List<EndpointRate> others = new ArrayList<>();
        for (EndpointRate rate : byInstance.values()) {
            if (isChanged(rate, nowNanos) && reports.size() < MAX_CHANGED_PER_REPORT) {
                reports.add(RateReport.of(rate, nowNanos));
            } else if (rate.namesLimit() || isColdUnlisted(rate)) {
                others.add(rate);
            }
        }
        for (int i = 0; i < Math.min(MAX_OTHERS_PER_REPORT, others.size()); i++) {
            EndpointRate rate = others.get(Math.floorMod(nextOther++, others.size()));
            reports.add(RateReport.of(rate, nowNanos));
        }
        return reports;
    }

    private static boolean isChanged(EndpointRate rate, long nowNanos) {
        boolean limitChanged = rate.statement().isPresent() && nowNanos - rate.changedNanos() < REPORT_CHANGED_NANOS;
        return limitChanged || (isColdUnlisted(rate) && nowNanos - rate.coldSinceNanos() < REPORT_CHANGED_NANOS);
    }

    /** Returns whether an instance is cold and its entry does not say so, which all hosts read. */
    private static boolean isColdUnlisted(EndpointRate rate) {
        return rate.cold().filter(c -> c.source() != ColdSource.ENTRY).isPresent();
    }

    /** Returns all remembered rates. */
    public Collection<EndpointRate> all() {
        return Collections.unmodifiableCollection(byInstance.values());
    }

    /** Returns the number of cold instances. */
    public long coldCount() {
        return byInstance.values().stream().filter(EndpointRate::isCold).count();
    }

    /** Returns the number of instances that name a limit. */
    public long limitedCount() {
        return byInstance.values().stream().filter(EndpointRate::namesLimit).count();
    }
}
