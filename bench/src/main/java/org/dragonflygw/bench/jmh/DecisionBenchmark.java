package org.dragonflygw.bench.jmh;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.fleet.EndpointState;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.routing.CandidateKey;
import org.dragonflygw.core.routing.CandidateOrder;
import org.dragonflygw.core.routing.EndpointLoad;
import org.dragonflygw.core.routing.EndpointTable;
import org.dragonflygw.core.routing.EngineSteward;
import org.dragonflygw.core.routing.HotPrefixTracker;
import org.dragonflygw.core.routing.LoadAwareOrder;
import org.dragonflygw.core.routing.MeanLoadBound;
import org.dragonflygw.core.routing.PrefixAffinityOrder;
import org.dragonflygw.core.routing.RoutingHash;
import org.dragonflygw.core.routing.ServiceLoads;
import org.dragonflygw.core.routing.SlotDecision;
import org.dragonflygw.core.routing.SlotRequest;
import org.dragonflygw.core.routing.StewardSettings;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Benchmarks the time and allocation of ranking candidates in an entry router and of one grant by a steward. */
@State(Scope.Benchmark)
@BenchmarkMode({Mode.AverageTime, Mode.SampleTime})
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(
        value = 1,
        jvmArgsAppend = {
            "--add-opens=java.base/jdk.internal.misc=ALL-UNNAMED",
            "--add-exports=java.base/jdk.internal.util=ALL-UNNAMED",
            "--add-exports=java.base/sun.security.action=ALL-UNNAMED"
        })
public class DecisionBenchmark {
    private static final int CANDIDATES = 5;
    private static final int PREFIXES = 5_000;

    /** Number of engines of the service. */
    @Param({"20", "600"})
    public int engines;

    private EndpointTable table;
    private CandidateOrder order;
    private EngineSteward steward;
    private long next;
    private long lastGrant;

    /** Sets up a service with a known load for each engine. */
    @Setup
    public void prepare() {
        Clock clock = Clock.systemUTC();
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            endpoints.add(new Endpoint("engine-" + i, "pool", "127.0.0.1", 1, "a", "r", 1, EndpointState.LIVE));
        }
        table = EndpointTable.of(endpoints);
        ServiceLoads loads = new ServiceLoads(clock);
        loads.setEndpoints(endpoints);
        for (int i = 0; i < engines; i++) {
            loads.accept(new EndpointLoad("engine-" + i, 1, 1, 5 + i % 7, 0, false, 0, clock.instant()));
        }
        order = new LoadAwareOrder(new PrefixAffinityOrder(new HotPrefixTracker(256, 4_096), 0.5), loads, 3);
        MeanLoadBound bound = new MeanLoadBound("engine-0", 1.25, loads, 1);
        steward = new EngineSteward("engine-0", 1, StewardSettings.of(64, 64), bound, 0, clock);
    }

    /** Ranks the candidates of a request. */
    @Benchmark
    public int[] rankCandidates() {
        long request = next++;
        long prefix = RoutingHash.mix(1, request * request % PREFIXES);
        return order.rank(new CandidateKey(prefix, RoutingHash.mix(prefix, request), 1_000), table, CANDIDATES);
    }

    /** Acquires a slot from a steward and releases it. */
    @Benchmark
    public boolean grantAndEnd() {
        long request = next++;
        SlotRequest slot = new SlotRequest("r", "team", 1, request, request, request, 30_000, 0, false, true, false);
        steward.acquire(slot, this::recordGrant);
        return steward.end(lastGrant, 1, AttemptOutcome.COMPLETED) == null;
    }

    private void recordGrant(SlotDecision decision) {
        lastGrant = decision.grantId();
    }
}
