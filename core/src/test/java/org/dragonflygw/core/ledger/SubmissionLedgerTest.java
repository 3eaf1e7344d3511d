package org.dragonflygw.core.ledger;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.ledger.ScriptedStore.Fault;
import org.dragonflygw.core.ledger.SubmissionDecision.Rejected;
import org.dragonflygw.core.ledger.SubmissionDecision.Replay;
import org.dragonflygw.core.ledger.SubmissionDecision.Run;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SubmissionLedgerTest {
    private final LedgerFixture bench = new LedgerFixture();
    private final LedgerFixture.Daemon first = bench.daemon("d1");
    private final LedgerFixture.Daemon second = bench.daemon("d2");

    private static StoredAnswer answer(String body) {
        return new StoredAnswer(
                201, List.of(new AnswerHeader("Content-Type", "text/plain")), Optional.of(body.getBytes(UTF_8)));
    }

    private static String body(CompletableFuture<SubmissionDecision> decision) {
        return new String(((Replay) decision.join()).answer().body().orElseThrow(), UTF_8);
    }

    private static void assertRejected(CompletableFuture<SubmissionDecision> decision, LedgerCode code, RunStatus run) {
        assertThat(decision.isDone()).isTrue();
        assertThat(decision.join()).isInstanceOf(Rejected.class);
        Rejected rejected = (Rejected) decision.join();
        assertThat(rejected.code()).isEqualTo(code);
        assertThat(rejected.run()).isEqualTo(run);
    }

    @Nested
    final class Repeats {
        @Test
        void getTheAnswerOfTheFirstRunOnEveryDaemon() {
            Claim claim = first.hold("k");
            assertThat(claim.mayDispatch()).isTrue();
            claim.complete(answer("receipt 1"));
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            bench.advance(1);
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            bench.advance(1);
            assertThat(body(here)).isEqualTo("receipt 1");
            assertThat(body(there)).isEqualTo("receipt 1");
            assertThat(first.ledger.openClaims()).isEqualTo(0);
        }

        @Test
        void waitForTheRunOnTheSameAndOnAnotherDaemon() {
            Claim claim = first.hold("k");
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            bench.advance(1_000);
            assertThat(here.isDone()).isFalse();
            assertThat(there.isDone()).isFalse();
            claim.complete(answer("receipt 2"));
            bench.advance(500);
            assertThat(body(here)).isEqualTo("receipt 2");
            assertThat(body(there)).isEqualTo("receipt 2");
        }

        @Test
        void endAtTheirDeadlineWhileTheRunGoesOn() {
            first.hold("k");
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            bench.advance(30_000);
            assertRejected(here, LedgerCode.SUBMISSION_IN_PROGRESS, RunStatus.UNKNOWN);
            assertRejected(there, LedgerCode.SUBMISSION_IN_PROGRESS, RunStatus.UNKNOWN);
        }

        @Test
        void withOtherContentAreRefused() {
            Claim claim = first.hold("k");
            CompletableFuture<SubmissionDecision> here = first.ledger.claim(bench.submission("k", 8));
            CompletableFuture<SubmissionDecision> there = second.ledger.claim(bench.submission("k", 8));
            claim.complete(answer("receipt"));
            bench.advance(1);
            assertRejected(here, LedgerCode.KEY_REUSED, RunStatus.NOT_RUN);
            assertRejected(there, LedgerCode.KEY_REUSED, RunStatus.NOT_RUN);
        }

        @Test
        void runAfterARunThatCertainlyDidNotHappen() {
            first.hold("k").markNotRun();
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            bench.advance(1);
            assertThat(here.join()).isInstanceOf(Run.class);
            ((Run) here.join()).claim().markNotRun();
            bench.advance(1);
            assertThat(second.hold("k").mayDispatch()).isTrue();
        }

        @Test
        void neverRunAfterAnUnknownOutcome() {
            first.hold("k").markOutcomeUnknown();
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            bench.advance(1);
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            bench.advance(Duration.ofHours(30).toMillis());
            CompletableFuture<SubmissionDecision> later = second.claim("k");
            bench.advance(1);
            assertRejected(here, LedgerCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN);
            assertRejected(there, LedgerCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN);
            assertRejected(later, LedgerCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN);
        }

        @Test
        void getLongAnswersFromTheObjectStore() {
            String text = "ordinance ".repeat(1_000);
            first.hold("k").complete(answer(text));
            bench.advance(1);
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            bench.advance(1);
            assertThat(body(there)).isEqualTo(text);
            assertThat(bench.store.objects).hasSize(1);
        }

        @Test
        void learnThatTheKeyRanWhenItsAnswerWasNotKept() {
            first.hold("k").complete(new StoredAnswer(200, List.of(), Optional.empty()));
            bench.advance(1);
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            bench.advance(1);
            assertRejected(there, LedgerCode.ANSWER_NOT_KEPT, RunStatus.RUN);
        }
    }

    @Nested
    final class LostAnswersOfTheStore {
        @Test
        void doNotHideAClaimThatTookEffect() {
            bench.store.faults.add(Fault.ANSWER_LOST);
            Claim claim = first.hold("k");
            assertThat(claim.mayDispatch()).isTrue();
            bench.store.faults.add(Fault.ANSWER_LOST);
            claim.complete(answer("receipt"));
            bench.advance(1);
            assertThat(first.ledger.openClaims()).isEqualTo(0);
        }

        @Test
        void refuseWhenTheClaimStaysUncertainAndFreeTheKeyLater() {
            bench.store.faults.addAll(List.of(Fault.ANSWER_LOST, Fault.LOST, Fault.UNAVAILABLE));
            CompletableFuture<SubmissionDecision> refused = first.claim("k");
            bench.advance(1);
            assertRejected(refused, LedgerCode.LEDGER_UNAVAILABLE, RunStatus.NOT_RUN);
            bench.advance(2_000);
            assertThat(first.ledger.openClaims()).isEqualTo(0);
            assertThat(second.hold("k").mayDispatch()).isTrue();
        }
    }

    @Nested
    final class StoreDown {
        @Test
        void refusesAtOnceAndKeepsNothing() {
            bench.store.always = Fault.UNAVAILABLE;
            CompletableFuture<SubmissionDecision> tried = first.claim("k");
            bench.advance(0);
            CompletableFuture<SubmissionDecision> atOnce = first.claim("j");
            assertRejected(tried, LedgerCode.LEDGER_UNAVAILABLE, RunStatus.NOT_RUN);
            assertRejected(atOnce, LedgerCode.LEDGER_UNAVAILABLE, RunStatus.NOT_RUN);
            assertThat(((Rejected) atOnce.join()).retryAfterMillis()).isGreaterThan(0);
            assertThat(first.ledger.openClaims()).isEqualTo(0);
        }

        @Test
        void keepsAnOutcomeUntilItCanBeWritten() {
            Claim claim = first.hold("k");
            bench.store.always = Fault.UNAVAILABLE;
            claim.complete(answer("receipt"));
            bench.advance(60_000);
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            assertThat(body(here)).isEqualTo("receipt");
            bench.store.always = Fault.NONE;
            bench.advance(1_000);
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            bench.advance(1);
            assertThat(body(there)).isEqualTo("receipt");
        }

        @Test
        void givesUpAClaimThatIsThrottledForTooLong() {
            bench.store.always = Fault.THROTTLED;
            CompletableFuture<SubmissionDecision> refused = first.claim("k");
            bench.advance(2_000);
            assertRejected(refused, LedgerCode.LEDGER_UNAVAILABLE, RunStatus.NOT_RUN);
            bench.store.always = Fault.NONE;
            bench.advance(1_000);
            assertThat(first.ledger.openClaims()).isEqualTo(0);
            assertThat(bench.store.rows).isEmpty();
        }
    }

    @Nested
    final class Owners {
        @Test
        void thatWerePausedPastTheDeadlineDoNotDispatch() {
            Claim claim = first.hold("k");
            bench.pause(Duration.ofSeconds(31));
            assertThat(claim.mayDispatch()).isFalse();
        }

        @Test
        void thatAreKnownToBeGoneLeaveAnUnknownOutcomeAtOnce() {
            LedgerFixture.Daemon informed = bench.daemon("d3", owner -> false);
            first.hold("k");
            CompletableFuture<SubmissionDecision> there = informed.claim("k");
            bench.advance(1);
            assertRejected(there, LedgerCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN);
        }

        @Test
        void thatAreSilentLongAfterTheirDeadlineLeaveAnUnknownOutcome() {
            first.hold("k");
            bench.pause(Duration.ofSeconds(36));
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            bench.advance(1);
            assertRejected(there, LedgerCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN);
        }
    }

    @Test
    void opensNoMoreClaimsThanItsLimit() {
        for (int i = 0; i < LedgerFixture.LIMITS.maxOpenClaims(); i++) {
            first.hold("k" + i);
        }
        assertRejected(first.claim("one more"), LedgerCode.LEDGER_OVERLOADED, RunStatus.NOT_RUN);
    }
}
