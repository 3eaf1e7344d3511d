import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines crash one after the other and start again under their ids at once, each with a newer version of its software. Clients
 * take up the streams that broke off.
 */
public final class UpgradedInPlace implements CaseMain.Case {
    private static final int ENGINES = 3;
    private static final int EVENTS = 58;
    private static final long EVENT_MS = 50;
    private static final int CLIENTS = 150;
    /** Number of times that each engine is upgraded. */
    private static final int ROUNDS = 4;

    private static final long DOWN_MS = 400;
    private static final long GAP_MS = 3_000;
    private static final int RETRIES = 3;
    private static final int DEADLINE_MS = 15_000;
    private volatile boolean over;

    /** Engine that writes a stream of events, each of which names the version that wrote it. */
    private static final class StreamEngine extends Engine {
        StreamEngine(String id, String zone, Store store, Record record, int port, String version) throws IOException {
            super(id, "krug-llm", zone, store, record, port, version);
        }

        @Override
        void answer(Request r, Socket socket, OutputStream out) throws IOException {
            int from = r.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(r.header("Last-Event-Id"));
            record.line("engine %s (%s) runs %s from event %d", id, version, r.id(), from + 1);
            write(out, head(r, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = from + 1; i <= EVENTS; i++) {
                sleep(EVENT_MS);
                if (!isOpen()) {
                    throw new IOException("crashed");
                }
                String event = "id: " + i + "\ndata: " + version + (i == EVENTS ? " last" : "") + "\n\n";
                write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            }
            write(out, "0\r\n\r\n");
        }
    }

    @Override
    public boolean run(Deployment d, Record record, boolean trouble) throws Exception {
        d.store.write("op", "config", Deployment.configuration(1, 0, Deployment.tenant("hall", "key-a")));
        List<StreamEngine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new StreamEngine("i-llm-" + i, "zone-" + i, d.store, record, 0, "1.0"));
        }
        for (int i = 0; i < 3; i++) {
            d.edge("edge-" + i, "zone-" + i);
        }
        d.startEdges();
        Engine.sleep(5_000);
        AtomicInteger mixed = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            Thread t = new Thread(() -> client(d, record, n, mixed));
            clients.add(t);
            t.start();
            Engine.sleep(15);
        }
        Engine.sleep(4_000);
        for (int i = 0; trouble && i < ROUNDS * ENGINES; i++) {
            StreamEngine old = engines.get(i % ENGINES);
            String version = "1." + (i / ENGINES + 1);
            int port = old.port();
            record.line("engine %s crashes", old.id);
            old.crash();
            Engine.sleep(DOWN_MS);
            engines.set(i % ENGINES, new StreamEngine(old.id, old.zone, d.store, record, port, version));
            record.line("engine %s has started again under its id with version %s and has registered", old.id, version);
            Engine.sleep(GAP_MS);
        }
        Engine.sleep(trouble ? 2_000 : 30_000);
        over = true;
        for (Thread t : clients) {
            t.join(20_000);
        }
        record.line("%d streams hold events of two versions", mixed.get());
        return mixed.get() > 2;
    }

    /** Asks for one stream after the other. */
    private void client(Deployment d, Record record, int n, AtomicInteger mixed) {
        int round = 0;
        while (!over) {
            Stream s = new Stream();
            s.follow(d, record, n + round++);
            if (s.versions.size() > 1) {
                mixed.incrementAndGet();
                record.line("ORDER: the stream of %s holds events of %s; %s, attempts %s", s.origin, s.versions,
                        s.ended ? "it ended as complete" : "it did not end", s.attempts);
            }
        }
    }

    /** One stream with the attempts that carried it. */
    private static final class Stream {
        private final Set<String> versions = new TreeSet<>();
        private final List<String> attempts = new ArrayList<>();
        private String origin = "";
        private int last;
        private boolean ended;

        void follow(Deployment d, Record record, int first) {
            long endMs = record.nowMs() + DEADLINE_MS;
            for (int i = 0; i <= RETRIES && !ended && record.nowMs() < endMs; i++) {
                Edge edge = d.edges.get((first + i) % d.edges.size());
                long waitMs = attempt(edge, record, endMs);
                Engine.sleep(waitMs);
            }
        }

        /** Makes one attempt; returns the time after which the next may follow. */
        private long attempt(Edge edge, Record record, long endMs) {
            String id = Caller.newId();
            attempts.add(id);
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(edge.ip, edge.frontPort), 1_000);
                s.setSoTimeout(4_000);
                long leftMs = endMs - record.nowMs();
                Engine.write(s.getOutputStream(), "POST /stream/a HTTP/1.1\r\nHost: " + Deployment.HOST
                        + "\r\nDragonflygw-Attempt-Id: " + id + "\r\nDragonflygw-Deadline-Ms: " + leftMs
                        + "\r\nAuthorization: Bearer key-a\r\nDragonflygw-Model: m\r\nDragonflygw-Token-Usage: 800,290\r\n"
                        + "Dragonflygw-Prefix-Hash: 5c1e07a2:119,91bd3f06:580,"
                        + Integer.toHexString(id.hashCode()) + ":101\r\n"
                        + (last == 0 ? "" : "Resumes: " + origin + "\r\nLast-Event-Id: " + last + "\r\n")
                        + "Content-Length: 4\r\n\r\nbody");
                if (last > 0) {
                    record.line("client takes up the stream of %s after event %d: attempt %s at %s", origin, last, id, edge.name);
                }
                return read(new BufferedInputStream(s.getInputStream()), id, record);
            } catch (IOException e) {
                return 0;
            }
        }

        private long read(InputStream in, String id, Record record) throws IOException {
            String status = Engine.readLine(in);
            if (status == null) {
                return 0;
            }
            long waitMs = 0;
            String line;
            while ((line = Engine.readLine(in)) != null && !line.isEmpty()) {
                if (line.toLowerCase(Locale.ROOT).startsWith("retry-after:")) {
                    waitMs = (long) (1_000 * Double.parseDouble(line.substring(12).strip()));
                }
            }
            if (!status.contains(" 200 ")) {
                record.line("client gets %s for %s, comes back after %d ms", status, id, waitMs);
                return waitMs;
            }
            int event = 0;
            while ((line = Engine.readLine(in)) != null) {
                if (line.startsWith("id: ")) {
                    event = Integer.parseInt(line.substring(4));
                } else if (line.startsWith("data: ")) {
                    if (last == 0) {
                        origin = id;
                    }
                    last = event;
                    versions.add(line.substring(6, 9));
                    ended = line.endsWith(" last");
                }
            }
            return 0;
        }
    }
}
