package org.dragonflygw.core.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Instant;
import java.time.InstantSource;
import org.dragonflygw.core.storage.FaultyStore;
import org.dragonflygw.core.storage.FaultyStore.Fault;
import org.dragonflygw.core.timeline.EventRecorder;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ConfigPublisherTest {
    private final FaultyStore storage = new FaultyStore();
    private final ConfigStore store = new ConfigStore(storage, storage, "test");
    private final ConfigPublisher publisher =
            new ConfigPublisher(store, new SheetReader(), InstantSource.fixed(Instant.EPOCH), EventRecorder.DISCARD);

    private static byte[] sheet(int weight) {
        return new SheetWriter().write(Sheets.sheet(2, weight));
    }

    private long acceptedNumber(ApplyResult result) {
        return ((ApplyResult.Accepted) result).version().number();
    }

    @Nested
    class Apply {
        @Test
        void acceptsInSequence() {
            assertThat(acceptedNumber(publisher.apply(sheet(1), 0, "t1", "ana")))
                    .isEqualTo(1);
            assertThat(acceptedNumber(publisher.apply(sheet(2), 1, "t2", "ana")))
                    .isEqualTo(2);
            assertThat(store.readVersion().orElseThrow().token()).isEqualTo("t2");
        }

        @Test
        void showsTheLoserOfARaceWhatWon() {
            publisher.apply(sheet(1), 0, "t1", "ana");
            publisher.apply(sheet(2), 1, "t2", "ana");
            ApplyResult.Conflict conflict = (ApplyResult.Conflict) publisher.apply(sheet(3), 1, "t3", "ivo");
            assertThat(conflict.winner().orElseThrow().token()).isEqualTo("t2");
            assertThat(conflict.diff().orElseThrow().changes().get(0).cells())
                    .containsExactly(new CellChange(SheetColumn.WEIGHT, "2", "3"));
        }

        @Test
        void refusesAnInvalidSheetAndAReusedToken() {
            assertThat(publisher.apply(new byte[0], 0, "t", "ana")).isInstanceOf(ApplyResult.Invalid.class);
            publisher.apply(sheet(1), 0, "t", "ana");
            ConfigException e = assertThrows(ConfigException.class, () -> publisher.apply(sheet(2), 1, "t", "ana"));
            assertThat(e.code()).isEqualTo(ConfigCode.TOKEN_REUSED);
        }

        @Test
        void isTheSameApplyWithTheSameTokenAlsoWhenSuperseded() {
            publisher.apply(sheet(1), 0, "t1", "ana");
            publisher.apply(sheet(2), 1, "t2", "ivo");
            assertThat(acceptedNumber(publisher.apply(sheet(1), 0, "t1", "ana")))
                    .isEqualTo(1);
            assertThat(store.readVersion().orElseThrow().number()).isEqualTo(2);
        }
    }

    @Nested
    class StoreFaults {
        @ParameterizedTest
        @EnumSource(
                value = Fault.class,
                names = {"LOST_ANSWER", "LOST_REQUEST", "DELAYED"})
        void resolvesALostAnswer(Fault fault) {
            storage.failNext(fault, 2);
            assertThat(acceptedNumber(publisher.apply(sheet(1), 0, "t1", "ana")))
                    .isEqualTo(1);
            storage.deliverDelayed();
            assertThat(store.readVersion().orElseThrow().number()).isEqualTo(1);
        }

        @Test
        void saysNotAppliedWhenDown() {
            storage.failNext(Fault.DOWN, 100);
            ConfigException e = assertThrows(ConfigException.class, () -> publisher.apply(sheet(1), 0, "t1", "ana"));
            assertThat(e.code()).isEqualTo(ConfigCode.NOT_APPLIED);
        }

        @Test
        void saysUnknownAndIsTheSameApplyLater() {
            storage.failNext(Fault.LOST_ANSWER, 100);
            ConfigException e = assertThrows(ConfigException.class, () -> publisher.apply(sheet(1), 0, "t1", "ana"));
            assertThat(e.code()).isEqualTo(ConfigCode.OUTCOME_UNKNOWN);
            storage.failNext(Fault.NONE, 0);
            assertThat(acceptedNumber(publisher.apply(sheet(1), 0, "t1", "ana")))
                    .isEqualTo(1);
        }
    }
}
