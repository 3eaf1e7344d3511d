package org.dragonflygw.bench.history;

import static com.google.common.truth.Truth.assertThat;

import java.time.Clock;
import java.util.List;
import org.dragonflygw.bench.history.HistoryEvent.Crashed;
import org.dragonflygw.bench.history.HistoryEvent.Dispatched;
import org.dragonflygw.bench.history.HistoryEvent.Executed;
import org.dragonflygw.bench.history.HistoryEvent.Leaving;
import org.dragonflygw.bench.history.HistoryEvent.RequestEnded;
import org.dragonflygw.bench.history.HistoryEvent.RequestSent;
import org.dragonflygw.bench.history.HistoryEvent.SheetActivated;
import org.dragonflygw.bench.history.HistoryEvent.TokenReceived;
import org.dragonflygw.core.error.RunStatus;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class HistoryCheckerTest {
    private static final long LEAVING_LIMIT_MILLIS = 3_000;

    private final HistoryRecorder recorder = new HistoryRecorder(Clock.systemUTC());

    private void record(HistoryEvent... events) {
        for (HistoryEvent event : events) {
            recorder.recordAt(0, event);
        }
    }

    private void sendRequest(String request, String submission) {
        record(new RequestSent(request, "d1", submission, List.of("a", "b")));
    }

    private void receiveAnswer(String request, String... tokens) {
        for (String token : tokens) {
            record(new TokenReceived(request, token));
        }
        record(new RequestEnded(request, Ending.WHOLE, RunStatus.RUN));
    }

    private void assertViolations(Promise... expected) {
        List<Promise> found = HistoryChecker.check(recorder.entries(), LEAVING_LIMIT_MILLIS).stream()
                .map(Violation::promise)
                .toList();
        assertThat(found).containsExactlyElementsIn(expected);
    }

    @Test
    void acceptsHistoryWithoutViolations() {
        sendRequest("r1", "clerks/k");
        sendRequest("r2", "clerks/k");
        sendRequest("r3", "");
        record(new Executed("r1", "clerks/k", "e1"), new Executed("r3", "", "e1"));
        receiveAnswer("r1", "a", "b");
        receiveAnswer("r2", "a", "b");
        record(new TokenReceived("r3", "a"), new RequestEnded("r3", Ending.ERROR, RunStatus.UNKNOWN));
        record(new SheetActivated("d1", 1), new SheetActivated("d2", 3), new SheetActivated("d1", 2));
        assertViolations();
    }

    @Nested
    final class Rejects {
        @Test
        void twoRunsOfOneSubmission() {
            sendRequest("r1", "clerks/k");
            sendRequest("r2", "clerks/k");
            record(new Executed("r1", "clerks/k", "e1"), new Executed("r2", "clerks/k", "e2"));
            receiveAnswer("r1", "a", "b");
            receiveAnswer("r2", "a", "b");
            assertViolations(Promise.AT_MOST_ONCE);
        }

        @Test
        void runAfterAnswerSaidNotRun() {
            sendRequest("r1", "");
            record(new RequestEnded("r1", Ending.ERROR, RunStatus.NOT_RUN), new Executed("r1", "", "e1"));
            assertViolations(Promise.RUN_STATUS_HONEST);
        }

        @Test
        void reportedRunThatDidNotHappen() {
            sendRequest("r1", "");
            record(new RequestEnded("r1", Ending.ERROR, RunStatus.RUN));
            assertViolations(Promise.RUN_STATUS_HONEST);
        }

        @Test
        void completeAnswerWithoutRun() {
            sendRequest("r1", "clerks/k");
            receiveAnswer("r1", "a", "b");
            assertViolations(Promise.NOTHING_LOST, Promise.RUN_STATUS_HONEST);
        }

        @Test
        void completeAnswerWithMissingTokens() {
            sendRequest("r1", "");
            record(new Executed("r1", "", "e1"));
            receiveAnswer("r1", "a");
            assertViolations(Promise.ANSWER_WHOLE);
        }

        @Test
        void tokensOfAnotherRequest() {
            sendRequest("r1", "");
            record(new Executed("r1", "", "e1"));
            receiveAnswer("r1", "a", "x");
            assertViolations(Promise.ANSWER_OWN);
        }

        @Test
        void repeatedTokens() {
            sendRequest("r1", "");
            record(new Executed("r1", "", "e1"));
            receiveAnswer("r1", "a", "a", "b");
            assertViolations(Promise.ANSWER_OWN);
        }

        @Test
        void tokensWithoutRequest() {
            record(new TokenReceived("r9", "a"));
            assertViolations(Promise.ANSWER_OWN);
        }

        @Test
        void requestWithoutEnding() {
            sendRequest("r1", "");
            assertViolations(Promise.NOTHING_LOST);
        }

        @Test
        void twoEndingsOfOneRequest() {
            sendRequest("r1", "");
            record(new RequestEnded("r1", Ending.ERROR, RunStatus.NOT_RUN));
            record(new RequestEnded("r1", Ending.ERROR, RunStatus.NOT_RUN));
            assertViolations(Promise.NOTHING_LOST);
        }

        @Test
        void connectionBrokenByLivingRouter() {
            sendRequest("r1", "");
            record(new RequestEnded("r1", Ending.BROKEN, RunStatus.UNKNOWN));
            record(new Crashed("d2"));
            assertViolations(Promise.NOTHING_LOST);
        }

        @Test
        void activationOfOlderConfiguration() {
            record(new SheetActivated("d1", 2), new Crashed("d1"), new SheetActivated("d1", 1));
            assertViolations(Promise.CONFIGURATION_FORWARD);
        }

        @Test
        void dispatchToLeavingEndpointAfterLimit() {
            sendRequest("r1", "");
            record(new Leaving("e1"));
            recorder.recordAt(LEAVING_LIMIT_MILLIS + 1, new Dispatched("r1", "e1"));
            record(new RequestEnded("r1", Ending.ERROR, RunStatus.UNKNOWN));
            assertViolations(Promise.LEAVING_UNTOUCHED);
        }
    }
}
