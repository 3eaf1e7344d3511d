package org.dragonflygw.bench.peers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.SplittableRandom;
import org.dragonflygw.core.dispatch.EndpointLoadState;

/**
 * Measures the processor time that reports between hosts take without sockets: all hosts of a fleet run in one process
 * on virtual time, with loads told directly or as sums.
 *
 * <p>Arguments: hosts, engines, requests per second of the fleet, {@code direct} or {@code sums}.
 */
public final class ReportCostMain {
    private static final int WARM_UP_MS = 20_000;
    private static final int MEASURED_MS = 20_000;
    private static final int STEP_MS = 20;
    private static final int REQUEST_MS = 900;
    private static final int SUBJECTS = 48;
    private static final int ENGINES_PER_SUBJECT = 6;
    private static final double NANOS_PER_MICRO = 1_000;

    private final ReportFleet fleet;
    private final int engines;
    private final SplittableRandom random = new SplittableRandom(20261204);
    private final Deque<Running> running = new ArrayDeque<>();
    private double due;

    private ReportCostMain(int hosts, int engines, boolean sums) {
        this.fleet = new ReportFleet(hosts, engines, sums);
        this.engines = engines;
    }

    /** Runs the measurement. */
    public static void main(String[] arguments) {
        int hosts = Integer.parseInt(arguments[0]);
        int engines = Integer.parseInt(arguments[1]);
        int requestsPerS = Integer.parseInt(arguments[2]);
        ReportCostMain run = new ReportCostMain(hosts, engines, arguments[3].equals("sums"));
        run.serve(WARM_UP_MS, requestsPerS);
        run.fleet.costs().clear();
        run.serve(MEASURED_MS, requestsPerS);
        run.print(String.join(" ", arguments), (double) hosts * MEASURED_MS / 1_000);
    }

    private void serve(int ms, int requestsPerS) {
        for (int t = 0; t < ms; t += STEP_MS) {
            fleet.step(STEP_MS);
            due += (double) requestsPerS * STEP_MS / 1_000;
            for (; due >= 1; due--) {
                send();
            }
            while (!running.isEmpty() && running.peekFirst().endMs <= fleet.nowMs()) {
                EndpointLoadState endpoint = running.removeFirst().endpoint;
                endpoint.onPromptRead(ReportFleet.UNCACHED_TOKENS);
                endpoint.onRequestEnded();
            }
        }
    }

    private void send() {
        int subject = random.nextInt(SUBJECTS);
        int engine = (subject * 7 + random.nextInt(ENGINES_PER_SUBJECT)) % engines;
        EndpointLoadState endpoint = fleet.send(random.nextInt(fleet.size()), engine, subject);
        running.addLast(new Running(endpoint, fleet.nowMs() + REQUEST_MS));
    }

    private void print(String name, double hostSeconds) {
        System.out.printf(Locale.ROOT, "%s: microseconds per host and second:", name);
        double total = 0;
        for (ReportCosts.Work work : ReportCosts.Work.values()) {
            double micros = fleet.costs().nanos(work) / hostSeconds / NANOS_PER_MICRO;
            total += micros;
            System.out.printf(
                    Locale.ROOT,
                    " %s %.0f (%.2f times, %.1f each),",
                    work.name().toLowerCase(Locale.ROOT),
                    micros,
                    fleet.costs().count(work) / hostSeconds,
                    fleet.costs().nanos(work)
                            / NANOS_PER_MICRO
                            / Math.max(1, fleet.costs().count(work)));
        }
        System.out.printf(Locale.ROOT, " total %.0f%n", total);
    }

    private record Running(EndpointLoadState endpoint, long endMs) {}
}
