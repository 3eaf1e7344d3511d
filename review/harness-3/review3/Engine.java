package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A language model engine that streams events. It registers in the store at its start, then at each heartbeat, and may
 * start again under its id with another version of its software.
 */
final class Engine extends Listener {
    private static final int SLOTS = 64;

    private final String id;
    private final String service;
    private final Store store;
    private final Run run;
    private final long gapMs;

    /** Time after which it closes an idle connection, in seconds; 0 for none. */
    private final int idleS;

    private final AtomicInteger running = new AtomicInteger();
    private volatile String version;
    private volatile long bornMs;
    private volatile int starts;
    private volatile boolean up;
    private volatile boolean draining;
    private int seq;

    Engine(Run run, Store store, String ip, String id, String service, long gapMs, int idleS) {
        super(ip);
        this.run = run;
        this.store = store;
        this.id = id;
        this.service = service;
        this.gapMs = gapMs;
        this.idleS = idleS;
    }

    /** Starts, with a version of its software; registers at once if the store is up. */
    void start(String newVersion) throws IOException {
        version = newVersion;
        bornMs = System.currentTimeMillis();
        seq = 0;
        up = true;
        draining = false;
        int start = ++starts;
        listen();
        run.note("engine " + id + " starts with software " + version + " at " + address());
        Run.thread(() -> heartbeats(start));
    }

    void kill() {
        up = false;
        crash();
        run.note("engine " + id + " (software " + version + ") crashes");
    }

    /** Reports that it is draining; it goes on serving. */
    void drain() {
        draining = true;
        write();
        run.note("engine " + id + " (software " + version + ") drains");
    }

    /** Ends after it has drained. */
    void exit() {
        up = false;
        crash();
        run.note("engine " + id + " (software " + version + ") exits with " + running.get() + " requests");
    }

    private boolean write() {
        seq++;
        return store.put(
                "servers",
                id,
                Json.of(
                        "service", service, "address", address(), "zone", "zone-a", "version", version, "slots",
                        SLOTS, "state", draining ? "draining" : "ready", "warmup_left_ms", 0, "phase", "unified",
                        "seq", seq, "born", bornMs));
    }

    private void heartbeats(int start) {
        boolean registered = false;
        while (up && starts == start) {
            boolean written = write();
            if (written && !registered) {
                registered = true;
                run.note("engine " + id + " has registered with software " + version);
            }
            Run.sleep(run.heartbeatMs);
        }
    }

    @Override
    void serve(Socket connection, InputStream in) throws IOException, InterruptedException {
        OutputStream out = connection.getOutputStream();
        connection.setSoTimeout(idleS * 1_000);
        Http request;
        while ((request = Http.readRequest(in)) != null) {
            String path = request.target();
            if (path.startsWith("/healthz")) {
                plain(out, "200 OK", "Dragonflygw-Instance-Id: " + id + "\r\n", "ok");
            } else if (path.startsWith("/api/report")) {
                plain(out, "200 OK", "Content-Type: application/json\r\n", Json.write(report()));
            } else if (!request.field("dragonflygw-expect-instance").isEmpty()
                    && !request.field("dragonflygw-expect-instance").equals(id)) {
                plain(out, "421 Misdirected Request", "Dragonflygw-Instance-Id: " + id + "\r\n", "");
            } else if (running.get() >= SLOTS) {
                plain(out, "503 Service Unavailable", "Dragonflygw-Not-Executed: 1\r\n" + echo(request), "");
            } else {
                running.incrementAndGet();
                try {
                    stream(request, in, out);
                } finally {
                    running.decrementAndGet();
                }
            }
        }
    }

    private Map<String, Object> report() {
        return Json.of("phase", "unified", "busy", false, "seq", 0, "queued", 0, "active", running.get(), "born", bornMs);
    }

    private static String echo(Http request) {
        return "Dragonflygw-Attempt-Id: " + request.field("dragonflygw-attempt-id") + "\r\n";
    }

    private static void plain(OutputStream out, String status, String fields, String body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body));
        out.flush();
    }

    private void stream(Http request, InputStream in, OutputStream out) throws IOException, InterruptedException {
        String attempt = request.field("dragonflygw-attempt-id");
        String last = request.field("last-event-id");
        int events = Integer.parseInt(request.field("dragonflygw-token-usage").split(",")[1].trim()) / 5;
        int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        String software = version;
        run.note("engine " + id + " (software " + software + ") runs " + attempt + " from event " + from);
        out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + echo(request) + "Dragonflygw-Response-Signature: s." + id
                + "\r\nDragonflygw-Backend-Load: " + running.get() + ",0," + SLOTS
                + (idleS > 0 ? "\r\nKeep-Alive: timeout=" + idleS : "")
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int i = from; i <= events; i++) {
            Thread.sleep(gapMs);
            byte[] event = Http.bytes("id: " + i + "\ndata: " + software + " " + id + "\n\n");
            out.write(Http.bytes(Integer.toHexString(event.length) + "\r\n"));
            out.write(event);
            out.write(Http.bytes("\r\n"));
            out.flush();
        }
        out.write(Http.bytes("0\r\n\r\n"));
        out.flush();
    }
}
