package org.dragonflygw.wire.peers;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Locale;
import java.util.LongSummaryStatistics;
import java.util.function.ToLongFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Bounds what reports between hosts cost and how old loads are, for fleets of several sizes. */
final class LoadSumTrafficTest {
    /** Time after which a host has told each of the others by a direct report that it can reach the store. */
    private static final int SETTLE_MS = 12_000;

    private static final int SECONDS = 5;
    private static final int REQUEST_MS = 900;

    /** Bytes per second that a host may send. */
    private static final double MAX_SENT = 19_000;

    private static SimulatedReportFleet served(int hosts, int engines, int requestsPerS, boolean listed) {
        SimulatedReportFleet fleet = new SimulatedReportFleet(hosts, engines, 20261204);
        fleet.listAll(listed);
        fleet.serve(SETTLE_MS, requestsPerS, REQUEST_MS);
        fleet.network.hosts.forEach(h -> h.traffic.clear());
        fleet.ageMs = new LongSummaryStatistics();
        fleet.serve(SECONDS * 1_000, requestsPerS, REQUEST_MS);
        return fleet;
    }

    private static double mean(SimulatedReportFleet fleet, ToLongFunction<Traffic> field) {
        return fleet.network.hosts.stream()
                        .mapToLong(h -> field.applyAsLong(h.traffic))
                        .average()
                        .orElseThrow()
                / SECONDS;
    }

    private static double max(SimulatedReportFleet fleet, ToLongFunction<Traffic> field) {
        return (double) fleet.network.hosts.stream()
                        .mapToLong(h -> field.applyAsLong(h.traffic))
                        .max()
                        .orElseThrow()
                / SECONDS;
    }

    private static void print(SimulatedReportFleet fleet, String name) {
        System.out.printf(
                Locale.ROOT,
                "%s %d hosts %d engines: sent %.1f KB/s (most %.1f), received %.1f KB/s (most %.1f); messages sent %.1f/s"
                        + " (most %.1f), received %.1f/s (most %.1f); age of sums mean %.0f ms, max %d ms%n",
                name,
                fleet.network.hosts.size(),
                fleet.engines(),
                mean(fleet, t -> t.sentBytes) / 1_000,
                max(fleet, t -> t.sentBytes) / 1_000,
                mean(fleet, t -> t.receivedBytes) / 1_000,
                max(fleet, t -> t.receivedBytes) / 1_000,
                mean(fleet, t -> t.sent),
                max(fleet, t -> t.sent),
                mean(fleet, t -> t.received),
                max(fleet, t -> t.received),
                fleet.ageMs.getAverage(),
                fleet.ageMs.getMax());
    }

    /** Guards against reports that grow with hosts times endpoints, and against loads that are seconds old. */
    @ParameterizedTest
    @CsvSource({"65, 98, 500", "128, 98, 530", "128, 600, 2000", "401, 98, 2000", "401, 600, 6100"})
    void hostsOfALargeFleetSendLittleAndKnowRecentLoads(int hosts, int engines, int requestsPerS) {
        SimulatedReportFleet fleet = served(hosts, engines, requestsPerS, true);
        print(fleet, "sums");
        assertWithMessage("bytes sent").that(mean(fleet, t -> t.sentBytes)).isLessThan(MAX_SENT);
        assertWithMessage("most bytes sent").that(max(fleet, t -> t.sentBytes)).isLessThan(2 * MAX_SENT);
        assertWithMessage("messages received")
                .that(mean(fleet, t -> t.received))
                .isLessThan(15.0);
        assertWithMessage("mean age").that(fleet.ageMs.getAverage()).isLessThan(1_000.0);
        assertWithMessage("age").that(fleet.ageMs.getMax()).isLessThan(1_500L);
    }

    /** Guards against a change for fleets in which direct reports reach all peers in two rounds. */
    @Test
    void smallFleetReportsDirectly() {
        SimulatedReportFleet fleet = served(6, 98, 500, true);
        print(fleet, "direct");
        assertWithMessage("messages").that(mean(fleet, t -> t.sent)).isEqualTo(25.0);
        assertWithMessage("sums").that(fleet.ageMs.getCount()).isEqualTo(0);
    }
}
