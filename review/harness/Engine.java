import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Stand-in of an engine: registers itself in the store, runs each request it gets and records it. */
class Engine implements AutoCloseable {
    static final long HEARTBEAT_MS = 1_200;

    /** One request as it was received. */
    static final class Request {
        String method;
        String target;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String id() {
            return header("Dragonflygw-Attempt-Id");
        }
    }

    final String id;
    final String service;
    final String zone;
    final Record record;
    private final Store store;
    private final ServerSocket server;
    private final long bornMs = System.currentTimeMillis();
    final String version;
    private final java.util.Set<Socket> sockets = java.util.concurrent.ConcurrentHashMap.newKeySet();
    volatile String state = "ready";
    private volatile boolean open = true;
    private volatile boolean registered = true;
    private long seq;

    Engine(String id, String service, String zone, Store store, Record record) throws IOException {
        this(id, service, zone, store, record, 0, "1.0");
    }

    /** Starts at a given port, as an engine that starts again does. */
    Engine(String id, String service, String zone, Store store, Record record, int port, String version)
            throws IOException {
        this.version = version;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.record = record;
        this.server = new ServerSocket();
        server.setReuseAddress(true);
        heartbeatOnceIfKnown(port);
        server.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        thread("engine-" + id, this::accept);
        thread("heartbeat-" + id, this::heartbeats);
    }

    /** An engine that starts again registers before it accepts connections. */
    private void heartbeatOnceIfKnown(int port) {
        if (port != 0) {
            register(port);
        }
    }

    /** Ends at once, as in a crash: all connections are closed, and nothing is said to the store. */
    void crash() throws IOException {
        open = false;
        synchronized (this) {
            registered = false;
        }
        server.close();
        for (Socket s : sockets) {
            try {
                s.setSoLinger(true, 0);
                s.close();
            } catch (IOException e) {
                // The caller has closed it in the same moment.
            }
        }
    }

    boolean isOpen() {
        return open;
    }

    static void thread(String name, Runnable task) {
        Thread t = new Thread(task, name);
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return server.getLocalPort();
    }

    private void heartbeats() {
        while (open) {
            heartbeat();
            sleep(HEARTBEAT_MS);
        }
    }

    synchronized void heartbeat() {
        if (registered) {
            register(port());
        }
    }

    private synchronized void register(int port) {
        store.write(
                "servers",
                id,
                String.format(
                        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"%s\","
                                + "\"slots\":64,\"state\":\"%s\",\"warmup_left_ms\":0,\"seq\":%d,\"born\":%d}",
                        service, port, zone, version, state, ++seq, bornMs));
    }

    synchronized void deregister() {
        registered = false;
        store.remove("servers", id);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (open) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                sockets.add(s);
                thread("connection", () -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Request r;
            while ((r = read(in)) != null) {
                if (!r.header("Dragonflygw-Expect-Instance").isEmpty()
                        && !r.header("Dragonflygw-Expect-Instance").equals(id)) {
                    write(out, "HTTP/1.1 421 Misdirected Request\r\nDragonflygw-Not-Executed: 1\r\n"
                            + "Dragonflygw-Attempt-Id: " + r.id() + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                answer(r, socket, out);
            }
        } catch (IOException e) {
            // The caller closed or reset its connection.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Runs a request and answers it. */
    void answer(Request r, Socket socket, OutputStream out) throws IOException {
        record.line("engine %s (%s) runs %s, tenant '%s', target %s", id, version, r.id(), r.header("Dragonflygw-Tenant"), r.target);
        String body = "answer of " + id + " to " + r.id();
        write(out, head(r, 200) + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    String head(Request r, int status) {
        return "HTTP/1.1 " + status + " X\r\nDragonflygw-Attempt-Id: " + r.id()
                + "\r\nDragonflygw-Response-Signature: " + id + "." + r.id()
                + "\r\nDragonflygw-Backend-Load: 1,0,64\r\n";
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        int c;
        while ((c = in.read()) >= 0) {
            if (c == '\n') {
                return s.toString();
            }
            if (c != '\r') {
                s.append((char) c);
            }
        }
        return s.length() == 0 ? null : s.toString();
    }

    static Request read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Request r = new Request();
        r.method = words[0];
        r.target = words.length > 1 ? words[1] : "";
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            r.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        int length = r.header("Content-Length").isEmpty() ? 0 : Integer.parseInt(r.header("Content-Length"));
        r.body = in.readNBytes(length);
        return r;
    }

    @Override
    public void close() throws IOException {
        open = false;
        server.close();
    }
}
