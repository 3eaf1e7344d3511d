package org.dragonflygw.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class UnfinishedAttemptsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final UnfinishedAttempts<Long> attempts = new UnfinishedAttempts<>();

    @Test
    void areTakenOnceWhenTheirEndpointEnds() {
        attempts.add(1L, "e1", 0);
        attempts.add(2L, "e1", SECOND);
        attempts.add(3L, "e2", SECOND);
        assertThat(attempts.take("e1", 4 * SECOND)).containsExactly(1L, 2L);
        assertThat(attempts.take("e1", 4 * SECOND)).isEmpty();
    }

    @Test
    void areForgottenWhenTheirEndpointLivesOn() {
        attempts.add(1L, "e1", 0);
        attempts.add(2L, "e1", 8 * SECOND);
        assertThat(attempts.take("e1", 11 * SECOND)).containsExactly(2L);
    }

    /** Guards against an attempt that is still open when the entry of its endpoint is removed. */
    @Test
    void thatEndAfterTheirEndpointNeedNotBeRemembered() {
        attempts.onEnded("e1");
        assertThat(attempts.add(1L, "e1", SECOND)).isTrue();
        assertThat(attempts.take("e1", SECOND)).isEmpty();
    }

    @Test
    void areBoundedPerEndpointAndInTheNumberOfEndpoints() {
        for (int i = 0; i < 10_000; i++) {
            attempts.add((long) i, "e1", 0);
            attempts.add((long) i, "x" + i, 0);
        }
        assertThat(attempts.take("e1", 0)).hasSize(256);
        assertThat(attempts.take("x9999", 0)).isEmpty();
        attempts.add(1L, "later", 20 * SECOND);
        assertThat(attempts.take("later", 20 * SECOND)).containsExactly(1L);
    }
}
