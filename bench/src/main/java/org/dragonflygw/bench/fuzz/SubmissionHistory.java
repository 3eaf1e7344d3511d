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

/** What a history tells of the submissions in it. */
final class SubmissionHistory {
    private final List<HistoryEntry> history;

    SubmissionHistory(List<HistoryEntry> history) {
        this.history = history;
    }

    /** Submissions that an endpoint ran. */
    Set<String> submissionsRun() {
        Set<String> ran = new HashSet<>();
        for (HistoryEntry entry : history) {
            if (entry.event() instanceof Executed executed) {
                ran.add(executed.submission());
            }
        }
        return ran;
    }

    /** Submissions that were sent to an endpoint by a request that was not told that it was not run. */
    Set<String> submissionsMaybeRun() {
        Map<String, String> submissions = new HashMap<>();
        Set<String> sent = new HashSet<>();
        Set<String> maybeRun = new HashSet<>();
        for (HistoryEntry entry : history) {
            if (entry.event() instanceof RequestSent asked) {
                submissions.put(asked.request(), asked.submission());
            } else if (entry.event() instanceof Dispatched dispatched) {
                sent.add(dispatched.request());
            } else if (entry.event() instanceof RequestEnded answered
                    && answered.run() != RunStatus.NOT_RUN
                    && sent.contains(answered.request())) {
                maybeRun.add(submissions.get(answered.request()));
            }
        }
        return maybeRun;
    }
}
