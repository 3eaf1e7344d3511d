package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of an engine: a listener whose requests a handler answers. It can crash and start again at its address. */
final class Engine {
    final String id;
    final String service;
    final String zone;
    final String ip;
    final int slots;
    final Store store;
    volatile String version;
    volatile long born;
    volatile Handler handler;
    volatile int port;
    /** Size of the receive buffers of connections; 0 for that of the system. */
    static int receiveBytes;
    private volatile ServerSocket server;
    private volatile boolean up;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private int seq;

    interface Handler {
        void handle(Engine e, Call c) throws Exception;
    }

    /** One request on a connection. */
    static final class Call {
        final Http.Head head;
        final InputStream in;
        final OutputStream out;
        final Socket socket;
        boolean bodyRead;

        Call(Http.Head head, InputStream in, OutputStream out, Socket socket) {
            this.head = head;
            this.in = in;
            this.out = out;
            this.socket = socket;
        }

        String id() {
            return head.get("Dragonflygw-Attempt-Id", "");
        }

        byte[] readBody() throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            Http.body(head, in, (b, n) -> bytes.write(b, 0, n));
            bodyRead = true;
            return bytes.toByteArray();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** Fields of each answer of the engine to this request. */
        String signedFields() {
            return "Dragonflygw-Attempt-Id: " + id() + "\r\nDragonflygw-Response-Signature: 3e1b.07." + id() + "\r\n";
        }
    }

    Engine(String id, String service, String zone, String ip, int slots, String version, Store store, Handler handler)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.ip = ip;
        this.slots = slots;
        this.version = version;
        this.store = store;
        this.handler = handler;
        start(version);
        Store.daemon("heartbeat-" + id, this::heartbeats);
    }

    /** Starts the engine, again at the address that it had if it ran before. */
    void start(String softwareVersion) throws IOException {
        version = softwareVersion;
        born = System.currentTimeMillis();
        seq = 0;
        ServerSocket s = new ServerSocket();
        s.setReuseAddress(true);
        if (receiveBytes > 0) { // Before the listener is bound, as accepted connections inherit it.
            s.setReceiveBufferSize(receiveBytes);
        }
        s.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
        port = s.getLocalPort();
        server = s;
        up = true;
        Store.daemon("engine-" + id, () -> accept(s));
    }

    String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\"" + zone
                + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"warmup_left_ms\":0,\"born\":" + born + ",\"seq\":" + seq + "}";
    }

    volatile String state = "ready";

    /** Writes the entry: at once, and each heartbeat. The stand-in of the store takes it over as soon as it answers. */
    private void heartbeats() {
        try {
            while (true) {
                beat();
                Thread.sleep(1200);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    synchronized void beat() {
        if (up && !store.isDown()) {
            seq++;
            store.put("servers", id, entry(state));
        }
    }

    /** The process ends at once: its connections are reset, later ones refused. */
    void crash() {
        up = false;
        try {
            server.close();
        } catch (IOException e) {
            // It does not listen any more.
        }
        for (Socket s : open) {
            reset(s);
        }
    }

    static void reset(Socket s) {
        try {
            s.setSoLinger(true, 0);
            s.close();
        } catch (IOException e) {
            // It has ended already.
        }
    }

    private void accept(ServerSocket listening) {
        while (true) {
            try {
                Socket s = listening.accept();
                s.setTcpNoDelay(true);
                open.add(s);
                Store.daemon("engine-connection-" + id, () -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream(), 16384);
            OutputStream out = s.getOutputStream();
            while (true) {
                Http.Head h = Http.head(in);
                if (h == null) {
                    return;
                }
                Call c = new Call(h, in, out, s);
                if (!h.get("Dragonflygw-Expect-Instance", id).equals(id)) {
                    c.readBody();
                    c.write("HTTP/1.1 421 Misdirected Request\r\nDragonflygw-Attempt-Id: " + c.id()
                            + "\r\nDragonflygw-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                Case.current.detail("run: " + id + " (" + service + " " + version + ") runs " + c.id() + " " + h.method() + " " + h.target()
                        + (h.get("Last-Event-Id") == null ? "" : " after event " + h.get("Last-Event-Id")));
                handler.handle(this, c);
                if (!c.bodyRead) {
                    return;
                }
            }
        } catch (Exception e) {
            // The connection ended.
        } finally {
            open.remove(s);
        }
    }
}
