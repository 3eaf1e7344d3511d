package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: the store, the engines of one service with software v1, and edges that are ready. */
final class Fleet {
    final Store store;
    final List<Engine> engines = new ArrayList<>();
    final List<Edge> edges = new ArrayList<>();

    Fleet(Run run, int engineCount, int edgeCount, long gapMs, int idleS) throws IOException {
        store = new Store(run.ip(1));
        store.listen();
        store.put("op", "config", Run.configuration(7, Run.KEY));
        for (int i = 1; i <= engineCount; i++) {
            Engine e = new Engine(run, store, run.ip(10 + i), "i-e" + i, "huvo11a", gapMs, idleS);
            e.start("v1");
            engines.add(e);
        }
        for (int i = 1; i <= edgeCount; i++) {
            Edge e = run.edge("edge-" + i, run.ip(100 + i), store.address());
            e.start();
            edges.add(e);
        }
        for (Edge e : edges) {
            e.awaitReady();
        }
        Run.sleep(3_000);
    }
}
