package org.dragonflygw.bench.policy;

import java.util.List;
import java.util.function.Function;

public final class Trial {
    public static void main(String[] args) {
        for (WorkloadShape shape : List.of(WorkloadShape.peachtree(), WorkloadShape.krug())) {
            double rps = shape.name().equals("krug") ? 24 : 17;
            WorkloadGenerator gen = new WorkloadGenerator(shape, 42);
            Scenario steady = Scenario.steady(6, 12, rps, 900_000, 300_000);
            for (Scenario sc : List.of(
                    steady,
                    steady.withReplacement(60_000),
                    steady.withSplit(400_000, 420_000),
                    steady.withFailures(400_000, 430_000),
                    steady.withPoison(400_000))) {
                List<Arrival> work = gen.generate(900_000, rps);
                List<Function<PolicyLoop, Policy>> ps = List.of(
                        Baselines::consistentHashing,
                        Baselines::boundedLoads,
                        l -> new StewardPolicy("steward", l),
                        Baselines::oracle);
                for (Function<PolicyLoop, Policy> f : ps) {
                    PolicyLoop loop = new PolicyLoop(sc, shape, 600_000, 7);
                    Policy p = f.apply(loop);
                    long t0 = System.nanoTime();
                    RunResult r = loop.run(work, p);
                    System.out.printf(
                            "%-10s %-14s %-34s req %d reuse %.3f p95 %d p50 %d late %d refused %s above%% %.2f worst %.1f skew p50 %d p99 %d max %d att %.3f failed %d lost %d calls/req %.2f B/req %.0f ms %d%n",
                            shape.name(),
                            sc.name(),
                            p.name(),
                            r.requests,
                            r.reuse(),
                            r.firstToken.getValueAtPercentile(95),
                            r.firstToken.getValueAtPercentile(50),
                            r.late,
                            r.refusals,
                            r.percentAboveBound(),
                            r.worstExcess,
                            r.skewPercent.getValueAtPercentile(50),
                            r.skewPercent.getValueAtPercentile(99),
                            r.skewPercent.getMaxValue(),
                            r.attemptsPerRequest(),
                            r.failed,
                            r.enginesLost,
                            (double) r.grantCalls / r.requests,
                            (double) r.grantBytes / r.requests,
                            (System.nanoTime() - t0) / 1000000);
                }
            }
        }
    }
}
