package org.dragonflygw.edge.process;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.dragonflygw.edge.EdgeMain;
import org.dragonflygw.standins.loopback.EdgeSettingsFile;

/** Starts an edge process and sends signals to it. Only processes started by this class are signalled. */
public final class EdgeProcess implements AutoCloseable {
    private static final int READY_CHECK_MS = 50;
    private static final int CALL_TIMEOUT_MS = 500;
    private static final List<String> DEFAULT_OPTIONS =
            List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final String READY_REQUEST =
            "GET /api/readyz HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n";

    private final EdgeSettingsFile settings;
    private final Path dir;
    private final List<String> options;
    private Process process;

    /**
     * Starts a process.
     *
     * @param dir folder of its settings and its log
     */
    public EdgeProcess(EdgeSettingsFile settings, Path dir) {
        this(settings, dir, DEFAULT_OPTIONS);
    }

    /**
     * Starts a process with some options of the virtual machine.
     *
     * @param dir folder of its settings and its log
     */
    public EdgeProcess(EdgeSettingsFile settings, Path dir, List<String> options) {
        this.settings = settings;
        this.dir = dir;
        this.options = List.copyOf(options);
        settings.write(settingsFile());
        start();
    }

    private Path settingsFile() {
        return dir.resolve(settings.hostName() + ".json");
    }

    /** Starts the process again. */
    public void start() {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                EdgeMain.class.getName(),
                "--settings",
                settingsFile().toString(),
                "--metrics-port",
                String.valueOf(settings.firstPort() + 3)));
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

    /** Returns the port for callers. */
    public int callersPort() {
        return settings.firstPort();
    }

    /** Returns the port of the readiness check. */
    public int readinessPort() {
        return settings.firstPort() + 1;
    }

    /** Whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the resident memory of the process in kB. */
    public long residentKb() throws IOException {
        return Files.readAllLines(Path.of("/proc", String.valueOf(process.pid()), "status")).stream()
                .filter(l -> l.startsWith("VmRSS:"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElse(0);
    }

    /** Returns the number of open file descriptors of the process. */
    public int descriptors() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
            return (int) files.count();
        }
    }

    /** Whether the readiness check answers with 200. */
    public boolean isReady() {
        try (Socket s = new Socket()) {
            s.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), settings.firstPort() + 1), CALL_TIMEOUT_MS);
            s.setSoTimeout(CALL_TIMEOUT_MS);
            s.getOutputStream().write(READY_REQUEST.getBytes(StandardCharsets.ISO_8859_1));
            HttpHead head = HttpHead.read(s.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false; // The process is not up yet.
        }
    }

    /** Waits until the process is ready; throws if it is not in time. */
    public void awaitReady(long timeoutMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!isReady()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(
                        settings.hostName() + " is not ready within " + timeoutMs + " ms; log in " + dir);
            }
            Thread.sleep(READY_CHECK_MS);
        }
    }

    /** Sends a signal, given by its name without the prefix SIG. */
    public void signal(String name) {
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

    /** Waits until the process has ended; returns whether it has. */
    public boolean awaitEnd(long timeoutMs) throws InterruptedException {
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
