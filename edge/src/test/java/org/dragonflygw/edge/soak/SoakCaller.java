package org.dragonflygw.edge.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dragonflygw.edge.process.HttpHead;

/**
 * Caller that sends one request after the other over persistent connections, one per host, and takes up streams that were
 * cut at any host.
 */
final class SoakCaller implements Runnable {
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int READ_TIMEOUT_MS = 5_000;
    private static final int MAX_RETURNS = 2;
    private static final int RETURN_PAUSE_MS = 100;

    private final String name;
    private final List<RequestKind> kinds;
    private final int maxPauseMs;
    private final int[] ports;
    private final Supplier<List<String>> keys;
    private final SplittableRandom random;
    private final Consumer<Outcome> outcomeListener;
    private final Map<Integer, Socket> connections = new HashMap<>();
    private volatile boolean stopped;
    private int count;

    SoakCaller(
            String name,
            List<RequestKind> kinds,
            int maxPauseMs,
            int[] ports,
            Supplier<List<String>> keys,
            SplittableRandom random,
            Consumer<Outcome> outcomeListener) {
        this.name = name;
        this.kinds = List.copyOf(kinds);
        this.maxPauseMs = maxPauseMs;
        this.ports = ports.clone();
        this.keys = keys;
        this.random = random;
        this.outcomeListener = outcomeListener;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                Thread.sleep(random.nextInt(maxPauseMs));
                attempt();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void attempt() throws InterruptedException {
        RequestKind kind = kinds.get(random.nextInt(kinds.size()));
        List<String> currentKeys = keys.get();
        String key = currentKeys.get(random.nextInt(currentKeys.size()));
        String path = nextId();
        StreamPosition position = StreamPosition.START;
        for (int returns = 0; returns <= MAX_RETURNS; returns++) {
            String id = returns == 0 ? path : nextId();
            Optional<Outcome> outcome = send(kind, key, path, id, position);
            if (outcome.isEmpty() || kind != RequestKind.STREAM || outcome.get().success()) {
                return;
            }
            position = position.after(outcome.get());
            if (position.lastEvent() == 0) {
                return; // Nothing to take up.
            }
            Thread.sleep(random.nextInt(RETURN_PAUSE_MS));
        }
    }

    private String nextId() {
        return name + Integer.toHexString(0x100000 + count++);
    }

    /**
     * Sends one attempt to any host.
     *
     * @param path id of the first attempt, which names the path and the body
     * @return what came of it; empty if the host is down
     */
    private Optional<Outcome> send(RequestKind kind, String key, String path, String id, StreamPosition position) {
        int host = random.nextInt(ports.length);
        Socket socket;
        try {
            socket = connection(host);
        } catch (IOException e) {
            return Optional.empty(); // No attempt.
        }
        AttemptFacts facts = new AttemptFacts(id, path, host, kind, key, position);
        StringBuilder body = new StringBuilder();
        long sentNanos = System.nanoTime();
        Outcome outcome;
        try {
            socket.getOutputStream().write(facts.request().getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            sentNanos = System.nanoTime();
            outcome = read(socket, facts, sentNanos, body);
        } catch (IOException e) {
            closeConnection(host);
            outcome = facts.outcome(sentNanos, 0, false, false, body.toString());
        }
        outcomeListener.accept(outcome);
        return Optional.of(outcome);
    }

    private Socket connection(int host) throws IOException {
        Socket socket = connections.get(host);
        if (socket != null && !socket.isClosed()) {
            return socket;
        }
        Socket fresh = new Socket();
        fresh.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[host]), CONNECT_TIMEOUT_MS);
        fresh.setSoTimeout(READ_TIMEOUT_MS);
        connections.put(host, fresh);
        return fresh;
    }

    private void closeConnection(int host) {
        Socket socket = connections.remove(host);
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The socket is no longer used.
        }
    }

    private Outcome read(Socket socket, AttemptFacts facts, long sentNanos, StringBuilder body) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        HttpHead head = HttpHead.read(in);
        if (head == null) {
            throw new IOException("closed without an answer");
        }
        boolean complete = head.field("transfer-encoding").equals("chunked")
                ? readChunks(in, body)
                : readLength(in, head.contentLength(), body);
        if (!complete || head.field("connection").equalsIgnoreCase("close")) {
            closeConnection(facts.host());
        }
        boolean signed = !head.field("dragonflygw-response-signature").isEmpty();
        return facts.outcome(sentNanos, head.status(), signed, complete, body.toString());
    }

    private static boolean readLength(InputStream in, int length, StringBuilder body) throws IOException {
        byte[] bytes = in.readNBytes(length);
        body.append(new String(bytes, StandardCharsets.ISO_8859_1));
        return bytes.length == length;
    }

    private static boolean readChunks(InputStream in, StringBuilder body) throws IOException {
        try {
            while (true) {
                String size = HttpHead.line(in);
                if (size == null) {
                    return false;
                }
                int length = Integer.parseInt(size, 16);
                body.append(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
                if (HttpHead.line(in) == null) {
                    return false;
                }
                if (length == 0) {
                    return true;
                }
            }
        } catch (IOException e) {
            return false; // The response was aborted; SoakChecks decides whether that was allowed.
        }
    }
}
