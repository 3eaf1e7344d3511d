import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment on loopback addresses: store, engines and edge processes. Ends all of them when it is closed. */
final class Deployment implements AutoCloseable {
    static final String HOST = "krug.example";
    final Record record;
    final Store store = new Store();
    final List<Edge> edges = new ArrayList<>();
    final List<Engine> engines = new ArrayList<>();
    private final List<Store.Door> doors = new ArrayList<>();
    private final Path folder;

    Deployment(Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    Edge edge(String name, String zone) throws IOException {
        Store.Door door = store.new Door("127.0.0.1");
        doors.add(door);
        Edge e = new Edge(name, Edge.freeAddress(40 + edges.size()), zone, door, folder, record);
        edges.add(e);
        return e;
    }

    void add(Engine e) {
        engines.add(e);
    }

    /** Configuration of the operator: one route of each kind, extra routes, and the tenants with their keys. */
    static String configuration(long version, int extraRoutes, String... tenants) {
        StringBuilder s = new StringBuilder("{\"version\":" + version + ",\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000},\"routes\":[");
        s.append(route("stream", "/stream/", "streaming", "krug-llm", true)).append(',');
        s.append(route("once", "/once/", "non_idempotent", "krug-app", false)).append(',');
        s.append(route("plain", "/plain/", "idempotent", "krug-app", false));
        for (int i = 0; i < extraRoutes; i++) {
            s.append(',').append(route("extra-" + i, "/extra-" + i + "/", "idempotent", "krug-app", false));
        }
        s.append("],\"services\":[{\"name\":\"krug-llm\",\"health_path\":\"/healthz\",\"max_connections\":360,"
                + "\"backend\":{\"slots\":64,\"kv_capacity\":603857,\"kv_bytes\":18432}},"
                + "{\"name\":\"krug-app\",\"health_path\":\"/healthz\",\"max_connections\":96}],\"tenants\":[");
        for (int i = 0; i < tenants.length; i++) {
            s.append(i == 0 ? "" : ",").append(tenants[i]);
        }
        return s.append("]}").toString();
    }

    static String tenant(String name, String... keys) {
        return "{\"name\":\"" + name + "\",\"api_keys\":["
                + (keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\"") + "]}";
    }

    private static String route(String name, String prefix, String kind, String service, boolean resume) {
        return String.format(
                "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"route_kind\":\"%s\",\"timeout_ms\":%d,"
                        + "\"slo_ms\":%d,\"priority\":1,\"service\":\"%s\",\"max_attempts\":2,\"anonymous\":false,"
                        + "\"session_affinity\":%b,\"stream_resume\":%b,\"itl_target_ms\":%d}",
                name, HOST, prefix, kind, resume ? 15000 : 2500, resume ? 400 : 193, service, resume, resume, resume ? 400 : 0);
    }

    void startEdges() throws IOException {
        for (Edge e : edges) {
            e.start();
        }
        for (Edge e : edges) {
            e.awaitReady(20_000);
        }
    }

    private void killAll() {
        for (Edge e : edges) {
            if (e.isAlive()) {
                e.kill();
            }
        }
    }

    @Override
    public void close() {
        killAll();
        doors.forEach(Store.Door::close);
        store.close();
    }
}
