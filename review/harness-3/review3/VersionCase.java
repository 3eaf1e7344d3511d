package review3;

import java.io.IOException;
import java.util.List;

/**
 * Two of eight engines crash while the store is down, start again under their ids with other software, and crash once more.
 * Streams that they began in between must not go on at engines of the software before.
 */
public final class VersionCase {
    private static final int EVENTS = 30;
    private static final long GAP_MS = 100;
    private static final double CALM_PER_S = 1;
    private static final double BUSY_PER_S = 20;
    private static final long CALM_MS = 6_000;

    public static void main(String[] args) throws IOException {
        Run.play(VersionCase::play);
    }

    private static void play(Run run) throws IOException {
        Fleet fleet = new Fleet(run, 8, 3, GAP_MS, 0);
        Traffic traffic = new Traffic(run, fleet.edges, CALM_PER_S, BUSY_PER_S, EVENTS);
        double startS = run.seconds() + CALM_MS / 1e3;
        traffic.start(startS + 4.5, startS + 14);
        Run.sleep(CALM_MS);
        if (run.trouble) {
            trouble(run, fleet.store, fleet.engines.subList(0, 2));
        }
        traffic.join();
        traffic.judge();
    }

    private static void trouble(Run run, Store store, List<Engine> crashing) throws IOException {
        run.note("the store is down");
        store.fault(Store.Fault.SILENT);
        Run.sleep(200);
        crashing.forEach(Engine::kill);
        Run.sleep(2_000);
        startAll(crashing);
        Run.sleep(5_000);
        crashing.forEach(Engine::kill);
        Run.sleep(800);
        store.fault(Store.Fault.NONE);
        run.note("the store is up again");
        Run.sleep(1_200);
        startAll(crashing);
    }

    private static void startAll(List<Engine> engines) throws IOException {
        for (Engine e : engines) {
            e.start("v2");
        }
    }
}
