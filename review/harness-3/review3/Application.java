package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** An engine with plain answers. It records what it runs. */
final class Application extends Listener {
    private static final int SLOTS = 6;
    private static final long WORK_MS = 15;

    /** The times, in seconds of the run, at which requests ran, by their ids. */
    final Map<String, Double> runs = new ConcurrentHashMap<>();

    private final Run run;
    private final Store store;
    private final String id;
    private final long bornMs = System.currentTimeMillis();

    Application(Run run, Store store, String ip, String id) throws IOException {
        super(ip);
        this.run = run;
        this.store = store;
        this.id = id;
        listen();
        Run.thread(this::heartbeats);
    }

    private void heartbeats() {
        for (int seq = 1; ; seq++) {
            store.put(
                    "servers",
                    id,
                    Json.of(
                            "service", "wuno96b", "address", address(), "zone", "zone-a", "version", "v1", "slots",
                            SLOTS, "state", "ready", "warmup_left_ms", 0, "seq", seq, "born", bornMs));
            Run.sleep(run.heartbeatMs);
        }
    }

    @Override
    void serve(Socket connection, InputStream in) throws IOException, InterruptedException {
        OutputStream out = connection.getOutputStream();
        Http request;
        while ((request = Http.readRequest(in)) != null) {
            String attempt = request.field("dragonflygw-attempt-id");
            if (request.target().startsWith("/healthz")) {
                answer(out, "200 OK", "Dragonflygw-Instance-Id: " + id + "\r\n", "ok");
            } else if (!request.field("dragonflygw-expect-instance").equals(id)) {
                answer(out, "421 Misdirected Request", "Dragonflygw-Instance-Id: " + id + "\r\n", "");
            } else {
                runs.put(attempt, run.seconds());
                run.note("engine " + id + " runs " + attempt + " of tenant " + request.field("dragonflygw-tenant"));
                Thread.sleep(WORK_MS);
                answer(
                        out,
                        "200 OK",
                        "Dragonflygw-Attempt-Id: " + attempt + "\r\nDragonflygw-Response-Signature: s." + id + "\r\n",
                        "x".repeat(800));
            }
        }
    }

    private static void answer(OutputStream out, String status, String fields, String body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body));
        out.flush();
    }
}
