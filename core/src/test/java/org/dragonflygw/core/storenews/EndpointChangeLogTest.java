package org.dragonflygw.core.storenews;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class EndpointChangeLogTest {
    private static final long SECOND = 1_000_000_000L;

    private final EndpointChangeLog log = new EndpointChangeLog();

    private static EndpointChange change(long version) {
        return new EndpointChange("i-" + version, Optional.empty(), version);
    }

    @Test
    void ignoresChangesBeforeFirstListing() {
        log.add(change(3), 0);
        assertThat(log.changes()).isEmpty();
    }

    @Test
    void dropsChangesAfterRetention() {
        log.restart(1);
        log.add(change(2), 0);
        log.add(change(3), 4 * SECOND);
        log.expire(6 * SECOND);
        assertThat(log.changes()).containsExactly(change(3));
        assertThat(log.completeFrom()).isEqualTo(2);
    }

    @Test
    void keepsLatestChangesOfBurst() {
        log.restart(1);
        for (int v = 2; v <= 101; v++) {
            log.add(change(v), 0);
        }
        assertThat(log.changes()).hasSize(32);
        assertThat(log.completeFrom()).isEqualTo(69);
    }
}
