package org.dragonflygw.bench.fuzz;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dragonflygw.bench.history.HistoryEntry;
import org.dragonflygw.bench.history.HistoryEvent.Dispatched;
import org.dragonflygw.bench.history.HistoryEvent.Executed;
import org.dragonflygw.bench.history.HistoryEvent.RequestEnded;
import org.dragonflygw.bench.history.HistoryEvent.RequestSent;
import org.dragonflygw.core.error.RunStatus;

/** Finds in a history the submissions that ran, or may have run. */
final class SubmissionHistory {
    private final List<HistoryEntry> history;

    SubmissionHistory(List<HistoryEntry> history) {
        this.history = history;
    }

    /** Returns the submissions that an endpoint ran. */
    Set<String> submissionsRun() {
        Set<String> ran = new HashSet<>();
        for (HistoryEntry entry : history) {
            if (entry.event() instanceof Executed executed) {
                ran.add(executed.submission());
            }
        }
        return ran;
    }

    /** Returns the submissions dispatched to an endpoint for a request that did not end as {@code not_run}. */
    Set<String> submissionsMaybeRun() {
        Map<String, String> submissions = new HashMap<>();
        Set<String> dispatchedRequests = new HashSet<>();
        Set<String> maybeRun = new HashSet<>();
        for (HistoryEntry entry : history) {
            if (entry.event() instanceof RequestSent asked) {
                submissions.put(asked.request(), asked.submission());
            } else if (entry.event() instanceof Dispatched dispatched) {
                dispatchedRequests.add(dispatched.request());
            } else if (entry.event() instanceof RequestEnded answered
                    && answered.run() != RunStatus.NOT_RUN
                    && dispatchedRequests.contains(answered.request())) {
                maybeRun.add(submissions.get(answered.request()));
            }
        }
        return maybeRun;
    }
}
