import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine sends bytes that are no response in place of a few of its answers: a first line whose status is no number of three
 * digits. Clients check the first line of each answer that they get.
 */
public final class InvalidStatus implements CaseMain.Case {
    private static final long RUN_MS = 30_000;
    private static final long PERIOD_MS = 8_000;
    private static final long FAULTY_MS = 5_000;
    private static final int FAULTY_EACH = 34;
    private static final int CLIENTS = 6;
    private volatile boolean over;

    @Override
    public boolean run(Deployment d, Record record, boolean trouble) throws Exception {
        AtomicInteger answers = new AtomicInteger();
        d.store.write("op", "config", Deployment.configuration(1, 0, Deployment.tenant("hall", "key-a")));
        long startMs = record.nowMs() + 6_000;
        for (int i = 0; i < 3; i++) {
            boolean mayBeFaulty = trouble && i == 0;
            d.add(new Engine("i-app-" + i, "krug-app", "zone-" + i, d.store, record) {
                @Override
                void answer(Request r, Socket s, OutputStream out) throws IOException {
                    boolean faulty = mayBeFaulty && answers.incrementAndGet() % FAULTY_EACH == 0
                            && (record.nowMs() - startMs + PERIOD_MS) % PERIOD_MS < FAULTY_MS;
                    record.line("engine %s runs %s%s", id, r.id(), faulty ? " and sends bytes that are no response" : "");
                    sleep(20);
                    String body = "answer of " + id + " to " + r.id();
                    String head = faulty ? "HTTP/1.1 7 \r\n" : head(r, 200);
                    write(out, head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
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
            Thread t = new Thread(() -> client(edge, record, wrong));
            clients.add(t);
            t.start();
        }
        Engine.sleep(RUN_MS);
        over = true;
        for (Thread t : clients) {
            t.join(5_000);
        }
        record.line("%d answers were no answers in the protocol", wrong.get());
        return wrong.get() > 0;
    }

    private void client(Edge edge, Record record, AtomicInteger wrong) {
        while (!over) {
            String id = Caller.newId();
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(edge.ip, edge.frontPort), 1_000);
                s.setSoTimeout(2_000);
                Engine.write(s.getOutputStream(), "POST /once/a HTTP/1.1\r\nHost: " + Deployment.HOST
                        + "\r\nDragonflygw-Attempt-Id: " + id + "\r\nDragonflygw-Deadline-Ms: 600\r\n"
                        + "Authorization: Bearer key-a\r\nContent-Length: 4\r\n\r\nbody");
                String line = Engine.readLine(new BufferedInputStream(s.getInputStream()));
                record.line("client sent %s to %s and gets '%s'", id, edge.name, line);
                if (line != null && !line.matches("HTTP/1\\.1 [1-5]\\d\\d( .*)?")) {
                    wrong.incrementAndGet();
                    record.line("MIXED: '%s' is no answer in the protocol", line);
                }
            } catch (IOException e) {
                record.line("client gets no answer for %s: %s", id, e.toString());
            }
            Engine.sleep(60);
        }
    }
}
