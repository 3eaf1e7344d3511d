package org.dragonflygw.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.Test;

final class CrashSuspectsTest {
    private static final long REQUEST = 7;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long BLOCK = TimeUnit.MINUTES.toNanos(10);

    private final CrashSuspects suspects = new CrashSuspects(new NoOpEventLog());

    @Test
    void requestIsBlockedFromTheThirdLostEndpointOn() {
        suspects.onConnectionLost(REQUEST, "e1", 0);
        suspects.onConnectionLost(REQUEST, "e2", 0);
        assertThat(suspects.remainingBlockNanos(REQUEST, 0)).isEqualTo(0);
        suspects.onConnectionLost(REQUEST, "e3", 0);
        assertThat(suspects.remainingBlockNanos(REQUEST, SECOND)).isEqualTo(BLOCK - SECOND);
        assertThat(suspects.remainingBlockNanos(REQUEST + 1, SECOND)).isEqualTo(0);
    }

    @Test
    void sameEndpointCountsOnce() {
        for (int i = 0; i < 5; i++) {
            suspects.onConnectionLost(REQUEST, "e1", i);
        }
        assertThat(suspects.remainingBlockNanos(REQUEST, 5)).isEqualTo(0);
    }

    @Test
    void completeAnswerClearsTheRequest() {
        suspects.onConnectionLost(REQUEST, "e1", 0);
        suspects.onConnectionLost(REQUEST, "e2", 0);
        suspects.onCompleted(REQUEST, 0);
        suspects.onConnectionLost(REQUEST, "e3", 0);
        assertThat(suspects.remainingBlockNanos(REQUEST, 0)).isEqualTo(0);
    }

    /** Guards against a caller that resends a crashing request through a different host each time. */
    @Test
    void lossesReportedByOtherHostsAreAdded() {
        CrashSuspects other = new CrashSuspects(new NoOpEventLog());
        other.onConnectionLost(REQUEST, "e1", 0);
        other.onConnectionLost(REQUEST, "e2", 0);
        suspects.onConnectionLost(REQUEST, "e3", 0);
        suspects.accept(other.nextReport(1, SECOND), SECOND);
        assertThat(suspects.remainingBlockNanos(REQUEST, SECOND)).isGreaterThan(0L);
    }

    @Test
    void knownLossesDoNotExtendTheBlock() {
        CrashSuspect all = new CrashSuspect(REQUEST, Set.of("e1", "e2", "e3"), 0);
        suspects.accept(all, 0);
        suspects.accept(all, BLOCK / 2);
        assertThat(suspects.remainingBlockNanos(REQUEST, BLOCK - SECOND)).isEqualTo(SECOND);
        assertThat(suspects.remainingBlockNanos(REQUEST, BLOCK + SECOND)).isEqualTo(0);
    }

    /** Guards against a block whose end costs three more endpoints. */
    @Test
    void requestIsBlockedAgainByOneLossAfterItsBlock() {
        for (int i = 1; i <= 3; i++) {
            suspects.onConnectionLost(REQUEST, "e" + i, 0);
        }
        suspects.onConnectionLost(REQUEST, "e4", BLOCK + SECOND);
        assertThat(suspects.remainingBlockNanos(REQUEST, BLOCK + SECOND)).isEqualTo(BLOCK);
    }

    /** Guards against losses that are left out of the reports for others, so that hosts do not hear of each other's. */
    @Test
    void allLossesAreReportedTwiceInReportsOfBoundedSize() {
        for (int i = 1; i <= 1_000; i++) {
            suspects.onConnectionLost(i, "e1", i);
        }
        List<Long> reported = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            List<Long> next = suspects.nextReport(1, SECOND).losses().stream()
                    .flatMap(l -> l.fingerprints().stream())
                    .toList();
            assertThat(next.size()).isAtMost(256);
            reported.addAll(next);
        }
        assertThat(reported).hasSize(2_000);
        assertThat(Set.copyOf(reported)).hasSize(1_000);
    }

    @Test
    void lossesOfOtherHostsAreNotPassedOn() {
        suspects.accept(new CrashSuspect(REQUEST, Set.of("e1"), 0), 0);
        assertThat(suspects.nextReport(1, 0)).isEqualTo(CrashReport.NONE);
        suspects.accept(new CrashSuspect(REQUEST, Set.of("e2"), 0), 0);
        assertThat(suspects.nextReport(1, 0).suspects())
                .containsExactly(new CrashSuspect(REQUEST, Set.of("e1", "e2"), 0));
    }

    @Test
    void oldestBlockedRequestIsEvictedAtTheCapacityForBlockedOnes() {
        for (int i = 1; i <= 1_025; i++) {
            suspects.accept(new CrashSuspect(i, Set.of("e1", "e2", "e3"), 0), 0);
        }
        assertThat(suspects.remainingBlockNanos(1, 1)).isEqualTo(0);
        assertThat(suspects.remainingBlockNanos(2, 1)).isGreaterThan(0L);
        assertThat(suspects.count()).isEqualTo(1_024);
    }

    /** Guards against a host that restarts during a block and sends the request to three more endpoints. */
    @Test
    void blockedRequestIsReportedAsLongAsItIsBlocked() {
        for (int i = 1; i <= 3; i++) {
            suspects.onConnectionLost(REQUEST, "e" + i, 0);
        }
        CrashSuspects restarted = new CrashSuspects(new NoOpEventLog());
        for (int i = 0; i < 10; i++) {
            suspects.nextReport(1, SECOND);
        }
        restarted.accept(suspects.nextReport(1, 40 * SECOND), 40 * SECOND);
        assertThat(restarted.remainingBlockNanos(REQUEST, 40 * SECOND)).isEqualTo(BLOCK - 40 * SECOND);
        assertThat(suspects.nextReport(1, BLOCK + SECOND).suspects()).isEmpty();
    }

    /** Guards against hosts that tell each other of a block again and again, so that it never ends. */
    @Test
    void blockEndsAtTheSameTimeOnAllHosts() {
        for (int i = 1; i <= 3; i++) {
            suspects.onConnectionLost(REQUEST, "e" + i, 0);
        }
        CrashSuspects other = new CrashSuspects(new NoOpEventLog());
        for (int s = 0; s <= 600; s++) {
            long now = s * SECOND;
            other.accept(suspects.nextReport(1, now), now);
            suspects.accept(other.nextReport(1, now), now);
        }
        assertThat(suspects.remainingBlockNanos(REQUEST, BLOCK + SECOND)).isEqualTo(0);
        assertThat(other.remainingBlockNanos(REQUEST, BLOCK + SECOND)).isEqualTo(0);
        assertThat(other.nextReport(1, BLOCK + SECOND).suspects()).isEmpty();
    }

    /** Guards against a request that is cleared on one host, while the others keep the losses and tell them back. */
    @Test
    void completeAnswerClearsTheRequestOnOtherHosts() {
        suspects.onConnectionLost(REQUEST, "e1", 0);
        suspects.onConnectionLost(REQUEST, "e2", 0);
        CrashSuspects other = new CrashSuspects(new NoOpEventLog());
        other.accept(suspects.nextReport(1, SECOND), SECOND);
        suspects.onCompleted(REQUEST, SECOND);
        suspects.accept(other.nextReport(1, 2 * SECOND), 2 * SECOND);
        suspects.onConnectionLost(REQUEST, "e3", 3 * SECOND);
        assertThat(suspects.remainingBlockNanos(REQUEST, 3 * SECOND)).isEqualTo(0);
        other.onConnectionLost(REQUEST, "e3", 3 * SECOND);
        assertThat(other.remainingBlockNanos(REQUEST, 3 * SECOND)).isGreaterThan(0L);
        other.accept(suspects.nextReport(1, 3 * SECOND), 3 * SECOND);
        assertThat(other.remainingBlockNanos(REQUEST, 3 * SECOND)).isEqualTo(0);
    }

    /** Guards against a request that many callers send and that is blocked after several endpoints ended for another reason. */
    @Test
    void requestThatWasAnsweredRecentlyIsNotSuspected() {
        suspects.onCompleted(REQUEST, 0);
        for (int i = 1; i <= 5; i++) {
            suspects.onConnectionLost(REQUEST, "e" + i, SECOND);
        }
        assertThat(suspects.remainingBlockNanos(REQUEST, SECOND)).isEqualTo(0);
        for (int i = 1; i <= 3; i++) {
            suspects.onConnectionLost(REQUEST, "e" + i, 61 * SECOND);
        }
        assertThat(suspects.remainingBlockNanos(REQUEST, 61 * SECOND)).isGreaterThan(0L);
    }

    /** Guards against a host that missed the clearing and goes on to report the losses. */
    @Test
    void clearedRequestIsReportedAgainToAHostThatStillSuspectsIt() {
        suspects.onCompleted(REQUEST, 0);
        CrashSuspects other = new CrashSuspects(new NoOpEventLog());
        for (int i = 1; i <= 3; i++) {
            other.onConnectionLost(REQUEST, "e" + i, 0);
        }
        suspects.accept(other.nextReport(1, 0), SECOND);
        other.accept(suspects.nextReport(1, SECOND), SECOND);
        assertThat(other.remainingBlockNanos(REQUEST, SECOND)).isEqualTo(0);
    }

    /** Guards against many harmless losses that push a blocked request out of the table. */
    @Test
    void blockedRequestIsNotEvictedByOthers() {
        for (int i = 1; i <= 3; i++) {
            suspects.onConnectionLost(REQUEST, "e" + i, 0);
        }
        for (int i = 1; i <= 100_000; i++) {
            suspects.onConnectionLost(REQUEST + i, "e1", 1);
        }
        assertThat(suspects.remainingBlockNanos(REQUEST, 1)).isGreaterThan(0L);
        assertThat(suspects.count()).isLessThan(100_000);
    }

    @Test
    void blockedRequestIsReportedBesideManyOtherLosses() {
        for (int i = 1; i <= 3; i++) {
            suspects.onConnectionLost(REQUEST, "e" + i, 0);
        }
        for (int i = 1; i <= 1_000; i++) {
            suspects.onConnectionLost(REQUEST + i, "e1", i);
        }
        assertThat(suspects.nextReport(1, SECOND).suspects().stream().map(CrashSuspect::fingerprint))
                .containsExactly(REQUEST);
    }
}
