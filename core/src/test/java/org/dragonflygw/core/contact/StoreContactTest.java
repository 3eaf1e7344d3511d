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
    private final MutableClock wall = MutableClock.of(Instant.ofEpochSecond(1_000), ZoneOffset.UTC);
    private final StoreContact contact = new StoreContact(() -> 4_000_000_000L, clock, wall);

    private void pass(long ms) {
        clock.advanceMs(ms);
        wall.add(Duration.ofMillis(ms));
    }

    @Test
    void knowsNothingBeforeTheFirstRead() {
        assertThat(contact.keysConfirmed()).isFalse();
    }

    @Test
    void aReadConfirmsKeysFromTheMomentItWasSent() {
        long sent = clock.nanos();
        pass(1_000);
        contact.onRead(sent);
        assertThat(contact.keysConfirmed()).isTrue();
        pass(2_900);
        assertThat(contact.keysConfirmed()).isTrue();
        pass(200);
        assertThat(contact.keysConfirmed()).isFalse();
    }

    @Test
    void aSuspensionVoidsTheConfirmation() {
        contact.onRead(clock.nanos());
        wall.add(Duration.ofSeconds(6));
        assertThat(contact.keysConfirmed()).isFalse();
    }

    @Test
    void aReadSentBeforeTheSuspensionConfirmsNothing() {
        contact.onRead(clock.nanos());
        long sent = clock.nanos();
        wall.add(Duration.ofSeconds(6));
        contact.onRead(sent);
        assertThat(contact.keysConfirmed()).isFalse();
        pass(10);
        contact.onRead(clock.nanos());
        assertThat(contact.keysConfirmed()).isTrue();
    }
}
