package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's store: tables with rows, reads, the feed and unconditional writes. */
final class Store {
    private record Row(String table, String key, String data, long version, boolean deleted) {}

    private final ServerSocket server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final long startNanos = System.nanoTime();
    private long version = 100;
    private volatile boolean silent;
    private long era = 1;
    private Map<String, TreeMap<String, Row>> copy;
    private long copyVersion;

    Store(String ip) throws IOException {
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 200);
        daemon("store", this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    static void daemon(String name, Runnable r) {
        Thread t = new Thread(r, name);
        t.setDaemon(true);
        t.start();
    }

    boolean isDown() {
        return silent;
    }

    /** Down: calls get no answer. When it ends, connections on which an answer was lost are closed. */
    void silent(boolean down) {
        silent = down;
        if (!down) {
            for (Socket s : open) {
                Engine.reset(s);
            }
        }
    }

    /** Makes a copy of all rows. */
    synchronized void copy() {
        copy = new HashMap<>();
        tables.forEach((name, rows) -> copy.put(name, new TreeMap<>(rows)));
        copyVersion = version;
    }

    /** Comes back from the copy: later writes are lost, versions go back, the era rises. Connections are closed. */
    synchronized void restore() {
        tables.clear();
        tables.putAll(copy);
        version = copyVersion;
        era++;
        notifyAll();
    }

    synchronized void put(String table, String key, String text) {
        version++;
        String data = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        rows(table).put(key, new Row(table, key, data, version, false));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        version++;
        rows(table).put(key, new Row(table, key, "", version, true));
        notifyAll();
    }

    private TreeMap<String, Row> rows(String table) {
        return tables.computeIfAbsent(table, t -> new TreeMap<>());
    }

    private void accept() {
        while (true) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                open.add(s);
                daemon("store-connection", () -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = s.getInputStream();
            OutputStream out = s.getOutputStream();
            while (true) {
                Http.Head h = Http.head(in);
                if (h == null) {
                    return;
                }
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                Http.body(h, in, (b, n) -> body.write(b, 0, n));
                if (silent) {
                    while (in.read() >= 0) {
                        // Nothing is answered on this connection any more.
                    }
                    return;
                }
                Thread.sleep(4);
                long before = era();
                String[] answer = answer(h.method(), h.target(), body.toString(StandardCharsets.UTF_8));
                if (before != era()) {
                    return; // The answer is lost with what it was made of.
                }
                if (silent) {
                    while (in.read() >= 0) {
                        // The answer is lost.
                    }
                    return;
                }
                byte[] json = answer[1].getBytes(StandardCharsets.UTF_8);
                out.write(Http.ascii("HTTP/1.1 " + answer[0] + "\r\nContent-Type: application/json\r\nStore-Era: " + answer[2] + "\r\n"
                        + "Content-Length: " + json.length + "\r\n\r\n"));
                out.write(json);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The connection ended.
        } finally {
            open.remove(s);
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> q = new HashMap<>();
        int at = target.indexOf('?');
        if (at >= 0) {
            for (String p : target.substring(at + 1).split("&")) {
                int eq = p.indexOf('=');
                q.put(p.substring(0, eq), URLDecoder.decode(p.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return q;
    }

    private synchronized long era() {
        return era;
    }

    private String[] answer(String method, String target, String body) throws InterruptedException {
        Map<String, String> q = query(target);
        if (target.startsWith("/api/rows-get")) {
            return new String[] {"200 OK", list(q.get("table"), q.getOrDefault("source", "")), Long.toString(era())};
        }
        if (target.startsWith("/api/rows-feed") && isAhead(Long.parseLong(q.get("after")))) {
            return new String[] {"410 Gone", "{}", Long.toString(era())};
        }
        if (target.startsWith("/api/rows-feed")) {
            return new String[] {
                "200 OK",
                feed(q.get("table"), Long.parseLong(q.get("after")), Long.parseLong(q.getOrDefault("wait_ms", "0"))),
                Long.toString(era())
            };
        }
        if (target.startsWith("/api/rows-tx") && method.equals("POST")) {
            write(body);
            return new String[] {"200 OK", "{" + tail() + "}", Long.toString(era())};
        }
        return new String[] {"404 Not Found", "{}", Long.toString(era())};
    }

    private synchronized String list(String table, String source) {
        List<Row> found = new ArrayList<>();
        for (Row r : rows(table).tailMap(source, true).values()) {
            if (!r.deleted()) {
                found.add(r);
            }
        }
        return "{\"rows\":" + json(found) + ",\"has_more\":false," + tail() + "}";
    }

    private synchronized boolean isAhead(long after) {
        return after > version;
    }

    private synchronized String feed(String table, long after, long waitMs) throws InterruptedException {
        long end = System.nanoTime() + Math.min(waitMs, 30_000) * 1_000_000;
        while (true) {
            List<Row> found = new ArrayList<>();
            for (Row r : rows(table).values()) {
                if (r.version() > after) {
                    found.add(r);
                }
            }
            found.sort((a, b) -> Long.compare(a.version(), b.version()));
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                return "{\"rows\":" + json(found) + "," + tail() + "}";
            }
            wait(left);
        }
    }

    private static final Pattern WRITE = Pattern.compile("\"write\":\\[\\{\"table\":\"([^\"]*)\",\"part\":\"\",\"key\":\"([^\"]*)\",\"data\":\"([^\"]*)\"");

    private synchronized void write(String body) {
        Matcher m = WRITE.matcher(body);
        if (m.find()) {
            version++;
            rows(m.group(1)).put(m.group(2), new Row(m.group(1), m.group(2), m.group(3), version, false));
            notifyAll();
        }
    }

    private String tail() {
        return "\"row_version\":" + version + ",\"now_ms\":" + (System.nanoTime() - startNanos) / 1_000_000;
    }

    private static String json(List<Row> rows) {
        StringBuilder b = new StringBuilder("[");
        for (Row r : rows) {
            b.append(b.length() > 1 ? "," : "")
                    .append("{\"table\":\"").append(r.table()).append("\",\"part\":\"\",\"key\":\"").append(r.key())
                    .append("\",\"data\":\"").append(r.data()).append("\",\"row_version\":").append(r.version())
                    .append(r.deleted() ? ",\"deleted\":true}" : "}");
        }
        return b.append("]").toString();
    }
}
