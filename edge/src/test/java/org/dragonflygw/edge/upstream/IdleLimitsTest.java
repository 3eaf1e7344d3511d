package org.dragonflygw.edge.upstream;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class IdleLimitsTest {
    private static final long MS = 1_000_000L;
    private static final long DEFAULT = 1_000 * MS;

    private final IdleLimits limits = new IdleLimits();

    @Test
    void defaultLimitAppliesWithoutLosses() {
        assertThat(limits.limitNanos("e", DEFAULT, 0)).isEqualTo(DEFAULT);
    }

    /**
     * Guards against losing further requests when an endpoint drops connections that were idle for 300 ms and resets
     * the next request on them.
     */
    @Test
    void lossOnAnIdleConnectionShortensTheLimitOfThatEndpoint() {
        limits.onConnectionLost("e", 400 * MS, 0);
        assertThat(limits.limitNanos("e", DEFAULT, 1)).isEqualTo(200 * MS);
        assertThat(limits.limitNanos("other", DEFAULT, 1)).isEqualTo(DEFAULT);
    }

    @Test
    void laterLossDoesNotLengthenTheLimit() {
        limits.onConnectionLost("e", 400 * MS, 0);
        limits.onConnectionLost("e", 900 * MS, 1);
        assertThat(limits.limitNanos("e", DEFAULT, 2)).isEqualTo(200 * MS);
    }

    @Test
    void lossAfterAShortIdleTimeKeepsTheLimit() {
        limits.onConnectionLost("e", 10 * MS, 0);
        assertThat(limits.limitNanos("e", DEFAULT, 1)).isEqualTo(DEFAULT);
    }

    @Test
    void defaultLimitReturnsAfterTheHoldTimeAndForARemovedEndpoint() {
        limits.onConnectionLost("e", 400 * MS, 0);
        limits.onConnectionLost("f", 400 * MS, 0);
        limits.removeEndpoint("f");
        assertThat(limits.limitNanos("e", DEFAULT, 31_000 * MS)).isEqualTo(DEFAULT);
        assertThat(limits.limitNanos("f", DEFAULT, 1)).isEqualTo(DEFAULT);
    }
}
