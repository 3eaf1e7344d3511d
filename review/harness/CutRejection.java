import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine sends additional bytes after a few of its answers: the beginning of a second answer, a rejection, which breaks off in its
 * head. The next request on that connection runs, and its answer continues the line that broke off.
 */
public final class CutRejection implements CaseMain.Case {
    private static final long RUN_MS = 40_000;
    /** Within each period the engine is faulty for 5 s. */
    private static final long PERIOD_MS = 8_000;

    private static final long FAULTY_MS = 5_000;
    /** One in so many answers of the faulty engine is spoiled: 3 in 100. */
    private static final int FAULTY_EACH = 34;

    private static final long WORK_MS = 20;
    private static final int CLIENTS = 12;
    private static final String CUT =
            "HTTP/1.1 503 Service Unavailable\r\nDragonflygw-Not-Executed: 1\r\nRetry-After: 0.2";

    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private volatile boolean over;

    @Override
    public boolean run(Deployment d, Record record, boolean trouble) throws Exception {
        d.store.write("op", "config", Deployment.configuration(1, 0, Deployment.tenant("hall", "key-a")));
        AtomicInteger answers = new AtomicInteger();
        long startMs = record.nowMs() + 6_000;
        for (int i = 0; i < 3; i++) {
            boolean mayBeFaulty = trouble && i == 0;
            d.add(new Engine("i-app-" + i, "krug-app", "zone-" + i, d.store, record) {
                @Override
                void answer(Request r, Socket s, OutputStream out) throws IOException {
                    runs.computeIfAbsent(r.id(), k -> new CopyOnWriteArrayList<>()).add(id);
                    record.line("engine %s runs %s", id, r.id());
                    sleep(WORK_MS);
                    boolean faulty = mayBeFaulty && answers.incrementAndGet() % FAULTY_EACH == 0;
                    String body = "answer of " + id + " to " + r.id();
                    String text = head(r, 200) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
                    if (faulty && (record.nowMs() - startMs + PERIOD_MS) % PERIOD_MS < FAULTY_MS) {
                        record.line("engine %s adds the first %d bytes of a second answer to its answer to %s", id, CUT.length(), r.id());
                        text += CUT;
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
        AtomicInteger refused = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Edge edge = d.edges.get(i % 3);
            Thread t = new Thread(() -> client(edge, record, refused));
            clients.add(t);
            t.start();
        }
        Engine.sleep(RUN_MS);
        over = true;
        for (Thread t : clients) {
            t.join(5_000);
        }
        int twice = 0;
        for (Map.Entry<String, List<String>> e : runs.entrySet()) {
            if (e.getValue().size() > 1) {
                twice++;
                record.line("TWICE: %s ran at %s", e.getKey(), e.getValue());
            }
        }
        record.line("%d of %d non-idempotent requests ran twice; %d were answered 503 and had run", twice, runs.size(), refused.get());
        return twice > 0;
    }

    private void client(Edge edge, Record record, AtomicInteger refused) {
        while (!over) {
            String id = Caller.newId();
            Caller.Answer a = Caller.send(edge, "POST", Deployment.HOST, "/once/a", "key-a", id, 600, "", record);
            if ((a.status() == 503 || a.status() == 429) && runs.containsKey(id)) {
                refused.incrementAndGet();
                record.line("REFUSED: %s was answered %d and has run", id, a.status());
            }
            Engine.sleep(60);
        }
    }
}
