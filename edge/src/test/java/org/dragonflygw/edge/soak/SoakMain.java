package org.dragonflygw.edge.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs soaks with several seeds, one after the other. Arguments: first seed, number of seeds, duration of each soak in
 * seconds, number of hosts, first port. A duration of 0 means five restarts of all hosts while all endpoints fail; a
 * negative one so many seconds with a request that ends endpoints.
 */
public final class SoakMain {
    private static final long MS_PER_S = 1_000;
    private static final int RESTARTS = 5;

    private SoakMain() {}

    /** Prints a summary and the violations of each seed; the exit code is the number of seeds with violations. */
    public static void main(String[] args) throws Exception {
        long first = Long.parseLong(args[0]);
        int failedSeeds = 0;
        for (long seed = first; seed < first + Long.parseLong(args[1]); seed++) {
            Path dir = Files.createTempDirectory("soak-" + seed + "-");
            try (Soak soak = new Soak(seed, Integer.parseInt(args[3]), Integer.parseInt(args[4]), dir)) {
                Runtime.getRuntime().addShutdownHook(new Thread(soak::close, "end-of-soak"));
                long seconds = Long.parseLong(args[2]);
                SoakRecord record = run(soak, seconds);
                List<String> violations = new ArrayList<>(SoakChecks.safetyViolations(record));
                violations.addAll(SoakChecks.timingViolations(record));
                long good = record.outcomes().stream().filter(Outcome::success).count();
                System.out.println("seed " + seed + ": " + good + " of "
                        + record.outcomes().size() + " attempts succeeded, "
                        + soak.actions().size()
                        + " faults and changes, " + violations.size() + " violations; logs in " + dir);
                System.out.println("  attempts by status: " + countByStatus(record));
                violations.stream().limit(10).forEach(v -> System.out.println("  " + v));
                if (!violations.isEmpty()) {
                    System.out.println("  after " + soak.actions());
                    failedSeeds++;
                }
            }
        }
        System.exit(failedSeeds);
    }

    private static SoakRecord run(Soak soak, long seconds) throws InterruptedException {
        if (seconds == 0) {
            return soak.runWithRestartsWhileEndpointsFail(RESTARTS);
        }
        return seconds > 0 ? soak.run(seconds * MS_PER_S) : soak.runWithCrashingRequest(-seconds * MS_PER_S);
    }

    /** Returns the number of attempts by HTTP status, 0 for none; incomplete responses are counted as "cut". */
    private static Map<String, Integer> countByStatus(SoakRecord record) {
        Map<String, Integer> counts = new TreeMap<>();
        record.outcomes().forEach(o -> counts.merge(o.status() + (o.whole() ? "" : " cut"), 1, Integer::sum));
        return counts;
    }
}
