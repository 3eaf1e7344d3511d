package org.dragonflygw.edge.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.IntFunction;
import org.dragonflygw.standins.loopback.EdgeSettingsFile;
import org.dragonflygw.standins.loopback.LoopbackConfiguration;
import org.dragonflygw.standins.loopback.LoopbackPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against clients and endpoints that end a process by what their bytes cost in its heap: heads of legal size made of very
 * many short lines, and the like. The process has a small heap, so that a small crowd shows it. Checked is only what does not
 * depend on the speed of the machine: the process lives, its memory and open descriptors stay under a bound, and an ordinary
 * request is answered once the crowd has gone.
 */
final class HeaderCrowdProcessTest {
    private static final int CROWD = 150;
    private static final int HEAD_BYTES = 15_800;
    private static final long CROWD_MS = 4_000;
    private static final int READY_TIMEOUT_MS = 30_000;
    private static final int ANSWER_TIMEOUT_MS = 10_000;
    private static final int MAX_TRIES = 40;
    private static final long MAX_RESIDENT_KB = 240_000;
    private static final int MAX_DESCRIPTORS = 1_000;
    private static final List<String> OPTIONS = List.of(
            "-Xmx40m",
            "-Xms8m",
            "-Xmn3m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Dio.netty.allocator.type=unpooled");

    @TempDir
    Path dir;

    private final LoopbackPlatform platform = new LoopbackPlatform();
    private EdgeProcess host;

    @BeforeEach
    void start() throws InterruptedException {
        int port = FreePorts.first(1);
        host = new EdgeProcess(new EdgeSettingsFile("host-0", "zone-a", port, platform.port()), dir, OPTIONS);
        host.awaitReady(READY_TIMEOUT_MS);
    }

    @AfterEach
    void stop() {
        host.close();
        platform.close();
    }

    private void assertSurvives(int port, boolean reads, IntFunction<byte[]> bytes) throws Exception {
        try (ConnectionCrowd crowd = new ConnectionCrowd(port, CROWD, reads, bytes)) {
            Thread.sleep(CROWD_MS);
            assertThat(crowd).isNotNull();
            assertLives();
        }
        int status = statusOf(ordinaryRequest());
        assertLives();
        assertThat(status).isEqualTo(200);
    }

    private void assertLives() throws IOException {
        assertWithMessage("log %s", Files.readString(dir.resolve("host-0.log")))
                .that(host.isAlive())
                .isTrue();
        assertThat(host.residentKb()).isLessThan(MAX_RESIDENT_KB);
        assertThat(host.descriptors()).isLessThan(MAX_DESCRIPTORS);
    }

    /** Sends a request until it is answered with a success or often enough; returns the last status, 0 if there was none. */
    private int statusOf(byte[] request) throws InterruptedException {
        int status = 0;
        for (int i = 0; i < MAX_TRIES && status != 200; i++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), host.callersPort())) {
                socket.setSoTimeout(ANSWER_TIMEOUT_MS);
                socket.getOutputStream().write(request);
                HttpHead head = HttpHead.read(new BufferedInputStream(socket.getInputStream()));
                status = head == null ? 0 : head.status();
            } catch (IOException e) {
                status = 0;
            }
            Thread.sleep(100);
        }
        return status;
    }

    private static byte[] ordinaryRequest() {
        return bytes(requestLines("GET", 1) + "Connection: close\r\n\r\n");
    }

    private static String requestLines(String method, int number) {
        return method + " " + LoopbackPlatform.PLAIN_PREFIX + number + " HTTP/1.1\r\nHost: " + LoopbackPlatform.HOST
                + "\r\nAuthorization: Bearer " + LoopbackPlatform.KEY + "\r\nDragonflygw-Deadline-Ms: 5000"
                + "\r\nDragonflygw-Attempt-Id: " + Integer.toHexString(0x700000 + number) + "\r\n";
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns some beginning with so many of the lines that a number of bytes is reached. */
    private static String filled(String beginning, IntFunction<String> line, int length) {
        StringBuilder text = new StringBuilder(beginning);
        for (int i = 0; text.length() < length; i++) {
            text.append(line.apply(i)).append("\r\n");
        }
        return text.toString();
    }

    private static String head(int number, IntFunction<String> line) {
        return filled(requestLines("GET", number), line, HEAD_BYTES);
    }

    @Nested
    // TAG
    final class UnfinishedHeads {
        @Test
        void ofEqualShortLines() throws Exception {
            assertSurvives(host.callersPort(), true, n -> bytes(head(n, i -> "a:")));
        }

        @Test
        void ofDifferentShortNames() throws Exception {
            assertSurvives(host.callersPort(), true, n -> bytes(head(n, i -> Integer.toString(i, 36) + ":")));
        }

        @Test
        void ofOddValues() throws Exception {
            assertSurvives(host.callersPort(), true, n -> bytes(head(n, i -> "x-" + i % 10 + ": ;=,")));
        }
    }

    @Nested
    // TAG
    final class OtherParts {
        @Test
        void headsOfRequestsThatAreUnderWay() throws Exception {
            assertSurvives(
                    host.callersPort(),
                    true,
                    n -> bytes(filled(requestLines("POST", n), i -> "a:", HEAD_BYTES - 40)
                            + "Content-Length: 5\r\n\r\n1234"));
        }

        @Test
        void trailers() throws Exception {
            assertSurvives(
                    host.callersPort(),
                    true,
                    n -> bytes(filled(
                            requestLines("POST", n) + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
                            i -> "a:",
                            HEAD_BYTES)));
        }

        @Test
        void pipelinedRequests() throws Exception {
            String next = head(1, i -> "a:") + "\r\n";
            assertSurvives(
                    host.callersPort(),
                    false,
                    n -> bytes(requestLines("GET", n).replace("/plain/", "/stream/") + "\r\n" + next.repeat(20)));
        }

        @Test
        void chunksOfOneByteWithExtensions() throws Exception {
            String chunk = "1;" + "e".repeat(4_000) + "\r\nx\r\n";
            assertSurvives(
                    host.callersPort(),
                    true,
                    n -> bytes(requestLines("POST", n) + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(250)));
        }

        @Test
        void headsAtTheOperationsPort() throws Exception {
            assertSurvives(
                    host.readinessPort(), true, n -> bytes(filled("GET /api/readyz HTTP/1.1\r\n", i -> "a:", 8_000)));
        }
    }

    @Nested
    final class SingleRequests {
        /** A request inside the limits is no attack by itself. */
        @Test
        void ofVeryManyShortLinesAreServedInCalm() throws Exception {
            assertThat(statusOf(bytes(head(2, i -> "a:") + "\r\n"))).isEqualTo(200);
        }

        @Test
        void withAChunkForEachByteAreServedInCalm() throws Exception {
            String request = requestLines("POST", 3) + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(2_000)
                    + "0\r\n\r\n";
            assertThat(statusOf(bytes(request))).isEqualTo(200);
        }
    }

    /** Heads that endpoints send are as costly as those of callers. */
    @Nested
    // TAG
    final class HeadsOfEndpoints {
        private void answerWithLongHead(ServerSocket server) {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    Thread thread = new Thread(() -> sendLongHead(socket), "long-head");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void sendLongHead(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                HttpHead head = HttpHead.read(in);
                if (head != null) {
                    out.write(bytes(filled("HTTP/1.1 200 OK\r\n", i -> "a:", 32_000)));
                    in.read();
                }
            } catch (IOException e) {
                // The process closed the connection.
            }
        }

        @Test
        void ofVeryManyShortLines() throws Exception {
            try (ServerSocket server = new ServerSocket(0, CROWD, InetAddress.getLoopbackAddress())) {
                Thread thread = new Thread(() -> answerWithLongHead(server), "long-heads");
                thread.setDaemon(true);
                thread.start();
                String entry = "{\"service\":\"" + LoopbackConfiguration.ENGINES + "\",\"address\":\"127.0.0.1:"
                        + server.getLocalPort()
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":500,\"state\":\"ready\","
                        + "\"warmup_left_ms\":0,\"born\":1}";
                platform.store().put(LoopbackPlatform.ENDPOINT_TABLE, "i-1", bytes(entry));
                Thread.sleep(1_000);
                assertSurvives(
                        host.callersPort(),
                        true,
                        n -> bytes(requestLines("GET", n).replace("/plain/", "/stream/") + "\r\n"));
            }
        }
    }
}
