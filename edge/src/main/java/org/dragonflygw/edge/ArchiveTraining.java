package org.dragonflygw.edge;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.dragonflygw.core.dispatch.ChoicePolicy;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.settings.HostSettings;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.platform.adapter.JsonTreeReader;
import org.dragonflygw.platform.adapter.SettingsDecoder;
import org.dragonflygw.standins.loopback.EdgeSettingsFile;
import org.dragonflygw.standins.loopback.LoopbackPlatform;
import org.dragonflygw.standins.loopback.LoopbackPorts;

/**
 * Training run for the archive of the JVM's class data sharing. Starts two routers and a loopback platform in this
 * process, sends requests through the first router and returns. The build runs it once with the JVM option that lists the
 * loaded classes, and makes a static archive of this list without the classes that only the training needs.
 */
final class ArchiveTraining {
    private static final int REQUESTS = 60;
    private static final int MAX_READY_CHECKS = 200;
    private static final long READY_CHECK_MS = 25;

    /** Time for some rounds of reports between the two routers, in milliseconds. */
    private static final long REPORT_EXCHANGE_MS = 700;

    private ArchiveTraining() {}

    /** Runs the training and returns the number of requests that were answered with status 200. */
    static int run(EventLog log) throws IOException, InterruptedException {
        int served = 0;
        try (LoopbackPlatform platform = new LoopbackPlatform()) {
            HostSettings settings = startNode("training-1", platform.port(), log);
            startNode("training-2", platform.port(), log);
            Thread.sleep(REPORT_EXCHANGE_MS);
            for (int i = 0; i < REQUESTS; i++) {
                String prefix = i % 3 == 0 ? LoopbackPlatform.PLAIN_PREFIX : LoopbackPlatform.STREAM_PREFIX;
                served += sendRequest(settings.identity().callers(), prefix, i) ? 1 : 0;
            }
        }
        return served;
    }

    /** Starts a router and waits until it is ready; returns its settings. */
    private static HostSettings startNode(String host, int storePort, EventLog log)
            throws IOException, InterruptedException {
        // Decoded as in a real start, so that the archive holds the classes of the decoder.
        byte[] file = new EdgeSettingsFile(
                        host, "zone-a", LoopbackPorts.firstFree(EdgeSettingsFile.PORT_COUNT), storePort)
                .content();
        HostSettings settings = new SettingsDecoder(new JsonTreeReader()).decode(file);
        EdgeNode node = new EdgeNode(new SettingsHolder(settings), ChoicePolicy.EXPECTED_TIME, log);
        node.start(LoopbackPorts.free());
        for (int i = 0; i < MAX_READY_CHECKS && !node.isReady(); i++) {
            Thread.sleep(READY_CHECK_MS);
        }
        return settings;
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
}
