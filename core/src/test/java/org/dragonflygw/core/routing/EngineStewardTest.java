package org.dragonflygw.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class EngineStewardTest {
    private static final long EPOCH = 7;
    private static final long LONG_MILLIS = 60_000;

    private final MutableClock clock = MutableClock.of(Instant.ofEpochSecond(1_000), ZoneOffset.UTC);
    private final List<SlotDecision> decisions = new ArrayList<>();
    private final EngineSteward steward = steward(4, 4);

    @Nested
    final class Bound {
        @Test
        void grantsUpToTheLimitAndQueuesTheNext() {
            for (int i = 0; i < 5; i++) {
                ask("a", LONG_MILLIS);
            }
            assertThat(decisions).hasSize(4);
            steward.end(decisions.get(0).grantId(), EPOCH, AttemptOutcome.COMPLETED);
            assertThat(decisions).hasSize(5);
            assertThat(decisions.get(4).isGranted()).isTrue();
            assertThat(steward.openGrants()).isEqualTo(4);
        }

        @Test
        void neverGrantsAboveTheLoadBound() {
            int[] bound = {2};
            EngineSteward bounded =
                    new EngineSteward("e1", EPOCH, StewardSettings.of(16, 0), (own, millis) -> bound[0], 0, clock);
            clock.add(Duration.ofSeconds(6));
            for (int i = 0; i < 5; i++) {
                bounded.acquire(request("r" + i, "a", LONG_MILLIS, false), decisions::add);
            }
            assertThat(bounded.openGrants()).isEqualTo(2);
            assertThat(decisions.get(4).status()).isEqualTo(SlotStatus.OVERLOADED);
            assertThat(decisions.get(4).retryAfterMillis()).isGreaterThan(0L);
        }

        @Test
        void servesWaitersWhenTheBoundRises() {
            int[] bound = {1};
            EngineSteward bounded =
                    new EngineSteward("e1", EPOCH, StewardSettings.of(16, 4), (own, millis) -> bound[0], 0, clock);
            clock.add(Duration.ofSeconds(6));
            bounded.acquire(request("r1", "a", LONG_MILLIS, false), decisions::add);
            bounded.acquire(request("r2", "a", LONG_MILLIS, false), decisions::add);
            assertThat(decisions).hasSize(1);
            bound[0] = 2;
            bounded.expire();
            assertThat(decisions).hasSize(2);
        }
    }

    @Nested
    final class Waiting {
        @Test
        void refusesAtOnceWhenTheWaitWouldBeTooLong() {
            fill();
            ask("a", 10);
            assertThat(decisions.get(4).status()).isEqualTo(SlotStatus.OVERLOADED);
        }

        @Test
        void refusesAtOnceWhenTheDeadlineCannotBeMet() {
            fill();
            steward.acquire(
                    new SlotRequest("late", "a", 1, 1, 1, 1, 500, LONG_MILLIS, false, true, false), decisions::add);
            assertThat(decisions.get(4).status()).isEqualTo(SlotStatus.DEADLINE);
        }

        @Test
        void refusesWaiterAfterItsMaxWait() {
            fill();
            ask("a", 5_000);
            clock.add(Duration.ofSeconds(5));
            steward.expire();
            assertThat(decisions.get(4).status()).isEqualTo(SlotStatus.OVERLOADED);
        }

        @Test
        void keepsTheLastSlotsForTeamsBelowTheirShare() {
            EngineSteward eightSlots = steward(8, 0);
            eightSlots.acquire(request("b0", "small", LONG_MILLIS, false), decisions::add);
            for (int i = 0; i < 8; i++) {
                eightSlots.acquire(request("r" + i, "surging", LONG_MILLIS, false), decisions::add);
            }
            assertThat(eightSlots.slots("surging")).isEqualTo(6);
            eightSlots.acquire(request("b1", "small", 0, false), decisions::add);
            assertThat(eightSlots.slots("small")).isEqualTo(2);
        }
    }

    @Nested
    final class Leases {
        @Test
        void grantExpiresWhenItsReleaseIsLost() {
            fill();
            clock.add(Duration.ofSeconds(21));
            assertThat(steward.expire()).isEqualTo(4);
            assertThat(steward.openGrants()).isEqualTo(0);
        }

        @Test
        void renewedGrantDoesNotExpire() {
            fill();
            clock.add(Duration.ofSeconds(15));
            assertThat(steward.renew(decisions.get(0).grantId(), EPOCH)).isTrue();
            clock.add(Duration.ofSeconds(10));
            steward.expire();
            assertThat(steward.openGrants()).isEqualTo(1);
        }

        @Test
        void endAndRenewWithOldEpochAreIgnored() {
            fill();
            long grantId = decisions.get(0).grantId();
            assertThat(steward.end(grantId, EPOCH - 1, AttemptOutcome.COMPLETED))
                    .isEqualTo(GrantEndResult.UNKNOWN);
            assertThat(steward.renew(grantId, EPOCH - 1)).isFalse();
            assertThat(steward.openGrants()).isEqualTo(4);
        }

        @Test
        void secondEndOfAGrantIsIgnored() {
            fill();
            long grantId = decisions.get(0).grantId();
            steward.end(grantId, EPOCH, AttemptOutcome.COMPLETED);
            assertThat(steward.end(grantId, EPOCH, AttemptOutcome.COMPLETED)).isEqualTo(GrantEndResult.UNKNOWN);
            assertThat(steward.openGrants()).isEqualTo(3);
        }
    }

    @Nested
    final class TwoStewards {
        @Test
        void countsRequestsSeenOnlyInTheEngineReport() {
            clock.add(Duration.ofSeconds(6));
            steward.onReport(3, false);
            ask("a", 0);
            ask("a", 0);
            assertThat(steward.openGrants()).isEqualTo(1);
        }

        @Test
        void laggingReportOfOwnRequestsTakesNoSlots() {
            clock.add(Duration.ofSeconds(6));
            fill();
            decisions.forEach(d -> steward.end(d.grantId(), EPOCH, AttemptOutcome.COMPLETED));
            steward.onReport(4, false);
            ask("a", 0);
            assertThat(decisions.get(4).isGranted()).isTrue();
        }

        @Test
        void grantsHalfOfTheFreeSlotsPerReportInTheGracePeriod() {
            EngineSteward successor =
                    new EngineSteward("e1", EPOCH, StewardSettings.of(16, 0), LoadBound.NONE, 8, clock);
            for (int i = 0; i < 8; i++) {
                successor.acquire(request("r" + i, "a", 0, false), decisions::add);
            }
            assertThat(successor.openGrants()).isEqualTo(4);
            successor.onReport(12, false);
            successor.acquire(request("r8", "a", 0, false), decisions::add);
            assertThat(successor.openGrants()).isEqualTo(5);
        }

        @Test
        void adoptsRunningRequestAboveTheBound() {
            fill();
            assertThat(steward.adopt(request("old", "a", 0, false)).isGranted()).isTrue();
            assertThat(steward.openGrants()).isEqualTo(5);
        }

        @Test
        void closedStewardAnswersNotSteward() {
            fill();
            ask("a", LONG_MILLIS);
            steward.close();
            ask("a", LONG_MILLIS);
            assertThat(decisions.get(4).status()).isEqualTo(SlotStatus.NOT_STEWARD);
            assertThat(decisions.get(5).status()).isEqualTo(SlotStatus.NOT_STEWARD);
        }
    }

    @Nested
    final class Failures {
        @Test
        void leavingEngineRefusesRequests() {
            fill();
            ask("a", LONG_MILLIS);
            steward.onReport(4, true);
            ask("a", LONG_MILLIS);
            assertThat(decisions.get(4).status()).isEqualTo(SlotStatus.UNAVAILABLE);
            assertThat(decisions.get(5).status()).isEqualTo(SlotStatus.UNAVAILABLE);
        }

        @Test
        void twoLostConnectionsSuspendTheEngineUntilAProbeSucceeds() {
            fill();
            lose(0);
            assertThat(lose(1)).isEqualTo(GrantEndResult.ENDED_AND_SUSPENDED);
            ask("a", 0);
            assertThat(decisions.get(4).status()).isEqualTo(SlotStatus.UNAVAILABLE);
            lose(2);
            lose(3);
            clock.add(Duration.ofSeconds(2));
            ask("a", 0);
            ask("a", 0);
            assertThat(steward.openGrants()).isEqualTo(1);
            steward.end(decisions.get(5).grantId(), EPOCH, AttemptOutcome.COMPLETED);
            ask("a", 0);
            ask("a", 0);
            assertThat(steward.openGrants()).isEqualTo(2);
        }

        @Test
        void runsOneSuspectAtATime() {
            steward.acquire(request("s1", "a", LONG_MILLIS, true), decisions::add);
            steward.acquire(request("s2", "a", 0, true), decisions::add);
            assertThat(decisions.get(1).status()).isEqualTo(SlotStatus.SUSPECT_BUSY);
            steward.acquire(request("s3", "a", LONG_MILLIS, true), decisions::add);
            assertThat(decisions).hasSize(2);
            steward.end(decisions.get(0).grantId(), EPOCH, AttemptOutcome.COMPLETED);
            assertThat(decisions.get(2).isGranted()).isTrue();
        }

        @Test
        void waitingSuspectIsRefusedAfterItsMaxWait() {
            steward.acquire(request("s1", "a", LONG_MILLIS, true), decisions::add);
            steward.acquire(request("s2", "a", 5_000, true), decisions::add);
            clock.add(Duration.ofSeconds(5));
            steward.expire();
            assertThat(decisions.get(1).status()).isEqualTo(SlotStatus.OVERLOADED);
        }

        @Test
        void refusalTellsThatTheSameRequestIsInFlight() {
            fill();
            ask("a", 0);
            assertThat(decisions.get(4).sameInFlight()).isTrue();
        }

        private GrantEndResult lose(int index) {
            return steward.end(decisions.get(index).grantId(), EPOCH, AttemptOutcome.ENDPOINT_LOST);
        }
    }

    @Nested
    final class Spills {
        @Test
        void redirectsSpilledChatToTheEngineWithItsCache() {
            steward.recordSpill(1, "e2");
            ask("a", LONG_MILLIS);
            assertThat(decisions.get(0).status()).isEqualTo(SlotStatus.REDIRECTED);
            assertThat(decisions.get(0).redirectEndpointId()).isEqualTo("e2");
        }

        @Test
        void forgetsSpillWhenTheChatReturns() {
            steward.recordSpill(1, "e2");
            steward.recordSpill(1, "e1");
            ask("a", LONG_MILLIS);
            assertThat(decisions.get(0).isGranted()).isTrue();
        }
    }

    private EngineSteward steward(int slots, int queue) {
        EngineSteward created =
                new EngineSteward("e1", EPOCH, StewardSettings.of(slots, queue), LoadBound.NONE, 0, clock);
        clock.add(Duration.ofSeconds(6));
        return created;
    }

    private void fill() {
        for (int i = 0; i < 4; i++) {
            ask("a", LONG_MILLIS);
        }
    }

    private void ask(String team, long maxWaitMillis) {
        steward.acquire(request("r", team, maxWaitMillis, false), decisions::add);
    }

    private static SlotRequest request(String id, String team, long maxWaitMillis, boolean suspect) {
        return new SlotRequest(id, team, 1, 1, 1, 1, LONG_MILLIS, maxWaitMillis, suspect, true, false);
    }
}
