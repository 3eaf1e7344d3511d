package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.dragonflygw.core.dispatch.ChoicePolicy;
import org.dragonflygw.core.log.NoOpEventLog;
import org.dragonflygw.core.settings.HostSettings;
import org.dragonflygw.core.settings.SettingsHolder;
import org.dragonflygw.platform.adapter.JsonTreeReader;
import org.dragonflygw.platform.adapter.SettingsDecoder;
import org.dragonflygw.standins.loopback.EdgeSettingsFile;
import org.dragonflygw.standins.loopback.LoopbackConfiguration;
import org.dragonflygw.standins.loopback.LoopbackPlatform;
import org.dragonflygw.standins.loopback.LoopbackPorts;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Test;

/** A whole router beside the fake platform: from the operator's row to the requests that endpoints get. */
final class EvacuationDataPlaneTest {
    private static final int READ_TIMEOUT_MS = 5_000;
    private static final long POLL_MS = 20;
    private static final long MAX_WAIT_MS = 10_000;
    private static final String ROW = "evacuate/zone-a";
    private static final byte[] NO_BYTES = {};

    private int requests;

    private static byte[] entry(RawEndpoint endpoint, String zone) {
        String json = "{\"service\":\"" + LoopbackConfiguration.APPLICATIONS + "\",\"address\":\"127.0.0.1:"
                + endpoint.port() + "\",\"zone\":\"" + zone
                + "\",\"slots\":8,\"version\":\"v1\",\"state\":\"ready\",\"warmup_left_ms\":0,\"born\":1}";
        return json.getBytes(StandardCharsets.UTF_8);
    }

    private static RawEndpoint endpoint() {
        return new RawEndpoint((head, s, out) -> {
            RawEndpoint.write(out, DataPlaneTest.answer(head, "fine"));
            return true;
        });
    }

    private String send(HostSettings settings) throws IOException {
        StringBuilder request = new StringBuilder("POST " + LoopbackPlatform.PLAIN_PREFIX + "x HTTP/1.1\r\nHost: "
                + LoopbackPlatform.HOST + "\r\nConnection: close\r\nContent-Length: 4\r\n");
        LoopbackPlatform.callerHeaders(++requests, LoopbackPlatform.KEY)
                .forEach((name, value) ->
                        request.append(name).append(": ").append(value).append("\r\n"));
        int port = settings.identity().callers().port();
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(READ_TIMEOUT_MS);
            EdgeFixture.send(s, request + "\r\nbody");
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private String sendUntil(HostSettings settings, String expected) throws Exception {
        long endNanos = System.nanoTime() + MAX_WAIT_MS * 1_000_000;
        String response = send(settings);
        while (!response.contains(expected) && System.nanoTime() < endNanos) {
            Thread.sleep(POLL_MS);
            response = send(settings);
        }
        assertThat(response).contains(expected);
        return response;
    }

    private static void awaitRequest(RawEndpoint endpoint, int more, Runnable sender) throws Exception {
        int before = endpoint.heads().size();
        long endNanos = System.nanoTime() + MAX_WAIT_MS * 1_000_000;
        while (endpoint.heads().size() < before + more && System.nanoTime() < endNanos) {
            sender.run();
            Thread.sleep(POLL_MS);
        }
        assertThat(endpoint.heads().size()).isAtLeast(before + more);
    }

    private void sendUnchecked(HostSettings settings) {
        try {
            send(settings);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static HostSettings startNode(LoopbackPlatform platform) throws Exception {
        byte[] file = new EdgeSettingsFile(
                        "evacuation", "zone-a", LoopbackPorts.firstFree(EdgeSettingsFile.PORT_COUNT), platform.port())
                .content();
        HostSettings settings = new SettingsDecoder(new JsonTreeReader()).decode(file);
        EdgeNode node = new EdgeNode(new SettingsHolder(settings), ChoicePolicy.EXPECTED_TIME, new NoOpEventLog());
        node.start(LoopbackPorts.free());
        return settings;
    }

    /** Guards against an evacuation that the router does not see, and against one that it never ends. */
    @Test
    void endpointOfAnEvacuatedZoneGetsNoRequestAndServesAgainAfterwards() throws Exception {
        try (LoopbackPlatform platform = new LoopbackPlatform();
                RawEndpoint inZone = endpoint();
                RawEndpoint other = endpoint()) {
            platform.store().remove(LoopbackPlatform.ENDPOINT_TABLE, "i-2");
            platform.store().put(LoopbackPlatform.ENDPOINT_TABLE, "i-3", entry(inZone, "zone-a"));
            HostSettings settings = startNode(platform);
            sendUntil(settings, "fine");

            platform.store().put(LoopbackPlatform.OPERATOR_TABLE, ROW, NO_BYTES);
            String refused = sendUntil(settings, "ZONE_EVACUATED");
            assertThat(refused).startsWith("HTTP/1.1 503");
            assertThat(refused).containsMatch("(?i)retry-after");
            int served = inZone.heads().size();

            platform.store().put(LoopbackPlatform.ENDPOINT_TABLE, "i-4", entry(other, "zone-b"));
            awaitRequest(other, 10, () -> sendUnchecked(settings));
            assertThat(inZone.heads()).hasSize(served);

            platform.store().remove(LoopbackPlatform.OPERATOR_TABLE, ROW);
            awaitRequest(inZone, 1, () -> sendUnchecked(settings));
        }
    }

    /** Guards against a router that starts during an evacuation and serves before it knows of it. */
    @Test
    void routerThatStartsDuringAnEvacuationSendsNothingIntoTheZone() throws Exception {
        try (LoopbackPlatform platform = new LoopbackPlatform();
                RawEndpoint inZone = endpoint()) {
            platform.store().remove(LoopbackPlatform.ENDPOINT_TABLE, "i-2");
            platform.store().put(LoopbackPlatform.ENDPOINT_TABLE, "i-3", entry(inZone, "zone-a"));
            platform.store().put(LoopbackPlatform.OPERATOR_TABLE, ROW, NO_BYTES);
            HostSettings settings = startNode(platform);
            sendUntil(settings, "ZONE_EVACUATED");
            for (int i = 0; i < 20; i++) {
                send(settings);
            }
            assertThat(inZone.heads()).isEmpty();
        }
    }
}
