package org.dragonflygw.edge.store;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class StoreClientTest {
    private static final int BODY_BYTES = 80_000;
    private static final int PARTS = 8;
    private static final long TIMEOUT_MS = 400;
    private static final int MAX_WRITTEN_BYTES = 64_000_000;

    private StoreCalls calls;

    @AfterEach
    void stop() {
        calls.close();
    }

    private interface Script {
        void write(OutputStream out) throws IOException, InterruptedException;
    }

    private StoreResponse get(long pauseMs, int sentParts) throws Exception {
        return get(out -> answer(out, pauseMs, sentParts));
    }

    private StoreResponse get(Script script) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread serverThread = new Thread(() -> serve(server, script));
            serverThread.start();
            calls = new StoreCalls(server.getLocalPort(), TIMEOUT_MS);
            StoreResponse response = calls.get();
            serverThread.interrupt();
            serverThread.join();
            return response;
        }
    }

    private static void serve(ServerSocket server, Script script) {
        try (Socket s = server.accept()) {
            script.write(s.getOutputStream());
            Thread.sleep(TimeUnit.SECONDS.toMillis(20));
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt(); // The test has the response and no longer needs the server.
        }
    }

    private static void answer(OutputStream out, long pauseMs, int sentParts) throws IOException, InterruptedException {
        write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
        for (int i = 0; i < sentParts; i++) {
            out.write(new byte[BODY_BYTES / PARTS]);
            out.flush();
            Thread.sleep(pauseMs);
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Guards against timeouts when a configuration of half a megabyte is read over a slow link. */
    @Test
    void responseMayTakeLongerThanTheTimeoutWhileDataArrives() throws Exception {
        StoreResponse response = get(100, PARTS);
        assertThat(response.isOk()).isTrue();
        assertThat(response.body()).hasLength(BODY_BYTES);
    }

    @Test
    void responseThatStopsMidwayTimesOut() throws Exception {
        assertThat(get(0, 2).problem()).isEqualTo("timeout");
    }

    /** Guards against bytes that are no response and that keep a call open as long as they arrive. */
    @Test
    void blankLinesWithoutEndFailTheCall() throws Exception {
        assertThat(get(out -> writeWithoutEnd(out, "\r\n")).isOk()).isFalse();
    }

    /** Guards against responses that nobody waits for, which the next call would take for its own. */
    @Test
    void responsesBeyondTheFirstCloseTheConnection() throws Exception {
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        StoreResponse response = get(out -> {
            try {
                writeWithoutEnd(out, "HTTP/1.1 204 No Content\r\n\r\n");
            } catch (IOException e) {
                closed.complete(true);
                throw e;
            }
        });
        assertThat(response.isOk()).isFalse();
        assertThat(closed.get(30, TimeUnit.SECONDS)).isTrue();
    }

    private static void writeWithoutEnd(OutputStream out, String text) throws IOException {
        String block = text.repeat(1_000);
        for (int written = 0; written < MAX_WRITTEN_BYTES; written += block.length()) {
            write(out, block);
        }
    }
}
