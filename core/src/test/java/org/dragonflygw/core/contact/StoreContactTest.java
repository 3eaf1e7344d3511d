package org.dragonflygw.core.contact;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import org.dragonflygw.core.ManualMonotonicClock;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class StoreContactTest {
    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final MutableClock wallClock = MutableClock.of(Instant.ofEpochSecond(1_000), ZoneOffset.UTC);
    private final StoreContact contact = new StoreContact(() -> 4_000_000_000L, clock, wallClock);

    private void advanceBothClocks(long ms) {
        clock.advanceMs(ms);
        wallClock.add(Duration.ofMillis(ms));
    }

    @Test
    void keysAreUnconfirmedBeforeTheFirstRead() {
        assertThat(contact.keysConfirmed()).isFalse();
    }

    @Test
    void readConfirmsKeysFromTheTimeItWasSent() {
        long sent = clock.nanos();
        advanceBothClocks(1_000);
        contact.onRead(sent);
        assertThat(contact.keysConfirmed()).isTrue();
        advanceBothClocks(2_900);
        assertThat(contact.keysConfirmed()).isTrue();
        advanceBothClocks(200);
        assertThat(contact.keysConfirmed()).isFalse();
    }

    @Test
    void suspensionInvalidatesTheConfirmation() {
        contact.onRead(clock.nanos());
        wallClock.add(Duration.ofSeconds(6));
        assertThat(contact.keysConfirmed()).isFalse();
    }

    @Test
    void readSentBeforeSuspensionDoesNotConfirmKeys() {
        contact.onRead(clock.nanos());
        long sent = clock.nanos();
        wallClock.add(Duration.ofSeconds(6));
        contact.onRead(sent);
        assertThat(contact.keysConfirmed()).isFalse();
        advanceBothClocks(10);
        contact.onRead(clock.nanos());
        assertThat(contact.keysConfirmed()).isTrue();
    }
}
