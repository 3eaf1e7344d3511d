package org.dragonflygw.edge;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.dragonflygw.core.dispatch.ChoicePolicy;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.HostBounds;
import org.dragonflygw.core.settings.HostIdentity;
import org.dragonflygw.core.settings.HostSettings;
import org.dragonflygw.core.settings.RetryBounds;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.standins.loopback.LoopbackPlatform;

/**
 * Serves a few requests on loopback and returns. The build runs it once with the runtime's option to archive the loaded
 * classes; a process that starts with the archive is ready in less than half the time and shares the classes' memory.
 */
final class ArchiveTraining {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int REQUESTS = 60;
    private static final int MAX_WAIT_ROUNDS = 200;
    private static final long WAIT_MS = 25;
    private static final long RETRY_WINDOW_NANOS = 10_000_000_000L;

    private ArchiveTraining() {}

    /** Runs the training; returns the number of requests that were answered with success. */
    static int run(EventLog log) throws IOException, InterruptedException {
        int served = 0;
        try (LoopbackPlatform platform = new LoopbackPlatform()) {
            HostSettings settings = settings(platform.port());
            EdgeNode node = new EdgeNode(new SettingsHolder(settings), ChoicePolicy.EXPECTED_TIME, log);
            node.start(freePort());
            for (int i = 0; i < MAX_WAIT_ROUNDS && !node.isReady(); i++) {
                Thread.sleep(WAIT_MS);
            }
            for (int i = 0; i < REQUESTS; i++) {
                String prefix = i % 3 == 0 ? LoopbackPlatform.PLAIN_PREFIX : LoopbackPlatform.STREAM_PREFIX;
                served += request(settings.identity().callers(), prefix, i) ? 1 : 0;
            }
        }
        return served;
    }

    private static boolean request(HostAddress to, String prefix, int number) throws IOException {
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
        HttpURLConnection c = (HttpURLConnection)
                URI.create("http://" + to + prefix + "x").toURL().openConnection();
        c.setRequestProperty("Host", LoopbackPlatform.HOST);
        String key = number % 10 == 9 ? "unknown" : LoopbackPlatform.KEY;
        LoopbackPlatform.callerHeaders(number, key).forEach(c::setRequestProperty);
        c.setDoOutput(true);
        c.getOutputStream().write("prompt".getBytes(StandardCharsets.UTF_8));
        if (c.getResponseCode() != HttpURLConnection.HTTP_OK) {
            return false;
        }
        try (InputStream in = c.getInputStream()) {
            in.readAllBytes();
        }
        return true;
    }

    private static HostSettings settings(int storePort) throws IOException {
        HostBounds bounds = new HostBounds(2_000, 8_000, 2_000, 5_000, new RetryBounds(0.2, 52, RETRY_WINDOW_NANOS), 2);
        HostIdentity identity = new HostIdentity(
                "training",
                LOOPBACK,
                "zone-a",
                new HostAddress(LOOPBACK, freePort()),
                new HostAddress(LOOPBACK, freePort()),
                freePort());
        return new HostSettings(identity, 0, new HostAddress(LOOPBACK, storePort), bounds);
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }
}
