package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.standins.loopback.EdgeSettingsFile;
import org.dragonflygw.standins.loopback.LoopbackConfiguration;
import org.dragonflygw.standins.loopback.LoopbackPlatform;
import org.dragonflygw.standins.loopback.LoopbackPorts;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Stops the router as a separate process, which must end before it would be killed. */
final class EdgeStopTest {
    private static final long GRACE_MS = 8_000;

    /** Time before the kill at which the process must have ended, in milliseconds. */
    private static final long MARGIN_MS = 300;

    private static final int WAIT_S = 30;
    private static final int STREAMS = 60;
    private static final long EVENT_MS = 20;

    /** Bytes that a log line at least has, and those that a pipe holds. */
    private static final int LOG_LINE_BYTES = 100;

    private static final int PIPE_BYTES = 65_536;

    @TempDir
    Path dir;

    private final List<Socket> callers = new ArrayList<>();
    private LoopbackPlatform platform;
    private RawEndpoint engine;
    private int port;
    private Process process;

    @BeforeEach
    void startPlatform() {
        platform = new LoopbackPlatform();
        engine = new RawEndpoint((head, s, out) -> {
            int at = head.toLowerCase(Locale.ROOT).indexOf("attempt-id: ");
            String id = head.substring(at + 12, head.indexOf('\r', at));
            RawEndpoint.write(
                    out,
                    "HTTP/1.1 200 OK\r\nDragonflygw-Attempt-Id: " + id + "\r\nDragonflygw-Response-Signature: sig\r\n"
                            + "Content-Type: text/event-stream\r\n\r\n");
            for (int i = 1; true; i++) {
                RawEndpoint.write(out, "id: " + i + "\ndata: token\n\n");
                pause(EVENT_MS);
            }
        });
        String entry = "{\"service\":\"" + LoopbackConfiguration.ENGINES + "\",\"address\":\"127.0.0.1:" + engine.port()
                + "\",\"zone\":\"zone-a\",\"slots\":640,\"version\":\"v1\",\"state\":\"ready\",\"warmup_left_ms\":0,"
                + "\"born\":1}";
        platform.store().put(LoopbackPlatform.ENDPOINT_TABLE, "i-1", entry.getBytes(StandardCharsets.UTF_8));
    }

    @AfterEach
    void end() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        for (Socket s : callers) {
            s.close();
        }
        engine.close();
        platform.close();
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startRouter(ProcessBuilder.Redirect output) throws IOException {
        port = LoopbackPorts.firstFree(EdgeSettingsFile.PORT_COUNT);
        Path file = dir.resolve("node.json");
        Files.write(file, new EdgeSettingsFile("edge-1", "zone-a", port, platform.port()).content());
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        EdgeMain.class.getName(),
                        "--settings",
                        file.toString(),
                        "--metrics-port",
                        Integer.toString(LoopbackPorts.free()))
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start();
    }

    private void awaitReady() throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        while (System.nanoTime() < endNanos) {
            try {
                HttpURLConnection c = (HttpURLConnection) URI.create("http://127.0.0.1:" + (port + 1) + "/")
                        .toURL()
                        .openConnection();
                if (c.getResponseCode() == HttpURLConnection.HTTP_OK) {
                    return;
                }
            } catch (IOException e) {
                // The process does not listen yet.
            }
            pause(20);
        }
        throw new IOException("the process is not ready");
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
        s.setSoTimeout(WAIT_S * 1_000);
        callers.add(s);
        return s;
    }

    private static String request(int number) {
        StringBuilder head = new StringBuilder("POST /stream/x HTTP/1.1\r\nHost: " + LoopbackPlatform.HOST + "\r\n");
        LoopbackPlatform.callerHeaders(number, LoopbackPlatform.KEY)
                .forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
        return head.toString().replace("Deadline-Ms: 5000", "Deadline-Ms: 30000") + "Content-Length: 4\r\n\r\nbody";
    }

    private void openStreams() throws IOException {
        for (int i = 0; i < STREAMS; i++) {
            Socket s = connect();
            EdgeFixture.send(s, request(i + 1));
            EdgeFixture.readUntil(s, "data: token");
        }
    }

    /** Sends the signal and returns how long the process took to end, in milliseconds. */
    private long stop() throws InterruptedException {
        long startNanos = System.nanoTime();
        process.toHandle().destroy(); // Process.destroy() would also close the pipe of the log.
        assertThat(process.waitFor(WAIT_S, TimeUnit.SECONDS)).isTrue();
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    @Test
    void endsInTimeWithStreamsThatAreLongerThanTheGraceTime() throws Exception {
        startRouter(ProcessBuilder.Redirect.DISCARD);
        awaitReady();
        openStreams();
        assertThat(stop()).isAtMost(GRACE_MS - MARGIN_MS);
    }

    /** Guards against an end that waits for a reader of the log. */
    @Test
    void endsInTimeThoughNobodyReadsItsLog() throws Exception {
        startRouter(ProcessBuilder.Redirect.PIPE);
        awaitReady();
        for (int i = 0; i < 3 * PIPE_BYTES / LOG_LINE_BYTES; i++) {
            try (Socket s = connect()) {
                EdgeFixture.send(s, request(i + 1).replace("/stream/x", "/no-such-route"));
                EdgeFixture.readUntil(s, "\r\n\r\n");
            }
        }
        assertThat(stop()).isAtMost(GRACE_MS - MARGIN_MS);
    }

    @Test
    void endsInTimeWhileItStarts() throws Exception {
        for (long delayMs = 0; delayMs < 1_600; delayMs += 200) {
            startRouter(ProcessBuilder.Redirect.DISCARD);
            pause(delayMs);
            assertThat(stop()).isAtMost(GRACE_MS - MARGIN_MS);
        }
    }
}
