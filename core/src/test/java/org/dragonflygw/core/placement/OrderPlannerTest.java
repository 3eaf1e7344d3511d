package org.dragonflygw.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.dragonflygw.core.config.Placement;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OrderPlannerTest {
    private static final ModelUnit MODEL = new ModelUnit("m", "1", "");
    private static final ModelUnit OLD = new ModelUnit("m", "0", "");
    private static final ModelUnit ADAPTER = new ModelUnit("m", "1", "a");
    private static final Placement EVERYWHERE = new Placement("p", "m", "1", "", 0);
    private static final Placement ON_FOUR = new Placement("p", "m", "1", "a", 4);

    private static List<String> engines(int count) {
        return IntStream.range(0, count).mapToObj(i -> "e" + i).toList();
    }

    private static long holders(Map<String, Set<ModelUnit>> desired) {
        return desired.values().stream()
                .filter(units -> units.contains(ADAPTER))
                .count();
    }

    @Nested
    class Desired {
        @Test
        void changesAtMostOneRemainingEngineWhenAnEngineLeaves() {
            List<Placement> placements = List.of(EVERYWHERE, ON_FOUR);
            Map<String, Set<ModelUnit>> before = OrderPlanner.desired(placements, engines(13));
            Map<String, Set<ModelUnit>> after = OrderPlanner.desired(placements, engines(12));
            assertThat(holders(before)).isEqualTo(4);
            assertThat(holders(after)).isEqualTo(4);
            long moved = engines(12).stream()
                    .filter(id -> !before.get(id).equals(after.get(id)))
                    .count();
            assertThat(moved).isAtMost(1);
        }
    }

    @Nested
    class Plan {
        private List<PlannedOrder> plan(Set<ModelUnit> loaded, boolean outstanding, int maxLoads) {
            return OrderPlanner.plan(
                    List.of(EVERYWHERE, ON_FOUR), List.of(new EngineInventory("e0", loaded, outstanding)), maxLoads);
        }

        @Test
        void loadsTheModelThenTheAdapterThenUnloadsTheRest() {
            assertThat(plan(Set.of(OLD), false, 1)).containsExactly(new PlannedOrder("e0", OrderAction.LOAD, MODEL));
            assertThat(plan(Set.of(OLD, MODEL), false, 1))
                    .containsExactly(new PlannedOrder("e0", OrderAction.LOAD, ADAPTER));
            assertThat(plan(Set.of(OLD, MODEL, ADAPTER), false, 1))
                    .containsExactly(new PlannedOrder("e0", OrderAction.UNLOAD, OLD));
            assertThat(plan(Set.of(MODEL, ADAPTER), false, 1)).isEmpty();
        }

        @Test
        void waitsForAnOutstandingOrderAndForTheWeightStore() {
            assertThat(plan(Set.of(OLD), true, 1)).isEmpty();
            assertThat(plan(Set.of(OLD), false, 0)).isEmpty();
        }
    }

    @Nested
    class KvMove {
        private final KvMoveCosts costs = new KvMoveCosts(100_000, 1_000_000_000, 20, 5_000, 0.8);

        @Test
        void isWorthMovingForLongPrefixesOnly() {
            assertThat(costs.isWorthMoving(50)).isFalse();
            assertThat(costs.isWorthMoving(20_000)).isTrue();
        }
    }
}
