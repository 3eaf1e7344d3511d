package org.dragonflygw.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflygw.core.config.Placement;
import org.dragonflygw.core.routing.RoutingHash;

/**
 * Plans the next order of each engine of a pool from the sheet's placements. A placement on a number of engines selects
 * those with the highest rendezvous scores, so that an engine that joins or leaves changes as few other engines as
 * possible. An engine gets one order at a time: models before their adapters, loads before unloads.
 */
public final class OrderPlanner {
    private OrderPlanner() {}

    /** Returns the units that each engine of a pool should have loaded, by engine id. */
    public static Map<String, Set<ModelUnit>> desired(List<Placement> placements, List<String> engineIds) {
        Map<String, Set<ModelUnit>> desired = new HashMap<>();
        engineIds.forEach(id -> desired.put(id, new LinkedHashSet<>()));
        for (Placement placement : placements) {
            ModelUnit unit = new ModelUnit(placement.model(), placement.version(), placement.adapter());
            for (String id : selectEngines(placement, unit, engineIds)) {
                desired.get(id).add(unit.base());
                desired.get(id).add(unit);
            }
        }
        return desired;
    }

    /**
     * Returns the next orders of a pool: at most one for each engine, and none for an engine with an outstanding order.
     *
     * @param placements placements of the pool
     * @param engines engines of the pool that take new work
     * @param maxLoads maximum number of load orders, from the rate budget of the weight store
     */
    public static List<PlannedOrder> plan(List<Placement> placements, List<EngineInventory> engines, int maxLoads) {
        Map<String, Set<ModelUnit>> desired = desired(
                placements, engines.stream().map(EngineInventory::engineId).toList());
        List<PlannedOrder> orders = new ArrayList<>();
        int loads = 0;
        for (EngineInventory engine : engines) {
            if (engine.orderOutstanding()) {
                continue;
            }
            Set<ModelUnit> wanted = desired.get(engine.engineId());
            Optional<ModelUnit> missing = missing(engine, wanted);
            if (missing.isPresent()) {
                if (loads < maxLoads) {
                    orders.add(new PlannedOrder(engine.engineId(), OrderAction.LOAD, missing.get()));
                    loads++;
                }
                continue;
            }
            surplus(engine, wanted)
                    .ifPresent(unit -> orders.add(new PlannedOrder(engine.engineId(), OrderAction.UNLOAD, unit)));
        }
        return orders;
    }

    private static List<String> selectEngines(Placement placement, ModelUnit unit, List<String> engineIds) {
        if (placement.engines() == 0 || placement.engines() >= engineIds.size()) {
            return engineIds;
        }
        long key = RoutingHash.of(placement.pool() + "/" + unit.model() + "/" + unit.adapter());
        Comparator<String> byScore = Comparator.comparingLong(id -> RoutingHash.mix(key, RoutingHash.of(id)));
        return engineIds.stream()
                .sorted(byScore.reversed().thenComparing(Comparator.naturalOrder()))
                .limit(placement.engines())
                .toList();
    }

    private static Optional<ModelUnit> missing(EngineInventory engine, Set<ModelUnit> wanted) {
        return wanted.stream()
                .filter(unit -> !engine.loaded().contains(unit))
                .min(Comparator.comparing(unit -> !unit.adapter().isEmpty()));
    }

    private static Optional<ModelUnit> surplus(EngineInventory engine, Set<ModelUnit> wanted) {
        return engine.loaded().stream()
                .filter(unit -> !wanted.contains(unit))
                .min(Comparator.comparing((ModelUnit unit) -> unit.adapter().isEmpty())
                        .thenComparing(ModelUnit::toString));
    }
}
