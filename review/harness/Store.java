import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's store: tables of rows, reads, feeds and transactions as PROTOCOL.md has them. Each machine
 * calls it at a door of its own, which can turn calls away or leave them unanswered. Can go back to an earlier copy.
 */
final class Store {
    enum Mode {
        OPEN,
        BUSY,
        SILENT
    }

    private static final long ANSWER_MS = 4;

    private record Row(String key, String data, long version, boolean deleted) {}

    record Copy(Map<String, TreeMap<String, Row>> tables, long version) {}

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final ExecutorService workers = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "store");
        t.setDaemon(true);
        return t;
    });
    private long version;
    private long era = 1;

    /** One address of the store. */
    final class Door {
        private final HttpServer server;
        volatile Mode mode = Mode.OPEN;
        /** Milliseconds that each answer takes beside the waiting time. */
        volatile long answerMs = ANSWER_MS;

        Door(String ip) throws IOException {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), 0), 128);
            server.setExecutor(workers);
            server.createContext("/", this::handle);
            server.start();
        }

        int port() {
            return server.getAddress().getPort();
        }

        private void handle(HttpExchange x) throws IOException {
            byte[] body;
            try (InputStream in = x.getRequestBody()) {
                body = in.readAllBytes();
            }
            try {
                Thread.sleep(answerMs);
                if (refuses(x)) {
                    return;
                }
                String path = x.getRequestURI().getPath();
                switch (path) {
                    case "/api/rows-get" -> answer(x, 200, list(parameter(x, "table"), parameter(x, "source")));
                    case "/api/rows-feed" -> feed(x);
                    case "/api/rows-tx" -> transact(x, new String(body, StandardCharsets.UTF_8));
                    default -> answer(x, 404, "{}");
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private boolean refuses(HttpExchange x) throws IOException, InterruptedException {
            if (mode == Mode.BUSY) {
                answer(x, 503, "{}");
                return true;
            }
            if (mode == Mode.SILENT) {
                Thread.sleep(30_000);
                x.close();
                return true;
            }
            return false;
        }

        private void feed(HttpExchange x) throws IOException, InterruptedException {
            String table = parameter(x, "table");
            long after = Long.parseLong(parameter(x, "after"));
            long endMs = System.nanoTime() / 1_000_000 + Math.min(30_000, Long.parseLong(parameter(x, "wait_ms")));
            String page = null;
            boolean gone;
            synchronized (Store.this) {
                long eraAtStart = era;
                while (true) {
                    gone = after > version || era != eraAtStart;
                    long left = endMs - System.nanoTime() / 1_000_000;
                    if (gone || hasChanges(table, after) || left <= 0) {
                        break;
                    }
                    Store.this.wait(left);
                }
                page = gone ? "{}" : page(changed(table, after));
            }
            if (refuses(x)) {
                return;
            }
            answer(x, gone ? 410 : 200, page);
        }

        private void transact(HttpExchange x, String body) throws IOException {
            answer(x, 200, apply(body));
        }

        private void answer(HttpExchange x, int status, String json) throws IOException {
            byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
            x.getResponseHeaders().set("Content-Type", "application/json");
            synchronized (Store.this) {
                x.getResponseHeaders().set("Store-Era", Long.toString(era));
            }
            x.sendResponseHeaders(status, bytes.length);
            x.getResponseBody().write(bytes);
            x.close();
        }

        void close() {
            server.stop(0);
        }
    }

    private static String parameter(HttpExchange x, String name) {
        String query = x.getRequestURI().getRawQuery();
        for (String pair : query == null ? new String[0] : query.split("&")) {
            if (pair.startsWith(name + "=")) {
                return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    private boolean hasChanges(String table, long after) {
        return !changed(table, after).isEmpty();
    }

    private List<Row> changed(String table, long after) {
        List<Row> rows = new ArrayList<>(tables.getOrDefault(table, new TreeMap<>()).values());
        rows.removeIf(r -> r.version <= after);
        rows.sort(Comparator.comparingLong(Row::version));
        return rows;
    }

    private synchronized String list(String table, String source) {
        List<Row> rows = new ArrayList<>(tables.getOrDefault(table, new TreeMap<>()).values());
        rows.removeIf(r -> r.deleted || r.key.compareTo(source) < 0);
        return page(rows);
    }

    private String page(List<Row> rows) {
        StringBuilder s = new StringBuilder("{\"rows\":[");
        for (Row r : rows) {
            s.append(s.charAt(s.length() - 1) == '[' ? "" : ",");
            s.append("{\"part\":\"\",\"key\":\"").append(r.key).append("\",\"data\":\"").append(r.data);
            s.append("\",\"row_version\":").append(r.version).append(r.deleted ? ",\"deleted\":true}" : "}");
        }
        s.append("],\"has_more\":false,\"row_version\":").append(version);
        return s.append(",\"now_ms\":").append(System.nanoTime() / 1_000_000).append("}").toString();
    }

    private synchronized String apply(String body) {
        Map<?, ?> request = (Map<?, ?>) Json.read(body);
        for (Object write : (List<?>) request.get("write")) {
            Map<?, ?> row = (Map<?, ?>) write;
            put((String) row.get("table"), (String) row.get("key"), (String) row.get("data"));
        }
        return page(List.of());
    }

    private long put(String table, String key, String base64) {
        version++;
        tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, new Row(key, base64, version, false));
        notifyAll();
        return version;
    }

    /** A write of the operator or of an engine; returns the version when it is acknowledged. */
    synchronized long write(String table, String key, String json) {
        return put(table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
    }

    synchronized void remove(String table, String key) {
        version++;
        tables.get(table).put(key, new Row(key, "", version, true));
        notifyAll();
    }

    synchronized Copy copy() {
        Map<String, TreeMap<String, Row>> copied = new HashMap<>();
        tables.forEach((t, rows) -> copied.put(t, new TreeMap<>(rows)));
        return new Copy(copied, version);
    }

    /** Comes back from a copy: what was written since is gone, and versions are given out again. */
    synchronized void restore(Copy copy) {
        tables.clear();
        copy.tables.forEach((t, rows) -> tables.put(t, new TreeMap<>(rows)));
        version = copy.version;
        era++;
        notifyAll();
    }

    void close() {
        workers.shutdownNow();
    }
}
