import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some engines send additional bytes after a few of their answers: the beginning of a second answer, which breaks off in its first
 * line. Clients compare the status that they get with the one that the engine gave.
 */
public final class CutSecondAnswer implements CaseMain.Case {
    private static final long RUN_MS = 60_000;
    /** Within each period the engines are faulty for 5 s. */
    private static final long PERIOD_MS = 8_000;

    private static final long FAULTY_MS = 5_000;
    private static final double FAULTY_SHARE = 0.03;
    /** Share of the requests that an engine of the service fails by itself. */
    private static final double ERROR_SHARE = 0.14;
    private static final int CLIENTS = 12;
    private static final String CUT = "HTTP/1.1 200 OK";

    private final Map<String, List<Integer>> given = new ConcurrentHashMap<>();
    private volatile boolean over;

    @Override
    public boolean run(Deployment d, Record record, boolean trouble) throws Exception {
        d.store.write("op", "config", Deployment.configuration(1, 0, Deployment.tenant("hall", "key-a")));
        Random random = new Random(7);
        long startMs = record.nowMs() + 6_000;
        for (int i = 0; i < 3; i++) {
            boolean mayBeFaulty = trouble && i == 0;
            d.add(new Engine("i-app-" + i, "krug-app", "zone-" + i, d.store, record) {
                @Override
                void answer(Request r, Socket s, OutputStream out) throws IOException {
                    sleep(15);
                    boolean fails;
                    boolean faulty;
                    synchronized (random) {
                        fails = random.nextDouble() < ERROR_SHARE;
                        faulty = random.nextDouble() < FAULTY_SHARE;
                    }
                    int status = fails ? 500 : 200;
                    given.computeIfAbsent(r.id(), k -> new ArrayList<>()).add(status);
                    String body = (fails ? "error of " : "answer of ") + id + " to " + r.id();
                    String text = head(r, status) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
                    boolean now = (record.nowMs() - startMs + PERIOD_MS) % PERIOD_MS < FAULTY_MS;
                    if (mayBeFaulty && faulty && now) {
                        record.line("engine %s answers %d to %s and sends the first %d bytes of a second answer", id, status, r.id(), CUT.length());
                        text += CUT;
                    } else {
                        record.line("engine %s answers %d to %s", id, status, r.id());
                    }
                    write(out, text);
                }
            });
        }
        for (int i = 0; i < 3; i++) {
            d.edge("edge-" + i, "zone-" + i);
        }
        d.startEdges();
        Engine.sleep(4_000);
        AtomicInteger wrong = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Edge edge = d.edges.get(i % 3);
            boolean safe = i % 2 == 0;
            Thread t = new Thread(() -> client(edge, safe, record, wrong));
            clients.add(t);
            t.start();
        }
        Engine.sleep(RUN_MS);
        over = true;
        for (Thread t : clients) {
            t.join(5_000);
        }
        record.line("%d requests got a success though the engine had answered with a failure", wrong.get());
        return wrong.get() > 0;
    }

    private void client(Edge edge, boolean safe, Record record, AtomicInteger wrong) {
        while (!over) {
            String id = Caller.newId();
            Caller.Answer a = Caller.send(edge, safe ? "GET" : "POST", Deployment.HOST, safe ? "/plain/a" : "/once/a", "key-a", id, 600, "", record);
            List<Integer> statuses = given.getOrDefault(id, List.of());
            if (a.status() >= 200 && a.status() < 300 && !statuses.contains(200)) {
                wrong.incrementAndGet();
                record.line("MIXED: %s got %d with the body '%s'; the engines had answered %s", id, a.status(), a.body(), statuses);
            }
            Engine.sleep(60);
        }
    }
}
