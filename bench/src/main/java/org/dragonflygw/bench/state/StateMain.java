package org.dragonflygw.bench.state;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.Locale;
import java.util.function.Predicate;
import org.apache.thrift.TException;
import org.dragonflygw.core.config.SheetVersion;
import org.dragonflygw.core.membership.Member;

/** Measures the control traffic, cost and speed of the shared state on protocol objects. */
public final class StateMain {
    private static final int[] SIZES = {6, 24, 60, 400};
    private static final int WARM_ROUNDS = 60;
    private static final int ROUNDS = 30;
    private static final int LARGE = 400;
    private static final int LARGE_ENGINES = 600;
    private static final int REGIONS = 2;
    private static final int MAX_ROUNDS = 60;
    private static final int PARTED_DAEMONS = 60;
    private static final int PARTED_ROUNDS = 3600;
    private static final String DIGEST = "ab".repeat(32);
    private static final double NANOS_PER_MICRO = 1000.0;
    private static final double BYTES_PER_KIB = 1024.0;

    private final PrintStream out;

    private StateMain(PrintStream out) {
        this.out = out;
    }

    /** Runs the measurements that the arguments name: traffic, spread, death, closing, healing. */
    public static void main(String[] arguments) throws TException {
        StateMain main = new StateMain(System.out);
        for (String name : arguments) {
            main.run(name);
        }
    }

    private void run(String name) throws TException {
        switch (name) {
            case "traffic" -> {
                for (int size : SIZES) {
                    traffic(size);
                }
            }
            case "spread" -> spread();
            case "death" -> death();
            case "closing" -> closing();
            case "healing" -> healing();
            default -> throw new IllegalArgumentException(name);
        }
    }

    private void traffic(int daemons) throws TException {
        int regions = daemons == LARGE ? REGIONS : 1;
        int engines = daemons == LARGE ? LARGE_ENGINES : 2 * daemons;
        long heapBefore = usedHeap();
        GossipFleet fleet = new GossipFleet(daemons, regions, engines);
        rounds(fleet, WARM_ROUNDS);
        long before = fleet.nodes().stream().mapToLong(GossipNode::sentBytes).sum();
        long cpuBefore = cpuNanos();
        rounds(fleet, ROUNDS);
        double cpu = (double) (cpuNanos() - cpuBefore) / daemons / ROUNDS / NANOS_PER_MICRO;
        long sent = fleet.nodes().stream().mapToLong(GossipNode::sentBytes).sum() - before;
        double heap = (usedHeap() - heapBefore) / BYTES_PER_KIB / daemons;
        double age = fleet.nodes().stream()
                .mapToDouble(GossipNode::meanLoadAgeMillis)
                .average()
                .orElse(0);
        out.printf(
                Locale.ROOT,
                "traffic daemons=%d engines=%d sent=%.0f B/s/daemon cpu=%.0f us/s/daemon heap=%.0f KiB/daemon"
                        + " load age=%.0f ms members known=%d loads heard=%d%n",
                daemons,
                engines,
                (double) sent / daemons / ROUNDS,
                cpu,
                heap,
                age,
                fleet.node(0).protocol().members().size(),
                fleet.node(0).receivedLoadCount());
    }

    private void spread() throws TException {
        GossipFleet fleet = warm(LARGE, REGIONS, LARGE_ENGINES);
        for (int version = 1; version <= 5; version++) {
            int number = version;
            fleet.node(version * 7).sheets().observeVersion(new SheetVersion(number, DIGEST));
            fleet.runUrgentExchanges();
            int waves = fleet.urgentWaves();
            long at = count(fleet, node -> node.sheets().newestVersion().number() >= number);
            int more = until(fleet, node -> node.sheets().newestVersion().number() >= number);
            out.printf(
                    Locale.ROOT,
                    "version %d: %d of %d daemons after %d urgent waves, all after %d more rounds%n",
                    number,
                    at,
                    LARGE,
                    waves,
                    more);
        }
    }

    private void death() throws TException {
        GossipFleet fleet = warm(LARGE, REGIONS, LARGE_ENGINES);
        fleet.stop(9);
        int rounds = until(fleet, node -> node == fleet.node(9) || !knows(node, "router-9"));
        out.printf(Locale.ROOT, "death of one daemon at %d: known by all after %d rounds%n", LARGE, rounds);
    }

    private void closing() throws TException {
        GossipFleet fleet = warm(LARGE, REGIONS, LARGE_ENGINES);
        fleet.node(8).closeEngine("engine-8");
        fleet.runRound();
        int waves = fleet.urgentWaves();
        Predicate<GossipNode> told = node -> node == fleet.node(8)
                || !node.protocol().self().region().equals("region-0")
                || node.hasReceivedClosed("engine-8");
        long at = count(fleet, told);
        int more = until(fleet, told);
        out.printf(
                Locale.ROOT,
                "closed engine at %d: %d daemons told after the round and %d urgent waves, all after %d more rounds%n",
                LARGE,
                at - LARGE / REGIONS,
                waves,
                more);
    }

    private void healing() throws TException {
        GossipFleet fleet = warm(PARTED_DAEMONS, REGIONS, 2 * PARTED_DAEMONS);
        fleet.setRegionsPartitioned(true);
        rounds(fleet, PARTED_ROUNDS);
        int seen = fleet.node(0).protocol().members().size();
        fleet.setRegionsPartitioned(false);
        int rounds = until(
                fleet,
                node -> node.protocol().members().size() == PARTED_DAEMONS
                        && node.protocol().daemonsAcceptingWork("region-0").size() == PARTED_DAEMONS / REGIONS);
        out.printf(
                Locale.ROOT,
                "regions parted for %d rounds at %d daemons: %d seen while parted, whole again after %d rounds%n",
                PARTED_ROUNDS,
                PARTED_DAEMONS,
                seen,
                rounds);
    }

    private static GossipFleet warm(int daemons, int regions, int engines) throws TException {
        GossipFleet fleet = new GossipFleet(daemons, regions, engines);
        rounds(fleet, WARM_ROUNDS);
        return fleet;
    }

    private static boolean knows(GossipNode node, String daemonId) {
        return node.protocol().members().stream().map(Member::daemonId).anyMatch(daemonId::equals);
    }

    private static long count(GossipFleet fleet, Predicate<GossipNode> condition) {
        return fleet.nodes().stream().filter(condition).count();
    }

    private static int until(GossipFleet fleet, Predicate<GossipNode> condition) throws TException {
        int rounds = 0;
        while (rounds < MAX_ROUNDS && count(fleet, condition) < fleet.nodes().size()) {
            fleet.runRound();
            rounds++;
        }
        return rounds;
    }

    private static void rounds(GossipFleet fleet, int count) throws TException {
        for (int i = 0; i < count; i++) {
            fleet.runRound();
        }
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
