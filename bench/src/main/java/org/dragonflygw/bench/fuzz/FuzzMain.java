package org.dragonflygw.bench.fuzz;

import java.io.PrintStream;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dragonflygw.bench.history.Violation;

/**
 * Runs random steps against the simulated request path. Prints the number of events checked, the hits of each fault and
 * the violations with their seeds.
 */
public final class FuzzMain {
    private static final int DEFAULT_RUNS = 10_000;
    private static final int DEFAULT_STEPS = 60;

    private FuzzMain() {}

    /** Entry point; exits with status 1 if a run violates a promise. */
    public static void main(String[] args) {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> runs =
                parser.accepts("runs").withRequiredArg().ofType(Integer.class).defaultsTo(DEFAULT_RUNS);
        OptionSpec<Integer> steps =
                parser.accepts("steps").withRequiredArg().ofType(Integer.class).defaultsTo(DEFAULT_STEPS);
        OptionSpec<Long> seed =
                parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        OptionSet options = parser.parse(args);
        int violations = run(seed.value(options), runs.value(options), steps.value(options), System.out);
        System.exit(violations == 0 ? 0 : 1);
    }

    private static int run(long firstSeed, int runs, int steps, PrintStream out) {
        FaultCounts counts = new FaultCounts();
        long events = 0;
        int violated = 0;
        int combined = 0;
        for (int i = 0; i < runs; i++) {
            long seed = firstSeed + i;
            FuzzSimulation simulation = new FuzzSimulation();
            FuzzSteps.randomSteps(new SplittableRandom(seed), steps).forEach(simulation::apply);
            List<Violation> violations = simulation.finish();
            events += simulation.history().size();
            counts.addAll(simulation.counts());
            combined += simulation.counts().hits().size() > 1 ? 1 : 0;
            if (!violations.isEmpty()) {
                violated++;
                out.println("seed " + seed + ": " + violations);
            }
        }
        out.println("runs " + runs + ", steps " + (long) runs * steps + ", events checked " + events
                + ", runs hit by two kinds of faults or more " + combined + ", runs with violations " + violated);
        new TreeMap<>(counts.hits()).forEach((kind, count) -> out.println(kind + " " + count));
        return violated;
    }
}
