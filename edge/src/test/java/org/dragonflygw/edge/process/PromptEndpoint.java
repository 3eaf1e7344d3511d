package org.dragonflygw.edge.process;

import java.io.BufferedInputStream;
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
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Stand-in of a model engine that streams answers and ends, in a given way, when it begins to answer some prompts. */
final class PromptEndpoint implements AutoCloseable {
    private static final int BACKLOG = 256;
    private static final int EVENTS = 10;
    private static final int EVENT_PAUSE_MS = 100;

    private final String id;
    private final EndpointEnding ending;
    private final int firstWaitMs;
    private final Predicate<HttpHead> ends;
    private final Consumer<PromptEndpoint> endListener;
    private final ServerSocket server;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean ended;

    /**
     * Creates an endpoint that accepts connections.
     *
     * @param port port; 0 for a free one
     * @param firstWaitMs time from the arrival of a request to the head of its response, in milliseconds
     * @param ends which requests end the endpoint; asked once for each request that arrives
     * @param endListener called once when the endpoint has ended
     */
    PromptEndpoint(
            String id,
            int port,
            EndpointEnding ending,
            int firstWaitMs,
            Predicate<HttpHead> ends,
            Consumer<PromptEndpoint> endListener)
            throws IOException {
        this.id = id;
        this.ending = ending;
        this.firstWaitMs = firstWaitMs;
        this.ends = ends;
        this.endListener = endListener;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "prompt-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    String id() {
        return id;
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                connections.add(s);
                start(() -> serve(s));
            }
        } catch (IOException e) {
            // The endpoint has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (HttpHead head = HttpHead.read(in); head != null; head = HttpHead.read(in)) {
                in.readNBytes(head.contentLength());
                answer(head, out);
            }
        } catch (IOException e) {
            // The edge process closed the connection, or the endpoint has ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(HttpHead head, OutputStream out) throws IOException, InterruptedException {
        if (ended) {
            awaitClose();
        }
        String requestId = head.field("dragonflygw-attempt-id");
        String expected = head.field("dragonflygw-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            write(
                    out,
                    "HTTP/1.1 421 Misdirected Request\r\nDragonflygw-Attempt-Id: " + requestId
                            + "\r\nDragonflygw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        String after = head.field("last-event-id");
        int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        if (ends.test(head)) {
            if (ending.headWritten()) {
                beginAnswer(requestId, first, out);
            }
            Thread.sleep(ending.delayMs());
            end();
            return;
        }
        Thread.sleep(firstWaitMs);
        beginAnswer(requestId, first, out);
        for (int i = first + 1; i <= EVENTS; i++) {
            Thread.sleep(EVENT_PAUSE_MS);
            write(out, event(i));
        }
        write(out, "0\r\n\r\n");
    }

    private void beginAnswer(String requestId, int firstEvent, OutputStream out)
            throws IOException, InterruptedException {
        write(
                out,
                "HTTP/1.1 200 OK\r\nDragonflygw-Attempt-Id: " + requestId
                        + "\r\nDragonflygw-Response-Signature: by-endpoint\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n" + event(firstEvent));
    }

    private static String event(int number) {
        String event = "id: " + number + "\ndata: x\n\n";
        return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    }

    private void write(OutputStream out, String text) throws IOException, InterruptedException {
        if (ended) {
            awaitClose();
        }
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void awaitClose() throws InterruptedException {
        Thread.sleep(Long.MAX_VALUE);
    }

    private void end() throws IOException {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        if (!ending.silent()) {
            close();
        }
        endListener.accept(this);
    }

    /** Closes the port and resets all connections. */
    @Override
    public void close() throws IOException {
        ended = true;
        server.close();
        connections.forEach(PromptEndpoint::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The edge process closed it in the same moment.
        }
    }
}
