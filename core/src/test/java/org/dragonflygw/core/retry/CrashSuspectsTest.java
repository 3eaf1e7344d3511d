package org.dragonflygw.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class CrashSuspectsTest {
    private static final long REQUEST = 7;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final CrashSuspects suspects = new CrashSuspects();

    @Test
    void aRequestIsHeldFromTheThirdLostEndpointOn() {
        suspects.onLost(REQUEST, "e1", 0);
        suspects.onLost(REQUEST, "e2", 0);
        assertThat(suspects.heldNanos(REQUEST, 0)).isEqualTo(0);
        suspects.onLost(REQUEST, "e3", 0);
        assertThat(suspects.heldNanos(REQUEST, SECOND)).isEqualTo(59 * SECOND);
        assertThat(suspects.heldNanos(REQUEST + 1, SECOND)).isEqualTo(0);
    }

    @Test
    void theSameEndpointCountsOnce() {
        for (int i = 0; i < 5; i++) {
            suspects.onLost(REQUEST, "e1", i);
        }
        assertThat(suspects.heldNanos(REQUEST, 5)).isEqualTo(0);
    }

    @Test
    void aWholeAnswerClearsIt() {
        suspects.onLost(REQUEST, "e1", 0);
        suspects.onLost(REQUEST, "e2", 0);
        suspects.onAnswered(REQUEST);
        suspects.onLost(REQUEST, "e3", 0);
        assertThat(suspects.heldNanos(REQUEST, 0)).isEqualTo(0);
    }

    /** Pattern: a caller sends the request again through another host each time. */
    @Test
    void whatHostsSawIsPutTogether() {
        CrashSuspects other = new CrashSuspects();
        other.onLost(REQUEST, "e1", 0);
        other.onLost(REQUEST, "e2", 0);
        suspects.onLost(REQUEST, "e3", 0);
        other.news(SECOND).forEach(s -> suspects.accept(s, SECOND));
        assertThat(suspects.heldNanos(REQUEST, SECOND)).isGreaterThan(0L);
    }

    @Test
    void whatIsKnownAlreadyDoesNotHoldItLonger() {
        CrashSuspect all = new CrashSuspect(REQUEST, Set.of("e1", "e2", "e3"));
        suspects.accept(all, 0);
        suspects.accept(all, 30 * SECOND);
        assertThat(suspects.heldNanos(REQUEST, 59 * SECOND)).isEqualTo(SECOND);
        assertThat(suspects.heldNanos(REQUEST, 61 * SECOND)).isEqualTo(0);
    }

    @Test
    void lossesAreToldForAWhileAndTheNewestFirst() {
        for (int i = 1; i <= 100; i++) {
            suspects.onLost(i, "e1", i);
        }
        assertThat(suspects.news(SECOND)).hasSize(32);
        assertThat(suspects.news(SECOND).get(31).fingerprint()).isEqualTo(100);
        assertThat(suspects.news(5 * SECOND)).isEmpty();
    }

    @Test
    void requestsWithoutAFingerprintAreNotFollowed() {
        for (int i = 1; i <= 5; i++) {
            suspects.onLost(CrashSuspects.NO_FINGERPRINT, "e" + i, 0);
        }
        assertThat(suspects.heldNanos(CrashSuspects.NO_FINGERPRINT, 0)).isEqualTo(0);
    }

    @Test
    void theOldestGoFirstWhenThereAreTooMany() {
        suspects.accept(new CrashSuspect(1, Set.of("e1", "e2", "e3")), 0);
        for (int i = 2; i <= 1_001; i++) {
            suspects.onLost(i, "e1", 1);
        }
        assertThat(suspects.heldNanos(1, 1)).isEqualTo(0);
    }
}
