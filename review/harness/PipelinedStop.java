import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The machines are stopped and started in turn. Clients send idempotent requests two at a time on kept connections, the second
 * before the answer to the first.
 */
public final class PipelinedStop implements CaseMain.Case {
    private static final long WORK_MS = 400;
    private static final long LOSS_SLACK_MS = 200;
    private static final int CLIENTS = 6;
    private volatile boolean over;

    @Override
    public boolean run(Deployment d, Record record, boolean trouble) throws Exception {
        Set<String> ran = ConcurrentHashMap.newKeySet();
        d.store.write("op", "config", Deployment.configuration(1, 0, Deployment.tenant("hall", "key-a")));
        for (int i = 0; i < 3; i++) {
            d.add(new Engine("i-app-" + i, "krug-app", "zone-" + i, d.store, record) {
                @Override
                void answer(Request r, Socket s, OutputStream out) throws IOException {
                    sleep(WORK_MS);
                    ran.add(r.id());
                    super.answer(r, s, out);
                }
            });
        }
        for (int i = 0; i < 3; i++) {
            d.edge("edge-" + i, "zone-" + i);
        }
        d.startEdges();
        Engine.sleep(4_000);
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (Edge e : d.edges) {
            for (int i = 0; i < CLIENTS; i++) {
                Thread t = new Thread(() -> client(e, record, lost, ran));
                clients.add(t);
                t.start();
                Engine.sleep(70);
            }
        }
        Engine.sleep(2_000);
        for (Edge e : d.edges) {
            if (trouble) {
                e.signal("TERM");
                long end = record.nowMs() + 8_000;
                while (e.isAlive() && record.nowMs() < end) {
                    Engine.sleep(20);
                }
                record.line("machine %s has ended", e.name);
                e.kill();
                e.start();
                e.awaitReady(10_000);
            }
            Engine.sleep(2_000);
        }
        over = true;
        for (Thread t : clients) {
            t.join(5_000);
        }
        record.line("%d requests that were read were lost", lost.get());
        return lost.get() > 0;
    }

    private void client(Edge edge, Record record, AtomicInteger lost, Set<String> ran) {
        while (!over) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(edge.ip, edge.frontPort), 1_000);
                s.setSoTimeout(4_000);
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (!over && two(s, in, edge, record, lost, ran)) {
                    Engine.sleep(30);
                }
            } catch (IOException e) {
                Engine.sleep(200); // The machine is not there; the client connects again.
            }
        }
    }

    /** Sends two requests and reads both answers; returns whether the connection can be used again. */
    private static boolean two(
            Socket s, InputStream in, Edge edge, Record record, AtomicInteger lost, Set<String> ran) throws IOException {
        String first = Caller.newId();
        String second = Caller.newId();
        Engine.write(s.getOutputStream(), request(first) + request(second));
        long sentMs = record.nowMs();
        record.line("client sends %s and %s to %s", first, second, edge.name);
        Caller.Answer a = Caller.read(in);
        record.line("client gets %d for %s", a.status(), first);
        if (a.status() == 0) {
            return false; // The connection ended before anything was answered.
        }
        Caller.Answer b;
        try {
            b = Caller.read(in);
        } catch (IOException e) {
            b = new Caller.Answer(0, "", false);
        }
        long endMs = record.nowMs();
        record.line("client gets %d for %s", b.status(), second);
        if (!b.complete() && endMs - sentMs > LOSS_SLACK_MS) {
            lost.incrementAndGet();
            record.line("LOST: %s was read with %s by %s; the connection ended %d ms after its last byte was sent, run: %b",
                    second, first, edge.name, endMs - sentMs, ran.contains(second));
        }
        return b.complete();
    }

    private static String request(String id) {
        return "GET /plain/a HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nDragonflygw-Attempt-Id: " + id
                + "\r\nDragonflygw-Deadline-Ms: 2500\r\nAuthorization: Bearer key-a\r\n\r\n";
    }
}
