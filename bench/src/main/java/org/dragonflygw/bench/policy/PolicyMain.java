package org.dragonflygw.bench.policy;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Measures the routing policies on generated work and writes tables and charts. */
public final class PolicyMain {
    private static final int CACHE_TOKENS = 600_000;
    private static final long RUN_MILLIS = 900_000;
    private static final long WARM_MILLIS = 300_000;
    private static final long FAULT_FROM_MILLIS = 400_000;
    private static final long FAULT_UNTIL_MILLIS = 430_000;
    private static final double SURGE = 5;
    private static final double OVERLOAD = 3;
    private static final List<PolicyKind> ALL = List.of(PolicyKind.values());

    private final long seed;
    private final Path directory;
    private final boolean large;
    private final PolicyReport report = new PolicyReport();

    private PolicyMain(long seed, Path directory, boolean large) {
        this.seed = seed;
        this.directory = directory;
        this.large = large;
    }

    /** Runs all measurements. */
    public static void main(String[] args) {
        OptionParser parser = new OptionParser();
        OptionSpec<Long> seed =
                parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(42L);
        OptionSpec<String> out = parser.accepts("out").withRequiredArg().defaultsTo("docs/measurements");
        OptionSpec<Void> skipLarge = parser.accepts("skip-large");
        OptionSet options = parser.parse(args);
        new PolicyMain(options.valueOf(seed), Path.of(options.valueOf(out)), !options.has(skipLarge)).run();
    }

    private void run() {
        for (WorkloadShape shape : List.of(WorkloadShape.peachtree(), WorkloadShape.krug())) {
            double rate = rate(shape);
            Scenario steady = Scenario.steady(6, 12, rate, RUN_MILLIS, WARM_MILLIS);
            List<Arrival> work = new WorkloadGenerator(shape, seed).generate(RUN_MILLIS, rate);
            compare(shape, steady, work, CACHE_TOKENS);
            compare(shape, steady.withReplacement(60_000), work, CACHE_TOKENS);
            compare(shape, steady.withSplit(FAULT_FROM_MILLIS, FAULT_UNTIL_MILLIS), work, CACHE_TOKENS);
            compare(shape, steady.withFailures(FAULT_FROM_MILLIS, FAULT_UNTIL_MILLIS), work, CACHE_TOKENS);
            compare(shape, steady.withPoison(FAULT_FROM_MILLIS), work, CACHE_TOKENS);
            compare(shape, steady.withReportAge(3_000), work, CACHE_TOKENS);
            compare(shape, steady.named("steady, half the cache"), work, CACHE_TOKENS / 2);
            surge(shape, rate, work);
            fairness(shape, rate);
        }
        if (large) {
            WorkloadShape shape = WorkloadShape.peachtree();
            largeRun(shape, 400, 21, 120_000);
            largeRun(shape, 400, 600, 60_000);
        }
        report.write(
                directory.resolve("decisions-tables.md"),
                "# Decisions under load: tables\n\nWritten by `bench/run-policies` with seed " + seed
                        + ". What the figures mean is in [decisions.md](decisions.md).\n");
    }

    private static double rate(WorkloadShape shape) {
        return shape.name().equals("krug") ? 24 : 17;
    }

    private void compare(WorkloadShape shape, Scenario scenario, List<Arrival> work, int cacheTokens) {
        Map<PolicyKind, RunResult> results = new EnumMap<>(PolicyKind.class);
        ALL.forEach(kind -> results.put(kind, run(kind, shape, scenario, work, cacheTokens)));
        report.heading(
                shape.name() + ", " + scenario.name() + ", " + scenario.routers() + " routers, " + scenario.engines()
                        + " engines",
                work.size() + " requests generated, " + results.get(PolicyKind.STEWARD).requests + " measured.");
        table(results);
        if (scenario.name().equals("steady") || scenario.name().equals("churn")) {
            charts(shape, scenario, results);
        }
    }

    private void table(Map<PolicyKind, RunResult> results) {
        double oracle = results.containsKey(PolicyKind.ORACLE)
                ? results.get(PolicyKind.ORACLE).reuse()
                : Double.NaN;
        List<List<String>> rows = new ArrayList<>();
        results.forEach((kind, r) -> rows.add(List.of(
                name(kind),
                PolicyReport.number("%.3f", r.reuse()),
                PolicyReport.number("%.3f", r.reuse() / oracle),
                PolicyReport.number("%.2f", r.skewPercent.getValueAtPercentile(99) / 100.0),
                PolicyReport.number("%.2f", r.skewPercent.getMaxValue() / 100.0),
                PolicyReport.number("%.2f%%", r.percentAboveBound()),
                PolicyReport.number("%.2f%%", 100.0 * r.placementsAboveBound / Math.max(1, r.placements)),
                PolicyReport.number("%.1f", r.worstPlacement),
                Long.toString(r.firstToken.getValueAtPercentile(95)),
                Long.toString(r.late),
                r.refusals.toString(),
                PolicyReport.number("%.3f", r.attemptsPerRequest()),
                Long.toString(r.failed),
                Long.toString(r.enginesLost),
                PolicyReport.number("%.2f", (double) r.grantCalls / Math.max(1, r.arrivals)),
                PolicyReport.number("%.0f", (double) r.grantBytes / Math.max(1, r.arrivals)))));
        report.table(
                List.of(
                        "policy",
                        "prefix reuse",
                        "of oracle",
                        "max/mean p99",
                        "max/mean worst",
                        "samples above c x mean + 1",
                        "placements above",
                        "worst placement above, requests",
                        "first token p95, ms",
                        "late",
                        "refused",
                        "attempts/request",
                        "failed",
                        "engines lost",
                        "steward calls/request",
                        "grant bytes/request"),
                rows);
    }

    private void charts(WorkloadShape shape, Scenario scenario, Map<PolicyKind, RunResult> results) {
        List<String> names = results.keySet().stream().map(PolicyMain::name).toList();
        String stem = "decisions-" + shape.name() + "-" + scenario.name();
        PolicyReport.chart(
                directory.resolve(stem + "-reuse.png"),
                "Prefix tokens reused, " + shape.name() + ", " + scenario.name(),
                "share of reusable tokens",
                names,
                results.values().stream().map(RunResult::reuse).toList());
        PolicyReport.chart(
                directory.resolve(stem + "-skew.png"),
                "Max load over mean load, p99, " + shape.name() + ", " + scenario.name(),
                "max/mean",
                names,
                results.values().stream()
                        .map(r -> r.skewPercent.getValueAtPercentile(99) / 100.0)
                        .toList());
    }

    private void surge(WorkloadShape shape, double rate, List<Arrival> work) {
        long until = FAULT_FROM_MILLIS + 120_000;
        Scenario window = Scenario.steady(6, 12, rate, until, FAULT_FROM_MILLIS);
        List<Arrival> surging =
                new WorkloadGenerator(shape, seed).withSurge(work, rate, SURGE, FAULT_FROM_MILLIS, until);
        List<List<String>> rows = new ArrayList<>();
        for (PolicyKind kind : ALL) {
            RunResult calm = run(kind, shape, window, work, CACHE_TOKENS);
            RunResult storm = run(kind, shape, window, surging, CACHE_TOKENS);
            long before = calm.firstTokenOfOthers.getValueAtPercentile(95);
            long during = storm.firstTokenOfOthers.getValueAtPercentile(95);
            rows.add(List.of(
                    name(kind),
                    Long.toString(before),
                    Long.toString(during),
                    PolicyReport.number("%.2f", (double) during / before),
                    Long.toString(calm.lateOfOthers),
                    Long.toString(storm.lateOfOthers),
                    Long.toString(storm.refusedOfOthers),
                    Long.toString(storm.firstTokenOfSurging.getValueAtPercentile(95)),
                    Long.toString(storm.refused() - storm.refusedOfOthers)));
        }
        report.heading(
                shape.name() + ", one team surges to 5 times its share for 120 s, 6 routers, 12 engines",
                "The other teams with and without the surge.");
        report.table(
                List.of(
                        "policy",
                        "others' first token p95 without, ms",
                        "with, ms",
                        "ratio",
                        "others' late without",
                        "with",
                        "others' refused",
                        "surging team's first token p95, ms",
                        "surging team's refused"),
                rows);
    }

    private void fairness(WorkloadShape shape, double rate) {
        WorkloadShape even = shape.withEvenTraffic();
        Scenario scenario = Scenario.steady(6, 12, rate * OVERLOAD, RUN_MILLIS / 2, WARM_MILLIS / 2);
        List<Arrival> work = new WorkloadGenerator(even, seed).generate(RUN_MILLIS / 2, rate * OVERLOAD);
        List<List<String>> rows = new ArrayList<>();
        for (PolicyKind kind : List.of(PolicyKind.TWO_CHOICES, PolicyKind.BOUNDED_LOADS, PolicyKind.STEWARD)) {
            RunResult r = run(kind, even, scenario, work, CACHE_TOKENS);
            rows.add(List.of(
                    name(kind),
                    PolicyReport.number("%.3f", FairShares.leastServed(even.weights(), r.askedOfTeam, r.servedOfTeam)),
                    PolicyReport.number("%.3f", (double) r.completed / r.requests),
                    PolicyReport.number("%.3f", (double) r.late / Math.max(1, r.completed)),
                    Long.toString(r.firstToken.getValueAtPercentile(95))));
        }
        report.heading(
                shape.name() + ", all teams ask alike for 3 times the capacity's usual load",
                "Served share of the least served team against its weighted max-min fair share.");
        report.table(
                List.of(
                        "policy",
                        "least served share",
                        "answered share",
                        "late share of answers",
                        "first token p95, ms"),
                rows);
    }

    private void largeRun(WorkloadShape shape, int routers, int engines, long measuredMillis) {
        double rate = rate(shape) * engines / 12;
        long warm = 200_000;
        Scenario scenario = Scenario.steady(routers, engines, rate, warm + measuredMillis, warm);
        List<Arrival> work = new WorkloadGenerator(shape, seed).generate(warm + measuredMillis, rate);
        Map<PolicyKind, RunResult> results = new EnumMap<>(PolicyKind.class);
        for (PolicyKind kind : List.of(PolicyKind.TWO_CHOICES, PolicyKind.GOSSIPED_LOADS, PolicyKind.STEWARD)) {
            results.put(kind, run(kind, shape, scenario, work, CACHE_TOKENS));
        }
        if (engines <= 50) {
            results.put(PolicyKind.ORACLE, run(PolicyKind.ORACLE, shape, scenario, work, CACHE_TOKENS));
        }
        report.heading(
                shape.name() + ", steady, " + routers + " routers, one service of " + engines + " engines",
                work.size() + " requests generated, " + results.get(PolicyKind.STEWARD).requests + " measured.");
        table(results);
    }

    private RunResult run(
            PolicyKind kind, WorkloadShape shape, Scenario scenario, List<Arrival> work, int cacheTokens) {
        PolicyLoop loop = new PolicyLoop(scenario, shape, cacheTokens, seed + 1);
        return loop.run(work, kind.create(loop));
    }

    private static String name(PolicyKind kind) {
        return kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
    }
}
