package org.dragonflygw.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.EndpointTable;

/** A policy by which the router picks an engine at once, from load statements of some age and its own dispatches. */
abstract class DirectPolicy implements Policy {
    private static final int MAX_ATTEMPTS = 3;

    final PolicyLoop loop;
    List<FakeEngine> engines = List.of();
    EndpointTable table = EndpointTable.of(List.of());
    private final String name;
    private final Map<String, Integer> stated = new HashMap<>();
    private final List<Map<String, Integer>> ownSince = new ArrayList<>();

    DirectPolicy(String name, PolicyLoop loop) {
        this.name = name;
        this.loop = loop;
        for (int i = 0; i < loop.scenario().routers(); i++) {
            ownSince.add(new HashMap<>());
        }
    }

    /** Picks an engine among those that take new work, by index. */
    abstract int choose(Attempt attempt);

    @Override
    public final String name() {
        return name;
    }

    @Override
    public final void submit(Attempt attempt) {
        FakeEngine engine = engines.get(choose(attempt));
        ownSince.get(attempt.router()).merge(engine.id(), 1, Integer::sum);
        loop.dispatch(attempt, engine);
    }

    @Override
    public void onEnd(Attempt attempt, FakeEngine engine, AttemptOutcome outcome) {
        ownSince.get(attempt.router()).merge(engine.id(), -1, Integer::sum);
    }

    @Override
    public void tick(long now) {
        if (now % 1_000 != 0) {
            return;
        }
        Map<String, Integer> snapshot = new HashMap<>();
        engines.forEach(engine -> snapshot.put(engine.id(), engine.inFlight()));
        loop.schedule(now + loop.scenario().reportAgeMillis() - 500, () -> {
            stated.clear();
            stated.putAll(snapshot);
            ownSince.forEach(Map::clear);
        });
    }

    @Override
    public final void onEnginesChanged() {
        engines = loop.liveEngines();
        table = EndpointTable.of(engines.stream().map(FakeEngine::endpoint).toList());
    }

    @Override
    public final boolean mayRetry(Attempt attempt, AttemptOutcome outcome) {
        return attempt.number() < MAX_ATTEMPTS;
    }

    /** Load of an engine as the router of the attempt believes it. */
    final int believedLoad(Attempt attempt, int engine) {
        String id = engines.get(engine).id();
        return Math.max(
                0, stated.getOrDefault(id, 0) + ownSince.get(attempt.router()).getOrDefault(id, 0));
    }

    /** Mean load of the service as the router of the attempt believes it. */
    final double believedMean(Attempt attempt) {
        double sum = 0;
        for (int i = 0; i < engines.size(); i++) {
            sum += believedLoad(attempt, i);
        }
        return sum / engines.size();
    }

    final boolean usable(Attempt attempt, int engine) {
        return !attempt.excluded().contains(engines.get(engine).id())
                || attempt.excluded().size() >= engines.size();
    }
}
