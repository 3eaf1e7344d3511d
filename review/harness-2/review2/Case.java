package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/** What a case needs: a small deployment on loopback addresses, and a record. Exits with 0, 1 or 2 like the case's script. */
abstract class Case {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long startNanos = System.nanoTime();
    final List<Edge> edges = new ArrayList<>();
    final String net = "127." + (40 + new Random().nextInt(180)) + "." + (1 + new Random().nextInt(250)) + ".";
    Path root;
    Path folder;
    Store store;
    static volatile Case current;
    private PrintWriter record;
    private Path temporary;
    private int version = 1;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Whether the hosts have the settings of demands/cordillera-giros-grown.toml, else those of sites/krug-gw.toml. */
    boolean isCordillera() {
        return false;
    }

    static void run(Case c, String[] args) {
        int exit = 2;
        try {
            c.folder = Path.of(args[0]).toAbsolutePath();
            c.root = c.folder.getParent().getParent();
            current = c;
            c.record = new PrintWriter(Files.newBufferedWriter(c.folder.resolve("record.txt")));
            c.temporary = Files.createTempDirectory("review2-");
            Thread limit = new Thread(() -> c.onLimit(), "limit");
            limit.setDaemon(true);
            limit.start();
            Runtime.getRuntime().addShutdownHook(new Thread(c::end));
            c.store = new Store(c.net + "2");
            c.note("trouble: " + (c.trouble ? "yes" : "no"));
            exit = c.play() ? 0 : 1;
            c.note(exit == 0 ? "the rule held" : "the rule was broken");
        } catch (Throwable e) {
            c.note("the case could not run: " + e);
            e.printStackTrace();
        }
        Runtime.getRuntime().exit(exit);
    }

    private void onLimit() {
        try {
            Thread.sleep(115_000);
        } catch (InterruptedException e) {
            return;
        }
        note("the case could not run: it took too long");
        Runtime.getRuntime().exit(2);
    }

    private void end() {
        edges.forEach(Edge::kill);
        record.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + temporary);
            return;
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // A temporary folder is left.
        }
    }

    synchronized void note(String line) {
        String text = String.format("%7.3f  %s", (System.nanoTime() - startNanos) / 1e9, line);
        System.out.println(text);
        record.println(text);
        record.flush();
    }

    /** Writes a line to the record only. */
    synchronized void detail(String line) {
        record.println(String.format("%7.3f  %s", (System.nanoTime() - startNanos) / 1e9, line));
        record.flush();
    }

    Edge edge(String name, String zone, int number) throws IOException {
        Edge e = new Edge(root, temporary, name, zone, net + number, store);
        edges.add(e);
        return e;
    }

    /** Writes a configuration with routes like those of sites/krug-gw.toml. */
    void config() {
        store.put("op", "config", "{\"version\":" + (version += 3) + ",\"routes\":["
                + "{\"name\":\"r-report\",\"host\":\"ficu95.example\",\"path_prefix\":\"/lohu930/\",\"route_kind\":\"streaming\",\"timeout_ms\":15000,\"slo_ms\":800,\"priority\":1,\"service\":\"huvo11a\",\"max_attempts\":1,\"anonymous\":false,\"session_affinity\":true,\"stream_resume\":false,\"itl_target_ms\":400},"
                + "{\"name\":\"r-query\",\"host\":\"ficu95.example\",\"path_prefix\":\"/pufi791/\",\"route_kind\":\"streaming\",\"timeout_ms\":15000,\"slo_ms\":400,\"priority\":0,\"service\":\"huvo11a\",\"max_attempts\":2,\"anonymous\":false,\"session_affinity\":true,\"stream_resume\":true,\"itl_target_ms\":400},"
                + "{\"name\":\"r-book\",\"host\":\"ficu95.example\",\"path_prefix\":\"/puxa403/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":10000,\"slo_ms\":121,\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":1,\"anonymous\":false},"
                + "{\"name\":\"r-status\",\"host\":\"ficu95.example\",\"path_prefix\":\"/cufi504/\",\"route_kind\":\"idempotent\",\"timeout_ms\":10000,\"slo_ms\":121,\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":2,\"anonymous\":false}],"
                + "\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"backend\":{\"slots\":64,\"kv_capacity\":603857,\"kv_bytes\":18432,\"link_mbps\":370000.0,\"model_list\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + Client.KEY + "\"],\"priority\":1}]}");
    }

    /**
     * An engine that streams numbered events, one each gap, and goes on after Last-Event-Id. Each event names the engine, the
     * version of its software and the number.
     */
    static Engine.Handler streaming(int events, long gapMs, long firstMs) {
        return (e, c) -> {
            c.readBody();
            String version = e.version;
            int from = Integer.parseInt(c.head.get("Last-Event-Id", "0"));
            Thread.sleep(firstMs);
            c.write("HTTP/1.1 200 OK\r\n" + c.signedFields()
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            int last = c.head.get("X-Short") == null ? events : Math.min(events, 5);
            for (int i = from + 1; i <= last; i++) {
                String event = "id: " + i + "\ndata: " + e.id + " " + version + " piece " + i + " of " + last + "\n\n";
                c.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                Thread.sleep(gapMs);
            }
            c.write("0\r\n\r\n");
        };
    }
}
