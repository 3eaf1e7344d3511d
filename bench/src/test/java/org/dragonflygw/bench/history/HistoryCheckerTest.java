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

    private void ask(String request, String submission) {
        record(new RequestSent(request, "d1", submission, List.of("a", "b")));
    }

    private void answer(String request, String... tokens) {
        for (String token : tokens) {
            record(new TokenReceived(request, token));
        }
        record(new RequestEnded(request, Ending.WHOLE, RunStatus.RUN));
    }

    private void assertViolations(Promise... promises) {
        List<Promise> found = HistoryChecker.check(recorder.entries(), LEAVING_LIMIT_MILLIS).stream()
                .map(Violation::promise)
                .toList();
        assertThat(found).containsExactlyElementsIn(promises);
    }

    @Test
    void acceptsAGoodHistory() {
        ask("r1", "clerks/k");
        ask("r2", "clerks/k");
        ask("r3", "");
        record(new Executed("r1", "clerks/k", "e1"), new Executed("r3", "", "e1"));
        answer("r1", "a", "b");
        answer("r2", "a", "b");
        record(new TokenReceived("r3", "a"), new RequestEnded("r3", Ending.ERROR, RunStatus.UNKNOWN));
        record(new SheetActivated("d1", 1), new SheetActivated("d2", 3), new SheetActivated("d1", 2));
        assertViolations();
    }

    @Nested
    final class Rejects {
        @Test
        void twoRunsOfOneSubmission() {
            ask("r1", "clerks/k");
            ask("r2", "clerks/k");
            record(new Executed("r1", "clerks/k", "e1"), new Executed("r2", "clerks/k", "e2"));
            answer("r1", "a", "b");
            answer("r2", "a", "b");
            assertViolations(Promise.AT_MOST_ONCE);
        }

        @Test
        void aRunAfterNotRunWasSaid() {
            ask("r1", "");
            record(new RequestEnded("r1", Ending.ERROR, RunStatus.NOT_RUN), new Executed("r1", "", "e1"));
            assertViolations(Promise.RUN_STATUS_HONEST);
        }

        @Test
        void aRunThatWasSaidAndDidNotHappen() {
            ask("r1", "");
            record(new RequestEnded("r1", Ending.ERROR, RunStatus.RUN));
            assertViolations(Promise.RUN_STATUS_HONEST);
        }

        @Test
        void anAnswerWithoutARun() {
            ask("r1", "clerks/k");
            answer("r1", "a", "b");
            assertViolations(Promise.NOTHING_LOST, Promise.RUN_STATUS_HONEST);
        }

        @Test
        void anAnswerThatIsCutShort() {
            ask("r1", "");
            record(new Executed("r1", "", "e1"));
            answer("r1", "a");
            assertViolations(Promise.ANSWER_WHOLE);
        }

        @Test
        void tokensOfAnotherRequest() {
            ask("r1", "");
            record(new Executed("r1", "", "e1"));
            answer("r1", "a", "x");
            assertViolations(Promise.ANSWER_OWN);
        }

        @Test
        void repeatedTokens() {
            ask("r1", "");
            record(new Executed("r1", "", "e1"));
            answer("r1", "a", "a", "b");
            assertViolations(Promise.ANSWER_OWN);
        }

        @Test
        void tokensThatNobodyAskedFor() {
            record(new TokenReceived("r9", "a"));
            assertViolations(Promise.ANSWER_OWN);
        }

        @Test
        void aRequestWithoutAnEnding() {
            ask("r1", "");
            assertViolations(Promise.NOTHING_LOST);
        }

        @Test
        void twoEndings() {
            ask("r1", "");
            record(new RequestEnded("r1", Ending.ERROR, RunStatus.NOT_RUN));
            record(new RequestEnded("r1", Ending.ERROR, RunStatus.NOT_RUN));
            assertViolations(Promise.NOTHING_LOST);
        }

        @Test
        void aSilentCutByALivingRouter() {
            ask("r1", "");
            record(new RequestEnded("r1", Ending.BROKEN, RunStatus.UNKNOWN));
            record(new Crashed("d2"));
            assertViolations(Promise.NOTHING_LOST);
        }

        @Test
        void anOlderConfiguration() {
            record(new SheetActivated("d1", 2), new Crashed("d1"), new SheetActivated("d1", 1));
            assertViolations(Promise.CONFIGURATION_FORWARD);
        }

        @Test
        void workForALeavingEndpoint() {
            ask("r1", "");
            record(new Leaving("e1"));
            recorder.recordAt(LEAVING_LIMIT_MILLIS + 1, new Dispatched("r1", "e1"));
            record(new RequestEnded("r1", Ending.ERROR, RunStatus.UNKNOWN));
            assertViolations(Promise.LEAVING_UNTOUCHED);
        }
    }
}
