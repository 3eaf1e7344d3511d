package org.dragonflygw.core.crash;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongToIntFunction;

/**
 * Requests to name in reports to peers. Each report names a bounded number of them: first those that no report named yet,
 * then the others in turn, until each was named as often as it should be. Not thread-safe.
 */
final class ReportQueue {
    private final int maxPerReport;
    private final int capacity;
    private final Set<Long> unreported = new LinkedHashSet<>();
    private final Map<Long, Integer> reported = new LinkedHashMap<>();

    /**
     * Creates an empty queue.
     *
     * @param maxPerReport maximum number of requests in one report
     * @param capacity maximum number of waiting requests; beyond it the one that waits longest is dropped
     */
    ReportQueue(int maxPerReport, int capacity) {
        this.maxPerReport = maxPerReport;
        this.capacity = capacity;
    }

    /** Adds a request that has news; it counts as not yet reported. */
    void add(long fingerprint) {
        reported.remove(fingerprint);
        unreported.add(fingerprint);
        if (unreported.size() > capacity) {
            unreported.remove(unreported.iterator().next());
        }
    }

    /**
     * Returns the requests to name in the next report.
     *
     * @param reportsWanted number of reports that name a request in all; 0 if it no longer has to be reported
     */
    List<Long> next(LongToIntFunction reportsWanted) {
        Map<Long, Integer> named = new LinkedHashMap<>();
        Iterator<Long> first = unreported.iterator();
        while (first.hasNext() && named.size() < maxPerReport) {
            long fingerprint = first.next();
            first.remove();
            if (reportsWanted.applyAsInt(fingerprint) > 0) {
                named.put(fingerprint, 1);
            }
        }
        Iterator<Map.Entry<Long, Integer>> again = reported.entrySet().iterator();
        while (again.hasNext() && named.size() < maxPerReport) {
            Map.Entry<Long, Integer> e = again.next();
            again.remove();
            if (e.getValue() < reportsWanted.applyAsInt(e.getKey())) {
                named.put(e.getKey(), e.getValue() + 1);
            }
        }
        reported.putAll(named);
        while (reported.size() > capacity) {
            reported.remove(reported.keySet().iterator().next());
        }
        return new ArrayList<>(named.keySet());
    }
}
