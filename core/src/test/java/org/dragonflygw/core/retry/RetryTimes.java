package org.dragonflygw.core.retry;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.settings.RetryBounds;

/**
 * Times of all requests and retries of a fleet, checked against its budget: in no window may there be more retries than
 * the ratio of the requests plus the slack. The requests are those of the window itself, of the window before it or of
 * the one half a window before it, whichever has most.
 */
final class RetryTimes {
    private final RetryBounds budget;
    private final List<Long> requests = new ArrayList<>();
    private final List<Long> retries = new ArrayList<>();

    RetryTimes(RetryBounds budget) {
        this.budget = budget;
    }

    void addRequest(long nanos) {
        requests.add(nanos);
    }

    void addRetry(long nanos) {
        retries.add(nanos);
    }

    int retryCount() {
        return retries.size();
    }

    /** Returns by how many retries the worst window exceeds the budget; negative if every window is within it. */
    double worstExcess() {
        double worst = Double.NEGATIVE_INFINITY;
        for (long start : retries) {
            worst = Math.max(worst, count(retries, start) - allowed(start));
        }
        return worst;
    }

    private double allowed(long startNanos) {
        long window = budget.windowNanos();
        int most = Math.max(
                count(requests, startNanos),
                Math.max(count(requests, startNanos - window / 2), count(requests, startNanos - window)));
        return budget.ratio() * most + budget.slack();
    }

    /** Number of times in the window that starts at the given time; its end is excluded. */
    private int count(List<Long> times, long startNanos) {
        return firstAtOrAfter(times, startNanos + budget.windowNanos()) - firstAtOrAfter(times, startNanos);
    }

    private static int firstAtOrAfter(List<Long> times, long nanos) {
        int low = 0;
        int high = times.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (times.get(middle) < nanos) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
