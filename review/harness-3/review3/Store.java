package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: rows in tables, transactions with conditions, and feeds of changes. */
final class Store extends Listener {
    /** A fault of the store. */
    enum Fault {
        NONE,
        /** Calls are not answered, and nothing is done. */
        SILENT,
        /** Calls get 503, and nothing is done. */
        BUSY
    }

    private static final long ANSWER_MS = 4;

    private static final class Row {
        final String table;
        final String part;
        final String key;
        final String data;
        final long version;
        final boolean deleted;

        Row(String table, String part, String key, String data, long version, boolean deleted) {
            this.table = table;
            this.part = part;
            this.key = key;
            this.data = data;
            this.version = version;
            this.deleted = deleted;
        }

        Map<String, Object> json() {
            Map<String, Object> json =
                    Json.of("table", table, "part", part, "key", key, "data", data, "row_version", version);
            if (deleted) {
                json.put("deleted", true);
            }
            return json;
        }
    }

    private final Map<String, Row> rows = new TreeMap<>();
    private long version = 100;
    private long era = 1;
    private Map<String, Row> copy;
    private long copyVersion;
    private volatile Fault fault = Fault.NONE;

    Store(String ip) {
        super(ip);
    }

    synchronized void fault(Fault f) {
        fault = f;
        notifyAll();
    }

    boolean isUp() {
        return fault == Fault.NONE;
    }

    /** Writes a row for the operator or an engine; returns whether the store took it. */
    synchronized boolean put(String table, String key, Map<String, Object> data) {
        if (!isUp()) {
            return false;
        }
        version++;
        write(table, "", key, encode(Json.write(data)), false);
        notifyAll();
        return true;
    }

    synchronized boolean remove(String table, String key) {
        if (!isUp()) {
            return false;
        }
        version++;
        write(table, "", key, "", true);
        notifyAll();
        return true;
    }

    /** Copies the present state, for {@link #restore}. */
    synchronized void copy() {
        copy = new TreeMap<>(rows);
        copyVersion = version;
    }

    /** Comes back from the copy: what was written since is gone, and a new era begins. */
    synchronized void restore() {
        rows.clear();
        rows.putAll(copy);
        version = copyVersion;
        era++;
        fault = Fault.NONE;
        notifyAll();
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private void write(String table, String part, String key, String data, boolean deleted) {
        rows.put(id(table, part, key), new Row(table, part, key, data, version, deleted));
    }

    private static String id(String table, String part, String key) {
        return table + '\u0001' + part + '\u0001' + key;
    }

    @Override
    void serve(Socket connection, InputStream in) throws IOException, InterruptedException {
        OutputStream out = connection.getOutputStream();
        Http call;
        while ((call = Http.readRequest(in)) != null) {
            Thread.sleep(ANSWER_MS);
            String answer = answer(call);
            if (answer == null) {
                while (true) {
                    Thread.sleep(60_000); // A connection on which a response is lost delivers nothing further.
                }
            }
            int status = Integer.parseInt(answer.substring(0, 3));
            byte[] body = answer.substring(3).getBytes(StandardCharsets.UTF_8);
            out.write(Http.bytes("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nStore-Era: " + era
                    + "\r\nContent-Length: " + body.length + "\r\n\r\n"));
            out.write(body);
            out.flush();
        }
    }

    /** Returns the status and the body of an answer; null if there is none. */
    private synchronized String answer(Http call) throws InterruptedException {
        if (fault == Fault.SILENT) {
            return null;
        }
        if (fault == Fault.BUSY) {
            return "503{}";
        }
        String path = call.target().split("\\?")[0];
        Map<String, String> query = query(call.target());
        switch (path) {
            case "/api/rows-get":
                return get(query);
            case "/api/rows-feed":
                return feed(query);
            case "/api/rows-tx":
                return transaction(Json.object(new String(call.body, StandardCharsets.UTF_8)));
            default:
                return "404{}";
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new TreeMap<>();
        int at = target.indexOf('?');
        if (at >= 0) {
            for (String pair : target.substring(at + 1).split("&")) {
                String[] p = pair.split("=", 2);
                query.put(p[0], URLDecoder.decode(p.length > 1 ? p[1] : "", StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private String page(List<Object> list) {
        return "200"
                + Json.write(Json.of(
                        "rows",
                        list,
                        "has_more",
                        false,
                        "row_version",
                        version,
                        "now_ms",
                        System.nanoTime() / 1_000_000));
    }

    private String get(Map<String, String> q) {
        List<Object> list = new ArrayList<>();
        String from = q.getOrDefault("source", "");
        for (Row r : rows.values()) {
            if (r.table.equals(q.get("table"))
                    && r.part.equals(q.getOrDefault("part", ""))
                    && !r.deleted
                    && r.key.compareTo(from) >= 0) {
                list.add(r.json());
            }
        }
        return page(list);
    }

    private String feed(Map<String, String> q) throws InterruptedException {
        long after = Long.parseLong(q.get("after"));
        long asked = era;
        long endNanos = System.nanoTime() + Long.parseLong(q.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Row r : rows.values()) {
                if (r.table.equals(q.get("table")) && r.version > after) {
                    changed.add(r);
                }
            }
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (fault != Fault.NONE) {
                return fault == Fault.SILENT ? null : "503{}";
            }
            if (after > version || asked != era) {
                return "410{}";
            }
            if (!changed.isEmpty() || leftMs <= 0) {
                changed.sort((a, b) -> Long.compare(a.version, b.version));
                List<Object> list = new ArrayList<>();
                changed.forEach(r -> list.add(r.json()));
                return page(list);
            }
            wait(leftMs);
        }
    }

    @SuppressWarnings("unchecked")
    private String transaction(Map<String, Object> tx) {
        List<Object> current = new ArrayList<>();
        boolean met = true;
        for (Object o : (List<Object>) tx.getOrDefault("expected", List.of())) {
            Map<String, Object> e = (Map<String, Object>) o;
            Row r = rows.get(id(e));
            long has = r == null || r.deleted ? 0 : r.version;
            met &= has == ((Number) e.get("row_version")).longValue();
            if (has > 0) {
                current.add(r.json());
            }
        }
        if (!met) {
            return "412" + Json.write(Json.of("rows", current, "row_version", version));
        }
        version++;
        for (Object o : (List<Object>) tx.getOrDefault("write", List.of())) {
            Map<String, Object> e = (Map<String, Object>) o;
            write((String) e.get("table"), part(e), (String) e.get("key"), (String) e.get("data"), false);
        }
        for (Object o : (List<Object>) tx.getOrDefault("remove", List.of())) {
            Map<String, Object> e = (Map<String, Object>) o;
            write((String) e.get("table"), part(e), (String) e.get("key"), "", true);
        }
        notifyAll();
        return "200" + Json.write(Json.of("row_version", version, "now_ms", System.nanoTime() / 1_000_000));
    }

    private static String part(Map<String, Object> e) {
        return (String) e.getOrDefault("part", "");
    }

    private static String id(Map<String, Object> e) {
        return id((String) e.get("table"), part(e), (String) e.get("key"));
    }
}
