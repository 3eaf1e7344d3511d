package org.dragonflygw.edge.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntFunction;

/**
 * Clients that each send the same kind of bytes on a connection, read what comes until the connection ends, and then open the
 * next one, a few times.
 */
final class ConnectionCrowd implements AutoCloseable {
    private static final int MAX_CONNECTIONS_EACH = 6;
    private static final int CONNECT_TIMEOUT_MS = 5_000;
    private static final int PIECE_BYTES = 4_096;

    private final int port;
    private final IntFunction<byte[]> bytes;
    private final boolean reads;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closed;

    /**
     * Starts the clients.
     *
     * @param bytes what a client sends, by its number
     * @param reads whether the clients read what comes; if not, they keep their connections until this is closed
     */
    ConnectionCrowd(int port, int clients, boolean reads, IntFunction<byte[]> bytes) {
        this.port = port;
        this.reads = reads;
        this.bytes = bytes;
        for (int i = 0; i < clients; i++) {
            int number = i;
            Thread thread = new Thread(() -> run(number), "crowd");
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(int number) {
        byte[] message = bytes.apply(number);
        for (int i = 0; i < MAX_CONNECTIONS_EACH && !closed; i++) {
            try (Socket socket = new Socket()) {
                open.add(socket);
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
                OutputStream out = socket.getOutputStream();
                for (int at = 0; at < message.length; at += PIECE_BYTES) {
                    out.write(message, at, Math.min(PIECE_BYTES, message.length - at));
                }
                awaitEnd(socket);
            } catch (IOException e) {
                // The process closed the connection.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void awaitEnd(Socket socket) throws IOException, InterruptedException {
        if (!reads) {
            Thread.sleep(Long.MAX_VALUE);
        }
        InputStream in = socket.getInputStream();
        while (in.read() >= 0) {
            // The content does not matter.
        }
    }

    /** Closes all connections; the clients end. */
    @Override
    public void close() throws IOException {
        closed = true;
        for (Socket s : open) {
            s.close();
        }
        threads.forEach(Thread::interrupt);
    }
}
