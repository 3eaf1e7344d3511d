package org.dragonflygw.edge.upstream;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class IdleLimitsTest {
    private static final long MS = 1_000_000L;
    private static final long USUAL = 1_000 * MS;

    private final IdleLimits limits = new IdleLimits();

    @Test
    void defaultLimitAppliesWithoutLosses() {
        assertThat(limits.limitNanos("e", USUAL, 0)).isEqualTo(USUAL);
    }

    /** Pattern: an endpoint drops connections that rested 300 ms, and resets what is sent next. */
    @Test
    void lossOnAnIdleConnectionShortensTheLimitOfThatEndpoint() {
        limits.onConnectionLost("e", 400 * MS, 0);
        assertThat(limits.limitNanos("e", USUAL, 1)).isEqualTo(200 * MS);
        assertThat(limits.limitNanos("other", USUAL, 1)).isEqualTo(USUAL);
    }

    @Test
    void laterLossDoesNotLengthenTheLimit() {
        limits.onConnectionLost("e", 400 * MS, 0);
        limits.onConnectionLost("e", 900 * MS, 1);
        assertThat(limits.limitNanos("e", USUAL, 2)).isEqualTo(200 * MS);
    }

    @Test
    void lossAfterAShortIdleTimeKeepsTheLimit() {
        limits.onConnectionLost("e", 10 * MS, 0);
        assertThat(limits.limitNanos("e", USUAL, 1)).isEqualTo(USUAL);
    }

    @Test
    void defaultLimitReturnsAfterTheHoldTimeAndForARemovedEndpoint() {
        limits.onConnectionLost("e", 400 * MS, 0);
        limits.onConnectionLost("f", 400 * MS, 0);
        limits.removeEndpoint("f");
        assertThat(limits.limitNanos("e", USUAL, 31_000 * MS)).isEqualTo(USUAL);
        assertThat(limits.limitNanos("f", USUAL, 1)).isEqualTo(USUAL);
    }
}
