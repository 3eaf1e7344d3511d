package review3;

import java.io.IOException;
import java.util.List;

/**
 * Four of eight engines are upgraded in place: they drain, exit, and start again under their
 * ids with other software. Then the store comes back from a copy that is older than the upgrade. Two other
 * engines crash a moment later. Their streams must not go on at the upgraded ones.
 */
public final class CopyCase {
    private static final int EVENTS = 20;
    private static final long GAP_MS = 100;
    private static final double PER_S = 60;

    public static void main(String[] args) throws IOException {
        Run.play(CopyCase::play);
    }

    private static void play(Run run) throws IOException {
        Fleet fleet = new Fleet(run, 8, 3, GAP_MS);
        List<Engine> upgraded = fleet.engines.subList(0, 4);
        List<Engine> crashing = fleet.engines.subList(4, 6);
        Traffic traffic = new Traffic(run, fleet.edges, PER_S, PER_S, EVENTS);
        double startS = run.seconds();
        traffic.start(startS, startS + 12);
        Run.sleep(3_000);
        fleet.store.copy();
        run.note("the store is copied");
        upgraded.forEach(Engine::drain);
        Run.sleep(2_300);
        for (Engine e : upgraded) {
            e.exit();
            e.start("v2");
        }
        Run.sleep(2_000);
        if (run.trouble) {
            run.note("the store is away");
            fleet.store.fault(Store.Fault.BUSY);
            Run.sleep(500);
            fleet.store.restore();
            run.note("the store is back from the copy");
            Run.sleep(700);
        } else {
            Run.sleep(1_200);
        }
        crashing.forEach(Engine::kill);
        Run.sleep(2_000);
        for (Engine e : crashing) {
            e.start("v1");
        }
        traffic.join();
        traffic.judge();
    }
}
