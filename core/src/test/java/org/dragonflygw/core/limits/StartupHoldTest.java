package org.dragonflygw.core.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.ManualMonotonicClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** All hosts restart at once: callers arrive while none of them has read the configuration yet. */
final class StartupHoldTest {
    private final ManualMonotonicClock clock = new ManualMonotonicClock();
    private final List<String> started = new ArrayList<>();
    private boolean prepared;
    private final StartupHold hold = new StartupHold(() -> prepared, clock);

    private boolean submit(String request) {
        return hold.submit(() -> started.add(request));
    }

    @Nested
    final class BeforeTheConfiguration {
        @Test
        void requestsStartInOrderOnceItIsRead() {
            assertThat(submit("r1")).isFalse();
            assertThat(submit("r2")).isFalse();
            clock.advanceMs(100);
            hold.release();
            assertThat(started).isEmpty();
            prepared = true;
            hold.release();
            assertThat(started).containsExactly("r1", "r2").inOrder();
            assertThat(hold.isOver()).isTrue();
        }

        @Test
        void heldRequestsGoBeforeALaterOne() {
            submit("r1");
            prepared = true;
            assertThat(submit("r2")).isTrue();
            assertThat(started).containsExactly("r1", "r2").inOrder();
        }

        /** They are refused then, with a time to return. */
        @Test
        void requestsStartUnpreparedAfterTheLongestHold() {
            submit("r1");
            clock.advanceMs(250);
            submit("r2");
            clock.advanceMs(50);
            hold.release();
            assertThat(started).containsExactly("r1");
        }

        @Test
        void requestsBeyondTheCapacityStartAtOnce() {
            for (int i = 0; i < 256; i++) {
                assertThat(submit("r" + i)).isFalse();
            }
            assertThat(submit("last")).isTrue();
            assertThat(started).containsExactly("last");
        }
    }

    /** The store cannot be reached for longer: what cannot be served is refused at once. */
    @Test
    void nothingIsHeldAfterTheFirstMoments() {
        clock.advanceMs(1_500);
        assertThat(submit("r1")).isTrue();
        assertThat(hold.isOver()).isTrue();
    }
}
