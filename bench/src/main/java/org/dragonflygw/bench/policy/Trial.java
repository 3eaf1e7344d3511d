package org.dragonflygw.bench.policy;

import java.util.List;
import java.util.function.Function;

public final class Trial {
    private Trial() {}

    public static void main(String[] args) {
        int cache = Integer.getInteger("cache", 600_000);
        for (WorkloadShape shape : List.of(WorkloadShape.peachtree(), WorkloadShape.krug())) {
            double rps = shape.name().equals("krug") ? 24 : 17;
            WorkloadGenerator gen = new WorkloadGenerator(shape, Long.getLong("seed", 42));
            Scenario steady = Scenario.steady(6, 12, rps, 900_000, 300_000).withReportAge(Long.getLong("age", 1_000));
            for (Scenario sc : List.of(
                    steady,
                    steady.withReplacement(60_000),
                    steady.withSplit(400_000, 420_000),
                    steady.withFailures(400_000, 430_000),
                    steady.withPoison(400_000))) {
                List<Arrival> work = gen.generate(900_000, rps);
                List<Function<PolicyLoop, Policy>> ps =
                        List.of(l -> new StewardPolicy("steward", l), Baselines::oracle);
                double[] reuse = new double[2];
                int i = 0;
                for (Function<PolicyLoop, Policy> f : ps) {
                    PolicyLoop loop = new PolicyLoop(sc, shape, cache, 7);
                    Policy p = f.apply(loop);
                    RunResult r = loop.run(work, p);
                    reuse[i++] = r.reuse();
                    System.out.printf(
                            "%-10s %-8s %-10s reuse %.3f p95 %d p50 %d late %d refused %s above%% %.2f worst %.1f skew p50 %d p99 %d max %d placed above%% %.2f worst %.1f att %.3f failed %d lost %d calls/req %.2f B/req %.0f%n",
                            shape.name(),
                            sc.name(),
                            p.name(),
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
                            100.0 * r.placementsAboveBound / r.placements,
                            r.worstPlacement,
                            r.attemptsPerRequest(),
                            r.failed,
                            r.enginesLost,
                            (double) r.grantCalls / r.requests,
                            (double) r.grantBytes / r.requests);
                }
                System.out.printf("   of oracle %.3f%n", reuse[0] / reuse[1]);
            }
        }
    }
}
