package org.dragonflygw.edge.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dragonflygw.edge.process.HttpHead;

/** Test endpoint that records the requests it executes and can be made to fail. */
final class SoakEndpoint implements AutoCloseable {
    /** How the endpoint responds to requests. */
    enum Mode {
        /** Executes requests and responds. */
        HEALTHY,
        /** Executes requests and responds with status 500. */
        ERRORS,
        /** Executes requests and closes the connection without a response. */
        CRASHES,
        /** Rejects requests and asks for a time without any. */
        SHEDS,
        /** Executes requests, fails some, and sends the beginnings of second copies of its responses, at once or late. */
        STUTTERS,
        /** Executes requests and names a limit for all hosts together. */
        LIMITS
    }

    static final int EVENTS = 40;
    private static final int BACKLOG = 128;
    private static final long WORK_MS = 15;
    private static final long QUIET_MS = 1_500;
    private static final long EVENT_PAUSE_MS = 10;

    /** One in so many requests fails, and another is answered twice, while the endpoint stutters. */
    private static final int STUTTER_EACH = 3;

    /** Requests per second that an endpoint takes which names a limit. */
    private static final double LIMIT = 4;

    private final String id;
    private final String version;
    private final ServerSocket server;
    private final List<Execution> executions = new CopyOnWriteArrayList<>();
    private final Consumer<SoakEndpoint> endListener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

    /** Beginnings of second copies that are sent when the next request has arrived on the connection. */
    private final Map<OutputStream, String> lateCopies = new ConcurrentHashMap<>();

    private volatile Mode mode = Mode.HEALTHY;
    private volatile long silentUntilNanos = System.nanoTime();
    private volatile boolean leaving;

    /**
     * Creates an endpoint that accepts connections.
     *
     * @param version version of the endpoint's software
     * @param endListener called when a request has ended the endpoint, see {@link RequestKind#endsEndpoints}
     */
    SoakEndpoint(String id, String version, Consumer<SoakEndpoint> endListener) {
        this.id = id;
        this.version = version;
        this.endListener = endListener;
        try {
            server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "soak-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    String id() {
        return id;
    }

    String version() {
        return version;
    }

    int port() {
        return server.getLocalPort();
    }

    List<Execution> executions() {
        return List.copyOf(executions);
    }

    List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** From now on the endpoint says in all its responses that it is leaving. */
    void leave() {
        leaving = true;
    }

    /** From now on the endpoint sends nothing for a while, and then goes on with what it was doing. */
    void fallSilent(long millis) {
        silentUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void awaitEndOfSilence() throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(silentUntilNanos - System.nanoTime());
    }

    void mode(Mode next) {
        mode = next;
    }

    /** Returns the body of the response to a request that is not streamed. */
    static String answerTo(String requestId) {
        return "answer to " + requestId;
    }

    /** Returns one event of the response stream to a request, as a version of the software writes it. */
    static String event(String requestId, int number, String version) {
        return "id: " + number + "\ndata: " + requestId + " " + number + " " + version + "\n\n";
    }

    private void accept() {
        try {
            while (true) {
                Socket s = server.accept();
                start(() -> serve(s));
            }
        } catch (IOException e) {
            // The endpoint was closed.
        }
    }

    private void serve(Socket socket) {
        connections.add(socket);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (HttpHead head = HttpHead.read(in); head != null; head = HttpHead.read(in)) {
                String body = new String(in.readNBytes(head.contentLength()), StandardCharsets.ISO_8859_1);
                if (!answer(head, body, out)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The edge process closed the connection, or the endpoint has ended.
        } finally {
            connections.remove(socket);
        }
    }

    /** Writes a response, and at times the beginning of a second copy of it, at once or before the next response. */
    private void writeStuttering(String requestId, String response, OutputStream out) throws IOException {
        SplittableRandom random = new SplittableRandom(requestId.hashCode());
        write(out, lateCopies.getOrDefault(out, ""));
        lateCopies.remove(out);
        if (random.nextInt(STUTTER_EACH) == 0) {
            write(out, errorResponse(requestId));
            return;
        }
        write(out, response);
        if (random.nextInt(STUTTER_EACH) == 0) {
            String copy = response.substring(0, 1 + random.nextInt(response.length() - 1));
            if (random.nextBoolean()) {
                write(out, copy);
            } else {
                lateCopies.put(out, copy);
            }
        }
    }

    private String errorResponse(String requestId) {
        return "HTTP/1.1 500 Error\r\n" + signature(requestId) + "Content-Length: 0\r\n\r\n";
    }

    /** Closes the port and all connections at once. */
    private synchronized void end() throws IOException {
        if (server.isClosed()) {
            return;
        }
        server.close();
        for (Socket s : connections) {
            s.close();
        }
        endListener.accept(this);
    }

    private boolean answer(HttpHead head, String body, OutputStream out) throws IOException, InterruptedException {
        String requestId = head.field("dragonflygw-attempt-id");
        if (!head.field("dragonflygw-expect-instance").equals(id)) {
            write(
                    out,
                    "HTTP/1.1 421 Misdirected Request\r\n" + signature(requestId)
                            + "Dragonflygw-Not-Executed: true\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        boolean sheds = mode == Mode.SHEDS;
        double limit = mode == Mode.LIMITS ? LIMIT : Double.POSITIVE_INFINITY;
        arrivals.add(new Arrival(requestId, id, System.nanoTime(), sheds ? QUIET_MS : 0, limit, leaving));
        if (sheds) {
            write(
                    out,
                    "HTTP/1.1 503 Busy\r\n" + signature(requestId) + "Dragonflygw-Not-Executed: true\r\nRetry-After: "
                            + QUIET_MS / 1_000.0 + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        executions.add(new Execution(
                requestId,
                id,
                System.nanoTime(),
                head.target(),
                body,
                head.field("dragonflygw-tenant"),
                !head.field("authorization").isEmpty()));
        if (body.equals(RequestKind.CRASHING.body(requestId))) {
            end();
            return false;
        }
        Thread.sleep(WORK_MS);
        awaitEndOfSilence();
        if (head.field("dragonflygw-prefix-hash").contains(RequestKind.CRASHING_PROMPT_PART)) {
            write(out, streamHead(requestId));
            Thread.sleep(WORK_MS);
            end();
            return false;
        }
        if (mode == Mode.CRASHES) {
            return false;
        }
        if (mode == Mode.ERRORS) {
            write(out, errorResponse(requestId));
            return true;
        }
        if (head.target().startsWith("/stream/")) {
            stream(requestId, head.field("last-event-id"), out);
            return true;
        }
        String answer = answerTo(requestId);
        String response = "HTTP/1.1 200 OK\r\n" + signature(requestId) + "Content-Length: " + answer.length()
                + "\r\n\r\n" + answer;
        if (mode == Mode.STUTTERS) {
            writeStuttering(requestId, response, out);
        } else {
            write(out, response);
        }
        return true;
    }

    private void stream(String requestId, String after, OutputStream out) throws IOException, InterruptedException {
        write(out, streamHead(requestId));
        int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        for (int i = first; i <= EVENTS; i++) {
            String event = event(requestId, i, version);
            awaitEndOfSilence();
            write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(EVENT_PAUSE_MS);
        }
        write(out, "0\r\n\r\n");
    }

    private String streamHead(String requestId) {
        return "HTTP/1.1 200 OK\r\n" + signature(requestId)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    private String signature(String requestId) {
        return "Dragonflygw-Attempt-Id: " + requestId + "\r\nDragonflygw-Response-Signature: by-endpoint\r\n"
                + (mode == Mode.LIMITS ? "Server-Limit: " + LIMIT + "\r\n" : "")
                + (leaving ? "Server-Leaving: 1\r\n" : "");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
