package org.dragonflygw.edge.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Runs soaks with several seeds, one after the other. Arguments: first seed, number of seeds, seconds, hosts, first port. */
public final class SoakMain {
    private static final long MS_PER_S = 1_000;

    private SoakMain() {}

    /** Prints a line for each seed, and what was broken; the exit code is the number of seeds with a violation. */
    public static void main(String[] args) throws Exception {
        long first = Long.parseLong(args[0]);
        int broken = 0;
        for (long seed = first; seed < first + Long.parseLong(args[1]); seed++) {
            Path dir = Files.createTempDirectory("soak-" + seed + "-");
            try (Soak soak = new Soak(seed, Integer.parseInt(args[3]), Integer.parseInt(args[4]), dir)) {
                Runtime.getRuntime().addShutdownHook(new Thread(soak::close, "end-of-soak"));
                SoakRecord record = soak.run(Long.parseLong(args[2]) * MS_PER_S);
                List<String> violations = new ArrayList<>(SoakChecks.safetyViolations(record));
                violations.addAll(SoakChecks.timingViolations(record));
                long good = record.outcomes().stream().filter(Outcome::success).count();
                System.out.println("seed " + seed + ": " + good + " of "
                        + record.outcomes().size() + " attempts succeeded, "
                        + soak.actions().size()
                        + " disturbances, " + violations.size() + " violations; logs in " + dir);
                System.out.println("  ends: " + countByStatus(record));
                violations.stream().limit(10).forEach(v -> System.out.println("  " + v));
                if (!violations.isEmpty()) {
                    System.out.println("  after " + soak.actions());
                    broken++;
                }
            }
        }
        System.exit(broken);
    }

    /** Number of attempts by the status of their answers, 0 for none, and whether these were whole. */
    private static Map<String, Integer> countByStatus(SoakRecord record) {
        Map<String, Integer> ends = new TreeMap<>();
        record.outcomes().forEach(o -> ends.merge(o.status() + (o.whole() ? "" : " cut"), 1, Integer::sum));
        return ends;
    }
}
