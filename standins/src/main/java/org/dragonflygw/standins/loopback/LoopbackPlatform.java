package org.dragonflygw.standins.loopback;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;

/**
 * A small stand-in of the platform on one loopback port: its store with the operator's configuration and the list of
 * endpoints, and one endpoint of each kind, which answers plainly or with a stream of events. It speaks the platform's
 * protocol, so that the edge can be run against it without any other program.
 */
public final class LoopbackPlatform implements AutoCloseable {
    /** Host name of all routes. */
    public static final String HOST = "loopback.example";

    /** Key of the only team. */
    public static final String KEY = "loopback-key";

    /** Path prefix of the streaming route. */
    public static final String STREAM_PREFIX = "/stream/";

    /** Path prefix of the plain route. */
    public static final String PLAIN_PREFIX = "/plain/";

    private static final String ENGINES = "engines";
    private static final String APPLICATIONS = "applications";
    private static final int EVENTS = 20;
    private static final int PLAIN_BYTES = 800;
    private static final int BACKLOG = 128;
    private static final long MAX_WAIT_MS = 500;

    private final ObjectMapper mapper = new ObjectMapper();
    private final HttpServer server;
    private final ExecutorService workers = Executors.newCachedThreadPool(LoopbackPlatform::daemonThread);

    /** Opens a port. */
    public LoopbackPlatform() {
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        } catch (IOException e) {
            throw new StandinException(StandinCode.PORT, "open failed", e);
        }
        server.setExecutor(workers);
        server.createContext("/api/rows-get", this::list);
        server.createContext("/api/rows-feed", this::changes);
        server.createContext("/api/rows-tx", e -> answerJson(e, page(List.of())));
        server.createContext(STREAM_PREFIX, this::stream);
        server.createContext(PLAIN_PREFIX, this::plain);
        server.start();
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "loopback-platform");
        thread.setDaemon(true);
        return thread;
    }

    /** The port of the store and of all endpoints. */
    public int port() {
        return server.getAddress().getPort();
    }

    /**
     * Header fields of a caller's request.
     *
     * @param number makes the request's id and the subject of its prompt
     * @param key the caller's key
     */
    public static Map<String, String> callerHeaders(int number, String key) {
        return Map.of(
                "Dragonflygw-Attempt-Id",
                Integer.toHexString(number),
                "Dragonflygw-Deadline-Ms",
                "5000",
                "Authorization",
                "Bearer " + key,
                "Dragonflygw-Token-Usage",
                "1460,80",
                "Dragonflygw-Prefix-Hash",
                "5c1e07a2:800," + Integer.toHexString(number % 5) + ":410,1:250");
    }

    private void list(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        if (query.contains("table=op&")) {
            answerJson(exchange, page(List.of(row("config", configuration()))));
        } else if (query.contains("table=servers&")) {
            answerJson(exchange, page(List.of(row("i-1", entry(ENGINES)), row("i-2", entry(APPLICATIONS)))));
        } else {
            answerJson(exchange, page(List.of()));
        }
    }

    private void changes(HttpExchange exchange) throws IOException {
        try {
            Thread.sleep(MAX_WAIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        answerJson(exchange, page(List.of()));
    }

    private ObjectNode page(List<ObjectNode> rows) {
        ObjectNode page = mapper.createObjectNode();
        ArrayNode list = page.putArray("rows");
        rows.forEach(list::add);
        page.put("has_more", false);
        page.put("row_version", 10);
        page.put("now_ms", 1_000);
        return page;
    }

    private ObjectNode row(String key, ObjectNode data) {
        ObjectNode row = mapper.createObjectNode();
        row.put("table", "t");
        row.put("part", "");
        row.put("key", key);
        row.put("data", Base64.getEncoder().encodeToString(data.toString().getBytes(StandardCharsets.UTF_8)));
        row.put("row_version", 5);
        return row;
    }

    private ObjectNode entry(String service) {
        ObjectNode entry = mapper.createObjectNode();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + port());
        entry.put("zone", "zone-a");
        entry.put("slots", 64);
        entry.put("state", "ready");
        entry.put("warmup_left_ms", 0);
        entry.put("born", 1);
        return entry;
    }

    private ObjectNode configuration() {
        ObjectNode root = mapper.createObjectNode();
        root.put("version", 1);
        ArrayNode routes = root.putArray("routes");
        routes.add(route("stream", STREAM_PREFIX, "streaming", ENGINES));
        routes.add(route("plain", PLAIN_PREFIX, "idempotent", APPLICATIONS));
        ArrayNode services = root.putArray("services");
        ObjectNode engines = services.addObject();
        engines.put("name", ENGINES);
        engines.putObject("backend")
                .put("slots", 64)
                .put("kv_capacity", 600_000)
                .put("kv_bytes", 18_432);
        services.addObject().put("name", APPLICATIONS).put("max_connections", 96);
        ObjectNode team = root.putArray("tenants").addObject();
        team.put("name", "team-1");
        team.putArray("api_keys").add(KEY);
        return root;
    }

    private ObjectNode route(String name, String prefix, String kind, String service) {
        ObjectNode route = mapper.createObjectNode();
        route.put("name", name);
        route.put("host", HOST);
        route.put("path_prefix", prefix);
        route.put("route_kind", kind);
        route.put("timeout_ms", 10_000);
        route.put("slo_ms", 1_000);
        route.put("priority", 1);
        route.put("service", service);
        route.put("max_attempts", 2);
        route.put("stream_resume", true);
        route.put("itl_target_ms", 400);
        return route;
    }

    private void stream(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        sign(exchange);
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            for (int i = 1; i <= EVENTS; i++) {
                out.write(("id: " + i + "\ndata: token\n\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
    }

    private void plain(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        sign(exchange);
        answer(exchange, new byte[PLAIN_BYTES]);
    }

    private static void sign(HttpExchange exchange) {
        List<String> id = exchange.getRequestHeaders().getOrDefault("Dragonflygw-Attempt-Id", new ArrayList<>());
        exchange.getResponseHeaders().put("Dragonflygw-Attempt-Id", id);
        exchange.getResponseHeaders().set("Dragonflygw-Response-Signature", "signature");
        exchange.getResponseHeaders().set("Dragonflygw-Backend-Load", "1,0,64");
    }

    private void answerJson(HttpExchange exchange, ObjectNode body) {
        try {
            exchange.getRequestBody().readAllBytes();
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            answer(exchange, mapper.writeValueAsBytes(body));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void answer(HttpExchange exchange, byte[] body) throws IOException {
        exchange.sendResponseHeaders(200, body.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(body);
        }
    }

    @Override
    public void close() {
        server.stop(0);
        workers.shutdownNow();
    }
}
