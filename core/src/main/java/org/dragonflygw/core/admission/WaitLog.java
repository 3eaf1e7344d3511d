package org.dragonflygw.core.admission;

import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogLine;
import org.dragonflygw.core.log.LogTopic;

/** Writes the log lines about waits. */
final class WaitLog {
    private static final long NANOS_PER_MS = 1_000_000;

    private final EventLog log;

    WaitLog(EventLog log) {
        this.log = log;
    }

    /** Logs that a request begins to wait. */
    void started(Wait wait, int waiting, double expectedNanos, long nowNanos) {
        LogLine line = line(wait, "waiting")
                .with("waiting", waiting)
                .with("limitMs", (wait.limitNanos() - nowNanos) / NANOS_PER_MS)
                .with("repeat", wait.isRepeat());
        if (!Double.isInfinite(expectedNanos)) {
            line.with("expectedMs", (long) (expectedNanos / NANOS_PER_MS));
        }
        line.end();
    }

    /** Logs how a wait ended; a place of 0 is unknown. */
    void ended(Wait wait, String outcome, int place, long waitedNanos) {
        line(wait, outcome)
                .with("place", place)
                .with("waiting", wait.queue().size())
                .with("waitedMs", waitedNanos / NANOS_PER_MS)
                .end();
    }

    private LogLine line(Wait wait, String outcome) {
        WaitRequest r = wait.request();
        return log.line(LogTopic.WAIT)
                .with("request", r.id())
                .with("service", r.service().name())
                .with("team", r.team())
                .with("priority", r.priority())
                .with("outcome", outcome);
    }
}
