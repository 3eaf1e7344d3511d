package org.dragonflygw.standins.loopback;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;

/**
 * A fake of the platform on one loopback port. It serves the store, which holds the operator's configuration and the
 * list of endpoints, and two endpoints: one returns plain responses, the other streams events. It implements the
 * platform's protocol, so that the edge can run against it without any other process.
 */
public final class LoopbackPlatform implements AutoCloseable {
    /** Host name of all routes. */
    public static final String HOST = "loopback.example";

    /** API key of the only team. */
    public static final String KEY = "loopback-key";

    /** Path prefix of the streaming route. */
    public static final String STREAM_PREFIX = "/stream/";

    /** Path prefix of the plain route with idempotent requests. */
    public static final String PLAIN_PREFIX = "/plain/";

    /** Path prefix of the plain route with non-idempotent requests. */
    public static final String ONCE_PREFIX = "/once/";

    /** Table of the operator's configuration. */
    public static final String OPERATOR_TABLE = "op";

    /** Table of registered endpoints. */
    public static final String ENDPOINT_TABLE = "servers";

    private static final int EVENTS = 20;
    private static final int PLAIN_BYTES = 800;
    private static final int BACKLOG = 128;
    private static final long MAX_WAIT_MS = 500;
    private static final int STATUS_GONE = 410;

    private final LoopbackRowFormat rows = new LoopbackRowFormat();
    private final LoopbackStore store = new LoopbackStore();
    private final HttpServer server;
    private final ExecutorService workers = Executors.newCachedThreadPool(LoopbackPlatform::daemonThread);

    /** Starts on an ephemeral port with {@link #HOST} as host name. */
    public LoopbackPlatform() {
        this(0, HOST);
    }

    /**
     * Starts on the given port.
     *
     * @param port port; 0 for an ephemeral one
     * @param hostName host name of all routes
     */
    public LoopbackPlatform(int port, String hostName) {
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        } catch (IOException e) {
            throw new StandinException(StandinCode.PORT, "cannot open port " + port, e);
        }
        server.setExecutor(workers);
        server.createContext("/api/rows-get", this::handleList);
        server.createContext("/api/rows-feed", this::handleChanges);
        server.createContext("/api/rows-tx", this::handleWrite);
        server.createContext(STREAM_PREFIX, this::handleStream);
        server.createContext(PLAIN_PREFIX, this::handlePlain);
        server.createContext(ONCE_PREFIX, this::handlePlain);
        store.put(OPERATOR_TABLE, "config", new LoopbackConfiguration(1, hostName, List.of(KEY)).json());
        store.put(ENDPOINT_TABLE, "i-1", endpointEntry(LoopbackConfiguration.ENGINES));
        store.put(ENDPOINT_TABLE, "i-2", endpointEntry(LoopbackConfiguration.APPLICATIONS));
        server.start();
    }

    /** Returns the store; tests write to it in place of the operator or an endpoint. */
    public LoopbackStore store() {
        return store;
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "loopback-platform");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the port of the store and of all endpoints. */
    public int port() {
        return server.getAddress().getPort();
    }

    /**
     * Returns the headers of a caller's request.
     *
     * @param number number of the request, from which its attempt id and its prompt hash are derived
     * @param key API key of the caller
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

    private void handleList(HttpExchange exchange) throws IOException {
        answerRows(exchange, store.list(parameter(exchange, "table")));
    }

    private void handleChanges(HttpExchange exchange) throws IOException {
        long after = Long.parseLong(parameter(exchange, "after"));
        long waitMs = Math.min(MAX_WAIT_MS, Long.parseLong(parameter(exchange, "wait_ms")));
        Optional<StorePage> changes = store.changes(parameter(exchange, "table"), after, waitMs);
        if (changes.isPresent()) {
            answerRows(exchange, changes.get());
            return;
        }
        setEra(exchange, store.state());
        exchange.sendResponseHeaders(STATUS_GONE, -1);
        exchange.close();
    }

    private void handleWrite(HttpExchange exchange) throws IOException {
        rows.apply(exchange.getRequestBody().readAllBytes(), store);
        answerRows(exchange, store.state());
    }

    private void answerRows(HttpExchange exchange, StorePage page) throws IOException {
        setEra(exchange, page);
        answerJson(exchange, rows.encode(page));
    }

    private static void setEra(HttpExchange exchange, StorePage page) {
        exchange.getResponseHeaders().set("Store-Era", Long.toString(page.era()));
    }

    private static String parameter(HttpExchange exchange, String name) {
        for (String pair : exchange.getRequestURI().getQuery().split("&", -1)) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return "0";
    }

    private byte[] endpointEntry(String service) {
        ObjectNode entry = new ObjectMapper().createObjectNode();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + port());
        entry.put("zone", "zone-a");
        entry.put("slots", 64);
        entry.put("version", "v1");
        entry.put("state", "ready");
        entry.put("warmup_left_ms", 0);
        entry.put("born", 1);
        return entry.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void handleStream(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        addResponseHeaders(exchange);
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            for (int i = 1; i <= EVENTS; i++) {
                out.write(("id: " + i + "\ndata: token\n\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
    }

    private void handlePlain(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        addResponseHeaders(exchange);
        answer(exchange, new byte[PLAIN_BYTES]);
    }

    private static void addResponseHeaders(HttpExchange exchange) {
        List<String> attemptId = exchange.getRequestHeaders().getOrDefault("Dragonflygw-Attempt-Id", new ArrayList<>());
        exchange.getResponseHeaders().put("Dragonflygw-Attempt-Id", attemptId);
        exchange.getResponseHeaders().set("Dragonflygw-Response-Signature", "signature");
        exchange.getResponseHeaders().set("Dragonflygw-Backend-Load", "1,0,64");
    }

    private static void answerJson(HttpExchange exchange, byte[] body) throws IOException {
        exchange.getRequestBody().readAllBytes();
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        answer(exchange, body);
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
