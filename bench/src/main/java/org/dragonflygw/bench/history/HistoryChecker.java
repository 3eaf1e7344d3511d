package org.dragonflygw.bench.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dragonflygw.bench.history.HistoryEvent.Crashed;
import org.dragonflygw.bench.history.HistoryEvent.Dispatched;
import org.dragonflygw.bench.history.HistoryEvent.Executed;
import org.dragonflygw.bench.history.HistoryEvent.Leaving;
import org.dragonflygw.bench.history.HistoryEvent.RequestEnded;
import org.dragonflygw.bench.history.HistoryEvent.RequestSent;
import org.dragonflygw.bench.history.HistoryEvent.SheetActivated;
import org.dragonflygw.bench.history.HistoryEvent.TokenReceived;
import org.dragonflygw.core.error.RunStatus;

/**
 * Checks a complete history for violations of every {@link Promise}. The checker uses only the recorded events and
 * is independent of the implementation of the routers. One instance checks one history and is not thread-safe.
 */
public final class HistoryChecker {
    private final long leavingLimitMillis;
    private final Map<String, RequestRecord> requests = new LinkedHashMap<>();
    private final Map<String, Integer> submissionRuns = new LinkedHashMap<>();
    private final Map<String, Long> leavingSince = new HashMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    private final Set<String> crashed = new HashSet<>();
    private final List<Violation> violations = new ArrayList<>();

    private HistoryChecker(long leavingLimitMillis) {
        this.leavingLimitMillis = leavingLimitMillis;
    }

    /**
     * Checks a history in which every request has ended.
     *
     * @param history the events in order
     * @param leavingLimitMillis time after which a draining endpoint must get no new request, in
     *     milliseconds
     * @return the violations found; empty when every promise holds
     */
    public static List<Violation> check(List<HistoryEntry> history, long leavingLimitMillis) {
        HistoryChecker checker = new HistoryChecker(leavingLimitMillis);
        history.forEach(checker::read);
        checker.submissionRuns.forEach(checker::checkRuns);
        checker.requests.forEach(checker::checkRequest);
        return List.copyOf(checker.violations);
    }

    private void read(HistoryEntry entry) {
        HistoryEvent event = entry.event();
        if (event instanceof RequestSent e) {
            request(e.request()).sent.add(e);
        } else if (event instanceof TokenReceived e) {
            request(e.request()).tokens.add(e.token());
        } else if (event instanceof RequestEnded e) {
            request(e.request()).endings.add(e);
        } else if (event instanceof Executed e) {
            readExecution(e);
        } else if (event instanceof Dispatched e) {
            readDispatch(entry.atMillis(), e);
        } else if (event instanceof Leaving e) {
            leavingSince.putIfAbsent(e.endpoint(), entry.atMillis());
        } else if (event instanceof SheetActivated e) {
            readVersion(e);
        } else if (event instanceof Crashed e) {
            crashed.add(e.daemon());
        }
    }

    private RequestRecord request(String id) {
        return requests.computeIfAbsent(id, key -> new RequestRecord());
    }

    private void readExecution(Executed e) {
        request(e.request()).executions++;
        if (!e.submission().isEmpty()) {
            submissionRuns.merge(e.submission(), 1, Integer::sum);
        }
    }

    private void readDispatch(long atMillis, Dispatched e) {
        Long since = leavingSince.get(e.endpoint());
        if (since != null && atMillis - since > leavingLimitMillis) {
            report(Promise.LEAVING_UNTOUCHED, e.endpoint(), e.request() + " after " + (atMillis - since) + " ms");
        }
    }

    private void readVersion(SheetActivated e) {
        Long before = versions.put(e.daemon(), e.version());
        if (before != null && e.version() < before) {
            report(
                    Promise.CONFIGURATION_FORWARD,
                    e.daemon(),
                    "version " + before + " active before version " + e.version());
        }
    }

    private void checkRuns(String submission, int runs) {
        if (runs > 1) {
            report(Promise.AT_MOST_ONCE, submission, runs + " runs");
        }
    }

    private void checkRequest(String id, RequestRecord record) {
        if (record.sent.isEmpty()) {
            report(Promise.ANSWER_OWN, id, "token, run or ending without a request");
            return;
        }
        RequestSent sent = record.sent.get(0);
        checkEndings(id, sent, record);
        checkTokens(id, sent, record);
        for (RequestEnded ending : record.endings) {
            checkRunStatus(id, sent, record, ending);
        }
    }

    private void checkEndings(String id, RequestSent sent, RequestRecord record) {
        if (record.endings.size() != record.sent.size()) {
            report(Promise.NOTHING_LOST, id, record.endings.size() + " endings of " + record.sent.size() + " requests");
        }
        if (record.endedWith(Ending.BROKEN) && !crashed.contains(sent.daemon())) {
            report(Promise.NOTHING_LOST, id, "connection broken without an error by living router " + sent.daemon());
        }
        if (record.endedWith(Ending.WHOLE) && runs(sent, record) == 0) {
            report(Promise.NOTHING_LOST, id, "complete answer without a run");
        }
    }

    private void checkTokens(String id, RequestSent sent, RequestRecord record) {
        List<String> expected = sent.expected();
        for (int i = 0; i < record.tokens.size(); i++) {
            if (i >= expected.size() || !expected.get(i).equals(record.tokens.get(i))) {
                report(Promise.ANSWER_OWN, id, "token " + i + " is " + record.tokens.get(i));
                return;
            }
        }
        if (record.endedWith(Ending.WHOLE) && record.tokens.size() < expected.size()) {
            report(Promise.ANSWER_WHOLE, id, record.tokens.size() + " of " + expected.size() + " tokens");
        }
    }

    private void checkRunStatus(String id, RequestSent sent, RequestRecord record, RequestEnded ending) {
        if (ending.ending() == Ending.BROKEN) {
            return;
        }
        if (ending.run() == RunStatus.NOT_RUN && record.executions > 0) {
            report(Promise.RUN_STATUS_HONEST, id, "reported not_run but was run");
        }
        if (ending.run() == RunStatus.RUN && runs(sent, record) == 0) {
            report(Promise.RUN_STATUS_HONEST, id, "reported run but was not run");
        }
    }

    private int runs(RequestSent sent, RequestRecord record) {
        return sent.submission().isEmpty() ? record.executions : submissionRuns.getOrDefault(sent.submission(), 0);
    }

    private void report(Promise promise, String subject, String detail) {
        violations.add(new Violation(promise, subject, detail));
    }
}
