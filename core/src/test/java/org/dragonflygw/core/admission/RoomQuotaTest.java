package org.dragonflygw.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** How many requests hosts send together that all see the same free slots at the same moment. */
final class RoomQuotaTest {
    private final SplittableRandom random = new SplittableRandom(3);

    /** Returns how many requests the hosts send that see a number of free slots for one moment. */
    private int sends(int hosts, int free) {
        int sum = 0;
        FleetShare fleet = new FleetShare(() -> OptionalInt.of(hosts));
        int capacity = 1_568;
        for (int h = 0; h < hosts; h++) {
            int load = capacity - free;
            int own = load / hosts + (h < load % hosts ? 1 : 0);
            RoomQuota quota = new RoomQuota(random.split());
            quota.restart(new Room(capacity, capacity, own), 0);
            quota.update(new Room(capacity, load, own), fleet, TimeUnit.MILLISECONDS.toNanos(1));
            while (quota.mayTake()) {
                quota.take();
                sum++;
            }
        }
        return sum;
    }

    /** Guards against a herd: without the quota each host would send. */
    @Test
    void oneFreedSlotDrawsAboutOneRequest() {
        for (int hosts : new int[] {6, 65, 128, 401}) {
            int sum = 0;
            for (int i = 0; i < 100; i++) {
                sum += sends(hosts, 1);
            }
            assertThat(sum / 100.0).isWithin(0.35).of(1);
        }
    }

    @Test
    void aWholePoolOfFreeSlotsIsUsedAtOnce() {
        for (int hosts : new int[] {6, 65, 128, 401}) {
            assertThat(sends(hosts, 1_000)).isAtLeast(850);
            assertThat(sends(hosts, 1_000)).isAtMost(1_150);
        }
    }

    @Test
    void aSlotThatOneHostFreedIsThatHostsAlone() {
        RoomQuota quota = new RoomQuota(random);
        FleetShare fleet = new FleetShare(() -> OptionalInt.of(401));
        quota.restart(new Room(1_568, 1_568, 4), 0);
        quota.onOwnSlotFreed();
        quota.update(new Room(1_568, 1_567, 3), fleet, 1);
        assertThat(quota.mayTake()).isTrue();
        quota.take();
        assertThat(quota.mayTake()).isFalse();
    }

    @Test
    void anUnknownNumberOfHostsLeavesHalfOfThePartOfTheLoad() {
        FleetShare fleet = new FleetShare(OptionalInt::empty);
        assertThat(fleet.of(new Room(100, 100, 50))).isWithin(1e-9).of(0.25);
        assertThat(fleet.of(new Room(100, 0, 0))).isEqualTo(0.0);
    }
}
