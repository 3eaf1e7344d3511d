package org.dragonflygw.edge.soak;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dragonflygw.edge.EdgeMain;
import org.dragonflygw.standins.loopback.EdgeSettingsFile;

/** One real edge process and the signals sent to it. Only processes that it started are ever signalled. */
final class EdgeProcess implements AutoCloseable {
    private static final int READY_CHECK_MS = 50;
    private static final int CALL_TIMEOUT_MS = 500;

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

    boolean ready() {
        try {
            HttpURLConnection c =
                    (HttpURLConnection) URI.create("http://127.0.0.1:" + (settings.firstPort() + 1) + "/api/readyz")
                            .toURL()
                            .openConnection();
            c.setConnectTimeout(CALL_TIMEOUT_MS);
            c.setReadTimeout(CALL_TIMEOUT_MS);
            return c.getResponseCode() == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false; // It is not up yet.
        }
    }

    void awaitReady(long timeoutMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!ready()) {
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
