package org.dragonflygw.edge.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** TCP proxy on the loopback interface that can delay, block or reset its connections. Thread-safe. */
final class FaultProxy implements AutoCloseable {
    /** How the proxy treats bytes and connections. */
    enum Mode {
        /** Bytes are forwarded. */
        PASS,
        /** Bytes are forwarded after a delay. */
        DELAY,
        /** Bytes are held in both directions; connections are still accepted. */
        SILENT,
        /** Only bytes from the target to the caller are held. */
        ONE_WAY,
        /** Open and new connections are reset. */
        RESET
    }

    private static final int BACKLOG = 128;
    private static final int BUFFER_BYTES = 16_384;
    private static final long DELAY_MS = 300;
    private static final long HOLD_CHECK_MS = 10;

    private final ServerSocket server;
    private final int targetPort;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;
    private volatile boolean closed;

    FaultProxy(int targetPort) {
        this.targetPort = targetPort;
        try {
            server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    void mode(Mode next) {
        mode = next;
        if (next == Mode.RESET) {
            open.forEach(FaultProxy::reset);
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket caller = server.accept();
                if (mode == Mode.RESET) {
                    reset(caller);
                } else {
                    connect(caller);
                }
            } catch (IOException e) {
                closed |= server.isClosed(); // If the server is open, only one connection failed.
            }
        }
    }

    private void connect(Socket caller) throws IOException {
        open.add(caller);
        Socket target;
        try {
            target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        } catch (IOException e) {
            reset(caller);
            return;
        }
        open.add(target);
        start(() -> pump(caller, target, false));
        start(() -> pump(target, caller, true));
    }

    private void pump(Socket from, Socket to, boolean toCaller) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                hold(toCaller);
                out.write(buffer, 0, n);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            reset(to); // One side was disconnected; disconnects the other one too.
        } finally {
            open.remove(from);
            open.remove(to);
        }
    }

    private void hold(boolean toCaller) throws InterruptedException {
        if (mode == Mode.DELAY) {
            Thread.sleep(DELAY_MS);
        }
        while (mode == Mode.SILENT || (mode == Mode.ONE_WAY && toCaller)) {
            Thread.sleep(HOLD_CHECK_MS);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket was already closed.
        }
    }

    @Override
    public void close() {
        closed = true;
        open.forEach(FaultProxy::reset);
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
