package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A key is taken away. A moment later all edges lose power, and the store comes back from a copy that is older than that;
 * the operator writes the configuration again two seconds after the store is back.
 */
public final class KeysCase {
    private static final String TAKEN_KEY = "anfqasnmgkcuyj8pjbvk";
    private static final int REVOKE_MS = 5_000;
    private static final int TIMEOUT_MS = 2_000;
    private static final int MIN_SERVED = 20;

    public static void main(String[] args) throws IOException {
        Run.play(KeysCase::play);
    }

    private static void play(Run run) throws IOException {
        Store store = new Store(run.ip(1));
        store.listen();
        store.put("op", "config", Run.configuration(7, Run.KEY, TAKEN_KEY));
        List<Application> engines = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            engines.add(new Application(run, store, run.ip(10 + i), "i-p" + i));
        }
        List<Edge> edges = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Edge e = run.edge("edge-" + i, run.ip(100 + i), store.address());
            e.start();
            edges.add(e);
        }
        for (Edge e : edges) {
            e.awaitReady();
        }
        Run.sleep(4_000);
        AtomicInteger served = new AtomicInteger();
        Run.thread(() -> sendAll(run, edges, Run.KEY, served));
        Run.sleep(1_000);
        store.copy();
        run.note("the store is copied");
        Run.sleep(200);
        store.put("op", "config", Run.configuration(8, Run.KEY));
        double takenS = run.seconds();
        run.note("the store acknowledges version 8, which takes a key away");
        Run.sleep(3_500);
        if (run.trouble) {
            run.note("the store is away, and all edges lose power");
            store.fault(Store.Fault.SILENT);
            edges.forEach(Edge::end);
            Run.sleep(800);
            for (Edge e : edges) {
                e.start();
            }
            Run.sleep(700);
            store.restore();
            run.note("the store is back from the copy");
            Run.thread(() -> {
                Run.sleep(2_000);
                store.put("op", "config", Run.configuration(8, Run.KEY));
                run.note("the operator has written version 8 again");
            });
        }
        Run.sleep((long) (takenS * 1e3 + REVOKE_MS + 200 - run.seconds() * 1e3));
        List<String> late = new ArrayList<>();
        double endS = run.seconds() + 4;
        while (run.seconds() < endS) {
            String id = run.newId();
            late.add(id);
            Edge e = edges.get(late.size() % edges.size());
            run.note("client sends " + id + " to " + e.name + " with the key that was taken away");
            run.note("answer to " + id + ": " + send(e, id, TAKEN_KEY));
            Run.sleep(100);
        }
        int ran = 0;
        for (String id : late) {
            for (Application a : engines) {
                ran += a.runs.containsKey(id) ? 1 : 0;
            }
        }
        run.note(served.get() + " requests with the other key were served");
        if (served.get() < MIN_SERVED) {
            run.end(Run.COULD_NOT_RUN, "could not run: too few requests were served");
        }
        run.end(
                ran > 0 ? Run.BROKEN : Run.HELD,
                (ran > 0 ? "CONFIG broken: " : "CONFIG held: ") + ran + " of " + late.size()
                        + " requests ran that were sent over " + REVOKE_MS + " ms after their key was taken away");
    }

    private static void sendAll(Run run, List<Edge> edges, String key, AtomicInteger served) {
        for (int n = 0; ; n++) {
            if (send(edges.get(n % edges.size()), run.newId(), key).equals("200")) {
                served.incrementAndGet();
            }
            Run.sleep(60);
        }
    }

    /** Sends a request that may not be repeated; returns the status, or what went wrong. */
    private static String send(Edge edge, String id, String key) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(edge.ip, edge.callers()), 1_000);
            s.setSoTimeout(TIMEOUT_MS);
            s.getOutputStream().write(Http.bytes("POST /puxa403/2f HTTP/1.1\r\nHost: " + Run.HOST
                    + "\r\nDragonflygw-Attempt-Id: " + id + "\r\nDragonflygw-Deadline-Ms: 600\r\nAuthorization: Bearer "
                    + key + "\r\nContent-Length: 4\r\n\r\nbook"));
            Http head = Http.readHead(new BufferedInputStream(s.getInputStream()));
            return head == null ? "closed" : Integer.toString(head.status());
        } catch (IOException e) {
            return e.getMessage();
        }
    }
}
