package org.dragonflygw.bench.history;

import static com.google.common.truth.Truth.assertThat;

import java.time.Clock;
import java.util.List;
import org.dragonflygw.bench.history.HistoryEvent.Answered;
import org.dragonflygw.bench.history.HistoryEvent.Asked;
import org.dragonflygw.bench.history.HistoryEvent.Crashed;
import org.dragonflygw.bench.history.HistoryEvent.Dispatched;
import org.dragonflygw.bench.history.HistoryEvent.Executed;
import org.dragonflygw.bench.history.HistoryEvent.InForce;
import org.dragonflygw.bench.history.HistoryEvent.Leaving;
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
        record(new Asked(request, "d1", submission, List.of("a", "b")));
    }

    private void answer(String request, String... tokens) {
        for (String token : tokens) {
            record(new TokenReceived(request, token));
        }
        record(new Answered(request, Ending.WHOLE, RunStatus.RUN));
    }

    private void assertBroken(Promise... promises) {
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
        record(new TokenReceived("r3", "a"), new Answered("r3", Ending.ERROR, RunStatus.UNKNOWN));
        record(new InForce("d1", 1), new InForce("d2", 3), new InForce("d1", 2));
        assertBroken();
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
            assertBroken(Promise.AT_MOST_ONCE);
        }

        @Test
        void aRunAfterNotRunWasSaid() {
            ask("r1", "");
            record(new Answered("r1", Ending.ERROR, RunStatus.NOT_RUN), new Executed("r1", "", "e1"));
            assertBroken(Promise.RUN_STATUS_HONEST);
        }

        @Test
        void aRunThatWasSaidAndDidNotHappen() {
            ask("r1", "");
            record(new Answered("r1", Ending.ERROR, RunStatus.RUN));
            assertBroken(Promise.RUN_STATUS_HONEST);
        }

        @Test
        void anAnswerWithoutARun() {
            ask("r1", "clerks/k");
            answer("r1", "a", "b");
            assertBroken(Promise.NOTHING_LOST, Promise.RUN_STATUS_HONEST);
        }

        @Test
        void anAnswerThatIsCutShort() {
            ask("r1", "");
            record(new Executed("r1", "", "e1"));
            answer("r1", "a");
            assertBroken(Promise.ANSWER_WHOLE);
        }

        @Test
        void tokensOfAnotherRequest() {
            ask("r1", "");
            record(new Executed("r1", "", "e1"));
            answer("r1", "a", "x");
            assertBroken(Promise.ANSWER_OWN);
        }

        @Test
        void repeatedTokens() {
            ask("r1", "");
            record(new Executed("r1", "", "e1"));
            answer("r1", "a", "a", "b");
            assertBroken(Promise.ANSWER_OWN);
        }

        @Test
        void tokensThatNobodyAskedFor() {
            record(new TokenReceived("r9", "a"));
            assertBroken(Promise.ANSWER_OWN);
        }

        @Test
        void aRequestWithoutAnEnding() {
            ask("r1", "");
            assertBroken(Promise.NOTHING_LOST);
        }

        @Test
        void twoEndings() {
            ask("r1", "");
            record(new Answered("r1", Ending.ERROR, RunStatus.NOT_RUN));
            record(new Answered("r1", Ending.ERROR, RunStatus.NOT_RUN));
            assertBroken(Promise.NOTHING_LOST);
        }

        @Test
        void aSilentCutByALivingRouter() {
            ask("r1", "");
            record(new Answered("r1", Ending.BROKEN, RunStatus.UNKNOWN));
            record(new Crashed("d2"));
            assertBroken(Promise.NOTHING_LOST);
        }

        @Test
        void anOlderConfiguration() {
            record(new InForce("d1", 2), new Crashed("d1"), new InForce("d1", 1));
            assertBroken(Promise.CONFIGURATION_FORWARD);
        }

        @Test
        void workForALeavingEndpoint() {
            ask("r1", "");
            record(new Leaving("e1"));
            recorder.recordAt(LEAVING_LIMIT_MILLIS + 1, new Dispatched("r1", "e1"));
            record(new Answered("r1", Ending.ERROR, RunStatus.UNKNOWN));
            assertBroken(Promise.LEAVING_UNTOUCHED);
        }
    }
}
