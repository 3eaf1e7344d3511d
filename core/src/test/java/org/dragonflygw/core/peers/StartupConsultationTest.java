package org.dragonflygw.core.peers;

import static com.google.common.truth.Truth.assertThat;

import org.dragonflygw.core.ManualMonotonicClock;
import org.junit.jupiter.api.Test;

final class StartupConsultationTest {
    private static final long NANOS_PER_MS = 1_000_000;

    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private boolean storeRead;
    private long heardNanos = Long.MIN_VALUE;
    private final StartupConsultation consultation =
            new StartupConsultation(() -> storeRead, since -> heardNanos >= since, clock);

    /** Guards against reports that came before the read, so that nothing was compared with them. */
    @Test
    void isOverOnceAllOthersWereHeardAfterTheRead() {
        heardNanos = clock.nanos();
        clock.advanceMs(10);
        storeRead = true;
        assertThat(consultation.isOver()).isFalse();
        heardNanos = clock.nanos() + NANOS_PER_MS;
        assertThat(consultation.isOver()).isTrue();
        heardNanos = Long.MIN_VALUE;
        assertThat(consultation.isOver()).isTrue();
    }

    /** Guards against a process that waits for hosts that are gone. */
    @Test
    void isOverAfterAWait() {
        clock.advanceMs(5_000);
        assertThat(consultation.isOver()).isFalse();
        storeRead = true;
        assertThat(consultation.isOver()).isFalse();
        clock.advanceMs(599);
        assertThat(consultation.isOver()).isFalse();
        clock.advanceMs(1);
        assertThat(consultation.isOver()).isTrue();
    }
}
