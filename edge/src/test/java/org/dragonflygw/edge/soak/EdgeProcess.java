package org.dragonflygw.edge.soak;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.edge.EdgeMain;
import org.dragonflygw.standins.loopback.EdgeSettingsFile;

/** One real edge process and the signals sent to it. Only processes that it started are ever signalled. */
final class EdgeProcess implements AutoCloseable {
    private static final int READY_CHECK_MS = 50;
    private static final int CALL_TIMEOUT_MS = 500;
    private static final String READY_REQUEST =
            "GET /api/readyz HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n";

    private final EdgeSettingsFile settings;
    private final Path dir;
    private Process process;

    EdgeProcess(EdgeSettingsFile settings, Path dir) {
        this.settings = settings;
        this.dir = dir;
        settings.write(settingsFile());
        start();
    }

    private Path settingsFile() {
        return dir.resolve(settings.hostName() + ".json");
    }

    void start() {
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                EdgeMain.class.getName(),
                "--settings",
                settingsFile().toString(),
                "--metrics-port",
                String.valueOf(settings.firstPort() + 3));
        File log = dir.resolve(settings.hostName() + ".log").toFile();
        try {
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    int callersPort() {
        return settings.firstPort();
    }

    boolean isReady() {
        try (Socket s = new Socket()) {
            s.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), settings.firstPort() + 1), CALL_TIMEOUT_MS);
            s.setSoTimeout(CALL_TIMEOUT_MS);
            s.getOutputStream().write(READY_REQUEST.getBytes(StandardCharsets.ISO_8859_1));
            SoakEndpoint.HttpHead head = SoakEndpoint.HttpHead.read(s.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false; // It is not up yet.
        }
    }

    void awaitReady(long timeoutMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!isReady()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(settings.hostName() + " is not ready, see " + dir);
            }
            Thread.sleep(READY_CHECK_MS);
        }
    }

    /** Sends a signal by its name. */
    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    boolean awaitEnd(long timeoutMs) throws InterruptedException {
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
