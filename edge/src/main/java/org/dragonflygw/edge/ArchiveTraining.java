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
 * Training run for the archive of the JVM's class data sharing. Starts a router and a loopback platform in this
 * process, sends requests through the router and returns. The build runs it once with the JVM option that archives the
 * loaded classes; a process that starts with the archive is ready in less than half the time and shares the memory of
 * the archived classes with other processes.
 */
final class ArchiveTraining {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int REQUESTS = 60;
    private static final int MAX_READY_CHECKS = 200;
    private static final long READY_CHECK_MS = 25;
    private static final long RETRY_WINDOW_NANOS = 10_000_000_000L;

    private ArchiveTraining() {}

    /** Runs the training and returns the number of requests that were answered with status 200. */
    static int run(EventLog log) throws IOException, InterruptedException {
        int served = 0;
        try (LoopbackPlatform platform = new LoopbackPlatform()) {
            HostSettings settings = settings(platform.port());
            EdgeNode node = new EdgeNode(new SettingsHolder(settings), ChoicePolicy.EXPECTED_TIME, log);
            node.start(freePort());
            for (int i = 0; i < MAX_READY_CHECKS && !node.isReady(); i++) {
                Thread.sleep(READY_CHECK_MS);
            }
            for (int i = 0; i < REQUESTS; i++) {
                String prefix = i % 3 == 0 ? LoopbackPlatform.PLAIN_PREFIX : LoopbackPlatform.STREAM_PREFIX;
                served += sendRequest(settings.identity().callers(), prefix, i) ? 1 : 0;
            }
        }
        return served;
    }

    private static boolean sendRequest(HostAddress to, String prefix, int number) throws IOException {
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
        HttpURLConnection connection = (HttpURLConnection)
                URI.create("http://" + to + prefix + "x").toURL().openConnection();
        connection.setRequestProperty("Host", LoopbackPlatform.HOST);
        String key = number % 10 == 9 ? "unknown" : LoopbackPlatform.KEY;
        LoopbackPlatform.callerHeaders(number, key).forEach(connection::setRequestProperty);
        connection.setDoOutput(true);
        connection.getOutputStream().write("prompt".getBytes(StandardCharsets.UTF_8));
        if (connection.getResponseCode() != HttpURLConnection.HTTP_OK) {
            return false;
        }
        try (InputStream in = connection.getInputStream()) {
            in.readAllBytes();
        }
        return true;
    }

    private static HostSettings settings(int storePort) throws IOException {
        HostBounds bounds =
                new HostBounds(2_000, 8_000, 2_000, 5_000, new RetryBounds(0.2, 52, RETRY_WINDOW_NANOS), 2, 1_200);
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
