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
    class Ownership {
        @Test
        void keepsOthersOutUntilItsEnd() {
            assertThat(first.acquireOrRenew()).isTrue();
            assertThat(second.acquireOrRenew()).isFalse();
            pass(20);
            assertThat(first.acquireOrRenew()).isTrue();
            pass(20);
            assertThat(second.acquireOrRenew()).isFalse();
            assertThat(first.isHeldNow()).isTrue();
        }

        @Test
        void actsNoMoreAfterAPauseAndRaisesTheFencingNumber() {
            first.acquireOrRenew();
            long fencing = first.requireFencingToken();
            second.acquireOrRenew();
            pass(36);
            assertThat(first.isHeldNow()).isFalse();
            assertThrows(LeaseException.class, first::requireFencingToken);
            assertThat(second.acquireOrRenew()).isTrue();
            assertThat(second.requireFencingToken()).isGreaterThan(fencing);
            assertThat(first.acquireOrRenew()).isFalse();
        }

        @Test
        void isTakenAtOnceAfterARelease() {
            first.acquireOrRenew();
            first.release();
            assertThat(first.isHeldNow()).isFalse();
            assertThat(second.acquireOrRenew()).isTrue();
        }

        @Test
        void isNotInheritedByARestart() {
            first.acquireOrRenew();
            assertThat(lease("d1", 2).acquireOrRenew()).isFalse();
        }
    }

    @Nested
    class StoreFaults {
        @Test
        void holdsNothingOnALostAnswerUntilItIsResolved() {
            store.failNext(Fault.LOST_ANSWER, 2);
            assertThrows(StorageException.class, first::acquireOrRenew);
            assertThat(first.isHeldNow()).isFalse();
            assertThat(first.acquireOrRenew()).isFalse();
            pass(36);
            assertThat(first.acquireOrRenew()).isTrue();
        }

        @Test
        void isNotTakenOnAStaleRead() {
            store.takeSnapshot();
            first.acquireOrRenew();
            store.failNext(Fault.STALE_READS, 1);
            assertThat(second.acquireOrRenew()).isFalse();
        }

        @Test
        void goesOnToItsEndWhileTheStoreIsDown() {
            first.acquireOrRenew();
            store.failNext(Fault.DOWN, 100);
            pass(20);
            assertThrows(StorageException.class, first::acquireOrRenew);
            assertThat(first.isHeldNow()).isTrue();
            pass(6);
            assertThat(first.isHeldNow()).isFalse();
        }
    }
}
