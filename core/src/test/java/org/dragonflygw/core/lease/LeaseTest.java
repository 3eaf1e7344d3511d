package org.dragonflygw.core.lease;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.dragonflygw.core.storage.FaultyStore;
import org.dragonflygw.core.storage.FaultyStore.Fault;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.timeline.EventRecorder;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeaseTest {
    private final FaultyStore store = new FaultyStore();
    private long nanos;

    private final Lease first = lease("d1", 1);
    private final Lease second = lease("d2", 1);

    private Lease lease(String daemonId, long incarnation) {
        return new Lease(
                "test",
                "pool",
                daemonId,
                incarnation,
                store,
                () -> nanos,
                LeaseSettings.DEFAULT,
                EventRecorder.DISCARD);
    }

    private void pass(int seconds) {
        nanos += Duration.ofSeconds(seconds).toNanos();
    }

    @Nested
    class Holding {
        @Test
        void keepsOthersOutUntilItsEnd() {
            assertThat(first.tryHold()).isTrue();
            assertThat(second.tryHold()).isFalse();
            pass(20);
            assertThat(first.tryHold()).isTrue();
            pass(20);
            assertThat(second.tryHold()).isFalse();
            assertThat(first.isHeldNow()).isTrue();
        }

        @Test
        void actsNoMoreAfterAPauseAndRaisesTheFencingNumber() {
            first.tryHold();
            long fencing = first.requireFencing();
            second.tryHold();
            pass(36);
            assertThat(first.isHeldNow()).isFalse();
            assertThrows(LeaseException.class, first::requireFencing);
            assertThat(second.tryHold()).isTrue();
            assertThat(second.requireFencing()).isGreaterThan(fencing);
            assertThat(first.tryHold()).isFalse();
        }

        @Test
        void isTakenAtOnceAfterARelease() {
            first.tryHold();
            first.release();
            assertThat(first.isHeldNow()).isFalse();
            assertThat(second.tryHold()).isTrue();
        }

        @Test
        void isNotInheritedByARestart() {
            first.tryHold();
            assertThat(lease("d1", 2).tryHold()).isFalse();
        }
    }

    @Nested
    class Faults {
        @Test
        void holdsNothingOnALostAnswerUntilItIsResolved() {
            store.failNext(Fault.LOST_ANSWER, 2);
            assertThrows(StorageException.class, first::tryHold);
            assertThat(first.isHeldNow()).isFalse();
            assertThat(first.tryHold()).isFalse();
            pass(36);
            assertThat(first.tryHold()).isTrue();
        }

        @Test
        void isNotTakenOnAStaleRead() {
            store.takeSnapshot();
            first.tryHold();
            store.failNext(Fault.STALE_READS, 1);
            assertThat(second.tryHold()).isFalse();
        }

        @Test
        void goesOnToItsEndWhileTheStoreIsDown() {
            first.tryHold();
            store.failNext(Fault.DOWN, 100);
            pass(20);
            assertThrows(StorageException.class, first::tryHold);
            assertThat(first.isHeldNow()).isTrue();
            pass(6);
            assertThat(first.isHeldNow()).isFalse();
        }
    }
}
