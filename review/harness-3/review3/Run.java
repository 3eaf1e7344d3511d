package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** What all cases share: the record, the folder, addresses, and the processes to end. */
final class Run {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final long MAX_MS = 110_000;

    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long heartbeatMs = 1_200;
    private final long startNanos = System.nanoTime();
    private final List<String> record = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final List<Edge> edges = new CopyOnWriteArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final int net = 1 + new Random().nextInt(250);

    /** One case, which ends the run itself. */
    interface Play {
        void play(Run run) throws Exception;
    }

    private Run() throws IOException {
        folder = Files.createTempDirectory("review3");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> edges.forEach(Edge::end)));
    }

    /** Plays a case; a failure of the case itself, or of its time limit, is no result. */
    static void play(Play play) throws IOException {
        Run run = new Run();
        thread(() -> {
            sleep(MAX_MS);
            run.end(COULD_NOT_RUN, "could not run: it takes too long");
        });
        try {
            play.play(run);
        } catch (Throwable e) {
            e.printStackTrace();
            run.end(COULD_NOT_RUN, "could not run: " + e);
        }
    }

    /** Returns a loopback address of this run. */
    String ip(int number) {
        return "127.77." + net + "." + number;
    }

    String newId() {
        return String.format("%016x", 0x5c00000000000000L + ids.incrementAndGet());
    }

    synchronized void note(String text) {
        record.add(String.format("%8.3f  %s", (System.nanoTime() - startNanos) / 1e9, text));
    }

    synchronized void broken(String text) {
        broken.add(text);
        note("BROKEN: " + text);
    }

    synchronized int brokenCount() {
        return broken.size();
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    Edge edge(String name, String ip, String storeAddress) throws IOException {
        Edge edge = new Edge(this, name, ip, storeAddress);
        edges.add(edge);
        return edge;
    }

    /** Ends all processes, writes the record and ends this process. */
    synchronized void end(int code, String conclusion) {
        edges.forEach(Edge::end);
        note(conclusion);
        try {
            Files.writeString(Path.of(System.getProperty("record")), String.join("\n", record) + "\n");
            String keep = System.getProperty("keep");
            for (Edge e : edges) {
                if (keep != null) {
                    Files.copy(e.output(), Path.of(keep, e.name + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
            try (java.util.stream.Stream<Path> files = Files.list(folder)) {
                files.forEach(f -> f.toFile().delete());
            }
            Files.delete(folder);
        } catch (IOException e) {
            System.err.println(e);
        }
        System.out.println(conclusion);
        Runtime.getRuntime().halt(code);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void thread(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
    }

    /** The operator's configuration: one route of streams that may be resumed, and plain routes. */
    static Map<String, Object> configuration(long version, String... keys) {
        return Json.of(
                "version",
                version,
                "routes",
                List.of(
                        route("r-stream", "/pufi791/", "streaming", "huvo11a", 15_000, 400, 0, 2),
                        route("r-once", "/puxa403/", "non_idempotent", "wuno96b", 600, 100, 2, 1),
                        route("r-read", "/cufi504/", "idempotent", "wuno96b", 600, 100, 2, 2)),
                "services",
                List.of(
                        Json.of(
                                "name", "huvo11a", "health_path", "/healthz", "max_connections", 360, "protocol", "h1",
                                "tls", false, "backend",
                                Json.of("slots", 64, "kv_capacity", 603857, "kv_bytes", 18432)),
                        Json.of(
                                "name", "wuno96b", "health_path", "/healthz", "max_connections", 96, "protocol", "h1",
                                "tls", false)),
                "limits",
                Json.of(
                        "max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000,
                        "idle_timeout_ms", 15000),
                "tenants",
                List.of(Json.of("name", "hule930", "api_keys", List.of(keys), "priority", 1)));
    }

    private static Map<String, Object> route(
            String name, String prefix, String kind, String service, int timeoutMs, int sloMs, int priority, int attempts) {
        return Json.of(
                "name", name, "host", HOST, "path_prefix", prefix, "route_kind", kind, "timeout_ms", timeoutMs,
                "slo_ms", sloMs, "priority", priority, "service", service, "max_attempts", attempts, "anonymous",
                kind.equals("streaming"), "session_affinity", true, "stream_resume", kind.equals("streaming"), "itl_target_ms", 400);
    }
}
