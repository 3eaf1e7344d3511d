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
    private final LedgerFixture fixture = new LedgerFixture();
    private final LedgerFixture.Daemon first = fixture.daemon("d1");
    private final LedgerFixture.Daemon second = fixture.daemon("d2");

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
    final class RepeatedKeys {
        @Test
        void repeatGetsTheAnswerOfTheFirstRunOnEveryDaemon() {
            Claim claim = first.claimFreeKey("k");
            assertThat(claim.mayDispatch()).isTrue();
            claim.complete(answer("receipt 1"));
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            fixture.advance(1);
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            fixture.advance(1);
            assertThat(body(here)).isEqualTo("receipt 1");
            assertThat(body(there)).isEqualTo("receipt 1");
            assertThat(first.ledger.openClaims()).isEqualTo(0);
        }

        @Test
        void repeatWaitsForTheRunOnTheSameAndOnAnotherDaemon() {
            Claim claim = first.claimFreeKey("k");
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            fixture.advance(1_000);
            assertThat(here.isDone()).isFalse();
            assertThat(there.isDone()).isFalse();
            claim.complete(answer("receipt 2"));
            fixture.advance(500);
            assertThat(body(here)).isEqualTo("receipt 2");
            assertThat(body(there)).isEqualTo("receipt 2");
        }

        @Test
        void repeatIsRejectedAtItsDeadlineWhileTheRunContinues() {
            first.claimFreeKey("k");
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            fixture.advance(30_000);
            assertRejected(here, LedgerCode.SUBMISSION_IN_PROGRESS, RunStatus.UNKNOWN);
            assertRejected(there, LedgerCode.SUBMISSION_IN_PROGRESS, RunStatus.UNKNOWN);
        }

        @Test
        void repeatWithOtherContentIsRejected() {
            Claim claim = first.claimFreeKey("k");
            CompletableFuture<SubmissionDecision> here = first.ledger.claim(fixture.submission("k", 8));
            CompletableFuture<SubmissionDecision> there = second.ledger.claim(fixture.submission("k", 8));
            claim.complete(answer("receipt"));
            fixture.advance(1);
            assertRejected(here, LedgerCode.KEY_REUSED, RunStatus.NOT_RUN);
            assertRejected(there, LedgerCode.KEY_REUSED, RunStatus.NOT_RUN);
        }

        @Test
        void repeatRunsIfTheFirstSubmissionWasNotRun() {
            first.claimFreeKey("k").markNotRun();
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            fixture.advance(1);
            assertThat(here.join()).isInstanceOf(Run.class);
            ((Run) here.join()).claim().markNotRun();
            fixture.advance(1);
            assertThat(second.claimFreeKey("k").mayDispatch()).isTrue();
        }

        @Test
        void repeatNeverRunsAfterAnUnknownOutcome() {
            first.claimFreeKey("k").markOutcomeUnknown();
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            fixture.advance(1);
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            fixture.advance(Duration.ofHours(30).toMillis());
            CompletableFuture<SubmissionDecision> later = second.claim("k");
            fixture.advance(1);
            assertRejected(here, LedgerCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN);
            assertRejected(there, LedgerCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN);
            assertRejected(later, LedgerCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN);
        }

        @Test
        void repeatGetsALongAnswerFromTheObjectStore() {
            String text = "ordinance ".repeat(1_000);
            first.claimFreeKey("k").complete(answer(text));
            fixture.advance(1);
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            fixture.advance(1);
            assertThat(body(there)).isEqualTo(text);
            assertThat(fixture.store.objects).hasSize(1);
        }

        @Test
        void repeatIsRejectedAsRunIfTheAnswerWasNotStored() {
            first.claimFreeKey("k").complete(new StoredAnswer(200, List.of(), Optional.empty()));
            fixture.advance(1);
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            fixture.advance(1);
            assertRejected(there, LedgerCode.ANSWER_NOT_KEPT, RunStatus.RUN);
        }
    }

    @Nested
    final class StoreAnswerLost {
        @Test
        void claimAndOutcomeThatTookEffectAreRecognised() {
            fixture.store.faults.add(Fault.ANSWER_LOST);
            Claim claim = first.claimFreeKey("k");
            assertThat(claim.mayDispatch()).isTrue();
            fixture.store.faults.add(Fault.ANSWER_LOST);
            claim.complete(answer("receipt"));
            fixture.advance(1);
            assertThat(first.ledger.openClaims()).isEqualTo(0);
        }

        @Test
        void uncertainClaimIsRejectedAndItsKeyFreedLater() {
            fixture.store.faults.addAll(List.of(Fault.ANSWER_LOST, Fault.LOST, Fault.UNAVAILABLE));
            CompletableFuture<SubmissionDecision> refused = first.claim("k");
            fixture.advance(1);
            assertRejected(refused, LedgerCode.LEDGER_UNAVAILABLE, RunStatus.NOT_RUN);
            fixture.advance(2_000);
            assertThat(first.ledger.openClaims()).isEqualTo(0);
            assertThat(second.claimFreeKey("k").mayDispatch()).isTrue();
        }
    }

    @Nested
    final class StoreUnavailable {
        @Test
        void claimsAreRejectedAtOnceAndNoneStaysOpen() {
            fixture.store.always = Fault.UNAVAILABLE;
            CompletableFuture<SubmissionDecision> tried = first.claim("k");
            fixture.advance(0);
            CompletableFuture<SubmissionDecision> atOnce = first.claim("j");
            assertRejected(tried, LedgerCode.LEDGER_UNAVAILABLE, RunStatus.NOT_RUN);
            assertRejected(atOnce, LedgerCode.LEDGER_UNAVAILABLE, RunStatus.NOT_RUN);
            assertThat(((Rejected) atOnce.join()).retryAfterMillis()).isGreaterThan(0);
            assertThat(first.ledger.openClaims()).isEqualTo(0);
        }

        @Test
        void outcomeIsKeptUntilItCanBeWritten() {
            Claim claim = first.claimFreeKey("k");
            fixture.store.always = Fault.UNAVAILABLE;
            claim.complete(answer("receipt"));
            fixture.advance(60_000);
            CompletableFuture<SubmissionDecision> here = first.claim("k");
            assertThat(body(here)).isEqualTo("receipt");
            fixture.store.always = Fault.NONE;
            fixture.advance(1_000);
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            fixture.advance(1);
            assertThat(body(there)).isEqualTo("receipt");
        }

        @Test
        void claimThrottledForTooLongIsRejectedAndNotWritten() {
            fixture.store.always = Fault.THROTTLED;
            CompletableFuture<SubmissionDecision> refused = first.claim("k");
            fixture.advance(2_000);
            assertRejected(refused, LedgerCode.LEDGER_UNAVAILABLE, RunStatus.NOT_RUN);
            fixture.store.always = Fault.NONE;
            fixture.advance(1_000);
            assertThat(first.ledger.openClaims()).isEqualTo(0);
            assertThat(fixture.store.rows).isEmpty();
        }
    }

    @Nested
    final class ClaimOwners {
        @Test
        void ownerPausedPastTheDeadlineMustNotDispatch() {
            Claim claim = first.claimFreeKey("k");
            fixture.pause(Duration.ofSeconds(31));
            assertThat(claim.mayDispatch()).isFalse();
        }

        @Test
        void claimOfADeadOwnerHasAnUnknownOutcomeAtOnce() {
            LedgerFixture.Daemon informed = fixture.daemon("d3", owner -> false);
            first.claimFreeKey("k");
            CompletableFuture<SubmissionDecision> there = informed.claim("k");
            fixture.advance(1);
            assertRejected(there, LedgerCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN);
        }

        @Test
        void claimWithoutOutcomeLongAfterItsDeadlineHasAnUnknownOutcome() {
            first.claimFreeKey("k");
            fixture.pause(Duration.ofSeconds(36));
            CompletableFuture<SubmissionDecision> there = second.claim("k");
            fixture.advance(1);
            assertRejected(there, LedgerCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN);
        }
    }

    @Test
    void claimAboveTheLimitOfOpenClaimsIsRejected() {
        for (int i = 0; i < LedgerFixture.LIMITS.maxOpenClaims(); i++) {
            first.claimFreeKey("k" + i);
        }
        assertRejected(first.claim("one more"), LedgerCode.LEDGER_OVERLOADED, RunStatus.NOT_RUN);
    }
}
