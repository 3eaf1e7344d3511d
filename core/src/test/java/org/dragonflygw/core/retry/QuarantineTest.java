package org.dragonflygw.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import org.dragonflygw.core.retry.SuspectVerdict.Kind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

final class QuarantineTest {
    private static final long POISON = 11;

    private final MutableClock clock = MutableClock.of(Instant.ofEpochSecond(1_000), ZoneOffset.UTC);
    private final Quarantine quarantine = new Quarantine(8, clock);

    @Nested
    final class Suspects {
        @Test
        void allowsOneAttemptAtATime() {
            quarantine.onEngineLost(POISON, "e1", "r1");
            assertThat(ask("r2")).isEqualTo(Kind.SOLO);
            assertThat(ask("r3")).isEqualTo(Kind.BUSY);
        }

        @Test
        void completeAnswerClearsTheSuspect() {
            quarantine.onEngineLost(POISON, "e1", "r1");
            ask("r2");
            quarantine.onSoloEnd(POISON, "r2", true);
            assertThat(ask("r3")).isEqualTo(Kind.CLEAR);
        }

        @Test
        void anotherAttemptIsAllowedAfterTheSoloLeaseExpires() {
            quarantine.onEngineLost(POISON, "e1", "r1");
            ask("r2");
            clock.add(Duration.ofSeconds(31));
            assertThat(ask("r3")).isEqualTo(Kind.SOLO);
        }

        @Test
        void lateReportOfTheFirstCrashAllowsNoSecondAttempt() {
            quarantine.onEngineLost(POISON, "e1", "r1");
            ask("r2");
            quarantine.onEngineLost(POISON, "e1", "r4");
            assertThat(ask("r3")).isEqualTo(Kind.BUSY);
        }
    }

    @Nested
    final class Quarantined {
        @Test
        void startsWhenTwoDifferentEnginesWereLost() {
            quarantine.onEngineLost(POISON, "e1", "r1");
            quarantine.onEngineLost(POISON, "e1", "r1");
            assertThat(quarantine.isQuarantined(POISON)).isFalse();
            quarantine.onEngineLost(POISON, "e2", "r1");
            assertThat(ask("r2")).isEqualTo(Kind.QUARANTINED);
        }

        @Test
        void endsAfterTheQuarantineDuration() {
            quarantine.onEngineLost(POISON, "e1", "r1");
            quarantine.onEngineLost(POISON, "e2", "r1");
            clock.add(Duration.ofMinutes(11));
            assertThat(ask("r2")).isEqualTo(Kind.CLEAR);
        }

        @Test
        void entriesQuarantineTheRequestOnOtherDaemons() {
            quarantine.onEngineLost(POISON, "e1", "r1");
            quarantine.onEngineLost(POISON, "e2", "r1");
            Quarantine other = new Quarantine(8, clock);
            quarantine.entries().forEach(other::accept);
            assertThat(other.isQuarantined(POISON)).isTrue();
        }

        @Test
        void endTimeOfAnEntryFromAWrongClockIsCapped() {
            quarantine.accept(new QuarantineEntry(POISON, 2, Long.MAX_VALUE));
            clock.add(Duration.ofMinutes(11));
            assertThat(quarantine.isQuarantined(POISON)).isFalse();
        }
    }

    @Test
    void keepsNoMoreFingerprintsThanTheCapacity() {
        for (long i = 0; i < 20; i++) {
            quarantine.onEngineLost(i, "e1", "r");
        }
        assertThat(quarantine.entries()).hasSize(8);
    }

    private Kind ask(String requestId) {
        return quarantine.requestAttempt(POISON, requestId).kind();
    }
}
