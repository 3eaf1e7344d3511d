package org.dragonflygw.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.dragonflygw.core.retry.Quarantine;
import org.dragonflygw.core.retry.QuarantineEntry;
import org.dragonflygw.core.retry.RetryBudget;
import org.dragonflygw.core.retry.SuspectVerdict;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.CandidateOrder;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.routing.EndpointTable;
import org.dragonflygw.core.routing.EngineSteward;
import org.dragonflygw.core.routing.HotPrefixTracker;
import org.dragonflygw.core.routing.LoadAwareOrder;
import org.dragonflygw.core.routing.MeanLoadBound;
import org.dragonflygw.core.routing.PrefixAffinityOrder;
import org.dragonflygw.core.routing.SearchRequest;
import org.dragonflygw.core.routing.ServiceLoads;
import org.dragonflygw.core.routing.SlotDecision;
import org.dragonflygw.core.routing.SlotQuery;
import org.dragonflygw.core.routing.SlotSearch;
import org.dragonflygw.core.routing.StewardAssignment;
import org.dragonflygw.core.routing.StewardSettings;

/** The decisions of the product: candidate order, stewards, retry budgets and quarantine, without the network. */
final class StewardPolicy implements Policy {
    private static final int CANDIDATES = 5;
    private static final int SUSPECT_CANDIDATES = 10;
    private static final int KEPT_CANDIDATES = 3;
    private static final double JOIN_MARGIN = 1;
    private static final double SET_SHARE = 0.5;
    private static final int MAX_ATTEMPTS = 3;
    private static final int RETRY_PERCENT = 10;
    private static final long GOSSIP_MILLIS = 1_000;
    private static final long SUMS_MILLIS = 200;
    private static final long CALL_MILLIS = 5;
    private static final long LEASE_MILLIS = 600_000;
    private static final double PREFILL_TOKENS_PER_MILLI = 10;

    private final PolicyLoop loop;
    private final String name;
    private final long sumsAgeMillis;
    private final List<String> daemons;
    private final CandidateOrder[] orders;
    private final RetryBudget[] budgets;
    private final Quarantine[] quarantines;
    private final ServiceLoads stewardLoads;
    private final ServiceLoads routerLoads;
    private final Map<StewardKey, EngineSteward> stewards = new TreeMap<>();
    private final MessageSizes sizes = new MessageSizes();
    private EndpointTable table = EndpointTable.of(List.of());
    private long nextEpoch = 1;

    StewardPolicy(String name, PolicyLoop loop) {
        this(name, loop, 5);
    }

    /** With another age of the sums that stewards exchange. */
    StewardPolicy(String name, PolicyLoop loop, long sumsAgeMillis) {
        this.sumsAgeMillis = sumsAgeMillis;
        this.name = name;
        this.loop = loop;
        int routers = loop.scenario().routers();
        this.daemons = IntStream.range(0, routers).mapToObj(i -> "router-" + i).toList();
        this.stewardLoads = new ServiceLoads(loop.clock());
        this.routerLoads = new ServiceLoads(loop.clock());
        this.orders = new CandidateOrder[routers];
        this.budgets = new RetryBudget[routers];
        this.quarantines = new Quarantine[routers];
        for (int i = 0; i < routers; i++) {
            CandidateOrder affinity = new PrefixAffinityOrder(new HotPrefixTracker(256, 4_096), SET_SHARE);
            orders[i] = new LoadAwareOrder(affinity, routerLoads, KEPT_CANDIDATES);
            budgets[i] = new RetryBudget(RETRY_PERCENT, loop.clock());
            quarantines[i] = new Quarantine(1_024, loop.clock());
        }
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void submit(Attempt attempt) {
        if (attempt.number() == 1) {
            budgets[attempt.router()].onRequest();
        }
        Quarantine local = quarantines[attempt.router()];
        if (local.isQuarantined(attempt.arrival().id())) {
            loop.refuse(attempt, "QUARANTINED");
            return;
        }
        Arrival arrival = attempt.arrival();
        boolean suspect = false;
        if (attempt.wasLost() || local.crashes(arrival.id()) > 0) {
            SuspectVerdict verdict = ask(attempt);
            if (refusedAsSuspect(attempt, verdict)) {
                return;
            }
            suspect = verdict.kind() == SuspectVerdict.Kind.SOLO;
        }
        int[] candidates =
                orders[attempt.router()].rank(Keys.of(arrival), table, suspect ? SUSPECT_CANDIDATES : CANDIDATES);
        SearchRequest request = new SearchRequest(
                attempt.requestId(),
                "team-" + arrival.team(),
                loop.shape().weights().get(arrival.team()),
                Keys.of(arrival),
                arrival.id(),
                (long) ((arrival.documentTokens() + arrival.historyTokens()) / PREFILL_TOKENS_PER_MILLI),
                suspect);
        step(new Flight(attempt, new SlotSearch(request, table, candidates, attempt.excluded()), suspect));
    }

    private void step(Flight flight) {
        Attempt attempt = flight.attempt();
        long remaining = remaining(attempt.arrival());
        if (flight.search().firstUnavailable() && !flight.suspect()) {
            SuspectVerdict verdict = ask(attempt);
            if (refusedAsSuspect(attempt, verdict)) {
                return;
            }
            if (verdict.kind() == SuspectVerdict.Kind.SOLO) {
                flight.search().markSuspect();
            }
        }
        Optional<SlotQuery> question = flight.search().next(remaining);
        if (question.isEmpty()) {
            endSolo(attempt, false);
            loop.refuse(attempt, flight.search().refusalStatus().name());
            return;
        }
        Optional<EngineSteward> steward =
                steward(attempt.router(), question.get().endpoint().id());
        if (steward.isEmpty()) {
            flight.search().onUnreachable();
            step(flight);
            return;
        }
        loop.result().grantCalls++;
        steward.get()
                .acquire(
                        question.get().request(),
                        decision -> answered(flight, steward.get(), question.get(), decision));
    }

    private void answered(Flight flight, EngineSteward steward, SlotQuery question, SlotDecision decision) {
        loop.result().grantBytes += sizes.call(question.endpoint().id(), question.request(), decision);
        flight.search().onDecision(decision);
        if (!decision.isGranted()) {
            step(flight);
            return;
        }
        Attempt attempt = flight.attempt();
        String engineId = flight.search().lastQueriedEndpoint().id();
        boolean waited = decision.queuedMillis() > 0 || flight.search().hasRestarted();
        if (waited && flight.search().isDuplicateInFlight() && refusedAsSuspect(attempt, ask(attempt))) {
            steward.end(decision.grantId(), decision.epoch(), AttemptOutcome.CANCELLED);
            return;
        }
        if (flight.search().isSpilled()) {
            noteSpill(attempt, flight.search().firstCandidate().id(), engineId);
        }
        attempt.setGrant(new Held(steward, decision.grantId()));
        loop.dispatch(attempt, loop.engine(engineId).orElseThrow());
    }

    @Override
    public void onEnd(Attempt attempt, FakeEngine engine, AttemptOutcome outcome) {
        Held held = (Held) attempt.grant();
        loop.result().grantBytes += sizes.end(
                engine.id(),
                held.grantId(),
                held.steward().epoch(),
                attempt.arrival().id());
        held.steward().end(held.grantId(), held.steward().epoch(), outcome);
        long fingerprint = attempt.arrival().id();
        if (outcome == AttemptOutcome.ENDPOINT_LOST) {
            Quarantine owner = owner(fingerprint);
            owner.onEngineLost(fingerprint, engine.id(), attempt.requestId());
            quarantines[attempt.router()].onEngineLost(fingerprint, engine.id(), attempt.requestId());
            if (owner.isQuarantined(fingerprint)) {
                List<QuarantineEntry> entries = owner.entries();
                loop.schedule(loop.clock().now() + CALL_MILLIS, () -> spread(entries));
            }
        }
        endSolo(attempt, outcome == AttemptOutcome.COMPLETED);
    }

    @Override
    public boolean mayRetry(Attempt attempt, AttemptOutcome outcome) {
        return attempt.number() < MAX_ATTEMPTS && budgets[attempt.router()].tryRetry();
    }

    @Override
    public void tick(long now) {
        stewards.values().forEach(EngineSteward::expire);
        if (now % SUMS_MILLIS == 0) {
            List<EndpointLoad> loads =
                    stewards.values().stream().map(EngineSteward::load).toList();
            loop.schedule(now + sumsAgeMillis, () -> loads.forEach(load -> stewardLoads.accept(received(load))));
        }
        if (now % GOSSIP_MILLIS == 0) {
            gossip(now);
            assign();
        }
        if (now % GOSSIP_MILLIS == GOSSIP_MILLIS / 2) {
            reportEngines(now);
        }
    }

    @Override
    public void onEnginesChanged() {
        table = EndpointTable.of(loop.endpoints());
        assign();
    }

    private void gossip(long now) {
        List<EndpointLoad> loads =
                stewards.values().stream().map(EngineSteward::load).toList();
        List<QuarantineEntry> entries = new ArrayList<>();
        for (Quarantine quarantine : quarantines) {
            entries.addAll(quarantine.entries());
        }
        loop.schedule(now + loop.scenario().reportAgeMillis() - 500, () -> {
            loads.forEach(load -> routerLoads.accept(received(load)));
            stewards.forEach((key, steward) -> routerLoads.find(key.engineId()).ifPresent(steward::onOtherSteward));
            spread(entries);
        });
    }

    private EndpointLoad received(EndpointLoad load) {
        return new EndpointLoad(
                load.endpointId(),
                load.epoch(),
                load.version(),
                load.inFlight(),
                load.queued(),
                load.closed(),
                load.waitMillis(),
                loop.clock().instant());
    }

    private void reportEngines(long now) {
        Map<String, Integer> loads = new HashMap<>();
        loop.liveEngines().forEach(engine -> loads.put(engine.id(), engine.inFlight()));
        loop.schedule(
                now + GOSSIP_MILLIS,
                () -> stewards.forEach((key, steward) -> {
                    Integer load = loads.get(key.engineId());
                    if (load != null) {
                        steward.onReport(load, false);
                    }
                }));
    }

    private void assign() {
        stewardLoads.setEndpoints(loop.endpoints());
        routerLoads.setEndpoints(loop.endpoints());
        Map<StewardKey, Boolean> wanted = new HashMap<>();
        for (FakeEngine engine : loop.liveEngines()) {
            for (int view = 0; view < views(); view++) {
                wanted.put(new StewardKey(engine.id(), stewardId(engine.id(), view)), true);
            }
        }
        stewards.keySet().removeIf(key -> {
            boolean gone = !wanted.containsKey(key);
            if (gone) {
                stewards.get(key).close();
            }
            return gone;
        });
        wanted.keySet().stream()
                .sorted()
                .filter(key -> !stewards.containsKey(key))
                .forEach(key -> stewards.put(key, newSteward(key)));
    }

    private EngineSteward newSteward(StewardKey key) {
        int inherited =
                routerLoads.find(key.engineId()).map(EndpointLoad::inFlight).orElse(0);
        MeanLoadBound bound = new MeanLoadBound(key.engineId(), PolicyLoop.LOAD_BOUND, stewardLoads, JOIN_MARGIN);
        StewardSettings settings = new StewardSettings(FakeEngine.MAX_BATCH, 32, LEASE_MILLIS, 33, 5_000, 8_000);
        return new EngineSteward(key.engineId(), nextEpoch++, settings, bound, inherited, loop.clock());
    }

    private Optional<EngineSteward> steward(int router, String engineId) {
        int view = views() > 1 ? router % 2 : 0;
        return Optional.ofNullable(stewards.get(new StewardKey(engineId, stewardId(engineId, view))));
    }

    /** In the second view every third daemon is missing. */
    private String stewardId(String engineId, int view) {
        List<String> seen = view == 0
                ? daemons
                : IntStream.range(0, daemons.size())
                        .filter(i -> i % 3 != 0)
                        .mapToObj(daemons::get)
                        .toList();
        return StewardAssignment.steward(engineId, seen);
    }

    private int views() {
        long now = loop.clock().now();
        Scenario scenario = loop.scenario();
        boolean split = now >= scenario.splitFromMillis() && now < scenario.splitUntilMillis();
        return split ? 2 : 1;
    }

    private SuspectVerdict ask(Attempt attempt) {
        return owner(attempt.arrival().id()).requestAttempt(attempt.arrival().id(), attempt.requestId());
    }

    private boolean refusedAsSuspect(Attempt attempt, SuspectVerdict verdict) {
        boolean refused =
                verdict.kind() == SuspectVerdict.Kind.BUSY || verdict.kind() == SuspectVerdict.Kind.QUARANTINED;
        if (refused) {
            loop.refuse(attempt, verdict.kind().name());
        }
        return refused;
    }

    private void spread(List<QuarantineEntry> entries) {
        for (Quarantine quarantine : quarantines) {
            entries.forEach(quarantine::accept);
        }
    }

    private void endSolo(Attempt attempt, boolean completed) {
        owner(attempt.arrival().id()).onSoloEnd(attempt.arrival().id(), attempt.requestId(), completed);
    }

    private Quarantine owner(long fingerprint) {
        return quarantines[(int) Math.floorMod(fingerprint, (long) quarantines.length)];
    }

    private void noteSpill(Attempt attempt, String fromEngine, String toEngine) {
        long chatHash = Keys.of(attempt.arrival()).chatHash();
        loop.result().grantBytes += sizes.spill(fromEngine, chatHash, toEngine);
        steward(attempt.router(), fromEngine).ifPresent(steward -> steward.recordSpill(chatHash, toEngine));
    }

    private long remaining(Arrival arrival) {
        return arrival.atMillis() + arrival.deadlineMillis() - loop.clock().now();
    }

    private record Flight(Attempt attempt, SlotSearch search, boolean suspect) {}

    private record Held(EngineSteward steward, long grantId) {}

    private record StewardKey(String engineId, String daemonId) implements Comparable<StewardKey> {
        @Override
        public int compareTo(StewardKey other) {
            int byEngine = engineId.compareTo(other.engineId);
            return byEngine != 0 ? byEngine : daemonId.compareTo(other.daemonId);
        }
    }
}
